"""Queue of one service: by priority, then fair to callers, then by deadline."""

from __future__ import annotations

import typing

from turmericlug.policy import fair_queue


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

    Callers of the same priority are served in turn, so that a retry storm of one caller delays only
    that caller's items. An item that is done (cancelled, answered) is dropped on removal.
    """

    def __init__(self) -> None:
        self._queue: fair_queue.FairQueue[Item] = fair_queue.FairQueue(lambda item: item.done)

    def __len__(self) -> int:
        return len(self._queue)

    def push(self, item: Item) -> None:
        """Add an item."""
        # The highest priority goes first, the lowest rank.
        self._queue.push(item, -item.priority, item.caller, item.deadline_s)

    def remove(self, item: Item) -> None:
        """Remove an item, if it is still in the queue."""
        self._queue.remove(item, -item.priority, item.caller)

    def pop(self) -> Item | None:
        """Remove and return the next item that is not done."""
        return self._queue.pop()

    def count_ahead_of(self, priority: int, caller: str) -> int:
        """Count the queued items that would be served before a new item of a caller."""
        return self._queue.count_ahead_of(-priority, caller)

    def count_of_caller(self, caller: str) -> int:
        """Count the queued items of a caller."""
        return self._queue.count_of_flow(caller)

    def drain(self) -> list[Item]:
        """Remove and return all items that are not done."""
        return self._queue.drain()
