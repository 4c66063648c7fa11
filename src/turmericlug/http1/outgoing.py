"""What is written to a caller, and the memory that it takes until it is sent."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
import typing
from collections import abc

from turmericlug.http1 import request_budget

if typing.TYPE_CHECKING:
    from turmericlug.http1 import slow_callers

JOINED_BYTES = 32 * 1024
"""Up to this size, copying a body behind its head costs less than a second buffer to write."""


class Outgoing:
    """The sending side of a connection."""

    def __init__(
        self,
        transport: asyncio.Transport,
        budget: request_budget.RequestBudget,
        watching: slow_callers.SlowCallers,
    ) -> None:
        """
        Create the sending side.

        :param budget: counts what is unsent
        :param watching: told while something is unsent
        """
        self._transport = transport
        self._budget = budget
        self._watching = watching
        self._held_bytes = 0
        """Bytes of the buffers that the transport refers to."""
        self._unsent_since_s = 0.0
        # Without a buffer limit above zero, the transport reports when all bytes are sent.
        transport.set_write_buffer_limits(high=0)
        self.is_sent = True
        """Whether all bytes are sent."""
        self._all_sent = asyncio.Event()
        self._memory: object = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the operating system has not taken yet."""
        return self._transport.get_write_buffer_size()

    @property
    def unsent_s(self) -> float:
        """For how long some bytes are unsent."""
        return asyncio.get_running_loop().time() - self._unsent_since_s

    def backlog(self) -> tuple[int, bool]:
        """Return how many bytes the caller has not taken, and whether the system has some."""
        unsent_bytes, sock = self.unsent_bytes, self._transport.get_extra_info("socket")
        try:
            value = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError, AttributeError):  # The connection is closed.
            return unsent_bytes, True
        system_bytes = int.from_bytes(value, sys.byteorder)
        return unsent_bytes + system_bytes, system_bytes > 0

    def write(self, data: bytes, memory: object = None) -> None:
        """
        Write bytes.

        :param memory: is referred to until all bytes are sent
        """
        self._transport.write(data)
        if not self.is_sent:
            self._hold(len(data), memory)

    def write_body(
        self, head: bytes, body: bytes, tail: bytes = b"", memory: object = None
    ) -> None:
        """Write a body behind its head, without a copy if it is large."""
        if len(body) <= JOINED_BYTES:
            self.write(head + body + tail, memory)
            return
        self._transport.writelines((head, body, tail))
        if not self.is_sent:
            self._hold(len(head) + len(body) + len(tail), memory)

    def _hold(self, size_bytes: int, memory: object) -> None:
        # A buffer is kept whole until its last byte is sent.
        if not self._transport.is_closing():
            self._held_bytes += size_bytes
            self._budget.hold_response(size_bytes)
            self._memory = memory if memory is not None else self._memory

    def pause(self) -> None:
        """Note that some bytes are unsent."""
        self.is_sent = False
        self._all_sent.clear()
        self._unsent_since_s = asyncio.get_running_loop().time()
        self._watching.add(self)

    def resume(self) -> None:
        """Note that all bytes are sent."""
        self.is_sent = True
        self._all_sent.set()
        self.end()

    def end(self) -> None:
        """Give up what is unsent."""
        self._watching.discard(self)
        self._budget.release_response(self._held_bytes)
        self._held_bytes = 0
        self._memory = None

    def abort(self) -> None:
        """Close the connection; unsent bytes are lost."""
        self._transport.abort()
        self.end()

    async def write_chunks(
        self, chunks: abc.AsyncIterator[bytes], idle_timeout_s: abc.Callable[[], float]
    ) -> None:
        """
        Write a body in chunks, each once the one before is sent.

        :raises TimeoutError: the caller has taken nothing for the idle timeout
        """
        async for chunk in chunks:
            if not chunk:
                continue  # On the wire, an empty chunk is the end of the body.
            self.write_body(b"%x\r\n" % len(chunk), chunk, b"\r\n")
            await self.drained(idle_timeout_s)
        self.write(b"0\r\n\r\n")

    async def drained(self, idle_timeout_s: abc.Callable[[], float]) -> None:
        """
        Wait until everything written is sent.

        :raises TimeoutError: the caller has taken nothing for the idle timeout
        """
        while not self.is_sent:
            unsent_bytes = self.unsent_bytes
            try:
                async with asyncio.timeout(idle_timeout_s()):
                    await self._all_sent.wait()
            except TimeoutError:
                if self.unsent_bytes >= unsent_bytes:
                    raise
