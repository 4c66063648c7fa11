"""One replica and the sends under way to it, as this instance has seen them."""

from __future__ import annotations

import asyncio

import attrs

from turmericlug.direct import pool as pool_module
from turmericlug.direct import routes
from turmericlug.owner import policy

PACE_GAIN = 0.2
"""Weight of a new time in a replica's pace: about the last nine sends count."""
PACE_HALF_LIFE_S = 3.0
"""A replica rated slow is hardly tried; its rating fades so that it is tried again."""
SHED_PAUSE_S = 0.15
"""A replica that was full is passed over for a few service times, so that its queue can drain."""
MISDIRECTED_S = 10.0
"""Time for which nothing is sent to an address that was found to be another replica's. The news of
the end is there by then, unless the store is away for longer; then one more is sent."""
FAILURES_TO_EJECT = 2
MOST_COLD_S = 600.0
"""Longer than any replica takes to warm up; a larger figure of an entry is not believed."""


@attrs.define(eq=False)
class Send:
    """One request under way to a replica."""

    began_s: float
    overdue_after_s: float
    instance: str = ""
    """The replica."""
    written_s: float | None = None
    """When it had a connection and was written."""
    ended_s: float | None = None
    ran: bool = True
    """False once it has ended and the replica certainly did not run it."""
    unwanted: bool = False
    """Whether it is not to be written any more."""
    limit: asyncio.Timeout | None = None
    """Ends it; moved forward once nobody waits for it."""

    def end_by(self, at_s: float) -> None:
        """Take it for lost at a time, if that is sooner than its present limit."""
        if self.ended_s is None and self.limit is not None and not self.limit.expired():
            self.limit.reschedule(min(at_s, self.limit.when() or at_s))

    def describe(self, now_s: float) -> str:
        """Describe where it stands, for the log."""
        if self.written_s is None:
            return f"{self.instance} waits {(now_s - self.began_s) * 1000:.0f} ms to be sent"
        state = "ended" if self.ended_s is not None else "open"
        end_s = now_s if self.ended_s is None else self.ended_s
        waited_ms = (self.written_s - self.began_s) * 1000
        return f"{self.instance} {state} {(end_s - self.written_s) * 1000:.0f}+{waited_ms:.0f} ms"


@attrs.define(eq=False)
class Replica:
    """One replica, with what this instance has seen of it."""

    entry: routes.ReplicaEntry
    pool: pool_module.Pool
    sends: set[Send] = attrs.field(factory=set)
    pace: float = 1.0
    """Its times as a multiple of what is usual in its data centre."""
    pace_at_s: float = 0.0
    trouble: float = 0.0
    """Recent share of failures."""
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    full_until_s: float = 0.0
    shed_share: float = 0.0
    """Recent share of the sends that it has shed."""
    shed_at_s: float = 0.0
    cold_since_s: float = 0.0
    cold_until_s: float = 0.0
    cold_sent_s: float = float("-inf")
    """When it was last sent a request while it was cold."""
    elsewhere_until_s: float = 0.0
    """Until when its address is taken for another replica's."""
    leaving: bool = False
    """It drains, or its entry is gone and perhaps only for a moment."""

    def current_pace(self, now_s: float) -> float:
        """Return the pace, faded towards the usual with the time since it was measured."""
        fade = 0.5 ** ((now_s - self.pace_at_s) / PACE_HALF_LIFE_S)
        return 1.0 + (self.pace - 1.0) * fade

    def current_shed_share(self, now_s: float) -> float:
        """Return the share of sends that it sheds, faded with the time since it last did."""
        return self.shed_share * 0.5 ** ((now_s - self.shed_at_s) / PACE_HALF_LIFE_S)

    def has_shed(self, now_s: float) -> None:
        """Take note that it did not run a request as it has no room."""
        self.shed_share = self.current_shed_share(now_s) * (1 - PACE_GAIN) + PACE_GAIN
        self.shed_at_s = now_s
        self.full_until_s = now_s + SHED_PAUSE_S

    def is_cold(self, now_s: float) -> bool:
        """Whether it was started or has lost its caches so lately that it bears few requests."""
        return now_s < self.cold_until_s

    def turns_cold(self, left_ms: float, now_s: float) -> None:
        """Take note of how much longer it is cold; nothing known is shortened."""
        if left_ms <= 0:
            return
        if not self.is_cold(now_s):
            self.cold_since_s = now_s
        until_s = now_s + min(left_ms / 1000, MOST_COLD_S)
        self.cold_until_s = max(self.cold_until_s, until_s)

    def overdue(self, now_s: float) -> bool:
        """Whether a send has gone unanswered for longer than a slow one takes."""
        return any(now_s - send.began_s > send.overdue_after_s for send in self.sends)

    def set_aside(self, now_s: float) -> bool:
        """Whether it failed lately and is not due for its next trial."""
        if now_s < self.ejected_until_s or now_s < self.full_until_s or self.elsewhere(now_s):
            return True
        return self.ejections > 0 and bool(self.sends)

    def elsewhere(self, now_s: float) -> bool:
        """Whether another replica has lately answered at its address."""
        return now_s < self.elsewhere_until_s

    def misdirected(self, now_s: float) -> None:
        """
        Take note that another replica answers at its address: this one has ended.

        While the store is away nothing else tells so. Tried again like one that was full, its
        address got a request every 0.15 s from each instance, each one more arrival at the service
        that has the address now; those are counted against the extra sends of that service.
        """
        self.elsewhere_until_s = now_s + MISDIRECTED_S

    def succeeded(self, duration_ms: float, usual_ms: float, now_s: float) -> None:
        """Take note of an answer."""
        ratio = duration_ms / max(usual_ms, 0.1)
        self.pace = self.current_pace(now_s) * (1 - PACE_GAIN) + ratio * PACE_GAIN
        self.pace_at_s = now_s
        self.trouble *= 1 - PACE_GAIN
        self.shed_share *= 1 - PACE_GAIN
        self.failures = self.ejections = 0

    def failed(self, now_s: float) -> bool:
        """
        Take note of a failure.

        :returns: whether the replica is set aside by it
        """
        self.trouble += (1 - self.trouble) * PACE_GAIN
        self.failures += 1
        if self.failures < FAILURES_TO_EJECT:
            return False
        self.ejections += 1
        self.ejected_until_s = now_s + policy.ejection_ms(self.ejections) / 1000
        return True
