"""Replies of targets that are not JSON."""

from __future__ import annotations

import asyncio

import pytest
import standin_platform

from turmericlug.http1 import messages
from turmericlug.owner import target
from turmericlug.telemetry import counters

DEEP = b"[" * 200_000


@pytest.mark.parametrize("body", [b"", b"no json", b"\xff", DEEP, b"9" * 5000], ids=lambda b: b[:4])
def test_malformed_reply_is_an_outcome(body):
    """Guards against a deeply nested reply that raises in the attempt instead of ending it."""

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
