"""The connections of one instance to one replica."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from turmericlug.direct import pool as pool_module
from turmericlug.http1 import client


@attrs.define(eq=False)
class Connection:
    """As much of a connection as a pool looks at."""

    keep_idle_s: float | None = None
    idle_since_s: float = 0.0
    exchanges: int = 0
    closed: bool = False

    def close(self):
        self.closed = True


@attrs.define
class Clock:
    now_s: float = 0.0

    def __call__(self):
        return self.now_s


def make(clock, stated_idle):
    async def connect():
        return Connection()

    return pool_module.Pool(connect, lambda: 2, clock, keep_alive=stated_idle)


async def use(pool, stated_s):
    async with pool.connection(0) as connection:
        connection.exchanges += 1
        connection.keep_idle_s = stated_s


@pytest.mark.parametrize(
    ("stated_s", "rested_s", "opened"),
    [
        pytest.param([], 3.9, 1, id="nothing stated, rested shortly"),
        pytest.param([], 4.1, 2, id="nothing stated, rested for long"),
        pytest.param([10.0], 7.9, 1, id="stated by another replica"),
        pytest.param([10.0], 8.1, 2, id="rested for most of what was stated"),
        pytest.param([10.0, 2.0], 1.7, 2, id="one replica keeps them shorter"),
        pytest.param([None], 4.1, 2, id="a response that states nothing"),
        pytest.param([0.0], 0.1, 2, id="none is kept"),
    ],
)
def test_how_long_a_connection_opened_ahead_is_trusted(stated_s, rested_s, opened):
    """
    An instance opens connections ahead of need and drops them unused after four seconds, again and
    again, although the replicas keep them for ten: most of all new connections are of that kind.
    """

    async def main():
        clock, shared = Clock(), pool_module.KeepAliveTimeout()
        for each in stated_s:
            await use(make(clock, shared), each)
        pool = make(clock, shared)
        await pool.warm()
        clock.now_s += rested_s
        await use(pool, None)
        return pool.opened

    assert asyncio.run(main()) == opened


def test_a_pool_of_a_replica_that_is_gone_lends_nothing():
    """
    A replica is gone while a send waits for one of its connections. Left waiting, the send is late
    although another replica could take it; and the connection that comes back later stays open for
    good, as nobody looks after the pool any more.
    """

    async def main():
        pool = make(Clock(), pool_module.KeepAliveTimeout())
        async with pool.connection(0) as first, pool.connection(0):
            waiting = asyncio.create_task(use(pool, 10.0))
            await asyncio.sleep(0)
            assert pool.waiting == 1
            pool.close()
            with pytest.raises(client.ConnectError):
                await waiting
        assert first.closed
        assert pool.open_count == 0
        with pytest.raises(client.ConnectError):
            await use(pool, 10.0)
        await pool.warm()
        assert pool.open_count == 0

    asyncio.run(main())
