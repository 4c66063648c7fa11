"""What a coordinator checks before a query starts: overload, rate limits, room of its own."""

from __future__ import annotations

import math
import random
import time

import attrs

from turmericlug.owner import policy

_WAIT_VALID_S = 0.3
_MOST_WAITS = 10000


@attrs.define
class TokenBucket:
    """A rate limit; each instance takes its share of the rule's rate."""

    rate_per_s: float
    tokens: float
    filled_at_s: float

    def take(self, now_s: float) -> float:
        """Take a token; returns the seconds until there is one, 0 if it was taken."""
        burst = max(1.0, self.rate_per_s)
        self.tokens = min(burst, self.tokens + (now_s - self.filled_at_s) * self.rate_per_s)
        self.filled_at_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate_per_s


class Admission:
    """What owners lately said of their queues, and the rate limits of the rules."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waits: dict[tuple[str, int, str], tuple[float, float]] = {}
        self._buckets: dict[tuple[str, float], TokenBucket] = {}

    def note_wait(self, service: str, priority: int, caller: str, wait_ms: float) -> None:
        """Take an owner's word on how long a new part would wait."""
        if len(self._waits) > _MOST_WAITS:
            self._waits.clear()
        self._waits[service, priority, caller] = (wait_ms, time.monotonic())

    def refusal_ms(
        self, services: tuple[str, ...], priority: int, caller: str, remaining_ms: float
    ) -> int:
        """
        Decide whether owners are too busy for a new query.

        :returns: when to come back, 0 to go ahead
        """
        now_s = time.monotonic()
        worst_ms = 0.0
        for service in services:
            wait_ms, at_s = self._waits.get((service, priority, caller), (0.0, 0.0))
            if now_s - at_s < _WAIT_VALID_S:
                worst_ms = max(worst_ms, wait_ms)
        if self._rng.random() < policy.refuse_share(worst_ms, 0.0, remaining_ms):
            return policy.come_back_ms(worst_ms, self._rng)
        return 0

    def over_rate_ms(self, rule: str, rate_per_s: float, instances: int) -> int:
        """Count a query against a rule's rate; returns when to come back, 0 to go ahead."""
        share = rate_per_s / max(instances, 1)
        now_s = time.monotonic()
        bucket = self._buckets.get((rule, share))
        if bucket is None:
            self._buckets = {key: each for key, each in self._buckets.items() if key[0] != rule}
            bucket = TokenBucket(share, 1.0, now_s)
            self._buckets[rule, share] = bucket
        return math.ceil(bucket.take(now_s) * 1000)
