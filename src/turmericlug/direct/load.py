"""The load that a replica reports."""

from __future__ import annotations

import attrs


@attrs.frozen
class Load:
    """The load of a replica at the time of its response."""

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    """Current duration of work on the replica's machine, as a multiple of the usual duration."""
