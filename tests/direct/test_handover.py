"""Batches handed to other instances: planned, answered, lost."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest
import scripted

from turmericlug.direct import answering
from turmericlug.direct import budget
from turmericlug.direct import handover
from turmericlug.direct import handover_codec
from turmericlug.direct import peers as peers_module
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import helping
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import server

REGIONS = {"near": "here", "far": "there", "further": "elsewhere"}
PLACE = placement.Place("e-1", "near", REGIONS)
BATCH = handover_codec.Batch(
    request_id=b"q1",
    method=b"GET",
    target=b"/a?b",
    headers=[(b"host", b"h")],
    body=b"x",
    route="r",
    goal_ms=100.0,
    priority=1,
    max_attempts=2,
    top_records=3,
    shards=("x", "y"),
    answer_in_ms=50.0,
    time_left_ms=500.0,
    again=True,
)
ANSWER = handover_codec.Answer(
    records=b"r" * 16,
    signatures={"x": b"sig"},
    failures={"y": handover_codec.Failure("shed", False)},
    spent_ms=12.0,
    first=False,
)


def part(number):
    return scripted.response(body=number.to_bytes(16, "big"), signed=b"sig%d" % number)


def test_messages_survive_the_wire():
    assert handover_codec.decode_batch(handover_codec.encode_batch(BATCH)) == BATCH
    content = handover_codec.encode_answer(ANSWER, BATCH.shards)
    assert handover_codec.decode_answer(content, BATCH.shards) == ANSWER


@pytest.mark.parametrize("content", [b"\x00", b"garbage" * 9, b"\xff" * 300])
def test_damaged_messages_are_told(content):
    with pytest.raises(handover_codec.MessageError):
        handover_codec.decode_batch(content)


def test_an_answer_with_unknown_shards_is_refused():
    content = handover_codec.encode_answer(ANSWER, BATCH.shards)
    with pytest.raises(handover_codec.MessageError):
        handover_codec.decode_answer(content, ("x",))


class NoPool:
    waiting = 0


ALIVE = b"HTTP/1.1 102 Processing\r\n\r\n"


@contextlib.asynccontextmanager
async def peer(handler, interim=ALIVE, others=()):
    """
    Run other instances of the data centre ``far``; yields the handover towards them.

    :param others: handlers of further instances, which give a sign of life
    """
    loop = asyncio.get_running_loop()

    def make_pool(entry):
        return pool_module.Pool(
            lambda: client.connect(entry.host, entry.port), lambda: 3, loop.time
        )

    peers = replicas_module.Replicas(make_pool, PLACE, budget.Allowance())
    async with contextlib.AsyncExitStack() as stack:
        kinds = [(handler, interim), *((other, ALIVE) for other in others)]
        for number, (each, sign) in enumerate(kinds, 2):
            entrance = server.Server(each, messages.Limits, 10, interim=sign)
            listener = await server.listen(entrance, "127.0.0.1", 0)
            stack.callback(entrance.close)
            stack.callback(listener.close)
            host, port = listener.sockets[0].getsockname()
            peers.put(routes.ReplicaEntry(f"e-{number}", "far", host, port, "far", 1, False, 0))
        yield handover.Handover(peers_module.Peers(peers, PLACE))


def make_sender(scripts):
    """Make a sender whose replicas are in the data centres that their names begin with."""
    sender = scripted.make_sender(scripts)
    fresh = replicas_module.Replicas(
        sender.replicas._make_pool, PLACE, budget.Allowance(0.2, 100.0, 10.0)
    )
    for service, replicas in scripts.items():
        for name in replicas:
            fresh.put(scripted.entry(name, service, data_centre=name.partition("-")[0]))
    sender.replicas = fresh
    return sender


FAR = {"x": ["far-1"], "y": ["far-2", "further-2"], "z": ["near-3", "far-3"]}


def scripts(number_of=None):
    return {
        service: {name: scripted.Scripted(part(ord(service))) for name in names}
        for service, names in FAR.items()
    }


def query_call(**changes):
    values = {"shards": ("x", "y", "z"), "top_records": 2, "min_coverage": 0.3, "services": ()}
    return scripted.make_call(**(values | changes))


def ask(handler, min_coverage=1.0, **options):
    """Answer a query at an instance that has a peer; returns the ending and the near replicas."""

    async def main():
        replicas = scripts()
        sender = make_sender(replicas)
        async with peer(handler, **options) as sender.handover:
            call = query_call(min_coverage=min_coverage)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        sent = {
            name: len(script.requests)
            for each in replicas.values()
            for name, script in each.items()
        }
        return ending, sent, sender.counters.totals

    return asyncio.run(main())


def helper(replicas):
    """Return the handler of another instance with its own way to the replicas."""
    holder = {}

    async def handle(request):
        if "handler" not in holder:
            holder["handler"] = helping.handler(make_sender(replicas))
        return await holder["handler"](request)

    return handle


def test_far_parts_come_back_merged():
    """The caller's answer is the same as with direct sends; no far replica was asked from here."""
    elsewhere = scripts()
    ending, sent, _ = ask(helper(elsewhere))
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
    elsewhere = scripts()
    elsewhere["x"]["far-1"].script = [0.25, part(120)]

    async def main():
        sender = make_sender(scripts())
        async with peer(helper(elsewhere)) as sender.handover:
            call = query_call(min_coverage=1.0)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        return ending, sender.counters.totals

    ending, totals = asyncio.run(main())
    assert ending.outcome == "answered"
    assert totals["handover.lost"] == 0


