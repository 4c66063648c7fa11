"""Tests of region restrictions, evacuated data centres and the limits of cold replicas."""

from __future__ import annotations

import asyncio

import attrs
import handover_helpers
import pytest
import scripted

from turmericlug.direct import answering
from turmericlug.direct import attempts
from turmericlug.direct import handover_codec
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sending
from turmericlug.direct import trial
from turmericlug.entry import batches
from turmericlug.http1 import messages
from turmericlug.policy import poison
from turmericlug.policy import warm_up

GOOD = scripted.response(body=bytes(16))
FAILURE = scripted.response(500)
HERE, THERE = frozenset({"here"}), frozenset({"there"})
REPLICA_NAMES = ("near-1", "far-1", "further-1")


def run_scenario(scripts, scenario, **changes):
    """Run a scenario with a call and a sender in data centre ``near``."""

    async def main():
        sender = handover_helpers.make_sender(scripts)
        call = scripted.make_call(**changes)
        async with asyncio.timeout(10):
            result = await scenario(sender, call)
        await sender.tasks.close()
        return result

    return asyncio.run(main())


def scripted_replicas(*steps, names=REPLICA_NAMES):
    return {name: scripted.ScriptedReplica(*steps) for name in names}


def reached_replicas(replicas):
    return {name for name, replica in replicas.items() if replica.requests}


@pytest.mark.parametrize(
    ("steps", "changes"),
    [
        ([GOOD], {}),
        ([FAILURE], {"max_attempts": 3}),
        ([scripted.SHED], {"max_attempts": 3}),
        ([0.3, GOOD], {"max_attempts": 3, "goal_ms": 50.0}),
        ([FAILURE], {"max_attempts": 3, "idempotent": False}),
    ],
    ids=["first attempt", "retry", "shed", "hedge", "not idempotent"],
)
@pytest.mark.parametrize("regions", [THERE, HERE, frozenset()], ids=["far", "near", "nowhere"])
def test_a_restricted_request_reaches_only_replicas_in_its_regions(steps, changes, regions):
    """Guards against sending a restricted request to a nearer or faster replica elsewhere."""
    replicas = scripted_replicas(*steps)

    async def scenario(sender, call):
        return await answering.request_service(sender, call, "s")

    result = run_scenario({"s": replicas}, scenario, regions=regions, deadline_ms=800.0, **changes)
    allowed = {
        name
        for name in REPLICA_NAMES
        if handover_helpers.REGIONS[name.partition("-")[0]] in regions
    }
    assert reached_replicas(replicas) <= allowed
    if not allowed:
        assert (result.outcome, result.reason) == ("refused", replicas_module.OUT_OF_REGION)
        assert result.answer.status == 503
        assert float(dict(result.answer.headers)[b"retry-after"]) > 0


def test_a_suspected_request_is_tried_only_in_its_regions():
    shards = {shard: scripted_replicas(GOOD) for shard in ("x", "y")}

    async def scenario(sender, call):
        call.fingerprint = b"q"
        for name in ("a", "b", "c"):
            sender.quarantine.table.record_crash(b"q", name, sender.quarantine._now_s(), False)
        assert sender.quarantine.verdict(b"q") is poison.Verdict.SUSPECTED
        return await trial.try_query(sender, call)

    run_scenario(shards, scenario, regions=THERE, shards=("x", "y"), services=(), min_coverage=0.5)
    assert {name for replicas in shards.values() for name in reached_replicas(replicas)} == {
        "far-1"
    }


def test_a_restricted_query_is_refused_if_too_few_shards_are_in_its_regions():
    scripts = {"x": scripted_replicas(GOOD), "y": scripted_replicas(GOOD, names=("near-1",))}

    async def scenario(sender, call):
        return await answering.query_shards(sender, call)

    result = run_scenario(
        scripts, scenario, regions=THERE, shards=("x", "y"), services=(), min_coverage=0.9
    )
    assert (result.outcome, result.reason) == ("refused", replicas_module.OUT_OF_REGION)
    assert not any(reached_replicas(replicas) for replicas in scripts.values())


def test_a_restricted_query_is_handed_only_to_peers_in_its_regions():
    """Guards against handing the body of a restricted request to a peer in another region."""

    async def main():
        scripts = handover_helpers.scripts()
        sender = handover_helpers.make_sender(scripts)
        received = []

        async def handle(request):
            received.append(handover_codec.decode_batch(request.body))
            return messages.Response(503)

        async with handover_helpers.peer(handle) as peer_handover:
            sender.handover = peer_handover
            call = handover_helpers.query_call(regions=frozenset({"here"}), min_coverage=0.3)
            result = await answering.query_shards(sender, call)
            assert not received
            assert result.outcome == "partial"
            assert {
                name for replicas in scripts.values() for name in reached_replicas(replicas)
            } == {"near-3"}
            call = handover_helpers.query_call(regions=THERE)
            await answering.query_shards(sender, call)
            assert [batch.regions for batch in received] == [THERE]
        await sender.tasks.close()

    asyncio.run(main())


@pytest.mark.parametrize("regions", [None, THERE, frozenset()], ids=["any", "one", "none"])
def test_the_regions_of_a_batch_survive_encoding(regions):
    batch = attrs.evolve(handover_helpers.BATCH, regions=regions)
    assert handover_codec.decode_batch(handover_codec.encode_batch(batch)) == batch


