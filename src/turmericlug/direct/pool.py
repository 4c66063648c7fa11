"""Bounded connection pool for one replica, which serves waiters by priority."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import heapq
import itertools
from collections import abc

import attrs

from turmericlug.http1 import client

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection is no longer used, if no replica of the service has advertised
a keep-alive timeout."""
IDLE_TIMEOUT_SHARE = 0.8
"""Fraction of the advertised timeout during which an idle connection is used: the request has to
reach the replica before the timeout ends."""
MAX_FRESH_IDLE_S = 0.3
"""Longest idle time of a connection that carries a request which must not run twice: after a reset
of an idle connection it is unknown whether the request ran."""
SPARE_IDLE_TIMEOUT_S = 1.0
"""Idle time after which a connection beyond the first is closed. Connections of instances that lose
power stay open at the replica, which then resets new connections after these instances restart."""
USABLE_CONNECTIONS_SHARE = 0.85
"""Fraction of a replica's connections that is divided among the instances. The rest is a reserve:
the connections of a killed instance stay open at the replica for a while."""

_waiter_numbers = itertools.count()


def connection_limit(max_connections: int, instances: int) -> int:
    """
    Return how many connections one instance may open to one replica.

    :param max_connections: how many the replica accepts from all callers together
    :param instances: the number of instances that send to the replica
    """
    return max(1, int(max_connections * USABLE_CONNECTIONS_SHARE / max(instances, 1)))


