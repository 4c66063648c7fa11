"""Received bytes that wait to be parsed: until an answer is sent, or for the next turn."""

from __future__ import annotations

from turmericlug.http1 import request_budget


class Unparsed:
    """The bytes of one connection that were read and not parsed."""

    def __init__(self, budget: request_budget.RequestBudget) -> None:
        self._budget = budget
        self.data = memoryview(b"")
        self._held_bytes = 0
        self._arrived_s = 0.0

    def keep(self, data: memoryview, arrived_s: float) -> bool:
        """
        Keep bytes behind those that are kept already.

        :param arrived_s: when they were read
        :returns: whether they fit into the budget; if not, nothing is kept
        """
        if self.data:
            data, arrived_s = memoryview(bytes(self.data) + bytes(data)), self._arrived_s
            self.drop()
        if not self._held_bytes:
            # A view would hold the whole read.
            if not self._budget.reserve(len(data)):
                return False
            data, self._held_bytes = memoryview(bytes(data)), len(data)
        self.data, self._arrived_s = data, arrived_s
        return True

    def take(self) -> tuple[memoryview, float]:
        """Return what is kept and when it was read; it counts until the rest of it is dropped."""
        data, self.data = self.data, memoryview(b"")
        return data, self._arrived_s

    def drop(self) -> None:
        """Keep nothing."""
        self.data = memoryview(b"")
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
