"""Noticing that the event loop stood still."""

from __future__ import annotations

import asyncio
import time

from turmericlug.entry import stalls as stalls_module


def stand_still():
    time.sleep(0.2)


def test_a_stall_is_noticed_in_the_turn_after_it():
    async def main():
        stalls = stalls_module.Stalls()
        task = asyncio.create_task(stalls.watch())
        await asyncio.sleep(0)
        stand_still()
        assert stalls.overdue_s() > 0.15
        await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())


def test_the_lag_of_slow_turns_is_known_after_some_ticks():
    """Time for the way of an answer was kept as if the event loop always turned at once."""

    async def main():
        stalls = stalls_module.Stalls()
        assert stalls.lag_ms() is None
        task = asyncio.create_task(stalls.watch())
        for _ in range(10):
            await asyncio.sleep(stalls_module.TICK_S / 2)
            stand_still()
        await asyncio.sleep(stalls_module.TICK_S * 12)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return stalls.lag_ms()

    assert asyncio.run(main()) > 15
