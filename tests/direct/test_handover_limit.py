"""Limit on the replicas that a part reaches when it is handed over, taken back or tried before."""

from __future__ import annotations

import asyncio
import itertools
import pathlib

import attrs
import capnp
import handover_helpers
import pytest
import scripted

from turmericlug.direct import answering
from turmericlug.direct import handover
from turmericlug.direct import handover_codec
from turmericlug.entry import batches
from turmericlug.http1 import client
from turmericlug.http1 import messages

MAX_ATTEMPTS = 2


def _prefer(sender, names):
    """Make a sender prefer replicas in the given order."""
    now_s = asyncio.get_running_loop().time()
    for rank, name in enumerate(names):
        replica = sender.replicas.find(name)
        replica.relative_latency, replica.relative_latency_at_s = 0.1 * 3**rank, now_s


def _shards(names, replicas):
    return {"x": {name: replicas[name] for name in names}, "y": {f"{names[0]}y": replicas["y"]}}


async def _reached(own, peer, learned, request_id, deadline_ms=600.0):
    """
    Hand over a part to a peer that is taken for lost and goes on sending; no replica answers.

    :param own: the replicas that the instance knows, the preferred ones first
    :param peer: those that the peer knows
    :param learned: those that the peer gets to know once it has sent the part, preferred to others
    :returns: the replicas that the part has reached, by way of the instance or the peer
    """
    replicas = {name: scripted.ScriptedReplica(30.0) for name in (*own, *peer, *learned, "y")}
    sender = handover_helpers.make_sender(_shards(own, replicas))
    peer_sender = handover_helpers.make_sender(
        _shards([*peer, *(name for name in learned if name not in peer)], replicas)
    )
    for name in learned:
        peer_sender.replicas.remove(name)
    _prefer(sender, own)
    _prefer(peer_sender, peer)
    handle = batches.handler(peer_sender)
    tasks = []

    async def run(request):
        answer = await handle(request)
        async for _ in answer.chunks:
            pass

    async def learn():
        while not any(replicas[name].requests for name in (*own, *peer)):
            await asyncio.sleep(0.002)
        for name in learned:
            peer_sender.replicas.put(scripted.entry(name, "x", data_centre="far"))
        _prefer(peer_sender, [*learned, *(name for name in peer if name not in learned)])

    async def detached(request):
        # A peer that is stalled notices late that the connection was closed.
        tasks.extend(map(asyncio.create_task, (run(request), learn())))
        await asyncio.sleep(30)

    async with handover_helpers.peer(detached, interim=b"") as sender.handover:
        call = handover_helpers.query_call(
            shards=("x", "y"),
            min_coverage=1.0,
            deadline_ms=deadline_ms,
            max_attempts=MAX_ATTEMPTS,
        )
        call.request_id = request_id
        await answering.query_shards(sender, call)
        await asyncio.gather(*tasks)
        call.abandon()
        await sender.tasks.close()
        await peer_sender.tasks.close()
    assert sender.counters.totals["handover.lost"] == 1
    return {name for name, replica in replicas.items() if replica.requests and name != "y"}


@pytest.mark.parametrize(
    ("own", "peer", "learned"),
    [
        (["far-2", "far-1"], ["far-1", "far-2"], ["far-3"]),
        (["far-2", "far-1"], ["far-1", "far-3"], []),
        (["far-2", "far-1"], ["far-3", "far-4"], []),
        (["far-1", "far-2", "far-3"], ["far-2", "far-3"], []),
        (["far-1", "far-2", "far-3"], ["far-2", "far-3", "far-4"], []),
        (["far-1", "far-2", "far-3"], ["far-2", "far-3"], ["far-1"]),
        (["far-1"], ["far-2", "far-3"], []),
    ],
    ids=[
        "a third one returns",
        "one in common",
        "none in common",
        "fewer known",
        "one other known",
        "one returns to the peer",
        "one known",
    ],
)
@pytest.mark.parametrize("request_id", [b"q1", b"q2", b"q3"])
def test_views_that_differ_while_a_part_is_handed_over(own, peer, learned, request_id):
    """
    Guards against more attempts than the route allows where an instance takes a peer for lost while
    that sends on, and the two know different replicas of the shard.
    """
    assert len(asyncio.run(_reached(own, peer, learned, request_id))) <= MAX_ATTEMPTS


@pytest.mark.parametrize(
    ("max_attempts", "names", "reached"),
    [(2, ["far-1", "far-2", "far-3"], 1), (3, ["far-1", "far-2", "far-3"], 2), (1, ["far-1"], 1)],
)
def test_a_batch_of_an_earlier_build(max_attempts, names, reached):
    """
    Guards against too many attempts while instances are upgraded: an earlier build does not name
    the replica to which it sends a lost part again, so one is left for it.
    """

    async def main():
        reset = client.ExchangeError("reset")
        replicas = {name: scripted.ScriptedReplica(reset) for name in names}
        sender = handover_helpers.make_sender({"x": replicas})
        batch = attrs.evolve(
            handover_helpers.BATCH,
            shards=("x",),
            max_attempts=max_attempts,
            maybe_sent_before=False,
        )
        answer = await batches.handler(sender)(_request(batch))
        async for _ in answer.chunks:
            pass
        repeated = await batches.handler(sender)(
            _request(attrs.evolve(batch, maybe_sent_before=True))
        )
        assert repeated.status == handover.REFUSED_STATUS
        return sum(bool(replica.requests) for replica in replicas.values())

    assert asyncio.run(main()) == reached


