"""
Quotas of organisations: the decisions of the instance that holds an organisation's token bucket.

The load pattern: callers of one organisation send to any of some 76 instances, which are up to
25 ms apart, and together they must not exceed the organisation's rate and burst. Most organisations
are far below it, many with less than one request in ten seconds, so that a round trip for each
request, or a fixed share for each instance, would harm all of them in order to limit a few. A few
organisations exceed it with up to 80 requests a second at all instances together.

While much of the bucket is left (*open*), instances admit requests without asking, and report them.
Once little is left (*limited*), they ask for a token for each request that they have none for. The
capacity is chosen so that a caller within rate and burst finds a token even when everything is
counted; what the rule allows beyond the capacity covers requests that are admitted while the news
that the organisation is limited is on its way.

Tokens are of two kinds, as with the two-rate meter of RFC 2698: committed ones are added at the
organisation's rate up to its burst, excess ones stand for what the rule allows beyond. A request
takes a committed token if there is one. While an organisation sends twice its quota, the requests
beyond it thus take no token from those within it; with one kind, a third of these were refused.

Reports state totals since the start of an instance, so that a lost or repeated one changes nothing.
"""

from __future__ import annotations

import math

import attrs

from turmericlug.policy import quota
from turmericlug.policy import quota_usage

MAX_LIMITED_S = 60.0
"""Longest time for which an instance treats an organisation as limited without being told again."""
NOTICE_S = 0.15
"""Time until a request is reported and all instances are notified, if connections have to be opened
for both: three one-way latencies each. The requests of this time are admitted without asking."""
OPEN_LEASE_S = 1.0
LIMITED_LEASE_S = 0.4
"""Lifetime of leased tokens. It is short while tokens are scarce, since a token that one instance
holds without need is missing at another."""
LEASE_GRACE_S = 0.4
"""Time after which the holder takes back the tokens of a lease that has expired at the instance.
The report of their use takes a round trip, or two if a connection has to be opened."""
MAX_REFUSE_S = 2.0
"""Longest time for which an instance refuses without asking. A raised limit and refunds take effect
after it."""
ASKS_PER_TOKEN = 2.0
MIN_ASKS_PER_S = 25.0
"""Aimed-at rate of requests for tokens while an organisation is limited, as a multiple of the rate
of tokens. All tokens are then used; each request for one costs the holder some 0.2 ms, so that the
minimum takes a hundredth of a core. Below it, only the holder refuses, in the order of arrival."""
MAX_DEBT_SHARE = 0.1
"""Share of the slack by which excess tokens may be overdrawn while committed ones are granted. Half
of what the reserve allows for requests on the way remains for those."""
SPREAD_STEP = 1.1
MIN_SPREAD_S = 0.02
"""The time for which instances refuse grows or shrinks by this factor with each request for tokens
that is refused, from less than a round trip on."""
ASK_WINDOW_S = 0.5
USE_WINDOW_S = 0.15
"""Windows of the rates of requests for tokens and of reported requests. The second has to show a
burst before it has spent the bucket, in about a quarter of a second."""
CONTESTED_SHARE = 0.5
"""Part of the other instances that a holder is assumed to reach until it has found out, while
another holder may grant tokens too."""
IN_USE_SHARE = 0.75
IDLE_WINDOWS = 2
"""Windows without a report after which the holder forgets an instance."""
_EPSILON = 1e-9


@attrs.define
class Account:
    """What the holder knows about one start of one instance."""

    used: int
    reported_s: float
    sequence: int = 0
    held: int = 0
    expires_s: float = math.inf
    """When the tokens that are held return to the bucket."""
    knows_limited: bool = False
    """Whether the instance was last told that the organisation is limited."""


