"""Whether this instance knows the newest configuration well enough to answer callers."""

from __future__ import annotations

import time
from collections import abc

import attrs

NEVER_S = float("-inf")


@attrs.frozen
class Revisions:
    """Revisions of the configuration documents."""

    rules: int = 0
    catalog: int = 0

    def covers(self, other: Revisions) -> bool:
        """Whether nothing in ``other`` is newer."""
        return self.rules >= other.rules and self.catalog >= other.catalog


class Freshness:
    """
    Evidence that our configuration is the newest, and when it was.

    A read of the store that began at time t proves that its revision was the newest at t. A peer
    that had such proof ``age`` ago hands it on: ours is then as old as the moment we asked, less
    that age. Only intervals measured on one clock are used, so clocks need not agree.

    An instance whose evidence is older than ``limit_ms`` serves on only while peers answer it; one
    that hears neither store nor peers steps aside, since the others may have moved on without it.
    """

    def __init__(self, limit_ms: int, now_s: abc.Callable[[], float] = time.monotonic) -> None:
        self._limit_s = limit_ms / 1000
        self._now_s = now_s
        self._store_at_s = NEVER_S
        self._peer_at_s = NEVER_S
        self._ticked_at_s = now_s()
        self.held = Revisions()
        self.wanted = Revisions()

    def tick(self) -> bool:
        """
        Note that this process runs.

        A gap means that it was frozen: whatever it knew may be outdated, though its clocks never
        showed it. Everything known from before is void until the store or a peer confirms it.

        :returns: whether a gap was found
        """
        now_s = self._now_s()
        gap = now_s - self._ticked_at_s > self._limit_s / 3
        self._ticked_at_s = now_s
        if gap:
            self._store_at_s = NEVER_S
            self._peer_at_s = NEVER_S
        return gap

    def record_store_read(self, began_at_s: float, revisions: Revisions) -> None:
        """Take a read of the store that began at a time."""
        if self._meets(revisions):
            self._store_at_s = max(self._store_at_s, began_at_s)

    def from_peer(self, asked_at_s: float, revisions: Revisions, age_ms: int) -> None:
        """Take what a peer says it holds and how old its evidence was when it answered."""
        if self._meets(revisions):
            self._peer_at_s = max(self._peer_at_s, asked_at_s)
            if revisions == self.held:
                self._store_at_s = max(self._store_at_s, asked_at_s - age_ms / 1000)

    def _meets(self, revisions: Revisions) -> bool:
        self.wanted = Revisions(
            max(self.wanted.rules, revisions.rules), max(self.wanted.catalog, revisions.catalog)
        )
        return self.held.covers(revisions)

    def age_ms(self) -> int:
        """How old our evidence is, as told to peers."""
        return int(min((self._now_s() - self._store_at_s) * 1000, 0xFFFFFFFF))

    def is_current(self) -> bool:
        """Whether this instance may answer callers now."""
        self.tick()
        if not self.held.rules or not self.held.covers(self.wanted):
            return False
        newest_at_s = max(self._store_at_s, self._peer_at_s)
        return self._now_s() - newest_at_s <= self._limit_s
