"""Targets whose replies have no end, and what they take of memory and time."""

from __future__ import annotations

import asyncio
import gc

import faulty_targets
import pytest
from aiohttp import client_proto
from aiohttp import streams

from turmericlug.owner import reply_budget
from turmericlug.owner import target
from turmericlug.telemetry import counters as counters_module


async def run_parts(kind, count, share=None, size_bytes=2, together=False, remaining_s=5.0):
    """Run parts at a target that replies in a kind; return the outcomes and the counters."""
    raw_target = faulty_targets.RawTarget(kind, size_bytes)
    counters = counters_module.Counters()
    async with (
        faulty_targets.listening(raw_target) as port,
        target.connected(64, counters, share) as client,
    ):

        async def run(number):
            address = f"http://127.0.0.1:{port}"
            return await client.run(address, f"a{number}", "s1", "0", b"{}", remaining_s)

        if together:
            outcomes = await asyncio.gather(*(run(number) for number in range(count)))
        else:
            outcomes = [await run(number) for number in range(count)]
    return outcomes, counters.totals


ENDLESS = {
    "body without end": target.Unknown("bad_reply"),
    "chunks of one byte": target.Unknown("bad_reply"),
    "header lines": target.CONNECTION_LOST,
    "one header line": target.CONNECTION_LOST,
    "replies after a whole one": target.Answered("s1", b'""'),
    "interim replies": target.CONNECTION_LOST,
    "no HTTP": target.CONNECTION_LOST,
    "empty lines": target.CONNECTION_LOST,
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_reply_without_end_is_cut_off(kind):
    """Guards against a target that keeps the event loop busy until the deadline of its part."""
    outcomes, _ = asyncio.run(run_parts(kind, 1, remaining_s=120.0))
    assert outcomes == [ENDLESS[kind]]


@pytest.mark.parametrize("kind", ENDLESS)
def test_nothing_stays_of_a_reply_without_end(kind):
    """
    What a failed reply leaves behind stayed until the next full garbage collection, which is rare:
    replies that nobody had asked for, and received bytes in the frames of errors.
    """
    gc.collect()
    gc.disable()
    try:
        asyncio.run(run_parts(kind, 8))
        left = sum(
            isinstance(each, streams.StreamReader | client_proto.ResponseHandler)
            for each in gc.get_objects()
        )
    finally:
        gc.enable()
    # The last connection may still be closing.
    assert left <= 2


def test_replies_share_the_memory():
    """Guards against a sum of replies that exceeds the memory, as each is below its own limit."""
    budget = reply_budget.ReplyBudget(2 * target.MAX_REPLY_BYTES)
    kind = "body with length, then silent"
    outcomes, totals = asyncio.run(
        run_parts(kind, 4, budget.share("a"), together=True, remaining_s=3.0)
    )
    # Half of the budget is the service's share, one reply of the largest size.
    assert outcomes.count(target.Unknown(target.NO_MEMORY)) >= 3
    assert totals["owner.reply_not_read.memory"] == outcomes.count(target.Unknown("memory"))
    assert budget.held_bytes == 0


def test_a_share_is_left_for_other_services():
    """Guards against a service whose replies take all the memory for replies."""
    budget = reply_budget.ReplyBudget(1000)
    assert not budget.share("a").reserve_read(501)
    assert budget.share("a").reserve_read(300)
    assert not budget.share("a").reserve_answer(201)
    assert budget.share("a").reserve_answer(200)
    assert budget.share("b").reserve_answer(500)
    assert not budget.share("c").reserve_read(1)
    budget.share("b").release_answer(500)
    assert budget.share("c").reserve_read(1)


def test_attempts_wait_for_room_for_replies_of_the_usual_size():
    """Guards against replies that are cut off although it is known how large they will be."""
    share = reply_budget.ReplyBudget(100).share("a")
    assert share.may_receive(1000)
    for _ in range(100):
        share.record_size(20)
    assert [share.may_receive(in_flight) for in_flight in range(4)] == [True, True, False, False]
    assert share.reserve_answer(35)
    assert not share.may_receive(0)
