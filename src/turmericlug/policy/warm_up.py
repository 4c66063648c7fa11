"""
Send rate of one instance to a cold replica: pure functions of rate, share and time.

The load pattern: the replicas of a data centre restart together, cold, and every instance sends to
each of them at once. No instance counts the requests of all, so each has time slots of its own. An
unused slot is lost: if instances saved them as tokens, they would spend them all at the same time.
"""

from __future__ import annotations

import math
import zlib

import attrs

RATE_UTILISATION = 0.6
"""Fraction of the stated rate that is used, since slots of different instances overlap by
chance."""
MAX_SLOT_S = 0.25
MAX_SLOT_SHARE = 0.5
"""Longest slot as a fraction of an instance's slot period."""
_HASH_RANGE = 1 << 32


@attrs.frozen
class Share:
    """One instance's share of the requests that a cold replica can take."""

    rate_per_s: float
    """Of all instances together; 0: unlimited."""
    senders: int = 1
    """Number of instances that share the rate; 0: this one is not among them."""
    phase: float = 0.0
    """Start of the instance's first slot as a fraction of the slot period."""

    def allows(self, cold_since_s: float, last_sent_s: float, now_s: float) -> bool:
        """
        Whether one more request may be sent now.

        :param cold_since_s: when this instance learned that the replica is cold
        :param last_sent_s: when this instance last sent to the replica since then
        """
        if not self.rate_per_s:
            return True
        if not self.senders:
            return False
        period_s = self.senders / (RATE_UTILISATION * self.rate_per_s)
        first_slot_s = cold_since_s + self.phase * period_s
        index = math.floor((now_s - first_slot_s) / period_s)
        slot_start_s = first_slot_s + index * period_s
        length_s = min(MAX_SLOT_SHARE * period_s, MAX_SLOT_S)
        return index >= 0 and now_s - slot_start_s < length_s and last_sent_s < slot_start_s


UNLIMITED = Share(0.0)


def phase_of(instance: str, replica: str) -> float:
    """Return the phase of an instance's slots for a replica; phases are spread evenly."""
    return zlib.crc32(f"{replica}/{instance}".encode()) / _HASH_RANGE
