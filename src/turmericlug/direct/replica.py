"""The state of one replica and of the attempts sent to it, as observed by this instance."""

from __future__ import annotations

import asyncio

import attrs

from turmericlug.direct import oversized as oversized_module
from turmericlug.direct import pool as pool_module
from turmericlug.direct import routes
from turmericlug.http1 import client
from turmericlug.owner import policy

EWMA_WEIGHT = 0.2
"""Weight of a new observation in the moving averages: about the last nine attempts count."""
DECAY_HALF_LIFE_S = 3.0
"""A replica rated slow gets hardly any requests, so its rating decays until it is tried again."""
SHED_BACKOFF_S = 0.15
"""A replica that shed a request is skipped for a few service times, so that its queue can drain."""
MISDIRECTED_PAUSE_S = 10.0
"""Time for which nothing is sent to an address at which another replica answers. By then the store
has reported that the replica is gone. If the store is unreachable for longer, one more request is
sent."""
FAILURES_TO_EJECT = 2
"""Consecutive failures after which a replica is ejected for a time."""
MAX_COLD_S = 600.0
"""Longer than any replica takes to warm up; a larger value in an entry is reduced to this."""


@attrs.define(eq=False)
class Attempt:
    """One request sent to a replica."""

    began_s: float
    late_after_s: float
    instance: str = ""
    """Name of the replica."""
    written_s: float | None = None
    """When the request was written to a connection; ``None`` before."""
    connection: client.Connection | None = None
    """The connection that it was written to."""
    ended_s: float | None = None
    ran: bool = True
    """False once the attempt has ended and the replica is known not to have run the request."""
    unwanted: bool = False
    """Whether the request must no longer be written."""
    timeout: asyncio.Timeout | None = None
    """Ends the attempt; brought forward once its response is no longer needed."""

    def end_by(self, at_s: float) -> None:
        """End the attempt at a given time, if that is before its current timeout."""
        if self.ended_s is None and self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(min(at_s, self.timeout.when() or at_s))

    def describe(self, now_s: float) -> str:
        """Describe the state of the attempt for the log."""
        if self.written_s is None:
            return f"{self.instance} waits {(now_s - self.began_s) * 1000:.0f} ms to be sent"
        state = "ended" if self.ended_s is not None else "open"
        end_s = now_s if self.ended_s is None else self.ended_s
        waited_ms = (self.written_s - self.began_s) * 1000
        return f"{self.instance} {state} {(end_s - self.written_s) * 1000:.0f}+{waited_ms:.0f} ms"