class Bucket:
    """The tokens of one organisation, at its holder."""

    def __init__(
        self,
        limit: quota.Limit,
        now_s: float,
        is_young: bool = False,
        share: float = 1.0,
        origin: int = 0,
    ) -> None:
        """
        Create the bucket.

        :param is_young: whether this instance has started less than a window ago
        :param share: what this holder may grant of rate and capacity
        :param origin: random number that identifies the start of this instance
        """
        self.limit = limit
        self.share = share
        self._origin = origin
        self._born_s = self._updated_s = now_s
        self.leased = 0
        """Tokens that are leased and, as far as known, not used."""
        self._committed = self._excess = 0.0
        self._recent_use = quota_usage.RecentUse(limit.rule.window_s)
        self._raised_s = self._raised_from = -math.inf
        """When the limit was raised last, and the level before."""
        self._largest_start = math.inf
        if is_young or share < 1:
            self._largest_start = limit.uncertain_level
        self._add(self._capacity)
        self._lower_to(self._largest_start)
        self._is_inherited = False
        """Whether an instance has stated the level at the previous holder."""
        self._accounts: dict[quota.Sender, Account] = {}
        self._next_expiry_s = math.inf
        self.is_limited = False
        self.reported_s = now_s
        """Time of the last report."""
        self._spread_s = MIN_SPREAD_S
        self._asks = quota.DecayingRate(ASK_WINDOW_S)
        self._uses = quota.DecayingRate(USE_WINDOW_S)
        self._update_state(now_s)

    @property
    def level(self) -> float:
        """The tokens of both kinds; negative if more requests than that were admitted."""
        return self._committed + self._excess

    def _add(self, tokens: float) -> None:
        """Add tokens: committed ones up to the burst, then excess ones up to the capacity."""
        committed = min(tokens, max(self.limit.committed * self.share - self._committed, 0.0))
        self._committed += committed
        self._excess = min(
            self._excess + tokens - committed, self._capacity - self.leased - self._committed
        )

    def _take(self, tokens: int) -> None:
        """Take tokens, of each a whole committed one if there is one."""
        committed = min(tokens, max(math.floor(self._committed + _EPSILON), 0))
        self._committed -= committed
        self._excess -= tokens - committed
        self._recent_use.add(self._updated_s, tokens)

    def _give_back(self, tokens: int) -> None:
        """Add tokens that were taken and not used."""
        self._add(tokens)
        self._recent_use.add(self._updated_s, -tokens)

    def _lower_to(self, level: float) -> None:
        """Lower the level if it is higher; what is left is committed as far as possible."""
        if self.level > level:
            self._committed = min(max(level, 0.0), self._committed)
            self._excess = level - self._committed

    @property
    def _capacity(self) -> float:
        return max(self.limit.capacity * self.share, 1.0)

    @property
    def _refill_per_s(self) -> float:
        return self.limit.refill_per_s * self.share

    @property
    def is_in_use(self) -> bool:
        """Whether so much has been spent that another holder's tokens may exceed the rule."""
        return self.is_limited or self.level < IN_USE_SHARE * self._capacity

    def used_per_s(self, now_s: float) -> float:
        """Return the rate of requests that all instances have reported."""
        return self._uses.get(now_s)

    def set_limit(self, limit: quota.Limit, share: float, now_s: float) -> None:
        """
        Apply the limit of the configuration in force; a raised one counts at once.

        Its tokens are added as far as they have not been spent in the last window: a limit that is
        lowered and restored doesn't grant its burst again.

        :param share: what this holder may grant of rate and capacity
        """
        if limit == self.limit and share == self.share:
            return
        self.advance(now_s)
        if self.level > 0:
            # The other holder begins with the rest.
            self._lower_to(self.level * min(share / self.share, 1.0))
        raised_by = (limit.capacity - self.limit.capacity) * share
        self.limit, self.share = limit, share
        if raised_by > 0:
            self._raised_s, self._raised_from = now_s, self.level
            self._add(min(raised_by, max(self._unspent(now_s) - self.level, 0.0)))
        self._committed = min(self._committed, limit.committed * share)
        self._lower_to(self._capacity - self.leased)
        self._update_state(now_s)

    def _unspent(self, now_s: float) -> float:
        """Return the level that the bucket would have if the limit had been in force before."""
        level = self._recent_use.level(self._capacity, self._refill_per_s, now_s)
        age_s = now_s - self._born_s
        is_level_known = self._is_inherited and self.share == 1
        if math.isinf(self._largest_start) or is_level_known or age_s > self.limit.rule.window_s:
            return level
        uncertain = self.limit.uncertain_level + self._refill_per_s * age_s
        return min(level, self._recent_use.level(uncertain, 0.0, now_s))

    def advance(self, now_s: float) -> None:
        """Add the tokens of the time that has passed, and take back those of expired leases."""
        if now_s >= self._next_expiry_s:
            self._expire_leases(now_s)
        passed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = max(now_s, self._updated_s)
        # The rule bounds what is used in a window, so that an excess from before it is forgotten.
        floor = -self._refill_per_s * self.limit.rule.window_s
        self._excess = max(self._excess, floor)
        self._excess += self.limit.excess_refill_per_s * self.share * passed_s
        self._add(self.limit.rate_per_s * self.share * passed_s)
        self._update_state(now_s)

    def _expire_leases(self, now_s: float) -> None:
        self._next_expiry_s = math.inf
        for account in self._accounts.values():
            if not account.held:
                continue
            if now_s >= account.expires_s:
                self.leased -= account.held
                self._give_back(account.held)
                account.held = 0
            else:
                self._next_expiry_s = min(self._next_expiry_s, account.expires_s)

    def _limited_below(self, now_s: float) -> float:
        on_the_way = self.used_per_s(now_s) * NOTICE_S
        return max(self.limit.reserve * self.share, min(on_the_way, self._capacity / 2))

    def _open_above(self, now_s: float) -> float:
        level = max(self.limit.rule.slack / 2 * self.share, 1.5 * self._limited_below(now_s))
        return min(level, 0.8 * self._capacity)

    def _update_state(self, now_s: float) -> None:
        if self.is_limited:
            self.is_limited = self.level + _EPSILON < self._open_above(now_s)
        else:
            self.is_limited = self.level < self._limited_below(now_s)

    def report(
        self, sender: quota.Sender, sequence: int, report: quota.Report, now_s: float
    ) -> quota.Notice:
        """
        Account for a report and grant tokens.

        :param sequence: number of the message; one that is not later than the last changes nothing
        """
        self.advance(now_s)
        account = self._accounts.get(sender)
        if account is None:
            account = self._accounts[sender] = self._open_account(report, now_s)
        elif sequence <= account.sequence:
            return self.notice(report.organisation, now_s)
        account.sequence = sequence
        account.reported_s = self.reported_s = now_s
        # Requests from before the window don't count, however late they are reported.
        used = min(report.used - account.used, report.used_in_window)
        taken = used + report.held - account.held
        self.leased += report.held - account.held
        if taken >= 0:
            self._take(taken)
        else:
            self._give_back(-taken)
        account.used, account.held = report.used, report.held
        self._uses.add(now_s, max(used, 0))
        self._update_state(now_s)
        return self._grant(account, report, now_s)

    def _open_account(self, report: quota.Report, now_s: float) -> Account:
        """
        Begin to account for an instance whose earlier requests another holder has counted.

        The level at that holder includes them. Without it, those of the current window count.
        """
        is_young = now_s - self._born_s < self.limit.rule.window_s
        if is_young and report.known_level is not None and report.known_origin != self._origin:
            level = report.known_level * self.share + self._refill_per_s * report.known_age_s
            if not self._is_inherited:
                self._add(self._capacity)
                self._lower_to(self._largest_start if self.share < 1 else self._capacity)
            self._lower_to(level)
            self._is_inherited = True
        if not (is_young and self._is_inherited):
            return Account(report.used - report.used_in_window, now_s)
        # The stated level excludes tokens that the instance holds, which are deducted as reported.
        self._give_back(report.held)
        unreported = min(report.unreported, report.used_in_window)
        self._recent_use.add(now_s, report.used_in_window - unreported)
        if now_s - self._raised_s <= self.limit.rule.window_s:
            self._lower_to(max(self._unspent(now_s), self._raised_from))
        return Account(report.used - unreported, now_s)

    def _grant(self, account: Account, report: quota.Report, now_s: float) -> quota.Notice:
        granted = min(report.waiting, self._whole_tokens())
        ahead = 0
        if granted == report.waiting and report.wanted:
            spare = self.level - granted - (0 if self.is_limited else self._limited_below(now_s))
            spare = min(spare / 4, self.limit.max_leased * self.share - self.leased)
            ahead = min(report.wanted, max(math.floor(spare), 0))
        refuse_s = 0.0
        if report.waiting:
            self._asks.add(now_s)
            if granted < report.waiting:
                refuse_s = self._refuse_s(now_s)
        lease_s = LIMITED_LEASE_S if self.is_limited else OPEN_LEASE_S
        # The requests that wait use their tokens as soon as they get them.
        account.used += granted
        self._uses.add(now_s, granted)
        self._take(granted + ahead)
        if ahead:
            self.leased += ahead
            account.held += ahead
            account.expires_s = now_s + lease_s + LEASE_GRACE_S
            self._next_expiry_s = min(self._next_expiry_s, account.expires_s)
        self._update_state(now_s)
        account.knows_limited = self.is_limited
        return self.notice(report.organisation, now_s, granted + ahead, lease_s, refuse_s)

    def _whole_tokens(self) -> int:
        """Return how many tokens may be granted now."""
        debt = max(-self._excess - MAX_DEBT_SHARE * self.limit.rule.slack, 0.0)
        committed, excess = math.floor(self._committed - debt + _EPSILON), math.floor(self._excess)
        return max(committed, 0) + max(excess, 0)

    def _refuse_s(self, now_s: float) -> float:
        """
        Return how long an instance refuses without asking.

        It is at least the time until there is a token, and longer the more instances ask. When it
        ends the level is at most half of the slack. A caller within rate and burst never finds less
        in the bucket, so that none is refused.
        """
        refill_per_s = max(self._refill_per_s, _EPSILON)
        until_token_s = max(1 - self._committed, 0.0) / refill_per_s
        longest_s = (self.limit.rule.slack / 2 * self.share - self.level) / refill_per_s
        aim_per_s = max(ASKS_PER_TOKEN * refill_per_s, MIN_ASKS_PER_S)
        step = SPREAD_STEP if self._asks.get(now_s) > aim_per_s else 1 / SPREAD_STEP
        self._spread_s = min(max(self._spread_s * step, MIN_SPREAD_S), MAX_REFUSE_S)
        return min(max(until_token_s, min(self._spread_s, longest_s)), MAX_REFUSE_S)

    def _limited_s(self, now_s: float) -> float:
        """
        Return for how long instances should treat the organisation as limited.

        It can't be open before the level has risen. An instance admits its first request after this
        time without asking. With 2 s, 76 instances that get 38 requests a second together would
        admit 14 a second so; with a window they admit less than the rule allows beyond the rate.
        """
        if not self.is_limited:
            return 0.0
        until_open_s = (self._open_above(now_s) - self.level) / max(self._refill_per_s, _EPSILON)
        return min(max(until_open_s, self.limit.rule.window_s), MAX_LIMITED_S)

    def notice(
        self,
        organisation: str,
        now_s: float,
        granted: int = 0,
        lease_s: float = 0.0,
        refuse_s: float = 0.0,
    ) -> quota.Notice:
        """Return the current state, with any tokens that have been granted."""
        limited_s = self._limited_s(now_s)
        return quota.Notice(
            organisation, granted, lease_s, limited_s, refuse_s, self.level, self._origin
        )

    def take_unaware(self, now_s: float) -> list[str]:
        """
        Return the instances to be told that the organisation has become limited.

        They have been told that it is open, and asked within the last window.
        """
        unaware = [
            (sender, account)
            for sender, account in self._accounts.items()
            if not account.knows_limited and now_s - account.reported_s <= self.limit.rule.window_s
        ]
        for _, account in unaware:
            account.knows_limited = True
        return list({name: None for (name, _), _ in unaware})

    def forget_idle(self, now_s: float) -> bool:
        """
        Forget instances that have not reported for some windows.

        :returns: whether nothing is left that a new bucket would not have
        """
        self.advance(now_s)
        idle_after_s = IDLE_WINDOWS * self.limit.rule.window_s
        self._accounts = {
            sender: account
            for sender, account in self._accounts.items()
            if account.held or now_s - account.reported_s <= idle_after_s
        }
        return not self._accounts and self.level + _EPSILON >= self._capacity
