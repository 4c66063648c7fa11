"""Replies of targets that are not JSON."""

from __future__ import annotations

import asyncio

import pytest
import standin_platform

from turmericlug.http1 import messages
from turmericlug.owner import target
from turmericlug.telemetry import counters

DEEP = b"[" * 200_000
OTHER_ENCODINGS = ['{"a": 1}'.encode(name) for name in ("utf-16", "utf-32", "utf-8-sig")]


@pytest.mark.parametrize(
    "body", [b"", b"no json", b"\xff", DEEP, b"9" * 5000, *OTHER_ENCODINGS], ids=lambda b: b[:4]
)
def test_malformed_reply_is_an_outcome(body):
    """
    Guards against a deeply nested reply that raises in the attempt instead of ending it, and
    against one in UTF-16 whose query was answered with status 500.
    """

    async def handle(request):
        headers = (
            (target.ATTEMPT_HEADER.lower().encode(), b"a-1"),
            (target.SNAPSHOT_HEADER.lower().encode(), b"s-1"),
            (b"content-type", b"application/json"),
        )
        return messages.Response(200, headers, body)

    async def main():
        async with (
            standin_platform.listening(handle) as (host, port),
            target.connected(4, counters.Counters()) as client,
        ):
            address = f"http://{host}:{port}"
            outcome = await client.run(address, "a-1", "s-1", "shard", b"{}", 2.0)
            assert outcome == target.Unknown("bad_reply")
            assert await client.health(address, 2.0) == ""

    asyncio.run(main())


CHUNK_BYTES = 64 * 1024


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (b"200 OK", b"", target.Unknown("bad_reply")),
        (b"500 No", b"", target.Unknown("status_500")),
        (b"503 No", b"Query-Not-Run: full\r\n", target.NotRun("full")),
        (b"409 No", b"", target.SnapshotAbsent()),
    ],
)
def test_endless_replies_are_not_read(status, headers, outcome):
    """A reply without an end was read into memory until the deadline of its part."""
    written = [0]

    async def handle(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n" % status)
            writer.write(b"Query-Attempt: a-1\r\nQuery-Snapshot: s-1\r\n%s\r\n" % headers)
            while True:
                writer.write(b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"1" * CHUNK_BYTES))
                written[0] += CHUNK_BYTES
                await writer.drain()
        except OSError:
            writer.transport.abort()

    async def main():
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with server, target.connected(4, counters.Counters()) as client:
            assert await client.run(address, "a-1", "s-1", "shard", b"{}", 10.0) == outcome
            # What the sockets buffer is not read.
            assert written[0] < 4 * target.MAX_REPLY_BYTES
            written[0] = 0
            assert await client.health(address, 10.0) == ""
            assert written[0] < 4 * target.MAX_REPLY_BYTES

    asyncio.run(main())
