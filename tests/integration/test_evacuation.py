"""Evacuated data centres and region-bound routes, with entry instances and a stand-in store."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import entry_process
import pytest
import standin_platform

REGIONS = {"dc-1": "r-1", "dc-2": "r-2"}
SHARDS = ["s0", "s1"]


@contextlib.asynccontextmanager
async def platform():
    """Run a store, and a replica of each service in each data centre; yield both and the port."""
    store, replicas = standin_platform.Store(), []
    async with contextlib.AsyncExitStack() as stack:
        for service in [*SHARDS, "one"]:
            for data_centre in REGIONS:
                body = bytes(15) + bytes([len(replicas)])
                name = f"i-{service}-{data_centre}"
                replica = standin_platform.Replica(name, service, body, data_centre=data_centre)
                replica.address = await stack.enter_async_context(
                    standin_platform.listening(replica.handle)
                )
                replicas.append(replica)
                store.put(f"servers/{name}", replica.entry())
        address = await stack.enter_async_context(standin_platform.listening(store.handle))
        routes = [
            standin_platform.route("all", "/all/", Gather=SHARDS, TopK=2, MinCoverage=0.6),
            standin_platform.route("one", "/one/", Service="one"),
            standin_platform.route("home", "/home/", Service="one", AllowedRegions=["r-2"]),
            standin_platform.route(
                "homes", "/homes/", Gather=SHARDS, MinCoverage=0.6, AllowedRegions=["r-2"]
            ),
        ]
        store.put("op/config", standin_platform.configuration(1, routes, [*SHARDS, "one"]))
        yield store, replicas, address[1]


def run_scenario(tmp_path, scenario, instance_count=1):
    """Run a scenario with some instances in the first data centre."""

    async def main():
        async with platform() as (store, replicas, port), asyncio.timeout(90):
            instances = [
                entry_process.make(tmp_path, f"e-{number}", port, REGIONS)
                for number in range(instance_count)
            ]
            try:
                for instance in instances:
                    await instance.start()
                for instance in instances:
                    await entry_process.until(
                        lambda instance=instance: entry_process.ready(instance)
                    )
                await scenario(store, replicas, instances)
            finally:
                for instance in instances:
                    instance.signal(signal.SIGKILL)
                    await instance.process.wait()

    asyncio.run(main())


def run_count(replicas, data_centre):
    return sum(len(replica.runs) for replica in replicas if replica.data_centre == data_centre)


async def send_repeatedly(instance, path, count=10):
    """Send the same request several times; return the statuses."""
    statuses = []
    for number in range(count):
        headers = [(b"x-deadline-ms", b"2000")]
        answer = await entry_process.ask(instance.ports[0], path, b"q%d" % number, headers)
        statuses.append(answer.status)
    return statuses


@pytest.mark.parametrize("path", [b"/home/1", b"/homes/1"])
def test_bound_routes_never_leave_their_region(tmp_path, path):
    """Requests bound to a region reached replicas of another region, as those were nearer."""

    async def scenario(store, replicas, instances):
        assert set(await send_repeatedly(instances[0], path)) == {200}
        assert run_count(replicas, "dc-1") == 0
        store.put("op/evacuate/dc-2", {})
        await entry_process.until(lambda: instances[0].lines("view.evacuated"))
        assert set(await send_repeatedly(instances[0], path)) == {503}
        assert run_count(replicas, "dc-1") == 0

    run_scenario(tmp_path, scenario)


def test_evacuations_reach_running_and_restarted_instances(tmp_path):
    """
    Guards against replicas of an evacuated data centre that still get requests: from the relay,
    from an instance that gets its configuration from it, from a restarted instance, and from one
    whose relay has died.
    """

    async def scenario(store, replicas, instances):
        async def check_evacuation(data_centre, live_instances):
            line_counts = [len(instance.lines("view.evacuated")) for instance in live_instances]
            store.put(f"op/evacuate/{data_centre}", {})
            for instance, line_count in zip(live_instances, line_counts, strict=True):
                await entry_process.until(
                    lambda instance=instance, line_count=line_count: len(
                        instance.lines("view.evacuated")
                    )
                    > line_count
                )
            runs_before = run_count(replicas, data_centre)
            for instance in live_instances:
                assert set(
                    await send_repeatedly(instance, b"/all/1")
                    + await send_repeatedly(instance, b"/one/1")
                ) == {200}
            assert run_count(replicas, data_centre) == runs_before

        await check_evacuation("dc-1", instances)
        restarted = instances[0]
        restarted.signal(signal.SIGKILL)
        await restarted.process.wait()
        await restarted.start()
        await entry_process.until(lambda: entry_process.ready(restarted))
        runs_before = run_count(replicas, "dc-1")
        assert set(await send_repeatedly(restarted, b"/all/1")) == {200}
        assert run_count(replicas, "dc-1") == runs_before
        store.remove("op/evacuate/dc-1")
        for instance in instances:
            await entry_process.until(
                lambda instance=instance: instance.lines("view.evacuation_ended")
            )
        for killed_instance in instances:
            killed_instance.signal(signal.SIGKILL)
            await killed_instance.process.wait()
            await check_evacuation(
                "dc-2", [instance for instance in instances if instance is not killed_instance]
            )
            store.remove("op/evacuate/dc-2")
            await killed_instance.start()
            await entry_process.until(
                lambda killed_instance=killed_instance: entry_process.ready(killed_instance)
            )

    run_scenario(tmp_path, scenario, instance_count=3)
