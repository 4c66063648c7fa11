"""A planned stop cuts off no request."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest


@pytest.mark.parametrize("outage", [False, True])
def test_rolling_replacement(play, outage):
    """
    All instances are replaced one after the other while callers work, each holding its address
    for as long as it was told to. Nobody may see a refused connection or a failed request; queued
    parts go to the next owner. The same while the store is down, but that a new instance then
    gets the rules from its peers.
    """

    async def scenario(fleet):
        answers = []
        async with conftest.traffic(fleet, answers, clients=6, moving=True, deadline_ms=1500):
            await asyncio.sleep(0.5)
            await fleet.control("platform", store_down=outage)
            for name in list(fleet.daemons):
                fleet.signal(name, signal.SIGTERM)
                assert await fleet.wait_exit(name) == 0
                fleet.start_daemon(name)
                await fleet.wait_ready(name)
        bad = [answer for _, _, answer in answers if answer["outcome"] != "complete"]
        assert not bad, f"{len(bad)} of {len(answers)}: {[(b.get('reason'), b) for b in bad][:3]}"
        conftest.check_honest(fleet, answers)

    play(scenario)


def test_stop_waits_for_running_request(play):
    """
    An instance is stopped while a bill that takes a second runs through it. The office must get
    its answer from the stopping instance.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, service_ms=1500.0, spread=0.0)
        asked = asyncio.create_task(
            fleet.query(
                "e2",
                service="billing",
                body={},
                idempotency_key=conftest.key("slow"),
                deadline_ms=5000,
            )
        )
        await asyncio.sleep(0.3)
        fleet.signal("e2", signal.SIGTERM)
        status, answer = await asked
        assert (status, answer["outcome"]) == (200, "complete")
        assert await fleet.wait_exit("e2") == 0

    play(scenario)