def test_a_peer_respects_the_regions_of_a_batch():
    """Guards against a peer that hedges late parts of a batch in another region."""
    scripts = {"x": scripted_replicas(0.3, GOOD), "y": scripted_replicas(0.3, GOOD)}

    async def main():
        sender = handover_helpers.make_sender(scripts)
        batch = attrs.evolve(
            handover_helpers.BATCH, regions=THERE, maybe_sent_before=False, answer_in_ms=150.0
        )
        content = handover_codec.encode_batch(batch)
        now_s = asyncio.get_running_loop().time()
        request = messages.Request(b"POST", b"/parts", ((b"host", b"h"),), content, now_s)
        answer = await batches.handler(sender)(request)
        async for _ in answer.chunks:
            pass
        await sender.tasks.close()

    asyncio.run(main())
    assert {name for replicas in scripts.values() for name in reached_replicas(replicas)} == {
        "far-1"
    }


def evacuate(sender, *data_centres):
    for data_centre in data_centres:
        sender.replicas.evacuate(data_centre, 0.0)


@pytest.mark.parametrize(
    ("data_centres", "allowed", "reason"),
    [
        (["near"], {"far-1", "further-1"}, ""),
        (["near", "far"], {"further-1"}, ""),
        (["near", "far", "further"], set(), replicas_module.EVACUATED),
        (["unknown"], set(REPLICA_NAMES), ""),
    ],
)
def test_replicas_of_an_evacuated_data_centre_get_no_requests(data_centres, allowed, reason):
    """Guards against sending to replicas of an evacuated data centre until it is switched off."""
    replicas = scripted_replicas(FAILURE)

    async def scenario(sender, call):
        evacuate(sender, *data_centres)
        return await attempts.get_answer(sender, call, "s")

    outcome = run_scenario({"s": replicas}, scenario, max_attempts=3)
    assert reached_replicas(replicas) <= allowed
    if reason:
        assert outcome == sending.NotRun(reason, sent=False)


class DelayedConnect(scripted.ScriptedReplica):
    """A replica whose connections open only after ``may_connect`` is set."""

    def __init__(self, *script):
        super().__init__(*script)
        self.may_connect = asyncio.Event()

    async def connect(self):
        await self.may_connect.wait()
        return await super().connect()


def test_an_evacuation_redirects_requests_that_wait_for_a_connection():
    """Guards against writing a request that waited for a connection after the evacuation began."""

    async def main():
        replicas = {"near-1": DelayedConnect(GOOD), "far-1": scripted.ScriptedReplica(GOOD)}
        sender = handover_helpers.make_sender({"s": replicas})
        call = scripted.make_call(idempotent=False)
        task = asyncio.create_task(attempts.get_answer(sender, call, "s"))
        await asyncio.sleep(0.01)
        evacuate(sender, "near")
        replicas["near-1"].may_connect.set()
        outcome = await task
        assert isinstance(outcome, sending.Answered)
        assert reached_replicas(replicas) == {"far-1"}
        (near,) = (
            replica for replica in sender.replicas.of("s") if replica.entry.data_centre == "near"
        )
        assert near.failures == 0
        assert sender.counters.totals["direct.withheld.evacuated"] == 1
        await sender.tasks.close()

    asyncio.run(main())


def test_a_data_centre_is_used_again_after_its_evacuation():
    replicas = scripted_replicas(GOOD, names=("near-1",))

    async def scenario(sender, call):
        evacuate(sender, "near")
        evacuate(sender, "near")
        assert sender.replicas.end_evacuation("near", 2.0) == 2.0
        assert sender.replicas.end_evacuation("near", 3.0) == 0.0
        return await attempts.get_answer(sender, call, "s")

    assert isinstance(run_scenario({"s": replicas}, scenario), sending.Answered)


def test_no_connection_is_prewarmed_to_an_evacuated_data_centre():
    replicas = scripted_replicas(GOOD, names=("near-1", "near-2"))

    async def scenario(sender, call):
        evacuate(sender, "near")
        await sender.replicas.warm(0.0, lambda service: True, far=True)
        return sender.replicas.connections()["opened_ahead"]

    assert run_scenario({"s": replicas}, scenario) == 0


@pytest.mark.parametrize(
    ("share", "max_requests"),
    [
        (warm_up.Share(2.0, senders=0), 0),
        (warm_up.Share(2.0), 1),
        (warm_up.Share(2.0, senders=1000, phase=0.9), 0),
        (warm_up.UNLIMITED, 4),
    ],
    ids=["not a sender", "only sender", "later phase", "not limited"],
)
def test_a_cold_replica_gets_no_more_than_the_share_of_this_instance(share, max_requests):
    """Guards against crashes of replicas that get the requests of all instances at their start."""
    replicas = scripted_replicas(GOOD, names=("near-1",))

    async def scenario(sender, call):
        loop = asyncio.get_running_loop()
        entry = attrs.evolve(
            scripted.entry("near-1", data_centre="near", born_ms=2), warmup_left_ms=3000.0
        )
        sender.replicas.put(entry, loop.time())
        sender.replicas.cold_limit = lambda entry: share
        return [await attempts.get_answer(sender, call, "s") for _ in range(4)]

    outcomes = run_scenario({"s": replicas}, scenario)
    assert len(replicas["near-1"].requests) == max_requests
    refused = sending.NotRun(replicas_module.COLD, sent=False)
    assert outcomes.count(refused) == 4 - max_requests
