"""Batching of outgoing frames: one write per event loop iteration."""

from __future__ import annotations

import asyncio

from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import codec

# Bounds the memory per connection; a peer with this much unsent data is frozen or partitioned.
MAX_UNSENT_BYTES = 32 << 20


class Outbox:
    """Collect the outgoing frames of one connection."""

    def __init__(
        self, writer: asyncio.StreamWriter, counters: counters_module.Counters | None = None
    ) -> None:
        self._writer = writer
        self._frames: list[bytes] = []
        self._counters = counters

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
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._writer.transport.abort()
