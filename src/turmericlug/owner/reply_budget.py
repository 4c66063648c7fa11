"""
Limit on the memory of the replies of targets that this process holds at the same time.

Each reply has a limit, which does not bound their sum over parts, services and callers: some tens
of large replies, or of answers that callers don't read, exceed the memory of the process. A service
gets at most a share, so that one with large or endless replies leaves room for the others.
"""

from __future__ import annotations

import collections
import contextlib
from collections import abc

import attrs

SERVICE_SHARE = 0.5
"""Largest share of one service: that of a deployment's largest, with the others beside it."""
_MB_BYTES = 1024 * 1024
_SIZE_WEIGHT = 0.2
_MAX_IDLE_SHARES = 4096
"""Services whose usual size is remembered, of those of which nothing is held."""


@attrs.define(eq=False)
class Share:
    """What is held of the replies of one service."""

    _budget: ReplyBudget
    read_bytes: int = 0
    """Of replies that are being read."""
    answer_bytes: int = 0
    """Of the answers of queries until their callers have got them."""
    mean_bytes: float = 0.0
    """Usual size of a reply."""

    @property
    def held_bytes(self) -> int:
        """Bytes held in all."""
        return self.read_bytes + self.answer_bytes

    def may_receive(self, in_flight: int) -> bool:
        """
        Whether there is room for a further reply of the usual size.

        :param in_flight: attempts whose replies are expected
        """
        reading_bytes = max(float(self.read_bytes), in_flight * self.mean_bytes)
        size_bytes = self.answer_bytes + reading_bytes + self.mean_bytes
        has_room = self._budget.held_bytes + self.mean_bytes <= self._budget.limit_bytes
        return has_room and size_bytes <= self._budget.share_bytes

    def reserve_read(self, size_bytes: int) -> bool:
        """Hold bytes of a reply that is being read; false if they exceed a limit."""
        if not self._fits(size_bytes):
            return False
        self.read_bytes += size_bytes
        self._budget.held_bytes += size_bytes
        return True

    def release_read(self, size_bytes: int) -> None:
        """Hold bytes of a reply no longer."""
        self.read_bytes -= size_bytes
        self._budget.held_bytes -= size_bytes

    def reserve_answer(self, size_bytes: int) -> bool:
        """Hold bytes of the answer to a query; false if they exceed a limit."""
        if not self._fits(size_bytes):
            return False
        self.answer_bytes += size_bytes
        self._budget.held_bytes += size_bytes
        return True

    def release_answer(self, size_bytes: int) -> None:
        """Hold bytes of an answer no longer."""
        self.answer_bytes -= size_bytes
        self._budget.held_bytes -= size_bytes

    def record_size(self, size_bytes: int) -> None:
        """Record the size of a whole reply."""
        self.mean_bytes += (size_bytes - self.mean_bytes) * _SIZE_WEIGHT

    def _fits(self, size_bytes: int) -> bool:
        budget = self._budget
        in_share = self.held_bytes + size_bytes <= budget.share_bytes
        return in_share and budget.held_bytes + size_bytes <= budget.limit_bytes


class ReplyBudget:
    """The bytes that may be held, and those that are, by service."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.share_bytes = int(limit_bytes * SERVICE_SHARE)
        self.held_bytes = 0
        self._shares: collections.OrderedDict[str, Share] = collections.OrderedDict()

    def share(self, service: str) -> Share:
        """Return the share of a service."""
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = Share(self)
            self._forget_idle()
        return share

    def _forget_idle(self) -> None:
        for service in list(self._shares)[:-_MAX_IDLE_SHARES]:
            if not self._shares[service].held_bytes:
                del self._shares[service]


@attrs.define(eq=False)
class Held:
    """What one query holds of the answers to its parts until its caller has got them."""

    _budget: ReplyBudget
    _by_service: dict[str, int] = attrs.field(factory=dict)
    _is_over: bool = False

    def reserve(self, service: str, size_bytes: int) -> bool:
        """
        Hold the answer to a part; false if it exceeds a limit.

        A request that runs at most once goes on without its caller, and holds nothing then.
        """
        if self._is_over:
            return True
        if not self._budget.share(service).reserve_answer(size_bytes):
            return False
        self._by_service[service] = self._by_service.get(service, 0) + size_bytes
        return True

    def release(self) -> None:
        """Hold nothing any more."""
        self._is_over = True
        for service, size_bytes in self._by_service.items():
            self._budget.share(service).release_answer(size_bytes)
        self._by_service.clear()


@contextlib.contextmanager
def held(budget: ReplyBudget) -> abc.Iterator[Held]:
    """Hold the answers of one query until the end of the block."""
    query_held = Held(budget)
    try:
        yield query_held
    finally:
        query_held.release()


def of_memory(memory_mb: int) -> ReplyBudget:
    """Return a budget of some MB."""
    return ReplyBudget(memory_mb * _MB_BYTES)
