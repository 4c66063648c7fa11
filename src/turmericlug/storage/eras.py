"""
Tracks the store's era, the number of its restores from a backup.

A backup is some seconds old, so each restore loses the latest writes, even acknowledged ones, and
their revisions are reused. The store states its era in its responses, and instances exchange it.
"""

from __future__ import annotations

import time
from collections import abc

from turmericlug.kernel import failures
from turmericlug.telemetry import events


class Eras:
    """The latest known era, and the callbacks for a restore."""

    def __init__(self, now_s: abc.Callable[[], float] = time.time) -> None:
        self._now_s = now_s
        self.latest = 0
        """0: no era has been received yet."""
        self.restored_at_s: float | None = None
        """Wall-clock time at which the latest restore was detected; ``None``: none so far."""
        self.on_restore: list[abc.Callable[[], None]] = []

    def observe(self, era: int) -> None:
        """Record the era stated by a response or a peer, and run the callbacks after a restore."""
        if era <= self.latest:
            return
        previous, self.latest = self.latest, era
        if not previous:
            return
        self.restored_at_s = self._now_s()
        events.emit("store.returned_from_copy", "warning", era=era, before=previous)
        for callback in self.on_restore:
            try:
                callback()
            except Exception as error:
                # This restore is not reported again.
                failures.report(error)
