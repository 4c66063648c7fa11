"""
The share of extra sends (hedges and retries) that one instance may make.

The load pattern: replicas turn slow, every instance sends a second time, and the extra load keeps
them slow. All instances together may send only so many beyond the first of each request, in any
window; nobody counts them centrally, so each keeps to its part of the allowance. Where a few
instances send nearly all parts of a shard, most of its allowance is theirs: divided evenly among
hundreds, each has one or two, and most of those instances have nothing to send.
"""

from __future__ import annotations

import collections

import attrs

SAFETY = 0.8
"""Part of the allowance that is used: windows of the instances and of the replicas differ by a
round trip, and an instance that starts again forgets what it has used."""
OWNERS_SLACK_SHARE = 0.4
"""Part of a shard's slack for the instances that usually send to it. The rest is for those that
make up for a lost owner, and left over where owners change: each new one begins to count anew."""
_SLICES = 20


@attrs.frozen
class Allowance:
    """What all instances together may send beyond the first of each request."""

    ratio: float = 0.2
    slack: float = 50.0
    window_s: float = 10.0


class ExtraSends:
    """Requests and extra sends of one service over a sliding window, in slices of time."""

    def __init__(self, allowance: Allowance) -> None:
        self._allowance = allowance
        self._slice_s = allowance.window_s / _SLICES
        self._requests: collections.Counter[int] = collections.Counter()
        self._extras: collections.Counter[int] = collections.Counter()

    def set_allowance(self, allowance: Allowance) -> None:
        """Go by another ratio and slack from now on; the window stays as it is."""
        self._allowance = allowance

    def count_request(self, now_s: float) -> None:
        """Take note of a request for the service."""
        self._requests[int(now_s / self._slice_s)] += 1

    def count_extra(self, now_s: float) -> None:
        """Take note of an extra send, allowed or not to be avoided."""
        self._extras[int(now_s / self._slice_s)] += 1

    def try_spend(self, now_s: float, share: float) -> bool:
        """
        Send once more if that stays within this instance's part.

        :param share: this instance's part of the slack
        """
        if self.left(now_s, share) < 1.0:
            return False
        self.count_extra(now_s)
        return True

    def left(self, now_s: float, share: float) -> float:
        """Return how many extra sends are left in the present window."""
        current = int(now_s / self._slice_s)
        requests = _recent(self._requests, current)
        extras = _recent(self._extras, current)
        allowance = self._allowance
        allowed = allowance.ratio * requests + allowance.slack * share
        return SAFETY * allowed - extras


def slack_share(instances: int, owners: int, is_owner: bool) -> float:
    """
    Return the part of a service's slack that one instance may use.

    :param owners: how many instances usually send to it; 0 where all do
    :param is_owner: whether this is one of them
    """
    if not owners:
        return 1 / max(instances, 1)
    if is_owner:
        return OWNERS_SLACK_SHARE / owners
    return (1 - OWNERS_SLACK_SHARE) / max(instances, 1)


def _recent(counts: collections.Counter[int], current: int) -> int:
    for old in [each for each in counts if each < current - _SLICES]:
        del counts[old]
    return sum(counts.values())
