"""
Admission, backoff, ejection, concurrency limits and hedge delay.

The functions depend only on their arguments; the classes hold the state of some decisions.
"""

from __future__ import annotations

import math
import random
import typing
from collections import abc

import attrs

from turmericlug.policy import backoff

EJECT_AFTER_FAILURES = 3
"""Consecutive failures after which a replica is ejected."""
EJECTION_BASE_MS = 500.0
EJECTION_MAX_MS = 10000.0
BACKOFF_BASE_MS = 4.0
BACKOFF_MAX_MS = 100.0
INITIAL_CONCURRENCY_LIMIT = 1.0
REFUSE_NONE_BELOW = 0.1
REFUSE_ALL_FROM = 0.35
"""
Predicted queue wait as a share of a query's spare time: below the first no new query is refused,
from the second every one.
"""
CONCURRENCY_LIMIT_INCREASE = 0.25


def predicted_wait_ms(parts_ahead: int, slots: float, service_ms: float) -> float:
    """
    Estimate how long a part waits for a slot.

    :param parts_ahead: parts that are served before it, queued or in flight
    :param slots: sum of the concurrency limits of the replicas
    :param service_ms: mean service time of one part
    """
    if parts_ahead < slots:
        return 0.0
    return (parts_ahead - slots + 1) * service_ms / max(slots, 1.0)


def fits_deadline(remaining_ms: float, wait_ms: float, service_ms: float) -> bool:
    """Whether a part is expected to finish before its deadline."""
    return wait_ms + service_ms <= remaining_ms


def retry_after_ms(wait_ms: float, rng: random.Random) -> int:
    """Draw a retry delay that spreads callers over the time in which the queue empties."""
    return int(rng.uniform(0.5, 1.5) * max(wait_ms, 20.0)) + 1


def refusal_probability(wait_ms: float, service_ms: float, remaining_ms: float) -> float:
    """
    Return the probability with which to refuse a new query before it starts.

    If one of twenty owners refuses its part of a query, the work of the other nineteen is wasted.
    So the coordinators refuse whole queries first: none while the predicted wait is below a tenth
    (``REFUSE_NONE_BELOW``) of the spare time, all from ``REFUSE_ALL_FROM``, and a linearly growing
    share between. A longer queue only delays every answer: it keeps the slots no busier.
    """
    spare_ms = remaining_ms - service_ms
    if spare_ms <= 0:
        return 1.0
    used_share = wait_ms / spare_ms
    return min(
        max((used_share - REFUSE_NONE_BELOW) / (REFUSE_ALL_FROM - REFUSE_NONE_BELOW), 0.0), 1.0
    )


def backoff_ms(attempt: int, rng: random.Random) -> float:
    """Draw the delay before a retry: exponential backoff with full jitter."""
    return rng.uniform(0, backoff.delay(BACKOFF_BASE_MS, BACKOFF_MAX_MS, attempt + 1))


def ejection_ms(ejections: int) -> float:
    """Return the duration of the n-th consecutive ejection of a replica."""
    return backoff.delay(EJECTION_BASE_MS, EJECTION_MAX_MS, ejections)


def increased_limit(limit: float, max_limit: float) -> float:
    """Increase a concurrency limit after a success: by one slot per 4 * limit successes."""
    return min(max_limit, limit + CONCURRENCY_LIMIT_INCREASE / max(limit, 1.0))


def decreased_limit(limit: float) -> float:
    """Halve a concurrency limit after the target refused an attempt."""
    return max(1.0, limit / 2)


class HasLoad(typing.Protocol):
    """The fields by which replicas are compared."""

    in_flight: int
    limit: float
    latency_ms: float
    suspected: bool


Candidate = typing.TypeVar("Candidate", bound=HasLoad)


def least_loaded(candidates: abc.Iterable[Candidate]) -> Candidate | None:
    """
    Select the replica with a free slot that has the fewest attempts in flight, ties by latency.

    A suspected replica is selected only when no other has a free slot. A health check can be wrong
    either way, so it neither excludes the replica nor is ignored.
    """
    with_free_slot = [
        replica for replica in candidates if replica.in_flight < math.floor(replica.limit + 1e-9)
    ]
    return min(
        with_free_slot,
        key=lambda replica: (replica.suspected, replica.in_flight, replica.latency_ms),
        default=None,
    )


@attrs.define
class TokenBudget:
    """
    Budget that keeps extra attempts at a fixed share of the parts.

    Without it, hedges and retries add load exactly when a target is slow because of load.
    """

    share: float
    max_tokens: float = 10.0
    tokens: float = 1.0

    def deposit(self) -> None:
        """Credit the share of one part."""
        self.tokens = min(self.max_tokens, self.tokens + self.share)

    def try_spend(self) -> bool:
        """Take one token if a whole one is left; return whether it was taken."""
        if self.tokens < 1.0 or not self.share:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class HedgeDelay:
    """
    Factor on the percentile of recent durations after which a part is hedged.

    If service times vary little, an attempt that is older than the percentile is nearly done, and a
    hedge only adds load. So each hedge that loses raises the factor and each one that wins lowers
    it; the two balance when about one hedge in six wins.
    """

    factor: float = 1.0
    increase: float = 1.03
    decrease: float = 0.85
    max_factor: float = 4.0

    def record_result(self, won: bool) -> None:
        """Adjust the factor to the result of a hedge."""
        change = self.decrease if won else self.increase
        self.factor = min(self.max_factor, max(1.0, self.factor * change))


class DurationWindow:
    """A window of the latest durations, with a moving mean and percentiles."""

    def __init__(self, size: int = 200) -> None:
        self._size = size
        self._window: list[float] = []
        self._next_index = 0
        self._added_since_sort = 0
        self._sorted: list[float] = []
        self.mean_ms = 0.0

    def add(self, duration_ms: float) -> None:
        """Record one duration."""
        if len(self._window) < self._size:
            self._window.append(duration_ms)
        else:
            self._window[self._next_index] = duration_ms
        self._next_index = (self._next_index + 1) % self._size
        self._added_since_sort += 1
        self.mean_ms += (duration_ms - self.mean_ms) / min(len(self._window), 50)

    def percentile_ms(self, percentile: float) -> float | None:
        """Return a percentile, ``None`` while there are fewer than 20 durations."""
        if len(self._window) < 20:
            return None
        if not self._sorted or self._added_since_sort >= 16:
            self._sorted = sorted(self._window)
            self._added_since_sort = 0
        return self._sorted[min(len(self._sorted) - 1, int(len(self._sorted) * percentile / 100))]