def _read_message(content):
    schema = capnp.load(str(pathlib.Path(handover_codec.__file__).with_name("handover.capnp")))
    return schema.Batch.from_bytes_packed(content)


def _request(batch):
    now_s = asyncio.get_running_loop().time()
    return messages.Request(b"POST", handover.PATH, (), handover_codec.encode_batch(batch), now_s)


@pytest.mark.parametrize(
    ("max_attempts", "maybe_sent_before", "read"),
    [(1, False, 1), (2, False, 1), (3, False, 2), (3, True, 1), (1000, False, 255)],
)
def test_a_batch_leaves_an_attempt_if_an_earlier_build_reads_it(
    max_attempts, maybe_sent_before, read
):
    """
    Guards against too many attempts while instances are upgraded: an earlier build does not read
    the shared replicas, so the limit that it reads leaves one for the instance that hands over.
    """
    batch = attrs.evolve(
        handover_helpers.BATCH,
        max_attempts=max_attempts,
        maybe_sent_before=maybe_sent_before,
        shared=(frozenset({7, 3}), frozenset()),
    )
    content = handover_codec.encode_batch(batch)
    assert _read_message(content).maxAttempts == read
    decoded = handover_codec.decode_batch(content)
    assert decoded == attrs.evolve(batch, max_attempts=min(max_attempts, 255))


def test_a_batch_with_another_number_of_shared_replicas_is_rejected():
    """Guards against shared replicas that are taken for those of another shard."""
    batch = attrs.evolve(handover_helpers.BATCH, shared=(frozenset({1}), frozenset(), frozenset()))
    with pytest.raises(handover_codec.MessageError):
        handover_codec.decode_batch(handover_codec.encode_batch(batch))


def _as_read_by_an_earlier_build(content, sender):
    """Return a batch as an earlier build takes it: it shares replicas in its own view."""
    limit = _read_message(content).maxAttempts
    batch = attrs.evolve(handover_codec.decode_batch(content), max_attempts=limit)
    return handover_codec.encode_batch(handover_helpers.state_shared(batch, sender))


async def _reached_by_way_of_two(own, peers, earlier_builds, request_id, max_attempts):
    """
    Hand over a part to two owners one after the other, which go on sending, then send it directly.

    :param peers: the replicas that each owner knows, the preferred ones first
    :param earlier_builds: whether each of the owners is of an earlier build
    :returns: the replicas that the part has reached, and how many batches were sent
    """
    replicas = {name: scripted.ScriptedReplica(30.0) for name in {*own, *peers[0], *peers[1], "y"}}
    sender = handover_helpers.make_sender(_shards(own, replicas))
    sender.instance_count = lambda: 74
    _prefer(sender, own)
    tasks = []

    def make_handler(names, reads_as_earlier_build):
        peer_sender = handover_helpers.make_sender(_shards(names, replicas))
        _prefer(peer_sender, names)
        handle = batches.handler(peer_sender)

        async def run(request):
            if reads_as_earlier_build:
                content = _as_read_by_an_earlier_build(request.body, peer_sender)
                request = attrs.evolve(request, body=content)
            answer = await handle(request)
            async for _ in answer.chunks or ():
                pass
            await peer_sender.tasks.close()

        async def handler(request):
            tasks.append(asyncio.create_task(run(request)))
            return messages.Response(500)

        return handler

    first, second = map(make_handler, peers, earlier_builds)
    async with handover_helpers.peer(first, others=[second]) as sender.handover:
        call = handover_helpers.query_call(
            shards=("x",), min_coverage=1.0, deadline_ms=400.0, max_attempts=max_attempts
        )
        call.request_id = request_id
        await answering.query_shards(sender, call)
        await asyncio.gather(*tasks)
        call.abandon()
        await sender.tasks.close()
    reached = {name for name, replica in replicas.items() if replica.requests and name != "y"}
    return reached, len(tasks)


@pytest.mark.parametrize(
    ("own", "peers"),
    [
        (["far-2", "far-1"], (["far-1", "far-2"], ["far-3", "far-1"])),
        (["far-1", "far-2", "far-3"], (["far-2", "far-3"], ["far-3", "far-4"])),
        (["far-4", "far-1"], (["far-1", "far-2", "far-3"], ["far-2", "far-3"])),
        (["far-1"], (["far-2", "far-3"], ["far-4", "far-5"])),
        (["far-4", "far-1"], (["far-2", "far-3"], ["far-1"])),
    ],
)
@pytest.mark.parametrize("earlier_builds", list(itertools.product([False, True], repeat=2)))
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_a_part_that_moves_to_the_other_owner_and_back(
    own, peers, earlier_builds, max_attempts, monkeypatch
):
    """
    Guards against more attempts than the route allows where both owners of a shard are taken for
    lost, go on sending, know other replicas, and may be of an earlier build.
    """
    # All instances run in this process; if it stalls, a batch would count as lost unsent.
    monkeypatch.setattr(handover, "INTERIM_TIMEOUT_SLACK_MS", 5000.0)
    for request_id in (b"q1", b"q2"):
        reached, sent_batches = asyncio.run(
            _reached_by_way_of_two(own, peers, earlier_builds, request_id, max_attempts)
        )
        assert sent_batches == 2
        assert 1 <= len(reached) <= max_attempts
