"""
Decision lines: one JSON object a line on standard output, bounded and never blocking.

absl.logging writes each record at once and blocks on a full pipe; a reader that stalls would stop
every query. Here lines wait in a bounded buffer, leave together, and are dropped and counted when
the reader doesn't keep up.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import sys
import time
import typing

KEEP_PER_S = {"query.routed": 50, "query.answered": 20, "send.hedged": 20}
"""Lines a second of the events of served queries; the first of a second stand for the others."""
DEFAULT_PER_S = 100
"""Lines a second of any other event: refusals and failures are kept before served queries."""
BUFFER_BYTES = 256 * 1024
"""About a second of lines at the highest rate of all events together."""
FLUSH_S = 0.1
"""One write call for all lines of this time: a call for each line cost more than the line."""


class Writer:
    """The buffer in front of one descriptor."""

    def __init__(self, descriptor: int, instance: str) -> None:
        self._descriptor = descriptor
        self._instance = instance
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._timer: asyncio.TimerHandle | None = None
        self.left_out: collections.Counter[str] = collections.Counter()
        self.dropped = 0

    def write(self, event: str, fields: dict[str, typing.Any]) -> None:
        """Buffer a line, unless its event has had its lines of this second."""
        now_s = time.time()
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] > KEEP_PER_S.get(event, DEFAULT_PER_S):
            self.left_out[event] += 1
            return
        if self.left_out[event]:
            fields["left_out_before"] = self.left_out.pop(event)
        head = {"time_s": round(now_s, 4), "instance": self._instance, "event": event}
        line = json.dumps(head | fields, default=_plain, separators=(",", ":")).encode() + b"\n"
        if self._size + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        self._flush_soon()

    def _flush_soon(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Hand over what fits; the rest stays for the next time."""
        self._timer = None
        if not self._lines:
            return
        data = b"".join(self._lines)
        self._lines.clear()
        self._size = 0
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more: there is no one left to tell.
            self.dropped += data.count(b"\n")
            return
        if written < len(data):
            self._keep_rest(data[written:])

    def _keep_rest(self, rest: bytes) -> None:
        self._lines.appendleft(rest)
        self._size = len(rest)
        self._flush_soon()


def _plain(value: typing.Any) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)


_writer: Writer | None = None


def setup(instance: str) -> Writer:
    """Send lines to standard output from now on, without ever waiting for its reader."""
    global _writer
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    _writer = Writer(descriptor, instance)
    return _writer


def log(event: str, **fields: typing.Any) -> None:
    """
    Log one decision.

    :param event: its name, in dotted lower case
    :param fields: what decided it; a unit is part of the field's name
    """
    if _writer is not None:
        _writer.write(event, fields)


def flush() -> None:
    """Hand over what is buffered: before the process ends."""
    if _writer is not None:
        _writer.flush()
