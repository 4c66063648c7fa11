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

from turmericlug.policy import quota
from turmericlug.policy import quota_spread
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
MAX_REFUSE_S = quota_spread.MAX_S
"""Longest time for which an instance refuses without asking."""
MAX_DEBT_SHARE = 0.1
"""Share of the slack by which excess tokens may be overdrawn while committed ones are granted. Half
of what the reserve allows for requests on the way remains for those."""
USE_WINDOW_S = 0.15
"""Window of the rate of reported requests. It has to show a burst before it has spent the bucket,
in about a quarter of a second."""
MAX_WITHHELD_S = 0.3
"""Time of which the tokens that were withheld are added after all; a standby that has granted
nothing states so after this time."""
IN_USE_SHARE = 0.75
IDLE_WINDOWS = 2
"""Windows without a report after which the holder forgets an instance."""
_EPSILON = 1e-9


class Bucket:
    """The tokens of one organisation, at its holder."""

    def __init__(
        self,
        limit: quota.Limit,
        now_s: float,
        is_young: bool = False,
        is_standby: bool = False,
        origin: int = 0,
    ) -> None:
        """
        Create the bucket.

        :param is_young: whether this instance has started less than a window ago
        :param is_standby: whether another holder may have a bucket, too
        :param origin: random number that identifies the start of this instance
        """
        self.limit = limit
        self.share = 1.0
        """What this holder may grant of the rate."""
        self._expected_share = 1.0
        self._withheld = 0.0
        """Tokens of the last moments that were not added as the share was less than the whole."""
        self._is_young, self._is_standby = is_young, is_standby
        self._origin = origin
        self._born_s = self._updated_s = now_s
        self.leased = 0
        """Tokens that are leased and, as far as known, not used."""
        self._committed = self._excess = 0.0
        self._recent_use = quota_usage.RecentUse(limit.rule.window_s)
        self._standby_taken_s = -math.inf
        """When a token was taken last while another instance was the first holder."""
        self._taken = 0
        """Tokens taken in all."""
        self._raised_s = self._raised_from = -math.inf
        """When the limit was raised last, and the level before."""
        self._add(self._capacity)
        if is_young:
            self._lower_to(limit.young_level)
        self._is_inherited = False
        """Whether an instance has stated the level at the previous holder."""
        self._accounts: dict[quota.Sender, quota_usage.Account] = {}
        self._next_expiry_s = math.inf
        self.is_limited = False
        self.reported_s = now_s
        """Time of the last report."""
        self._spread = quota_spread.Spread()
        self._uses = quota.DecayingRate(USE_WINDOW_S)
        self._update_state(now_s)

    @property
    def updated_s(self) -> float:
        """The time up to which tokens have been added."""
        return self._updated_s

    @property
    def level(self) -> float:
        """The tokens of both kinds; negative if more requests than that were admitted."""
        return self._committed + self._excess

    def _add(self, tokens: float) -> None:
        """Add tokens: committed ones up to the burst, then excess ones up to the capacity."""
        largest = min(self.limit.committed, self._capacity)
        committed = min(tokens, max(largest - self._committed, 0.0))
        self._committed += committed
        self._excess = min(
            self._excess + tokens - committed, self._capacity - self.leased - self._committed
        )

    def _take(self, tokens: int) -> None:
        """Take tokens, of each a whole committed one if there is one."""
        committed = min(tokens, max(math.floor(self._committed + _EPSILON), 0))
        self._committed -= committed
        self._excess -= tokens - committed
        self._count_taken(tokens)

    def _give_back(self, tokens: int) -> None:
        """Add tokens that were taken and not used."""
        self._add(tokens)
        self._count_taken(-tokens)

    def _count_taken(self, tokens: int) -> None:
        self._taken += tokens
        self._recent_use.add(self._updated_s, tokens)
        if self._is_standby:
            self._standby_taken_s = self._updated_s

    def _lower_to(self, level: float) -> None:
        """Lower the level if it is higher; what is left is committed as far as possible."""
        if self.level > level:
            self._committed = min(max(level, 0.0), self._committed)
            self._excess = level - self._committed

    @property
    def _capacity(self) -> float:
        return max(self.limit.standby_level, 1.0) if self._is_standby else self.limit.capacity

    @property
    def _refill_per_s(self) -> float:
        return self.limit.refill_per_s * self._expected_share

    @property
    def is_in_use(self) -> bool:
        """Whether so much has been spent that another holder's tokens may exceed the rule."""
        if self.is_limited or self.level < IN_USE_SHARE * self._capacity:
            return True
        return self._recent_use.total(self._updated_s) > self.limit.reserve

    def used_per_s(self, now_s: float) -> float:
        """Return the rate of requests that all instances have reported."""
        return self._uses.get(now_s)

    def set_limit(self, limit: quota.Limit, now_s: float) -> None:
        """
        Apply the limit of the configuration in force; a raised one counts at once.

        Its tokens are added as far as they have not been spent in the last window: a limit that is
        lowered and restored doesn't grant its burst again.
        """
        if limit == self.limit:
            return
        self.advance(now_s)
        last_capacity, self.limit = self._capacity, limit
        raised_by = self._capacity - last_capacity
        if raised_by > 0:
            self._raised_s, self._raised_from = now_s, self.level
            self._add(min(raised_by, max(self._unspent(now_s) - self.level, 0.0)))
        self._committed = min(self._committed, limit.committed)
        self._lower_to(self._capacity - self.leased)
        self._update_state(now_s)

    def set_share(self, share: float, now_s: float, expected: float = 1.0) -> None:
        """
        Change what this holder may grant of the rate from now on.

        :param expected: what it is expected to be soon, for the times that callers are told
        """
        self.advance(now_s)
        self.share, self._expected_share = share, expected

    def set_role(self, is_standby: bool, now_s: float) -> None:
        """Change whether another instance is the first holder."""
        if is_standby != self._is_standby:
            self.advance(now_s)
            self._is_standby, self._withheld = is_standby, 0.0
            self._lower_to(self._capacity)
            self._update_state(now_s)

    def add_withheld(self, now_s: float) -> None:
        """Add the tokens that were withheld, as no other holder has granted them meanwhile."""
        self.advance(now_s)
        self._add(self._withheld)
        self._withheld = 0.0
        self._update_state(now_s)

    def _unspent(self, now_s: float) -> float:
        """Return the level that the bucket would have if the limit had been in force before."""
        level = self._recent_use.level(self._capacity, self.limit.refill_per_s, now_s)
        age_s = now_s - self._born_s
        is_level_known = self._is_inherited or not self._is_young
        if self._is_standby or is_level_known or age_s > self.limit.rule.window_s:
            return level
        uncertain = self.limit.young_level + self.limit.refill_per_s * age_s
        return min(level, self._recent_use.level(uncertain, 0.0, now_s))

    def advance(self, now_s: float) -> None:
        """Add the tokens of the time that has passed, and take back those of expired leases."""
        if now_s >= self._next_expiry_s:
            self._expire_leases(now_s)
        passed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = max(now_s, self._updated_s)
        # The rule bounds what is used in a window, so that an excess from before it is forgotten.
        floor = -self.limit.refill_per_s * self.limit.rule.window_s
        self._excess = max(self._excess, floor)
        self._excess += self.limit.excess_refill_per_s * self.share * passed_s
        self._add(self.limit.rate_per_s * self.share * passed_s)
        if self._is_standby and now_s - self._standby_taken_s > self.limit.rule.window_s:
            self._add(self._capacity)
        withheld = self._withheld + self.limit.refill_per_s * (1 - self.share) * passed_s
        self._withheld = min(withheld, self.limit.refill_per_s * MAX_WITHHELD_S)
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
        return max(self.limit.reserve, min(on_the_way, self.limit.capacity / 2))

    def _open_above(self, now_s: float) -> float:
        level = max(self.limit.rule.slack / 2, 1.5 * self._limited_below(now_s))
        return min(level, 0.8 * self.limit.capacity)

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
        elif report.known_level is not None and report.known_origin != self._origin:
            # Another holder has answered last, and counts what it has granted.
            account.used = report.used - min(report.unreported, report.used_in_window)
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

    def _open_account(self, report: quota.Report, now_s: float) -> quota_usage.Account:
        """
        Begin to account for an instance whose earlier requests another holder has counted.

        The level at that holder includes them. Without it, those of the current window count.
        """
        is_young = now_s - self._born_s < self.limit.rule.window_s
        if is_young and report.known_level is not None and report.known_origin != self._origin:
            level = report.known_level + self.limit.refill_per_s * report.known_age_s
            if not self._is_inherited:
                self._add(self._capacity)
            if report.known_age_s > now_s - self._born_s:
                # The last holder has stated it before this one granted anything.
                level -= self._taken
            self._lower_to(level)
            self._is_inherited = True
        if not (is_young and self._is_inherited):
            return quota_usage.Account(report.used - report.used_in_window, now_s)
        # The stated level excludes tokens that the instance holds, which are deducted as reported.
        self._give_back(report.held)
        unreported = min(report.unreported, report.used_in_window)
        self._recent_use.add(now_s, report.used_in_window - unreported)
        if now_s - self._raised_s <= self.limit.rule.window_s:
            self._lower_to(max(self._unspent(now_s), self._raised_from))
        return quota_usage.Account(report.used - unreported, now_s)

    def _grant(
        self, account: quota_usage.Account, report: quota.Report, now_s: float
    ) -> quota.Notice:
        granted = min(report.waiting, self._whole_tokens())
        ahead = 0
        if granted == report.waiting and report.wanted:
            spare = self.level - granted - (0 if self.is_limited else self._limited_below(now_s))
            spare = min(spare / 4, self.limit.max_leased - self.leased)
            ahead = min(report.wanted, max(math.floor(spare), 0))
        refuse_s = 0.0
        if report.waiting:
            self._spread.add_ask(now_s)
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
        longest_s = (self.limit.rule.slack / 2 - self.level) / refill_per_s
        return self._spread.refuse_s(refill_per_s, until_token_s, longest_s, now_s)

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
