"""Decisions under load: functions of explicit inputs, and the small state some of them need."""

from __future__ import annotations

import math
import random
import typing
from collections import abc

import attrs

EJECT_AFTER = 3
"""Failures in a row that set a replica aside."""
EJECT_BASE_MS = 500.0
EJECT_MAX_MS = 10000.0
BACKOFF_BASE_MS = 4.0
BACKOFF_MAX_MS = 100.0
SLOW_START_LIMIT = 1.0
REFUSE_NONE = 0.1
REFUSE_ALL = 0.35
"""Shares of a query's time that owners' queues may use up before queries are refused."""
ADDITIVE_STEP = 0.25


def predicted_wait_ms(ahead: int, slots: float, service_ms: float) -> float:
    """
    Estimate how long a part waits for a slot.

    :param ahead: parts that go before it, queued or running
    :param slots: slots of all replicas together
    :param service_ms: mean time that a target takes for one part
    """
    if ahead < slots:
        return 0.0
    return (ahead - slots + 1) * service_ms / max(slots, 1.0)


def admits(remaining_ms: float, wait_ms: float, service_ms: float) -> bool:
    """Tell whether a part can be expected to finish within its deadline."""
    return wait_ms + service_ms <= remaining_ms


def come_back_ms(wait_ms: float, rng: random.Random) -> int:
    """Spread returning callers over the time that the present queue takes to drain."""
    return int(rng.uniform(0.5, 1.5) * max(wait_ms, 20.0)) + 1


def refuse_share(wait_ms: float, service_ms: float, remaining_ms: float) -> float:
    """
    Tell which share of new queries to turn away before they start.

    A query refused by one of its twenty owners has wasted the work of the other nineteen, so the
    coordinators refuse whole queries first: none while the queue takes up less than a tenth of
    the time at hand, all once it takes up ``REFUSE_ALL``, and evenly between. A longer queue would
    not keep the slots busier, it would only make every answer late.
    """
    spare_ms = remaining_ms - service_ms
    if spare_ms <= 0:
        return 1.0
    used = wait_ms / spare_ms
    return min(max((used - REFUSE_NONE) / (REFUSE_ALL - REFUSE_NONE), 0.0), 1.0)


def backoff_ms(attempt: int, rng: random.Random) -> float:
    """Draw a pause before a retry: exponential with full jitter."""
    return rng.uniform(0, min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2**attempt))


def ejection_ms(ejections: int) -> float:
    """Tell how long a replica stays aside after its n-th ejection in a row."""
    return min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** max(ejections - 1, 0))


def raised_limit(limit: float, ceiling: float) -> float:
    """Raise a concurrency limit after a success: one slot per four successes."""
    return min(ceiling, limit + ADDITIVE_STEP / max(limit, 1.0))


def lowered_limit(limit: float) -> float:
    """Halve a concurrency limit after a refusal by the target."""
    return max(1.0, limit / 2)


class HasLoad(typing.Protocol):
    """What choosing a replica looks at."""

    in_flight: int
    limit: float
    latency_ms: float
    suspected: bool


Choice = typing.TypeVar("Choice", bound=HasLoad)


def choose(candidates: abc.Iterable[Choice]) -> Choice | None:
    """
    Pick a replica with a free slot: the least in flight, ties by recent latency.

    One under suspicion is taken only when no other has a slot: its own word may mislead either
    way, so that it is neither trusted nor lost.
    """
    free = [each for each in candidates if each.in_flight < math.floor(each.limit + 1e-9)]
    return min(
        free, key=lambda each: (each.suspected, each.in_flight, each.latency_ms), default=None
    )


@attrs.define
class Budget:
    """
    Tokens that grow with the work done, so that extra work stays a fixed share of it.

    Without it, hedges and retries add load just when a target is slow from load.
    """

    share: float
    most: float = 10.0
    tokens: float = 1.0

    def earn(self) -> None:
        """Add the share of one part."""
        self.tokens = min(self.most, self.tokens + self.share)

    def spend(self) -> bool:
        """Take a token if there is a whole one."""
        if self.tokens < 1.0 or not self.share:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class HedgeClock:
    """
    When a part counts as late: a percentile of the recent times, raised while hedges don't pay.

    Where service times are narrow, the first attempt of a part past the percentile is nearly done,
    and a hedge only adds load. So each hedge that loses raises the age at which the next one
    starts and each that wins lowers it; the two balance where about one hedge in six wins.
    """

    factor: float = 1.0
    raise_by: float = 1.03
    lower_by: float = 0.85
    most: float = 4.0

    def learn(self, won: bool) -> None:
        """Take note of how a hedge ended."""
        change = self.lower_by if won else self.raise_by
        self.factor = min(self.most, max(1.0, self.factor * change))


class DurationWindow:
    """A window of the latest durations, with their mean and percentiles."""

    def __init__(self, size: int = 200) -> None:
        self._size = size
        self._window: list[float] = []
        self._next = 0
        self._stale = 0
        self._sorted: list[float] = []
        self.mean_ms = 0.0

    def add(self, duration_ms: float) -> None:
        """Record one duration."""
        if len(self._window) < self._size:
            self._window.append(duration_ms)
        else:
            self._window[self._next] = duration_ms
        self._next = (self._next + 1) % self._size
        self._stale += 1
        self.mean_ms += (duration_ms - self.mean_ms) / min(len(self._window), 50)

    def percentile_ms(self, percentile: float) -> float | None:
        """Return a percentile, or ``None`` before there are enough durations to tell."""
        if len(self._window) < 20:
            return None
        if not self._sorted or self._stale >= 16:
            self._sorted = sorted(self._window)
            self._stale = 0
        return self._sorted[min(len(self._sorted) - 1, int(len(self._sorted) * percentile / 100))]
