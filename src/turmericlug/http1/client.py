"""
One connection towards a target or the store.

aiohttp's client repeats idempotent requests by itself on a stale connection and drops bytes that
follow a complete response without a sign. Both hide what decides whether a request may have run, so
this module sits directly on the C parser that the library builds on.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections import abc

import attrs
import httptools

CONNECT_TIMEOUT_S = 0.4
"""Sixteen round trips between regions of 25 ms; a lost opening packet is sent again after 1 s."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Bounds memory per response; the largest bodies measured are some tens of kilobytes."""
USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes end a connection after this; a partition otherwise hangs it for minutes."""
_TCP_INFO = struct.Struct("8B24I")
_TCP_INFO_RTT = 8 + 15
"""Place of the smoothed round trip, in microseconds, in the kernel's ``tcp_info``."""
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
    """No connection could be opened: nothing was sent."""


class ConnectRefusedError(ConnectError):
    """Nobody listens at the address."""


class ExchangeError(Exception):
    """The exchange ended without a whole response; the request may have run."""


class ConnectionLostError(ExchangeError):
    """The other side ended the connection while it had the request."""


@attrs.frozen
class Response:
    """A whole response as it was received."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reusable: bool
    """Whether the connection may carry another request."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@dataclasses.dataclass
class _Partial:
    """What has been received of a response so far."""

    headers: list[tuple[bytes, bytes]]
    body: list[bytes]
    reason: bytes = b""
    size: int = 0
    head_done: bool = False


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self, on_unasked: abc.Callable[[], None] | None = None) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiting: asyncio.Future[Response] | None = None
        self._part = _Partial([], [])
        self._complete: Response | None = None
        self._on_unasked = on_unasked
        self.closed = False
        self.idle_since_s = 0.0
        self.keep_idle_s: float | None = None
        """How long the other side says that it keeps an idle connection."""
        self.exchanges = 0
        self._on_interim: abc.Callable[[], None] | None = None
        self._on_chunk: abc.Callable[[bytes], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """
        Take bytes of the response that is waited for.

        Bytes that nothing waits for (a second response, garbage behind a complete one) belong to no
        request: the connection is closed, since the next response on it could be another one's.
        """
        if self._waiting is None:
            if self._on_unasked is not None:
                self._on_unasked()
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # A complete response followed by garbage: the response stands, the connection doesn't.
            if self._complete is None:
                self._fail(ExchangeError(f"unreadable response: {error}"))
                return
            self._spoil()
        self._deliver()

    def eof_received(self) -> bool:
        """End a response that has no length, which is complete when the other side closes."""
        self.closed = True
        if self._waiting is not None and self._part.head_done and self._ends_with_connection():
            self._finish(reusable=False)
            self._deliver()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange that was under way."""
        self.closed = True
        self._fail(ConnectionLostError("connection reset" if error else "connection closed"))

    def on_status(self, reason: bytes) -> None:
        """Parser callback: reason phrase."""
        self._part.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        self._part.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Parser callback: end of the head."""
        self._part.head_done = True

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        self._part.size += len(body)
        if self._part.size > MAX_RESPONSE_BYTES:
            self._fail(ExchangeError("response too large"))
            return
        self._part.body.append(body)

    def on_chunk_complete(self) -> None:
        """Parser callback: a chunk of the body is whole."""
        if self._on_chunk is not None and self._part.body:
            self._on_chunk(b"".join(self._part.body))
            self._part.body.clear()

    def on_message_begin(self) -> None:
        """Parser callback: a response begins; a second one spoils the connection."""
        if self._complete is not None:
            self._spoil()
            return
        self._part = _Partial([], [])

    def on_message_complete(self) -> None:
        """Parser callback: a response is whole; informational ones (1xx) are passed over."""
        if self._complete is not None:
            return
        if 100 <= self._parser.get_status_code() < 200:
            self._part = _Partial([], [])
            if self._on_interim is not None:
                self._on_interim()
            return
        # An early answer to a long body: what is left of the body would be read as a request.
        unsent = self._transport.get_write_buffer_size() if self._transport else 0
        self._finish(reusable=self._parser.should_keep_alive() and not unsent)

    def _ends_with_connection(self) -> bool:
        names = {name for name, _ in self._part.headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    def _finish(self, reusable: bool) -> None:
        part = self._part
        self._complete = Response(
            self._parser.get_status_code(),
            part.reason,
            tuple(part.headers),
            b"".join(part.body),
            reusable,
        )

    def _spoil(self) -> None:
        if self._complete is not None:
            self._complete = attrs.evolve(self._complete, reusable=False)
        self.closed = True
        if self._on_unasked is not None:
            self._on_unasked()

    def _deliver(self) -> None:
        if self._complete is None or self._waiting is None:
            return
        response, waiting = self._complete, self._waiting
        self._complete = self._waiting = None
        self._parser = httptools.HttpResponseParser(self)
        self.keep_idle_s = _keep_idle_s(response.header(b"keep-alive"))
        if not response.reusable:
            self.close()
        if not waiting.done():
            waiting.set_result(response)

    def _fail(self, error: ExchangeError) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_exception(error)
        self.close()

    async def exchange(
        self,
        request: bytes,
        on_interim: abc.Callable[[], None] | None = None,
        on_chunk: abc.Callable[[bytes], None] | None = None,
    ) -> Response:
        """
        Send one request and wait for its response.

        A cancelled exchange closes the connection, which also tells the target to drop the work.

        :param on_interim: called for each informational response (1xx)
        :param on_chunk: called for each chunk of the body as it arrives
        :raises ExchangeError: the request may have run
        """
        if self.closed or self._transport is None:
            raise ExchangeError("connection closed before sending")
        self.exchanges += 1
        self._on_interim = on_interim
        self._on_chunk = on_chunk
        self._waiting = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await self._waiting
        except asyncio.CancelledError:
            self._waiting = None
            self.close()
            raise

    def close(self) -> None:
        """Close at once; unread and unsent bytes are lost."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()


def _keep_idle_s(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        key, _, number = item.strip().partition(b"=")
        if key.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


async def connect(
    host: str,
    port: int,
    timeout_s: float = CONNECT_TIMEOUT_S,
    on_unasked: abc.Callable[[], None] | None = None,
) -> Connection:
    """
    Open a connection.

    :param on_unasked: called when bytes come that no request waits for
    :raises ConnectError: refused, unreachable, or not open in time
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(
                lambda: Connection(on_unasked), host, port
            )
    except TimeoutError:
        raise ConnectError("no connection in time") from None
    except ConnectionRefusedError as error:
        raise ConnectRefusedError(type(error).__name__) from error
    except OSError as error:
        raise ConnectError(type(error).__name__) from error
    tune(transport)
    return connection


def tune(transport: asyncio.BaseTransport) -> None:
    """
    Bound how long a connection may go without acknowledgements.

    A peer that lost power or is behind a partition answers nothing; without the bound the
    connection hangs for as long as the kernel sends again.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Return the kernel's estimate of a connection's round trip; 0 where it gives none."""
    raw = transport.get_extra_info("socket")
    if raw is None:
        return 0.0
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        return _TCP_INFO.unpack(info)[_TCP_INFO_RTT] / 1e6
    except (OSError, struct.error):
        return 0.0


def peer_host(transport: asyncio.BaseTransport) -> str:
    """Return the address at the other end of a connection; empty where there is none."""
    name = transport.get_extra_info("peername")
    return str(name[0]) if name else ""


def end_to_end(headers: abc.Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers that are not about one connection or the framing of one message."""
    headers = list(headers)
    named = set(_HOP_HEADERS)
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name not in named]


def request_bytes(
    method: bytes, target: bytes, headers: abc.Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """Write a request with its length."""
    lines = [method + b" " + target + b" HTTP/1.1\r\n"]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)
