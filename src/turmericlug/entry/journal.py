"""The latest news of the source, kept for the instances that ask this one for them."""

from __future__ import annotations

import asyncio
import collections
import math

from turmericlug.entry import source

MAX_CHANGES = 4000
"""Some minutes of changes of a large deployment, or one start of all its replicas."""


class Journal:
    """The latest changes, for those that ask what has happened since a position."""

    def __init__(self) -> None:
        self._changes: collections.deque[source.Change] = collections.deque(maxlen=MAX_CHANGES)
        self._known_from: source.Position | None = None
        self.position: source.Position | None = None
        """Up to where changes are known; ``None`` before the first reading."""
        self._eras: dict[int, tuple[int, float]] = {}
        """Between which revisions of each era the changes are known here."""
        self._arrived = asyncio.Event()

    def restart(self, position: source.Position) -> None:
        """Know nothing of what was before a position."""
        self._changes.clear()
        self._known_from = self.position = position
        self._eras = {position.era: (position.revision, math.inf)}

    def add(self, changes: source.Changes) -> None:
        """
        Take note of changes, in order.

        The first ones of an era are what a whole reading has changed: from its position on, and
        from what was known of the era before, others can go on here.
        """
        if self.position is None:
            self.restart(changes.position)
            return
        if changes.era > self.position.era:
            begun, _ = self._eras[self.position.era]
            self._eras[self.position.era] = (begun, self.position.revision)
            self._eras[changes.era] = (changes.revision, math.inf)
        for change in changes.changes:
            if len(self._changes) == MAX_CHANGES:
                self._known_from = self._changes[0].position
            self._changes.append(change)
        self.position = max(self.position, changes.position)
        arrived, self._arrived = self._arrived, asyncio.Event()
        arrived.set()

    async def since(self, after: source.Position, wait_s: float) -> source.Changes:
        """
        Return the changes after a position, waiting for one if there is none.

        :raises HistoryLostError: they are not all known
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
        found = tuple(change for change in self._changes if change.position > after)
        return source.Changes(found, position.revision, era=position.era)

    def _position_for(self, after: source.Position) -> source.Position:
        """
        Return up to where changes are known, for somebody who knows them up to a position.

        :raises HistoryLostError: some of those between are not known
        """
        begun, ended = self._eras.get(after.era, (math.inf, -math.inf))
        known = begun <= after.revision <= ended
        if self.position is None or self._known_from is None or not known:
            raise source.HistoryLostError
        if after < self._known_from:
            raise source.HistoryLostError
        return self.position
