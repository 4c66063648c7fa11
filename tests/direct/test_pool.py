"""Tests of the connection pool."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from turmericlug.direct import pool as pool_module
from turmericlug.http1 import client


@attrs.define(eq=False)
class Connection:
    """Stand-in with the members of a connection that a pool uses."""

    keep_alive_timeout_s: float | None = None
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


def make_pool(clock, keep_alive):
    async def connect():
        return Connection()

    return pool_module.Pool(connect, lambda: 2, clock, keep_alive=keep_alive)


async def exchange(pool, keep_alive_s):
    async with pool.connection(0) as connection:
        connection.exchanges += 1
        connection.keep_alive_timeout_s = keep_alive_s


@pytest.mark.parametrize(
    ("keep_alive_s", "idle_s", "opened"),
    [
        pytest.param([], 3.9, 1, id="nothing advertised, idle for less than the default"),
        pytest.param([], 4.1, 2, id="nothing advertised, idle for more than the default"),
        pytest.param([10.0], 7.9, 1, id="advertised by another replica"),
        pytest.param([10.0], 8.1, 2, id="idle for most of the advertised time"),
        pytest.param([10.0, 2.0], 1.7, 2, id="another replica advertises a shorter time"),
        pytest.param([None], 4.1, 2, id="response without a timeout"),
        pytest.param([0.0], 0.1, 2, id="connections are not kept"),
    ],
)
def test_idle_timeout_of_a_prewarmed_connection(keep_alive_s, idle_s, opened):
    """
    Guards against closing unused prewarmed connections after four seconds and reopening them again
    and again, although the replicas keep them for ten seconds. Most new connections were of this
    kind.
    """

    async def main():
        clock, keep_alive = Clock(), pool_module.KeepAliveTimeout()
        for advertised_s in keep_alive_s:
            await exchange(make_pool(clock, keep_alive), advertised_s)
        pool = make_pool(clock, keep_alive)
        await pool.warm()
        clock.now_s += idle_s
        await exchange(pool, None)
        return pool.opened

    assert asyncio.run(main()) == opened


def test_a_closed_pool_provides_no_connections():
    """
    A replica is removed while an attempt waits for one of its connections. If the attempt keeps
    waiting, it is late although another replica could run it. A connection that is released later
    would stay open forever, as the pool is no longer maintained.
    """

    async def main():
        pool = make_pool(Clock(), pool_module.KeepAliveTimeout())
        async with pool.connection(0) as first, pool.connection(0):
            waiting = asyncio.create_task(exchange(pool, 10.0))
            await asyncio.sleep(0)
            assert pool.waiting == 1
            pool.close()
            with pytest.raises(client.ConnectError):
                await waiting
        assert first.closed
        assert pool.open_count == 0
        with pytest.raises(client.ConnectError):
            await exchange(pool, 10.0)
        await pool.warm()
        assert pool.open_count == 0

    asyncio.run(main())


def test_each_waiting_request_checks_whether_it_may_be_written():
    """A withheld request waited for a connection behind one that may still be written."""

    async def main():
        reason = ""
        pool = make_pool(Clock(), pool_module.KeepAliveTimeout())
        release = asyncio.Event()

        async def use(get_withhold_reason):
            async with pool.connection(0, get_withhold_reason=get_withhold_reason):
                await release.wait()

        tasks = []
        # Two use the connections of the pool, the third waits ahead of the withheld one.
        for get_withhold_reason in (*[lambda: ""] * 3, lambda: reason):
            tasks.append(asyncio.create_task(use(get_withhold_reason)))
            await asyncio.sleep(0)
        reason = "draining"
        pool.trim()
        async with asyncio.timeout(5):
            with pytest.raises(pool_module.WithheldError):
                await tasks[3]
            release.set()
            await asyncio.gather(*tasks[:3])

    asyncio.run(main())
