"""
Accepting connections, without taking more file descriptors than are meant for them.

The event loop's own servers accept everything that waits, and a connection that is refused holds
its descriptor until the caller has read why. Callers that are refused by the hundred would take the
descriptors for replicas and the store, and with them the requests of those who are served.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import abc

import attrs

from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

ACCEPTS_PER_TURN = 64
"""Bounds how long the event loop is busy with new connections alone."""
RETRY_S = 0.1
"""Without a free descriptor the listening socket stays readable, and each turn would fail again."""
SEND_BUFFER_BYTES = 96 * 1024
"""Of an accepted connection; the system takes twice this, and a segment of 64 kB. It is memory of
the machine that no budget counts, and the system's own limit is 4 MB for each caller that doesn't
read. At a round trip of 25 ms between regions it allows 7 MB/s."""
_MAX_DISCARDED_BYTES = 65536


@attrs.define
class Listener:
    """A listening socket that accepts connections while there is room for them."""

    socket: socket.socket
    create_protocol: abc.Callable[[], asyncio.Protocol]
    """Called as a connection is accepted."""
    on_failed: abc.Callable[[asyncio.Protocol], None]
    """Called if the connection of a protocol could not be used."""
    is_full: abc.Callable[[], bool]
    """Whether there is no room for another connection."""
    refusal: abc.Callable[[], bytes]
    """Returns the response to a connection for which there is no room."""
    counters: counters_module.Counters
    _opening: set[asyncio.Task[None]] = attrs.field(factory=set)
    _retry: asyncio.TimerHandle | None = None

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening socket, as ``asyncio.Server`` has it."""
        return (self.socket,)

    def start(self, backlog: int) -> None:
        """
        Listen, and accept connections from now on.

        :raises OSError: another socket listens at the address
        """
        try:
            self.socket.listen(backlog)
        except OSError:
            self.socket.close()
            raise
        self.socket.setblocking(False)
        self._watch()

    def close(self) -> None:
        """Accept what waits and stop listening; open connections stay open."""
        if self.socket.fileno() >= 0:
            # The operating system resets what has not been accepted.
            self._accept()
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
        if self._retry is not None:
            self._retry.cancel()

    def _watch(self) -> None:
        self._retry = None
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue  # This caller has left; others may wait.
            except OSError as error:
                self._pause(error)
                return
            try:
                self._begin(accepted)
            except Exception as error:
                self._fail(accepted, error)

    def _begin(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        if self.is_full():
            _refuse(accepted, self.refusal())
            return
        opening = self._open(accepted, self.create_protocol())
        task = asyncio.get_running_loop().create_task(opening)
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _pause(self, error: OSError) -> None:
        self.counters.add("listener.accept_failed")
        decisions.log("listener.accept_failed", error=str(error))
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        self._retry = loop.call_later(RETRY_S, self._watch)

    async def _open(self, accepted: socket.socket, protocol: asyncio.Protocol) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: protocol, accepted)
        except Exception as error:
            self.on_failed(protocol)
            self._fail(accepted, error)

    def _fail(self, accepted: socket.socket, error: Exception) -> None:
        accepted.close()
        self.counters.add("listener.open_failed")
        decisions.log("listener.open_failed", error=f"{type(error).__name__}: {error}"[:300])


def bind(host: str, port: int) -> socket.socket:
    """
    Bind a socket to an address without a look-up.

    The event loop looks each address up on a pool of threads. Their stacks and memory arenas take
    288 MB of address space, and where they can't be created the process aborts.

    :param host: an IPv4 address
    :raises OSError: the address is in use, or is none of this machine's
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        bound.bind((host, port))
        bound.setblocking(False)
    except OSError:
        bound.close()
        raise
    return bound


def _refuse(accepted: socket.socket, response: bytes) -> None:
    """Answer and close at once; what has been received is read, as a reset discards the answer."""
    with contextlib.suppress(OSError):  # The caller has left, or has nothing for us to read yet.
        accepted.recv(_MAX_DISCARDED_BYTES)
    with contextlib.suppress(OSError):
        accepted.send(response)
        accepted.shutdown(socket.SHUT_WR)
    accepted.close()
