"""One snapshot per answer, and coverage as the targets' journals have it."""

from __future__ import annotations

import asyncio
import json
import signal

import attrs
import pytest
from integration import conftest

from turmericlug_lab import fleet_spec


def test_version_switch_under_queries(play):
    """
    A new index version is rolled out while quotes are made. Replicas load it at different moments
    and drop the old one at different moments; the new one splits a shard in two. A quote that
    mixed roofs of the old and sizes of the new version would be wrong without anyone noticing.
    """
    split = {"name": "s2", "shards": {"devis-00": ["devis-00.a", "devis-00.b"]}}

    async def scenario(fleet):
        answers = []
        devis = [name for name in fleet.targets if name.startswith("devis")]
        async with conftest.traffic(fleet, answers, clients=6, deadline_ms=2000):
            await asyncio.sleep(0.3)
            catalog = fleet.catalog([{"name": "s1", "shards": {}}, split])
            for name in devis[::2]:
                await fleet.control(name, snapshots=["s1", "s2"])
            await fleet.call_operators_api("e1", "PUT", "/v1/catalog", catalog)
            for name in devis[1::2]:
                await asyncio.sleep(0.1)
                await fleet.control(name, snapshots=["s2"])
            for name in devis[::2]:
                await asyncio.sleep(0.1)
                await fleet.control(name, snapshots=["s2"])
            await asyncio.sleep(0.5)
        conftest.check_honest(fleet, answers)
        seen = {answer["snapshot"] for _, _, answer in answers if "snapshot" in answer}
        assert seen == {"s1", "s2"}
        assert answers[-1][2]["coverage"]["total"] == 5

    play(scenario)


def test_snapshot_vanishes(play):
    """
    Every replica drops the pinned version at once, before the catalogue says so. Queries begin
    again on the other version that the catalogue names; none may end with a mix.
    """

    async def scenario(fleet):
        both = [{"name": "s2", "shards": {}}, {"name": "s1", "shards": {}}]
        await fleet.call_operators_api("e1", "PUT", "/v1/catalog", fleet.catalog(both))
        answers = []
        async with conftest.traffic(fleet, answers, deadline_ms=2000):
            await asyncio.sleep(0.2)
            for name in fleet.targets:
                await fleet.control(name, snapshots=["s2"])
            await asyncio.sleep(0.5)
        conftest.check_honest(fleet, answers)
        status, answer = await fleet.query("e2", service="devis", body={"mark": "x"})
        assert (status, answer["outcome"], answer["snapshot"]) == (200, "complete", "s2")

    play(scenario)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_coverage_with_replicas_gone(play, fault):
    """
    Both replicas of some services stop answering, by a crash or frozen with open connections.
    The clerk gets what is there, with the missing shards named; the count must be true.
    """

    async def scenario(fleet):
        await fleet.query("e1", service="devis", body={"mark": "warm"})
        number = signal.SIGKILL if fault == "kill" else signal.SIGSTOP
        fleet.signal("targets-0", number)
        answers = []
        async with conftest.traffic(fleet, answers, clients=2, deadline_ms=400):
            await asyncio.sleep(2)
        conftest.check_honest(fleet, answers)
        partial = [answer for _, _, answer in answers if answer["outcome"] == "partial"]
        assert partial
        processes = {each.service: each.process for each in fleet.targets.values()}
        gone = sorted(name for name, process in processes.items() if process == "targets-0")
        for answer in partial[-3:]:
            missing = answer["coverage"]["missing"]
            assert sorted(each["shard"] for each in missing) == gone
            assert all(each["reason"] for each in missing)

    # One replica a service: those of one process are gone.
    services = [
        conftest.fleet_spec.ServiceSpec(f"devis-{n:02d}", 1, 2, 25, 2.0, {"service_ms": 4.0})
        for n in range(4)
    ]
    play(scenario, services=tuple(services), target_processes=2)


def test_coverage_with_replicas_cut(play):
    """
    The network to both replicas of one service is cut: connections stand, nothing passes. The
    clerk gets the other shards with the cut one named, and all of them again after healing.
    """

    async def scenario(fleet):
        names = ["devis-00-r0", "devis-00-r1"]
        control_port, *ports = fleet_spec.reserve_ports(3)
        routes = [
            {"name": name, "listen": port, "to": fleet.targets[name].port}
            for name, port in zip(names, ports, strict=True)
        ]
        path = fleet.folder / "cut.json"
        path.write_text(json.dumps(routes))
        fleet.launch("cut", "standin", "proxy", str(path), "--port", str(control_port))
        for name, port in zip(names, ports, strict=True):
            await fleet.wait_responding(f"http://127.0.0.1:{port}/v1/health")
            fleet.targets[name] = attrs.evolve(fleet.targets[name], port=port)
            await fleet.register(name)

        async def switch(mode):
            for name in names:
                url = f"http://127.0.0.1:{control_port}/control/{name}"
                async with fleet.http.post(url, json={"mode": mode}) as response:
                    response.raise_for_status()

        async def query(mark):
            _, answer = await fleet.query(
                "e1", service="devis", body={"mark": mark}, deadline_ms=500
            )
            answers.append((mark, 200, answer))
            return answer

        async def cut_off():
            answer = await query("cut")
            return [each["shard"] for each in answer["coverage"]["missing"]] == ["devis-00"]

        async def whole():
            return (await query("whole"))["outcome"] == "complete"

        answers = []
        await asyncio.sleep(1)
        await switch("hang")
        await conftest.eventually(cut_off)
        await switch("pass")
        await conftest.eventually(whole)
        conftest.check_honest(fleet, answers)

    play(scenario)
