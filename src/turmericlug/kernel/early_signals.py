"""
Remember the signals that arrive before the program is loaded.

By their default action, SIGHUP, SIGTERM and SIGINT end a process that has not installed handlers.
The start-up of the interpreter itself, some milliseconds before any code of the program runs, is
not covered. This module is the first that the program imports, so it must load fast.
"""

from __future__ import annotations

# The built-in module loads at once; ``signal`` imports ``enum``, which leaves a longer gap.
import _signal
import time

HANGUP = "SIGHUP"
_STOPS = ("SIGTERM", "SIGINT")


class Remembered:
    """The signals that have arrived so far."""

    def __init__(self) -> None:
        self.arrived_s: dict[str, float] = {}
        """When each signal arrived first, by its name and ``time.monotonic``."""

    @property
    def stop_requested_s(self) -> float | None:
        """When the program was first asked to stop, ``None`` if it was not."""
        stops_s = [self.arrived_s[name] for name in _STOPS if name in self.arrived_s]
        return min(stops_s, default=None)


def remember() -> Remembered:
    """Install handlers that remember signals, until others replace them."""
    remembered = Remembered()
    names = {getattr(_signal, name): name for name in (HANGUP, *_STOPS)}

    def on_signal(number: int, frame: object) -> None:
        remembered.arrived_s.setdefault(names[number], time.monotonic())

    for number in names:
        _signal.signal(number, on_signal)
    return remembered
