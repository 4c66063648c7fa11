"""A bounded history of the source's changes, served to the instances that use this one as relay."""

from __future__ import annotations

import asyncio
import collections
import math

from turmericlug.entry import source

MAX_CHANGES = 4000
"""Some minutes of changes of a large deployment, or one start of all its replicas."""
MAX_CONTENT_BYTES = 8 * 1024 * 1024
"""Sum of the values kept, which take some times as much decoded. Clients that ask for older changes
read everything from the source."""


MAX_ERAS = 16
"""Restores of the source across which requests can continue."""


class Journal:
    """The latest changes, to answer requests for all changes after a position."""

    def __init__(self) -> None:
        self._changes: collections.deque[source.Change] = collections.deque()
        self._content_bytes = 0
        self._known_from: source.Position | None = None
        self.position: source.Position | None = None
        """The position up to which changes are known; ``None`` before the first snapshot."""
        self._eras: dict[int, tuple[int, float]] = {}
        """First and last revision of each era between which all changes are known."""
        self._arrived = asyncio.Event()

    def restart(self, position: source.Position) -> None:
        """Drop all changes and continue from a position."""
        self._clear()
        self._known_from = self.position = position
        self._eras = {position.era: (position.revision, math.inf)}

    def discard(self) -> None:
        """Drop all changes, as some may be missing; the next snapshot starts the journal again."""
        self._clear()
        self._known_from = self.position = None
        self._eras = {}
        self._wake_waiting()

    def add(self, changes: source.Changes) -> None:
        """
        Append changes, in order.

        The first changes of an era are the difference that a full snapshot made. Requests can
        continue from the position of that snapshot, and from any known position of the era before.
        """
        if self.position is None:
            self.restart(changes.position)
            return
        if changes.era > self.position.era:
            first, _ = self._eras[self.position.era]
            self._eras[self.position.era] = (first, self.position.revision)
            self._eras[changes.era] = (changes.revision, math.inf)
            if len(self._eras) > MAX_ERAS:
                del self._eras[min(self._eras)]
        for change in changes.changes:
            self._changes.append(change)
            self._content_bytes += _content_size(change)
        while len(self._changes) > MAX_CHANGES or self._content_bytes > MAX_CONTENT_BYTES:
            self._drop_oldest()
        self.position = max(self.position, changes.position)
        self._wake_waiting()

    def _clear(self) -> None:
        self._changes.clear()
        self._content_bytes = 0

    def _drop_oldest(self) -> None:
        change = self._changes.popleft()
        self._content_bytes -= _content_size(change)
        # A change whose revision could not be read has position 0.
        self._known_from = max(self._known_from, change.position)

    def _wake_waiting(self) -> None:
        arrived, self._arrived = self._arrived, asyncio.Event()
        arrived.set()

    async def since(self, after: source.Position, wait_s: float) -> source.Changes:
        """
        Return the changes after a position; wait for one if there is none yet.

        :raises HistoryLostError: some of them are no longer known
        """
        position = self._position_for(after)
        if position <= after:
            arrived = self._arrived
            try:
                async with asyncio.timeout(wait_s):
                    await arrived.wait()
            except TimeoutError:
                pass
            position = max(self._position_for(after), after)
        changes = tuple(change for change in self._changes if change.position > after)
        return source.Changes(changes, position.revision, era=position.era)

    def _position_for(self, after: source.Position) -> source.Position:
        """
        Return the latest known position, for a client that is at position ``after``.

        :raises HistoryLostError: some changes between the two are not known
        """
        first, last = self._eras.get(after.era, (math.inf, -math.inf))
        known = first <= after.revision <= last
        if self.position is None or self._known_from is None or not known:
            raise source.HistoryLostError
        if after < self._known_from:
            raise source.HistoryLostError
        if after > self.position and not after.can_follow(self.position):
            # The client took its position from a malformed answer: nothing would ever follow it.
            raise source.HistoryLostError
        return self.position


def _content_size(change: source.Change) -> int:
    return 0 if isinstance(change, source.Removed) else len(change.content)
