"""A timeout that doesn't count the last moments of a stall of this process against its peer."""

from __future__ import annotations

import asyncio
import typing

MIN_STALL_S = 0.03
"""Lateness of a timer from which this process was stalled."""


class StallTimeout:
    """
    Like ``asyncio.timeout_at``, but first reads what has arrived during a stall of this process.

    After a stall, the event loop runs timers that are due before it has read its sockets. A peer
    that has answered in time would count as silent. It gets the time of the stall once more, up to
    the duration that was set.
    """

    def __init__(self, when_s: float) -> None:
        self._when_s = when_s
        self._duration_s = 0.0
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> StallTimeout:
        """Start the timer."""
        await self._timeout.__aenter__()
        self.reschedule(self._when_s)
        return self

    async def __aexit__(self, *error: typing.Any) -> bool | None:
        """Stop the timer; raise ``TimeoutError`` if it has ended the block."""
        self._cancel_timer()
        return await self._timeout.__aexit__(*error)

    def reschedule(self, when_s: float) -> None:
        """Set another time, on the clock of the event loop."""
        self._cancel_timer()
        if not self._timeout.expired():
            self._timeout.reschedule(None)
        loop = asyncio.get_running_loop()
        self._when_s = when_s
        self._duration_s = max(when_s - loop.time(), 0.0)
        self._timer = loop.call_at(when_s, self._on_due)

    def _on_due(self) -> None:
        loop = asyncio.get_running_loop()
        stalled_s = loop.time() - self._when_s
        if stalled_s > MIN_STALL_S:
            end_s = loop.time() + min(stalled_s, self._duration_s)
            self._timer = loop.call_at(end_s, self._expire)
        else:
            self._expire()

    def _expire(self) -> None:
        self._timer = None
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
