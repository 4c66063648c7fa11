"""When a part is hedged with a second attempt, and which budget the hedge is charged to."""

from __future__ import annotations

import attrs

from turmericlug.owner import part as part_module
from turmericlug.owner import policy

_STUCK_FACTOR = 4.0
"""Multiple of the mean service time after which an attempt may be stuck."""


@attrs.define
class Hedging:
    """Hedge decisions of one service."""

    hedge_budget: policy.TokenBudget
    retry_budget: policy.TokenBudget
    percentile: float
    durations: policy.DurationWindow
    delay: policy.HedgeDelay = attrs.field(factory=policy.HedgeDelay)

    def delay_ms(self) -> float | None:
        """Return the hedge delay, ``None`` while there are too few durations for a percentile."""
        base_ms = self.durations.percentile_ms(self.percentile)
        return None if base_ms is None else base_ms * self.delay.factor

    def stuck_after_ms(self) -> float:
        """Return the age after which an attempt may be stuck."""
        return _STUCK_FACTOR * max(self.durations.mean_ms, 1.0)

    def looks_stuck(self, attempt: part_module.Attempt, now_s: float) -> bool:
        """Whether an attempt is overdue and its replica has answered nothing since it started."""
        age_ms = (now_s - attempt.started_at_s) * 1000
        replica_silent = attempt.replica.last_answer_at_s < attempt.started_at_s
        return replica_silent and age_ms > self.stuck_after_ms()

    def try_spend(self, attempts: list[part_module.Attempt], now_s: float) -> bool:
        """
        Charge a hedge to a budget; return whether the hedge may start.

        A hedge is charged to the hedge budget. If all attempts of the part look stuck, it may also
        be charged to the retry budget: a replica that accepts requests and never answers delays
        every part that it receives, and the hedge budget does not cover so many. A hedge of an
        ejected replica's probe is not charged, because such a replica gets one part at a time.

        :param attempts: the part's attempts in flight
        """
        if (
            any(attempt.replica.consecutive_ejections for attempt in attempts)
            or self.hedge_budget.try_spend()
        ):
            return True
        return (
            all(self.looks_stuck(attempt, now_s) for attempt in attempts)
            and self.retry_budget.try_spend()
        )
