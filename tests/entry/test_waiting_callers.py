"""Requests that wait for a slot of the concurrency limit, and callers that leave meanwhile."""

from __future__ import annotations

import asyncio
import types

import attrs
import handover_helpers
import pytest
import quota_fleet
import scripted

from turmericlug.entry import admission
from turmericlug.policy import admission as policy
from turmericlug.policy import concurrency

LIMIT = int(concurrency.INITIAL_LIMIT)
STAYING = 3
GIVE_UP_S = 60.0
"""Time of a jumping clock after which requests that still wait count as lost."""
ANSWER = types.SimpleNamespace(outcome="answered")


async def leave_before_the_slot_is_free(leave, end):
    leave()
    await asyncio.sleep(0)
    end()


async def leave_as_the_slot_gets_free(leave, end):
    """The slot is freed before the tasks of the callers that have left run."""
    end()
    leave()


async def leave_as_the_slot_is_granted(leave, end):
    """The slot is granted before the callers leave, and their tasks have not run yet."""
    end()
    await asyncio.sleep(0)
    leave()


def make_call(is_query):
    now_s = asyncio.get_running_loop().time()
    call = handover_helpers.query_call() if is_query else scripted.make_call()
    return attrs.evolve(call, began_s=now_s, deadline_s=now_s + 100)


async def play(order, leaving, is_query, ending=1):
    """
    Let requests wait behind as many as the limit allows; some of their callers leave.

    :param ending: requests in progress that end at that moment
    """
    sender = scripted.make_sender({})
    control = admission.Admission(sender, lambda: True)
    ended = [asyncio.Event() for _ in range(LIMIT)]

    async def answer_at(event):
        await event.wait()
        return ANSWER

    async def answer_now():
        return ANSWER

    active = [
        asyncio.create_task(control.run(make_call(is_query), lambda e=event: answer_at(e)))
        for event in ended
    ]
    await asyncio.sleep(0)
    leave_tasks = [
        asyncio.create_task(control.run(make_call(is_query), answer_now)) for _ in range(leaving)
    ]
    stay_tasks = [
        asyncio.create_task(control.run(make_call(is_query), answer_now)) for _ in range(STAYING)
    ]
    await asyncio.sleep(0)

    def leave():
        for task in leave_tasks:
            task.cancel()

    def end():
        for event in ended[:ending]:
            event.set()

    await order(leave, end)
    await asyncio.wait([*active[:ending], *stay_tasks], timeout=GIVE_UP_S)
    for event in ended:
        event.set()
    await asyncio.wait([*active, *stay_tasks, *leave_tasks], timeout=GIVE_UP_S)
    answered = [
        task.done() and not task.cancelled() and not task.exception()
        for task in active + stay_tasks
    ]
    return answered, control.load().active, control.load().queued, sender.counters.totals


ORDERS = [
    leave_before_the_slot_is_free,
    leave_as_the_slot_gets_free,
    leave_as_the_slot_is_granted,
]


@pytest.mark.parametrize("order", ORDERS, ids=lambda order: order.__name__)
@pytest.mark.parametrize("leaving", [1, 2, 20])
@pytest.mark.parametrize("ending", [1, LIMIT])
@pytest.mark.parametrize("is_query", [True, False], ids=["query", "one replica"])
def test_callers_that_leave_take_no_slot_with_them(order, leaving, ending, is_query):
    """A slot handed to a caller that has just left is lost for as long as the process lives."""
    answered, active, queued, counters = quota_fleet.run(
        lambda: play(order, leaving, is_query, ending)
    )
    assert answered == [True] * (LIMIT + STAYING)
    assert (active, queued) == (0, 0)
    assert counters["admission.left"] == leaving


@pytest.mark.parametrize("is_query", [True, False], ids=["query", "one replica"])
@pytest.mark.parametrize("left_s", [0.3, 1.2, 5.0])
def test_a_waiting_request_is_refused_before_its_deadline(is_query, left_s):
    """While no other request ends, one that waits is held far beyond its deadline."""

    async def main():
        loop = asyncio.get_running_loop()
        control = admission.Admission(scripted.make_sender({}), lambda: True)
        never = asyncio.Event()

        async def answer_never():
            await never.wait()

        active = [
            asyncio.create_task(control.run(make_call(is_query), answer_never))
            for _ in range(LIMIT)
        ]
        await asyncio.sleep(0)
        call = attrs.evolve(make_call(is_query), deadline_s=loop.time() + left_s)
        task = asyncio.create_task(control.acquire(call))
        await asyncio.wait([task], timeout=GIVE_UP_S)
        decided_s, queued = loop.time(), control.load().queued
        for each in [*active, task]:
            each.cancel()
        await asyncio.wait([*active, task])
        return task.done() and not task.cancelled() and task.result(), call, decided_s, queued

    refused, call, decided_s, queued = quota_fleet.run(main)
    assert refused.reason == admission.TOO_LONG_A_WAIT
    assert 0 <= call.deadline_s - decided_s <= concurrency.INITIAL_DURATION_S + 0.001
    assert queued == 0


def test_a_request_waits_as_long_as_it_can_be_served():
    """Requests have become shorter since it began to wait; it is refused with time left."""

    async def main():
        loop = asyncio.get_running_loop()
        control = admission.Admission(scripted.make_sender({}), lambda: True)
        limit = control._requests
        limit._mean_duration_s = 0.3
        for _ in range(LIMIT):
            assert limit.try_acquire(loop.time())
        call = attrs.evolve(make_call(False), deadline_s=loop.time() + 1.0)
        task = asyncio.create_task(control.acquire(call))
        await asyncio.sleep(0.1)
        limit._mean_duration_s = 0.05
        await asyncio.sleep(0.75)
        limit.release(loop.time(), None)
        return await task

    assert quota_fleet.run(main) == policy.ADMITTED
