"""State of one replica at an owner, learned from the owner's attempts there."""

from __future__ import annotations

import time

import attrs

from turmericlug.owner import policy

_ABSENT_TTL_S = 0.25
LISTED_AS_LEAVING = "listed_as_leaving"


@attrs.define(eq=False)
class Replica:
    """One replica of one service."""

    instance: str
    address: str
    data_centre: str
    max_limit: float
    limit: float = policy.INITIAL_CONCURRENCY_LIMIT
    in_flight: int = 0
    latency_ms: float = 0.0
    draining_reason: str = ""
    """Why the replica is draining and gets no new attempts; empty otherwise."""
    suspected: bool = False
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_s: float = 0.0
    last_answer_at_s: float = 0.0
    absent_snapshots: dict[str, float] = attrs.field(factory=dict)
    """Snapshots that the replica reported absent, each with the time of the report."""
    generation: int = 0
    """Sequence number of the start under this instance name, from the platform's list."""

    def is_eligible(self, now_s: float) -> bool:
        """Whether it may get an attempt; after an ejection it is probed with one at a time."""
        if self.draining_reason:
            return False
        return not self.consecutive_ejections or (
            now_s >= self.ejected_until_s and self.in_flight == 0
        )

    def lacks_snapshot(self, snapshot: str, now_s: float) -> bool:
        """Whether it reported within the last 250 ms that it does not hold a snapshot."""
        reported_at_s = self.absent_snapshots.get(snapshot)
        return reported_at_s is not None and now_s - reported_at_s < _ABSENT_TTL_S

    def record_absent(self, snapshot: str, now_s: float) -> None:
        """Record that it reported a snapshot absent; forgets older reports."""
        self.absent_snapshots = {
            name: reported_at_s
            for name, reported_at_s in self.absent_snapshots.items()
            if now_s - reported_at_s < _ABSENT_TTL_S
        }
        self.absent_snapshots[snapshot] = now_s

    def record_success(self, duration_ms: float) -> None:
        """Record an answer; ends an ejection."""
        self.consecutive_failures = self.consecutive_ejections = 0
        self.last_answer_at_s = time.monotonic()
        self.suspected = False
        self.limit = policy.increased_limit(self.limit, self.max_limit)
        weight = 0.2 if self.latency_ms else 1.0
        self.latency_ms += (duration_ms - self.latency_ms) * weight

    def record_refusal(self) -> None:
        """Record an attempt that the replica refused."""
        self.limit = policy.decreased_limit(self.limit)

    def record_failure(self, may_eject: bool) -> bool:
        """
        Record a failure; return whether the replica is ejected now.

        :param may_eject: false for the last replica in use, which is better than none
        """
        self.consecutive_failures += 1
        threshold = (
            1 if self.suspected or self.consecutive_ejections else policy.EJECT_AFTER_FAILURES
        )
        if self.consecutive_failures < threshold or not may_eject:
            return False
        self.consecutive_ejections += 1
        self.consecutive_failures = 0
        self.limit = policy.INITIAL_CONCURRENCY_LIMIT
        self.ejected_until_s = (
            time.monotonic() + policy.ejection_ms(self.consecutive_ejections) / 1000
        )
        return True
