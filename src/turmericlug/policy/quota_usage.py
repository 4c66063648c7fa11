"""
Quotas of organisations: what has been taken from a bucket of tokens, by whom and when.

The load pattern: an organisation has spent its burst, its limit is lowered by mistake, and restored
a moment later. The rule bounds what runs in a window, so that a bucket whose limit is raised must
hold no more than one that has had the raised limit all the time.
"""

from __future__ import annotations

import collections
import math

import attrs

SLOTS_PER_WINDOW = 20
"""Resolution in time: a quarter of a second in a window of five."""


@attrs.define
class Account:
    """What the holder knows about one start of one instance."""

    used: int
    reported_s: float
    sequence: int = 0
    held: int = 0
    expires_s: float = math.inf
    """When the tokens that are held return to the bucket."""
    knows_limited: bool = False
    """Whether the instance was last told that the organisation is limited."""


@attrs.define
class RecentUse:
    """Tokens taken in the last window, less those that were given back."""

    window_s: float
    _slots: collections.deque[tuple[float, float]] = attrs.field(factory=collections.deque)
    """Time of the first change in each slot, and the tokens taken in it."""

    def add(self, now_s: float, tokens: float) -> None:
        """
        Count tokens that are taken.

        :param tokens: negative if they are given back
        """
        slot_s = self.window_s / SLOTS_PER_WINDOW
        while self._slots and self._slots[0][0] < now_s - self.window_s - slot_s:
            self._slots.popleft()
        if self._slots and now_s - self._slots[-1][0] < slot_s:
            first_s, taken = self._slots.pop()
            self._slots.append((first_s, taken + tokens))
        else:
            self._slots.append((now_s, tokens))

    def total(self, now_s: float) -> float:
        """Return the tokens taken in the last window."""
        return sum(taken for first_s, taken in self._slots if now_s - first_s <= self.window_s)

    def level(self, capacity: float, refill_per_s: float, now_s: float) -> float:
        """Return the level of a bucket from which the same tokens were taken, and that was full."""
        level, taken = capacity, 0.0
        for first_s, tokens in reversed(self._slots):
            if now_s - first_s > self.window_s:
                break
            taken += tokens
            level = min(level, capacity + refill_per_s * (now_s - first_s) - taken)
        return level
