"""
HTTP/1.1 client connection to a target or the store.

aiohttp's client silently retries idempotent requests on a stale connection and discards bytes after
a complete response. Both hide whether a request may have run, so this module uses httptools, a C
parser, directly.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import socket
import struct
import typing
from collections import abc

import attrs

from turmericlug.http1 import reading
from turmericlug.http1 import response_budget

CONNECT_TIMEOUT_S = 0.4
"""16 round trips of 25 ms between regions; Linux resends a lost SYN only after 1 s."""
MIN_STALL_S = 0.05
"""Lateness of a timer from which this process was stalled."""
USER_TIMEOUT_MS = 3000
"""Age limit of unacknowledged data; a partition otherwise blocks a connection for minutes."""
_TCP_INFO = struct.Struct("8B24I")
_TCP_INFO_RTT_INDEX = 8 + 15
"""Field index of the smoothed round-trip time (µs) in Linux's ``tcp_info``."""
SLICE_BYTES = 4096
"""Bytes that the parser gets at once, so that limits and memory are checked between slices."""
MAX_FRAMING_BYTES_PER_TURN = 4096
"""Bytes other than of a body that are parsed in one iteration of the event loop. Each header or
chunk takes as long as thousands of bytes of a body."""
RECEIVE_BUFFER_BYTES = 128 * 1024
"""Of a connection to a replica; the system takes twice this. At a round trip of 25 ms between
regions it allows 10 MB/s; the system's own limit is several megabytes for each connection."""
_connection_numbers = itertools.count(1)
_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class ConnectError(Exception):
    """No connection could be opened; nothing was sent."""


class ConnectRefusedError(ConnectError):
    """The address refused the connection."""


class ExchangeError(Exception):
    """The exchange ended without a complete response; the request may have run."""


class ConnectionLostError(ExchangeError):
    """The server closed or reset the connection before its response was complete."""


class ResponseLimitError(ExchangeError):
    """The response exceeded a limit on its size; the request may have run."""


