"""Real entry instances while the store is restored from a backup that is some seconds old."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import entry_process
import pytest
import standin_platform

CONFIGURATION_LIMIT_S = 3.0
"""The shortest time that deployments allow for a configuration to take effect."""
SERVICE = "s0"
INSTANCES = 3
"""The first two of a data centre are relays of the store's changes, the third uses them."""


@contextlib.asynccontextmanager
async def platform():
    """Run a store with a configuration, and a replica; yield the store and its port."""
    store = standin_platform.Store()
    replica = standin_platform.Replica("i-0", SERVICE, bytes(16))
    async with standin_platform.listening(replica.handle) as replica.address:
        store.put("servers/i-0", replica.entry())
        async with standin_platform.listening(store.handle) as address:
            configure(store, 1)
            yield store, address[1]


def configure(store, version):
    """Write a configuration version whose only route is ``/vVERSION/``."""
    routes = [standin_platform.route("v", f"/v{version}/", Service=SERVICE)]
    store.put("op/config", standin_platform.configuration(version, routes, [SERVICE]))


async def wait_for_version(instances, version, timeout_s=CONFIGURATION_LIMIT_S):
    """Wait until every instance serves the routes of a configuration version."""

    async def wait_for_instance(instance):
        async def served():
            path = f"/v{version}/".encode()
            return (await entry_process.ask(instance.ports[0], path, b"q")).status == 200

        await entry_process.until(served, timeout_s)

    await asyncio.gather(*map(wait_for_instance, instances))


async def configure_repeatedly(store, instances):
    """Write several configuration versions, wait for the latest and return it."""
    for version in range(2, 6):
        configure(store, version)
    await wait_for_version(instances, 5)
    return 5


async def return_once(store, instances, version):
    lost_writes = store.restore_backup(3)
    store.rewrite_lost(lost_writes)
    return version


async def return_twice(store, instances, version):
    for _ in range(2):
        lost_writes = store.restore_backup(3)
        await asyncio.sleep(0.5)
        store.rewrite_lost(lost_writes)
    return version


async def return_unheard(store, instances, version):
    """Restore and write past the known revisions while every instance is frozen."""
    known_revision = store.revision
    for instance in instances:
        instance.signal(signal.SIGSTOP)
    store.rewrite_lost(store.restore_backup(4))
    configure(store, version + 1)
    while store.revision <= known_revision:
        store.put("servers/i-filler", b"{}")
    for instance in instances:
        instance.signal(signal.SIGCONT)
    return version + 1


async def return_beside_a_start(store, instances, version):
    """Restore while an instance is killed and restarted."""
    instances[1].signal(signal.SIGKILL)
    await instances[1].process.wait()
    lost_writes = store.restore_backup(3)
    await instances[1].start()
    await entry_process.until(lambda: entry_process.ready(instances[1]))
    store.rewrite_lost(lost_writes)
    return version


@contextlib.asynccontextmanager
async def running_instances(tmp_path, port):
    """Run instances until the block ends."""
    instances = [entry_process.make(tmp_path, f"e-{number}", port) for number in range(INSTANCES)]
    try:
        for instance in instances:
            await instance.start()
        for instance in instances:
            await entry_process.until(lambda instance=instance: entry_process.ready(instance))
        yield instances
    finally:
        for instance in instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
            await instance.process.wait()


@pytest.mark.parametrize(
    "restore", [return_once, return_twice, return_unheard, return_beside_a_start]
)
def test_confirmed_configurations_come_into_force_after_the_store_returned(tmp_path, restore):
    """Guards against changes dropped because their revisions were seen before the restore."""

    async def main():
        async with platform() as (store, port), asyncio.timeout(60):
            async with running_instances(tmp_path, port) as instances:
                version = await restore(
                    store, instances, await configure_repeatedly(store, instances)
                )
                await wait_for_version(instances, version)
                for later_version in range(version + 1, version + 4):
                    configure(store, later_version)
                    await wait_for_version(instances, later_version)

    asyncio.run(main())


def registered_names(store):
    """Return the names of the instances that are registered in the store."""
    return {key.rpartition("/")[2] for key in store.items if "/instances/" in key}


DIRECTORY_LIMIT_S = 1.5
"""Shorter than the lifetime of a directory response, after which callers ask again."""


@pytest.mark.parametrize(
    "signal_number", [signal.SIGTERM, signal.SIGKILL], ids=["leaving", "killed"]
)
def test_an_entry_that_was_taken_out_stays_out_when_the_store_has_returned(tmp_path, signal_number):
    """Guards against instances listed again because the backup still has their entry."""

    async def main():
        async with platform() as (store, port), asyncio.timeout(60):
            async with running_instances(tmp_path, port) as instances:
                instance_names = {instance.name for instance in instances}
                await entry_process.until(lambda: registered_names(store) == instance_names)
                # Long enough for each instance to be known to the peers that it asks.
                await asyncio.sleep(2.0)
                removed_instance = instances[2]
                removed_instance.signal(signal_number)
                await entry_process.until(
                    lambda: registered_names(store) == instance_names - {removed_instance.name}
                )
                store.restore_backup(1)
                assert registered_names(store) == instance_names
                await entry_process.until(
                    lambda: registered_names(store) == instance_names - {removed_instance.name},
                    DIRECTORY_LIMIT_S,
                )
                await asyncio.sleep(1.0)
                assert registered_names(store) == instance_names - {removed_instance.name}

    asyncio.run(main())


def test_instances_register_again_when_the_store_has_returned(tmp_path):
    """Guards against instances missing from the directory because the backup lacks their entry."""

    async def main():
        async with platform() as (store, port), asyncio.timeout(60):
            initial_revision = store.revision
            async with running_instances(tmp_path, port) as instances:
                instance_names = {instance.name for instance in instances}
                await entry_process.until(lambda: registered_names(store) == instance_names)
                for _ in range(2):
                    store.rewrite_lost(store.restore_backup(store.revision - initial_revision))
                    assert not registered_names(store)
                    await entry_process.until(
                        lambda: registered_names(store) == instance_names, DIRECTORY_LIMIT_S
                    )
                leases = {item["Lease"] for key, item in store.items.items() if "/inst" in key}
                assert len(leases) == len(instance_names)
                assert leases <= set(store.leases)

    asyncio.run(main())
