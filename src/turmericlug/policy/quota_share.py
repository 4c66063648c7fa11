"""
Quotas of organisations: the decisions of an instance that admits an organisation's requests.

The load pattern is that of ``quota_bucket``. An instance admits the requests of an organisation
of which it knows nothing: most organisations send less than one request in a minute to any one
instance, and none of them should wait for a round trip. It asks only once the holder has said that
little is left. While neither the holder nor its standby answers, it admits a fixed share.
"""

from __future__ import annotations

import collections
import dataclasses
import math
import random

import attrs

from turmericlug.policy import quota

SLOTS_PER_WINDOW = 10
"""Resolution of the count of requests in the current window: half a second in a window of five."""
EXPECT_S = 0.5
"""Tokens are asked for ahead for the requests of this time."""
MIN_EXPECTED = 2
"""With fewer expected requests no token is asked for ahead: each instance would hold one that it
hardly uses."""
LOW_SHARE = 0.25
"""Share of the expected requests from which on more tokens are asked for: those of a tenth of a
second, more than a round trip."""
RATE_WINDOW_S = 1.0
JITTER_SHARE = 0.5
"""Callers that are refused together come again at times that differ by this share."""
SLOW_ANSWER_S = 0.11
"""Time after which a holder that has not answered may be lost: two round trips between regions, of
which one is for the connection. Until the standby answers, further requests wait."""
UNREPORTED_BURST_SHARE = 1 / 8
UNSHARED_UNREPORTED = 2.0
"""Requests that an instance may always admit before the holder has answered, where even one of each
instance would not fit into the slack. With one, requests of an organisation far from its limit
would wait for a round trip."""
MAX_BEFORE_CUT_OFF = 1
"""Requests in the last window up to which an instance that is cut off admits another at once."""
_EPSILON = 1e-9
IDLE_WINDOWS = 4
"""Windows without a request after which an instance forgets an organisation."""


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request may be sent."""


@dataclasses.dataclass(frozen=True)
class OverQuota:
    """The request is refused; it has not run."""

    earliest_s: float
    """Time until a token is expected."""
    retry_after_s: float
    """When the caller should retry: at that time, or up to half as long after it."""
    is_cut_off: bool = False
    """Whether it is refused because no holder is reachable, so that the quota may not be spent."""


@dataclasses.dataclass(frozen=True)
class MustAsk:
    """The holder decides."""


ADMITTED, MUST_ASK = Admitted(), MustAsk()
Decision = Admitted | OverQuota | MustAsk


@attrs.define
class _Window:
    """Counts requests in the last window, rounded up to a slot."""

    slot_s: float
    slots: collections.deque[list[float]] = attrs.field(factory=collections.deque)
    """Number of the slot and requests in it."""

    def add(self, now_s: float, count: int) -> None:
        slot = now_s // self.slot_s
        if self.slots and self.slots[-1][0] == slot:
            self.slots[-1][1] += count
        else:
            self.slots.append([slot, count])
            self._expire(slot)

    def _expire(self, slot: float) -> None:
        while self.slots and self.slots[0][0] < slot - SLOTS_PER_WINDOW:
            self.slots.popleft()

    def count(self, now_s: float) -> int:
        self._expire(now_s // self.slot_s)
        return max(int(sum(count for _, count in self.slots)), 0)


class Share:
    """What one instance may admit of one organisation."""

    def __init__(self, limit: quota.Limit, now_s: float, used_before: int = 0) -> None:
        """
        Create the state of an organisation of which nothing is known.

        :param used_before: at least what the instance has ever reported for the organisation
        """
        self.limit = limit
        self.used = self._used_before = used_before
        self.unreported = 0
        """Requests admitted without a token since a holder has answered."""
        self.refused = 0
        self.held = 0
        """Leased tokens that are left."""
        self.lease_ends_s = -math.inf
        self._limited_until_s = -math.inf
        self._refuse_until_s = -math.inf
        self._window = _Window(limit.rule.window_s / SLOTS_PER_WINDOW)
        self.known_level: float | None = None
        """The level that the holder has stated last."""
        self.known_s = -math.inf
        self._known_origin = 0
        self.asked_s = math.inf
        """When the report was sent that has not been answered yet; infinite if there is none."""
        self._rate = quota.DecayingRate(RATE_WINDOW_S)
        self.last_request_s = now_s
        self.cut_off_since_s: float | None = None
        """Since when no holder has answered; ``None`` while one does."""
        self._static = 0.0
        self._static_s = -math.inf
        self._was_limited = False

    @property
    def admitted(self) -> int:
        """Requests admitted since the organisation was last forgotten."""
        return self.used - self._used_before

    def set_limit(self, limit: quota.Limit) -> None:
        """Apply another limit; requests that were refused under the last one are decided anew."""
        self.limit = limit
        self._refuse_until_s = -math.inf

    def is_limited(self, now_s: float) -> bool:
        """Whether the holder has said that little is left."""
        return now_s < self._limited_until_s

    def is_refusing(self, now_s: float) -> bool:
        """Whether requests are refused without asking, as the holder has no token soon."""
        return now_s < self._refuse_until_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the mean rate of admitted requests in the last window."""
        return self._window.count(now_s) / self.limit.rule.window_s

    def try_admit(self, now_s: float, rng: random.Random, instances: int = 1) -> Decision:
        """
        Decide about one request.

        :param instances: number of all instances, which share the rate while no holder answers
        """
        self.last_request_s = now_s
        if self.take_held(now_s):
            return ADMITTED
        if self.cut_off_since_s is not None:
            return self._try_static(now_s, rng, instances)
        if self.is_refusing(now_s):
            return self.refuse(now_s, rng)
        if self.is_limited(now_s) or self.unreported >= self._max_unreported(now_s, instances):
            return MUST_ASK
        if now_s - self.asked_s > SLOW_ANSWER_S and not self._is_known_open(now_s):
            return MUST_ASK
        self._count(now_s)
        self.unreported += 1
        return ADMITTED

    def _max_unreported(self, now_s: float, instances: int) -> float:
        """
        Return how many requests may be admitted before the holder has answered to any of them.

        It is far more than arrive in a round trip, except at an instance that was frozen, or in a
        burst of one caller. The level that the holder stated last allows more. While nothing is
        known, all instances may be in this state at the same moment, and share what is allowed.
        """
        largest = max(self.limit.reserve, self.limit.burst * UNREPORTED_BURST_SHARE)
        if self._is_known_open(now_s):
            return max(largest, self.known_level / 2)
        smallest = 1.0 if instances <= self.limit.rule.slack else UNSHARED_UNREPORTED
        return max(largest / max(instances, 1), min(smallest, largest))

    def _is_known_open(self, now_s: float) -> bool:
        is_recent = now_s - self.known_s <= self.limit.rule.window_s
        return is_recent and self.known_level > self.limit.capacity / 2

    def take_held(self, now_s: float) -> bool:
        """Use a leased token for one request, if there is one."""
        if now_s >= self.lease_ends_s:
            self.held = 0
        if not self.held:
            return False
        self.held -= 1
        self._count(now_s)
        return True

    def _count(self, now_s: float) -> None:
        self.used += 1
        self._window.add(now_s, 1)
        self._rate.add(now_s)

    def refuse(self, now_s: float, rng: random.Random) -> OverQuota:
        """Refuse one request."""
        self.refused += 1
        wait_s = max(self._refuse_until_s - now_s, 1 / max(self.limit.rate_per_s, 1.0))
        return OverQuota(wait_s, wait_s * rng.uniform(1.0, 1.0 + JITTER_SHARE))

    def _try_static(self, now_s: float, rng: random.Random, instances: int) -> Decision:
        """Decide by a fixed share: of the rate, or of the spare rate if it was limited."""
        rate_per_s = self.limit.rate_per_s / max(instances, 1)
        if self._was_limited:
            rate_per_s = min(rate_per_s, self.limit.spare_rate_per_s / max(instances, 1))
        else:
            rate_per_s = max(rate_per_s, 1 / self.limit.rule.window_s)
        largest = max(rate_per_s * self.limit.rule.window_s, 1.0)
        self._static = min(self._static + rate_per_s * (now_s - self._static_s), largest)
        self._static_s = now_s
        if self._static < 1 - _EPSILON:
            self.refused += 1
            wait_s = (1 - self._static) / rate_per_s
            delay_s = wait_s * rng.uniform(1.0, 1.0 + JITTER_SHARE)
            return OverQuota(wait_s, delay_s, is_cut_off=True)
        self._static -= 1
        self._count(now_s)
        self.unreported += 1
        return ADMITTED

    def begin_cut_off(self, now_s: float) -> None:
        """Admit a fixed share from now on, since no holder answers."""
        if self.cut_off_since_s is not None:
            return
        self.cut_off_since_s = now_s
        self._was_limited = self.is_limited(now_s)
        if now_s - self._static_s > self.limit.rule.window_s:
            # In a burst, enough was admitted while the holders were asked.
            is_burst = self._window.count(now_s) > MAX_BEFORE_CUT_OFF
            self._static = 0.0 if self._was_limited or is_burst else 1.0
            self._static_s = now_s

    def refund(self, now_s: float) -> None:
        """Take back the token of a request that no replica has run."""
        self.used -= 1
        self._window.add(now_s, -1)

    def _expected(self, now_s: float) -> int:
        return math.floor(self._rate.get(now_s) * EXPECT_S)

    def needs_tokens(self, now_s: float) -> bool:
        """Whether few tokens are left of those that are soon needed."""
        expected = self._expected(now_s)
        return expected >= MIN_EXPECTED and self.held <= expected * LOW_SHARE

    def report(self, organisation: str, waiting: int, now_s: float) -> quota.Report:
        """Return the report for the holder."""
        if now_s >= self.lease_ends_s:
            self.held = 0
        expected = self._expected(now_s)
        # The level of an organisation without a limit says nothing about its tokens under one.
        is_known = self.known_level is not None and math.isfinite(self.known_level)
        return quota.Report(
            organisation,
            used=self.used,
            used_in_window=self._window.count(now_s),
            unreported=self.unreported,
            held=self.held,
            waiting=waiting,
            wanted=max(expected - self.held - waiting, 0) if expected >= MIN_EXPECTED else 0,
            known_level=self.known_level if is_known else None,
            known_age_s=now_s - self.known_s if is_known else 0.0,
            known_origin=self._known_origin if is_known else 0,
        )

    def on_reply(
        self, report: quota.Report, notice: quota.Notice, asked_s: float, now_s: float
    ) -> None:
        """
        Apply the holder's answer to a report.

        :param asked_s: when the report was sent; the lease counts from then
        """
        self.cut_off_since_s = None
        self.asked_s = math.inf
        self.unreported = max(self.unreported - report.unreported, 0)
        if notice.granted and asked_s + notice.lease_s > now_s:
            self.held += notice.granted
            self.lease_ends_s = asked_s + notice.lease_s
        self.on_notice(notice, now_s)
        self._refuse_until_s = now_s + notice.refuse_s

    def on_notice(self, notice: quota.Notice, now_s: float) -> None:
        """Apply a notice of the holder."""
        self._limited_until_s = now_s + notice.limited_s
        self.known_level, self.known_s = notice.level, now_s
        self._known_origin = notice.origin

    def is_idle(self, now_s: float) -> bool:
        """Whether nothing has to be remembered of the organisation."""
        idle_s = now_s - self.last_request_s
        return idle_s > IDLE_WINDOWS * self.limit.rule.window_s and not self.is_limited(now_s)