class WithheldError(client.ConnectError):
    """The request must not be written to the replica any more; the reason is a short keyword."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.define
class KeepAliveTimeout:
    """
    The shortest keep-alive timeout that any replica of a service has advertised in a response.

    It applies to prewarmed connections, which have carried no response yet. Closing these earlier
    than the replicas require would reopen them again and again.
    """

    timeout_s: float | None = None

    def record(self, advertised_s: float | None) -> None:
        """Record the timeout that a response advertised, if any."""
        if advertised_s is not None:
            self.timeout_s = (
                advertised_s if self.timeout_s is None else min(self.timeout_s, advertised_s)
            )


@attrs.define
class Waiting:
    """Number of attempts that wait for a connection, over all pools that share this count."""

    count: int = 0


Connect = abc.Callable[[], abc.Awaitable[client.Connection]]


@attrs.define
class Pool:
    """The open and idle connections to one replica, and the tasks that wait for one."""

    connect: Connect
    limit: abc.Callable[[], int]
    now_s: abc.Callable[[], float]
    spare_idle_timeout_s: float = SPARE_IDLE_TIMEOUT_S
    keep_alive: KeepAliveTimeout = attrs.field(factory=KeepAliveTimeout)
    """Shared by the replicas of a service."""
    all_waiting: Waiting = attrs.field(factory=Waiting)
    """Shared by the pools of all replicas."""
    closed: bool = False
    """Whether the replica was removed. A closed pool provides no connections."""
    open_count: int = 0
    """Connections that are open or being opened."""
    opened: int = 0
    """Connections opened since the pool was created."""
    prewarmed: int = 0
    """Those of them that were prewarmed."""
    _idle: collections.deque[client.Connection] = attrs.field(factory=collections.deque)
    _waiters: list[tuple[int, int, asyncio.Future[None]]] = attrs.field(factory=list)

    @property
    def waiting(self) -> int:
        """The number of attempts that wait for a connection."""
        return len(self._waiters)

    @property
    def has_idle(self) -> bool:
        """Whether there is an idle connection."""
        return bool(self._idle)

    @contextlib.asynccontextmanager
    async def connection(
        self,
        priority: int,
        runs_once: bool = False,
        avoid: abc.Collection[client.Connection] = (),
        get_withhold_reason: abc.Callable[[], str] = lambda: "",
    ) -> abc.AsyncIterator[client.Connection]:
        """
        Provide a connection for one exchange; close it if the exchange is interrupted.

        :param priority: order among the waiters; 0 goes first
        :param runs_once: whether the connection is for a request that must not run twice
        :param avoid: connections that must not be used
        :param get_withhold_reason: returns why the request must not be written any more, or an
            empty text; called also whenever the wait for a connection is interrupted
        :raises WithheldError: it returned a reason
        :raises ConnectError: a connection could not be opened, or the pool is closed
        """
        connection = await self._acquire(priority, runs_once, avoid, get_withhold_reason)
        exchanges_before = connection.exchanges
        try:
            yield connection
        except BaseException:
            connection.close()
            raise
        finally:
            self._release(connection, used=connection.exchanges > exchanges_before)

    async def _acquire(
        self,
        priority: int,
        runs_once: bool,
        avoid: abc.Collection[client.Connection],
        get_withhold_reason: abc.Callable[[], str],
    ) -> client.Connection:
        number = next(_waiter_numbers)
        while True:
            if withhold_reason := get_withhold_reason():
                # The next one may be withheld as well, or can use the connection.
                self._wake_next()
                raise WithheldError(withhold_reason)
            if self.closed:
                raise client.ConnectError("replica gone")
            connection = self._pop_idle(runs_once, avoid)
            if connection is not None:
                return connection
            if self.open_count < self.limit():
                return await self._open()
            if self._idle:
                self._discard(self._idle.popleft())
                continue
            await self._wait(priority, number)

    async def _open(self) -> client.Connection:
        self.open_count += 1
        try:
            connection = await self.connect()
        except BaseException:
            self.open_count -= 1
            self._wake_next()
            raise
        self.opened += 1
        connection.idle_since_s = self.now_s()
        return connection

    def _pop_idle(
        self, runs_once: bool, avoid: abc.Collection[client.Connection]
    ) -> client.Connection | None:
        """Take the idle connection that was used last, of those that may be used."""
        passed_over: list[client.Connection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            age_s = self.now_s() - connection.idle_since_s
            if connection.closed or age_s > self._max_idle_s(connection):
                self._discard(connection)
            elif connection in avoid or (runs_once and not _may_run_once(connection, age_s)):
                passed_over.append(connection)
            else:
                found = connection
        self._idle.extend(reversed(passed_over))
        return found

    async def _wait(self, priority: int, number: int) -> None:
        available: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (priority, number, available)
        heapq.heappush(self._waiters, entry)
        self.all_waiting.count += 1
        try:
            await available
        except asyncio.CancelledError:
            if entry in self._waiters:
                self._waiters.remove(entry)
                heapq.heapify(self._waiters)
            elif available.done() and not available.cancelled():
                # Woken and cancelled at the same time: pass the wake-up to the next waiter.
                self._wake_next()
            raise
        finally:
            self.all_waiting.count -= 1

    def _wake_next(self) -> None:
        while self._waiters:
            _, _, available = heapq.heappop(self._waiters)
            if not available.done():
                available.set_result(None)
                return

    def _wake_all(self) -> None:
        waiting, self._waiters = self._waiters, []
        for _, _, available in sorted(waiting):
            if not available.done():
                available.set_result(None)

    def _release(self, connection: client.Connection, used: bool) -> None:
        if self.closed and not connection.closed:
            connection.close()
        if connection.closed:
            self.open_count -= 1
        else:
            if used:
                connection.idle_since_s = self.now_s()
                self.keep_alive.record(connection.keep_alive_timeout_s)
            self._idle.append(connection)
        self._wake_next()

    def _discard(self, connection: client.Connection) -> None:
        connection.close()
        self.open_count -= 1

    async def warm(self) -> None:
        """
        Open a connection before it is needed, if none is open.

        :raises ConnectError: it could not be opened
        """
        if self.open_count == 0 and self.limit() > 0 and not self.closed:
            connection = await self._open()
            self.prewarmed += 1
            self._idle.append(connection)
            self._wake_next()

    async def probe(self) -> None:
        """
        Check that the replica accepts a connection; keep the connection if the limit permits.

        :raises ConnectError: it could not be opened
        """
        connection = await self._open()
        if self.open_count > self.limit() or self.closed:
            self._discard(connection)
            return
        self._idle.append(connection)
        self._wake_next()

    def trim(self) -> None:
        """
        Close idle connections after their timeout, and spare ones after a shorter one.

        Waiters check whether their requests may still be written.
        """
        for connection in list(self._idle):
            age_s = self.now_s() - connection.idle_since_s
            spare = self.open_count > 1 and age_s > self.spare_idle_timeout_s
            if connection.closed or spare or age_s > self._max_idle_s(connection):
                self._idle.remove(connection)
                self._discard(connection)
        self._wake_all()

    def close(self) -> None:
        """
        Close the idle connections; those in use are closed when they are released.

        Waiters fail at once, so that their requests can be sent to another replica in time.
        """
        self.closed = True
        while self._idle:
            self._discard(self._idle.popleft())
        self._wake_all()

    def _max_idle_s(self, connection: client.Connection) -> float:
        advertised_s = connection.keep_alive_timeout_s
        if advertised_s is None:
            advertised_s = self.keep_alive.timeout_s
        return (
            DEFAULT_IDLE_TIMEOUT_S
            if advertised_s is None
            else min(advertised_s * IDLE_TIMEOUT_SHARE, 60.0)
        )


def _may_run_once(connection: client.Connection, idle_s: float) -> bool:
    """Whether the outcome of a request that must not run twice can be told on a connection."""
    return idle_s <= MAX_FRESH_IDLE_S and not connection.had_unnamed_response
