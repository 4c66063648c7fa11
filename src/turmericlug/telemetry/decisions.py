"""
The decision log: one JSON object per line on standard output, rate-limited and non-blocking.

absl.logging writes each record immediately and blocks on a full pipe, so a stalled reader would
block every query. This module collects lines in a bounded buffer and writes them in batches. When
the reader does not keep up, lines are dropped and counted.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import sys
import time
import typing

EVENT_LIMITS_PER_S = {
    "query.routed": 50,
    "query.answered": 20,
    "send.hedged": 20,
    "quota.limit_stated": 20,
}
"""Lines per second for events of served requests: the first ones of each second, as a sample."""
DEFAULT_LIMIT_PER_S = 100
"""Lines per second for any other event; refusals and failures have priority over served queries."""
MAX_BUFFER_BYTES = 256 * 1024
"""About one second of lines when all events reach their limit."""
FLUSH_DELAY_S = 0.1
"""How long lines are collected for one write call; a call per line cost more than the line."""
_STDOUT_DESCRIPTOR = 1


class Writer:
    """Rate-limited, buffered writer of log lines to a file descriptor."""

    def __init__(self, descriptor: int, instance: str) -> None:
        self._descriptor = descriptor
        self._instance = instance
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._flush_timer: asyncio.TimerHandle | None = None
        self.suppressed: collections.Counter[str] = collections.Counter()
        self.dropped = 0

    def write(self, event: str, fields: dict[str, typing.Any]) -> None:
        """Buffer a line unless its event has reached its limit for this second."""
        now_s = time.time()
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] > EVENT_LIMITS_PER_S.get(event, DEFAULT_LIMIT_PER_S):
            self.suppressed[event] += 1
            return
        if self.suppressed[event]:
            fields["left_out_before"] = self.suppressed.pop(event)
        header = {"time_s": round(now_s, 4), "instance": self._instance, "event": event}
        line = _encode(header, fields)
        if self._buffered_bytes + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if not self._schedule_flush():
            self.flush()

    def _schedule_flush(self) -> bool:
        """Flush soon; false if no event loop is running."""
        if self._flush_timer is None:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                return False
            self._flush_timer = loop.call_later(FLUSH_DELAY_S, self.flush)
        return True

    def flush(self) -> None:
        """Write as much as the descriptor accepts; the rest stays buffered."""
        self._flush_timer = None
        if not self._lines:
            return
        data = b"".join(self._lines)
        self._lines.clear()
        self._buffered_bytes = 0
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Usually the reader has closed the pipe, and there is nowhere else to report the error.
            self.dropped += data.count(b"\n")
            return
        if written < len(data):
            self._requeue(data[written:])

    def _requeue(self, unwritten: bytes) -> None:
        self._lines.appendleft(unwritten)
        self._buffered_bytes = len(unwritten)
        self._schedule_flush()


def _encode(header: dict[str, typing.Any], fields: dict[str, typing.Any]) -> bytes:
    """Encode a line; a field that can't be encoded must not end whoever logs it."""
    try:
        text = json.dumps(header | fields, default=_to_text, separators=(",", ":"))
    except (TypeError, ValueError, RecursionError) as error:
        text = json.dumps(header | {"unwritable": type(error).__name__, "fields": list(fields)})
    return text.encode() + b"\n"


def _to_text(value: typing.Any) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)


_writer: Writer | None = None


def setup(instance: str) -> Writer:
    """Start logging to standard output, which becomes non-blocking."""
    global _writer
    # Python has no ``sys.stdout`` if the descriptor was closed when it started.
    descriptor = sys.stdout.fileno() if sys.stdout is not None else _STDOUT_DESCRIPTOR
    os.set_blocking(descriptor, False)
    _writer = Writer(descriptor, instance)
    return _writer


def log(event: str, **fields: typing.Any) -> None:
    """
    Log one decision.

    :param event: event name in dotted lower case
    :param fields: inputs of the decision; units are part of the field names
    """
    if _writer is not None:
        _writer.write(event, fields)


def flush() -> None:
    """Write the buffered lines; called before the process exits."""
    if _writer is not None:
        _writer.flush()
