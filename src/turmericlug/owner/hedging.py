"""When a part gets a second attempt, and which budget pays for it."""

from __future__ import annotations

import attrs

from turmericlug.owner import part as part_module
from turmericlug.owner import policy

_STUCK_FACTOR = 4.0
"""Multiples of the mean service time after which an attempt is long overdue."""


@attrs.define
class Hedging:
    """What one service's hedges look at."""

    budget: policy.Budget
    retries: policy.Budget
    percentile: float
    times: policy.DurationWindow
    clock: policy.HedgeClock = attrs.field(factory=policy.HedgeClock)

    def delay_ms(self) -> float | None:
        """Return the age at which a part is late, ``None`` before there is enough to tell."""
        late_ms = self.times.percentile_ms(self.percentile)
        return None if late_ms is None else late_ms * self.clock.factor

    def stuck_after_ms(self) -> float:
        """Return the age at which an attempt is long overdue."""
        return _STUCK_FACTOR * max(self.times.mean_ms, 1.0)

    def looks_stuck(self, attempt: part_module.Attempt, now_s: float) -> bool:
        """Whether a replica has answered nothing since an attempt that is long overdue."""
        age_ms = (now_s - attempt.began_at_s) * 1000
        silent = attempt.replica.answered_at_s < attempt.began_at_s
        return silent and age_ms > self.stuck_after_ms()

    def pay(self, attempts: list[part_module.Attempt], now_s: float) -> bool:
        """
        Pay for a second attempt.

        From the hedge budget; for a part that waits on a replica which looks stuck, from that of
        retries: a replica that takes requests and never answers makes every part that it gets
        late, more than the hedge budget pays for. The trial part of an ejected one is free, since
        there is one at a time.

        :param attempts: those of the part that run now
        """
        if any(each.replica.ejections for each in attempts) or self.budget.spend():
            return True
        return all(self.looks_stuck(each, now_s) for each in attempts) and self.retries.spend()