Response = reading.Response


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(
        self,
        on_unexpected_bytes: abc.Callable[[], None] | None = None,
        source: response_budget.Source | None = None,
    ) -> None:
        self._transport: asyncio.Transport | None = None
        self._pending: asyncio.Future[Response] | None = None
        self._reader: reading.Reader | None = None
        self._on_unexpected_bytes = on_unexpected_bytes
        self._source = source
        self._holding: response_budget.Holding | None = None
        self._unread = memoryview(b"")
        """What was received and waits for memory, or for the next iteration of the event loop."""
        self.waits_for_memory = False
        """Whether the response waits, or waited until the exchange was given up, for memory."""
        self.number = next(_connection_numbers)
        """Identifies the connection in the log."""
        self.closed = False
        self.idle_since_s = 0.0
        self.keep_alive_timeout_s: float | None = None
        """Keep-alive timeout that the server announced; ``None`` without one."""
        self.exchanges = 0
        self.had_unnamed_response = False
        """Whether a response on it did not name its request; a late copy of such a response can't
        be told from the response to another request."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """
        Parse bytes of the pending response.

        Closes the connection on bytes without a pending request (a second response, or garbage
        after a complete one): they could be taken for the response to the next request.
        """
        if self._pending is None:
            if self._on_unexpected_bytes is not None:
                self._on_unexpected_bytes()
            self.close()
            return
        assert self._reader is not None
        try:
            self._parse(self._reader, memoryview(data))
        except reading.LimitError as error:
            self._fail(ResponseLimitError(str(error)))
            return
        except reading.ReadError as error:
            self._fail(ExchangeError(str(error)))
            return
        self._deliver()

    def _parse(self, reader: reading.Reader, data: memoryview) -> None:
        """Feed the parser until the response is complete, or reading has to pause."""
        framing_left = MAX_FRAMING_BYTES_PER_TURN
        while data:
            piece, data = data[:SLICE_BYTES], data[SLICE_BYTES:]
            body_bytes_before = reader.body_bytes
            reader.feed(piece)
            if reader.response is not None:
                reader.has_surplus |= bool(data)
                return
            if not self._has_memory(reader.required_bytes):
                self._pause(data)
                self._wait_for_memory(reader.required_bytes)
                return
            framing_left -= len(piece) - (reader.body_bytes - body_bytes_before)
            if framing_left <= 0 and data:
                self._pause(data)
                asyncio.get_running_loop().call_soon(self._go_on, reader)
                return

    def _has_memory(self, required_bytes: int) -> bool:
        if self._source is None or not required_bytes:
            return True
        if self._holding is None:
            self._holding = response_budget.Holding(self._source)
        if required_bytes < self._holding.size_bytes:
            # A chunk was passed on: what it took must not wait for the end of the response.
            self._holding.resize(required_bytes)
        is_held = required_bytes == self._holding.size_bytes
        return is_held or self._holding.reserve(required_bytes)

    def _wait_for_memory(self, required_bytes: int) -> None:
        assert self._holding is not None and self._source is not None
        if not self.waits_for_memory:
            self._source.on_wait(required_bytes)
        self.waits_for_memory = True
        self._holding.reserve_later(required_bytes, functools.partial(self._go_on, self._reader))

    def _pause(self, unread: memoryview) -> None:
        self._unread = unread
        if self._transport is not None and not self.closed:
            self._transport.pause_reading()

    def _go_on(self, reader: reading.Reader) -> None:
        """Parse what was left unread, unless the exchange has ended meanwhile."""
        if reader is not self._reader or self.closed:
            return
        self.waits_for_memory = False
        unread, self._unread = self._unread, memoryview(b"")
        if self._transport is not None:
            self._transport.resume_reading()
        self.data_received(unread)

    def eof_received(self) -> bool:
        """Complete a response that has no length and ends when the server closes."""
        self.closed = True
        if self._reader is not None:
            self._reader.end()
            self._deliver()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in flight."""
        self.closed = True
        self._fail(ConnectionLostError("connection reset" if error else "connection closed"))

    def _deliver(self) -> None:
        if self._pending is None or self._reader is None or self._reader.response is None:
            return
        response, pending = self._reader.response, self._pending
        self._pending = None
        if self._reader.has_surplus:
            # Deliver the response, but the next one on this connection could be anyone's.
            response = attrs.evolve(response, reusable=False)
            if self._on_unexpected_bytes is not None:
                self._on_unexpected_bytes()
        if self._transport is not None and self._transport.get_write_buffer_size():
            # After an early response, the server would read the unsent rest of the body as a
            # request.
            response = attrs.evolve(response, reusable=False)
        self.keep_alive_timeout_s = _keep_alive_timeout_s(response.header(b"keep-alive"))
        response = self._with_memory(response)
        self._drop_reader()
        if not response.reusable:
            self.close()
        if not pending.done():
            pending.set_result(response)

    def _with_memory(self, response: Response) -> Response:
        """Hand the memory of the body over to the response."""
        if self._source is None or not response.body:
            return response
        holding = self._holding or response_budget.Holding(self._source)
        self._holding = None
        holding.resize(len(response.body))
        return attrs.evolve(response, memory=holding)

    def _drop_reader(self) -> None:
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.close()
        self._unread = memoryview(b"")
        holding, self._holding = self._holding, None
        if holding is not None:
            holding.release()

    def _fail(self, error: ExchangeError) -> None:
        self._drop_reader()
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(error)
        self.close()

    async def exchange(
        self,
        request: bytes,
        on_interim: abc.Callable[[], None] | None = None,
        on_chunk: abc.Callable[[bytes], None] | None = None,
    ) -> Response:
        """
        Send one request and wait for its response.

        Cancellation closes the connection, which also makes the target drop the request.

        :param on_interim: called for each interim response (1xx)
        :param on_chunk: called for each chunk of the body as it arrives
        :raises ExchangeError: the request may have run
        """
        if self.closed or self._transport is None:
            raise ExchangeError("connection closed before sending")
        self.exchanges += 1
        self.waits_for_memory = False
        self._reader = reading.Reader(request.startswith(b"HEAD "), on_interim, on_chunk)
        self._pending = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await self._pending
        except asyncio.CancelledError:
            self._pending = None
            self._drop_reader()
            self.close()
            raise

    def close(self) -> None:
        """Abort the connection; unread and unsent bytes are lost."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


def _keep_alive_timeout_s(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        parameter, _, number = item.strip().partition(b"=")
        if parameter.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


async def connect(
    host: str,
    port: int,
    timeout_s: float = CONNECT_TIMEOUT_S,
    on_unexpected_bytes: abc.Callable[[], None] | None = None,
    source: response_budget.Source | None = None,
) -> Connection:
    """
    Open a connection.

    If this process stands still meanwhile, it may find the connection open only after the timeout,
    and gets the time of the stall once more, up to the timeout.

    :param on_unexpected_bytes: called when bytes arrive that belong to no pending request
    :param source: the share of memory for responses; ``None``: without a limit on their sum
    :raises ConnectError: the address refuses, is unreachable or does not accept in time
    """
    loop = asyncio.get_running_loop()
    opening = asyncio.create_task(
        loop.create_connection(lambda: Connection(on_unexpected_bytes, source), host, port)
    )
    try:
        await _wait_beside_stalls(opening, timeout_s)
        if not opening.done():
            raise ConnectError("no connection in time")
        transport, connection = opening.result()
    except ConnectionRefusedError as error:
        raise ConnectRefusedError(type(error).__name__) from error
    except (OSError, ValueError, OverflowError) as error:
        # A host that is no name, or a port out of range, raises one of the latter.
        raise ConnectError(type(error).__name__) from error
    except (ConnectError, asyncio.CancelledError):
        opening.cancel()
        opening.add_done_callback(_abort_late_connection)
        raise
    set_socket_options(transport)
    if source is not None:
        _limit_receive_buffer(transport)
    return connection


def _limit_receive_buffer(transport: asyncio.BaseTransport) -> None:
    """Limit what the system receives for a connection that pauses: it is memory of the machine."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


