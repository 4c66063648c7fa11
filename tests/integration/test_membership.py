"""Instances that die, freeze or are cut off, as their peers and callers see it."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest


async def states(fleet, through):
    return await fleet.members(through)


def sees(fleet, through, instance, wanted):
    async def check():
        return (await states(fleet, through)).get(instance) in wanted

    return check


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_detected_and_back(play, fault):
    """
    An instance is killed, or frozen and thawed. The others stop giving its address to callers and
    take over its services; when it is back, it is a member again, although they held it for dead.
    """

    async def scenario(fleet):
        fleet.signal("e2", signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
        await conftest.eventually(sees(fleet, "e1", "e2", (None, "dead")))
        daemon = fleet.daemons["e1"]
        url = f"http://{daemon.host}:{daemon.callers_port}/v1/addresses"
        async with fleet.http.get(url) as response:
            entries = {each["instance"] for each in (await response.json())["addresses"]}
        assert entries == {"e1", "e3"}
        status, answer = await fleet.query("e1", service="devis", body={"mark": "1"})
        assert answer["outcome"] == "complete"
        if fault == "kill":
            await fleet.wait_exit("e2")
            fleet.start_daemon("e2")
        else:
            fleet.signal("e2", signal.SIGCONT)
        for name in ("e1", "e3"):
            await conftest.eventually(sees(fleet, name, "e2", ("alive",)))
        await fleet.wait_ready("e2")

    play(scenario)


def test_cut_one_way(play):
    """
    Nothing reaches one instance any more, but it still reaches the others. Callers through every
    instance get true answers, those through the two others whole ones; after healing all is as
    before.
    """

    async def scenario(fleet):
        answers = []
        async with conftest.traffic(
            fleet, answers, clients=4, through=["e1", "e3"], deadline_ms=1500
        ):
            await asyncio.sleep(0.3)
            others = [fleet.daemons[name].host for name in ("e1", "e3")]
            await fleet.control("proxy/peers-e2", blocked_sources=others)
            await asyncio.sleep(3)
            await fleet.control("proxy/peers-e2", blocked_sources=[])
            await asyncio.sleep(0.5)
        conftest.check_honest(fleet, answers)
        bad = [answer for _, _, answer in answers if answer["outcome"] != "complete"]
        assert not bad, bad[:2]
        for name in ("e1", "e3"):
            await conftest.eventually(sees(fleet, name, "e2", ("alive",)))

    play(scenario, proxied=True)


def test_two_owners_do_no_harm(play):
    """
    A cut makes both sides believe that they own every service. Callers on both sides are served;
    the replicas' limits hold, since each owner keeps to half the connections, and no answer is
    mixed or false.
    """

    async def scenario(fleet):
        alone = fleet.daemons["e3"].host
        others = [fleet.daemons[name].host for name in ("e1", "e2")]
        await fleet.control("proxy/peers-e3", blocked_sources=others)
        for name in ("e1", "e2"):
            await fleet.control(f"proxy/peers-{name}", blocked_sources=[alone])
        await conftest.eventually(sees(fleet, "e3", "e1", (None, "dead")))
        await conftest.eventually(sees(fleet, "e1", "e3", (None, "dead")))
        answers = []
        async with conftest.traffic(fleet, answers, clients=9, deadline_ms=1500):
            await asyncio.sleep(2)
        conftest.check_honest(fleet, answers)
        bad = [answer for _, _, answer in answers if answer["outcome"] != "complete"]
        assert not bad, bad[:2]
        reports = [await fleet.stats(name) for name in fleet.targets]
        assert not sum(report["connections_refused"] for report in reports)

    play(scenario, proxied=True)
