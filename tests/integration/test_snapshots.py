"""One snapshot per answer, and coverage that matches the targets' journals."""

from __future__ import annotations

import asyncio
import json
import signal

import attrs
import pytest
from integration import conftest

from turmericlug_lab import fleet_spec


def test_version_switch_under_queries(run_scenario):
    """
    A new index version is rolled out while queries run: replicas load it and drop the old one at
    different moments, and it splits a shard in two. An answer that mixed data of both versions
    would be wrong without anyone noticing.
    """
    split_snapshot = {"name": "s2", "shards": {"devis-00": ["devis-00.a", "devis-00.b"]}}

    async def scenario(fleet):
        answers = []
        devis_targets = [
            target_name for target_name in fleet.targets if target_name.startswith("devis")
        ]
        async with conftest.traffic(fleet, answers, clients=6, deadline_ms=2000):
            await asyncio.sleep(0.3)
            catalog = fleet.catalog([{"name": "s1", "shards": {}}, split_snapshot])
            for target_name in devis_targets[::2]:
                await fleet.control(target_name, snapshots=["s1", "s2"])
            await fleet.call_operators_api("e1", "PUT", "/v1/catalog", catalog)
            for target_name in devis_targets[1::2]:
                await asyncio.sleep(0.1)
                await fleet.control(target_name, snapshots=["s2"])
            for target_name in devis_targets[::2]:
                await asyncio.sleep(0.1)
                await fleet.control(target_name, snapshots=["s2"])
            await asyncio.sleep(0.5)
        conftest.check_answers(fleet, answers)
        seen = {answer["snapshot"] for _, _, answer in answers if "snapshot" in answer}
        assert seen == {"s1", "s2"}
        assert answers[-1][2]["coverage"]["total"] == 5

    run_scenario(scenario)


def test_snapshot_vanishes(run_scenario):
    """
    Every replica drops the pinned version at once, before the catalogue says so. Queries must
    restart on the other version that the catalogue names; none may end with a mix.
    """

    async def scenario(fleet):
        snapshots = [{"name": "s2", "shards": {}}, {"name": "s1", "shards": {}}]
        await fleet.call_operators_api("e1", "PUT", "/v1/catalog", fleet.catalog(snapshots))
        answers = []
        async with conftest.traffic(fleet, answers, deadline_ms=2000):
            await asyncio.sleep(0.2)
            for target_name in fleet.targets:
                await fleet.control(target_name, snapshots=["s2"])
            await asyncio.sleep(0.5)
        conftest.check_answers(fleet, answers)
        status, answer = await fleet.query("e2", service="devis", body={"mark": "x"})
        assert (status, answer["outcome"], answer["snapshot"]) == (200, "complete", "s2")

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_coverage_with_replicas_gone(run_scenario, fault):
    """
    All replicas of some services stop answering, by a crash or frozen with open connections.
    Callers must get the remaining shards, with the missing ones named and a correct count.
    """

    async def scenario(fleet):
        await fleet.query("e1", service="devis", body={"mark": "warm"})
        signal_number = signal.SIGKILL if fault == "kill" else signal.SIGSTOP
        fleet.signal("targets-0", signal_number)
        answers = []
        async with conftest.traffic(fleet, answers, clients=2, deadline_ms=400):
            await asyncio.sleep(2)
        conftest.check_answers(fleet, answers)
        partial_answers = [answer for _, _, answer in answers if answer["outcome"] == "partial"]
        assert partial_answers
        process_by_service = {target.service: target.process for target in fleet.targets.values()}
        stopped_services = sorted(
            service for service, process in process_by_service.items() if process == "targets-0"
        )
        for answer in partial_answers[-3:]:
            missing = answer["coverage"]["missing"]
            assert sorted(shard["shard"] for shard in missing) == stopped_services
            assert all(shard["reason"] for shard in missing)

    # One replica per service: a stopped process takes its services' only replicas with it.
    services = [
        conftest.fleet_spec.ServiceSpec(f"devis-{number:02d}", 1, 2, 25, 2.0, {"service_ms": 4.0})
        for number in range(4)
    ]
    run_scenario(scenario, services=tuple(services), target_processes=2)


def test_coverage_with_replicas_cut(run_scenario):
    """
    The network to both replicas of one service is cut: connections stay open but carry nothing.
    Callers must get the other shards with the cut one named, and all of them again after healing.
    """

    async def scenario(fleet):
        target_names = ["devis-00-r0", "devis-00-r1"]
        control_port, *ports = fleet_spec.reserve_ports(3)
        routes = [
            {"name": target_name, "listen": port, "to": fleet.targets[target_name].port}
            for target_name, port in zip(target_names, ports, strict=True)
        ]
        path = fleet.folder / "cut.json"
        path.write_text(json.dumps(routes))
        fleet.launch("cut", "standin", "proxy", str(path), "--port", str(control_port))
        for target_name, port in zip(target_names, ports, strict=True):
            await fleet.wait_responding(f"http://127.0.0.1:{port}/v1/health")
            fleet.targets[target_name] = attrs.evolve(fleet.targets[target_name], port=port)
            await fleet.register(target_name)

        async def set_proxy_mode(mode):
            for target_name in target_names:
                url = f"http://127.0.0.1:{control_port}/control/{target_name}"
                async with fleet.http.post(url, json={"mode": mode}) as response:
                    response.raise_for_status()

        async def query(mark):
            _, answer = await fleet.query(
                "e1", service="devis", body={"mark": mark}, deadline_ms=500
            )
            answers.append((mark, 200, answer))
            return answer

        async def shard_is_missing():
            answer = await query("cut")
            return [shard["shard"] for shard in answer["coverage"]["missing"]] == ["devis-00"]

        async def answer_is_complete():
            return (await query("whole"))["outcome"] == "complete"

        answers = []
        await asyncio.sleep(1)
        await set_proxy_mode("hang")
        await conftest.eventually(shard_is_missing)
        await set_proxy_mode("pass")
        await conftest.eventually(answer_is_complete)
        conftest.check_answers(fleet, answers)

    run_scenario(scenario)
