"""Stop signals of an entry instance, noticed also while its event loop is blocked."""

from __future__ import annotations

import asyncio
import math
import os
import signal
import time
import types
from collections import abc

from turmericlug.entry import live_settings
from turmericlug.kernel import loop_signals
from turmericlug.telemetry import decisions

FORCED_EXIT_MARGIN_S = 0.4
"""Time between an exit that doesn't wait for the event loop and the forced termination. An
overloaded event loop was blocked for more than a second at a time."""
MIN_EXIT_S = 0.3
"""Time to answer the callers that wait if the signal is noticed only at the end of the grace
period, or the process stood still until then."""


def expect(
    loop: asyncio.AbstractEventLoop,
    live: live_settings.LiveSettings,
    early_stop_s: abc.Callable[[], float | None] = lambda: None,
) -> asyncio.Future[float]:
    """
    Return a future with the time at which SIGTERM or SIGINT arrives, by ``time.monotonic``.

    The grace period begins then, but the event loop runs its own signal handlers only between two
    turns. These handlers interrupt a turn; they also ensure that the process exits in time if the
    loop is still blocked near the end of the grace period.

    :param early_stop_s: returns when such a signal arrived before these handlers were installed, if
        one did
    """
    stop_requested: asyncio.Future[float] = loop.create_future()
    due_s = math.inf

    def on_stop(arrived_s: float) -> None:
        if not stop_requested.done():
            stop_requested.set_result(arrived_s)

    def exit_after(delay_s: float) -> None:
        nonlocal due_s
        due_s = time.monotonic() + delay_s
        signal.setitimer(signal.ITIMER_REAL, delay_s)

    def begin_grace_period(arrived_s: float) -> None:
        if signal.getitimer(signal.ITIMER_REAL) == (0.0, 0.0):
            exit_at_s = arrived_s + live.policy.grace_s - FORCED_EXIT_MARGIN_S
            exit_after(max(exit_at_s - time.monotonic(), MIN_EXIT_S))
            loop_signals.call(loop, on_stop, arrived_s)

    def on_stop_signal(number: int, frame: types.FrameType | None) -> None:
        begin_grace_period(time.monotonic())

    def on_alarm(number: int, frame: types.FrameType | None) -> None:
        if time.monotonic() - due_s > MIN_EXIT_S:
            # The process stood still: the event loop hasn't had the time to answer.
            exit_after(MIN_EXIT_S)
            return
        decisions.log("instance.exit_forced")
        decisions.flush()
        os._exit(0)

    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_stop_signal)
    signal.signal(signal.SIGINT, on_stop_signal)
    # Asked only now: the former handlers may have got a signal until this moment.
    remembered_s = early_stop_s()
    if remembered_s is not None:
        begin_grace_period(remembered_s)
    return stop_requested
