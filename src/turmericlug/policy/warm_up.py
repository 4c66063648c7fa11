"""
How much one instance may send to a replica that is cold: pure functions of rate, share and time.

The load pattern: the replicas of a data centre come back together, cold, and every instance sends
to each of them at once. Nobody counts for all instances, so that each has moments of its own, and
what it does not use in one of them is lost: kept for later, the unused shares of many instances
would arrive together.
"""

from __future__ import annotations

import math
import zlib

import attrs

NOMINAL_SHARE = 0.6
"""Part of the stated rate that is used: the moments of instances fall together by chance."""
LONGEST_MOMENT_S = 0.25
MOMENT_SHARE = 0.5
"""Part of the time between two moments of an instance that a moment lasts at the most."""
_HASHES = 1 << 32


@attrs.frozen
class Share:
    """One instance's part of the requests that a cold replica bears."""

    rate_per_s: float
    """Of all instances together; 0: not limited."""
    senders: int = 1
    """How many instances divide it; 0: this one is not among them."""
    phase: float = 0.0
    """Where between two of its moments this instance begins, from 0 to 1."""

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
        moment_s = begin_s + turn * period_s
        length_s = min(MOMENT_SHARE * period_s, LONGEST_MOMENT_S)
        return turn >= 0 and now_s - moment_s < length_s and sent_s < moment_s


UNLIMITED = Share(0.0)


def phase_of(instance: str, replica: str) -> float:
    """Return where an instance's moments for a replica begin: spread evenly over instances."""
    return zlib.crc32(f"{replica}/{instance}".encode()) / _HASHES
