"""Messages about quotas between instances: who is asked, exchanges and notices."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections import abc

from turmericlug.entry import view as view_module
from turmericlug.http1 import client
from turmericlug.kernel import tasks as tasks_module
from turmericlug.policy import gossip
from turmericlug.policy import quota
from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import quota_codec

PATH = b"/quotas"
EXCHANGE_TIMEOUT_S = 0.15
"""Six round trips between regions: a holder that takes longer has ended, is cut off or frozen."""
DOWN_S = 1.0
"""Time for which a holder that has not answered is passed over; asking it again delays requests."""
MAX_TOLD_DIRECTLY = 128
"""Instances that the holder notifies itself: those of a large data centre in one round trip. With
more, the instances that are notified forward the notice."""
UNKNOWN_COUNT = 100
"""Number of instances that are assumed to share the rate while none is known."""
_NO_QUOTAS_STATUS = 404
"""Status of an instance whose settings or software know no quotas."""


@dataclasses.dataclass(frozen=True)
class Answered:
    """The instance has answered."""

    message: quota_codec.Message


@dataclasses.dataclass(frozen=True)
class NoQuotas:
    """The instance knows no quotas."""


@dataclasses.dataclass(frozen=True)
class Silent:
    """The instance has not answered in time."""


Outcome = Answered | NoQuotas | Silent


class QuotaPeers:
    """The other instances, as those that hold organisations or ask for tokens."""

    def __init__(
        self,
        own_name: str,
        view: view_module.View,
        counters: counters_module.Counters,
        rng: random.Random,
    ) -> None:
        self.own_name = own_name
        self.start = rng.getrandbits(63)
        """Identifies this start of the instance."""
        self._view = view
        self._counters = counters
        self._rng = rng
        self._sequence = 0
        self._candidates: dict[str, list[str]] = {}
        """The holder and the standby of each organisation, as far as determined."""
        self._is_listed = True
        self._is_leaving = False
        self._down_until_s: dict[str, float] = {}
        self._unknown_until_s: dict[tuple[str, str], float] = {}
        """Until when an instance is not asked about an organisation that it may not know."""
        self._tasks = tasks_module.Tasks()

    def count(self) -> int:
        """Return the number of all instances, or that of a large deployment if none is known."""
        return self._view.instance_count() if self._view.instances else UNKNOWN_COUNT

    def __len__(self) -> int:
        return len(self._view.peers)

    def on_instances_changed(self) -> None:
        """Determine the holders anew after an instance was added or removed."""
        self._candidates.clear()

    @property
    def is_leaving(self) -> bool:
        """Whether this instance is about to be taken out of the lists of the others."""
        return self._is_leaving

    def leave(self) -> None:
        """Hold no organisation any more, since other instances will not find this one."""
        self._is_leaving = True

    def candidates(self, organisation: str) -> list[str]:
        """
        Return the holder and the standby; only instances that others can find are eligible.

        There are none while no instance is known: others may be in the same state.
        """
        is_listed = not (self._is_leaving or self._view.own_entry_removed)
        if is_listed != self._is_listed:
            self._is_listed = is_listed
            self._candidates.clear()
        candidates = self._candidates.get(organisation)
        if candidates is None:
            names = (name for name in self._view.instances if is_listed or name != self.own_name)
            candidates = quota.holders(organisation, names)
            if not candidates and self._view.instances:
                candidates = [self.own_name]
            self._candidates[organisation] = candidates
        return candidates

    def listed_candidates(self, organisation: str) -> list[str]:
        """Return the holder and the standby as other instances see them while this one leaves."""
        if not self._is_leaving or self._view.own_entry_removed:
            return self.candidates(organisation)
        return quota.holders(organisation, self._view.instances)

    def target(self, organisation: str, now_s: float) -> str | None:
        """Return the instance to ask; ``None`` if neither holder nor standby can answer."""
        for candidate in self.candidates(organisation):
            if candidate == self.own_name:
                return candidate
            down_until_s = self._down_until_s.get(candidate, now_s)
            unknown_until_s = self._unknown_until_s.get((candidate, organisation), now_s)
            if now_s >= max(down_until_s, unknown_until_s):
                return candidate
        return None

    def pass_over(self, name: str, organisation: str, now_s: float) -> None:
        """Ask an instance no more about an organisation for a time, as it may not know it."""
        self._unknown_until_s[name, organisation] = now_s + DOWN_S

    def next_sequence(self) -> int:
        """Return the number of the next message."""
        self._sequence += 1
        return self._sequence

    def message(
        self,
        reports: abc.Iterable[quota.Report] = (),
        notices: abc.Iterable[quota.Notice] = (),
        held: abc.Iterable[str] = (),
        lease_s: float = 0.0,
        pledges: abc.Iterable[str] = (),
    ) -> quota_codec.Message:
        """Return the next message of this instance."""
        return quota_codec.Message(
            self.own_name,
            self.start,
            self.next_sequence(),
            tuple(reports),
            tuple(notices),
            tuple(held),
            self.version,
            lease_s,
            tuple(pledges),
        )

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 if there is none."""
        configuration = self._view.configuration
        return configuration.version if configuration is not None else 0

    async def exchange(
        self, name: str, message: quota_codec.Message, now_s: abc.Callable[[], float]
    ) -> Outcome:
        """Send a message to one instance; one that is silent is passed over for a time."""
        outcome = await self._exchange(name, quota_codec.encode(message))
        if isinstance(outcome, Silent):
            self._down_until_s[name] = now_s() + DOWN_S
            self._counters.add("quota.no_answer")
        else:
            self._down_until_s.pop(name, None)
            self._counters.add("quota.exchanges")
        return outcome

    async def _exchange(self, name: str, content: bytes) -> Outcome:
        peer = self._view.peers.find(name)
        if peer is None:
            return Silent()
        request = client.request_bytes(b"POST", PATH, [(b"host", b"instance")], content)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                async with peer.pool.connection(0) as connection:
                    response = await connection.exchange(request)
            if response.status == _NO_QUOTAS_STATUS:
                return NoQuotas()
            return Answered(quota_codec.decode(response.body))
        except (client.ConnectError, client.ExchangeError, quota_codec.MessageError, TimeoutError):
            return Silent()

    async def ask_some(
        self, message: quota_codec.Message, sample_size: int
    ) -> list[abc.Collection[str]]:
        """
        Ask some random instances for pledges; return what each has pledged, silent ones none.

        An instance of the last build answers without stating how long it pledges; it counts.
        """
        names = [peer.entry.instance for peer in self._view.peers.all()]
        sample = self._rng.sample(names, min(sample_size, len(names)))
        content = quota_codec.encode(message)
        outcomes = await asyncio.gather(*(self._exchange(name, content) for name in sample))
        return [_pledged(outcome, message.pledges) for outcome in outcomes]

    def tell_all(
        self, notice: quota.Notice, others: abc.Iterable[str] = (), except_for: str = ""
    ) -> None:
        """Notify all instances, in a large deployment through some that forward the notice."""
        names = [peer.entry.instance for peer in self._view.peers.all()]
        if len(names) > MAX_TOLD_DIRECTLY:
            names = [*gossip.recipients(names, self._rng), *others]
        self.tell(notice, names, except_for)

    def forward(self, notice: quota.Notice, except_for: str) -> None:
        """Forward a notice that is news here, if the holder has not sent it to all itself."""
        if len(self) > MAX_TOLD_DIRECTLY:
            self.tell_all(notice, except_for=except_for)

    def tell(self, notice: quota.Notice, names: abc.Iterable[str], except_for: str = "") -> None:
        """Notify some instances."""
        content = quota_codec.encode(self.message(notices=(notice,)))
        for name in dict.fromkeys(names):
            if name not in (except_for, self.own_name):
                self._tasks.start(self._tell(name, content))

    async def _tell(self, name: str, content: bytes) -> None:
        if isinstance(await self._exchange(name, content), Silent):
            self._counters.add("quota.not_told")

    def forget_idle(self, now_s: float) -> None:
        """Forget instances that may be asked again."""
        self._down_until_s = {
            name: until_s for name, until_s in self._down_until_s.items() if until_s > now_s
        }
        self._unknown_until_s = {
            pair: until_s for pair, until_s in self._unknown_until_s.items() if until_s > now_s
        }

    async def close(self) -> None:
        """End the notices that are on their way."""
        await self._tasks.close()


def _pledged(outcome: Outcome, asked: abc.Collection[str]) -> abc.Collection[str]:
    match outcome:
        case Silent():
            return ()
        case Answered() if outcome.message.lease_s:
            return outcome.message.pledges
    return asked
