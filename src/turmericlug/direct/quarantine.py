"""
Keeping requests that end replicas from further replicas: evidence, and what is under way.

A replica has ended under a request when its connection broke while it had the request, and it takes
no new connection, or its entry goes without a notice soon after. A reset connection alone says
nothing: links reset them, and replicas that live close them.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections import abc

import attrs

from turmericlug.direct import replica as replica_module
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.policy import poison
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

CONFIRM_S = 0.15
"""Longest wait for a replica to refuse a connection: a journey to the farthest region and back."""
UNSETTLED_S = 10.0
"""Time within which the loss of its entry tells that a replica ended: three missed heartbeats, and
what the news take while the store is slow."""
MOST_UNSETTLED = 64
"""Requests that are remembered for one replica: its slots and queue a few times over."""


@attrs.frozen
class _Unsettled:
    """A request that a replica has not answered, for a reason that is not known."""

    request: poison.Fingerprint
    at_s: float
    on_trial: bool


class Quarantine:
    """The book of suspected requests, with the evidence that goes into it."""

    def __init__(self, counters: counters_module.Counters, now_s: abc.Callable[[], float]) -> None:
        self.table = poison.Book()
        self.enabled = True
        self.on_news: abc.Callable[[poison.Fingerprint], None] = lambda request: None
        """Called when something was learned here that other instances should know."""
        self._counters = counters
        self._now_s = now_s
        self._under_way: collections.defaultdict[poison.Fingerprint, set[sending.Call]]
        self._under_way = collections.defaultdict(set)
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._unsettled: dict[str, collections.deque[_Unsettled]] = {}

    def verdict(self, request: poison.Fingerprint) -> poison.Verdict:
        """Return what may be done with a request now."""
        if not (self.enabled and self.table.records):
            return poison.Verdict.ALLOWED
        return self.table.verdict(request, self._now_s())

    def may_send(self, call: sending.Call) -> bool:
        """Whether a request may be sent to one more replica now."""
        verdict = self.verdict(call.fingerprint)
        if verdict is poison.Verdict.SUSPECTED:
            return call.on_trial
        return verdict is poison.Verdict.ALLOWED

    def is_suspected(self, call: sending.Call) -> bool:
        """Whether a request may only be tried at one replica."""
        return self.verdict(call.fingerprint) is poison.Verdict.SUSPECTED

    @contextlib.contextmanager
    def in_flight(self, call: sending.Call) -> abc.Iterator[None]:
        """Know of a request for the length of the block, to break it off once it is quarantined."""
        calls = self._under_way[call.fingerprint]
        calls.add(call)
        try:
            yield
        finally:
            calls.discard(call)
            if not calls:
                self._under_way.pop(call.fingerprint, None)

    def record_answer(self, call: sending.Call) -> None:
        """Take note that a replica has run a request to its end."""
        if call.vouched:
            return
        call.vouched = True
        request = call.fingerprint
        if self.table.record_answer(request, self._now_s()):
            self._counters.add("poison.cleared")
            decisions.log("poison.cleared", request=call.request_id, content=request.hex())
            self.on_news(request)

    async def record_outcome(
        self, call: sending.Call, replica: replica_module.Replica, outcome: sending.Outcome
    ) -> None:
        """
        Find out whether a replica has ended under a request that got no answer.

        Awaited before the request goes to another replica: it ended that one as well before the end
        of the first was known.
        """
        now_s = self._now_s()
        if not isinstance(outcome, sending.Unknown) or self.table.vouched(call.fingerprint, now_s):
            return
        if outcome.broken_off and await self._takes_no_connection(replica):
            self._ended(call.fingerprint, replica, call.on_trial)
        elif outcome.broken_off or outcome.reason == sending.SILENT:
            key = _key(replica)
            requests = self._unsettled.setdefault(key, collections.deque(maxlen=MOST_UNSETTLED))
            requests.append(_Unsettled(call.fingerprint, now_s, call.on_trial))

    def on_replica_lost(self, replica: replica_module.Replica) -> None:
        """Take note that the entry of a replica went without a notice: it has ended."""
        for each in self._unsettled.pop(_key(replica), ()):
            if each.at_s > self._now_s() - UNSETTLED_S:
                self._ended(each.request, replica, each.on_trial)

    def learn(self, request: poison.Fingerprint, told: poison.Record) -> bool:
        """Take over what another instance knows of a request; whether it was news."""
        before = self.verdict(request)
        if not self.table.learn(request, told, self._now_s()):
            return False
        self._counters.add("poison.learned")
        self._changed(request, before, "learned")
        return True

    def lift(self, request: poison.Fingerprint) -> bool:
        """Allow a request by an operator's word; false when nothing is held against it."""
        if self.verdict(request) is poison.Verdict.ALLOWED:
            return False
        self.on_news(request)
        self.table.lift(request, self._now_s())
        self._counters.add("poison.lifted")
        decisions.log("poison.lifted", content=request.hex())
        return True

    def begin_trial(self, call: sending.Call) -> bool:
        """Begin the trial of a suspected request; false while another one is under way."""
        if not self.table.begin_trial(call.fingerprint, self._now_s()):
            return False
        self._counters.add("poison.trial")
        decisions.log("poison.trial", request=call.request_id, content=call.fingerprint.hex())
        self.on_news(call.fingerprint)
        return True

    def cancel_trial(self, call: sending.Call) -> None:
        """Take note that no replica ran the trial of a request."""
        self.table.cancel_trial(call.fingerprint, self._now_s())

    def expire(self) -> None:
        """Drop what no longer matters."""
        now_s = self._now_s()
        forgotten = self.table.expire(now_s)
        if forgotten:
            self._counters.add("poison.forgotten", forgotten)
            decisions.log("poison.forgotten", requests=forgotten, left=len(self.table.records))
        old = [key for key, each in self._unsettled.items() if each[-1].at_s < now_s - UNSETTLED_S]
        for key in old:
            del self._unsettled[key]

    def _ended(
        self, request: poison.Fingerprint, replica: replica_module.Replica, on_trial: bool
    ) -> None:
        if not self.enabled:
            return
        before = self.verdict(request)
        self.table.record_crash(request, _key(replica), self._now_s(), on_trial)
        self._counters.add("poison.ended")
        decisions.log(
            "poison.ended",
            content=request.hex(),
            service=replica.entry.service,
            replica=replica.entry.instance,
            on_trial=on_trial,
        )
        self._changed(request, before, "seen")
        self.on_news(request)

    def _changed(self, request: poison.Fingerprint, before: poison.Verdict, how: str) -> None:
        """Tell a new verdict, and break off what is under way of a quarantined request."""
        verdict = self.verdict(request)
        if verdict is before:
            return
        self._counters.add(f"poison.verdict.{verdict.value}")
        record, now_s = self.table.records[request], self._now_s()
        decisions.log(
            f"poison.verdict.{verdict.value}",
            content=request.hex(),
            how=how,
            ends={
                name: round(now_s - at_s, 2) for name, at_s in record.recent_crashes(now_s).items()
            },
        )
        if verdict is poison.Verdict.QUARANTINED:
            # Replicas drop what waits in their queue once its connection is closed.
            for call in list(self._under_way.get(request, ())):
                call.abandon()

    async def _takes_no_connection(self, replica: replica_module.Replica) -> bool:
        """Whether a replica refuses connections; asked once for all that broke together."""
        key = _key(replica)
        if key not in self._probes:
            self._probes[key] = asyncio.create_task(_refuses(replica))
            self._probes[key].add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(self._probes[key])


async def _refuses(replica: replica_module.Replica) -> bool:
    try:
        async with asyncio.timeout(CONFIRM_S):
            await replica.pool.probe()
    except client.ConnectRefusedError:
        return True
    except (client.ConnectError, TimeoutError):
        return False
    return False


def _key(replica: replica_module.Replica) -> str:
    """Name one start of a replica."""
    born_ms = replica.entry.born_ms
    return replica.entry.instance if born_ms is None else f"{replica.entry.instance}@{born_ms}"
