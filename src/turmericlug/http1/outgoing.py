"""What is written to a caller, and the memory that it takes until it is sent."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
import typing

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
        self._all_sent = asyncio.Event()
        self._all_sent.set()
        self._memory: object = None

    @property
    def is_sent(self) -> bool:
        """Whether all bytes are sent."""
        return self._all_sent.is_set()

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

    def write(self, *buffers: bytes, memory: object = None) -> None:
        """
        Write buffers, large ones without a copy.

        :param memory: is referred to until all buffers are sent
        """
        size_bytes = sum(map(len, buffers))
        if size_bytes <= JOINED_BYTES:
            self._transport.write(b"".join(buffers))
        else:
            self._transport.writelines(buffers)
        if not self._all_sent.is_set() and not self._transport.is_closing():
            # A buffer is kept whole until its last byte is sent.
            self._held_bytes += size_bytes
            self._budget.hold_response(size_bytes)
            self._memory = memory if memory is not None else self._memory

    def pause(self) -> None:
        """Note that some bytes are unsent."""
        self._all_sent.clear()
        self._unsent_since_s = asyncio.get_running_loop().time()
        self._watching.add(self)

    def resume(self) -> None:
        """Note that all bytes are sent."""
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

    async def sent(self) -> None:
        """Wait until all bytes are sent."""
        await self._all_sent.wait()
