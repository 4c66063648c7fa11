"""
Relay changes between the instances of a data centre.

If every instance watched the source itself, each change would cost one call per instance. Instead,
one instance of a data centre, the first relay, requests changes from the source, and the others
request them from it. The second relay is a standby: it uses the first one like all others, turns to
the source if that fails, and serves the instances that cannot use the first. Each reply carries its
age: an instance that gets no recent enough reply asks the source itself within 1.9 s. The shortest
time within which a configuration has to be in force is 3 s.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import abc

import attrs

from turmericlug.direct import placement
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.entry import journal as journal_module
from turmericlug.entry import relay_codec
from turmericlug.entry import source as source_module
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.kernel import failures
from turmericlug.kernel import slices
from turmericlug.policy import liveness as liveness_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

PATH = b"/news/"
"""``/news/ERA.REVISION/WAIT_MS/NAME``: requests the changes since a position; NAME is the
requesting instance."""
WAIT_S = 1.0
"""How long a relay waits for changes before it replies. A failed relay is detected after this time
and the slack, well within 4 s."""
TIMEOUT_SLACK_S = 0.4
"""Time for the reply of a relay on top of the wait."""
MAX_AGE_S = 1.6
"""Replies older than this are rejected. A relay gets an answer from the source at least every
second, as it renews its lease; the limit allows for one slow answer on top."""
RELAY_COUNT = 2
"""With a single relay, its failure sent all other instances of its data centre to the source."""
SKIP_S = 4.0
"""How long a relay is skipped after two failures in a row; by then its entry is removed."""
FAILURES_TO_SKIP = 2
"""A single failure may be due to a silent connection; the next request opens a new one."""
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 2.0
"""Bounds of the delay, doubled after each failure, before an instance that has relays asks an
unresponsive source again. The relays ask more often, and report at once when it is reachable."""


def handler(
    journal: journal_module.Journal,
    source_age_s: abc.Callable[[], float],
    peer_liveness: liveness_module.PeerLiveness,
) -> messages.Handler:
    """Return the handler of requests for changes."""

    async def handle(request: messages.Request) -> messages.Response:
        position, _, rest = request.target.removeprefix(PATH).partition(b"/")
        wait_ms, _, name = rest.partition(b"/")
        after = _position(position)
        if not (after and _is_number(wait_ms) and name):
            return messages.Response(404)
        peer_liveness.record_contact(name.decode("latin-1"), asyncio.get_running_loop().time())
        try:
            # Reply as soon as the age limit is reached: an instance that waited a full second for a
            # relay just below the limit asked the source only 3 s after the relay had lost it, when
            # a configuration should already have been in force.
            fresh_s = max(MAX_AGE_S - source_age_s(), 0.0)
            wait_s = min(WAIT_S, int(wait_ms) / 1000, fresh_s)
            changes = await journal.since(after, wait_s)
        except source_module.HistoryLostError:
            changes = None
        # What the source answers from now on is not among these changes.
        known_s, age_s = asyncio.get_running_loop().time(), source_age_s()
        steps = relay_codec.encoding(
            changes, lambda: age_s + asyncio.get_running_loop().time() - known_s
        )
        body = await slices.in_turns(steps)
        return messages.Response(200, body=body)

    return handle


def _position(text: bytes) -> source_module.Position | None:
    era, _, revision = text.partition(b".")
    if not (_is_number(era) and _is_number(revision)):
        return None
    return source_module.Position(int(era), int(revision))


def _is_number(text: bytes) -> bool:
    """Whether a text is a number that fits into the field of a message."""
    return (
        text.isdigit()
        and len(text) <= len(str(source_module.MAX_NUMBER))
        and int(text) <= source_module.MAX_NUMBER
    )


@attrs.define
class _Failures:
    """Recent failures of a relay."""

    in_a_row: int = 0
    skipped_until_s: float = 0.0
    """The time until which the relay is skipped."""


@attrs.define
class RelayedSource:
    """A source whose changes are requested from a relay where there is one."""

    source: source_module.Source
    decode_change: relay_codec.DecodeChange
    place: placement.Place
    peers: replicas_module.Replicas
    counters: counters_module.Counters
    peer_liveness: liveness_module.PeerLiveness
    rng: random.Random = attrs.field(factory=random.Random)
    weights_of: abc.Callable[[abc.Iterable[str]], placement.Weights] = (
        lambda names: placement.EQUAL_WEIGHTS
    )
    """Returns the weights of the named instances among each other."""
    _failures: dict[str, _Failures] = attrs.field(factory=dict)
    _source_asked_s: float = math.inf
    """When the request for changes that is pending at the source was sent; infinite if none is."""
    _source_retry_at_s: float = 0.0
    """The time from which the source may be asked again."""
    _source_failures: int = 0
    _uses_source: bool = True

    async def changes(self, after: source_module.Position, wait_s: float) -> source_module.Changes:
        """
        Wait for changes, from a relay or from the source.

        :raises HistoryLostError: some changes since the position are no longer available
        :raises SourceError: the source gave no usable answer
        """
        relays = self.relays()
        relay_wait_s = WAIT_S
        for relay in relays:
            if self._is_skipped(relay):
                continue
            if self._has_failed(relay):
                relay_wait_s = 0.0
            reply = await self._ask_relay(relay, after, relay_wait_s)
            if reply is None:
                # A wait at the next relay would add to the time spent on this one.
                relay_wait_s = 0.0
                continue
            if reply.history_lost:
                # Only the source may know the changes from before the relay started.
                break
            if reply.changes.age_s < MAX_AGE_S and reply.changes.era >= after.era:
                self.counters.add("relay.answered")
                self._source_failures = 0
                self._uses_source = False
                if relay is not relays[0]:
                    _log_standby_reply(relay, reply.changes)
                return reply.changes
            self.counters.add("relay.stale")
        if relay_wait_s == 0.0 and not all(map(self._is_skipped, relays)):
            # The relays are asked again soon, and a change while instances wait at the source costs
            # it a call for each of them.
            wait_s = 0.0
        return await self._ask_source(after, wait_s, has_relays=bool(relays))

    def relays(self) -> list[replica_module.Replica]:
        """Return the relays to ask, in order; none if this instance is the first relay."""
        names = self._relay_names()
        if names[0] == self.place.name:
            return []
        peers = {peer.entry.instance: peer for peer in self.peers.of(self.place.data_centre)}
        return [peers[name] for name in names if name in peers]

    def silent_instances(self, now_s: float) -> list[str]:
        """
        Return the instances that this one should have heard from recently and has not.

        The first relay hears from all others; the second relay only checks the first. If there are
        other instances, the first relay counts as silent only when some of them have turned to the
        second one as well; otherwise only the connection between the two relays is broken.
        """
        names = self._relay_names()
        others = [peer.entry.instance for peer in self.peers.of(self.place.data_centre)]
        if names[0] == self.place.name:
            return self.peer_liveness.find_silent(others, now_s)
        if self.place.name not in names:
            return []
        if len(others) > 1 and not self.peer_liveness.has_recent_contact(now_s, excluding=names[0]):
            return []
        return self.peer_liveness.find_silent(names[:1], now_s)

    def serves_peers(self) -> bool:
        """Whether this instance is a relay that requests its changes from the source."""
        return self._uses_source and self.place.name in self._relay_names()

    def source_asked_s(self) -> float:
        """
        Return when the pending request for changes was sent to the source.

        Infinite if none is pending there: a request that waits at a relay tells nothing about the
        source, since the relay may be frozen or cut off.
        """
        return self._source_asked_s

    def _relay_names(self) -> list[str]:
        peers = self.peers.of(self.place.data_centre)
        names = [self.place.name, *(peer.entry.instance for peer in peers)]
        return placement.preferred("news", names, RELAY_COUNT, self.weights_of(names))

    async def _ask_source(
        self, after: source_module.Position, wait_s: float, has_relays: bool
    ) -> source_module.Changes:
        """Ask the source; after a failure only with a delay if relays ask it as well."""
        now_s = asyncio.get_running_loop().time()
        self._uses_source = True
        if has_relays and now_s < self._source_retry_at_s:
            raise source_module.SourceError("asked_lately")
        self._source_asked_s = now_s
        try:
            changes = await self.source.changes(after, wait_s)
        except source_module.SourceError:
            delay_s = min(BACKOFF_MIN_S * 2**self._source_failures, BACKOFF_MAX_S)
            self._source_failures += 1
            now_s = asyncio.get_running_loop().time()
            self._source_retry_at_s = now_s + delay_s * self.rng.uniform(0.75, 1.25)
            raise
        finally:
            self._source_asked_s = math.inf
        self._source_failures = 0
        return changes

    def _is_skipped(self, relay: replica_module.Replica) -> bool:
        failures = self._failures.get(relay.entry.instance)
        return failures is not None and asyncio.get_running_loop().time() < failures.skipped_until_s

    def _has_failed(self, relay: replica_module.Replica) -> bool:
        failures = self._failures.get(relay.entry.instance)
        return (
            failures is not None and asyncio.get_running_loop().time() >= failures.skipped_until_s
        )

    async def _ask_relay(
        self, relay: replica_module.Replica, after: source_module.Position, wait_s: float
    ) -> relay_codec.Reply | None:
        """Ask a relay; ``None`` if it gives no usable reply."""
        name = self.place.name.encode()
        target = b"%s%d.%d/%d/%s" % (PATH, after.era, after.revision, wait_s * 1000, name)
        request = client.request_bytes(b"GET", target, [(b"host", b"instance")], b"")
        try:
            async with asyncio.timeout(wait_s + TIMEOUT_SLACK_S):
                async with relay.pool.connection(0) as connection:
                    response = await connection.exchange(request)
            if response.status != 200:
                return self._record_failure(relay, f"status_{response.status}")
            received_s = asyncio.get_running_loop().time()
            steps = relay_codec.decoding(response.body, self.decode_change)
            reply = _aged(await slices.in_turns(steps), received_s)
            if not reply.history_lost and not _can_continue(reply.changes, after):
                return self._record_failure(relay, f"revision {reply.changes.revision}")
        except (client.ConnectError, client.ExchangeError, relay_codec.MessageError) as error:
            return self._record_failure(relay, str(error))
        except TimeoutError:
            return self._record_failure(relay, "silent")
        except Exception as error:
            # One relay's reply must not keep this instance from asking the others.
            failures.report(error)
            return self._record_failure(relay, type(error).__name__)
        self._failures.pop(relay.entry.instance, None)
        self.peer_liveness.record_contact(relay.entry.instance, asyncio.get_running_loop().time())
        return reply

    def _record_failure(self, relay: replica_module.Replica, reason: str) -> None:
        name = relay.entry.instance
        if name not in self._failures:
            # Those of instances that have gone would stay for good.
            known = self.peers.instances()
            self._failures = {
                each: self._failures[each] for each in self._failures if each in known
            }
        failures = self._failures.setdefault(name, _Failures())
        failures.in_a_row += 1
        if failures.in_a_row >= FAILURES_TO_SKIP:
            failures.skipped_until_s = asyncio.get_running_loop().time() + SKIP_S
        self.counters.add("relay.failed")
        decisions.log("relay.failed", relay=name, reason=reason[:100], in_a_row=failures.in_a_row)


def _aged(reply: relay_codec.Reply, received_s: float) -> relay_codec.Reply:
    """Return a reply whose age includes the time since it was received."""
    age_s = reply.changes.age_s + asyncio.get_running_loop().time() - received_s
    return attrs.evolve(reply, changes=attrs.evolve(reply.changes, age_s=age_s))


def _can_continue(changes: source_module.Changes, after: source_module.Position) -> bool:
    """Whether the source can be at the position that a relay states; a relay may be behind."""
    return changes.position <= after or changes.position.can_follow(after)


def _log_standby_reply(relay: replica_module.Replica, changes: source_module.Changes) -> None:
    decisions.log(
        "relay.standby_answered",
        relay=relay.entry.instance,
        age_s=round(changes.age_s, 3),
        revision=changes.revision,
        changes=len(changes.changes),
    )
