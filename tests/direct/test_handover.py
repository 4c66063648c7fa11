"""Batches handed to other instances: answered, lost, moved."""

from __future__ import annotations

import asyncio

import attrs
import handing
import pytest
import scripted

from turmericlug.direct import answering
from turmericlug.direct import handover
from turmericlug.direct import handover_codec
from turmericlug.direct import obtaining
from turmericlug.entry import helping
from turmericlug.http1 import client
from turmericlug.http1 import messages


def ask(handler, min_coverage=1.0, **options):
    """Answer a query at an instance that has a peer; returns the ending and the near replicas."""

    async def main():
        replicas = handing.scripts()
        sender = handing.make_sender(replicas)
        async with handing.peer(handler, **options) as sender.handover:
            call = handing.query_call(min_coverage=min_coverage)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        sent = {
            name: len(script.requests)
            for each in replicas.values()
            for name, script in each.items()
        }
        return ending, sent, sender.counters.totals

    return asyncio.run(main())


def test_far_parts_come_back_merged():
    """The caller's answer is the same as with direct sends; no far replica was asked from here."""
    elsewhere = handing.scripts()
    ending, sent, _ = ask(handing.helper(elsewhere))
    assert ending.outcome == "answered"
    assert dict(ending.answer.headers)[b"parts"] == b"sig120, sig121, sig122"
    assert ending.answer.body == b"".join(n.to_bytes(16, "big") for n in (122, 121))
    assert sent == {"far-1": 0, "far-2": 0, "further-2": 0, "near-3": 1, "far-3": 0}
    assert len(elsewhere["x"]["far-1"].requests) == 1


def test_a_straggler_comes_by_itself_when_the_query_needs_it():
    """
    One shard of a batch is slow. The batch comes back without it when asked for; the query lacks
    too many shards and waits. Sent directly as well, the part would run on a third replica.
    """
    elsewhere = handing.scripts()
    elsewhere["x"]["far-1"].script = [0.25, handing.part(120)]

    async def main():
        sender = handing.make_sender(handing.scripts())
        async with handing.peer(handing.helper(elsewhere)) as sender.handover:
            call = handing.query_call(min_coverage=1.0)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        return ending, sender.counters.totals

    ending, totals = asyncio.run(main())
    assert ending.outcome == "answered"
    assert totals["handover.lost"] == 0


async def failing(request):
    return messages.Answer(500)


async def refusing(request):
    return messages.Answer(503)


async def garbage(request):
    return messages.Answer(200, body=b"garbage")


async def incomplete(request):
    async def chunks():
        yield handover_codec.encode_answer(
            handover_codec.Answer(bytes(16), {"y": b"sigy"}, {}, 1.0), ("x", "y")
        )

    return messages.Answer(200, chunks=chunks())


@pytest.mark.parametrize(
    ("handler", "interim"),
    [
        (handing.silent, b""),
        (failing, handing.ALIVE),
        (garbage, handing.ALIVE),
        (handing.silent, handing.ALIVE),
        (incomplete, handing.ALIVE),
    ],
    ids=["dead", "failing", "garbage", "stuck", "incomplete"],
)
def test_a_lost_batch_is_made_up_for_directly(handler, interim):
    """
    The other instance is dead, fails or stalls while it holds a batch. Its parts are sent directly,
    so that no caller's answer hangs on one instance.
    """
    ending, sent, totals = ask(handler, interim=interim)
    assert ending.answer.status == 200
    assert totals["handover.lost"] == 1
    assert sent["far-1"] == 1


def _shards(names):
    return {
        shard: {f"{name}{shard}": scripted.Scripted(handing.part(120)) for name in names}
        for shard in ("x", "y")
    }


@pytest.mark.parametrize(
    ("first", "interim", "replicas", "moved"),
    [
        (handing.silent, b"", 3, True),
        (failing, b"", 3, True),
        (refusing, handing.ALIVE, 3, True),
        (failing, handing.ALIVE, 2, True),
        (failing, handing.ALIVE, 3, True),
    ],
    ids=["dead", "failing", "refused", "begun, few replicas", "begun, many replicas"],
)
def test_where_instances_are_many_a_lost_batch_goes_to_the_other_owner(
    first, interim, replicas, moved, monkeypatch
):
    """
    An owner of forty shards does not answer. Sent directly, their parts all need new connections:
    a machine of half a core opened sixty at once, none in time, and the query failed. The shards'
    other owner has warm ones. It sends a part that the first may have sent to the same replica.
    """
    # All instances run in this process: stood it still for 100 ms in between, it took the other
    # owner for lost as well.
    monkeypatch.setattr(handover, "ALIVE_SLACK_MS", 500.0)

    async def main():
        names = ["far-", "further-", "other-"][:replicas]
        near, far = _shards(names), _shards(names)
        sender = handing.make_sender(near)
        sender.instances = lambda: 74
        async with handing.peer(first, interim, others=[handing.helper(far)]) as sender.handover:
            call = handing.query_call(shards=("x", "y"), min_coverage=1.0, deadline_ms=5000.0)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        directly = sum(len(each.requests) for shard in near.values() for each in shard.values())
        return ending.outcome, directly, "handover.moved" in sender.counters.totals

    outcome = "answered" if moved else "failed"
    assert asyncio.run(main()) == (outcome, 0, moved)


