"""Pauses of a replica whose responses exceed a limit again and again."""

from __future__ import annotations

import math

import attrs

from turmericlug.owner import policy

SOUND_FOR_S = 2.0
"""After a response within the limits, larger ones are due to their requests, not to the replica."""


@attrs.define
class Oversized:
    """
    The responses of one replica beyond a limit, and the pause that follows several in a row.

    Each of them costs this instance memory and time of its event loop up to the limit, whatever
    becomes of the request. Unlike after other failures, the replica is therefore not tried while
    there is no other one.
    """

    in_a_row: int = 0
    """Responses beyond a limit since the last one within it."""
    pauses: int = 0
    """Pauses since the last response within the limits."""
    paused_at_s: float = 0.0
    """When the last pause began."""
    until_s: float = 0.0
    """When it ends."""
    sound_at_s: float = -math.inf
    """When the last response within the limits came."""

    @property
    def is_active(self) -> bool:
        """Whether it was paused and has not answered within the limits since."""
        return self.pauses > 0

    def is_paused(self, now_s: float) -> bool:
        """Whether it gets no requests now."""
        return self.is_active and now_s < self.until_s

    def pause(self, sent_s: float, now_s: float) -> bool:
        """
        Begin a pause after a failed attempt, longer than the previous one.

        A replica that has just answered others within the limits is not paused: a caller whose
        requests provoke large responses would take it from them.

        :param sent_s: when the attempt was sent; one from before the last pause began says nothing
            new
        :returns: whether it begins
        """
        if now_s < self.sound_at_s + SOUND_FOR_S:
            return False
        if self.is_active and sent_s <= self.paused_at_s:
            return False
        self.pauses += 1
        self.paused_at_s = now_s
        self.until_s = now_s + policy.ejection_ms(self.pauses) / 1000
        return True

    def reset(self, now_s: float) -> bool:
        """Record a response within the limits; returns whether the replica had been paused."""
        was_active = self.is_active
        self.in_a_row = self.pauses = 0
        self.sound_at_s = now_s
        return was_active
