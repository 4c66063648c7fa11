"""Each caller gets the answer to its own query, even when targets or owners fail while replying."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest


@pytest.mark.parametrize(
    "fault", ["crossed", "duplicated", "truncated", "garbage", "wrong_snapshot", "die"]
)
def test_replies_go_wrong(run_scenario, fault):
    """
    Targets send replies to earlier requests, truncated or invalid replies, or die while they reply.
    No caller may get data of another query, nor a broken answer that passes for a complete one.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, reply_fault=fault, fault_share=0.3)
        answers = []
        async with conftest.traffic(fleet, answers, clients=8, deadline_ms=500):
            await asyncio.sleep(1.5)
        conftest.check_answers(fleet, answers)
        outcomes = {answer["outcome"] for _, _, answer in answers}
        assert outcomes & {"complete", "partial"}
        for name in fleet.targets:
            await fleet.control(name, reply_fault="")

        async def answer_is_complete():
            _, answer = await fleet.query("e1", service="devis", body={"mark": "after"})
            return answer["outcome"] == "complete"

        await conftest.eventually(answer_is_complete)

    run_scenario(scenario)


def test_late_reply_after_timeout(run_scenario):
    """
    A target replies only after the caller's deadline, and its connection is reused for the next
    caller. The late reply to the first must not become the answer to the second.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, service_ms=80.0, spread=0.3)
        answers = []
        async with conftest.traffic(fleet, answers, clients=6, deadline_ms=90):
            await asyncio.sleep(2)
        conftest.check_answers(fleet, answers)
        assert any(answer["outcome"] != "complete" for _, _, answer in answers)

    run_scenario(scenario)


def test_owner_dies_and_comes_back(run_scenario):
    """
    The instance that owns half of the indexes is killed while it replies, and restarted under its
    name. Its old replies are lost and its new ones have new numbers; queries through the other
    instances must complete, with the parts moved to the next owner.
    """

    async def scenario(fleet):
        answers = []
        via = ["e1", "e3"]
        async with conftest.traffic(fleet, answers, clients=6, via=via, deadline_ms=1500):
            for _ in range(2):
                await asyncio.sleep(0.4)
                fleet.signal("e2", signal.SIGKILL)
                await fleet.wait_exit("e2")
                await asyncio.sleep(0.4)
                fleet.start_daemon("e2")
                await fleet.wait_ready("e2")
        conftest.check_answers(fleet, answers)
        assert all(answer["outcome"] == "complete" for _, _, answer in answers)

    run_scenario(scenario)


def test_owner_frozen(run_scenario):
    """
    The owner of some indexes is frozen while its connections stay open. A query with 800 ms left
    must still complete: its parts go to the next owner after the silence limit, long before
    membership declares the frozen instance dead. When the instance resumes, it must not spoil any
    answer.
    """

    async def scenario(fleet):
        answers = []
        via = ["e1", "e3"]
        async with conftest.traffic(fleet, answers, clients=4, via=via, deadline_ms=800):
            await asyncio.sleep(0.4)
            fleet.signal("e2", signal.SIGSTOP)
            await asyncio.sleep(2.5)
            fleet.signal("e2", signal.SIGCONT)
            await asyncio.sleep(1)
        conftest.check_answers(fleet, answers)
        assert all(answer["outcome"] == "complete" for _, _, answer in answers)

    run_scenario(scenario)


def test_caller_hangs_up(run_scenario):
    """
    A caller disconnects while its query runs. Its queued parts must never be sent and its running
    ones must be cancelled at the targets, so that slots are free for other queries long before the
    work would have been done.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, service_ms=20000.0, spread=0.0)
        queries = [
            asyncio.create_task(
                fleet.query("e1", service="devis", body={"mark": str(number)}, deadline_ms=25000)
            )
            for number in range(8)
        ]
        await asyncio.sleep(0.5)
        for query in queries:
            query.cancel()
        await asyncio.gather(*queries, return_exceptions=True)
        for name in fleet.targets:
            await fleet.control(name, service_ms=4.0)
        status, answer = await fleet.query(
            "e2", service="devis", body={"mark": "next"}, deadline_ms=4000
        )
        assert (status, answer["outcome"]) == (200, "complete")
        assert len({entry["body"] for entry in conftest.runs(fleet)}) < 9

    run_scenario(scenario)
