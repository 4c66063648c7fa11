"""A link to one peer: one task that connects, reads straight down and connects again."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
import typing
from collections import abc

from turmericlug.kernel import tasks
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import codec
from turmericlug.wire import handshake
from turmericlug.wire import outbox

CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 1 << 18
_BACKOFF_S = (0.02, 1.0)


class LinkError(Exception):
    """A peer did not answer; ``sent`` tells whether the request may have reached it."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection broke while a request was open."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSilent:
    """The peer has said nothing for too long while a request was open; it may yet answer."""


LinkEvent = ConnectionLost | PeerSilent
OnReply = abc.Callable[[typing.Any], bool]
"""Takes a reply or a ``LinkEvent``; returns true once nothing more is expected."""


class Link:
    """Our connection to one peer, with the requests open on it."""

    def __init__(
        self,
        address: tuple[str, int],
        key: str,
        instance: str,
        counters: counters_module.Counters,
        source_host: str = "",
    ) -> None:
        self.address = address
        self._source = (source_host, 0) if source_host else None
        self.peer = ""
        self.silent = False
        self.heard_at_s = 0.0
        self._key = key
        self._instance = instance
        self._counters = counters
        self._outbox: outbox.Outbox | None = None
        self._open: dict[int, tuple[OnReply, float]] = {}
        self._request_id = 0
        self._up = asyncio.Event()
        self._pinged_at_s = 0.0
        self._used_at_s = time.monotonic()

    @property
    def is_up(self) -> bool:
        """Whether a connection stands."""
        return self._outbox is not None

    def idle_s(self) -> float:
        """Return for how long nothing was sent and nothing is waited for."""
        return 0.0 if self._open else time.monotonic() - self._used_at_s

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        delay_s = _BACKOFF_S[0]
        while True:
            started_at_s = time.monotonic()
            try:
                await self._connected()
            except handshake.HandshakeError as error:
                self._counters.add(f"peer.rejected.{error.reason}")
                events.emit("peer.not_accepted", "warning", to=self.address, reason=error.reason)
            except (OSError, TimeoutError, codec.FrameError):
                pass
            if time.monotonic() - started_at_s > 5:
                delay_s = _BACKOFF_S[0]
            await asyncio.sleep(delay_s * (0.5 + random.random()))
            delay_s = min(delay_s * 2, _BACKOFF_S[1])

    async def _connected(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                *self.address, limit=_READ_BYTES, local_addr=self._source
            )
        try:
            self.peer = await handshake.introduce(reader, writer, self._key, self._instance)
            self._outbox = outbox.Outbox(writer, self._counters)
            self._heard()
            self._up.set()
            await self._read(reader)
        finally:
            self._up.clear()
            self._outbox = None
            writer.transport.abort()
            self._tell_all(ConnectionLost())
            self._open.clear()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        frames = codec.FrameReader()
        while data := await reader.read(_READ_BYTES):
            self._heard()
            for body in frames.feed(data):
                self._deliver(codec.decode(body))

    def _heard(self) -> None:
        self.heard_at_s = time.monotonic()
        self.silent = False

    def _deliver(self, message: codec.Envelope) -> None:
        # A reply to a request that is closed, cancelled or was never sent belongs to nobody: a
        # late or duplicated frame must not end up as another caller's answer.
        entry = self._open.get(message.requestId)
        if entry is None:
            if message.which() != "pong":
                self._counters.add("peer.unasked_reply")
            return
        if entry[0](message):
            self._open.pop(message.requestId, None)

    def _tell_all(self, note: LinkEvent) -> None:
        for request_id, (on_reply, _) in list(self._open.items()):
            if on_reply(note):
                self._open.pop(request_id, None)

    def send(self, fill: abc.Callable[[codec.Envelope], None], on_reply: OnReply) -> int:
        """
        Send a request.

        :param fill: sets the envelope's union
        :param on_reply: gets each reply, and ``ConnectionLost`` or ``PeerSilent``
        :returns: the request's number, for :meth:`cancel`
        :raises LinkError: no connection stands; the request was not sent
        """
        if self._outbox is None:
            raise LinkError("not_connected", sent=False)
        self._request_id += 1
        message = codec.envelope(self._request_id)
        fill(message)
        self._used_at_s = time.monotonic()
        self._open[self._request_id] = (on_reply, self._used_at_s)
        self._outbox.put(message)
        return self._request_id

    def send_one_way(self, fill: abc.Callable[[codec.Envelope], None]) -> None:
        """Send a message that has no reply, if a connection stands."""
        if self._outbox is not None:
            self._request_id += 1
            message = codec.envelope(self._request_id)
            fill(message)
            self._outbox.put(message)

    def cancel(self, request_id: int) -> None:
        """Tell the peer that nobody waits for this request any more."""
        if self._open.pop(request_id, None) is not None and self._outbox is not None:
            message = codec.envelope(request_id)
            message.cancel = None
            self._outbox.put(message)

    async def ask(
        self, fill: abc.Callable[[codec.Envelope], None], timeout_s: float
    ) -> codec.Envelope:
        """
        Send a request and wait for its one reply, also for the connection to be made.

        :raises LinkError: with ``sent`` false when it certainly did not reach the peer
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
                await self._up.wait()
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
            self._open.pop(request_id, None)
        if isinstance(message, ConnectionLost):
            raise LinkError("connection_lost", sent=True)
        if message.which() == "fault":
            raise LinkError(message.fault, sent=True)
        return message

    def check_silence(self, limit_s: float) -> None:
        """
        Ping a peer that owes replies and says nothing, and tell its requests when it stays silent.

        A frozen owner keeps its connections open, so that nothing but silence tells; the probes of
        the membership take a second or more to find it, longer than a dispatcher's deadline.

        :param limit_s: silence that counts as frozen
        """
        if not self._open or self._outbox is None:
            return
        now_s = time.monotonic()
        since_s = max(self.heard_at_s, min(sent_at_s for _, sent_at_s in self._open.values()))
        if now_s - since_s > limit_s:
            self.silent = True
            self._tell_all(PeerSilent())
        elif now_s - since_s > limit_s / 3 and now_s - self._pinged_at_s > limit_s / 3:
            self._pinged_at_s = now_s
            message = codec.envelope(0)
            message.init("ping")
            self._outbox.put(message)


@contextlib.asynccontextmanager
async def opened(link: Link) -> abc.AsyncIterator[Link]:
    """Run a link's task for the length of the block."""
    async with tasks.background(link.run()):
        yield link
