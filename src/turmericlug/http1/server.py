"""
The callers' side of HTTP/1.1.

Sits on the C parser: the limits of the configuration on the size and the pace of a head, the answer
to a request that crosses a close, and the moment at which a caller leaves all have to be exact.
"""

from __future__ import annotations

import asyncio
import collections
import http
import socket
import typing
from collections import abc

import httptools

from turmericlug.http1 import client as client_module
from turmericlug.http1 import messages
from turmericlug.telemetry import decisions

LINGER_S = 1.0
"""A refused caller that is still sending needs about a round trip to read the refusal; closing with
unread bytes resets the connection and takes the refusal away."""
BACKLOG = 1024
"""Connections that may wait to be taken: a full queue costs a caller a second."""
_BODILESS = (204, 304)
_IDLE_SLACK_S = 1.0
_IDLE_MEMORY_S = 30.0


class Server:
    """The connections of one listening address and what they share."""

    def __init__(
        self,
        handler: messages.Handler,
        limits: abc.Callable[[], messages.Limits],
        max_connections: int,
        interim: bytes = b"",
        stalled_s: abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        """
        Make a server.

        :param interim: what is written at once when a request was read, before its answer
        :param stalled_s: tells for how long the process has just stood still
        """
        self.stalled_s = stalled_s
        self.interim = interim
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.connections: set[_Connection] = set()
        self.leaving = False
        self._longest_idle: collections.deque[tuple[float, float]] = collections.deque()

    def idle_timeout_s(self, now_s: float) -> float:
        """
        Return how long an idle connection is kept.

        A shorter limit in a new configuration is not known to callers at once: a connection that
        closes by the new limit while the caller still goes by the old one loses the request that
        crosses the close. So the longest limit of the last half minute counts.
        """
        limit_s = self.limits().idle_timeout_s
        seen = self._longest_idle
        if not seen or seen[-1][1] != limit_s:
            seen.append((now_s, limit_s))
        while len(seen) > 1 and seen[1][0] < now_s - _IDLE_MEMORY_S:
            seen.popleft()
        return max(each for _, each in seen) + _IDLE_SLACK_S

    def leave(self) -> None:
        """Ask each caller to close: every answer from now on says so."""
        self.leaving = True

    def close(self) -> None:
        """End every connection."""
        for connection in list(self.connections):
            connection.shut()


class _Connection(asyncio.Protocol):
    """One caller's connection: reads requests, answers them in order, one at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport = None  # type: ignore[assignment]
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[messages.Request] = collections.deque()
        self._work: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._refused = False
        self._last = False
        self._requests = 0
        self._begin_message()

    @property
    def busy(self) -> bool:
        """Whether a request was read that has no answer yet."""
        return self._work is not None or bool(self._queue)

    def _begin_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._body: list[bytes] = []
        self._head_size = 0
        self._body_size = 0
        self._arrived_s: float | None = None
        self._head_done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, or refuse it when too many are open."""
        self._transport = typing.cast(asyncio.Transport, transport)
        client_module.tune(transport)
        self._server.connections.add(self)
        if len(self._server.connections) > self._server.max_connections:
            decisions.log("caller.refused", reason="connections")
            self._refuse(503, "too many connections")
            return
        self._wait_for_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the work of a caller that has left."""
        self._server.connections.discard(self)
        self._stop_timer()
        self._queue.clear()
        if self._work is not None:
            self._work.cancel()

    def eof_received(self) -> bool:
        """Take a caller that closes its side as gone: a half close looks no different."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what has come; everything after a refusal is dropped."""
        if self._refused or self._last:
            return
        if self._arrived_s is None:
            self._arrived_s = self._loop.time()
            if self._work is None:
                self._limit_head()
        if not self._head_done:
            self._head_size += len(data)
            if self._head_size > self._server.limits().header_bytes + (
                self._server.limits().body_bytes
            ):
                self._refuse(431, "head too large")
                return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._last = True
        except httptools.HttpParserError as error:
            if not self._refused:
                decisions.log("caller.refused", reason="unreadable", detail=str(error)[:100])
                self._refuse(400, "unreadable request")
            return
        if not self._head_done and self._seen_head_bytes() > self._server.limits().header_bytes:
            self._refuse(431, "head too large")

    def _seen_head_bytes(self) -> int:
        return len(self._target) + sum(len(key) + len(value) + 4 for key, value in self._headers)

    def on_url(self, url: bytes) -> None:
        """Parser callback: a piece of the request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Parser callback: check the head before any body is read."""
        self._head_done = True
        if self._refused:
            return
        if self._seen_head_bytes() > self._server.limits().header_bytes:
            self._refuse(431, "head too large")
            return
        length = next((value for key, value in self._headers if key == b"content-length"), b"0")
        if length.isdigit() and int(length) > self._server.limits().body_bytes:
            self._refuse(413, "body too large")
            return
        if any(key == b"expect" for key, _ in self._headers):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        self._body_size += len(body)
        if self._body_size > self._server.limits().body_bytes:
            if not self._refused:
                self._refuse(413, "body too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Parser callback: a request is whole."""
        if self._refused:
            return
        request = self._request()
        if not self._parser.should_keep_alive():
            self._last = True
        if self._server.interim:
            self._transport.write(self._server.interim)
        self._begin_message()
        self._queue.append(request)
        if self._work is None:
            self._stop_timer()
            self._work = self._loop.create_task(self._serve())
        else:
            # A caller that sends many requests ahead waits, instead of filling the memory.
            self._transport.pause_reading()

    def _request(self) -> messages.Request:
        """
        Make the request that was read.

        A caller's goal counts from its first packet. On a new connection that is one and a half
        round trips before the request arrives, else half of one.
        """
        arrived_s = self._arrived_s or self._loop.time()
        round_trip_s = client_module.round_trip_s(self._transport)
        trips = 0.5 if self._requests else 1.5
        self._requests += 1
        return messages.Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
            arrived_s,
            arrived_s - trips * round_trip_s,
            round_trip_s / 2,
            self._server.stalled_s(),
            client_module.peer_host(self._transport),
        )

    async def _serve(self) -> None:
        try:
            while self._queue and not self._transport.is_closing():
                request = self._queue.popleft()
                answer = await self._handled(request)
                close = answer.close or self._server.leaving or (self._last and not self._queue)
                await self._write(request, answer, close)
                if close:
                    self._linger()
                    return
        finally:
            self._work = None
        if not self._transport.is_closing():
            self._transport.resume_reading()
            if self._arrived_s is None:
                self._wait_for_request()
            else:
                self._limit_head()

    async def _handled(self, request: messages.Request) -> messages.Answer:
        try:
            return await self._server.handler(request)
        except Exception as error:
            # A fault of ours must not end the connection without an answer; nothing is promised.
            decisions.log("caller.failed", reason=f"{type(error).__name__}: {error}"[:300])
            return messages.Answer(500, close=True)

    async def _write(self, request: messages.Request, answer: messages.Answer, close: bool) -> None:
        idle_s = int(self._server.limits().idle_timeout_s)
        self._transport.write(_answer_bytes(request.method, answer, close, idle_s))
        if answer.chunks is None:
            return
        async for chunk in answer.chunks:
            self._transport.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        self._transport.write(b"0\r\n\r\n")

    def _refuse(self, status: int, reason: str) -> None:
        """Answer what can't be read as a request, and close once the caller had time to read it."""
        self._refused = True
        self._stop_timer()
        if self._work is not None:
            # Earlier requests on this connection are still owed their answers, in order.
            self._last = True
            self._work.add_done_callback(lambda _: self._refuse_now(status, reason))
            return
        self._refuse_now(status, reason)

    def _refuse_now(self, status: int, reason: str) -> None:
        if self._transport.is_closing():
            return
        extra = ((b"retry-after", b"0.5"),) if status == 503 else ()
        answer = messages.Answer(status, extra, reason.encode())
        self._transport.write(_answer_bytes(b"GET", answer, True, 0))
        self._linger()

    def _linger(self) -> None:
        """Close our side and drop what still comes, so that the answer isn't lost to a reset."""
        self._last = True
        self._stop_timer()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = self._loop.call_later(LINGER_S, self._transport.abort)

    def _wait_for_request(self) -> None:
        self._stop_timer()
        idle_s = self._server.idle_timeout_s(self._loop.time())
        self._timer = self._loop.call_later(idle_s, self._idle_over)

    def _idle_over(self) -> None:
        if not self.busy:
            self.shut()

    def _limit_head(self) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(
            self._server.limits().header_timeout_s, self._head_too_slow
        )

    def _head_too_slow(self) -> None:
        if self._head_done:
            # The body may take as long as the head did once more, so that a slow but live caller
            # is served and a stalled one does not hold a connection for good.
            self._timer = self._loop.call_later(
                self._server.limits().idle_timeout_s, lambda: self._refuse(408, "body too slow")
            )
            return
        self._refuse(408, "head too slow")

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def shut(self) -> None:
        """Close after what was written has left."""
        self._stop_timer()
        self._transport.close()


def _answer_bytes(method: bytes, answer: messages.Answer, close: bool, idle_s: int) -> bytes:
    try:
        phrase = http.HTTPStatus(answer.status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    lines = [b"HTTP/1.1 %d %s\r\n" % (answer.status, phrase)]
    lines += [name + b": " + value + b"\r\n" for name, value in answer.headers]
    if answer.chunks is not None:
        lines.append(b"transfer-encoding: chunked\r\n")
    elif answer.status not in _BODILESS:
        lines.append(b"content-length: %d\r\n" % len(answer.body))
    if close:
        lines.append(b"connection: close\r\n")
    elif idle_s:
        lines.append(b"keep-alive: timeout=%d\r\n" % idle_s)
    lines.append(b"\r\n")
    if method != b"HEAD" and answer.status not in _BODILESS and answer.chunks is None:
        lines.append(answer.body)
    return b"".join(lines)


async def listen(
    server: Server, host: str, port: int, early: socket.socket | None = None
) -> asyncio.Server:
    """
    Accept connections; ready to serve when this returns.

    :param early: listens at the address already
    """
    loop = asyncio.get_running_loop()
    if early is not None:
        return await loop.create_server(lambda: _Connection(server), sock=early, backlog=BACKLOG)
    return await loop.create_server(lambda: _Connection(server), host, port, backlog=BACKLOG)
