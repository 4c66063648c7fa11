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


def make_fan_out(owner, parts=2):
    parameters = submission.QueryParameters("q", "c", 5, True, True, 1, b"{}")
    plan = fan_out_module.Plan(
        parameters,
        catalog.Snapshot(SNAPSHOT, {}),
        tuple((f"service-{number}", "s") for number in range(parts)),
        0.0,
        time.monotonic() + 0.05,
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
        fan_out = make_fan_out(Owner(b"1", answered))
        fan_out.start()
        await fan_out.wait(time.monotonic() + 0.05)
        fan_out.stop()
        assert len(fan_out.results()) == answered
        return weakref.ref(fan_out)

    assert asyncio.run(main())() is None
