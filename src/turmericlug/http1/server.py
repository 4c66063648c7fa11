"""
HTTP/1.1 server for callers.

Uses the C parser directly, for exact control over the size and time limits on the request head,
over the response to a request that arrives while the connection is being closed, and over the
detection of a caller's disconnect.
"""

from __future__ import annotations

import asyncio
import collections
import socket
from collections import abc

from turmericlug.http1 import accepting
from turmericlug.http1 import connection as connection_module
from turmericlug.http1 import messages
from turmericlug.http1 import request_budget
from turmericlug.http1 import slow_callers
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

MAX_LINGERING = 64
"""Refused connections that may stay open until their callers have read why; the file descriptors
left for the rest of the process bear this many."""
BACKLOG = 1024
"""Size of the accept queue; when it is full, connecting takes a caller a second longer."""
_IDLE_SLACK_S = 1.0
_IDLE_LIMIT_HISTORY_S = 30.0
REQUESTS_LIMIT_BYTES = 64 * 1024 * 1024
"""Memory of the requests that a server holds at the same time if its user states no limit."""


class Server:
    """Connections of one listening address and their shared state."""

    def __init__(
        self,
        handler: messages.Handler,
        limits: abc.Callable[[], messages.Limits],
        max_connections: int,
        interim: bytes = b"",
        stalled_s: abc.Callable[[], float] = lambda: 0.0,
        budget: request_budget.RequestBudget | None = None,
        on_refused: abc.Callable[[str], None] = lambda reason: None,
        counters: counters_module.Counters | None = None,
        is_memory_short: abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """
        Create a server.

        :param interim: interim response, written as soon as a request is read
        :param stalled_s: returns how long the event loop was just blocked
        :param budget: limit on the memory of the requests that all connections hold
        :param on_refused: called with the reason when the server refuses a request by itself
        :param is_memory_short: whether callers that don't read are to be cut off, beside when they
            take the budget
        """
        self.budget = (
            budget if budget is not None else request_budget.RequestBudget(REQUESTS_LIMIT_BYTES)
        )
        self.on_refused = on_refused
        self.stalled_s = stalled_s
        self.counters = counters or counters_module.Counters()
        self.slow_callers = slow_callers.SlowCallers(
            lambda: self.budget.is_taken_by_responses or is_memory_short(), self.counters
        )
        self.interim = interim
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.connections: set[connection_module.Connection] = set()
        self.opening: set[asyncio.BaseProtocol] = set()
        """Accepted connections that are not among these yet."""
        self.draining = False
        self._recent_idle_limits: collections.deque[tuple[float, float]] = collections.deque()

    def idle_timeout_s(self, now_s: float) -> float:
        """
        Return the idle timeout of a connection.

        The longest limit of the last 30 s applies, since callers don't learn of a shorter one at
        once: a request sent while the server closes the connection by the new limit would be lost.
        """
        limit_s = self.limits().idle_timeout_s
        recent = self._recent_idle_limits
        if not recent or recent[-1][1] != limit_s:
            recent.append((now_s, limit_s))
        while len(recent) > 1 and recent[1][0] < now_s - _IDLE_LIMIT_HISTORY_S:
            recent.popleft()
        return max(idle_s for _, idle_s in recent) + _IDLE_SLACK_S

    def drain(self) -> None:
        """Start draining: every response from now on has ``connection: close``."""
        self.draining = True

    def is_full(self) -> bool:
        """Whether a new connection can only be refused and closed at once."""
        open_count = len(self.connections) + len(self.opening)
        return open_count >= self.max_connections + MAX_LINGERING

    def create_connection(self) -> asyncio.Protocol:
        """Return the protocol of a connection that was accepted."""
        connection = connection_module.Connection(self)
        self.opening.add(connection)
        return connection

    def refuse_connection(self) -> bytes:
        """Note that a connection is refused; return the response to it."""
        self.on_refused("connections")
        decisions.log("caller.refused", reason="connections")
        return messages.rejection_bytes(503, "too many connections")

    def busy_count(self) -> int:
        """Return how many connections have a request that was read and has no response yet."""
        return sum(connection.busy for connection in self.connections)

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.close_after_flush()


async def listen(
    server: Server, host: str, port: int, listening_socket: socket.socket | None = None
) -> accepting.Listener:
    """
    Accept connections; the server is ready when this returns.

    :param listening_socket: a socket that already listens at the address
    :raises OSError: the address is in use, or is none of this machine's
    """
    listener = accepting.Listener(
        listening_socket if listening_socket is not None else accepting.bind(host, port),
        server.create_connection,
        server.opening.discard,
        server.is_full,
        server.refuse_connection,
        server.counters,
    )
    listener.start(BACKLOG)
    return listener
