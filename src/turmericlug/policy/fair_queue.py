"""
Queue that is fair to flows of requests: by rank, then start-time fair queueing, then by deadline.

The load pattern: one organisation, or one caller, sends many times its usual requests, or retries
at once and often, while requests wait for a slot. Start-time fair queueing (Goyal, Vin and Cheng)
gives each flow with waiting requests the same share of the slots, counted by cost, so that only
that flow's requests wait longer. A request that costs as much as 90 others advances its flow by 90.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import typing
from collections import abc

import attrs

Item = typing.TypeVar("Item")
Rank = typing.Any
"""Ranks are comparable with each other; the lowest goes first."""


@attrs.define(eq=False)
class _Flow:
    """The waiting items of one flow, and its place in the order of flows."""

    start_tag: float
    """Virtual time at which its next item starts."""
    turn: int
    """Order among flows with the same start tag."""
    items: list[tuple[float, int, float, typing.Any]] = attrs.field(factory=list)
    """Heap of deadline, sequence number, cost and item."""


@attrs.define(eq=False)
class _Level:
    """The flows of one rank."""

    virtual_time: float = 0.0
    """Start tag of the item that was served last."""
    flows: dict[str, _Flow] = attrs.field(factory=dict)
    """Flows with waiting items."""
    finish_tags: dict[str, float] = attrs.field(factory=dict)
    """End of the last item of each flow without waiting items, while that is ahead of the time."""


class FairQueue(typing.Generic[Item]):
    """Items that wait, each with a rank, a flow, a deadline and a cost."""

    def __init__(self, is_done: abc.Callable[[Item], bool] = lambda item: False) -> None:
        """
        Create an empty queue.

        :param is_done: whether an item has been cancelled or answered; it is dropped on removal
        """
        self._is_done = is_done
        self._levels: dict[Rank, _Level] = {}
        self._sequence = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, item: Item, rank: Rank, flow: str, deadline_s: float, cost: float = 1.0) -> None:
        """Add an item."""
        level = self._levels.setdefault(rank, _Level())
        if flow not in level.flows:
            start_tag = max(level.virtual_time, level.finish_tags.pop(flow, 0.0))
            level.flows[flow] = _Flow(start_tag, next(self._sequence))
        entry = (deadline_s, next(self._sequence), cost, item)
        heapq.heappush(level.flows[flow].items, entry)
        self._length += 1

    def remove(self, item: Item, rank: Rank, flow: str) -> None:
        """Remove an item, if it is still in the queue, with the rank and flow that it has there."""
        level = self._levels.get(rank)
        waiting = level.flows.get(flow) if level is not None else None
        if waiting is None:
            return
        left = [entry for entry in waiting.items if entry[-1] is not item]
        self._length -= len(waiting.items) - len(left)
        heapq.heapify(left)
        waiting.items = left
        if not left:
            del level.flows[flow]
            level.finish_tags[flow] = waiting.start_tag
        if not level.flows:
            del self._levels[rank]

    def pop(self) -> Item | None:
        """Remove and return the next item that is not done."""
        for rank in sorted(self._levels):
            level = self._levels[rank]
            while level.flows:
                item = self._pop_from(level)
                if not self._is_done(item):
                    return item
            del self._levels[rank]
        return None

    def _pop_from(self, level: _Level) -> Item:
        name, flow = min(level.flows.items(), key=lambda named: (named[1].start_tag, named[1].turn))
        _, _, cost, item = heapq.heappop(flow.items)
        self._length -= 1
        level.virtual_time = flow.start_tag
        flow.start_tag += cost
        flow.turn = next(self._sequence)
        if not flow.items:
            del level.flows[name]
            level.finish_tags[name] = flow.start_tag
        for idle, finish_tag in list(level.finish_tags.items()):
            if finish_tag <= level.virtual_time:
                del level.finish_tags[idle]
        return item

    def count_ahead_of(self, rank: Rank, flow: str) -> int:
        """Count the items that are served before a new item of a flow, if all cost the same."""
        ahead = 0
        for level_rank, level in self._levels.items():
            counts = collections.Counter(
                {name: len(waiting.items) for name, waiting in level.flows.items()}
            )
            if level_rank < rank:
                ahead += counts.total()
            elif level_rank == rank:
                own_count = counts.pop(flow, 0)
                ahead += own_count + sum(min(count, own_count + 1) for count in counts.values())
        return ahead

    def count_of_flow(self, flow: str) -> int:
        """Count the waiting items of a flow."""
        return sum(
            len(level.flows[flow].items) for level in self._levels.values() if flow in level.flows
        )

    def drain(self) -> list[Item]:
        """Remove and return all items that are not done."""
        items = []
        while (item := self.pop()) is not None:
            items.append(item)
        return items
