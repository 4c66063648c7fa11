"""Replies of targets that are cut at any byte."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from turmericlug.owner import target
from turmericlug.telemetry import counters

HEAD = b"HTTP/1.1 200 OK\r\nQuery-Attempt: a1\r\nQuery-Snapshot: s1\r\n"
REPLIES = {
    "length": HEAD + b'Content-Length: 8\r\n\r\n{"a": 1}',
    "chunked": HEAD + b'Transfer-Encoding: chunked\r\n\r\n8\r\n{"a": 1}\r\n0\r\n\r\n',
}


async def run_part(reply):
    """Return the outcome of a part whose target sends the bytes and closes."""

    async def serve(reader, writer):
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(reply)
                await writer.drain()
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    try:
        async with target.connected(1, counters.Counters()) as target_client:
            return await target_client.run(address, "a1", "s1", "0", b"{}", 20.0)
    finally:
        server.close()


@pytest.mark.parametrize("framing", REPLIES)
def test_a_cut_reply_is_no_answer(framing):
    """A target stops at some byte of its reply and closes: the part may have run, unanswered."""
    reply = REPLIES[framing]

    async def main():
        for cut in range(len(reply)):
            assert isinstance(await run_part(reply[:cut]), target.Unknown), cut
        assert await run_part(reply) == target.Answered("s1", b'{"a": 1}')

    asyncio.run(main())
