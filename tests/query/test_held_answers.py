"""What remains of a query after it, where garbage collections are rare."""

from __future__ import annotations

import asyncio
import gc
import time
import types
import weakref

import pytest

from turmericlug.catalog import catalog
from turmericlug.owner import part as part_module
from turmericlug.owner import reply_budget
from turmericlug.owner import submission
from turmericlug.query import fan_out as fan_out_module
from turmericlug.telemetry import counters as counters_module

SNAPSHOT = "s1"


@pytest.fixture
def no_collections():
    """Keep the garbage collector from running."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class Owner:
    """An owner that answers parts at once, and keeps the function for their replies as long."""

    def __init__(self, body, answered):
        self.body = body
        self.answered = answered

    def ranking(self, service):
        """Return this instance as the only owner."""
        return [types.SimpleNamespace(instance="e1")]

    def submit(self, parts_request, on_replies):
        """Answer some of the parts."""
        pending = submission.PendingParts(parts_request, time.monotonic(), on_replies)
        replies = [
            part_module.PartReply(number, part_module.ANSWERED, snapshot=SNAPSHOT, body=self.body)
            for number, _, _ in parts_request.parts[: self.answered]
        ]
        asyncio.get_running_loop().call_soon(on_replies, replies)
        return pending.cancel


def make_fan_out(owner, budget, parts=2):
    parameters = submission.QueryParameters("q", "c", 5, True, True, 1, b"{}")
    plan = fan_out_module.Plan(
        parameters,
        catalog.Snapshot(SNAPSHOT, {}),
        tuple((f"service-{number}", "s") for number in range(parts)),
        0.0,
        time.monotonic() + 0.05,
        reply_budget.Held(budget),
    )
    mesh = types.SimpleNamespace(
        members=types.SimpleNamespace(own=types.SimpleNamespace(instance="e1"))
    )
    counters = counters_module.Counters()
    return fan_out_module.FanOut(plan, owner, mesh, counters, lambda service, wait_ms: None)


@pytest.mark.parametrize("answered", [0, 1, 2])
def test_answers_go_with_their_query(no_collections, answered):
    """Answers that stayed until the next full collection took some hundred MB, query by query."""

    async def main():
        fan_out = make_fan_out(Owner(b"1", answered), reply_budget.of_memory(16))
        fan_out.start()
        await fan_out.wait(time.monotonic() + 0.05)
        fan_out.stop()
        assert len(fan_out.results()) == answered
        return weakref.ref(fan_out)

    assert asyncio.run(main())() is None


def test_answers_that_exceed_the_memory_are_missing():
    """Guards against a sum of answers, over parts and queries, that exceeds the memory."""
    budget = reply_budget.ReplyBudget(100)

    async def main():
        fan_out = make_fan_out(Owner(b"1" * 40, 3), budget, parts=3)
        fan_out.start()
        await fan_out.wait(time.monotonic() + 0.05)
        fan_out.stop()
        return fan_out

    fan_out = asyncio.run(main())
    assert [missing.reason for missing in fan_out.coverage().missing] == [fan_out_module.NO_MEMORY]
    assert budget.held_bytes == 80


def test_a_query_holds_its_answers_until_its_end():
    """Guards against memory that is counted for good, and refuses all later queries."""
    budget = reply_budget.ReplyBudget(100)
    with reply_budget.held(budget) as held:
        assert held.reserve("a", 40)
        assert not held.reserve("a", 40)
        assert held.reserve("b", 40)
        assert budget.held_bytes == 80
    assert budget.held_bytes == 0
    # A request that runs at most once goes on when its caller has left.
    assert held.reserve("a", 40)
    assert budget.held_bytes == 0
