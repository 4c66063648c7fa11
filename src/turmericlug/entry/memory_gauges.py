"""
Gauges of the memory of an entry instance: what is resident, and what is held for whom.

A process that outgrows its machine is killed without a line; the last gauges tell what has grown.
"""

from __future__ import annotations

import pathlib
import resource
from collections import abc

from turmericlug.telemetry import counters as counters_module

RESIDENT = "memory.resident_mb"
HELD_PREFIX = "memory.held_kb."
_STATM = pathlib.Path("/proc/self/statm")
_KB_BYTES = 1024
_MB_BYTES = 1024 * 1024


class MemoryGauges:
    """The parts of a process that hold memory for others."""

    def __init__(self, counters: counters_module.Counters) -> None:
        self._counters = counters
        self._held_bytes: dict[str, abc.Callable[[], int]] = {}

    def add(self, name: str, held_bytes: abc.Callable[[], int]) -> None:
        """
        Add a part.

        :param held_bytes: returns what it holds now
        """
        self._held_bytes[name] = held_bytes

    def update(self) -> None:
        """Set the gauges to what is resident and held now."""
        resident = resident_mb()
        if resident is not None:
            self._counters.gauge(RESIDENT, resident)
        for name, held_bytes in self._held_bytes.items():
            self._counters.gauge(HELD_PREFIX + name, held_bytes() / _KB_BYTES)


def resident_mb() -> float | None:
    """Return the resident memory of this process; ``None`` if the system doesn't tell."""
    try:
        pages = int(_STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize() / _MB_BYTES
