"""Noticing that this process stood still, by its own event loop."""

from __future__ import annotations

import asyncio

from turmericlug.owner import policy
from turmericlug.telemetry import decisions

TICK_S = 0.02
"""Fifty wake-ups a second cost about a thousandth of a core."""
TOLD_S = 0.05
"""A stall that shows in callers' latency."""
SLOW_PERCENTILE = 95


class Stalls:
    """Tells for how long the event loop did not turn before the present turn."""

    def __init__(self) -> None:
        self._ticked_s = asyncio.get_running_loop().time()
        self._lags = policy.DurationWindow()

    async def watch(self) -> None:
        """Tick for ever."""
        loop = asyncio.get_running_loop()
        while True:
            late_s = self.overdue_s()
            self._lags.add(late_s * 1000)
            if late_s > TOLD_S:
                decisions.log("instance.stalled", stood_ms=round(late_s * 1000))
            self._ticked_s = loop.time()
            await asyncio.sleep(TICK_S)

    def lag_ms(self) -> float | None:
        """Return how late a slow tick of the last seconds was; ``None`` before there are enough."""
        return self._lags.percentile_ms(SLOW_PERCENTILE)

    def overdue_s(self) -> float:
        """Return how late the tick is that should have come by now."""
        late_s = asyncio.get_running_loop().time() - self._ticked_s - TICK_S
        return max(late_s, 0.0)
