"""HTTP client of the targets, and what the outcome of a request proves about its execution."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import time
import typing
from collections import abc

import aiohttp

from turmericlug.telemetry import counters as counters_module

ATTEMPT_HEADER = "Query-Attempt"
SNAPSHOT_HEADER = "Query-Snapshot"
SHARD_HEADER = "Query-Shard"
DEADLINE_MS_HEADER = "Query-Deadline-Ms"
NOT_RUN_HEADER = "Query-Not-Run"
CANCELLED_STATUS = 499
"""Status of an attempt that the target had started and then cancelled on request."""
CANCEL_TIMEOUT_S = 0.05
KEEP_ALIVE_S = 3600.0
MAX_REPLY_BYTES = 4 << 20
MAX_STATE_BYTES = 64 * 1024
"""Of the reply to a health check or a cancellation, which is some bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target ran the part."""

    snapshot: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The part did not run: the request was not sent, or the target says so."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotAbsent:
    """The replica does not hold the snapshot; the part did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The part may have run, and there is no usable answer."""

    reason: str


CONNECTION_LOST = Unknown("connection_lost")
"""The connection was lost after the request was sent."""

Outcome = Answered | NotRun | SnapshotAbsent | Unknown


class Client:
    """Requests to the replicas of one service, over a small pool of keep-alive connections."""

    def __init__(self, session: aiohttp.ClientSession, counters: counters_module.Counters) -> None:
        self._session = session
        self._counters = counters

    async def run(
        self,
        address: str,
        attempt_id: str,
        snapshot: str,
        shard: str,
        body: bytes,
        remaining_s: float,
    ) -> Outcome:
        """
        Run one part on one replica.

        The request uses POST: when a keep-alive connection turns out to be closed, the HTTP library
        retries idempotent methods by itself, and a part that must not be repeated would run twice.

        :param address: ``http://host:port``
        :param attempt_id: identifier that the response must echo
        :param remaining_s: time to the deadline; sent to the target as well
        """
        headers = {
            ATTEMPT_HEADER: attempt_id,
            SNAPSHOT_HEADER: snapshot,
            SHARD_HEADER: shard,
            DEADLINE_MS_HEADER: str(max(1, int(remaining_s * 1000))),
            "Content-Type": "application/json",
        }
        try:
            async with asyncio.timeout(remaining_s):
                async with self._session.post(
                    f"{address}/v1/run", data=body, headers=headers
                ) as response:
                    return await self._read_outcome(response, attempt_id, snapshot)
        except aiohttp.ClientConnectorError:
            return NotRun("connect_failed")
        except TimeoutError:
            return Unknown("timeout")
        except aiohttp.ClientPayloadError:
            return Unknown("truncated_reply")
        except (aiohttp.ClientError, OSError):
            return CONNECTION_LOST

    async def _read_outcome(
        self, response: aiohttp.ClientResponse, attempt_id: str, snapshot: str
    ) -> Outcome:
        body = await _read_limited(response, MAX_REPLY_BYTES)
        # A response with the identifier of another attempt belongs to another request, for example
        # to an earlier one on this connection that timed out. The connection is closed, because all
        # later responses on it would be off by one as well.
        if response.headers.get(ATTEMPT_HEADER) != attempt_id:
            self._counters.add("owner.mismatched_reply")
            response.close()
            return Unknown("mismatched_reply")
        if response.status == 200:
            if response.headers.get(SNAPSHOT_HEADER) != snapshot:
                return Unknown("wrong_snapshot")
            if body is None or not _is_json(body):
                return Unknown("bad_reply")
            return Answered(snapshot, body)
        if response.status == 409:
            return SnapshotAbsent()
        if response.headers.get(NOT_RUN_HEADER):
            return NotRun(response.headers[NOT_RUN_HEADER])
        if response.status == CANCELLED_STATUS:
            return Unknown("cancelled")
        return Unknown(f"status_{response.status}")

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Ask a target to cancel an attempt; the target then answers the attempt at once."""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                async with self._session.post(
                    f"{address}/v1/cancel", headers={ATTEMPT_HEADER: attempt_id}
                ) as response:
                    await _read_limited(response, MAX_STATE_BYTES)

    async def health(self, address: str, timeout_s: float) -> str:
        """Return the state from a replica's health check, an empty string if there is none."""
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(f"{address}/v1/health") as response:
                    payload = json.loads(await _read_limited(response, MAX_STATE_BYTES) or b"")
                    return str(payload.get("state", "")) if isinstance(payload, dict) else ""
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError):
            return ""

    async def refuses_connections(self, address: str, timeout_s: float) -> bool:
        """Whether a replica refuses connections, as after a crash."""
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(f"{address}/v1/health"):
                    return False
        except aiohttp.ClientConnectorError as error:
            return isinstance(error.os_error, ConnectionRefusedError)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def warm(self, address: str, connections: int, timeout_s: float) -> None:
        """Open connections to a replica in advance."""
        await asyncio.gather(*(self.health(address, timeout_s) for _ in range(connections)))


async def _read_limited(response: aiohttp.ClientResponse, max_bytes: int) -> bytes | None:
    """Read a body; close the connection and return ``None`` if it is longer than the limit."""
    chunks = []
    left = max_bytes
    async for chunk in response.content.iter_any():
        left -= len(chunk)
        if left < 0:
            response.close()
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _is_json(body: bytes) -> bool:
    # Decoded first: the parser accepts other encodings, too, in which no answer is sent on.
    try:
        json.loads(body.decode())
    except (ValueError, RecursionError):
        return False
    return True


@contextlib.asynccontextmanager
async def connected(
    connections: int, counters: counters_module.Counters
) -> abc.AsyncIterator[Client]:
    """
    Provide a client of one service's replicas; closes its connections at the end of the block.

    :param connections: maximum number of connections to each replica
    """
    trace_config = aiohttp.TraceConfig()

    async def on_connect_start(
        session: typing.Any, context: typing.Any, params: typing.Any
    ) -> None:
        context.started_at_s = time.monotonic()

    async def on_connect_end(session: typing.Any, context: typing.Any, params: typing.Any) -> None:
        counters.add("owner.connections_opened")
        counters.time_ms("owner.connect_ms", (time.monotonic() - context.started_at_s) * 1000)

    trace_config.on_connection_create_start.append(on_connect_start)
    trace_config.on_connection_create_end.append(on_connect_end)
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=connections, keepalive_timeout=KEEP_ALIVE_S
    )
    async with aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace_config],
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
    ) as session:
        yield Client(session, counters)
