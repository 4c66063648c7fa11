"""Batches of other instances at an entry instance that leaves."""

from __future__ import annotations

import asyncio
import collections
import signal

import entry_process
import entry_world
import pytest
import standin_platform

from turmericlug.http1 import client

GRACE_S = 6.0
REPLICA_S = 1.0
LONG_MS, GOAL_MS = 4000, 3000


def configure(world):
    """Let queries wait for all shards, for longer than the replicas need."""
    world.version += 1
    route = standin_platform.route(
        "all",
        "/all/",
        Gather=entry_world.SHARDS,
        TopK=2,
        MinCoverage=1.0,
        GoalMs=GOAL_MS,
        TimeoutMs=LONG_MS,
    )
    services = [*entry_world.SHARDS, "one"]
    world.store.put("op/config", standin_platform.configuration(world.version, [route], services))


@pytest.mark.parametrize(
    ("sent_after_s", "handed_over", "refused"),
    [(2.0, 1, 0), (4.5, 0, 1)],
    ids=["answered before the exit", "not answered before the exit"],
)
def test_batches_of_a_leaving_instance_are_finished_or_refused(
    tmp_path, sent_after_s, handed_over, refused
):
    """
    Guards against batches that an instance cuts off at its exit. Their parts have run and run
    again elsewhere, and the query waits twice as long. The store is away, so that the other
    instance goes on sending to the one that leaves.
    """

    async def main():
        world_running = entry_world.running(tmp_path, ["dc-1", "dc-2"], "dc-2", grace_s=GRACE_S)
        async with world_running as world, asyncio.timeout(60):
            asking, leaving = world.instances
            for replica in world.replicas:
                replica.delay_s = REPLICA_S
            configure(world)
            await world.until_applied()
            world.store.fault = "silent"
            kept = await client.connect("127.0.0.1", leaving.ports[0]) if refused else None
            leaving.signal(signal.SIGTERM)
            await asyncio.sleep(sent_after_s)
            headers = [(b"x-deadline-ms", b"%d" % LONG_MS)]
            response = await entry_process.ask(asking.ports[0], b"/all/1", b"q1", headers)
            assert response.status == 200
            if kept is not None:
                kept.close()
            assert await leaving.process.wait() == 0
            runs = collections.Counter(
                (replica.service, run) for replica in world.replicas for run in replica.runs
            )
            assert runs == {(shard, b"q1"): 1 for shard in entry_world.SHARDS}
            assert len(leaving.lines("helping.answered")) == handed_over
            assert len(leaving.lines("helping.refused")) == refused
            assert len(asking.lines("handover.lost")) == refused

    asyncio.run(main())