async def silent(request):
    await asyncio.sleep(30)


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
        (silent, b""),
        (failing, ALIVE),
        (garbage, ALIVE),
        (silent, ALIVE),
        (incomplete, ALIVE),
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
        shard: {f"{name}{shard}": scripted.Scripted(part(120)) for name in names}
        for shard in ("x", "y")
    }


@pytest.mark.parametrize(
    ("first", "interim", "replicas", "moved"),
    [
        (silent, b"", 3, True),
        (failing, b"", 3, True),
        (refusing, ALIVE, 3, True),
        (failing, ALIVE, 2, True),
        (failing, ALIVE, 3, False),
    ],
    ids=["dead", "failing", "refused", "begun, few replicas", "begun, many replicas"],
)
def test_where_instances_are_many_a_lost_batch_goes_to_the_other_owner(
    first, interim, replicas, moved
):
    """
    An owner of forty shards does not answer. Sent directly, their parts all need new connections:
    a machine of half a core opened sixty at once, none in time, and the query failed. The shards'
    other owner has warm ones. Of a begun batch a part could reach a third replica of a shard.
    """

    async def main():
        names = [f"far-{number}" for number in range(replicas)]
        near, far = _shards(names), _shards(names)
        sender = make_sender(near)
        sender.instances = lambda: 74
        async with peer(first, interim, others=[helper(far)]) as sender.handover:
            call = query_call(shards=("x", "y"), min_coverage=1.0, deadline_ms=600.0)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        directly = sum(len(each.requests) for shard in near.values() for each in shard.values())
        return ending.outcome, directly, "handover.moved" in sender.counters.totals

    outcome = "answered" if moved else "failed"
    assert asyncio.run(main()) == (outcome, 0, moved)


def test_a_batch_that_was_lost_before_leaves_its_parts_one_send():
    """
    The first owner may have sent a part before it was taken for dead. The second one sends it once
    and, when that fails, no more: a third replica where two are allowed.
    """

    async def main():
        reset = client.ExchangeError("reset")
        replicas = {name: scripted.Scripted(reset) for name in ("far-1", "far-2", "far-3")}
        handle = helping.handler(make_sender({"x": replicas}))
        batch = attrs.evolve(BATCH, shards=("x",), again=True)
        body = handover_codec.encode_batch(batch)
        now_s = asyncio.get_running_loop().time()
        answer = await handle(messages.Request(b"POST", handover.PATH, (), body, now_s))
        chunks = [handover_codec.decode_answer(each, ("x",)) async for each in answer.chunks]
        assert chunks[0].failures["x"].may_have_run
        return sum(len(each.requests) for each in replicas.values())

    assert asyncio.run(main()) == 1


def test_an_instance_that_lost_batches_gets_no_more_for_a_while():
    async def main():
        sender = make_sender(scripts())
        async with peer(failing) as sender.handover:
            for _ in range(4):
                await answering.all_shards(sender, query_call())
            await sender.tasks.close()
        return sender.counters.totals

    assert asyncio.run(main())["handover.sent"] == 2


@pytest.mark.parametrize(
    ("names", "batches"),
    [
        (FAR, [("x", "y")]),
        ({"x": ["near-1", "far-1"], "y": ["near-2"], "z": ["near-3"]}, []),
        ({"x": ["far-1"], "y": ["near-2"], "z": ["near-3"]}, []),
        ({"x": ["further-1"], "y": ["further-2"], "z": ["further-3"]}, []),
        ({"x": [], "y": ["far-2"], "z": ["far-3"]}, [("y", "z")]),
    ],
    ids=["far ones", "all near", "one alone", "nobody there", "no replica"],
)
def test_plan(names, batches):
    async def main():
        sender = make_sender(
            {service: {name: scripted.Scripted(part(1)) for name in each}
             for service, each in names.items()}
        )  # fmt: skip
        async with peer(silent) as handing:
            now_s = asyncio.get_running_loop().time()
            found = handing.plan(sender, query_call(), now_s)
            assert [handed.shards for handed in found] == batches

    asyncio.run(main())