async def _wait_beside_stalls(task: asyncio.Task[typing.Any], timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    await asyncio.wait((task,), timeout=timeout_s)
    stalled_s = loop.time() - end_s
    if not task.done() and stalled_s > MIN_STALL_S:
        await asyncio.wait((task,), timeout=min(stalled_s, timeout_s))


def _abort_late_connection(opening: asyncio.Task[typing.Any]) -> None:
    """Abort a connection that was opened at the moment at which it was given up."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].abort()


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """
    Disable Nagle's algorithm and limit the time without acknowledgements.

    A peer that lost power or is behind a partition acknowledges nothing; without the limit, the
    connection blocks for as long as the operating system retransmits.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Return the operating system's estimate of the round-trip time; 0 if there is none."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        return _TCP_INFO.unpack(info)[_TCP_INFO_RTT_INDEX] / 1e6
    except (OSError, struct.error):
        return 0.0


def peer_host(transport: asyncio.BaseTransport) -> str:
    """Return the remote address of a connection; empty if there is none."""
    name = transport.get_extra_info("peername")
    return str(name[0]) if name else ""


def end_to_end(headers: abc.Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers without hop-by-hop headers and the message framing."""
    headers = list(headers)
    hop_by_hop = set(_HOP_HEADERS)
    for name, value in headers:
        if name == b"connection":
            hop_by_hop.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name not in hop_by_hop]


def request_bytes(
    method: bytes, target: bytes, headers: abc.Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Encode a request, with a ``content-length`` where it has a body."""
    lines = [method + b" " + target + b" HTTP/1.1\r\n"]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)
