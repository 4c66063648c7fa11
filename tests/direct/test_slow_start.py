"""How many queries an instance that has just started takes at a time."""

from __future__ import annotations

import contextlib
import heapq
import random

import pytest

from turmericlug.direct import answering
from turmericlug.direct import slow_start

GOAL_S = 0.25
INSTANCES = 7
QUERIES_PER_S = 56
OUTAGE_S = 2.0
SERVED_PER_S = 114
"""Two replicas of two slots, 35 ms a part."""


def under_way(start, count, now_s=0.0):
    """Begin queries until one is refused, or there are enough; returns them."""
    stack = contextlib.ExitStack()
    begun = 0
    while begun < count and start.admits(now_s):
        stack.enter_context(start.query())
        begun += 1
    return stack, begun


@pytest.mark.parametrize(
    ("in_time", "at_once"),
    [
        pytest.param(0, 2, id="just started"),
        pytest.param(4, 2, id="a few answers in time"),
        pytest.param(5, 3, id="one more"),
        pytest.param(30, 8, id="seconds later"),
        pytest.param(70, 100, id="not limited any more"),
    ],
)
def test_how_many_at_a_time(in_time, at_once):
    start = slow_start.SlowStart(0.0)
    for _ in range(in_time):
        start.answered_in_time()
    stack, begun = under_way(start, 100)
    assert begun == at_once
    stack.close()
    assert under_way(start, 100)[1] == at_once


@pytest.mark.parametrize(("age_s", "at_once"), [(0.0, 2), (3.9, 2), (4.1, 100)])
def test_an_instance_that_was_started_before_its_callers_came(age_s, at_once):
    start = slow_start.SlowStart(50.0)
    assert under_way(start, 100, 50.0 + age_s)[1] == at_once


class Unlimited:
    """Takes every query, as without a slow start."""

    def __init__(self, began_s):
        pass

    def admits(self, now_s):
        return True

    def query(self):
        return contextlib.nullcontext()

    def answered_in_time(self):
        pass


def after_an_outage(make, seed):
    """
    Play callers that return together and go on asking; returns the share of attempts in time.

    The replicas are one queue, served in order. A refused caller returns once, when it was told to.
    """
    rng = random.Random(seed)
    instances = [make(0.0) for _ in range(INSTANCES)]
    waiting = [(rng.uniform(0.0, 0.2), n, 0) for n in range(int(OUTAGE_S * QUERIES_PER_S))]
    waiting += [(n / QUERIES_PER_S, 1000 + n, 0) for n in range(2 * QUERIES_PER_S)]
    heapq.heapify(waiting)
    total, in_time, free_at_s, open_queries = len(waiting), 0, 0.0, []
    while waiting:
        now_s, number, refusals = heapq.heappop(waiting)
        while open_queries and open_queries[0][0] <= now_s:
            done_s, began_s, _, instance, block = heapq.heappop(open_queries)
            block.close()
            if done_s - began_s <= GOAL_S:
                instance.answered_in_time()
        instance = rng.choice(instances)
        if not instance.admits(now_s):
            if not refusals:
                back_s = now_s + answering.storm_come_back_s(rng)
                heapq.heappush(waiting, (back_s, number, 1))
            continue
        block = contextlib.ExitStack()
        block.enter_context(instance.query())
        free_at_s = max(free_at_s, now_s) + 1 / SERVED_PER_S
        done_s = free_at_s + 0.035
        in_time += done_s - now_s <= GOAL_S
        heapq.heappush(open_queries, (done_s, now_s, number, instance, block))
    return in_time / total


@pytest.mark.parametrize("seed", range(5))
def test_callers_that_return_together_after_an_outage(seed):
    """
    All instances lose power for two seconds, and every caller asks again in the same moment. Taken
    at once, their queries wait for each other at the replicas, and for two seconds every answer is
    late, also to callers that come later. With a slow start most are in time.
    """
    assert after_an_outage(Unlimited, seed) < 0.35
    assert after_an_outage(slow_start.SlowStart, seed) > 0.6
