"""Evacuated data centres and bound regions, with real entry instances and a stand-in store."""

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
    """Run a store, and a replica of each service in each data centre; yields both and the port."""
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


def play(tmp_path, scenario, instances=1):
    """Run a scenario with some instances in the first data centre."""

    async def main():
        async with platform() as (store, replicas, port), asyncio.timeout(90):
            running = [
                entry_process.make(tmp_path, f"e-{number}", port, REGIONS)
                for number in range(instances)
            ]
            try:
                for each in running:
                    await each.start()
                for each in running:
                    await entry_process.until(lambda each=each: entry_process.ready(each))
                await scenario(store, replicas, running)
            finally:
                for each in running:
                    each.signal(signal.SIGKILL)
                    await each.process.wait()

    asyncio.run(main())


def runs(replicas, data_centre):
    return sum(len(each.runs) for each in replicas if each.data_centre == data_centre)


async def ask_often(instance, path, times=10):
    """Ask the same often; returns the statuses."""
    found = []
    for number in range(times):
        headers = [(b"x-deadline-ms", b"2000")]
        answer = await entry_process.ask(instance.ports[0], path, b"q%d" % number, headers)
        found.append(answer.status)
    return found


@pytest.mark.parametrize("path", [b"/home/1", b"/homes/1"])
def test_bound_routes_never_leave_their_region(tmp_path, path):
    """A region's requests reached replicas of another, as these were nearer."""

    async def scenario(store, replicas, instances):
        assert set(await ask_often(instances[0], path)) == {200}
        assert runs(replicas, "dc-1") == 0
        store.put("op/evacuate/dc-2", {})
        await entry_process.until(lambda: instances[0].lines("view.evacuated"))
        assert set(await ask_often(instances[0], path)) == {503}
        assert runs(replicas, "dc-1") == 0

    play(tmp_path, scenario)


def test_evacuations_reach_running_and_restarted_instances(tmp_path):
    """
    Replicas of an evacuated data centre go on getting requests: from the relay, from an instance
    that asks it, from one that has just started, and from one whose relay has died.
    """

    async def scenario(store, replicas, instances):
        async def kept_out(data_centre, running):
            told = [len(each.lines("view.evacuated")) for each in running]
            store.put(f"op/evacuate/{data_centre}", {})
            for each, before in zip(running, told, strict=True):
                await entry_process.until(
                    lambda each=each, before=before: len(each.lines("view.evacuated")) > before
                )
            before = runs(replicas, data_centre)
            for each in running:
                assert set(await ask_often(each, b"/all/1") + await ask_often(each, b"/one/1")) == {
                    200
                }
            assert runs(replicas, data_centre) == before

        await kept_out("dc-1", instances)
        first = instances[0]
        first.signal(signal.SIGKILL)
        await first.process.wait()
        await first.start()
        await entry_process.until(lambda: entry_process.ready(first))
        before = runs(replicas, "dc-1")
        assert set(await ask_often(first, b"/all/1")) == {200}
        assert runs(replicas, "dc-1") == before
        store.remove("op/evacuate/dc-1")
        for each in instances:
            await entry_process.until(lambda each=each: each.lines("view.evacuation_ended"))
        for killed in instances:
            killed.signal(signal.SIGKILL)
            await killed.process.wait()
            await kept_out("dc-2", [each for each in instances if each is not killed])
            store.remove("op/evacuate/dc-2")
            await killed.start()
            await entry_process.until(lambda killed=killed: entry_process.ready(killed))

    play(tmp_path, scenario, instances=3)
