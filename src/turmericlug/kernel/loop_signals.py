"""Signal handlers that call functions of the event loop, and outlast it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import types
import typing
from collections import abc

HANGUP = signal.SIGHUP
STOPS = (signal.SIGTERM, signal.SIGINT)


def install(
    loop: asyncio.AbstractEventLoop,
    number: int,
    on_signal: abc.Callable[[], typing.Any],
) -> None:
    """
    Call a function in the event loop when a signal arrives, until the process ends.

    Handlers of the loop itself are replaced by the default action when it closes, which ends a
    process that is just about to end by itself with the status of the signal.
    """

    def handle(number: int, frame: types.FrameType | None) -> None:
        call(loop, on_signal)

    signal.signal(number, handle)


def call(
    loop: asyncio.AbstractEventLoop, function: abc.Callable[..., typing.Any], *arguments: typing.Any
) -> None:
    """Call a function in the event loop from a signal handler; do nothing if it is closed."""
    with contextlib.suppress(RuntimeError):
        loop.call_soon_threadsafe(function, *arguments)
