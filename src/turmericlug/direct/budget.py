"""
The retry budget: how many extra attempts (hedges and retries) one instance may make.

Without a limit, slow replicas make every instance send requests a second time, and the extra load
keeps the replicas slow. In any time window, all instances together may make only a limited number
of attempts beyond the first one of each request. There is no central counter, so each instance
keeps to its share of the allowance. Where a few owners send nearly all parts of a shard, they get
a large part of its allowance: divided evenly among hundreds of instances it would leave each one
or two extra attempts, and most of these instances have no parts to send.

One organisation whose requests are slow, or that sends twelve times its usual load, would use up
the budget, and the parts of all others would wait for replicas that pause. Beyond its part of the
budget an organisation may therefore use only what is left above a reserve for the others.
"""

from __future__ import annotations

import collections

import attrs

SAFETY_FACTOR = 0.8
"""Fraction of the allowance that is used. The windows of instances and replicas differ by a round
trip, and an instance that restarts loses its counts."""
OWNERS_SLACK_SHARE = 0.4
"""Fraction of a shard's slack that its owners share. The rest is for instances that stand in for a
lost owner, and a reserve for changes of owners, as a new owner starts with empty counts."""
RESERVED_SHARE = 0.3
"""Share of the budget that organisations within their parts can always use. A larger reserve would
deny hedges to an organisation on days when no other needs them."""
_SLICES = 20
"""Number of time slices in a window."""


@attrs.frozen
class Allowance:
    """Limit on the extra attempts of all instances together, in one window."""

    ratio: float = 0.2
    """Extra attempts for each request."""
    slack: float = 50.0
    """Extra attempts that are allowed whatever the number of requests."""
    window_s: float = 10.0


class _Window:
    """Counts events over a sliding window of time slices."""

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, current_slice: int) -> None:
        """Count an event."""
        if current_slice not in self._counts:
            self._drop_expired(current_slice)
        self._counts[current_slice] += 1

    def total(self, current_slice: int) -> int:
        """Return the number of events in the window."""
        self._drop_expired(current_slice)
        return self._counts.total()

    def _drop_expired(self, current_slice: int) -> None:
        for slice_number in [
            slice_number for slice_number in self._counts if slice_number < current_slice - _SLICES
        ]:
            del self._counts[slice_number]


@attrs.define
class _Usage:
    """The requests to a service and the extra attempts, of one organisation or of all."""

    requests: _Window = attrs.field(factory=_Window)
    extras: _Window = attrs.field(factory=_Window)


class RetryBudget:
    """Counts requests to a service and extra attempts over a sliding window of time slices."""

    def __init__(self, allowance: Allowance) -> None:
        self._allowance = allowance
        self._slice_s = allowance.window_s / _SLICES
        self._all = _Usage()
        self._by_organisation: dict[str, _Usage] = {}

    def set_allowance(self, allowance: Allowance) -> None:
        """Apply another ratio and slack; the window length does not change."""
        self._allowance = allowance

    def count_request(self, now_s: float, organisation: str = "") -> None:
        """
        Count a request to the service.

        :param organisation: name of the caller's organisation; empty if it needs none
        """
        for usage in self._usages(organisation):
            usage.requests.add(self._slice(now_s))

    def count_extra(self, now_s: float, organisation: str = "") -> None:
        """Count an extra attempt, whether the budget allowed it or it could not be avoided."""
        for usage in self._usages(organisation):
            usage.extras.add(self._slice(now_s))

    def try_spend(self, now_s: float, share: float, organisation: str = "") -> bool:
        """
        Count an extra attempt if the budget allows it.

        :param share: this instance's share of the slack
        :returns: whether the attempt may be made
        """
        remaining = self.remaining(now_s, share)
        if remaining < 1.0:
            return False
        if organisation and not self._organisation_may_spend(now_s, share, organisation, remaining):
            return False
        self.count_extra(now_s, organisation)
        return True

    def remaining(self, now_s: float, share: float) -> float:
        """
        Return how many extra attempts are left in the current window.

        :param share: this instance's share of the slack
        """
        return self._allowed(now_s, share) - self._all.extras.total(self._slice(now_s))

    def _allowed(self, now_s: float, share: float) -> float:
        requests = self._all.requests.total(self._slice(now_s))
        return SAFETY_FACTOR * (self._allowance.ratio * requests + self._slack(share))

    def _organisation_may_spend(
        self, now_s: float, share: float, organisation: str, remaining: float
    ) -> bool:
        """
        Whether an organisation is within its part, or enough is left for the others beyond it.

        Its part is the ratio of its own requests and an even part of the slack, but at least one
        attempt: many small organisations have less than one each.
        """
        if remaining - 1.0 >= RESERVED_SHARE * self._allowed(now_s, share):
            return True
        current_slice = self._slice(now_s)
        active = [
            name
            for name, usage in self._by_organisation.items()
            if usage.requests.total(current_slice)
        ]
        if not set(active) - {organisation}:
            return True
        own = self._by_organisation.setdefault(organisation, _Usage())
        part = SAFETY_FACTOR * (
            self._allowance.ratio * own.requests.total(current_slice)
            + self._slack(share) / len({*active, organisation})
        )
        return own.extras.total(current_slice) + 1 <= max(part, 1.0)

    def _usages(self, organisation: str) -> tuple[_Usage, ...]:
        if not organisation:
            return (self._all,)
        return self._all, self._by_organisation.setdefault(organisation, _Usage())

    def _slack(self, share: float) -> float:
        return self._allowance.slack * share

    def _slice(self, now_s: float) -> int:
        return int(now_s / self._slice_s)


def slack_share(
    instances: int,
    owners: int,
    is_owner: bool,
    capacity_share: float | None = None,
    relative_weight: float = 1.0,
) -> float:
    """
    Return the share of a service's slack that one instance may use.

    :param instances: the number of all instances
    :param owners: the number of instances that usually send to the service; 0 if all do
    :param is_owner: whether the instance is one of these owners
    :param capacity_share: the instance's share of the capacity of all; ``None``: an equal share
    :param relative_weight: the weight of an owner, as a multiple of the owners' mean weight
    """
    own_share = 1 / max(instances, 1) if capacity_share is None else capacity_share
    if not owners:
        return own_share
    if is_owner:
        return OWNERS_SLACK_SHARE / owners * relative_weight
    return (1 - OWNERS_SLACK_SHARE) * own_share
