"""Cuts off callers that don't read their responses, while memory is short."""

from __future__ import annotations

import asyncio
from collections import abc

from turmericlug.http1 import outgoing
from turmericlug.policy import slow_readers
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

CHECK_INTERVAL_S = 0.25


class SlowCallers:
    """The connections of a server that have unsent bytes."""

    def __init__(
        self, is_memory_short: abc.Callable[[], bool], counters: counters_module.Counters
    ) -> None:
        self._is_memory_short = is_memory_short
        self._counters = counters
        self._progress: dict[outgoing.Outgoing, slow_readers.Progress] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, sending: outgoing.Outgoing) -> None:
        """Watch a connection that has unsent bytes."""
        loop = asyncio.get_running_loop()
        pending_bytes, _ = sending.backlog()
        self._progress[sending] = slow_readers.Progress(loop.time(), pending_bytes)
        if self._timer is None:
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def discard(self, sending: outgoing.Outgoing) -> None:
        """Watch a connection no longer."""
        self._progress.pop(sending, None)

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for sending, progress in self._progress.items():
            progress.sample(now_s, *sending.backlog())
        for sending in slow_readers.too_slow(self._progress):
            if not self._is_memory_short():
                break
            self._cut_off(sending, self._progress[sending])
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check) if self._progress else None

    def _cut_off(self, sending: outgoing.Outgoing, progress: slow_readers.Progress) -> None:
        self._counters.add("caller.cut_off")
        decisions.log(
            "caller.cut_off",
            reason="memory",
            unsent_bytes=sending.unsent_bytes,
            age_s=round(sending.unsent_s, 1),
            stalled_s=round(progress.stalled_s, 1),
        )
        sending.abort()
