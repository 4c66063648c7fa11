"""
Passing news on between the instances of a data centre.

The load pattern: instances that each follow the store make one call each for every change. So one
instance of a data centre asks the store, and the others ask that one. A second one stands by: it
asks the first like all others, and the store when that fails, and whoever can't use the first asks
it. What either says carries the age of the news: an instance that gets none young enough asks the
store itself within 1.9 s. The shortest time in which a configuration has to be in force is 3 s.
"""

from __future__ import annotations

import asyncio
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
from turmericlug.policy import attendance as attendance_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

PATH = b"/news/"
"""``/news/ERA.REVISION/WAIT_MS/NAME``: what has changed since, asked by the instance named."""
WAIT_S = 1.0
"""A relay that died is found out after it and the slack, well within 4 s."""
TIMEOUT_SLACK_S = 0.4
MAX_AGE_S = 1.6
"""A relay hears from the source each second at the latest, by renewing its lease; a slow answer
more is too long."""
RELAY_COUNT = 2
"""With one alone, its end sent all others of its data centre to the source."""
SKIP_S = 4.0
"""Time for which a relay is not asked that failed twice in a row: its entry is gone by then."""
FAILURES_TO_SKIP = 2
"""One failure may be that of a connection that went silent; the next question opens another."""
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 2.0
"""Pause of an instance between two questions to a source that did not answer it. Its relays ask
more often, and tell at once when the source is back."""


def handler(
    journal: journal_module.Journal,
    source_age_s: abc.Callable[[], float],
    attendance: attendance_module.Attendance,
) -> messages.Handler:
    """Return the handler of questions for news."""

    async def handle(request: messages.Request) -> messages.Answer:
        place, _, rest = request.target.removeprefix(PATH).partition(b"/")
        wait_ms, _, name = rest.partition(b"/")
        after = _position(place)
        if not (after and wait_ms.isdigit() and name):
            return messages.Answer(404)
        attendance.heard(name.decode("latin-1"), asyncio.get_running_loop().time())
        try:
            # Told as soon as they are too old: an instance that waited a second first, with news
            # that were a little younger than the limit, asked the source itself 3 s after the relay
            # lost it, when a configuration should have been in force.
            fresh_s = max(MAX_AGE_S - source_age_s(), 0.0)
            wait_s = min(WAIT_S, int(wait_ms) / 1000, fresh_s)
            changes = await journal.since(after, wait_s)
        except source_module.HistoryLostError:
            changes = None
        return messages.Answer(200, body=relay_codec.encode(changes, source_age_s()))

    return handle


def _position(text: bytes) -> source_module.Position | None:
    era, _, revision = text.partition(b".")
    if not (era.isdigit() and revision.isdigit()):
        return None
    return source_module.Position(int(era), int(revision))


@attrs.define
class _Failures:
    """How a relay has failed of late."""

    in_a_row: int = 0
    until_s: float = 0.0
    """Until when it is not asked."""


