"""
Limit on the memory of the requests that all connections of a server hold at the same time.

The limits on the size of one request don't bound their sum: with thousands of connections, requests
of the allowed size exceed the memory of the process, which is then killed with all of them.
Responses count, too, from when they are written until they are sent. They are sent all the same,
but while they take the memory, further requests are refused.
"""

from __future__ import annotations

DEFAULT_MEMORY_MB = 256.0
"""Memory that is assumed where the machine's is unknown."""
SHORT_SHARE = 0.9
"""Share of the limit from which memory is short."""
_MB_BYTES = 1024 * 1024


class RequestBudget:
    """The bytes that may be held, and those that are."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        """Bytes of requests and responses."""
        self._response_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Hold bytes of a request, announced or received; false if they exceed the limit."""
        if self.held_bytes + size_bytes > self.limit_bytes:
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Hold bytes of a request no longer."""
        self.held_bytes -= size_bytes

    def hold_response(self, size_bytes: int) -> None:
        """Hold bytes of a response, whatever the limit."""
        self.held_bytes += size_bytes
        self._response_bytes += size_bytes

    def release_response(self, size_bytes: int) -> None:
        """Hold bytes of a response no longer."""
        self.held_bytes -= size_bytes
        self._response_bytes -= size_bytes

    @property
    def is_taken_by_responses(self) -> bool:
        """Whether hardly a request can be held, mostly because of unsent responses."""
        is_short = self.held_bytes >= SHORT_SHARE * self.limit_bytes
        return is_short and 2 * self._response_bytes >= self.held_bytes


def of_memory(memory_mb: float, share: float) -> RequestBudget:
    """
    Return a budget of a share of the memory.

    :param memory_mb: memory of the process; 0 if it is unknown
    """
    return RequestBudget(int((memory_mb or DEFAULT_MEMORY_MB) * _MB_BYTES * share))
