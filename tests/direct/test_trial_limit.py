"""Limit on the replicas that a part reaches when its query was tried at one of them before."""

from __future__ import annotations

import asyncio

import handover_helpers
import pytest
import scripted

from turmericlug.direct import answering
from turmericlug.direct import trial
from turmericlug.entry import batches
from turmericlug.policy import poison

NAMES = ["far-1", "far-2", "further-3", "near-4"]


def _prefer_others(sender, tried):
    now_s = asyncio.get_running_loop().time()
    for replica in sender.replicas.of("x"):
        replica.relative_latency = 9.0 if replica.entry.instance in tried else 0.1
        replica.relative_latency_at_s = now_s


async def _reached(max_attempts, handed):
    """
    Try a suspected query at a replica that answers, then send it while none answers.

    :returns: the replica of the trial, and those that the query has reached in all
    """
    replicas = {
        name: scripted.ScriptedReplica(handover_helpers.part(1), 30.0)
        for name in NAMES
        if not (handed and name == "near-4")
    }
    sender = handover_helpers.make_sender({"x": replicas, "y": {"far-y": replicas["far-1"]}})
    peer_sender = handover_helpers.make_sender({"x": replicas, "y": {"far-y": replicas["far-1"]}})
    call = handover_helpers.query_call(
        shards=("x",), min_coverage=1.0, deadline_ms=600.0, max_attempts=max_attempts
    )
    now_s = asyncio.get_running_loop().time()
    for number in range(poison.CRASHES_TO_SUSPECT):
        sender.quarantine.table.record_crash(call.fingerprint, f"r{number}", now_s, on_trial=False)
    assert await trial.try_query(sender, call) is None
    tried = {name for name, replica in replicas.items() if replica.requests}
    for replica in replicas.values():
        replica.script = [30.0]
    _prefer_others(sender, tried)
    _prefer_others(peer_sender, tried)
    async with handover_helpers.peer(batches.handler(peer_sender)) as peer_handover:
        if handed:
            sender.handover = peer_handover
            sender.instance_count = lambda: 74
        await answering.query_shards(sender, call)
        call.abandon()
        await sender.tasks.close()
        await peer_sender.tasks.close()
    assert ("handover.sent" in sender.counters.totals) is handed
    return tried, {name for name, replica in replicas.items() if replica.requests}


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
@pytest.mark.parametrize("handed", [False, True], ids=["direct", "handed over"])
def test_the_replica_of_a_trial_counts(max_attempts, handed):
    """
    Guards against a query that reaches the replica of its trial and as many others as its route
    allows in all.
    """
    tried, reached = asyncio.run(_reached(max_attempts, handed))
    assert len(tried) == 1
    assert tried <= reached
    assert len(reached) <= max_attempts
