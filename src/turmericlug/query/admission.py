"""Admission checks of a coordinator before a query starts: overload and rate limits."""

from __future__ import annotations

import math
import random
import time

import attrs

from turmericlug.owner import policy

_WAIT_MAX_AGE_S = 0.3
"""Age from which a predicted wait is ignored."""
_MAX_WAITS = 10000
_MAX_BUCKETS = 10000
"""Rules with a rate, some times those of the largest document."""


@attrs.define
class TokenBucket:
    """A rate limit; each instance applies its share of the rule's rate."""

    rate_per_s: float
    tokens: float
    refilled_at_s: float

    def take(self, now_s: float) -> float:
        """Take a token; return 0 if there was one, else the seconds until there is one."""
        burst = max(1.0, self.rate_per_s)
        self.tokens = min(burst, self.tokens + (now_s - self.refilled_at_s) * self.rate_per_s)
        self.refilled_at_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate_per_s


class Admission:
    """Queue waits that owners recently predicted, and the rate limits of the rules."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waits: dict[tuple[str, int, str], tuple[float, float]] = {}
        self._buckets: dict[tuple[str, float], TokenBucket] = {}

    def record_wait(self, service: str, priority: int, caller: str, wait_ms: float) -> None:
        """Record the wait that an owner predicts for a new part."""
        if len(self._waits) > _MAX_WAITS:
            self._waits.clear()
        self._waits[service, priority, caller] = (wait_ms, time.monotonic())

    def overload_retry_after_ms(
        self, services: tuple[str, ...], priority: int, caller: str, remaining_ms: float
    ) -> int:
        """
        Decide whether to refuse a new query because its owners are overloaded.

        :returns: the delay after which to retry, 0 if the query is admitted
        """
        now_s = time.monotonic()
        longest_wait_ms = 0.0
        for service in services:
            wait_ms, recorded_at_s = self._waits.get((service, priority, caller), (0.0, 0.0))
            if now_s - recorded_at_s < _WAIT_MAX_AGE_S:
                longest_wait_ms = max(longest_wait_ms, wait_ms)
        if self._rng.random() < policy.refusal_probability(longest_wait_ms, 0.0, remaining_ms):
            return policy.retry_after_ms(longest_wait_ms, self._rng)
        return 0

    def rate_limit_retry_after_ms(self, rule: str, rate_per_s: float, instances: int) -> int:
        """Count a query against a rule's rate; return the retry delay, 0 if it is admitted."""
        instance_rate_per_s = rate_per_s / max(instances, 1)
        now_s = time.monotonic()
        bucket = self._buckets.get((rule, instance_rate_per_s))
        if bucket is None:
            self._buckets = {key: other for key, other in self._buckets.items() if key[0] != rule}
            bucket = TokenBucket(instance_rate_per_s, 1.0, now_s)
            self._buckets[rule, instance_rate_per_s] = bucket
            if len(self._buckets) > _MAX_BUCKETS:
                # The one that was not used for the longest is that of a rule that has gone.
                del self._buckets[min(self._buckets, key=lambda k: self._buckets[k].refilled_at_s)]
        return math.ceil(bucket.take(now_s) * 1000)
