"""
The organisations whose token buckets this instance holds, as the first instance or as the standby.

While a good part of a bucket is spent, its holder asks the standby twice a second whether that
grants tokens too, because other instances don't reach the holder. If so, or if the standby is not
reachable and may be in use on the other side of a cut link, each of them grants the part of the
instances that it reaches. The parts of both sides and the fixed shares of instances without a
holder then add up to the whole at most, and the larger side is hardly limited.
"""

from __future__ import annotations

import math
from collections import abc

import attrs

from turmericlug.direct import organisations as organisations_module
from turmericlug.entry import quota_peers
from turmericlug.kernel import tasks as tasks_module
from turmericlug.policy import quota
from turmericlug.policy import quota_bucket
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions
from turmericlug.wire import quota_codec

CHECK_INTERVAL_S = 0.5
"""Interval at which a holder asks the standbys of organisations in use. In this time both together
grant one and a half times the rate, which the rule's slack covers."""
SILENT_CHECKS = 2
"""Unanswered checks, one right after the other, after which the standby counts as active. One is
lost in a short stall, and half the rate is too little for a busy organisation."""
PROBES = 8
"""Instances that are asked at a time to find out how many are reachable."""
REACH_WEIGHT = 0.5
"""Weight of the latest probes; a larger one follows chance, a smaller one takes seconds."""
MIN_SHARE_CHANGE = 0.15
"""Smaller changes of what a holder may grant are ignored, as they are within the error."""
ACTIVE_S = 1.0
"""Time since its last report for which a standby counts as active."""
TELL_ALL_WINDOWS = 0.5
"""Windows after which a holder tells all instances again that an organisation has become limited.
Instances remember it for at least one."""


@attrs.define
class _Held:
    """An organisation that this instance holds."""

    bucket: quota_bucket.Bucket
    is_first: bool
    told_all_s: float = -math.inf
    is_contested: bool = False
    """Whether the standby grants tokens too, or may do so."""

    @property
    def is_whole(self) -> bool:
        """Whether no other instance grants tokens."""
        return self.is_first and not self.is_contested


