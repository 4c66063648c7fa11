"""Batches handed over to peers: answered, lost, moved."""

from __future__ import annotations

import asyncio
import operator
import random
import time

import attrs
import handover_helpers
import pytest
import scripted
import uvloop

from turmericlug.direct import answering
from turmericlug.direct import attempts
from turmericlug.direct import handover
from turmericlug.direct import handover_codec
from turmericlug.direct import peers as peers_module
from turmericlug.entry import batches
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.policy import capacity
from turmericlug.policy import peer_load


def run_query(handler, min_coverage=1.0, **options):
    """Query an instance with a peer; return the result, direct requests by replica and counters."""

    async def main():
        replicas = handover_helpers.scripts()
        sender = handover_helpers.make_sender(replicas)
        async with handover_helpers.peer(handler, **options) as sender.handover:
            call = handover_helpers.query_call(min_coverage=min_coverage)
            result = await answering.query_shards(sender, call)
            await sender.tasks.close()
        sent = {
            name: len(script.requests)
            for scripts in replicas.values()
            for name, script in scripts.items()
        }
        return result, sent, sender.counters.totals

    return asyncio.run(main())


def test_remote_parts_are_answered_merged():
    """The answer is the same as with direct attempts, and no remote replica gets one."""
    peer_replicas = handover_helpers.scripts()
    result, sent, _ = run_query(handover_helpers.peer_handler(peer_replicas))
    assert result.outcome == "answered"
    assert dict(result.answer.headers)[b"parts"] == b"sig120, sig121, sig122"
    assert result.answer.body == b"".join(n.to_bytes(16, "big") for n in (122, 121))
    assert sent == {"far-1": 0, "far-2": 0, "further-2": 0, "near-3": 1, "far-3": 0}
    assert len(peer_replicas["x"]["far-1"].requests) == 1


def test_a_slow_part_follows_in_a_later_answer():
    """
    One shard of a batch is slow. The first answer to the batch comes in time without it, and the
    query waits since it needs the shard. If the part were also sent directly, it would run on a
    third replica.
    """
    peer_replicas = handover_helpers.scripts()
    peer_replicas["x"]["far-1"].script = [0.25, handover_helpers.part(120)]

    async def main():
        sender = handover_helpers.make_sender(handover_helpers.scripts())
        async with handover_helpers.peer(
            handover_helpers.peer_handler(peer_replicas)
        ) as sender.handover:
            call = handover_helpers.query_call(min_coverage=1.0)
            result = await answering.query_shards(sender, call)
            await sender.tasks.close()
        return result, sender.counters.totals

    result, totals = asyncio.run(main())
    assert result.outcome == "answered"
    assert totals["handover.lost"] == 0


async def failing(request):
    return messages.Response(500)


async def refusing(request):
    return messages.Response(503)


async def garbage(request):
    return messages.Response(200, body=b"garbage")


async def incomplete(request):
    async def chunks():
        yield handover_codec.encode_answer(
            handover_codec.Answer(bytes(16), {"y": b"sigy"}, {}, 1.0), ("x", "y")
        )

    return messages.Response(200, chunks=chunks())


@pytest.mark.parametrize(
    ("handler", "interim"),
    [
        (handover_helpers.silent, b""),
        (failing, handover_helpers.INTERIM_RESPONSE),
        (garbage, handover_helpers.INTERIM_RESPONSE),
        (handover_helpers.silent, handover_helpers.INTERIM_RESPONSE),
        (incomplete, handover_helpers.INTERIM_RESPONSE),
    ],
    ids=["dead", "failing", "garbage", "stuck", "incomplete"],
)
def test_the_parts_of_a_lost_batch_are_sent_directly(handler, interim):
    """
    The peer is dead, fails or stalls while it has a batch. The parts are sent directly, so that no
    answer depends on a single instance.
    """
    result, sent, totals = run_query(handler, interim=interim)
    assert result.answer.status == 200
    assert totals["handover.lost"] == 1
    assert sent["far-1"] == 1


def _scripted_shards(names):
    return {
        shard: {
            f"{name}{shard}": scripted.ScriptedReplica(handover_helpers.part(120)) for name in names
        }
        for shard in ("x", "y")
    }


