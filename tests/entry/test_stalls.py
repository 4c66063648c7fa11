"""Detection of a blocked event loop."""

from __future__ import annotations

import asyncio
import time

from turmericlug.entry import stalls as stalls_module


def block_event_loop():
    time.sleep(0.2)


def test_a_stall_is_detected_in_the_next_iteration():
    async def main():
        monitor = stalls_module.StallMonitor()
        task = asyncio.create_task(monitor.watch())
        await asyncio.sleep(0)
        block_event_loop()
        assert monitor.overdue_s() > 0.15
        await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())


def test_the_lag_is_known_after_several_ticks():
    """
    Guards against ignoring the event loop's lag. The time reserved for delivering an answer used to
    assume that the event loop never lags.
    """

    async def main():
        monitor = stalls_module.StallMonitor()
        assert monitor.lag_ms() is None
        task = asyncio.create_task(monitor.watch())
        for _ in range(10):
            await asyncio.sleep(stalls_module.TICK_S / 2)
            block_event_loop()
        await asyncio.sleep(stalls_module.TICK_S * 12)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return monitor.lag_ms()

    assert asyncio.run(main()) > 15
