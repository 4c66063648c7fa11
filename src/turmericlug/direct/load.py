"""What a replica tells of its load."""

from __future__ import annotations

import attrs


@attrs.frozen
class Load:
    """The work of one replica at the moment of its answer."""

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    """How many times as long as usual work takes on its machine now."""