@pytest.mark.parametrize(
    ("first", "interim", "replicas", "moved"),
    [
        (handover_helpers.silent, b"", 3, True),
        (failing, b"", 3, True),
        (refusing, handover_helpers.INTERIM_RESPONSE, 3, True),
        (failing, handover_helpers.INTERIM_RESPONSE, 2, True),
        (failing, handover_helpers.INTERIM_RESPONSE, 3, True),
    ],
    ids=["dead", "failing", "refused", "begun, few replicas", "begun, many replicas"],
)
def test_with_many_instances_a_lost_batch_goes_to_the_other_owner(
    first, interim, replicas, moved, monkeypatch
):
    """
    An owner of forty shards does not answer. Direct attempts all need new connections:
    an instance with half a core opened sixty at once, none in time, and the query failed. The other
    owner of the shards has open connections. A part that the first owner may have sent goes only to
    the same replica.
    """
    # All instances run in this process. If it stalls for 100 ms, the batch at the other owner
    # counts as lost as well.
    monkeypatch.setattr(handover, "INTERIM_TIMEOUT_SLACK_MS", 500.0)

    async def main():
        names = ["far-", "further-", "other-"][:replicas]
        own_replicas, peer_replicas = _scripted_shards(names), _scripted_shards(names)
        sender = handover_helpers.make_sender(own_replicas)
        sender.instance_count = lambda: 74
        async with handover_helpers.peer(
            first, interim, others=[handover_helpers.peer_handler(peer_replicas)]
        ) as sender.handover:
            call = handover_helpers.query_call(
                shards=("x", "y"), min_coverage=1.0, deadline_ms=5000.0
            )
            result = await answering.query_shards(sender, call)
            await sender.tasks.close()
        direct_requests = sum(
            len(script.requests) for shard in own_replicas.values() for script in shard.values()
        )
        return result.outcome, direct_requests, "handover.moved" in sender.counters.totals

    outcome = "answered" if moved else "failed"
    assert asyncio.run(main()) == (outcome, 0, moved)


def test_answers_tell_the_load_of_the_peer():
    """Guards against a choice between owners without any signal."""
    load = handover_codec.Load(lag_ms=30, active=3, queued=2)

    async def main():
        sender = handover_helpers.make_sender(handover_helpers.scripts())
        handler = handover_helpers.peer_handler(handover_helpers.scripts(), load)
        async with handover_helpers.peer(handler) as sender.handover:
            await answering.query_shards(sender, handover_helpers.query_call(min_coverage=1.0))
            await sender.tasks.close()
            loads, now_s = sender.handover.peers.loads, asyncio.get_running_loop().time()
            return loads.get("e-2", now_s), loads.get("e-2", now_s + 1.1)

    signal, stale = asyncio.run(main())
    assert signal.delay_ms == peer_load.delay_ms(30, 3, 2, 1.0) and signal.is_hot
    assert stale is None


class WeightedDraw(random.Random):
    """Draws of owners by weight, in which the heaviest or the lightest one is always drawn."""

    draws_lightest = False

    def choices(self, population, weights):
        """Return the chosen one of the population."""
        draw = min if self.draws_lightest else max
        return [draw(zip(population, weights, strict=True), key=operator.itemgetter(1))[0]]


@pytest.mark.parametrize(
    ("draws_lightest", "owner", "by_owner", "directly"),
    [(False, "e-4", 1, 0), (True, "e-3", 0, 1)],
    ids=["heaviest", "lightest"],
)
def test_weights_that_change_while_a_batch_is_out(draws_lightest, owner, by_owner, directly):
    """
    Guards against parts that are lost or run twice because their owners change: the batch is out at
    an owner that the new weights no longer name, and fails there. It moves to one of the present
    owners, drawn by weight; the lightest fails as well, and the parts are then sent directly.
    """
    capacities = {"e-2": 4.0, "e-3": 4.0, "e-4": 0.25}

    def weights_of(names):
        return capacity.weights({name: capacities[name] for name in names})

    async def main():
        replicas = _scripted_shards(["far-1", "far-2"])
        own_replicas = _scripted_shards(["far-1", "far-2"])
        sender = handover_helpers.make_sender(own_replicas)
        sender.instance_count = lambda: 74
        sender.rng = WeightedDraw()

        async def fail_after_change(request):
            sender.rng.draws_lightest = draws_lightest
            capacities.update({"e-2": 0.25, "e-3": 0.25, "e-4": 4.0})
            sender.handover.peers.clear_owner_cache()
            return messages.Response(400)

        handler = handover_helpers.peer_handler(replicas)
        weighting = peers_module.Weighting(
            weights_of, lambda name: capacities[name], is_active=lambda: True
        )
        async with handover_helpers.peer(
            fail_after_change, others=[fail_after_change, handler], weighting=weighting
        ) as sender.handover:
            call = handover_helpers.query_call(
                shards=("x", "y"), min_coverage=1.0, deadline_ms=5000.0
            )
            result = await answering.query_shards(sender, call)
            await sender.tasks.close()
        requests = [
            [sum(len(script.requests) for script in scripts.values()) for scripts in each.values()]
            for each in (replicas, own_replicas)
        ]
        return result.outcome, requests, call.handed_over

    outcome, requests, handed_over = asyncio.run(main())
    assert outcome == "answered"
    assert requests == [[by_owner, by_owner], [directly, directly]]
    assert set(handed_over.values()) == {owner}


