"""Detection of stalls of this process, measured as the delay of its event loop."""

from __future__ import annotations

import asyncio
import math

from turmericlug.owner import policy
from turmericlug.telemetry import decisions

TICK_S = 0.02
"""Interval of the ticks; 50 wake-ups a second cost about a thousandth of a core."""
LOG_THRESHOLD_S = 0.05
"""Longer stalls are logged, since they are visible in callers' latency."""
LAG_PERCENTILE = 95


class StallMonitor:
    """Measures for how long the event loop was blocked before its current iteration."""

    def __init__(self) -> None:
        self._last_tick_s = asyncio.get_running_loop().time()
        self._lags = policy.DurationWindow()

    async def watch(self) -> None:
        """Tick until cancelled, and log stalls."""
        loop = asyncio.get_running_loop()
        if self._last_tick_s == math.inf:
            self._last_tick_s = loop.time()
        try:
            while True:
                late_s = self.overdue_s()
                self._lags.add(late_s * 1000)
                if late_s > LOG_THRESHOLD_S:
                    decisions.log("instance.stalled", stood_ms=round(late_s * 1000))
                self._last_tick_s = loop.time()
                await asyncio.sleep(TICK_S)
        finally:
            # Without ticks, the process would look more and more stalled.
            self._last_tick_s = math.inf

    def lag_ms(self) -> float | None:
        """Return a high percentile of the last ticks' delays; ``None`` while there are too few."""
        return self._lags.percentile_ms(LAG_PERCENTILE)

    def overdue_s(self) -> float:
        """Return for how long the next tick is overdue, 0 if it is not due yet."""
        late_s = asyncio.get_running_loop().time() - self._last_tick_s - TICK_S
        return max(late_s, 0.0)
