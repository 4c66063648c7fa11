"""Server for peers: one task per connection, requests dispatched to handlers by kind."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from collections import abc

import attrs

from turmericlug.kernel import tasks
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import codec
from turmericlug.wire import handshake
from turmericlug.wire import memory as memory_module
from turmericlug.wire import outbox

_READ_BYTES = 1 << 18
MAX_CONNECTIONS = 10000


@attrs.define(slots=True)
class Request:
    """A request of a peer, as passed to its handler."""

    peer: str
    message: codec.Envelope
    _outbox: outbox.Outbox
    on_cancel: abc.Callable[[], None] | None = None

    def reply(self, fill: abc.Callable[[codec.Envelope], None]) -> None:
        """Send one reply; a request may have several."""
        message = codec.envelope(self.message.requestId)
        fill(message)
        self._outbox.put(message)


Handler = abc.Callable[[Request], typing.Any]


class Server:
    """Handlers by message kind, and the connections of peers."""

    def __init__(
        self,
        key: str,
        instance: str,
        counters: counters_module.Counters,
        held: memory_module.Memory | None = None,
    ) -> None:
        self.handlers: dict[str, Handler] = {}
        self._key = key
        self._instance = instance
        self._counters = counters
        self.tasks = tasks.Tasks()
        self._held = held or memory_module.Memory()

    def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a new connection in its own task, or reject it when too many are open."""
        if len(self.tasks) >= MAX_CONNECTIONS:
            self._counters.add("peer.rejected.too_many")
            writer.transport.abort()
            return
        self.tasks.start(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address = writer.get_extra_info("peername")
        requests: dict[int, Request] = {}
        try:
            peer = await handshake.accept(reader, writer, self._key, self._instance)
            connection_outbox = outbox.Outbox(writer, self._counters, self._held)
            await self._read(reader, connection_outbox, peer, requests)
        except handshake.HandshakeError as error:
            self._counters.add(f"peer.rejected.{error.reason}")
            events.emit("peer.rejected", "warning", address=address, reason=error.reason)
            await _flush_rejection(writer)
        except codec.FrameError as error:
            self._counters.add("peer.rejected.bad_frame")
            events.emit("peer.bad_frame", "warning", address=address, reason=str(error))
        except OSError:
            pass
        finally:
            writer.transport.abort()
            for request in requests.values():
                if request.on_cancel is not None:
                    request.on_cancel()

    async def _read(
        self,
        reader: asyncio.StreamReader,
        connection_outbox: outbox.Outbox,
        peer: str,
        requests: dict[int, Request],
    ) -> None:
        last_request_id = 0
        with contextlib.closing(codec.FrameReader(self._held)) as frames:
            while data := await reader.read(_READ_BYTES):
                for body in frames.feed(data):
                    message = codec.decode(body)
                    kind = message.which()
                    if kind == "cancel":
                        request = requests.pop(message.requestId, None)
                        if request is not None and request.on_cancel is not None:
                            request.on_cancel()
                        continue
                    # A duplicated frame would run a request twice. Request IDs strictly increase on
                    # a connection, so a duplicate is detected and closes the connection.
                    if message.requestId and message.requestId <= last_request_id:
                        raise codec.FrameError("request ID was already used on this connection")
                    last_request_id = max(last_request_id, message.requestId)
                    self._dispatch(str(kind), Request(peer, message, connection_outbox), requests)

    def _dispatch(self, kind: str, request: Request, requests: dict[int, Request]) -> None:
        handler = self.handlers.get(kind)
        if handler is None:
            request.reply(lambda envelope: setattr(envelope, "fault", "unknown_request"))
            return
        coroutine = handler(request)
        if request.on_cancel is not None:
            requests[request.message.requestId] = request
            if len(requests) > 4096:
                for request_id in list(requests)[:2048]:
                    del requests[request_id]
        if coroutine is not None:
            self.tasks.start(coroutine)


@contextlib.asynccontextmanager
async def listening(server: Server, host: str, port: int) -> abc.AsyncIterator[Server]:
    """Accept connections of peers within the block."""
    listener = await asyncio.start_server(server.on_connection, host, port, limit=_READ_BYTES)
    try:
        yield server
    finally:
        listener.close()
        await server.tasks.close()


async def _flush_rejection(writer: asyncio.StreamWriter) -> None:
    """Send the reason for the rejection and give the peer time to read it."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1):
            await writer.drain()
            writer.write_eof()
            await asyncio.sleep(0.1)
