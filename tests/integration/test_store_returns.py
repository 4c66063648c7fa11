"""A store that returns from a copy some seconds old, with real entry instances."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import entry_process
import pytest
import standin_platform

IN_FORCE_S = 3.0
"""The shortest time that deployments allow for a configuration."""
SERVICE = "s0"
INSTANCES = 3
"""The first two of a data centre ask the store for changes, the third one asks them."""


@contextlib.asynccontextmanager
async def platform():
    """Run a store with three versions behind it, and a replica; yields the store and its port."""
    store = standin_platform.Store()
    replica = standin_platform.Replica("i-0", SERVICE, bytes(16))
    async with standin_platform.listening(replica.handle) as replica.address:
        store.put("servers/i-0", replica.entry())
        async with standin_platform.listening(store.handle) as address:
            configure(store, 1)
            yield store, address[1]


def configure(store, version):
    """Write a version that adds a route of its own and drops those of the versions before."""
    routes = [standin_platform.route("v", f"/v{version}/", Service=SERVICE)]
    store.put("op/config", standin_platform.configuration(version, routes, [SERVICE]))


async def all_by(running, version, limit_s=IN_FORCE_S):
    """Wait until every instance goes by a version."""

    async def one(instance):
        async def served():
            path = f"/v{version}/".encode()
            return (await entry_process.ask(instance.ports[0], path, b"q")).status == 200

        await entry_process.until(served, limit_s)

    await asyncio.gather(*map(one, running))


async def change_often(store, running):
    """Bring some versions into force; returns the latest."""
    for version in range(2, 6):
        configure(store, version)
    await all_by(running, 5)
    return 5


async def return_once(store, running, version):
    lost = store.restore_backup(3)
    store.rewrite_lost(lost)
    return version


async def return_twice(store, running, version):
    for _ in range(2):
        lost = store.restore_backup(3)
        await asyncio.sleep(0.5)
        store.rewrite_lost(lost)
    return version


async def return_unheard(store, running, version):
    """Return while no instance runs, and count past what they know before they do."""
    known = store.revision
    for each in running:
        each.signal(signal.SIGSTOP)
    store.rewrite_lost(store.restore_backup(4))
    configure(store, version + 1)
    while store.revision <= known:
        store.put("servers/i-filler", b"{}")
    for each in running:
        each.signal(signal.SIGCONT)
    return version + 1


async def return_beside_a_start(store, running, version):
    """Return while an instance is killed and starts again."""
    running[1].signal(signal.SIGKILL)
    await running[1].process.wait()
    lost = store.restore_backup(3)
    await running[1].start()
    await entry_process.until(lambda: entry_process.ready(running[1]))
    store.rewrite_lost(lost)
    return version


@contextlib.asynccontextmanager
async def started(tmp_path, port):
    """Run instances until the block ends."""
    running = [entry_process.make(tmp_path, f"e-{number}", port) for number in range(INSTANCES)]
    try:
        for each in running:
            await each.start()
        for each in running:
            await entry_process.until(lambda each=each: entry_process.ready(each))
        yield running
    finally:
        for each in running:
            each.signal(signal.SIGCONT)
            each.signal(signal.SIGKILL)
            await each.process.wait()


@pytest.mark.parametrize(
    "returns", [return_once, return_twice, return_unheard, return_beside_a_start]
)
def test_confirmed_configurations_come_into_force_after_the_store_returned(tmp_path, returns):
    """Guards against changes that are dropped since their revisions were seen before the return."""

    async def main():
        async with platform() as (store, port), asyncio.timeout(60):
            async with started(tmp_path, port) as running:
                version = await returns(store, running, await change_often(store, running))
                await all_by(running, version)
                for later in range(version + 1, version + 4):
                    configure(store, later)
                    await all_by(running, later)

    asyncio.run(main())


def entries(store):
    """Return the names of the instances that the store has entries of."""
    return {key.rpartition("/")[2] for key in store.items if "/instances/" in key}


TOLD_S = 1.5
"""Within two answers of the directory, after which callers ask again."""


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL], ids=["leaving", "killed"])
def test_an_entry_that_was_taken_out_stays_out_when_the_store_has_returned(tmp_path, number):
    """Guards against callers that are told an instance again as the copy still has its entry."""

    async def main():
        async with platform() as (store, port), asyncio.timeout(60):
            async with started(tmp_path, port) as running:
                names = {each.name for each in running}
                await entry_process.until(lambda: entries(store) == names)
                # Long enough for each to have been heard by those that it asks.
                await asyncio.sleep(2.0)
                gone = running[2]
                gone.signal(number)
                await entry_process.until(lambda: entries(store) == names - {gone.name})
                store.restore_backup(1)
                assert entries(store) == names
                await entry_process.until(lambda: entries(store) == names - {gone.name}, TOLD_S)
                await asyncio.sleep(1.0)
                assert entries(store) == names - {gone.name}

    asyncio.run(main())


def test_instances_register_again_when_the_store_has_returned(tmp_path):
    """Guards against instances that no caller is told of, as the copy has no entry of them."""

    async def main():
        async with platform() as (store, port), asyncio.timeout(60):
            before = store.revision
            async with started(tmp_path, port) as running:
                names = {each.name for each in running}
                await entry_process.until(lambda: entries(store) == names)
                for _ in range(2):
                    store.rewrite_lost(store.restore_backup(store.revision - before))
                    assert not entries(store)
                    await entry_process.until(lambda: entries(store) == names, TOLD_S)
                leases = {each["Lease"] for key, each in store.items.items() if "/inst" in key}
                assert len(leases) == len(names)
                assert leases <= set(store.leases)

    asyncio.run(main())
