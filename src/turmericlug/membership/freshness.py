"""Whether this instance's configuration is recent enough to answer callers."""

from __future__ import annotations

import asyncio
import time
import typing
from collections import abc

import attrs

NEVER_S = float("-inf")


@attrs.frozen
class Revisions:
    """Revisions of the configuration documents."""

    rules: int = 0
    catalog: int = 0

    def covers(self, other: Revisions) -> bool:
        """Whether no revision of ``other`` is newer."""
        return self.rules >= other.rules and self.catalog >= other.catalog


class Freshness:
    """
    Track when this instance's configuration was last known to be the newest.

    A read of the store that began at time t proves that its revision was the newest at t. A peer's
    reply carries the age of the peer's evidence, so it proves the same for the time of the request
    minus that age. Only intervals measured on one clock are used, so clocks need not agree.

    An instance whose evidence from the store is older than ``limit_ms`` keeps serving only while
    peers answer. Without store and peers it stops serving, since the other instances may have
    applied a newer configuration.

    After a pause of the process all evidence is void until it is renewed. A renewal takes one
    exchange with a peer or the store, so that queries wait for it instead of being refused.
    """

    def __init__(self, limit_ms: int, now_s: abc.Callable[[], float] = time.monotonic) -> None:
        self._limit_s = limit_ms / 1000
        self._now_s = now_s
        self._store_evidence_at_s = NEVER_S
        self._peer_evidence_at_s = NEVER_S
        self._ticked_at_s = now_s()
        self._resumed_at_s = NEVER_S
        self._renewals: set[asyncio.Task[typing.Any]] = set()
        self._renewed = asyncio.Event()
        self.on_gap: list[abc.Callable[[], None]] = []
        """Called when a gap is found, to start renewals."""
        self.in_force = Revisions()
        self.newest_known = Revisions()
        self.refused = Revisions()
        """The last revisions that can't be read; they don't count as newer than those in force."""

    def tick(self) -> bool:
        """
        Record that this process runs.

        A gap between ticks means that the process was frozen and its configuration may be outdated,
        although its clocks may not show the pause. Discards all evidence until the store or
        a peer confirms the configuration again.

        :returns: whether a gap was found
        """
        now_s = self._now_s()
        gap = now_s - self._ticked_at_s > self._limit_s / 3
        self._ticked_at_s = now_s
        if gap:
            self._resumed_at_s = now_s
            self._store_evidence_at_s = NEVER_S
            self._peer_evidence_at_s = NEVER_S
            for listener in self.on_gap:
                listener()
        return gap

    def record_store_read(self, began_at_s: float, revisions: Revisions) -> None:
        """Record the revisions of a read of the store that began at ``began_at_s``."""
        if self._observe(revisions) and not self._is_from_before_gap(began_at_s):
            self._store_evidence_at_s = max(self._store_evidence_at_s, began_at_s)
            self._renewed.set()

    def record_peer_reply(self, requested_at_s: float, revisions: Revisions, age_ms: int) -> None:
        """Record a peer's revisions and the age of its evidence at the time of its reply."""
        if self._observe(revisions) and not self._is_from_before_gap(requested_at_s):
            self._peer_evidence_at_s = max(self._peer_evidence_at_s, requested_at_s)
            if revisions == self.in_force:
                self._store_evidence_at_s = max(
                    self._store_evidence_at_s, requested_at_s - age_ms / 1000
                )
            self._renewed.set()

    def _is_from_before_gap(self, began_at_s: float) -> bool:
        """Whether the process was suspended since then, for longer than its clock may show."""
        self.tick()
        return began_at_s < self._resumed_at_s

    def _observe(self, revisions: Revisions) -> bool:
        """Update the newest known revisions; return whether those in force cover ``revisions``."""
        self.newest_known = Revisions(
            max(self.newest_known.rules, revisions.rules),
            max(self.newest_known.catalog, revisions.catalog),
        )
        return self._covers(revisions)

    def _covers(self, revisions: Revisions) -> bool:
        """Whether each revision is in force, or can't be."""
        return self.in_force.covers(
            Revisions(
                0 if revisions.rules == self.refused.rules else revisions.rules,
                0 if revisions.catalog == self.refused.catalog else revisions.catalog,
            )
        )

    def age_ms(self) -> int:
        """Return the age of the evidence from the store, as sent to peers."""
        return int(min((self._now_s() - self._store_evidence_at_s) * 1000, 0xFFFFFFFF))

    def is_current(self) -> bool:
        """Whether this instance may answer callers now."""
        self.tick()
        if not self.in_force.rules or not self._covers(self.newest_known):
            return False
        newest_at_s = max(self._store_evidence_at_s, self._peer_evidence_at_s)
        return self._now_s() - newest_at_s <= self._limit_s

    def track_renewal(self, renewal: asyncio.Task[typing.Any]) -> None:
        """Let queries wait for evidence until the end of a task, which has its own timeouts."""
        self._renewals.add(renewal)
        renewal.add_done_callback(self._on_renewal_end)

    def _on_renewal_end(self, renewal: asyncio.Task[typing.Any]) -> None:
        self._renewals.discard(renewal)
        self._renewed.set()

    async def wait_until_current(self, end_s: float) -> bool:
        """
        Wait until this instance may answer callers, as long as evidence is being renewed.

        :param end_s: time on the clock of this object after which not to wait any more
        :returns: whether this instance may answer callers now
        """
        try:
            async with asyncio.timeout(max(end_s - self._now_s(), 0.0)):
                while not self.is_current() and self._renewals:
                    self._renewed.clear()
                    await self._renewed.wait()
        except TimeoutError:
            pass
        return self.is_current()
