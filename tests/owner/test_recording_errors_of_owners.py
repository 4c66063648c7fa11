"""An error of an owner or a coordinator in recording an outcome, which is told all the same."""

from __future__ import annotations

import asyncio
import types

import pytest
import test_service_queue

from turmericlug.kernel import failures
from turmericlug.owner import hedging
from turmericlug.owner import part as part_module
from turmericlug.owner import policy
from turmericlug.owner import replica as replica_module
from turmericlug.owner import service_queue
from turmericlug.owner import suspects as suspects_module
from turmericlug.owner import target
from turmericlug.query import coordinator as coordinator_module
from turmericlug.query import fan_out
from turmericlug.query import outcome as outcome_module
from turmericlug.records import ledger
from turmericlug.telemetry import counters as counters_module


def fail(*args, **kwargs):
    raise RuntimeError("cannot be recorded")


def run_reporting(main):
    """Run a coroutine function; return its result and the failures that were reported."""
    reported = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: reported.append(failures.of_context(context)))
        return await main()

    return asyncio.run(run()), reported


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (counters_module.Counters, "time_ms"),
        (service_queue.ServiceQueue, "_update_replica"),
        (service_queue.ServiceQueue, "_record_stuck_attempts"),
        (replica_module.Replica, "record_success"),
        (replica_module.Replica, "record_failure"),
        (policy.HedgeDelay, "record_result"),
        (hedging.Hedging, "looks_stuck"),
        (suspects_module.Suspects, "record_outcome"),
    ],
)
@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        ([test_service_queue.ANSWER], part_module.ANSWERED),
        ([target.Unknown("bad_reply"), test_service_queue.ANSWER], part_module.ANSWERED),
        ([target.Unknown("bad_reply")], part_module.FAILED),
    ],
    ids=["answered", "retried", "failed"],
)
def test_part_is_replied(monkeypatch, owner, name, script, outcome):
    """Guards against parts that wait for their deadline after their target has answered."""
    monkeypatch.setattr(owner, name, fail)
    queue_of = []

    async def main():
        targets = test_service_queue.Targets({"a": script})
        queue = test_service_queue.make_queue(targets)
        queue_of.append(queue)
        replies = []
        for number in range(3):
            test_service_queue.submit(queue, replies, number=number)
        await test_service_queue.wait_for_replies(replies, 3)
        await queue._tasks.finish()
        assert queue.in_flight() == 0
        return [reply.outcome for reply in replies]

    replies, reported = run_reporting(main)
    assert replies[-1] == outcome
    assert {failure.event for failure in reported} <= {failures.RECORDING_FAILED}


def test_query_has_its_outcome_though_it_is_not_recorded():
    """Guards against status 500 for a query that was answered."""
    answer = outcome_module.Answer("s1", outcome_module.Coverage(1, 1, ()), [("s", b"{}")], 1, "")

    async def main():
        coordinator = coordinator_module.Coordinator.__new__(coordinator_module.Coordinator)
        coordinator._config = types.SimpleNamespace(rules=types.SimpleNamespace(revision=1))
        coordinator._query_revisions, coordinator._query_ended = {}, asyncio.Event()
        coordinator._counters = types.SimpleNamespace(add=fail, time_ms=fail)

        async def process(query, query_id, started_at_s):
            return answer

        coordinator._process = process
        outcome = await coordinator.run(None, "q1")
        assert not coordinator._query_revisions
        return outcome

    outcome, reported = run_reporting(main)
    assert outcome is answer
    assert [failure.name for failure in reported] == ["result"]


def test_answer_whose_record_cannot_be_written_is_told():
    """Guards against a caller that isn't told that its request, which may run once, has run."""
    answer = outcome_module.Answer("s1", outcome_module.Coverage(1, 1, ()), [("s", b"\xff")], 1, "")

    async def main():
        coordinator = coordinator_module.Coordinator.__new__(coordinator_module.Coordinator)
        coordinator._config = types.SimpleNamespace(rules=types.SimpleNamespace(revision=1))

        async def ask(operation, timeout_s):
            return types.SimpleNamespace(status=ledger.GRANTED)

        async def run_parts(*args):
            return answer

        coordinator._records = types.SimpleNamespace(ask=ask)
        coordinator._run_parts = run_parts
        query = types.SimpleNamespace(
            idempotency_key="1-a", service="s", body=b"{}", key_created_at_s=1
        )
        treatment = types.SimpleNamespace(rule="")
        return await coordinator._run_at_most_once(query, treatment, "q1", 1e12)

    outcome, reported = run_reporting(main)
    assert outcome is answer
    assert [failure.name for failure in reported] == ["record of a key"]


def test_reply_counts_though_its_wait_is_not_recorded():
    async def main():
        parts = fan_out.FanOut.__new__(fan_out.FanOut)
        parts._on_wait_predicted = fail
        parts._parts = [fan_out._PartState("s", "s")]
        parts._open_numbers, parts._answered_count = {0}, 0
        parts._plan = types.SimpleNamespace(snapshot=types.SimpleNamespace(name="s1"))
        parts._changed = asyncio.Event()
        parts._on_replies([part_module.PartReply(0, part_module.ANSWERED, "", "s1", 0, b"{}")])
        return parts.results()

    results, reported = run_reporting(main)
    assert results == [("s", b"{}")]
    assert [failure.name for failure in reported] == ["wait"]
