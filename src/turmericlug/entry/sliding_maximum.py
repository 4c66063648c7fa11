"""The maximum over a sliding window, read at a cost that does not grow with the values added."""

from __future__ import annotations

import collections


class SlidingMaximum:
    """
    A maximum over a sliding window, as a monotonic queue.

    Holds only values that may still become the maximum: a value that a later one equals or exceeds
    never can. When hundreds of instances start together, each records a count for every instance
    that appears. Scanning all counts of the window each time would take a good part of a core.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._descending: collections.deque[tuple[float, float]] = collections.deque()

    def __len__(self) -> int:
        """Return the number of values held."""
        return len(self._descending)

    def add(self, now_s: float, value: float) -> None:
        """Add a value."""
        while self._descending and self._descending[-1][1] <= value:
            self._descending.pop()
        self._descending.append((now_s, value))

    def get(self, now_s: float) -> float:
        """Return the largest value added within the window, 0 if there is none."""
        while self._descending and self._descending[0][0] <= now_s - self._window_s:
            self._descending.popleft()
        return self._descending[0][1] if self._descending else 0
