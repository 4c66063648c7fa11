"""
How often the store has returned from a copy some seconds old.

With each return it has lost its latest writes, acknowledged ones as well, and gives their revisions
out again. It tells the number of returns in its answers, and instances tell each other.
"""

from __future__ import annotations

import time
from collections import abc

from turmericlug.telemetry import events


class Eras:
    """The latest era heard of, and whom to tell of a later one."""

    def __init__(self, now_s: abc.Callable[[], float] = time.time) -> None:
        self._now_s = now_s
        self.latest = 0
        """0: none was told yet."""
        self.restored_at_s: float | None = None
        """Wall-clock time at which the latest return was heard of; ``None``: none so far."""
        self.on_restore: list[abc.Callable[[], None]] = []

    def observe(self, era: int) -> None:
        """Take note of the era that an answer or a peer tells."""
        if era <= self.latest:
            return
        before, self.latest = self.latest, era
        if not before:
            return
        self.restored_at_s = self._now_s()
        events.emit("store.returned_from_copy", "warning", era=era, before=before)
        for listener in self.on_restore:
            listener()
