from __future__ import annotations

import attrs
import hypothesis
from hypothesis import strategies

from turmericlug.owner import fair_queue


@attrs.define(eq=False)
class Item:
    caller: str
    priority: int
    deadline_s: float
    done: bool = False


def served_order(items):
    queue = fair_queue.FairQueue()
    for item in items:
        queue.push(item)
    return queue.drain()


def test_order_is_priority_then_round_robin_then_deadline():
    storm = [Item("storm", 5, 1.0 + number) for number in range(5)]
    calm = Item("calm", 5, 9.0)
    urgent = Item("urgent", 8, 50.0)
    served = served_order([storm[1], storm[0], *storm[2:], calm, urgent])
    assert served[0] is urgent
    assert served.index(calm) <= 2
    assert [item for item in served if item.caller == "storm"] == storm


def test_items_that_are_done_are_dropped():
    items = [Item("a", 5, 1.0), Item("a", 5, 2.0, done=True)]
    assert served_order(items) == items[:1]


def test_a_retry_storm_is_not_counted_ahead_of_other_callers():
    queue = fair_queue.FairQueue()
    for number in range(100):
        queue.push(Item("storm", 5, float(number)))
    assert queue.count_ahead_of(5, "storm") == 100
    assert queue.count_ahead_of(5, "calm") == 1
    assert queue.count_ahead_of(6, "calm") == 0
    assert queue.count_ahead_of(4, "calm") == 100


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.integers(0, 3), strategies.floats(0, 9)
        )
    )
)
def test_every_item_is_served_once_in_order_of_priority(item_fields):
    items = [Item(*fields) for fields in item_fields]
    served = served_order(items)
    assert sorted(map(id, served)) == sorted(map(id, items))
    priorities = [item.priority for item in served]
    assert priorities == sorted(priorities, reverse=True)
