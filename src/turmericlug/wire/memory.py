"""
Limit on the memory of messages between instances, over all connections.

A frame and what waits unsent to one peer are limited, which does not bound their sum: some tens of
peers that send the beginnings of large frames, or that don't read, exceed the memory of the
process. A connection with little of either is never closed for it.
"""

from __future__ import annotations

import typing
import weakref

MAX_RECEIVED_BYTES = 64 << 20
"""Of incomplete frames."""
MAX_UNSENT_BYTES = 64 << 20
SMALL_BYTES = 256 * 1024
"""Held for one connection whatever the others hold: some times the usual messages."""


class Sending(typing.Protocol):
    """A connection whose messages may wait to be sent."""

    def unsent_bytes(self) -> int:
        """Return how much waits."""

    def abort(self) -> None:
        """Close the connection."""


class Memory:
    """What is held of messages to and from all peers."""

    def __init__(self) -> None:
        self.received_bytes = 0
        self._sending: weakref.WeakSet[Sending] = weakref.WeakSet()

    def hold_received(self, before_bytes: int, now_bytes: int) -> bool:
        """Record how much one connection holds of an incomplete frame; false if it is too much."""
        self.received_bytes += now_bytes - before_bytes
        return now_bytes <= SMALL_BYTES or self.received_bytes <= MAX_RECEIVED_BYTES

    def add_sending(self, connection: Sending) -> None:
        """Count what waits to be sent on a connection, for as long as it is in use."""
        self._sending.add(connection)

    def unsent_bytes(self) -> int:
        """Return how much waits to be sent on all connections."""
        return sum(connection.unsent_bytes() for connection in self._sending)

    def limit_unsent(self) -> int:
        """Close the connections with most unsent data while the limit is exceeded; count them."""
        waiting = sorted(
            (
                (connection.unsent_bytes(), index, connection)
                for index, connection in enumerate(self._sending)
            ),
            reverse=True,
        )
        total_bytes = sum(size_bytes for size_bytes, _, _ in waiting)
        closed = 0
        for size_bytes, _, connection in waiting:
            if total_bytes <= MAX_UNSENT_BYTES or size_bytes <= SMALL_BYTES:
                break
            connection.abort()
            total_bytes -= size_bytes
            closed += 1
        return closed
