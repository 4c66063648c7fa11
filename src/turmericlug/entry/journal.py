"""The latest news of the source, kept for the instances that ask this one for them."""

from __future__ import annotations

import asyncio
import collections

from turmericlug.entry import news

KEPT_CHANGES = 4000
"""Some minutes of changes of a large deployment, or one start of all its replicas."""


class Journal:
    """The latest changes, for those that ask what has happened since a revision."""

    def __init__(self) -> None:
        self._changes: collections.deque[news.Change] = collections.deque(maxlen=KEPT_CHANGES)
        self._known_from = -1
        self.revision = -1
        self._arrived = asyncio.Event()

    def restart(self, revision: int) -> None:
        """Know nothing of what was before a revision."""
        self._changes.clear()
        self._known_from = self.revision = revision

    def add(self, changes: news.Changes) -> None:
        """Take note of changes, in order."""
        for change in changes.changes:
            if len(self._changes) == KEPT_CHANGES:
                self._known_from = self._changes[0].revision
            self._changes.append(change)
        self.revision = max(self.revision, changes.revision)
        arrived, self._arrived = self._arrived, asyncio.Event()
        arrived.set()

    async def since(self, after: int, wait_s: float) -> news.Changes:
        """
        Return the changes after a revision, waiting for one if there is none.

        :raises HistoryLostError: they are not all known
        """
        if self._known_from < 0 or after < self._known_from:
            raise news.HistoryLostError
        if self.revision <= after:
            arrived = self._arrived
            try:
                async with asyncio.timeout(wait_s):
                    await arrived.wait()
            except TimeoutError:
                pass
            if after < self._known_from:
                raise news.HistoryLostError
        found = tuple(change for change in self._changes if change.revision > after)
        return news.Changes(found, max(self.revision, after))
