"""Queue that is fair to flows of requests."""

from __future__ import annotations

import collections

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.policy import fair_queue


def served(items, count=None):
    """Queue items of (name, rank, flow, deadline, cost); returns their names as served."""
    queue = fair_queue.FairQueue()
    for name, rank, flow, deadline_s, cost in items:
        queue.push(name, rank, flow, deadline_s, cost)
    return queue.drain()[:count]


def test_order_is_rank_then_flows_in_turn_then_deadline():
    """An organisation that sends most of the requests must delay only its own."""
    storm = [(f"storm {n}", 1, "storm", float(n), 1.0) for n in range(10)]
    others = [("calm", 1, "calm", 99.0, 1.0), ("urgent", 0, "storm", 99.0, 1.0)]
    assert served([*reversed(storm), *others], 4) == ["urgent", "storm 0", "calm", "storm 1"]


@pytest.mark.parametrize(("cost", "share"), [(1.0, 0.5), (3.0, 0.25), (90.0, 1 / 91)])
def test_shares_are_by_cost(cost, share):
    """A flow of requests with many parts must not get more work done than the others."""
    items = [(f"a{n}", 0, "a", float(n), cost) for n in range(200)]
    items += [(f"b{n}", 0, "b", float(n), 1.0) for n in range(200)]
    counts = collections.Counter(name[0] for name in served(items, 182))
    assert counts["a"] / 182 == pytest.approx(share, abs=0.01)


def test_a_flow_that_returns_gets_no_more_than_its_share():
    """A caller that queues one request at a time must not overtake flows that always wait."""
    queue = fair_queue.FairQueue()
    for number in range(20):
        queue.push("steady", 0, "steady", float(number))
    counts = collections.Counter()
    queue.push("returning", 0, "returning", 0.0)
    for _ in range(20):
        served_name = queue.pop()
        counts[served_name] += 1
        if served_name == "returning":
            queue.push("returning", 0, "returning", 0.0)
    assert counts["steady"] == pytest.approx(10, abs=1)


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from("abc"),
            strategies.integers(0, 9),
            strategies.integers(1, 5),
        )
    )
)
def test_every_item_is_served_once_in_order_of_rank(fields):
    """An item that is lost in the queue leaves its caller without a response."""
    items = [(index, *each) for index, each in enumerate(fields)]
    order = served(items)
    assert sorted(order) == list(range(len(items)))
    ranks = [items[index][1] for index in order]
    assert ranks == sorted(ranks)


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2), strategies.sampled_from("abc"), strategies.integers(0, 9)
        ),
        max_size=30,
    ),
    strategies.sets(strategies.integers(0, 29)),
)
def test_removed_items_are_as_if_never_queued(items, removed):
    """A request that nobody waits for delays others, or changes their order."""
    queue, left = fair_queue.FairQueue(), fair_queue.FairQueue()
    for number, (rank, flow, deadline_s) in enumerate(items):
        queue.push(number, rank, flow, float(deadline_s))
        if number not in removed:
            left.push(number, rank, flow, float(deadline_s))
    for number, (rank, flow, _) in enumerate(items):
        if number in removed:
            queue.remove(number, rank, flow)
            queue.remove(number, rank, flow)
    assert len(queue) == len(left)
    for rank in range(3):
        for flow in "abc":
            assert queue.count_ahead_of(rank, flow) == left.count_ahead_of(rank, flow)
    assert sorted(queue.drain()) == sorted(left.drain())
