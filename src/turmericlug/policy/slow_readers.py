"""Callers that take their responses too slowly to be served while memory is short."""

from __future__ import annotations

import typing
from collections import abc

import attrs

MIN_TAKEN_BYTES = 64 * 1024
WINDOW_S = 2.0
"""A caller that takes less than the above in this time is slow."""
MAX_ELAPSED_S = 1.0
"""Between two samples; a process that stood still could not have sent more meanwhile."""

Key = typing.TypeVar("Key")


@attrs.define
class Progress:
    """How a caller takes the bytes that are written to it."""

    sampled_s: float
    _pending_bytes: int
    """Bytes that it had not taken when it last made progress."""
    stalled_s: float = 0.0
    """Time without progress."""

    def sample(self, now_s: float, pending_bytes: int, waits_for_caller: bool) -> None:
        """
        Note what the caller has taken.

        :param pending_bytes: what it has not taken, including what the system buffers
        :param waits_for_caller: whether the system has bytes that it has not taken
        """
        elapsed_s = min(now_s - self.sampled_s, MAX_ELAPSED_S)
        self.sampled_s = now_s
        if not waits_for_caller or self._pending_bytes - pending_bytes >= MIN_TAKEN_BYTES:
            self._pending_bytes = pending_bytes
            self.stalled_s = 0.0
            return
        self._pending_bytes = max(self._pending_bytes, pending_bytes)
        self.stalled_s += elapsed_s


def too_slow(callers: abc.Mapping[Key, Progress]) -> list[Key]:
    """Return the callers that may be cut off, those longest without progress first."""
    slow = [key for key, progress in callers.items() if progress.stalled_s >= WINDOW_S]
    return sorted(slow, key=lambda key: -callers[key].stalled_s)
