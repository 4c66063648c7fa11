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


def order(items):
    queue = fair_queue.FairQueue()
    for item in items:
        queue.push(item)
    return queue.drain()


def test_priority_then_turns_then_deadline():
    storm = [Item("storm", 5, 1.0 + number) for number in range(5)]
    calm = Item("calm", 5, 9.0)
    urgent = Item("late", 8, 50.0)
    found = order([storm[1], storm[0], *storm[2:], calm, urgent])
    assert found[0] is urgent
    assert found.index(calm) <= 2
    assert [item for item in found if item.caller == "storm"] == storm


def test_done_items_are_dropped():
    items = [Item("a", 5, 1.0), Item("a", 5, 2.0, done=True)]
    assert order(items) == items[:1]


def test_a_storm_is_not_ahead_of_others():
    queue = fair_queue.FairQueue()
    for number in range(100):
        queue.push(Item("storm", 5, float(number)))
    assert queue.ahead_of(5, "storm") == 100
    assert queue.ahead_of(5, "calm") == 1
    assert queue.ahead_of(6, "calm") == 0
    assert queue.ahead_of(4, "calm") == 100


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("abc"), strategies.integers(0, 3), strategies.floats(0, 9)
        )
    )
)
def test_nothing_is_lost(entries):
    items = [Item(*entry) for entry in entries]
    found = order(items)
    assert sorted(map(id, found)) == sorted(map(id, items))
    priorities = [item.priority for item in found]
    assert priorities == sorted(priorities, reverse=True)