class Holder:
    """The buckets that this instance holds."""

    def __init__(
        self,
        rule: quota.Rule,
        peers: quota_peers.QuotaPeers,
        counters: counters_module.Counters,
        now_s: abc.Callable[[], float],
    ) -> None:
        self._rule = rule
        self._peers = peers
        self._counters = counters
        self._now_s = now_s
        self._started_s = now_s()
        self._held: dict[str, _Held] = {}
        self._reach = quota_bucket.CONTESTED_SHARE
        """Estimated part of the other instances that are reachable, while there may be a cut."""
        self._tasks = tasks_module.Tasks()

    def bucket(self, organisation: str) -> quota_bucket.Bucket | None:
        """Return the bucket of an organisation, if this instance holds it."""
        held = self._held.get(organisation)
        return held.bucket if held else None

    def account(
        self,
        organisation: organisations_module.Organisation,
        sender: quota.Sender,
        sequence: int,
        report: quota.Report,
        now_s: float,
    ) -> quota.Notice:
        """Account for a report, and notify other instances if the organisation becomes limited."""
        held = self._hold(organisation, now_s)
        bucket, was_limited = held.bucket, held.bucket.is_limited
        notice = bucket.report(sender, sequence, report, now_s)
        if bucket.is_limited != was_limited:
            event = "quota.limited" if bucket.is_limited else "quota.opened"
            self._counters.add(event)
            decisions.log(
                event,
                organisation=organisation.name,
                level=round(bucket.level, 2),
                leased=bucket.leased,
                used_per_s=round(bucket.used_per_s(now_s), 2),
                share=bucket.share,
            )
            if bucket.is_limited:
                self._tell_limited(organisation.name, held, sender[0], now_s)
        return notice

    def _hold(self, organisation: organisations_module.Organisation, now_s: float) -> _Held:
        name = organisation.name
        limit = quota.Limit(self._rule, organisation.rate_per_s, organisation.burst)
        is_first = self._peers.candidates(name)[0] == self._peers.own_name
        held = self._held.get(name)
        if held is None:
            is_young = now_s - self._started_s < self._rule.window_s
            share = 1.0 if is_first else self._contested_share()
            bucket = quota_bucket.Bucket(limit, now_s, is_young, share, self._peers.start)
            held = self._held[name] = _Held(bucket, is_first)
            if is_young or not is_first:
                decisions.log(
                    "quota.holding",
                    organisation=name,
                    is_first=is_first,
                    is_young=is_young,
                    level=round(bucket.level, 2),
                )
        held.is_first = is_first
        self._set_limit(name, held, limit, now_s)
        return held

    def _set_limit(self, name: str, held: _Held, limit: quota.Limit, now_s: float) -> None:
        bucket, last = held.bucket, held.bucket.limit
        bucket.advance(now_s)
        level = bucket.level
        bucket.set_limit(limit, self._share(held), now_s)
        if limit != last:
            self._counters.add("quota.limit_changed")
            decisions.log(
                "quota.limit_changed",
                organisation=name,
                rate_per_s=[last.rate_per_s, limit.rate_per_s],
                burst=[last.burst, limit.burst],
                level=[round(level, 2), round(bucket.level, 2)],
                share=bucket.share,
            )

    def _share(self, held: _Held) -> float:
        """Return what this instance may grant of an organisation's rate and capacity."""
        if held.is_whole:
            return 1.0
        share, current = self._contested_share(), held.bucket.share
        return share if abs(share - current) >= MIN_SHARE_CHANGE else current

    def _contested_share(self) -> float:
        """Return the part of all instances that are on this side of a cut."""
        others = max(len(self._peers), 1)
        return (1 + self._reach * others) / (1 + others)

    def _tell_limited(self, name: str, held: _Held, reporter: str, now_s: float) -> None:
        notice = held.bucket.notice(name, now_s)
        unaware = held.bucket.take_unaware(now_s)
        if now_s - held.told_all_s < TELL_ALL_WINDOWS * self._rule.window_s:
            self._peers.tell(notice, unaware, except_for=reporter)
            return
        held.told_all_s = now_s
        self._peers.tell_all(notice, unaware, except_for=reporter)

    # Two holders of one organisation.

    def active_ones(self, names: abc.Iterable[str], now_s: float) -> list[str]:
        """Return those of the organisations for which this instance grants tokens as standby."""
        return [
            name
            for name in names
            if name in self._held and now_s - self._held[name].bucket.reported_s <= ACTIVE_S
        ]

    def check_standbys(self, now_s: float) -> None:
        """Ask the standbys of organisations in use whether they grant tokens too."""
        by_standby: dict[str, list[str]] = {}
        for name, held in self._held.items():
            held.bucket.advance(now_s)
            candidates = self._peers.candidates(name)
            if not held.bucket.is_in_use or candidates[0] != self._peers.own_name:
                held.is_contested = False
            elif len(candidates) > 1:
                by_standby.setdefault(candidates[1], []).append(name)
        for standby, names in by_standby.items():
            self._tasks.start(self._check(standby, names[: quota_codec.MAX_ORGANISATIONS]))
        if any(held.bucket.is_in_use and not held.is_whole for held in self._held.values()):
            self._tasks.start(self._probe())
        else:
            self._reach = quota_bucket.CONTESTED_SHARE

    async def _probe(self) -> None:
        """Update the estimate of how many instances are reachable."""
        answered = await self._peers.count_reachable(PROBES)
        if answered is not None:
            self._reach += REACH_WEIGHT * (answered - self._reach)

    async def _check(self, standby: str, names: list[str]) -> None:
        for _ in range(SILENT_CHECKS):
            message = self._peers.message(held=names)
            outcome = await self._peers.exchange(standby, message, self._now_s)
            is_silent = isinstance(outcome, quota_peers.Silent)
            if not is_silent:
                break
        active = set(outcome.message.held) if isinstance(outcome, quota_peers.Answered) else set()
        for name in names:
            held = self._held.get(name)
            if held is None:
                continue
            is_contested = name in active or is_silent
            if is_contested != held.is_contested:
                held.is_contested = is_contested
                decisions.log(
                    "quota.contested" if is_contested else "quota.uncontested",
                    organisation=name,
                    standby=standby,
                    is_silent=is_silent,
                )

    def forget_idle(self, now_s: float) -> None:
        """Forget organisations without requests, so that memory does not grow with their number."""
        idle = [name for name, held in self._held.items() if held.bucket.forget_idle(now_s)]
        for name in idle:
            del self._held[name]

    async def close(self) -> None:
        """End the checks that are on their way."""
        await self._tasks.close()
