"""Dead, frozen and partitioned instances, as their peers and callers observe them."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest


async def member_states(fleet, observer):
    return await fleet.members(observer)


def member_has_state(fleet, observer, instance, expected_states):
    async def condition():
        return (await member_states(fleet, observer)).get(instance) in expected_states

    return condition


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_detected_and_back(run_scenario, fault):
    """
    An instance is killed, or frozen and resumed. The others must stop giving its address to callers
    and take over its services; once back, it must be a member again although they declared it dead.
    """

    async def scenario(fleet):
        fleet.signal("e2", signal.SIGKILL if fault == "kill" else signal.SIGSTOP)
        await conftest.eventually(member_has_state(fleet, "e1", "e2", (None, "dead")))
        daemon = fleet.daemons["e1"]
        url = f"http://{daemon.host}:{daemon.callers_port}/v1/addresses"
        async with fleet.http.get(url) as response:
            listed_instances = {
                address["instance"] for address in (await response.json())["addresses"]
            }
        assert listed_instances == {"e1", "e3"}
        status, answer = await fleet.query("e1", service="devis", body={"mark": "1"})
        assert answer["outcome"] == "complete"
        if fault == "kill":
            await fleet.wait_exit("e2")
            fleet.start_daemon("e2")
        else:
            fleet.signal("e2", signal.SIGCONT)
        for observer in ("e1", "e3"):
            await conftest.eventually(member_has_state(fleet, observer, "e2", ("alive",)))
        await fleet.wait_ready("e2")

    run_scenario(scenario)


def test_cut_one_way(run_scenario):
    """
    A one-way partition: nothing reaches one instance, but it still reaches the others. Callers
    through every instance must get correct answers, those through the other two complete ones; once
    healed, the instance must be alive again for both.
    """

    async def scenario(fleet):
        answers = []
        async with conftest.traffic(fleet, answers, clients=4, via=["e1", "e3"], deadline_ms=1500):
            await asyncio.sleep(0.3)
            other_hosts = [fleet.daemons[daemon_name].host for daemon_name in ("e1", "e3")]
            await fleet.control("proxy/peers-e2", blocked_sources=other_hosts)
            await asyncio.sleep(3)
            await fleet.control("proxy/peers-e2", blocked_sources=[])
            await asyncio.sleep(0.5)
        conftest.check_answers(fleet, answers)
        incomplete = [answer for _, _, answer in answers if answer["outcome"] != "complete"]
        assert not incomplete, incomplete[:2]
        for daemon_name in ("e1", "e3"):
            await conftest.eventually(member_has_state(fleet, daemon_name, "e2", ("alive",)))

    run_scenario(scenario, proxied=True)


def test_two_owners_do_no_harm(run_scenario):
    """
    A partition makes both sides believe that they own every service. Callers on both sides are
    served; the replicas' limits must hold, since each owner keeps to half the connections, and no
    answer may be mixed or wrong.
    """

    async def scenario(fleet):
        isolated_host = fleet.daemons["e3"].host
        other_hosts = [fleet.daemons[daemon_name].host for daemon_name in ("e1", "e2")]
        await fleet.control("proxy/peers-e3", blocked_sources=other_hosts)
        for daemon_name in ("e1", "e2"):
            await fleet.control(f"proxy/peers-{daemon_name}", blocked_sources=[isolated_host])
        await conftest.eventually(member_has_state(fleet, "e3", "e1", (None, "dead")))
        await conftest.eventually(member_has_state(fleet, "e1", "e3", (None, "dead")))
        answers = []
        async with conftest.traffic(fleet, answers, clients=9, deadline_ms=1500):
            await asyncio.sleep(2)
        conftest.check_answers(fleet, answers)
        incomplete = [answer for _, _, answer in answers if answer["outcome"] != "complete"]
        assert not incomplete, incomplete[:2]
        reports = [await fleet.stats(daemon_name) for daemon_name in fleet.targets]
        assert not sum(report["connections_refused"] for report in reports)

    run_scenario(scenario, proxied=True)