def block_event_loop(duration_s):
    """Keep this process from running anything else, as a busy machine does."""
    time.sleep(duration_s)


@pytest.mark.parametrize("new_event_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("steps", range(20))
def test_a_stall_of_this_process_does_not_lose_a_batch(steps, new_event_loop):
    """
    This process stands still while its peer confirms a batch. The batch counted as lost, and its
    parts were sent to other replicas beside those that the peer sends to.
    """
    peer_replicas = handover_helpers.scripts()

    async def main():
        sender = handover_helpers.make_sender(handover_helpers.scripts())
        async with handover_helpers.peer(
            handover_helpers.peer_handler(peer_replicas)
        ) as sender.handover:
            call = handover_helpers.query_call(min_coverage=1.0, goal_ms=4000.0, deadline_ms=5000.0)
            query = asyncio.create_task(answering.query_shards(sender, call))
            for _ in range(steps):
                await asyncio.sleep(0)
            block_event_loop(0.3)
            result = await query
            await sender.tasks.close()
        return result.outcome, sender.counters.totals.get("handover.lost", 0)

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        assert runner.run(main()) == ("answered", 0)


@pytest.mark.parametrize(
    ("known", "lost", "directly"),
    [((), 1, 2), (("y",), 0, 1), (("x", "y"), 0, 0)],
    ids=["none", "some", "all"],
)
def test_a_peer_that_does_not_know_the_replicas_yet(known, lost, directly):
    """
    All instances start after a power loss. A peer gets a batch before it has read of the replicas.
    Its "no replica" was taken as final, and the query failed although the instance that handed the
    batch over knew the replicas.
    """
    own_replicas, peer_replicas = _scripted_shards(["far-1"]), _scripted_shards(["far-2"])
    known_replicas = {shard: peer_replicas[shard] for shard in known}

    async def main():
        sender = handover_helpers.make_sender(own_replicas)
        async with handover_helpers.peer(
            handover_helpers.peer_handler(known_replicas)
        ) as sender.handover:
            call = handover_helpers.query_call(shards=("x", "y"), min_coverage=1.0)
            result = await answering.query_shards(sender, call)
            await sender.tasks.close()
        return result.outcome, sender.counters.totals.get("handover.lost", 0)

    assert asyncio.run(main()) == ("answered", lost)
    assert (
        sum(len(script.requests) for shard in own_replicas.values() for script in shard.values())
        == directly
    )


@pytest.mark.parametrize(
    "names",
    [
        ["far-1", "further-2", "other-3"],
        ["far-1", "far-2", "further-3"],
        ["further-1", "further-2", "other-3", "other-4"],
        ["far-1", "further-2"],
    ],
    ids=["one there", "two there", "none there", "few"],
)
@pytest.mark.parametrize("request_id", [b"q1", b"q2", b"q3", b"q4"])
def test_a_batch_that_is_run_twice_reaches_no_more_replicas_than_allowed(names, request_id):
    """
    The first owner is slow, not dead. It skips the replica in its own data centre, which is
    ejected for slowness, and sends a part to two others. The batch counts as lost and goes to the
    second owner. If that sent the part to the skipped replica, the part would reach a third one
    where two are allowed.
    """

    async def run(ejected, maybe_sent_before):
        reset = client.ExchangeError("reset")
        replicas = {name: scripted.ScriptedReplica(reset) for name in names}
        sender = handover_helpers.make_sender({"x": replicas})
        now_s = asyncio.get_running_loop().time()
        for replica in sender.replicas.of("x")[:ejected]:
            replica.ejected_until_s = now_s + 60
        batch = attrs.evolve(
            handover_helpers.BATCH,
            request_id=request_id,
            shards=("x",),
            maybe_sent_before=maybe_sent_before,
        )
        body = handover_codec.encode_batch(handover_helpers.state_shared(batch, sender))
        request = messages.Request(b"POST", handover.PATH, (), body, now_s)
        answer = await batches.handler(sender)(request)
        chunks = [handover_codec.decode_answer(chunk, ("x",)) async for chunk in answer.chunks]
        failures = {shard: failure for chunk in chunks for shard, failure in chunk.failures.items()}
        assert failures["x"].may_have_run
        return [name for name, script in replicas.items() for _ in script.requests]

    async def main():
        return await run(ejected=1, maybe_sent_before=False), await run(
            ejected=0, maybe_sent_before=True
        )

    first, second = asyncio.run(main())
    assert len(second) == 1
    assert len({*first, *second}) <= handover_helpers.BATCH.max_attempts


@pytest.mark.parametrize("number", range(8))
@pytest.mark.parametrize(
    "first", [[0.4, handover_helpers.part(1)], [client.ExchangeError("reset")]]
)
def test_a_late_part_goes_to_the_better_of_the_other_replicas(first, number):
    """
    Replicas of many shards become slow, for some shards two of three. Half of all queries could
    reach only these two, missed the shard, and were late because their coverage was too low.
    """
    replicas = {
        "far-1": scripted.ScriptedReplica(*first),
        f"further-{number}": scripted.ScriptedReplica(0.4, handover_helpers.part(2)),
        f"near-{number}": scripted.ScriptedReplica(handover_helpers.part(3)),
    }

    async def main():
        sender = handover_helpers.make_sender({"x": replicas})
        now_s = asyncio.get_running_loop().time()
        relative_latencies = (0.01, 9.0, 1.5)
        for replica, relative_latency in zip(
            sender.replicas.of("x"), relative_latencies, strict=True
        ):
            replica.relative_latency, replica.relative_latency_at_s = relative_latency, now_s
        batch = attrs.evolve(handover_helpers.BATCH, shards=("x",), maybe_sent_before=False)
        body = handover_codec.encode_batch(handover_helpers.state_shared(batch, sender))
        request = messages.Request(b"POST", handover.PATH, (), body, now_s)
        answer = await batches.handler(sender)(request)
        async for _ in answer.chunks:
            pass
        await sender.tasks.close()
        return [len(script.requests) for script in replicas.values()]

    assert asyncio.run(main()) == [1, 0, 1]


def test_a_peer_that_lost_batches_gets_none_for_a_while():
    async def main():
        sender = handover_helpers.make_sender(handover_helpers.scripts())
        async with handover_helpers.peer(failing) as sender.handover:
            for _ in range(4):
                await answering.query_shards(sender, handover_helpers.query_call())
            await sender.tasks.close()
        return sender.counters.totals

    assert asyncio.run(main())["handover.sent"] == 2


def test_a_caller_that_disconnects_stops_the_peer():
    """
    The caller disconnects while a peer works on a batch. The connection to the peer is closed, and
    the peer closes its connections to the replicas.
    """
    peer_replicas = handover_helpers.scripts()
    peer_replicas["x"]["far-1"].script = [30.0]

    async def main():
        sender = handover_helpers.make_sender(handover_helpers.scripts())
        async with handover_helpers.peer(
            handover_helpers.peer_handler(peer_replicas)
        ) as sender.handover:
            call = handover_helpers.query_call(min_coverage=1.0)
            task = asyncio.create_task(answering.query_shards(sender, call))
            while not peer_replicas["x"]["far-1"].requests:
                await asyncio.sleep(0.005)
            task.cancel()
            call.abandon()
            await asyncio.gather(task, return_exceptions=True)
            async with asyncio.timeout(10):
                while not peer_replicas["x"]["far-1"].cancelled:
                    await asyncio.sleep(0.005)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("handler", "first", "reached", "sent"),
    [
        (failing, [client.ExchangeError("reset")], 1, 1),
        (refusing, [client.ExchangeError("reset")], 2, 2 + attempts.MAX_SAME_REPLICA_RETRIES),
    ],
    ids=["lost", "refused"],
)
def test_attempts_after_a_lost_or_refused_batch(handler, first, reached, sent, monkeypatch):
    """
    A batch is lost after the peer may have sent its parts. If a part then got as many direct
    attempts as a new one, it would reach more replicas than its route allows. A refused batch has
    sent none, so its parts get all their attempts.
    """
    # On a busy machine, connecting may take longer than the usual timeout; such a batch has sent
    # nothing.
    monkeypatch.setattr(handover, "INTERIM_TIMEOUT_SLACK_MS", 5000.0)

    async def main():
        replicas = {
            "x": {
                "far-1": scripted.ScriptedReplica(*first),
                "further-1": scripted.ScriptedReplica(*first),
            },
            "y": {"far-2": scripted.ScriptedReplica(handover_helpers.part(121))},
        }
        sender = handover_helpers.make_sender(replicas)
        async with handover_helpers.peer(handler) as sender.handover:
            await answering.query_shards(
                sender, handover_helpers.query_call(shards=("x", "y"), min_coverage=1.0)
            )
            await sender.tasks.close()
        return [len(script.requests) for script in replicas["x"].values()]

    requests = asyncio.run(main())
    assert sum(map(bool, requests)) == reached
    assert sum(requests) == sent


