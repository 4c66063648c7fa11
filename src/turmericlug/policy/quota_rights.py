"""
Quotas of organisations: which part of an organisation's rate an instance may grant as its holder.

The load pattern: an organisation sends ten times its quota to all instances while links between
them, or the instances themselves, fail for anything from a tenth of a second on. Several instances
then grant tokens of one organisation, none of which knows what the others grant.

The invariant: at no time do the parts of the rate that all instances may grant add up to more than
the whole. Each instance counts for an equal part. The first holder grants the whole only under a
lease from the standby, which counts from when it was asked for. The standby grants no part until
the time that it has promised is over, which counts from its answer and is therefore later. Without
a lease, a holder grants its own part and those of the instances that have pledged theirs to it, and
an instance pledges to one holder at a time.

What several holders grant beyond the rate are the tokens that each begins with. The bound of a
window exceeds a full bucket and its refill by half of the slack, half of the overage and a tenth of
the burst; ``quota.Limit`` divides that among a standby, a holder that has just started, and
requests on the way.
"""

from __future__ import annotations

import math

import attrs

from turmericlug.policy import quota

PROMISE_FACTOR = 1.05
"""By how much a promise outlasts the lease, as two clocks may run at different rates."""
PLEDGE_S = 0.6
"""Time for which a pledge holds; it is asked for again before it ends."""
RIVAL_S = 1.0
"""Time for which a holder doubts that it is the first after another one has claimed to be."""


@attrs.define
class Rights:
    """What one instance may grant of one organisation, and what it has ceded to others."""

    started_s: float = -math.inf
    """When this instance has started, which doesn't know what it has promised before."""
    ceded_until_s: float = -math.inf
    """Until when this instance grants nothing as it has promised that to another holder."""
    pledged_until_s: float = -math.inf
    """Until when this instance's own part is pledged to another holder."""
    _to: quota.Sender = ("", 0)
    """The holder to which it has been ceded or pledged."""
    _lease_ends_s: float = -math.inf
    _lease_from: quota.Sender = ("", 0)
    _rival_until_s: float = -math.inf
    _pledges: float = 0.0
    _pledges_end_s: float = -math.inf

    @property
    def _unknown_until_s(self) -> float:
        """Until when a pledge of an earlier start of this instance may hold."""
        return self.started_s + PROMISE_FACTOR * max(PLEDGE_S, quota.MAX_LEASE_S)

    def share(self, now_s: float, is_first: bool, others: int, is_in_use: bool) -> float:
        """
        Return the part of the rate that this instance may grant.

        :param others: number of the other instances
        :param is_in_use: whether much has been granted here, so that a part of it matters
        """
        if now_s < self.ceded_until_s:
            return 0.0
        if not is_first and now_s < self._unknown_until_s:
            return 0.0
        if is_first and now_s >= self._rival_until_s:
            if not others or not is_in_use or now_s < self._lease_ends_s:
                return 1.0
        own = now_s >= max(self.pledged_until_s, self._unknown_until_s)
        pledged = self._pledges * others if now_s < self._pledges_end_s else 0.0
        return (own + pledged) / (1 + others)

    def changes(self, since_s: float, until_s: float) -> list[float]:
        """Return the times in a period at which the share may change by itself."""
        ends_s = {
            self._unknown_until_s,
            self.ceded_until_s,
            self.pledged_until_s,
            self._lease_ends_s,
            self._rival_until_s,
            self._pledges_end_s,
        }
        return sorted(end_s for end_s in ends_s if since_s < end_s <= until_s)

    # As a holder.

    def on_lease(self, asked_s: float, lease_s: float, standby: quota.Sender) -> bool:
        """
        Record that the standby grants nothing for the time of a lease.

        :param asked_s: when the lease was asked for, from which it counts
        :returns: whether the same standby has granted the last lease, too
        """
        is_same = standby == self._lease_from
        self._lease_from = standby
        self._lease_ends_s = max(self._lease_ends_s, asked_s + lease_s)
        return is_same

    def on_rival(self, now_s: float) -> None:
        """Record that another instance claims to be the first holder."""
        self._rival_until_s = now_s + RIVAL_S

    def on_pledges(self, asked_s: float, part: float, weight: float) -> None:
        """
        Record which part of the other instances has pledged its share.

        :param weight: 1 if all were asked; less for a sample, which is averaged with the last ones
        """
        last = self._pledges if asked_s < self._pledges_end_s else part
        self._pledges = last + weight * (part - last)
        self._pledges_end_s = asked_s + PLEDGE_S

    # As another instance.

    def cede(self, to: quota.Sender, lease_s: float, now_s: float) -> bool:
        """Promise a holder to grant nothing for a time; return whether another has no promise."""
        if to != self._to and now_s < max(self.ceded_until_s, self.pledged_until_s):
            return False
        self._to = to
        self.pledged_until_s = max(self.pledged_until_s, now_s + PROMISE_FACTOR * lease_s)
        self.ceded_until_s = max(self.ceded_until_s, now_s + PROMISE_FACTOR * lease_s)
        return True

    def pledge(self, to: quota.Sender, lease_s: float, now_s: float) -> bool:
        """Pledge this instance's part to a holder; return whether it is not pledged to another."""
        if now_s < self._unknown_until_s:
            return False
        if to != self._to and now_s < max(self.ceded_until_s, self.pledged_until_s):
            return False
        self._to = to
        self.pledged_until_s = max(self.pledged_until_s, now_s + PROMISE_FACTOR * lease_s)
        return True

    def is_idle(self, now_s: float) -> bool:
        """Whether nothing has to be remembered."""
        return not self.changes(now_s, math.inf)
