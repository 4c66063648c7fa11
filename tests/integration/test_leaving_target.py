"""A leaving or crashed target gets no new work after a few seconds, whatever platforms say."""

from __future__ import annotations

import asyncio
import signal

from integration import conftest


def test_drain_with_lagging_list_and_lying_health(play):
    """
    A target drains. The instance list shows it as live for a minute more and its health endpoint
    says "ok". Two seconds later nothing may reach it any more, although owners are replaced
    meanwhile; and callers notice nothing.
    """

    async def scenario(fleet):
        await fleet.control("platform", list_lag_ms=60000)
        answers = []
        async with conftest.traffic(fleet, answers, clients=4, moving=True, deadline_ms=1500):
            await asyncio.sleep(0.5)
            await fleet.control("devis-01-r0", draining=True)
            await fleet.register("devis-01-r0", "critical")
            await asyncio.sleep(2)
            before = (await fleet.stats("devis-01-r0"))["received"]
            for name in ("e1", "e2", "e3"):
                fleet.signal(name, signal.SIGTERM)
                await fleet.wait_exit(name)
                fleet.start_daemon(name)
                await fleet.wait_ready(name)
                await asyncio.sleep(1)
            after = (await fleet.stats("devis-01-r0"))["received"]
        # Each new owner may have to find out once by itself, if nobody is left who knew.
        assert after - before <= 3, "a draining target goes on getting work"
        conftest.check_honest(fleet, answers)

    play(scenario)


def test_listed_as_leaving(play):
    """
    The platform lists a target as leaving while it still takes work: it gets none any more after
    the next read of the list.
    """

    async def scenario(fleet):
        answers = []
        async with conftest.traffic(fleet, answers, clients=4, deadline_ms=1500):
            await fleet.register("devis-02-r1", "critical")
            await asyncio.sleep(2)
            before = (await fleet.stats("devis-02-r1"))["received"]
            await asyncio.sleep(1)
            after = (await fleet.stats("devis-02-r1"))["received"]
        assert after == before
        assert all(answer["outcome"] == "complete" for _, _, answer in answers)

    play(scenario)


def test_crashed_target(play):
    """
    One of two replicas of every index crashes; the list still shows it. Dispatchers go on getting
    whole quotes from the other one, and attempts at the dead one become rare.
    """

    async def scenario(fleet):
        answers = []
        async with conftest.traffic(fleet, answers, clients=3, deadline_ms=1500):
            await asyncio.sleep(0.5)
            fleet.signal("targets-1", signal.SIGKILL)
            await asyncio.sleep(3)
            tail = len(answers)
            await asyncio.sleep(1)
        _, status = await fleet.call_operators_api("e1", "GET", "/v1/status")
        ejected = [
            target["target"]
            for instance in status["instances"]
            for service in instance["services"]
            for target in service["targets"]
            if service["owned"] and target["ejected"]
        ]
        dead = {each.name for each in fleet.targets.values() if each.process == "targets-1"}
        used = {each.name for each in fleet.targets.values() if each.service != "billing"}
        assert set(ejected) >= dead & used
        assert all(answer["outcome"] == "complete" for _, _, answer in answers[tail:])
        conftest.check_honest(fleet, answers)

    play(scenario, target_processes=2)
