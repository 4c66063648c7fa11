"""Signals that arrive before the event loop runs."""

from __future__ import annotations

import asyncio
import os
import signal
import time
import types

import pytest

from turmericlug.entry import stop_signal
from turmericlug.kernel import early_signals


@pytest.fixture
def handlers():
    """Put signal handlers and the timer back at the end."""
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGALRM)
    before = {number: signal.getsignal(number) for number in numbers}
    yield
    signal.setitimer(signal.ITIMER_REAL, 0)
    for number, handler in before.items():
        signal.signal(number, handler)


@pytest.mark.parametrize(
    ("sent", "is_stop"),
    [
        ([], False),
        (["SIGHUP", "SIGHUP"], False),
        (["SIGTERM"], True),
        (["SIGHUP", "SIGINT", "SIGTERM"], True),
    ],
)
def test_signals_before_the_load_are_remembered(handlers, sent, is_stop):
    """Each of them ended the process by its default action."""
    remembered = early_signals.remember()
    for name in sent:
        os.kill(os.getpid(), getattr(signal, name))
    assert list(remembered.arrived_s) == list(dict.fromkeys(sent))
    stops_s = [remembered.arrived_s[name] for name in sent if name != "SIGHUP"]
    assert remembered.stop_requested_s == (stops_s[0] if is_stop else None)


def test_grace_period_begins_at_a_remembered_stop(handlers):
    """A process that counted it from the end of its load was killed before it had drained."""

    async def main():
        live = types.SimpleNamespace(policy=types.SimpleNamespace(grace_s=6.0))
        arrived_s = time.monotonic() - 2.0
        stop_requested = stop_signal.expect(asyncio.get_running_loop(), live, lambda: arrived_s)
        left_s, _ = signal.getitimer(signal.ITIMER_REAL)
        assert left_s <= 6.0 - 2.0 - stop_signal.FORCED_EXIT_MARGIN_S
        assert await stop_requested == arrived_s

    asyncio.run(main())


def test_stop_while_the_handlers_change_is_not_lost(handlers):
    """A signal that reached the former handlers after they had been asked was never read."""
    early_signals.remember()
    former = signal.getsignal(signal.SIGTERM)
    in_force = []

    def early_stop_s():
        in_force.append(signal.getsignal(signal.SIGTERM))
        return None

    async def main():
        live = types.SimpleNamespace(policy=types.SimpleNamespace(grace_s=6.0))
        stop_signal.expect(asyncio.get_running_loop(), live, early_stop_s)
        assert in_force and former not in in_force

    asyncio.run(main())
