"""Queues of the owner role: what outlives the closing of a queue, and the end of the role."""

from __future__ import annotations

import asyncio
import contextlib
import time
import types

import pytest

from turmericlug.kernel import tasks
from turmericlug.membership import members
from turmericlug.owner import owner as owner_module
from turmericlug.owner import target
from turmericlug.storage import instances
from turmericlug.telemetry import counters as counters_module

CLOSING_S = 0.3
"""The role looks for services that have moved every 0.5 s."""
SERVICES = ("s0", "s1", "s2")


class Client:
    """Client of replicas that are never asked."""

    async def warm(self, address, count, timeout_s):
        """Open no connections."""

    async def health(self, address, timeout_s):
        return "ok"


@pytest.fixture
def open_clients(monkeypatch):
    """Replace clients and instance list; return the set of clients that are not closed."""
    clients = set()

    @contextlib.asynccontextmanager
    async def connected(connections, counters, share):
        client = Client()
        clients.add(client)
        try:
            yield client
            await asyncio.sleep(CLOSING_S)
        finally:
            clients.remove(client)

    async def read(session, url, service, timeout_s):
        return [instances.ListedInstance(f"{service}-r0", 1, "127.0.0.1", 1, "dc", False)]

    monkeypatch.setattr(target, "connected", connected)
    monkeypatch.setattr(instances, "read", read)
    return clients


def make_owner():
    own = members.Member("e1", members.ALIVE, 1, "127.0.0.1", 1, 1, "dc")
    service = types.SimpleNamespace(slots=2, connections=4, data_centre="dc")
    settings = types.SimpleNamespace(
        instance=types.SimpleNamespace(name="e1"),
        platform=types.SimpleNamespace(instances_url="", instances_poll_ms=1000),
        policy=types.SimpleNamespace(
            hedge_budget=0.05, hedge_percentile=95.0, retry_budget=0.1, caller_share=0.5
        ),
        limits=types.SimpleNamespace(queue_parts=100, replies_mb=64),
    )
    config = types.SimpleNamespace(
        catalog=types.SimpleNamespace(services=dict.fromkeys(SERVICES, service)),
        catalog_revision=1,
    )
    mesh = types.SimpleNamespace(members=members.Members(own), link=lambda instance: None)
    return owner_module.Owner(settings, config, mesh, None, counters_module.Counters())


def test_a_draining_target_is_known_when_its_queue_is_opened_again(open_clients):
    """
    Guards against requests to a draining target from an owner that found it out itself, then lost
    the service and got it back, while the platform's list still shows the target as live.
    """

    async def main():
        owner = make_owner()
        await owner.open_owned()
        owner.queues["s0"].mark_draining("s0-r0", "draining")
        await owner.close()
        await owner.open_owned()
        reasons = {
            name: replica.draining_reason
            for queue in owner.queues.values()
            for name, replica in queue.replicas.items()
        }
        await owner.close()
        assert [name for name, reason in reasons.items() if reason] == ["s0-r0"]

    asyncio.run(main())


@pytest.mark.parametrize(
    ("moved_s", "ended_s"), [(0.0, 0.1), (0.0, 0.5), (0.1, 0.1)], ids=["first", "second", "none"]
)
def test_the_role_ends_while_it_closes_queues(moved_s, ended_s, open_clients, monkeypatch):
    """
    Guards against a planned stop that fails because the queues of services that have just moved to
    another owner are closed twice. Parameter ids: the queue that the role closes when it ends.
    """
    monkeypatch.setattr(owner_module, "_UNOWNED_IDLE_S", -1.0)
    failures = []

    async def main():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: failures.append(context)
        )
        owner = make_owner()
        await owner.open_owned()
        moved_at_s = time.monotonic() + moved_s
        owner.owns = lambda service, joining=(): time.monotonic() < moved_at_s
        async with owner_module.running(owner, tasks.background(owner.run())):
            await asyncio.sleep(ended_s)
        assert not owner.queues
        assert not open_clients

    asyncio.run(main())
    assert not failures


@pytest.mark.parametrize("failing", ["read", "connected"])
def test_a_queue_that_could_not_be_opened_is_opened_later(failing, open_clients, monkeypatch):
    """Guards against a service whose parts are never run again after one failure to open it."""
    owner_of = {"read": instances, "connected": target}
    function, left = getattr(owner_of[failing], failing), [1]

    def fail_once(*arguments):
        if left:
            raise KeyError(left.pop())
        return function(*arguments)

    monkeypatch.setattr(owner_of[failing], failing, fail_once)

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        owner = make_owner()
        with pytest.raises(KeyError):
            await owner._get_queue(SERVICES[0])
        assert not open_clients
        assert await owner._get_queue(SERVICES[0]) is owner.queues[SERVICES[0]]
        await owner.close()

    asyncio.run(main())


def test_failed_refresh_of_replicas_is_repeated(open_clients, monkeypatch):
    """Guards against an owner that never again learns of a service's replicas."""
    reads, failures = [], []
    read = instances.read

    async def fail_once(*arguments):
        reads.append(arguments)
        if len(reads) == 2:
            raise KeyError("odd entry")
        return await read(*arguments)

    monkeypatch.setattr(instances, "read", fail_once)

    async def main():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: failures.append(context)
        )
        owner = make_owner()
        owner._settings.platform.instances_poll_ms = 10
        await owner._get_queue(SERVICES[0])
        async with asyncio.timeout(10):
            while len(reads) < 4:
                await asyncio.sleep(0.005)
        await owner.close()

    asyncio.run(main())
    assert len(failures) == 1


def test_draining_targets_are_forgotten(open_clients, monkeypatch):
    """Guards against a list of each start of each target, which grows for as long as it runs."""
    monkeypatch.setattr(owner_module, "_MAX_DRAINING_TARGETS", 3, raising=False)

    async def main():
        owner = make_owner()
        await owner.open_owned()
        for number in range(10):
            message = types.SimpleNamespace(targetLeaving=f"gone-{number}#1")
            owner.on_target_leaving(types.SimpleNamespace(message=message))
        owner.queues["s0"].mark_draining("s0-r0", "draining")
        known = list(owner._draining_targets)
        await owner.close()
        return known

    assert asyncio.run(main()) == ["gone-8#1", "gone-9#1", "s0-r0#1"]
