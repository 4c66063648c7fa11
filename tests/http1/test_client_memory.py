"""What an exchange leaves in memory once it has ended."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import weakref

import pytest

from turmericlug.http1 import client
from turmericlug.http1 import reading

REQUEST = client.request_bytes(b"GET", b"/", [(b"host", b"h")], b"")
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n"
BODY = bytes(1_000_000)
LARGE_CHUNK = b"transfer-encoding: chunked\r\n\r\n800000\r\n" + bytes(0x800000) + b"\r\n1\r\na"
# What the server sends, whether it closes the connection then, and the time-out of the exchange.
ENDINGS = {
    "whole": (HEAD + BODY, False, 10.0),
    "whole, with bytes after it": (HEAD + BODY + b"more", False, 10.0),
    "too large": (b"HTTP/1.1 200 OK\r\n" + LARGE_CHUNK, False, 10.0),
    "unreadable": (HEAD + b"a" + BODY + b"HTTP", True, 10.0),
    "cut": (HEAD + BODY[:-1], True, 10.0),
    "time-out": (HEAD + BODY[:-1], False, 0.3),
}


@contextlib.asynccontextmanager
async def serving(content, closes):
    """Answer each request with the content; yield the address."""

    async def serve(reader, writer):
        with contextlib.closing(writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(content)
                await writer.drain()
                if not closes:
                    await reader.read()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


@contextlib.contextmanager
def without_collections():
    """Leave memory to the reference counts alone."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.collect()


@pytest.mark.parametrize("ending", ENDINGS)
def test_an_exchange_leaves_no_body_to_the_garbage_collector(monkeypatch, ending):
    """
    Guards against bodies that stay after their exchange: an idle connection kept the last one, and
    the reader and its parser kept each other and up to 8 MB until a collection.
    """
    content, closes, timeout_s = ENDINGS[ending]
    readers = []

    class Watched(reading.Reader):
        def __init__(self, *arguments):
            super().__init__(*arguments)
            readers.append(weakref.ref(self))

    monkeypatch.setattr(reading, "Reader", Watched)

    async def main():
        async with serving(content, closes) as address:
            connection = await client.connect(*address)
            with contextlib.suppress(client.ExchangeError, TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await connection.exchange(REQUEST)
            await asyncio.sleep(0.05)
            assert [reader() is None for reader in readers] == [True]
            connection.close()

    with without_collections():
        asyncio.run(main())