def test_missing_parts_of_a_batch_are_reported_with_their_peer():
    """Missing parts that a peer had sent to replicas were reported as not sent."""

    async def main():
        sender = handover_helpers.make_sender(handover_helpers.scripts())
        async with handover_helpers.peer(handover_helpers.silent) as sender.handover:
            call = handover_helpers.query_call(goal_ms=60.0, deadline_ms=90.0)
            result = await answering.query_shards(sender, call)
            call.abandon()
            await sender.tasks.close()
        assert "x: not in time (handed to e-2" in result.reason
        assert call.describe("unknown", 0.0) == "not sent"

    asyncio.run(main())


def test_a_batch_that_may_be_old_is_refused():
    """
    A peer stalls with a batch in its socket. The instance that handed it over counts the batch as
    lost and sends the parts itself. If the peer ran them as well, they would reach a third replica.
    """

    async def main():
        peer_replicas = handover_helpers.scripts()
        handler = batches.handler(handover_helpers.make_sender(peer_replicas))
        body = handover_codec.encode_batch(handover_helpers.BATCH)
        request = messages.Request(b"POST", handover.PATH, (), body, 0.0, stalled_s=0.2)
        answer = await handler(request)
        assert answer.status == handover.REFUSED_STATUS
        assert not any(
            script.requests for service in peer_replicas.values() for script in service.values()
        )

    asyncio.run(main())


