"""
How much of a caller's time was gone before its request was sent.

The load pattern: a caller asks for addresses anew every few seconds and opens a connection where it
has none, and its goal runs meanwhile. Answered just before a goal that counts from the request's
arrival, urgent queries are late for their callers, while the instance takes them to be in time.

Callers state the time that they have left. Most of them send at once and state all of it, so that
the most that many state on a route is what its callers have in the beginning, and what one states
less is gone.
"""

from __future__ import annotations

import collections
import math

import attrs

KEPT = 64
"""Stated times that are looked at: some seconds of a route's requests at one instance."""
FULL_SHARE = 1 / 8
"""Part of the latest stated times that must be equal for them to be the time that callers of the
route have in the beginning. Where each caller has a time of its own no value comes so often, and
nothing is taken to be gone."""
FULL_LEAST = 3
"""Equal times without which nothing is said: one caller's own time is no rule."""


@attrs.define
class RemainingTimes:
    """The latest times left that callers of one route have stated, in whole milliseconds."""

    _latest: collections.deque[int] = attrs.field(factory=collections.deque)
    _counts: collections.Counter[int] = attrs.field(factory=collections.Counter)

    def add(self, left_ms: float) -> None:
        """Take note of a stated time."""
        if not math.isfinite(left_ms):
            return
        self._latest.append(round(left_ms))
        self._counts[round(left_ms)] += 1
        if len(self._latest) > KEPT:
            oldest = self._latest.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def spent_ms(self, left_ms: float, most_ms: float, guess_ms: float = 0.0) -> float:
        """
        Return how much of its time a caller that states some left has had already.

        :param guess_ms: what callers probably have in the beginning, until enough have said so
        :param most_ms: what may have gone before the first attempt; a caller that has had more was
            refused or failed before, and what it wants now is an answer soon from now on
        """
        least = max(FULL_LEAST, FULL_SHARE * len(self._latest))
        full_ms = max(
            (each for each, count in self._counts.items() if count >= least), default=guess_ms
        )
        spent_ms = full_ms - left_ms
        return spent_ms if 0 < spent_ms <= most_ms else 0.0