@attrs.define
class RelayedSource:
    """A source that asks another instance for changes, where one does that for all."""

    source: source_module.Source
    decode: relay_codec.Decode
    place: placement.Place
    peers: replicas_module.Replicas
    counters: counters_module.Counters
    attendance: attendance_module.Attendance
    rng: random.Random = attrs.field(factory=random.Random)
    _failures: dict[str, _Failures] = attrs.field(factory=dict)
    _source_retry_at_s: float = 0.0
    """From when the source may be asked directly again."""
    _source_failures: int = 0
    _uses_source: bool = True

    async def changes(self, after: source_module.Position, wait_s: float) -> source_module.Changes:
        """
        Wait for changes, from a relay or the source.

        :raises HistoryLostError: the changes since then are not known any more
        :raises SourceError: no answer
        """
        relays = self.relays()
        relay_wait_s = WAIT_S
        for relay in relays:
            if self._is_skipped(relay):
                continue
            told = await self._ask_relay(relay, after, relay_wait_s)
            if told is None:
                # The wait for the next one would add to that for this one.
                relay_wait_s = 0.0
                continue
            if told.lost:
                # Only the source may know what came before the relay was started.
                break
            if told.changes.age_s < MAX_AGE_S and told.changes.era >= after.era:
                self.counters.add("relay.answered")
                self._source_failures = 0
                self._uses_source = False
                return told.changes
            self.counters.add("relay.stale")
        return await self._ask_source(after, wait_s, has_relays=bool(relays))

    def relays(self) -> list[replica_module.Replica]:
        """Return the instances to ask, the first of them first; none where this is the first."""
        names = self._relay_names()
        if names[0] == self.place.name:
            return []
        peers = {each.entry.instance: each for each in self.peers.of(self.place.data_centre)}
        return [peers[name] for name in names if name in peers]

    def silent_instances(self, now_s: float) -> list[str]:
        """
        Return the instances that this one should hear from and does not.

        The first relay hears from all others, the second one from the first alone. That is missed
        only when others have turned to the second one as well, if there are any: else it is the way
        between the two that is cut.
        """
        names = self._relay_names()
        others = [each.entry.instance for each in self.peers.of(self.place.data_centre)]
        if names[0] == self.place.name:
            return self.attendance.silent(others, now_s)
        if self.place.name not in names:
            return []
        if len(others) > 1 and not self.attendance.is_asked(now_s, but=names[0]):
            return []
        return self.attendance.silent(names[:1], now_s)

    def serves_peers(self) -> bool:
        """Whether others rely on how lately this instance has heard from the source."""
        return self._uses_source and self.place.name in self._relay_names()

    def _relay_names(self) -> list[str]:
        peers = self.peers.of(self.place.data_centre)
        names = [self.place.name, *(each.entry.instance for each in peers)]
        return placement.usual("news", names, RELAY_COUNT)

    async def _ask_source(
        self, after: source_module.Position, wait_s: float, has_relays: bool
    ) -> source_module.Changes:
        """Ask the source; not at once again when it has failed and relays ask it as well."""
        now_s = asyncio.get_running_loop().time()
        self._uses_source = True
        if has_relays and now_s < self._source_retry_at_s:
            raise source_module.SourceError("asked_lately")
        try:
            changes = await self.source.changes(after, wait_s)
        except source_module.SourceError:
            pause_s = min(BACKOFF_MIN_S * 2**self._source_failures, BACKOFF_MAX_S)
            self._source_failures += 1
            now_s = asyncio.get_running_loop().time()
            self._source_retry_at_s = now_s + pause_s * self.rng.uniform(0.75, 1.25)
            raise
        self._source_failures = 0
        return changes

    def _is_skipped(self, relay: replica_module.Replica) -> bool:
        failures = self._failures.get(relay.entry.instance)
        return failures is not None and asyncio.get_running_loop().time() < failures.until_s

    async def _ask_relay(
        self, relay: replica_module.Replica, after: source_module.Position, wait_s: float
    ) -> relay_codec.Reply | None:
        """Ask a relay; ``None`` when it gives no answer."""
        name = self.place.name.encode()
        target = b"%s%d.%d/%d/%s" % (PATH, after.era, after.revision, wait_s * 1000, name)
        request = client.request_bytes(b"GET", target, [(b"host", b"instance")], b"")
        try:
            async with asyncio.timeout(wait_s + TIMEOUT_SLACK_S):
                async with relay.pool.connection(0) as connection:
                    response = await connection.exchange(request)
            if response.status != 200:
                return self._record_failure(relay, f"status_{response.status}")
            told = relay_codec.decode(response.body, self.decode)
        except (client.ConnectError, client.ExchangeError, relay_codec.MessageError) as error:
            return self._record_failure(relay, str(error))
        except TimeoutError:
            return self._record_failure(relay, "silent")
        self._failures.pop(relay.entry.instance, None)
        self.attendance.heard(relay.entry.instance, asyncio.get_running_loop().time())
        return told

    def _record_failure(self, relay: replica_module.Replica, reason: str) -> None:
        name = relay.entry.instance
        failures = self._failures.setdefault(name, _Failures())
        failures.in_a_row += 1
        if failures.in_a_row >= FAILURES_TO_SKIP:
            failures.until_s = asyncio.get_running_loop().time() + SKIP_S
        self.counters.add("relay.failed")
        decisions.log("relay.failed", relay=name, reason=reason[:100], in_a_row=failures.in_a_row)
