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
