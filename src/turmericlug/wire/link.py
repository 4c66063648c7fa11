"""A link to one peer: one task that connects, reads replies and reconnects."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
import typing
from collections import abc

from turmericlug.kernel import failures
from turmericlug.kernel import tasks
from turmericlug.policy import backoff
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import codec
from turmericlug.wire import handshake
from turmericlug.wire import memory as memory_module
from turmericlug.wire import outbox

CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 1 << 18
_BACKOFF_S = (0.02, 1.0)


class LinkError(Exception):
    """A request got no reply; ``sent`` is false if it certainly did not reach the peer."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection was lost while a request was open."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSilent:
    """The peer sent nothing for the silence limit with a request open; it may still reply."""


LinkEvent = ConnectionLost | PeerSilent
OnReply = abc.Callable[[typing.Any], bool]
"""Receives a reply or a ``LinkEvent``; returns true when the request is complete."""


class Link:
    """The connection to one peer and its open requests."""

    def __init__(
        self,
        address: tuple[str, int],
        key: str,
        instance: str,
        counters: counters_module.Counters,
        source_host: str = "",
        held: memory_module.Memory | None = None,
    ) -> None:
        self.address = address
        self._source = (source_host, 0) if source_host else None
        self.peer = ""
        self.silent = False
        self.last_received_at_s = 0.0
        self._key = key
        self._instance = instance
        self._counters = counters
        self._held = held or memory_module.Memory()
        self._outbox: outbox.Outbox | None = None
        self._open_requests: dict[int, tuple[OnReply, float]] = {}
        self._request_id = 0
        self._connected = asyncio.Event()
        self._last_ping_at_s = 0.0
        self._last_request_at_s = time.monotonic()

    @property
    def is_connected(self) -> bool:
        """Whether the link is connected."""
        return self._outbox is not None

    def idle_s(self) -> float:
        """Return the time since the last request; 0 while a request is open."""
        return 0.0 if self._open_requests else time.monotonic() - self._last_request_at_s

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        failures_in_a_row = 0
        while True:
            started_at_s = time.monotonic()
            try:
                await self._connect_and_read()
            except handshake.HandshakeError as error:
                self._counters.add(f"peer.rejected.{error.reason}")
                events.emit("peer.not_accepted", "warning", to=self.address, reason=error.reason)
            except (OSError, TimeoutError, codec.FrameError):
                pass
            except Exception as error:
                # The link goes on: it is kept for this peer, and no other would be opened.
                failures.report(error)
            if time.monotonic() - started_at_s > 5:
                failures_in_a_row = 0
            failures_in_a_row += 1
            delay_s = backoff.delay(*_BACKOFF_S, failures_in_a_row)
            await asyncio.sleep(delay_s * (0.5 + random.random()))

    async def _connect_and_read(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                *self.address, limit=_READ_BYTES, local_addr=self._source
            )
        try:
            self.peer = await handshake.initiate(reader, writer, self._key, self._instance)
            self._outbox = outbox.Outbox(writer, self._counters, self._held)
            self._record_contact()
            self._connected.set()
            await self._read(reader)
        finally:
            self._connected.clear()
            self._outbox = None
            writer.transport.abort()
            try:
                self._notify_open_requests(ConnectionLost())
            finally:
                self._open_requests.clear()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.closing(codec.FrameReader(self._held)) as frames:
            while data := await reader.read(_READ_BYTES):
                self._record_contact()
                for body in frames.feed(data):
                    self._dispatch_reply(codec.decode(body))

    def _record_contact(self) -> None:
        self.last_received_at_s = time.monotonic()
        self.silent = False

    def _dispatch_reply(self, message: codec.Envelope) -> None:
        # Discard a reply to a request that is complete, was cancelled or was never sent: a late or
        # duplicated frame must not be taken for the reply to another caller's request.
        entry = self._open_requests.get(message.requestId)
        if entry is None:
            if message.which() != "pong":
                self._counters.add("peer.unasked_reply")
            return
        if entry[0](message):
            self._open_requests.pop(message.requestId, None)

    def _notify_open_requests(self, event: LinkEvent) -> None:
        for request_id, (on_reply, _) in list(self._open_requests.items()):
            if on_reply(event):
                self._open_requests.pop(request_id, None)

    def send(self, fill: abc.Callable[[codec.Envelope], None], on_reply: OnReply) -> int:
        """
        Send a request.

        :param fill: sets the envelope's union
        :param on_reply: receives each reply, and ``ConnectionLost`` or ``PeerSilent``
        :returns: the request ID, for :meth:`cancel`
        :raises LinkError: the link is not connected; the request was not sent
        """
        if self._outbox is None:
            raise LinkError("not_connected", sent=False)
        self._request_id += 1
        message = codec.envelope(self._request_id)
        fill(message)
        self._last_request_at_s = time.monotonic()
        self._open_requests[self._request_id] = (on_reply, self._last_request_at_s)
        self._outbox.put(message)
        return self._request_id

    def send_one_way(self, fill: abc.Callable[[codec.Envelope], None]) -> None:
        """Send a message without a reply; does nothing while the link is not connected."""
        if self._outbox is not None:
            self._request_id += 1
            message = codec.envelope(self._request_id)
            fill(message)
            self._outbox.put(message)

    def cancel(self, request_id: int) -> None:
        """Cancel an open request at the peer."""
        if self._open_requests.pop(request_id, None) is not None and self._outbox is not None:
            message = codec.envelope(request_id)
            message.cancel = None
            self._outbox.put(message)

    async def ask(
        self, fill: abc.Callable[[codec.Envelope], None], timeout_s: float
    ) -> codec.Envelope:
        """
        Wait for the connection, send a request and wait for its single reply.

        :raises LinkError: ``sent`` is false if the request certainly did not reach the peer
        """
        deadline_s = time.monotonic() + timeout_s
        future: asyncio.Future[codec.Envelope] = asyncio.get_running_loop().create_future()

        def on_reply(message: typing.Any) -> bool:
            if isinstance(message, PeerSilent):
                return False
            if not future.done():
                future.set_result(message)
            return True

        try:
            async with asyncio.timeout(timeout_s):
                await self._connected.wait()
        except TimeoutError as error:
            raise LinkError("not_connected", sent=False) from error
        request_id = self.send(fill, on_reply)
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + deadline_s - time.monotonic()
            ):
                message = await future
        except TimeoutError as error:
            raise LinkError("timeout", sent=True) from error
        finally:
            self._open_requests.pop(request_id, None)
        if isinstance(message, ConnectionLost):
            raise LinkError("connection_lost", sent=True)
        if message.which() == "fault":
            raise LinkError(message.fault, sent=True)
        return message

    def check_silence(self, limit_s: float) -> None:
        """
        Ping a silent peer with open requests, and notify the requests after ``limit_s``.

        A frozen owner keeps its connections open, so only silence reveals it. The failure detector
        takes a second or more to find it, longer than an interactive caller's deadline.

        :param limit_s: time without received bytes after which the peer counts as frozen
        """
        if not self._open_requests or self._outbox is None:
            return
        now_s = time.monotonic()
        since_s = max(
            self.last_received_at_s, min(sent_at_s for _, sent_at_s in self._open_requests.values())
        )
        if now_s - since_s > limit_s:
            self.silent = True
            self._notify_open_requests(PeerSilent())
        elif now_s - since_s > limit_s / 3 and now_s - self._last_ping_at_s > limit_s / 3:
            self._last_ping_at_s = now_s
            message = codec.envelope(0)
            message.init("ping")
            self._outbox.put(message)


@contextlib.asynccontextmanager
async def opened(link: Link) -> abc.AsyncIterator[Link]:
    """Run a link's task within the block."""
    async with tasks.background(link.run()):
        yield link