def test_a_caller_that_leaves_stops_the_helping_instance():
    """
    The caller leaves while another instance works on its batch. The connection between them closes,
    and that instance closes its connections to the replicas.
    """
    elsewhere = scripts()
    elsewhere["x"]["far-1"].script = [30.0]

    async def main():
        sender = make_sender(scripts())
        async with peer(helper(elsewhere)) as sender.handover:
            call = query_call(min_coverage=1.0)
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


def test_connections_are_opened_ahead():
    async def main():
        async with peer(silent) as handing:
            await handing.peers.warm(shared=False)
            (usual,) = handing.peers.usual_peers(shared=False)
            assert usual.pool.open_count == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ("instances", "shared", "least", "most"),
    [(4, False, 4, 4), (30, False, 4, 4), (24, True, 8, 8), (3, True, 3, 3)],
)
def test_the_usual_peers_are_few(instances, shared, least, most):
    peers = replicas_module.Replicas(lambda entry: None, PLACE, budget.Allowance())
    for number in range(instances):
        peers.put(routes.ReplicaEntry(f"e{number}", "far", "h", 1, "far", 1, False, 0))
    usual = peers_module.Peers(peers, PLACE).usual_peers(shared)
    assert least <= len(usual) <= most


def test_where_instances_are_many_a_shard_is_sent_to_by_its_owners():
    """
    Seventy-four instances ask 135 shards. If each sends to each replica, replicas run out of
    connections and each send opens a new one; so all of them hand a shard's part to the same two.
    """
    shards = [f"s{number}" for number in range(40)]

    async def main():
        scripts = {shard: {f"far-{shard}": scripted.Scripted(part(1))} for shard in shards}
        sender = make_sender(scripts)
        sender.instances = lambda: 74
        peers = replicas_module.Replicas(lambda entry: NoPool(), PLACE, budget.Allowance())
        for number in range(12):
            peers.put(routes.ReplicaEntry(f"e{number}", "far", "h", 1, "far", 1, False, 0))
        handing = handover.Handover(peers_module.Peers(peers, PLACE))
        call = query_call(shards=tuple(shards))
        batches = handing.plan(sender, call, asyncio.get_running_loop().time())
        assert sorted(shard for each in batches for shard in each.shards) == sorted(shards)
        for each in batches:
            for shard in each.shards:
                assert each.peer.entry.instance in handing.peers.owners("far", shard)
        assert 2 <= len(batches) <= 4

    asyncio.run(main())


@pytest.mark.parametrize(
    ("handler", "first", "sent"),
    [(failing, [client.ExchangeError("reset")], 1), (refusing, [client.ExchangeError("reset")], 2)],
    ids=["lost", "refused"],
)
def test_attempts_after_a_batch(handler, first, sent):
    """
    A batch is lost after the other instance may have sent its parts. Sent directly as often as
    from the start, a part reaches more replicas than its route allows; a refused batch sent none.
    """

    async def main():
        replicas = {
            "x": {"far-1": scripted.Scripted(*first), "further-1": scripted.Scripted(*first)},
            "y": {"far-2": scripted.Scripted(part(121))},
        }
        sender = make_sender(replicas)
        async with peer(handler) as sender.handover:
            await answering.all_shards(sender, query_call(shards=("x", "y"), min_coverage=1.0))
            await sender.tasks.close()
        return sum(len(script.requests) for script in replicas["x"].values())

    assert asyncio.run(main()) == sent


def test_a_batch_that_may_be_old_is_refused():
    """
    An instance stands still with a batch in its socket, while the one that handed it over takes it
    for lost and sends the parts itself. Run as well, they reach a third replica.
    """

    async def main():
        elsewhere = scripts()
        handle = helping.handler(make_sender(elsewhere))
        body = handover_codec.encode_batch(BATCH)
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
        sender = make_sender(scripts)
        async with peer(dying) as sender.handover:
            call = query_call(shards=("x", "y"), min_coverage=1.0, deadline_ms=500.0)
            ending = await answering.all_shards(sender, call)
            await sender.tasks.close()
        assert ending.outcome == outcome
        return sum(len(script.requests) for script in scripts["x"].values())

    assert asyncio.run(main()) == sent
