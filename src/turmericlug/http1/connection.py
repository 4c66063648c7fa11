"""A caller's connection: parses requests and writes responses, in order, one at a time."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import typing

import httptools

from turmericlug.http1 import client as client_module
from turmericlug.http1 import framing
from turmericlug.http1 import messages
from turmericlug.http1 import outgoing
from turmericlug.http1 import sizes
from turmericlug.http1 import unparsed
from turmericlug.telemetry import decisions

if typing.TYPE_CHECKING:
    from turmericlug.http1 import server as server_module

LINGER_S = 1.0
"""A rejected caller that is still sending needs about a round trip to read the response; closing
with unread bytes resets the connection and discards the response."""
SLICE_BYTES = 4096
"""Bytes that are parsed at once. More may hold thousands of requests, chunks or headers, which are
checked against the limits in between."""
PIECES_PER_TURN = 64
"""Headers and pieces of a body in a slice, beyond which others have a turn before the next one."""
_START_LINE_BYTES = 1024
"""Bytes of a head beyond its target and headers: method, version, white space, empty lines."""
_EMPTY_LINE = b"\r\n"
"""Some callers send one behind a body."""
_BODY = "body"
_HEADER_OVERHEAD_BYTES = 150
"""Memory of a header beside its name and value: a tuple and two bytes objects."""


class _RejectedError(Exception):
    """Stops the parser, as the request has been rejected."""


class Connection(asyncio.Protocol):
    """A caller's connection: reads requests and answers them in order, one at a time."""

    def __init__(self, server: server_module.Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport = None  # type: ignore[assignment]
        self._outgoing: outgoing.Outgoing = None  # type: ignore[assignment]
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[messages.Request] = collections.deque()
        self._serve_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._rejected = False
        self._must_close = False
        self._end_sent = False
        self._requests = 0
        self._pieces = 0
        self._has_pipelined = False
        self._unparsed = unparsed.Unparsed(server.budget)
        self._queued_bytes: collections.deque[int] = collections.deque()
        """Bytes held for each request of the queue."""
        self._begin_message()

    @property
    def busy(self) -> bool:
        """Whether a request was read and has no response yet."""
        return self._serve_task is not None or bool(self._queue)

    def _begin_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._held_bytes = 0
        self._held_head_bytes = 0
        self._head_bytes = 0
        self._body = bytearray()
        limit = self._server.limits().header_bytes
        self._sizes = sizes.Sizes(limit + _START_LINE_BYTES, limit)
        self._arrived_s: float | None = None
        self._head_done = False
        self._announced_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reject it when too many are open."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._outgoing = outgoing.Outgoing(
            self._transport, self._server.budget, self._server.slow_callers
        )
        self._server.opening.discard(self)
        self._server.connections.add(self)
        try:
            self._begin()
        except Exception:
            # The event loop reports the error, and would leave the connection open.
            self._transport.abort()
            raise

    def _begin(self) -> None:
        client_module.set_socket_options(self._transport)
        if len(self._server.connections) > self._server.max_connections:
            self._rejected = True
            self._outgoing.write(self._server.refuse_connection())
            self._linger()
            return
        self._start_idle_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a caller that disconnected."""
        self._server.connections.discard(self)
        self._stop_timer()
        self._outgoing.end()
        self._queue.clear()
        self._release_unread()
        self._server.budget.release(sum(self._queued_bytes))
        self._queued_bytes.clear()
        # The parser and the connection refer to each other; a garbage collection may be long off.
        self._parser = None  # type: ignore[assignment]
        if self._serve_task is not None:
            self._serve_task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller takes the response more slowly than it is written."""
        self._outgoing.pause()

    def resume_writing(self) -> None:
        """Note that the whole response is sent."""
        self._outgoing.resume()

    def eof_received(self) -> bool:
        """Treat end of input as a disconnect, since a half close can't be told from one."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; discard everything after a rejected or last request."""
        if self._rejected or self._must_close:
            return
        if self._unparsed.data:
            self._keep(memoryview(data), self._loop.time())
        elif len(data) <= SLICE_BYTES:
            self._parse(data, self._loop.time())
        else:
            self._parse_slices(memoryview(data), self._loop.time())

    def _parse_slices(self, data: memoryview, arrived_s: float) -> None:
        """Parse until a request is to be served, or a turn of the event loop is due."""
        while data and not (self._rejected or self._must_close):
            # What remains of a body with a length is a single piece, and counts already.
            size, pieces_before = max(SLICE_BYTES, self._body_left_bytes()), self._pieces
            self._parse(data[:size], arrived_s)
            data = data[size:]
            must_wait = self._serve_task is not None and not self._body_left_bytes()
            if len(data) <= len(_EMPTY_LINE):
                must_wait = False  # While something waits, a caller that leaves isn't noticed.
            if data and (must_wait or self._pieces - pieces_before > PIECES_PER_TURN):
                self._keep(data, arrived_s)
                return
        self._unparsed.drop()

    def _body_left_bytes(self) -> int:
        return max(0, self._announced_bytes - len(self._body)) if self._head_done else 0

    def _keep(self, data: memoryview, arrived_s: float) -> None:
        if self._rejected or self._must_close:
            self._unparsed.drop()
            return
        if not self._unparsed.keep(data, arrived_s):
            self._reject_for_memory()
            return
        self._transport.pause_reading()
        if self._serve_task is None:
            self._loop.call_soon(self._parse_kept)

    def _parse_kept(self) -> None:
        """Parse what was kept, and read on if nothing remains of it."""
        if self._transport.is_closing():
            return
        if self._unparsed.data and self._serve_task is None:
            self._parse_slices(*self._unparsed.take())
        if not self._unparsed.data and not self._has_pipelined:
            self._transport.resume_reading()

    def _parse(self, data: bytes | memoryview, arrived_s: float) -> None:
        if self._arrived_s is None:
            self._arrived_s = arrived_s
            if self._serve_task is None:
                self._start_head_timer()
        head_was_done = self._head_done
        body_size_before, requests_before = len(self._body), self._requests
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._must_close = True
        except httptools.HttpParserError as error:
            if not self._rejected:
                self._reject_unreadable(str(error))
            return
        if not self._rejected and self._requests == requests_before:
            body_size = len(self._body) - body_size_before
            too_large = self._sizes.count(len(data), body_size, head_was_done, self._head_done)
            if too_large:
                self._reject_large(431 if too_large == sizes.HEAD else 413, too_large)
            elif not self._head_done:
                with contextlib.suppress(_RejectedError):
                    self._hold(self._sizes.head_bytes + self._header_overhead_bytes())

    def _reject_unreadable(self, detail: str) -> None:
        self._reject(400, "unreadable", "unreadable request", detail=detail[:100])

    def _reject_large(self, status: int, part: str) -> None:
        limits = self._server.limits()
        limit_bytes = limits.body_bytes if part == _BODY else limits.header_bytes
        self._reject(status, f"{part}_too_large", f"{part} too large", limit_bytes=limit_bytes)

    def _reject_for_memory(self) -> None:
        self._reject(
            503,
            "memory",
            "requests in progress take too much memory",
            held_bytes=self._server.budget.held_bytes,
        )

    def on_url(self, url: bytes) -> None:
        """Parser callback: a piece of the request's target."""
        self._count_head(len(url))
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header, or one trailer, which has no meaning here."""
        self._pieces += 1
        if self._head_done:
            return
        self._count_head(len(name) + len(value) + len(b": \r\n"))
        self._headers.append((name.lower(), value))

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits().header_bytes:
            self._reject_large(431, sizes.HEAD)
            raise _RejectedError

    def on_headers_complete(self) -> None:
        """Parser callback: check the framing of the body before reading it."""
        self._head_done = True
        if not framing.is_clear(self._parser.get_http_version(), self._headers):
            self._reject_unreadable("transfer-encoding or version")
            raise _RejectedError
        self._announced_bytes = framing.announced_bytes(self._headers)
        if self._announced_bytes > self._server.limits().body_bytes:
            self._reject_large(413, _BODY)
            raise _RejectedError
        self._held_head_bytes = self._head_bytes + self._header_overhead_bytes()
        self._hold(self._held_head_bytes + self._announced_bytes)
        if any(name == b"expect" for name, _ in self._headers):
            self._outgoing.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        self._pieces += 1
        if len(self._body) + len(body) > self._server.limits().body_bytes:
            self._reject_large(413, _BODY)
            raise _RejectedError
        self._hold(self._held_head_bytes + len(self._body) + len(body))
        self._body += body

    def _header_overhead_bytes(self) -> int:
        return len(self._headers) * _HEADER_OVERHEAD_BYTES

    def _hold(self, size_bytes: int) -> None:
        """Hold what the request takes so far, or refuse it if all requests get too large."""
        further_bytes = size_bytes - self._held_bytes
        if further_bytes <= 0:
            return
        if not self._server.budget.reserve(further_bytes):
            self._reject_for_memory()
            raise _RejectedError
        self._held_bytes = size_bytes

    def _release_unread(self) -> None:
        """Drop what was read of a request that will not be served."""
        self._unparsed.drop()
        self._server.budget.release(self._held_bytes)
        self._held_bytes = 0
        self._body.clear()
        self._headers.clear()

    def on_message_complete(self) -> None:
        """Parser callback: a request is complete."""
        if self._rejected:
            return
        request = self._build_request()
        if not self._parser.should_keep_alive():
            self._must_close = True
        if self._server.interim:
            self._outgoing.write(self._server.interim)
        self._queued_bytes.append(self._held_bytes)
        self._begin_message()
        self._queue.append(request)
        if self._serve_task is None:
            self._stop_timer()
            self._serve_task = self._loop.create_task(self._serve())
        else:
            # Backpressure: bounds the memory for pipelined requests.
            self._has_pipelined = True
            self._transport.pause_reading()

    def _build_request(self) -> messages.Request:
        """
        Build the request that was read.

        A caller's latency goal counts from its first packet, which is sent 1.5 round trips before
        the request arrives on a new connection, and half a round trip before on a reused one.
        """
        arrived_s = self._arrived_s or self._loop.time()
        round_trip_s = client_module.round_trip_s(self._transport)
        round_trips = 0.5 if self._requests else 1.5
        self._requests += 1
        return messages.Request(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            bytes(self._body),
            arrived_s,
            arrived_s - round_trips * round_trip_s,
            round_trip_s / 2,
            self._server.stalled_s(),
            client_module.peer_host(self._transport),
        )

    async def _serve(self) -> None:
        try:
            while self._queue and not self._transport.is_closing():
                request, held_bytes = self._queue.popleft(), self._queued_bytes.popleft()
                try:
                    close = await self._answer(request)
                except Exception as error:
                    # Only a broken connection tells the receiver that the response is not whole.
                    self._server.counters.add("caller.response_failed")
                    reason = f"{type(error).__name__}: {error}"[:300]
                    decisions.log("caller.response_failed", reason=reason)
                    self._transport.abort()
                    return
                finally:
                    self._server.budget.release(held_bytes)
                if close:
                    self._linger()
                    return
        finally:
            self._serve_task = None
        self._has_pipelined = False
        self._parse_kept()
        if self._serve_task is None and not self._transport.is_closing():
            if self._arrived_s is None:
                self._start_idle_timer()
            else:
                self._start_head_timer()

    async def _answer(self, request: messages.Request) -> bool:
        """Answer a request; return whether its connection closes after the response."""
        response = await self._call_handler(request)
        close = response.close or self._server.draining or (self._must_close and not self._queue)
        idle_s = int(self._idle_timeout_s())
        head = messages.response_head(request.method, response, close, idle_s)
        if response.chunks is not None:
            self._outgoing.write(head)
            await self._outgoing.write_chunks(response.chunks, self._idle_timeout_s)
        elif messages.has_body(request.method, response):
            self._outgoing.write_body(head, response.body, memory=response.memory)
        else:
            self._outgoing.write(head)
        # Else the body's memory would count until this request ends, however it does.
        del response
        if not self._outgoing.is_sent:
            await self._outgoing.drained(self._idle_timeout_s)
        return close

    def _idle_timeout_s(self) -> float:
        return self._server.limits().idle_timeout_s

    async def _call_handler(self, request: messages.Request) -> messages.Response:
        try:
            return await self._server.handler(request)
        except Exception as error:
            # A bug in the handler must not close the connection without a response. The response
            # does not say whether the request ran.
            decisions.log("caller.failed", reason=f"{type(error).__name__}: {error}"[:300])
            return messages.Response(500, close=True)

    def _reject(self, status: int, reason: str, text: str, **details: object) -> None:
        """
        Send an error response, and close after the caller had time to read it.

        :param reason: a keyword, which is also the name of a counter
        :param text: what the caller is told
        :param details: further fields of the log line
        """
        self._server.on_refused(reason)
        decisions.log("caller.refused", reason=reason, status=status, **details)
        self._rejected = True
        self._release_unread()
        self._stop_timer()
        if self._serve_task is not None:
            # Earlier requests on this connection get their responses first, in order.
            self._must_close = True
            self._serve_task.add_done_callback(lambda _: self._write_rejection(status, text))
            return
        self._write_rejection(status, text)

    def _write_rejection(self, status: int, reason: str) -> None:
        if self._transport.is_closing() or self._end_sent:
            return
        self._outgoing.write(messages.rejection_bytes(status, reason))
        self._linger()

    def _linger(self) -> None:
        """Close the sending side and discard input, so that no reset discards the response."""
        self._must_close = True
        self._end_sent = True
        self._stop_timer()
        self._unparsed.drop()
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = self._loop.call_later(LINGER_S, self._transport.abort)

    def _start_idle_timer(self) -> None:
        self._stop_timer()
        idle_s = self._server.idle_timeout_s(self._loop.time())
        self._timer = self._loop.call_later(idle_s, self._on_idle_timeout)

    def _on_idle_timeout(self) -> None:
        if not self.busy:
            self.close_after_flush()

    def _start_head_timer(self) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(
            self._server.limits().header_timeout_s, self._on_head_timeout
        )

    def _on_head_timeout(self) -> None:
        if self._head_done:
            # The body has a timeout of its own: a slow caller is served, a stalled one rejected.
            self._timer = self._loop.call_later(
                self._server.limits().idle_timeout_s, self._reject_slow, _BODY
            )
            return
        self._reject_slow(sizes.HEAD)

    def _reject_slow(self, part: str) -> None:
        self._reject(408, f"{part}_too_slow", f"{part} too slow")

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close_after_flush(self) -> None:
        """Close once the written bytes are sent."""
        self._stop_timer()
        self._transport.close()
