"""
Estimate of the time that a caller had spent before it sent its request.

The load pattern: a caller refreshes its addresses every few seconds and opens a connection where it
has none, while its latency goal is already running. If an urgent query is answered just within a
goal that is counted from the request's arrival, it is late for the caller, although the instance
counts it as in time.

Each request states the caller's remaining time. Most callers send at once and state their whole
timeout. The largest value that many requests of a route state is therefore taken as the initial
timeout of its callers, and the difference to a smaller value as time already spent.
"""

from __future__ import annotations

import collections
import math

import attrs

MAX_SAMPLES = 64
"""Remaining times that are evaluated: a few seconds of the requests for one route at one
instance."""
MIN_COUNT_SHARE = 1 / 8
"""Share of the samples that must be equal to be taken as the initial timeout of the route's
callers. If each caller has its own timeout, no value is that frequent, and no time counts as
spent."""
MIN_COUNT = 3
"""Least number of equal samples that give an estimate: a single caller's timeout says nothing about
the others."""


@attrs.define
class RemainingTimes:
    """The latest remaining times stated by callers of one route, in whole milliseconds."""

    _latest: collections.deque[int] = attrs.field(factory=collections.deque)
    _counts: collections.Counter[int] = attrs.field(factory=collections.Counter)

    def add(self, remaining_ms: float) -> None:
        """Add a sample."""
        if not math.isfinite(remaining_ms):
            return
        self._latest.append(round(remaining_ms))
        self._counts[round(remaining_ms)] += 1
        if len(self._latest) > MAX_SAMPLES:
            oldest = self._latest.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def spent_ms(self, remaining_ms: float, max_ms: float, default_ms: float = 0.0) -> float:
        """
        Return the time that a caller has spent before it sent a request.

        :param remaining_ms: the remaining time that the request states
        :param max_ms: the most that a caller can have spent before its first attempt; one that has
            spent more was refused or failed before, and should simply be answered as soon as
            possible from now on
        :param default_ms: the assumed initial timeout until there are enough equal samples
        """
        min_count = max(MIN_COUNT, MIN_COUNT_SHARE * len(self._latest))
        initial_ms = max(
            (stated_ms for stated_ms, count in self._counts.items() if count >= min_count),
            default=default_ms,
        )
        spent_ms = initial_ms - remaining_ms
        return spent_ms if 0 < spent_ms <= max_ms else 0.0


def parse_remaining_ms(value: bytes | None) -> float:
    """
    Return the remaining time that the caller states.

    Without a valid number it is infinite, so that the route's timeout applies.
    """
    if not value or b"_" in value:
        return math.inf  # Python reads 1_0 as 10, which is no number in a header.
    try:
        stated_ms = float(value)
    except ValueError:
        return math.inf
    return math.inf if math.isnan(stated_ms) else max(stated_ms, 0.0)