@pytest.mark.parametrize(
    ("replicas", "sent", "outcome"), [(2, 1, "answered"), (3, 0, "failed")], ids=["few", "many"]
)
def test_a_batch_lost_after_it_was_begun(replicas, sent, outcome):
    """
    A peer has begun a batch, may have sent a part to two replicas, and stops without closing the
    connection. A direct attempt could reach a third replica where two are allowed, unless the shard
    has only two.
    """

    async def dying(request):
        async def chunks():
            await asyncio.sleep(30)
            yield b""

        return messages.Response(200, chunks=chunks())

    async def main():
        names = [f"far-{number}" for number in range(replicas)]
        scripts = _scripted_shards(names)
        sender = handover_helpers.make_sender(scripts)
        async with handover_helpers.peer(dying) as sender.handover:
            call = handover_helpers.query_call(
                shards=("x", "y"), min_coverage=1.0, deadline_ms=500.0
            )
            result = await answering.query_shards(sender, call)
            await sender.tasks.close()
        assert result.outcome == outcome
        return sum(len(script.requests) for script in scripts["x"].values())

    assert asyncio.run(main()) == sent


@pytest.mark.parametrize("replicas", [2, 3])
def test_a_batch_whose_peer_is_killed_after_it_was_begun(replicas):
    """
    A peer has begun a batch, may have sent a part to two replicas, and is killed: its connection
    closes. The part may then be sent again, but only to the replica that the peer used as well, or
    to any if there are no more than it may reach.
    """

    async def dying(request):
        async def chunks():
            raise ConnectionError
            yield b""

        return messages.Response(200, chunks=chunks())

    async def main():
        scripts = _scripted_shards([f"far-{number}" for number in range(replicas)])
        sender = handover_helpers.make_sender(scripts)
        async with handover_helpers.peer(dying) as sender.handover:
            call = handover_helpers.query_call(
                shards=("x", "y"), min_coverage=1.0, deadline_ms=500.0
            )
            result = await answering.query_shards(sender, call)
            await sender.tasks.close()
        assert result.outcome == "answered"
        for shard in ("x", "y"):
            shared = sender.replicas.shared(shard, call.route, call.request_id, "far")
            assert len(shared) == (1 if replicas == 3 else 2)
            reached = [name for name, script in scripts[shard].items() for _ in script.requests]
            assert len(reached) == 1
            assert reached[0] in shared

    asyncio.run(main())
