"""The connections of one instance to one replica: bounded, reused, handed out by priority."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import heapq
import itertools
from collections import abc

import attrs

from turmericlug.http1 import client

IDLE_S = 4.0
"""Idle time after which a connection is not trusted, where no replica of the service has stated a
limit."""
IDLE_SHARE = 0.8
"""Part of the stated limit within which an idle connection is used: the request must get there."""
FRESH_S = 0.3
"""Idle time within which a connection may carry a request that must not run twice: a reset on an
idle connection leaves it unknown whether the request ran."""
SPARE_IDLE_S = 1.0
"""Idle time after which a connection beyond the first is closed. Instances that lose power leave
their connections behind at the replica, which then resets the new ones of the restarted ones."""
CONNECTIONS_SHARE = 0.85
"""Part of a replica's connections that the instances divide: those of an instance that was killed
stay open at the replica for a while."""

_numbers = itertools.count()


def connection_limit(most: int, instances: int) -> int:
    """
    Return how many connections one instance may keep to one replica.

    :param most: what the replica takes from all callers
    :param instances: how many instances divide them
    """
    return max(1, int(most * CONNECTIONS_SHARE / max(instances, 1)))


@attrs.define
class KeepAliveTimeout:
    """
    The shortest time for which a replica of a service has said that it keeps an idle connection.

    A connection that was opened ahead of need has carried no response that could say so. Dropped
    sooner than replicas state, it is opened again and again.
    """

    idle_s: float | None = None

    def learn(self, stated_s: float | None) -> None:
        """Take note of what a response stated."""
        if stated_s is not None:
            self.idle_s = stated_s if self.idle_s is None else min(self.idle_s, stated_s)


Connect = abc.Callable[[], abc.Awaitable[client.Connection]]


@attrs.define
class Pool:
    """Open, idle and awaited connections to one replica."""

    connect: Connect
    limit: abc.Callable[[], int]
    now_s: abc.Callable[[], float]
    spare_idle_timeout_s: float = SPARE_IDLE_S
    keep_alive: KeepAliveTimeout = attrs.field(factory=KeepAliveTimeout)
    """Shared by the replicas of a service."""
    closed: bool = False
    """Whether the replica is gone: nothing is lent any more."""
    open_count: int = 0
    opened: int = 0
    opened_ahead: int = 0
    _idle: collections.deque[client.Connection] = attrs.field(factory=collections.deque)
    _waiting: list[tuple[int, int, asyncio.Future[None]]] = attrs.field(factory=list)

    @property
    def waiting(self) -> int:
        """How many sends wait for a connection."""
        return len(self._waiting)

    @property
    def has_idle(self) -> bool:
        """Whether a connection is open that nothing uses."""
        return bool(self._idle)

    @contextlib.asynccontextmanager
    async def connection(
        self, priority: int, fresh: bool = False
    ) -> abc.AsyncIterator[client.Connection]:
        """
        Lend a connection for one exchange; one that was left in use is closed.

        :param priority: 0 goes first among those that wait
        :param fresh: whether only a connection will do that was in use a moment ago or is new
        :raises ConnectError: none could be opened
        """
        connection = await self._take(priority, fresh)
        lent_exchanges = connection.exchanges
        try:
            yield connection
        except BaseException:
            connection.close()
            raise
        finally:
            self._give_back(connection, used=connection.exchanges > lent_exchanges)

    async def _take(self, priority: int, fresh: bool) -> client.Connection:
        while True:
            if self.closed:
                raise client.ConnectError("replica gone")
            connection = self._pop_idle(fresh)
            if connection is not None:
                return connection
            if self.open_count < self.limit():
                return await self._open()
            if fresh and self._idle:
                self._drop(self._idle.popleft())
                continue
            await self._wait(priority)

    async def _open(self) -> client.Connection:
        self.open_count += 1
        try:
            connection = await self.connect()
        except BaseException:
            self.open_count -= 1
            self._wake()
            raise
        self.opened += 1
        connection.idle_since_s = self.now_s()
        return connection

    def _pop_idle(self, fresh: bool) -> client.Connection | None:
        while self._idle:
            connection = self._idle[-1]
            age_s = self.now_s() - connection.idle_since_s
            if connection.closed or age_s > self._trusted_s(connection):
                self._drop(self._idle.pop())
            elif fresh and age_s > FRESH_S:
                return None
            else:
                return self._idle.pop()
        return None

    async def _wait(self, priority: int) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (priority, next(_numbers), turn)
        heapq.heappush(self._waiting, entry)
        try:
            await turn
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            elif turn.done() and not turn.cancelled():
                # The turn came at the same moment: the next in line takes it.
                self._wake()
            raise

    def _wake(self) -> None:
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return

    def _give_back(self, connection: client.Connection, used: bool) -> None:
        if self.closed and not connection.closed:
            connection.close()
        if connection.closed:
            self.open_count -= 1
        else:
            if used:
                connection.idle_since_s = self.now_s()
                self.keep_alive.learn(connection.keep_idle_s)
            self._idle.append(connection)
        self._wake()

    def _drop(self, connection: client.Connection) -> None:
        connection.close()
        self.open_count -= 1

    async def warm(self) -> None:
        """
        Open a first connection ahead of need, if there is none.

        :raises ConnectError: it could not be opened
        """
        if self.open_count == 0 and self.limit() > 0 and not self.closed:
            connection = await self._open()
            self.opened_ahead += 1
            self._idle.append(connection)
            self._wake()

    async def probe(self) -> None:
        """
        Open a connection to find out whether the replica takes any, and keep it if there is room.

        :raises ConnectError: it could not be opened
        """
        connection = await self._open()
        if self.open_count > self.limit() or self.closed:
            self._drop(connection)
            return
        self._idle.append(connection)
        self._wake()

    def trim(self) -> None:
        """Close what is idle for longer than it is trusted, and spare ones sooner."""
        for connection in list(self._idle):
            age_s = self.now_s() - connection.idle_since_s
            spare = self.open_count > 1 and age_s > self.spare_idle_timeout_s
            if connection.closed or spare or age_s > self._trusted_s(connection):
                self._idle.remove(connection)
                self._drop(connection)
        self._wake()

    def close(self) -> None:
        """
        Close the idle connections; those in use close when they come back.

        What waits for one fails at once, so that it can be sent to another replica in time.
        """
        self.closed = True
        while self._idle:
            self._drop(self._idle.popleft())
        while self._waiting:
            self._wake()

    def _trusted_s(self, connection: client.Connection) -> float:
        stated_s = connection.keep_idle_s
        if stated_s is None:
            stated_s = self.keep_alive.idle_s
        return IDLE_S if stated_s is None else min(stated_s * IDLE_SHARE, 60.0)
