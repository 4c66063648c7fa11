"""
Limit on the memory of the responses that all connections of a process hold at the same time.

The limit on one response doesn't bound their sum: replicas that send responses of the allowed size
to many requests exceed the memory of the process, which is then killed with all requests in it. So
memory is reserved before a body is read on, and a connection whose response finds none left pauses:
flow control then holds the rest at the replica. A response keeps its memory until nothing refers to
it any more.

No service can take the memory of the others, no replica that of its service, and large responses
leave some to small ones. A body of unknown length reserves that of the largest one before it grows
large, so that each response that was let in can be read to its end.
"""

from __future__ import annotations

import asyncio
import weakref
from collections import abc

import attrs

from turmericlug.http1 import reading
from turmericlug.http1 import request_budget

LARGE_SHARE = 0.75
"""Part of the memory that responses may use which are not small (``reading.SMALL_BYTES``)."""
SERVICE_SHARE = 0.5
REPLICA_SHARE = 0.25
_MIN_LIMIT_BYTES = int(reading.MAX_RESPONSE_BYTES / LARGE_SHARE) + 1
"""Any limit below would never let in the largest response."""


@attrs.define(eq=False)
class _Level:
    """The memory for the responses of all services, of one, or of one replica."""

    limit_bytes: int
    held_bytes: int = 0
    large_bytes: int = 0
    """Part of it that large responses hold."""

    def allows(self, size_bytes: int, large_bytes: int) -> bool:
        """Whether there is memory for a number of bytes more, some of them of large responses."""
        return (
            self.held_bytes + size_bytes <= self.limit_bytes
            and self.large_bytes + large_bytes <= self.limit_bytes * LARGE_SHARE
        )

    def add(self, size_bytes: int, large_bytes: int) -> None:
        """Hold more bytes, or fewer if they are negative."""
        self.held_bytes += size_bytes
        self.large_bytes += large_bytes


class ResponseBudget:
    """The memory that responses may hold, and the responses that wait for some."""

    def __init__(self, limit_bytes: int) -> None:
        self._all = _Level(max(limit_bytes, _MIN_LIMIT_BYTES))
        self._services: weakref.WeakValueDictionary[str, _Level] = weakref.WeakValueDictionary()
        self._waiting: dict[Holding, _Waiting] = {}
        """In the order in which they began to wait."""
        self._is_granting = False

    @property
    def held_bytes(self) -> int:
        """The memory of all responses."""
        return self._all.held_bytes

    @property
    def is_short(self) -> bool:
        """Whether a response waits for memory."""
        return bool(self._waiting)

    def source(
        self, service: str, on_wait: abc.Callable[[int], None] = lambda size_bytes: None
    ) -> Source:
        """
        Return the share of a replica of a service; each call is for another replica.

        :param on_wait: called with the memory that a response needs when it begins to wait for it
        """
        level = self._services.get(service)
        if level is None:
            level = self._services[service] = self._level(SERVICE_SHARE)
        return Source(self, (self._all, level, self._level(REPLICA_SHARE)), on_wait)

    def _level(self, share: float) -> _Level:
        return _Level(max(int(self._all.limit_bytes * share), _MIN_LIMIT_BYTES))

    def wait(self, holding: Holding, size_bytes: int, on_granted: abc.Callable[[], None]) -> None:
        """Call back once a holding has grown to a size, unless it is released before."""
        self._waiting[holding] = _Waiting(size_bytes, on_granted, asyncio.get_running_loop())

    def on_released(self, holding: Holding) -> None:
        """Let those that wait have what was released, in the next iteration of the event loop."""
        self._waiting.pop(holding, None)
        if not self._waiting or self._is_granting:
            return
        self._is_granting = True
        next(iter(self._waiting.values())).loop.call_soon(self._grant)

    def _grant(self) -> None:
        self._is_granting = False
        for holding, waiting in list(self._waiting.items()):
            if holding in self._waiting and holding.reserve(waiting.size_bytes):
                del self._waiting[holding]
                waiting.on_granted()


@attrs.frozen(eq=False)
class _Waiting:
    size_bytes: int
    on_granted: abc.Callable[[], None]
    loop: asyncio.AbstractEventLoop


@attrs.frozen(eq=False)
class Source:
    """The share of one replica, with the levels that it counts in."""

    budget: ResponseBudget
    levels: tuple[_Level, ...]
    on_wait: abc.Callable[[int], None]

    @property
    def held_bytes(self) -> int:
        """The memory of the replica's responses."""
        return self.levels[-1].held_bytes


class Holding:
    """The memory of one response, which is released when nothing refers to it any more."""

    __slots__ = ("_source", "size_bytes")

    def __init__(self, source: Source) -> None:
        self._source = source
        self.size_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Grow to a size; false if there is no memory for it."""
        growth = self._growth(size_bytes)
        if not all(level.allows(*growth) for level in self._source.levels):
            return False
        self._add(*growth)
        return True

    def reserve_later(self, size_bytes: int, on_granted: abc.Callable[[], None]) -> None:
        """Grow to a size once there is memory for it, and call back then."""
        self._source.budget.wait(self, size_bytes, on_granted)

    def resize(self, size_bytes: int) -> None:
        """Take the size of what is in memory already, whatever the limit."""
        growth = self._growth(size_bytes)
        self._add(*growth)
        if growth[0] < 0:
            self._source.budget.on_released(self)

    def release(self) -> None:
        """Give the memory back, and stop waiting for more."""
        self._add(*self._growth(0))
        self._source.budget.on_released(self)

    def _growth(self, size_bytes: int) -> tuple[int, int]:
        return size_bytes - self.size_bytes, _large(size_bytes) - _large(self.size_bytes)

    def _add(self, size_bytes: int, large_bytes: int) -> None:
        self.size_bytes += size_bytes
        for level in self._source.levels:
            level.add(size_bytes, large_bytes)

    def __del__(self) -> None:
        if self.size_bytes:
            self.release()


def _large(size_bytes: int) -> int:
    return size_bytes if size_bytes > reading.SMALL_BYTES else 0


def of_memory(memory_mb: float, share: float) -> ResponseBudget:
    """
    Return a budget of a share of the memory.

    :param memory_mb: memory of the process; 0 if it is unknown
    """
    return ResponseBudget(request_budget.of_memory(memory_mb, share).limit_bytes)
