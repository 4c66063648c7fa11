"""Replies of the platform's services, read up to a limit, alone and together."""

from __future__ import annotations

import contextlib
import json
import typing
from collections import abc

import aiohttp

from turmericlug.http1 import request_budget

MAX_REPLY_BYTES = 32 << 20
"""Of one reply: some times the largest document or bucket of records, whose values the store limits
to 1.5 MB."""
_HELD_MB = 48
"""Of all replies that are read at the same time."""


def new_budget() -> request_budget.RequestBudget:
    """Return a budget for the replies of one service."""
    return request_budget.of_memory(_HELD_MB, 1.0)


@contextlib.asynccontextmanager
async def read_json(
    response: aiohttp.ClientResponse, budget: request_budget.RequestBudget
) -> abc.AsyncIterator[typing.Any]:
    """
    Provide the JSON value of a reply, whose bytes count as held until the end of the block.

    :raises aiohttp.ClientPayloadError: the reply is longer than a limit; the connection is closed
    :raises ValueError: the reply is not JSON
    """
    held_bytes = 0
    pieces: list[bytes] = []
    try:
        async for piece in response.content.iter_any():
            if held_bytes + len(piece) > MAX_REPLY_BYTES or not budget.reserve(len(piece)):
                response.close()
                raise aiohttp.ClientPayloadError(f"more than {held_bytes} bytes")
            held_bytes += len(piece)
            pieces.append(piece)
        yield json.loads(b"".join(pieces))
    finally:
        budget.release(held_bytes)