@pytest.mark.parametrize(
    ("known", "lost", "directly"),
    [((), 1, 2), (("y",), 0, 1), (("x", "y"), 0, 0)],
    ids=["none", "some", "all"],
)
def test_an_instance_that_does_not_know_the_replicas_yet(known, lost, directly):
    """
    All instances start after a power loss. One is asked for parts before it has read of their
    replicas; its "no replica" was taken for the last word, and the query failed although the
    instance that asked knows the replicas.
    """
    here, there = _shards(["far-1"]), _shards(["far-2"])
    knowing = {shard: there[shard] for shard in known}

    async def main():
        sender = handing.make_sender(here)
        async with handing.peer(handing.helper(knowing)) as sender.handover:
            call = handing.query_call(shards=("x", "y"), min_coverage=1.0)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        return ending.outcome, sender.counters.totals.get("handover.lost", 0)

    assert asyncio.run(main()) == ("answered", lost)
    assert sum(len(each.requests) for shard in here.values() for each in shard.values()) == directly


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
    The first owner is slow, not dead. It passes over the replica of its data centre, which was slow
    lately, and sends a part to two others. Taken for lost, the part goes to the second owner, which
    sends it to the first replica: a third one where two are allowed.
    """

    async def run(aside, again):
        reset = client.ExchangeError("reset")
        replicas = {name: scripted.Scripted(reset) for name in names}
        sender = handing.make_sender({"x": replicas})
        now_s = asyncio.get_running_loop().time()
        for replica in sender.replicas.of("x")[:aside]:
            replica.ejected_until_s = now_s + 60
        batch = attrs.evolve(handing.BATCH, request_id=request_id, shards=("x",), again=again)
        body = handover_codec.encode_batch(batch)
        request = messages.Request(b"POST", handover.PATH, (), body, now_s)
        answer = await helping.handler(sender)(request)
        chunks = [handover_codec.decode_answer(each, ("x",)) async for each in answer.chunks]
        assert chunks[0].failures["x"].may_have_run
        return [name for name, each in replicas.items() for _ in each.requests]

    async def main():
        return await run(aside=1, again=False), await run(aside=0, again=True)

    first, second = asyncio.run(main())
    assert len(second) == 1
    assert len({*first, *second}) <= handing.BATCH.max_attempts


@pytest.mark.parametrize("number", range(8))
@pytest.mark.parametrize("first", [[0.4, handing.part(1)], [client.ExchangeError("reset")]])
def test_a_late_part_goes_to_the_better_of_the_other_replicas(first, number):
    """
    Replicas of many shards turn slow, of some shards two of three. Half of all queries could reach
    just these two, lacked the shard, and were late for want of coverage.
    """
    replicas = {
        "far-1": scripted.Scripted(*first),
        f"further-{number}": scripted.Scripted(0.4, handing.part(2)),
        f"near-{number}": scripted.Scripted(handing.part(3)),
    }

    async def main():
        sender = handing.make_sender({"x": replicas})
        now_s = asyncio.get_running_loop().time()
        paces = (0.01, 9.0, 1.5)
        for replica, pace in zip(sender.replicas.of("x"), paces, strict=True):
            replica.relative_latency, replica.relative_latency_at_s = pace, now_s
        batch = attrs.evolve(handing.BATCH, shards=("x",), again=False)
        body = handover_codec.encode_batch(batch)
        request = messages.Request(b"POST", handover.PATH, (), body, now_s)
        answer = await helping.handler(sender)(request)
        async for _ in answer.chunks:
            pass
        await sender.tasks.close()
        return [len(each.requests) for each in replicas.values()]

    assert asyncio.run(main()) == [1, 0, 1]


def test_an_instance_that_lost_batches_gets_no_more_for_a_while():
    async def main():
        sender = handing.make_sender(handing.scripts())
        async with handing.peer(failing) as sender.handover:
            for _ in range(4):
                await answering.all_shards(sender, handing.query_call())
            await sender.tasks.close()
        return sender.counters.totals

    assert asyncio.run(main())["handover.sent"] == 2


def test_a_caller_that_leaves_stops_the_helping_instance():
    """
    The caller leaves while another instance works on its batch. The connection between them closes,
    and that instance closes its connections to the replicas.
    """
    elsewhere = handing.scripts()
    elsewhere["x"]["far-1"].script = [30.0]

    async def main():
        sender = handing.make_sender(handing.scripts())
        async with handing.peer(handing.helper(elsewhere)) as sender.handover:
            call = handing.query_call(min_coverage=1.0)
            task = asyncio.create_task(answering.all_shards(sender, call))
            while not elsewhere["x"]["far-1"].requests:
                await asyncio.sleep(0.005)
            task.cancel()
            call.abandon()
            await asyncio.gather(task, return_exceptions=True)
            async with asyncio.timeout(10):
                while not elsewhere["x"]["far-1"].cancelled:
                    await asyncio.sleep(0.005)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("handler", "first", "reached", "sent"),
    [
        (failing, [client.ExchangeError("reset")], 1, 1),
        (refusing, [client.ExchangeError("reset")], 2, 2 + obtaining.MOST_SAME_REPLICA_RETRIES),
    ],
    ids=["lost", "refused"],
)
def test_attempts_after_a_batch(handler, first, reached, sent):
    """
    A batch is lost after the other instance may have sent its parts. Sent directly as often as
    from the start, a part reaches more replicas than its route allows; a refused batch sent none.
    """

    async def main():
        replicas = {
            "x": {"far-1": scripted.Scripted(*first), "further-1": scripted.Scripted(*first)},
            "y": {"far-2": scripted.Scripted(handing.part(121))},
        }
        sender = handing.make_sender(replicas)
        async with handing.peer(handler) as sender.handover:
            await answering.all_shards(
                sender, handing.query_call(shards=("x", "y"), min_coverage=1.0)
            )
            await sender.tasks.close()
        return [len(script.requests) for script in replicas["x"].values()]

    requests = asyncio.run(main())
    assert sum(map(bool, requests)) == reached
    assert sum(requests) == sent


def test_what_was_handed_over_is_told_with_the_instance_that_has_it():
    """Missing parts that another instance had sent to replicas were told as not sent."""

    async def main():
        sender = handing.make_sender(handing.scripts())
        async with handing.peer(handing.silent) as sender.handover:
            call = handing.query_call(goal_ms=60.0, deadline_ms=90.0)
            ending = await answering.all_shards(sender, call)
            call.abandon()
            await sender.tasks.close()
        assert "x: not in time (handed to e-2" in ending.reason
        assert call.told("unknown", 0.0) == "not sent"

    asyncio.run(main())


def test_a_batch_that_may_be_old_is_refused():
    """
    An instance stands still with a batch in its socket, while the one that handed it over takes it
    for lost and sends the parts itself. Run as well, they reach a third replica.
    """

    async def main():
        elsewhere = handing.scripts()
        handle = helping.handler(handing.make_sender(elsewhere))
        body = handover_codec.encode_batch(handing.BATCH)
        request = messages.Request(b"POST", handover.PATH, (), body, 0.0, stalled_s=0.2)
        answer = await handle(request)
        assert answer.status == handover.REFUSED
        assert not any(each.requests for service in elsewhere.values() for each in service.values())

    asyncio.run(main())


@pytest.mark.parametrize(
    ("replicas", "sent", "outcome"), [(2, 1, "answered"), (3, 0, "failed")], ids=["few", "many"]
)
def test_a_batch_that_was_begun_and_lost(replicas, sent, outcome):
    """
    An instance has begun a batch, has perhaps sent a part to two replicas, and is killed. A direct
    send would reach a third one where two are allowed; with two replicas in all it can't.
    """

    async def dying(request):
        async def chunks():
            raise ConnectionError
            yield b""

        return messages.Answer(200, chunks=chunks())

    async def main():
        names = [f"far-{number}" for number in range(replicas)]
        scripts = _shards(names)
        sender = handing.make_sender(scripts)
        async with handing.peer(dying) as sender.handover:
            call = handing.query_call(shards=("x", "y"), min_coverage=1.0, deadline_ms=500.0)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        assert ending.outcome == outcome
        return sum(len(script.requests) for script in scripts["x"].values())

    assert asyncio.run(main()) == sent
