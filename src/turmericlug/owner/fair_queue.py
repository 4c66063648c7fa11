"""The queue of one service: by priority, then in turn by caller, then by deadline."""

from __future__ import annotations

import collections
import heapq
import itertools
import typing


class Entry(typing.Protocol):
    """What the queue looks at."""

    caller: str
    priority: int
    deadline_s: float
    done: bool


Item = typing.TypeVar("Item", bound=Entry)


class FairQueue(typing.Generic[Item]):
    """
    Parts waiting for a slot.

    Callers of one priority take turns, so that one caller's retry storm lengthens only its own
    queue. A part that is done (cancelled, answered) is dropped when its turn comes.
    """

    def __init__(self) -> None:
        self._lanes: dict[int, collections.OrderedDict[str, list[tuple[float, int, Item]]]] = {}
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, item: Item) -> None:
        """Add a part."""
        lane = self._lanes.setdefault(item.priority, collections.OrderedDict())
        heapq.heappush(lane.setdefault(item.caller, []), (item.deadline_s, next(self._order), item))
        self._length += 1

    def pop(self) -> Item | None:
        """Take the next part that still waits."""
        for priority in sorted(self._lanes, reverse=True):
            lane = self._lanes[priority]
            while lane:
                caller, heap = next(iter(lane.items()))
                item = heapq.heappop(heap)[2]
                self._length -= 1
                if heap:
                    lane.move_to_end(caller)
                else:
                    del lane[caller]
                if not item.done:
                    return item
            del self._lanes[priority]
        return None

    def ahead_of(self, priority: int, caller: str) -> int:
        """Count the parts that would go before a new one of a caller."""
        ahead = 0
        for each, lane in self._lanes.items():
            if each > priority:
                ahead += sum(len(heap) for heap in lane.values())
            elif each == priority:
                own = len(lane.get(caller, ()))
                ahead += own + sum(
                    min(len(heap), own + 1) for name, heap in lane.items() if name != caller
                )
        return ahead

    def of_caller(self, caller: str) -> int:
        """Count a caller's parts."""
        return sum(len(lane.get(caller, ())) for lane in self._lanes.values())

    def drain(self) -> list[Item]:
        """Take everything that still waits."""
        items = []
        while (item := self.pop()) is not None:
            items.append(item)
        return items
