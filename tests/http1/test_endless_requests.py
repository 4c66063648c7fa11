"""Requests without end, and requests byte by byte: bounded in bytes and memory."""

from __future__ import annotations

import asyncio
import itertools
import tracemalloc

import pytest

from turmericlug.http1 import connection
from turmericlug.http1 import messages
from turmericlug.http1 import server

LIMITS = messages.Limits(header_bytes=16384, body_bytes=262144)
START = b"POST /a HTTP/1.1\r\nhost: h\r\n"
CHUNKED = START + b"transfer-encoding: chunked\r\n\r\n"
# What comes first, what comes again and again, and the status that ends it.
ENDLESS = {
    "empty lines": (b"", b"\r\n", b"431"),
    "target": (b"GET /", b"a", b"431"),
    "one header name": (START, b"a", b"431"),
    "one header line": (START + b"x-a: ", b"a", b"431"),
    "header lines": (START, b"a:\r\n", b"431"),
    "body": (START + b"content-length: 262145\r\n\r\n", b"a" * 1000, b"413"),
    "chunks": (CHUNKED, b"3e8\r\n" + b"a" * 1000 + b"\r\n", b"413"),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n", b"413"),
    "extension of a chunk": (CHUNKED + b"4;", b"a", b"413"),
    "zeros of a chunk size": (CHUNKED, b"0", b"413"),
    "one trailer": (CHUNKED + b"0\r\nx-a: ", b"a", b"413"),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: b\r\n", b"413"),
}


class Transport:
    """Collects what the server writes."""

    def __init__(self):
        self.written = b""
        self.is_reading = True

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        pass

    def write(self, data):
        self.written += data

    def writelines(self, buffers):
        self.written += b"".join(buffers)

    def is_closing(self):
        return False

    def can_write_eof(self):
        return False

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def abort(self):
        pass


async def echo(request):
    return messages.Response(200, body=request.body)


async def feed(caller, transport, data):
    """Let the server read bytes, once it reads."""
    while not transport.is_reading:
        await asyncio.sleep(0)
    caller.data_received(data)


def connect():
    """Return a connection of a server and its transport."""
    caller = connection.Connection(server.Server(echo, lambda: LIMITS, 10))
    transport = Transport()
    caller.connection_made(transport)
    return caller, transport


@pytest.mark.parametrize("size", [1, 1000, 65536, 262144])
@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_request_is_rejected_at_its_limit(kind, size):
    """
    A caller's request has no end in some part. Trailers were kept without limit until the time-out,
    and the headers so far were counted again with each byte.
    """
    first, again, status = ENDLESS[kind]

    async def main():
        caller, transport = connect()
        await feed(caller, transport, first)
        piece = again * max(1, size // len(again))
        fed = len(first)
        while not transport.written:
            await feed(caller, transport, piece)
            fed += len(piece)
            while not (transport.is_reading or transport.written):
                await asyncio.sleep(0)
        assert transport.written.startswith(b"HTTP/1.1 " + status)
        assert fed <= LIMITS.header_bytes + 1.2 * LIMITS.body_bytes + 2 * len(piece)
        caller.connection_lost(None)

    tracemalloc.start()
    try:
        asyncio.run(main())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes <= 1_000_000 + 2 * LIMITS.body_bytes + 3 * size


@pytest.mark.parametrize(
    "request_bytes",
    [
        START + b"content-length: 4\r\n\r\nbody",
        START + b"a:\r\n" * 3000 + b"content-length: 4\r\n\r\nbody",
        START + b"x-a: " + b"a" * 16200 + b"\r\ncontent-length: 4\r\n\r\nbody",
        CHUNKED + b"1\r\nb\r\n1;x=y\r\no\r\n2\r\ndy\r\n0\r\nx-a: b\r\n\r\n",
    ],
    ids=["length", "many headers", "long header", "chunked"],
)
def test_a_request_within_the_limits_is_read_byte_by_byte(request_bytes):
    """The limits hold for the whole head; how many pieces it comes in must not matter."""

    async def main():
        for pieces in ([request_bytes], [bytes([byte]) for byte in request_bytes]):
            caller, transport = connect()
            for piece in pieces:
                await feed(caller, transport, piece)
            for _ in itertools.repeat(None, 50):
                await asyncio.sleep(0)
            assert transport.written.startswith(b"HTTP/1.1 200 ")
            assert transport.written.endswith(b"\r\n\r\nbody")
            caller.connection_lost(None)

    asyncio.run(main())


@pytest.mark.parametrize(
    "head",
    [
        START + b"transfer-encoding: gzip, chunked\r\n\r\n",
        START + b"transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
        START.replace(b"1.1", b"1.0") + b"transfer-encoding: chunked\r\n\r\n",
        START.replace(b"1.1", b"2.0") + b"content-length: 4\r\n\r\n",
        START.replace(b"1.1", b"0.9") + b"content-length: 4\r\n\r\n",
    ],
    ids=["compressed in transfer", "chunked twice", "http/1.0 in chunks", "http/2.0", "http/0.9"],
)
def test_a_request_whose_body_is_open_is_rejected(head):
    """The bytes of a body in another encoding were sent to the replica without that header."""

    async def main():
        caller, transport = connect()
        caller.data_received(head + b"4\r\nbody\r\n0\r\n\r\n")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert transport.written.startswith(b"HTTP/1.1 400 ")
        caller.connection_lost(None)

    asyncio.run(main())
