"""Responses that are passed on chunk by chunk, while a part of them is still to come."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from turmericlug.http1 import client
from turmericlug.http1 import response_budget

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
REQUEST = client.request_bytes(b"GET", b"/", [(b"host", b"h")], b"")


@contextlib.asynccontextmanager
async def stragglers(chunk, ended):
    """Answer each request with a chunk, and with the end once an event is set."""

    async def serve(reader, writer):
        with contextlib.closing(writer), contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await ended.wait()
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


@pytest.mark.parametrize("chunk_bytes", [1000, 100_000, 4_000_000])
def test_chunks_that_were_passed_on_take_no_memory_from_others(chunk_bytes):
    """Guards against a response that waits for memory until the last part of another has come."""

    async def main():
        ended = asyncio.Event()
        budget = response_budget.ResponseBudget(0)
        source = budget.source("a")
        sizes = []
        async with stragglers(bytes(chunk_bytes), ended) as (host, port), asyncio.timeout(10):
            connections = [await client.connect(host, port, source=source) for _ in range(6)]
            exchanges = [
                asyncio.create_task(
                    connection.exchange(REQUEST, on_chunk=lambda chunk: sizes.append(len(chunk)))
                )
                for connection in connections
            ]
            while len(sizes) < len(exchanges):
                await asyncio.sleep(0.01)
            ended.set()
            responses = await asyncio.gather(*exchanges)
        assert sizes == [chunk_bytes] * len(exchanges)
        assert {response.status for response in responses} == {200}
        assert budget.held_bytes == 0

    asyncio.run(main())
