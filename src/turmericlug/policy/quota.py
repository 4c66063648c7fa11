"""
Quotas of organisations: the rule that bounds them, and what instances tell each other about them.

The load pattern and the decisions of a holder are described in ``quota_bucket``, those of an
instance that admits requests in ``quota_share``.
"""

from __future__ import annotations

import heapq
import math
from collections import abc

import attrs
import xxhash

STANDBY_BURST_SHARE = 0.04
STANDBY_SLACK_SHARE = 3 / 16
STANDBY_OVERAGE_SHARE = 0.4
YOUNG_BURST_SHARE = 0.06
YOUNG_SLACK_SHARE = 3 / 16
"""What a standby and a holder that has just started begin with. A full bucket and its refill leave
half of the slack, half of the overage and, with an overage of a tenth, a tenth of the burst: both
fit in beside it, and an eighth of the slack is left for requests on the way."""
MIN_LEASE_S = 0.3
"""The shortest lease outlasts an exchange that times out and the next one."""
MAX_LEASE_S = 0.8
_EPSILON = 1e-9


@attrs.frozen
class Rule:
    """How far the requests that run in a window may exceed an organisation's rate and burst."""

    window_s: float
    overage: float
    slack: float


@attrs.frozen
class Limit:
    """The quota of an organisation under a rule."""

    rule: Rule
    rate_per_s: float
    burst: float

    @property
    def capacity(self) -> float:
        """The largest number of tokens in the bucket."""
        return max(self.burst + self.rule.slack / 2, 1.0)

    @property
    def committed(self) -> float:
        """The largest number of committed tokens: those for requests within rate and burst."""
        return max(self.burst, 1.0)

    @property
    def excess_refill_per_s(self) -> float:
        """The rate at which tokens beyond the organisation's own rate are added."""
        return self.rate_per_s * self.rule.overage / 2

    @property
    def refill_per_s(self) -> float:
        """The rate at which tokens are added."""
        return self.rate_per_s + self.excess_refill_per_s

    @property
    def reserve(self) -> float:
        """
        The level below which an organisation is limited: a quarter of the slack.

        It is what is admitted while a notice is on its way. With 25 ms between instances and 80
        requests a second that is five requests, a quarter of a slack of 20.
        """
        return max(self.rule.slack / 4, 1.0)

    @property
    def max_leased(self) -> float:
        """
        How many tokens may be leased ahead of their use to all instances together.

        Tokens of an instance that is cut off return to the bucket although they may be used.
        """
        return self.reserve + self.rate_per_s * self.rule.window_s * self.rule.overage / 4

    @property
    def young_level(self) -> float:
        """The level with which a holder begins that has just started: all may have lost power."""
        return YOUNG_SLACK_SHARE * self.rule.slack + YOUNG_BURST_SHARE * self.burst

    @property
    def standby_level(self) -> float:
        """
        The most that a standby may have in its bucket.

        The holder may be alive behind a cut link, with a full bucket.
        """
        excess = self.rate_per_s * self.rule.window_s * self.rule.overage
        return (
            STANDBY_SLACK_SHARE * self.rule.slack
            + STANDBY_BURST_SHARE * self.burst
            + STANDBY_OVERAGE_SHARE * excess
        )

    @property
    def lease_s(self) -> float:
        """
        The time for which the first holder may grant the whole rate without asking the standby.

        In about this time a standby uses up what it begins with, at the whole rate.
        """
        longest_s = self.standby_level / max(self.refill_per_s, _EPSILON)
        return min(max(longest_s, MIN_LEASE_S), MAX_LEASE_S)

    @property
    def spare_rate_per_s(self) -> float:
        """The rate that instances without a holder may add without exceeding the rule."""
        return self.rate_per_s * self.rule.overage / 2 + self.reserve / self.rule.window_s


@attrs.frozen
class Report:
    """What an instance reports about one organisation to its holder."""

    organisation: str
    used: int
    """Requests admitted since the start of the instance, less those that were refunded."""
    used_in_window: int
    """Those of them that were admitted in the current window."""
    unreported: int = 0
    """Those of them that were admitted without a token since a holder has answered."""
    held: int = 0
    """Leased tokens that are left."""
    waiting: int = 0
    """Requests that wait for a token."""
    wanted: int = 0
    """Further tokens that the instance expects to use before the lease expires."""
    known_level: float | None = None
    """The level that the last holder stated; ``None`` if none has."""
    known_age_s: float = 0.0
    known_origin: int = 0
    """The start of the instance that has stated it."""
    rate_per_s: float = 0.0
    """The limit by the instance's configuration, with ``burst``; 0: not stated."""
    burst: float = 0.0


@attrs.frozen
class Notice:
    """What the holder of an organisation tells an instance."""

    organisation: str
    granted: int = 0
    lease_s: float = 0.0
    limited_s: float = 0.0
    """Time for which the organisation is limited; 0 if it is open."""
    refuse_s: float = 0.0
    """Time for which the instance should refuse without asking."""
    level: float = 0.0
    """Infinite if the organisation has no limit."""
    origin: int = 0
    """Identifies the start of the holder."""
    is_known: bool = True
    """Whether an infinite level means that there is no limit; otherwise the sender may not know."""


Sender = tuple[str, int]
"""Name of an instance, and a random number that identifies its start."""


def holders(organisation: str, instances: abc.Iterable[str]) -> list[str]:
    """Return the holder of an organisation and its standby, the first two by rendezvous hash."""

    def rank(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{organisation}\0{name}".encode()), name

    return heapq.nsmallest(2, instances, key=rank)


@attrs.define
class DecayingRate:
    """The rate of recent events, of which older ones count less."""

    window_s: float
    _rate_per_s: float = 0.0
    _at_s: float = 0.0

    def add(self, now_s: float, count: int = 1) -> None:
        """Count events."""
        self._rate_per_s = self.get(now_s) + count / self.window_s
        self._at_s = now_s

    def get(self, now_s: float) -> float:
        """Return the current rate."""
        if not self._rate_per_s:
            return 0.0
        return self._rate_per_s * math.exp(-max(now_s - self._at_s, 0.0) / self.window_s)
