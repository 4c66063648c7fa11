"""Every caller gets its own answer, whatever targets and owners do to replies."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest


@pytest.mark.parametrize(
    "fault", ["crossed", "duplicated", "truncated", "garbage", "wrong_snapshot", "die"]
)
def test_replies_go_wrong(play, fault):
    """
    A nurse asks for a child's last fitting while targets send replies of earlier requests, half
    replies, or die in the middle. Another child's sizes must never come back, nor a broken answer
    pass for a whole one.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, reply_fault=fault, fault_share=0.3)
        answers = []
        async with conftest.traffic(fleet, answers, clients=8, deadline_ms=500):
            await asyncio.sleep(1.5)
        conftest.check_honest(fleet, answers)
        outcomes = {answer["outcome"] for _, _, answer in answers}
        assert outcomes & {"complete", "partial"}
        for name in fleet.targets:
            await fleet.control(name, reply_fault="")

        async def whole():
            _, answer = await fleet.query("e1", service="devis", body={"mark": "after"})
            return answer["outcome"] == "complete"

        await conftest.eventually(whole)

    play(scenario)


def test_late_reply_after_timeout(play):
    """
    A target answers only after the caller's deadline. The connection is used again for the next
    caller; the late reply of the first one must not become the answer of the second.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, service_ms=80.0, spread=0.3)
        answers = []
        async with conftest.traffic(fleet, answers, clients=6, deadline_ms=90):
            await asyncio.sleep(2)
        conftest.check_honest(fleet, answers)
        assert any(answer["outcome"] != "complete" for _, _, answer in answers)

    play(scenario)


def test_owner_dies_and_comes_back(play):
    """
    The instance that owns half of the indexes is killed in the middle of answers and started
    again under its name. Its old replies are lost, its new ones have new numbers; queries through
    the other instances go on, with the parts moved to the next owner.
    """

    async def scenario(fleet):
        answers = []
        through = ["e1", "e3"]
        async with conftest.traffic(fleet, answers, clients=6, through=through, deadline_ms=1500):
            for _ in range(2):
                await asyncio.sleep(0.4)
                fleet.signal("e2", signal.SIGKILL)
                await fleet.wait_exit("e2")
                await asyncio.sleep(0.4)
                fleet.start_daemon("e2")
                await fleet.wait_ready("e2")
        conftest.check_honest(fleet, answers)
        assert all(answer["outcome"] == "complete" for _, _, answer in answers)

    play(scenario)


def test_owner_frozen(play):
    """
    The owner of some indexes is frozen, its connections stay open. A dispatcher with 800 ms still
    gets a whole quote: the parts go to the next owner after the silence limit, long before the
    membership calls the frozen one dead. Thawed, it must do no harm.
    """

    async def scenario(fleet):
        answers = []
        through = ["e1", "e3"]
        async with conftest.traffic(fleet, answers, clients=4, through=through, deadline_ms=800):
            await asyncio.sleep(0.4)
            fleet.signal("e2", signal.SIGSTOP)
            await asyncio.sleep(2.5)
            fleet.signal("e2", signal.SIGCONT)
            await asyncio.sleep(1)
        conftest.check_honest(fleet, answers)
        assert all(answer["outcome"] == "complete" for _, _, answer in answers)

    play(scenario)


def test_caller_hangs_up(play):
    """
    An inspector's tablet loses its connection while a query runs. Nobody waits for the parts any
    more: what is queued is never sent, what runs is cancelled at the targets, and slots are free
    for the others long before the work would have been done.
    """

    async def scenario(fleet):
        for name in fleet.targets:
            await fleet.control(name, service_ms=20000.0, spread=0.0)
        asked = [
            asyncio.create_task(
                fleet.query("e1", service="devis", body={"mark": str(n)}, deadline_ms=25000)
            )
            for n in range(8)
        ]
        await asyncio.sleep(0.5)
        for task in asked:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        for name in fleet.targets:
            await fleet.control(name, service_ms=4.0)
        status, answer = await fleet.query(
            "e2", service="devis", body={"mark": "next"}, deadline_ms=4000
        )
        assert (status, answer["outcome"]) == (200, "complete")
        assert len({line["body"] for line in conftest.runs(fleet)}) < 9

    play(scenario)
