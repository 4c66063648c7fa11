"""Batching of outgoing frames: one write per event loop iteration."""

from __future__ import annotations

import asyncio

from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import codec
from turmericlug.wire import memory as memory_module

# Bounds the memory per connection; a peer with this much unsent data is frozen or partitioned.
MAX_UNSENT_BYTES = 32 << 20


class Outbox:
    """Collect the outgoing frames of one connection."""

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        counters: counters_module.Counters | None = None,
        held: memory_module.Memory | None = None,
    ) -> None:
        self._writer = writer
        self._frames: list[bytes] = []
        self._counters = counters
        self._held = held or memory_module.Memory()
        self._held.add_sending(self)

    def put(self, message: codec.Envelope) -> None:
        """Queue an envelope for the next write."""
        if not self._frames:
            asyncio.get_running_loop().call_soon(self._flush)
        self._frames.append(codec.encode(message))

    def _flush(self) -> None:
        frames, self._frames = self._frames, []
        if self._writer.transport.is_closing():
            return
        data = b"".join(frames)
        self._writer.write(data)
        if self._counters is not None:
            self._counters.totals["peer.frames_sent"] += len(frames)
            self._counters.totals["peer.bytes_sent"] += len(data)
        unsent_bytes = self.unsent_bytes()
        if unsent_bytes > MAX_UNSENT_BYTES:
            self.abort()
        elif unsent_bytes > memory_module.SMALL_BYTES:
            self._held.limit_unsent()

    def unsent_bytes(self) -> int:
        """Return how much waits in the transport."""
        transport = self._writer.transport
        return 0 if transport.is_closing() else transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close the connection of a peer that does not read."""
        address = self._writer.get_extra_info("peername")
        events.emit("peer.not_reading", "warning", address=address, unsent=self.unsent_bytes())
        if self._counters is not None:
            self._counters.add("peer.not_reading")
        self._writer.transport.abort()
