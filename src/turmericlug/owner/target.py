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

from turmericlug.owner import reply_budget
from turmericlug.owner import target_protocol
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events

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
MIN_CHUNK_BYTES = 256
"""Least mean size of the chunks of a reply, beyond the first ``MAX_SMALL_CHUNKS``: each takes time
of the event loop, however short it is."""
MAX_SMALL_CHUNKS = 1024
NO_MEMORY = "memory"
"""Reason of a reply that is not read to its end, as the replies held take all the memory."""
MAX_REASON_LENGTH = 64
"""Of the reason that a target gives, which goes to callers, other instances and the log."""
_LOG_LINES_PER_S = 10
_OWN_MB = 64
"""Memory for replies of a client that shares it with no other."""
_READ_BUFFER_BYTES = 64 * 1024
"""Received and not read yet from one connection, at which it pauses."""


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

    def __init__(
        self,
        session: aiohttp.ClientSession,
        counters: counters_module.Counters,
        share: reply_budget.Share,
    ) -> None:
        self._session = session
        self._counters = counters
        self._share = share
        self._log_limiter = events.Limiter(_LOG_LINES_PER_S)

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
                    with self._held() as reserve:
                        return await self._read_outcome(response, attempt_id, snapshot, reserve)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            target_protocol.drop_tracebacks(error)
            return _outcome_of(error)

    @contextlib.contextmanager
    def _held(self) -> abc.Iterator[_Reserve]:
        """Provide a function that holds bytes of a reply until the end of the block."""
        held_bytes = 0

        def reserve(size_bytes: int) -> bool:
            nonlocal held_bytes
            if not self._share.reserve_read(size_bytes):
                return False
            held_bytes += size_bytes
            return True

        try:
            yield reserve
        finally:
            self._share.release_read(held_bytes)

    async def _read_outcome(
        self,
        response: aiohttp.ClientResponse,
        attempt_id: str,
        snapshot: str,
        reserve: _Reserve,
    ) -> Outcome:
        body = await _read_limited(response, MAX_REPLY_BYTES, reserve)
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
            if isinstance(body, _Unread):
                return self._not_read(body.reason, attempt_id)
            if not _is_json(body):
                return Unknown("bad_reply")
            self._share.record_size(len(body))
            return Answered(snapshot, body)
        if response.status == 409:
            return SnapshotAbsent()
        if response.headers.get(NOT_RUN_HEADER):
            return NotRun(response.headers[NOT_RUN_HEADER][:MAX_REASON_LENGTH])
        if response.status == CANCELLED_STATUS:
            return Unknown("cancelled")
        return Unknown(f"status_{response.status}")

    def _not_read(self, reason: str, attempt_id: str) -> Unknown:
        self._counters.add(f"owner.reply_not_read.{reason}")
        held_bytes = self._share.held_bytes
        self._log_limiter.emit(
            "target.reply_not_read", attempt=attempt_id, reason=reason, held_bytes=held_bytes
        )
        return Unknown(NO_MEMORY if reason == NO_MEMORY else "bad_reply")

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Ask a target to cancel an attempt; the target then answers the attempt at once."""
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                async with self._session.post(
                    f"{address}/v1/cancel", headers={ATTEMPT_HEADER: attempt_id}
                ) as response:
                    await _read_limited(response, MAX_STATE_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            target_protocol.drop_tracebacks(error)

    async def health(self, address: str, timeout_s: float) -> str:
        """Return the state from a replica's health check, an empty string if there is none."""
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(f"{address}/v1/health") as response:
                    body = await _read_limited(response, MAX_STATE_BYTES)
                    payload = None if isinstance(body, _Unread) else json.loads(body)
                    return str(payload.get("state", "")) if isinstance(payload, dict) else ""
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
            target_protocol.drop_tracebacks(error)
            return ""

    async def refuses_connections(self, address: str, timeout_s: float) -> bool:
        """Whether a replica refuses connections, as after a crash."""
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.get(f"{address}/v1/health"):
                    return False
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            target_protocol.drop_tracebacks(error)
            is_connect_error = isinstance(error, aiohttp.ClientConnectorError)
            return is_connect_error and isinstance(error.os_error, ConnectionRefusedError)

    async def warm(self, address: str, connections: int, timeout_s: float) -> None:
        """Open connections to a replica in advance."""
        await asyncio.gather(*(self.health(address, timeout_s) for _ in range(connections)))


def _outcome_of(error: Exception) -> NotRun | Unknown:
    match error:
        case aiohttp.ClientConnectorError():
            return NotRun("connect_failed")
        case TimeoutError():
            return Unknown("timeout")
        case aiohttp.ClientPayloadError():
            return Unknown("truncated_reply")
    return CONNECTION_LOST


@dataclasses.dataclass(frozen=True, slots=True)
class _Unread:
    """A body that was not read to its end; ``reason`` names a counter."""

    reason: str


_Reserve = abc.Callable[[int], bool]


async def _read_limited(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    reserve: _Reserve = lambda size_bytes: True,
) -> bytes | _Unread:
    """
    Read a body; close the connection if it exceeds a limit.

    :param reserve: holds bytes before they are kept; returns false if there is no memory
    """
    pieces: list[bytes] = []
    size_bytes = chunks = 0
    async for piece, ends_chunk in response.content.iter_chunks():
        chunks += ends_chunk
        reason = ""
        if size_bytes + len(piece) > max_bytes:
            reason = "too_long"
        elif chunks > MAX_SMALL_CHUNKS + size_bytes // MIN_CHUNK_BYTES:
            reason = "small_chunks"
        elif not reserve(len(piece)):
            reason = NO_MEMORY
        if reason:
            response.close()
            return _Unread(reason)
        size_bytes += len(piece)
        pieces.append(piece)
    return b"".join(pieces)


def _is_json(body: bytes) -> bool:
    # Decoded first: the parser accepts other encodings, too, in which no answer is sent on.
    try:
        json.loads(body.decode())
    except (ValueError, RecursionError):
        return False
    return True


@contextlib.asynccontextmanager
async def connected(
    connections: int,
    counters: counters_module.Counters,
    share: reply_budget.Share | None = None,
) -> abc.AsyncIterator[Client]:
    """
    Provide a client of one service's replicas; closes its connections at the end of the block.

    :param connections: maximum number of connections to each replica
    :param share: of the memory for replies; by default, one that no other client uses
    """
    trace_config = aiohttp.TraceConfig()

    async def on_connect_start(
        session: typing.Any, context: typing.Any, params: typing.Any
    ) -> None:
        context.started_at_s = time.monotonic()

    async def on_connect_end(session: typing.Any, context: typing.Any, params: typing.Any) -> None:
        counters.add("owner.connections_opened")
        counters.time_ms("owner.connect_ms", (time.monotonic() - context.started_at_s) * 1000)

    log_limiter = events.Limiter(_LOG_LINES_PER_S)

    def on_unasked(address: typing.Any) -> None:
        counters.add("owner.unasked_reply")
        log_limiter.emit("target.unasked_reply", address=address)

    trace_config.on_connection_create_start.append(on_connect_start)
    trace_config.on_connection_create_end.append(on_connect_end)

    connector = target_protocol.Connector(
        on_unasked,
        limit=0,
        limit_per_host=connections,
        keepalive_timeout=KEEP_ALIVE_S,
    )
    async with aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace_config],
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        read_bufsize=_READ_BUFFER_BYTES,
    ) as session:
        yield Client(session, counters, share or reply_budget.of_memory(_OWN_MB).share(""))
