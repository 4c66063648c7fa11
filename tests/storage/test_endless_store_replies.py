"""Replies of the store and of the instance list that have no end."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from turmericlug.http1 import request_budget
from turmericlug.storage import instances
from turmericlug.storage import reading
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters

PIECE = b"[" + b"1," * 32768
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


@contextlib.asynccontextmanager
async def endless():
    """Serve replies without an end; yields the address and the number of bytes sent."""
    sent = [0]

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            while True:
                writer.write(PIECE)
                sent[0] += len(PIECE)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}", sent
        server.close()


def test_reply_of_the_store_is_cut_off():
    """Guards against a reply that is read into memory until its time-out."""

    async def main():
        async with (
            endless() as (url, sent),
            store_module.connected(url, 60_000, counters.Counters()) as store,
        ):
            with pytest.raises(store_module.StoreError, match="refused"):
                await store.read("k")
            return sent[0]

    assert asyncio.run(main()) < 2 * reading.MAX_REPLY_BYTES


def test_replies_of_the_store_share_a_limit():
    """Guards against the sum of replies that are each below the limit."""

    async def main():
        async with (
            endless() as (url, sent),
            store_module.connected(url, 60_000, counters.Counters()) as store,
        ):
            await asyncio.gather(*(store.read("k") for _ in range(6)), return_exceptions=True)
            assert not store._replies.held_bytes
            return sent[0]

    # Each of the six also fills the buffers of its connection.
    assert asyncio.run(main()) < 4 * reading.MAX_REPLY_BYTES


def test_instance_list_is_cut_off():
    """Guards against a list that is read into memory until its time-out."""

    async def main():
        async with endless() as (url, sent), aiohttp.ClientSession() as session:
            with pytest.raises(instances.InstancesError, match="ClientPayloadError"):
                await instances.read(session, url, "service", 60.0)
            return sent[0]

    assert asyncio.run(main()) < 2 * reading.MAX_REPLY_BYTES


def test_a_reply_counts_until_it_is_used():
    """Guards against a budget that is given back while the value is decoded, or never."""

    class Content:
        async def iter_any(self):
            yield b"[1]"

    class Response:
        content = Content()

    async def main():
        budget = request_budget.RequestBudget(100)
        async with reading.read_json(Response(), budget) as value:
            assert value == [1]
            assert budget.held_bytes == 3
        assert not budget.held_bytes

    asyncio.run(main())
