"""
How much one instance may send to a replica that is cold: pure functions of rate, share and time.

The load pattern: the replicas of a data centre come back together, cold, and every instance sends
to each of them at once. No instance counts for all, so that each has time slots of its own. A slot
that is not used is lost: kept as tokens, those of many instances would be spent together.
"""

from __future__ import annotations

import math
import zlib

import attrs

NOMINAL_SHARE = 0.6
"""Part of the stated rate that is used: slots of different instances overlap by chance."""
LONGEST_SLOT_S = 0.25
SLOT_SHARE = 0.5
"""Longest slot as a part of the time between two slots of an instance."""
_HASHES = 1 << 32


@attrs.frozen
class Share:
    """One instance's part of the requests that a cold replica bears."""

    rate_per_s: float
    """Of all instances together; 0: not limited."""
    senders: int = 1
    """How many instances divide it; 0: this one is not among them."""
    phase: float = 0.0
    """Where its first slot begins, as a part of the time between two of them."""

    def allows(self, since_s: float, sent_s: float, now_s: float) -> bool:
        """
        Whether one more request may be sent now.

        :param since_s: when the replica turned cold, as this instance learned it
        :param sent_s: when this instance last sent to it since then
        """
        if not self.rate_per_s:
            return True
        if not self.senders:
            return False
        period_s = self.senders / (NOMINAL_SHARE * self.rate_per_s)
        begin_s = since_s + self.phase * period_s
        turn = math.floor((now_s - begin_s) / period_s)
        slot_s = begin_s + turn * period_s
        length_s = min(SLOT_SHARE * period_s, LONGEST_SLOT_S)
        return turn >= 0 and now_s - slot_s < length_s and sent_s < slot_s


UNLIMITED = Share(0.0)


def phase_of(instance: str, replica: str) -> float:
    """Return the phase of an instance's slots for a replica; evenly spread over instances."""
    return zlib.crc32(f"{replica}/{instance}".encode()) / _HASHES
