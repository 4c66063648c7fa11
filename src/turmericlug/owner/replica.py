"""What an owner knows of one replica from its own attempts there."""

from __future__ import annotations

import time

import attrs

from turmericlug.owner import policy

LISTED_DRAIN = "listed_as_leaving"


@attrs.define(eq=False)
class Replica:
    """One replica of one service."""

    instance: str
    address: str
    data_centre: str
    max_limit: float
    limit: float = policy.SLOW_START_LIMIT
    in_flight: int = 0
    latency_ms: float = 0.0
    leaving: str = ""
    """Why it takes no new work; empty while it does."""
    suspected: bool = False
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    answered_at_s: float = 0.0
    absent: dict[str, float] = attrs.field(factory=dict)
    """Snapshots that it did not hold when asked, with the time of asking."""
    generation: int = 0
    """Which start it is, of those under its name."""

    def usable(self, now_s: float) -> bool:
        """Whether it may get work; an ejected one is tried again with one part at a time."""
        if self.leaving:
            return False
        return not self.ejections or (now_s >= self.ejected_until_s and self.in_flight == 0)

    def lacks(self, snapshot: str, now_s: float) -> bool:
        """Whether it lately said that it does not hold a snapshot."""
        asked_at_s = self.absent.get(snapshot)
        return asked_at_s is not None and now_s - asked_at_s < 0.25

    def succeeded(self, duration_ms: float) -> None:
        """Take note of an answer."""
        self.failures = self.ejections = 0
        self.answered_at_s = time.monotonic()
        self.suspected = False
        self.limit = policy.raised_limit(self.limit, self.max_limit)
        weight = 0.2 if self.latency_ms else 1.0
        self.latency_ms += (duration_ms - self.latency_ms) * weight

    def refused(self) -> None:
        """Take note of work that it turned away."""
        self.limit = policy.lowered_limit(self.limit)

    def failed(self, may_eject: bool) -> bool:
        """
        Take note of a failure; tells whether it is set aside now.

        :param may_eject: false for the last usable replica, which is better than none
        """
        self.failures += 1
        enough = 1 if self.suspected or self.ejections else policy.EJECT_AFTER
        if self.failures < enough or not may_eject:
            return False
        self.ejections += 1
        self.failures = 0
        self.limit = policy.SLOW_START_LIMIT
        self.ejected_until_s = time.monotonic() + policy.ejection_ms(self.ejections) / 1000
        return True
