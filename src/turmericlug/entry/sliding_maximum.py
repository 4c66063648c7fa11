"""The largest value of late, kept so that asking for it costs the same however many were noted."""

from __future__ import annotations

import collections


class SlidingMaximum:
    """
    A maximum over a sliding window.

    Holds only values that may still become the largest: one that a later value reaches never can.
    The load pattern: hundreds of instances start together and each notes a count for each that
    comes. Scanning all counts of the window at each would take a good part of a core.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._descending: collections.deque[tuple[float, int]] = collections.deque()

    def __len__(self) -> int:
        """Return how many values are held."""
        return len(self._descending)

    def add(self, now_s: float, value: int) -> None:
        """Take note of a value."""
        while self._descending and self._descending[-1][1] <= value:
            self._descending.pop()
        self._descending.append((now_s, value))

    def get(self, now_s: float) -> int:
        """Return the largest value noted within the window, 0 when there is none."""
        while self._descending and self._descending[0][0] <= now_s - self._window_s:
            self._descending.popleft()
        return self._descending[0][1] if self._descending else 0