@attrs.define(eq=False)
class Replica:
    """A replica, with what this instance has observed of it."""

    entry: routes.ReplicaEntry
    pool: pool_module.Pool
    attempts: set[Attempt] = attrs.field(factory=set)
    """Attempts in flight."""
    relative_latency: float = 1.0
    """Moving average of its latency, as a multiple of the usual latency in its data centre."""
    relative_latency_at_s: float = 0.0
    failure_rate: float = 0.0
    """Moving average of the fraction of attempts that fail."""
    failures: int = 0
    """Failures since the last success."""
    ejections: int = 0
    """Ejections since the last success."""
    ejected_until_s: float = 0.0
    oversized: oversized_module.Oversized = attrs.field(factory=oversized_module.Oversized)
    """Responses beyond a limit."""
    shed_until_s: float = 0.0
    """End of the backoff after it has shed a request."""
    shed_share: float = 0.0
    """Moving average of the fraction of attempts that it sheds."""
    shed_at_s: float = 0.0
    cold_since_s: float = 0.0
    cold_until_s: float = 0.0
    cold_sent_s: float = float("-inf")
    """When it was last sent a request while cold."""
    misdirected_until_s: float = 0.0
    """Time until which its address is assumed to belong to another replica."""
    leaving: bool = False
    """Whether it drains, or its entry is missing, perhaps only temporarily."""

    def current_relative_latency(self, now_s: float) -> float:
        """Return the relative latency, which decays to 1 with the time since it was measured."""
        decay = 0.5 ** ((now_s - self.relative_latency_at_s) / DECAY_HALF_LIFE_S)
        return 1.0 + (self.relative_latency - 1.0) * decay

    def current_shed_share(self, now_s: float) -> float:
        """Return the fraction of attempts that it sheds, decayed since it last shed one."""
        return self.shed_share * 0.5 ** ((now_s - self.shed_at_s) / DECAY_HALF_LIFE_S)

    def record_shed(self, now_s: float) -> None:
        """Record that the replica was overloaded and did not run a request."""
        self.shed_share = self.current_shed_share(now_s) * (1 - EWMA_WEIGHT) + EWMA_WEIGHT
        self.shed_at_s = now_s
        self.shed_until_s = now_s + SHED_BACKOFF_S

    def is_cold(self, now_s: float) -> bool:
        """Whether it takes few requests as it has recently started or lost its caches."""
        return now_s < self.cold_until_s

    def record_cold(self, left_ms: float, now_s: float) -> None:
        """Record the remaining warm-up time; never shorten a known one."""
        if left_ms <= 0:
            return
        if not self.is_cold(now_s):
            self.cold_since_s = now_s
        until_s = now_s + min(left_ms / 1000, MAX_COLD_S)
        self.cold_until_s = max(self.cold_until_s, until_s)

    def has_late_attempt(self, now_s: float) -> bool:
        """Whether an attempt has been in flight for longer than a slow one takes."""
        return any(now_s - attempt.began_s > attempt.late_after_s for attempt in self.attempts)

    def is_set_aside(self, now_s: float) -> bool:
        """Whether it recently failed, shed or was misdirected, and is not due for another try."""
        if now_s < self.ejected_until_s or now_s < self.shed_until_s or self.is_misdirected(now_s):
            return True
        return self.ejections > 0 and bool(self.attempts)

    def may_get_request(self, now_s: float) -> bool:
        """Whether it may get a request; after responses beyond a limit, one at a time."""
        if not self.oversized.is_active:
            return True
        return not self.oversized.is_paused(now_s) and not self.attempts

    def may_be_written_to(self, now_s: float) -> bool:
        """Whether a request that was chosen for it may be written to it now."""
        if not self.oversized.is_active:
            return True
        return not self.oversized.is_paused(now_s) and not any(
            attempt.written_s is not None and attempt.ended_s is None for attempt in self.attempts
        )

    def is_misdirected(self, now_s: float) -> bool:
        """Whether another replica has recently answered at its address."""
        return now_s < self.misdirected_until_s

    def record_misdirected(self, now_s: float) -> None:
        """
        Record that another replica answers at its address, which means that this one is gone.

        While the store is unreachable there is no other sign of this. With the short backoff of a
        replica that sheds, each instance would send a request to the address every 0.15 s. Each
        request would reach the service that now has the address, and count as an extra attempt of
        that service.
        """
        self.misdirected_until_s = now_s + MISDIRECTED_PAUSE_S

    def record_success(self, duration_ms: float, median_ms: float, now_s: float) -> None:
        """
        Record a successful attempt.

        :param median_ms: the usual duration in the replica's data centre
        """
        ratio = duration_ms / max(median_ms, 0.1)
        self.relative_latency = (
            self.current_relative_latency(now_s) * (1 - EWMA_WEIGHT) + ratio * EWMA_WEIGHT
        )
        self.relative_latency_at_s = now_s
        self.failure_rate *= 1 - EWMA_WEIGHT
        self.shed_share *= 1 - EWMA_WEIGHT
        self.failures = self.ejections = 0

    def record_unusable(self, exceeded_limit: bool, sent_s: float, now_s: float) -> bool:
        """
        Record that a request got no usable response.

        :param exceeded_limit: whether it got one beyond a limit
        :param sent_s: when it was sent
        :returns: whether a pause begins, after several responses beyond a limit
        """
        self.oversized.in_a_row += exceeded_limit
        if self.oversized.in_a_row < FAILURES_TO_EJECT:
            return False
        return self.oversized.pause(sent_s, now_s)

    def record_failure(self, now_s: float) -> bool:
        """
        Record a failed attempt.

        :returns: whether the replica is ejected because of it
        """
        self.failure_rate += (1 - self.failure_rate) * EWMA_WEIGHT
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return False
        self.ejections += 1
        self.ejected_until_s = now_s + policy.ejection_ms(self.ejections) / 1000
        return True
