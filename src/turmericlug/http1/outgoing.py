"""What is written to a caller, and the memory that it takes until it is sent."""

from __future__ import annotations

import asyncio

from turmericlug.http1 import request_budget

JOINED_BYTES = 32 * 1024
"""Up to this size, copying a body behind its head costs less than a second buffer to write."""


class Outgoing:
    """The sending side of a connection."""

    def __init__(self, transport: asyncio.Transport, budget: request_budget.RequestBudget) -> None:
        self._transport = transport
        self._budget = budget
        self._held_bytes = 0
        """Bytes of the buffers that the transport refers to."""
        # Without a buffer limit above zero, the transport reports when all bytes are sent.
        transport.set_write_buffer_limits(high=0)
        self._all_sent = asyncio.Event()
        self._all_sent.set()
        self._memory: object = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the operating system has not taken yet."""
        return self._transport.get_write_buffer_size()

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
        if not self._all_sent.is_set():
            # A buffer is kept whole until its last byte is sent.
            self._held_bytes += size_bytes
            self._budget.hold(size_bytes)
            self._memory = memory if memory is not None else self._memory

    def pause(self) -> None:
        """Note that some bytes are unsent."""
        self._all_sent.clear()

    def resume(self) -> None:
        """Note that all bytes are sent."""
        self._all_sent.set()
        self._release()

    def end(self) -> None:
        """Note that nothing more can be sent."""
        self._release()

    def _release(self) -> None:
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
        self._memory = None

    async def sent(self) -> None:
        """Wait until all bytes are sent."""
        await self._all_sent.wait()

    @property
    def is_sent(self) -> bool:
        """Whether all bytes are sent."""
        return self._all_sent.is_set()
