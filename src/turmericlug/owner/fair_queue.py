"""Queue of one service: by priority, then round-robin by caller, then by deadline."""

from __future__ import annotations

import collections
import heapq
import itertools
import typing


class QueueItem(typing.Protocol):
    """The fields by which the queue orders its items."""

    caller: str
    priority: int
    deadline_s: float
    done: bool


Item = typing.TypeVar("Item", bound=QueueItem)


class FairQueue(typing.Generic[Item]):
    """
    Items that wait for a slot.

    Callers of the same priority are served round-robin, so that a retry storm of one caller delays
    only that caller's items. An item that is done (cancelled, answered) is dropped on removal.
    """

    def __init__(self) -> None:
        self._levels: dict[int, collections.OrderedDict[str, list[tuple[float, int, Item]]]] = {}
        self._sequence = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, item: Item) -> None:
        """Add an item."""
        level = self._levels.setdefault(item.priority, collections.OrderedDict())
        heapq.heappush(
            level.setdefault(item.caller, []), (item.deadline_s, next(self._sequence), item)
        )
        self._length += 1

    def pop(self) -> Item | None:
        """Remove and return the next item that is not done."""
        for priority in sorted(self._levels, reverse=True):
            level = self._levels[priority]
            while level:
                caller, heap = next(iter(level.items()))
                item = heapq.heappop(heap)[2]
                self._length -= 1
                if heap:
                    level.move_to_end(caller)
                else:
                    del level[caller]
                if not item.done:
                    return item
            del self._levels[priority]
        return None

    def count_ahead_of(self, priority: int, caller: str) -> int:
        """Count the queued items that would be served before a new item of a caller."""
        ahead = 0
        for level_priority, level in self._levels.items():
            if level_priority > priority:
                ahead += sum(len(heap) for heap in level.values())
            elif level_priority == priority:
                own_count = len(level.get(caller, ()))
                ahead += own_count + sum(
                    min(len(heap), own_count + 1)
                    for heap_caller, heap in level.items()
                    if heap_caller != caller
                )
        return ahead

    def count_of_caller(self, caller: str) -> int:
        """Count the queued items of a caller."""
        return sum(len(level.get(caller, ())) for level in self._levels.values())

    def drain(self) -> list[Item]:
        """Remove and return all items that are not done."""
        items = []
        while (item := self.pop()) is not None:
            items.append(item)
        return items
