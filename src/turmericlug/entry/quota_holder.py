"""
The organisations whose token buckets this instance holds, as the first instance or as the standby.

What a holder may grant of an organisation's rate is decided in ``quota_rights``. While a good part
of a bucket is spent, its holder asks the standby for a lease; without one, it asks the other
instances for pledges, as a standby does that grants tokens.
"""

from __future__ import annotations

import collections
import math
from collections import abc

import attrs

from turmericlug.direct import organisations as organisations_module
from turmericlug.entry import quota_peers
from turmericlug.kernel import tasks as tasks_module
from turmericlug.policy import quota
from turmericlug.policy import quota_bucket
from turmericlug.policy import quota_rights
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions
from turmericlug.wire import quota_codec

LEASE_MARGIN_S = 0.2
"""Time before its end at which a lease is asked for again: an exchange of two round trips between
regions, and the interval at which this is looked at."""
PROBES = 8
"""Instances that are asked for pledges at a time. With more instances the part is an estimate."""
PROBE_INTERVAL_S = 0.3
SAMPLE_WEIGHT = 0.5
"""Weight of the latest sample; a larger one follows chance, a smaller one takes seconds."""
ACTIVE_S = 0.3
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
    was_limited: bool = False
    """Whether the organisation was limited when others were told last. A holder that has just
    started may begin so."""
    asked_s: float = -math.inf
    """When the standby was asked for a lease last."""
    probed_s: float = -math.inf
    is_contested: bool = False
    """Whether the holder, as the first one, has got no lease when it asked last."""


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
        self._rights: dict[str, quota_rights.Rights] = collections.defaultdict(self._new_rights)
        self._asking: set[str] = set()
        """Standbys that are being asked for leases."""
        self._tasks = tasks_module.Tasks()

    def _new_rights(self) -> quota_rights.Rights:
        return quota_rights.Rights(self._started_s)

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
        bucket = held.bucket
        notice = bucket.report(sender, sequence, report, now_s)
        if bucket.is_limited != held.was_limited:
            held.was_limited = bucket.is_limited
            event = "quota.limited" if bucket.is_limited else "quota.opened"
            self._counters.add(event)
            decisions.log(
                event,
                organisation=organisation.name,
                level=round(bucket.level, 2),
                leased=bucket.leased,
                used_per_s=round(bucket.used_per_s(now_s), 2),
                share=round(bucket.share, 3),
            )
            if bucket.is_limited:
                self._tell_limited(organisation.name, held, sender[0], now_s)
        return notice

    def _hold(self, organisation: organisations_module.Organisation, now_s: float) -> _Held:
        name = organisation.name
        limit = quota.Limit(self._rule, organisation.rate_per_s, organisation.burst)
        is_first = self._peers.listed_candidates(name)[:1] == [self._peers.own_name]
        held = self._held.get(name)
        if held is None:
            is_young = now_s - self._started_s < self._rule.window_s
            bucket = quota_bucket.Bucket(limit, now_s, is_young, not is_first, self._peers.start)
            held = self._held[name] = _Held(bucket, is_first)
            if is_young or not is_first:
                decisions.log(
                    "quota.holding",
                    organisation=name,
                    is_first=is_first,
                    is_young=is_young,
                    level=round(bucket.level, 2),
                )
        self._update(name, held, now_s)
        self._set_limit(name, held, limit, now_s)
        return held

    def _update(self, name: str, held: _Held, now_s: float) -> None:
        """Add the tokens of the time that has passed, at what might be granted in it."""
        bucket, rights, others = held.bucket, self._rights[name], len(self._peers)
        for at_s in rights.changes(bucket.updated_s, now_s):
            share = rights.share(at_s, held.is_first, others, bucket.is_in_use)
            bucket.set_share(share, at_s, share or 1.0)
        held.is_first = self._peers.listed_candidates(name)[:1] == [self._peers.own_name]
        bucket.set_role(not held.is_first, now_s)
        bucket.advance(now_s)
        share = rights.share(now_s, held.is_first, others, bucket.is_in_use)
        # A lease is about to come, unless the last answer says otherwise.
        expected = share or 1.0 if held.is_contested or not held.is_first else 1.0
        bucket.set_share(share, now_s, expected)

    def _set_limit(self, name: str, held: _Held, limit: quota.Limit, now_s: float) -> None:
        bucket, last = held.bucket, held.bucket.limit
        level = bucket.level
        bucket.set_limit(limit, now_s)
        if limit != last:
            self._counters.add("quota.limit_changed")
            decisions.log(
                "quota.limit_changed",
                organisation=name,
                rate_per_s=[last.rate_per_s, limit.rate_per_s],
                burst=[last.burst, limit.burst],
                level=[round(level, 2), round(bucket.level, 2)],
                share=round(bucket.share, 3),
            )

    def _tell_limited(self, name: str, held: _Held, reporter: str, now_s: float) -> None:
        notice = held.bucket.notice(name, now_s)
        unaware = held.bucket.take_unaware(now_s)
        if now_s - held.told_all_s < TELL_ALL_WINDOWS * self._rule.window_s:
            self._peers.tell(notice, unaware, except_for=reporter)
            return
        held.told_all_s = now_s
        self._peers.tell_all(notice, unaware, except_for=reporter)

    # Several holders of one organisation.

    def _is_active(self, name: str, now_s: float) -> bool:
        held = self._held.get(name)
        return held is not None and now_s - held.bucket.reported_s <= ACTIVE_S

    def refuse_leases(
        self, names: abc.Iterable[str], to: quota.Sender, lease_s: float, now_s: float
    ) -> list[str]:
        """
        Promise another holder to grant no part of the rates of organisations for a time.

        :param lease_s: time that the holder relies on; 0: it does not state it
        :returns: those of the organisations for which nothing is promised
        """
        lease_s = min(lease_s or quota.MAX_LEASE_S, quota.MAX_LEASE_S)
        refused = []
        for name in names:
            held, rights = self._held.get(name), self._rights[name]
            if held is not None and held.is_first:
                rights.on_rival(now_s)
            if self._is_active(name, now_s) or not rights.cede(to, lease_s, now_s):
                refused.append(name)
            elif held is not None:
                self._update(name, held, now_s)
        return refused

    def pledge(self, names: abc.Iterable[str], to: quota.Sender, now_s: float) -> list[str]:
        """Pledge this instance's parts of rates to another holder; return the organisations."""
        return [
            name
            for name in names
            if not self._is_active(name, now_s)
            and self._rights[name].pledge(to, quota_rights.PLEDGE_S, now_s)
        ]

    def keep_rights(self, now_s: float) -> None:
        """Ask for leases as the first holder, and for pledges where this one has no lease."""
        by_standby: dict[str, list[str]] = {}
        contested = []
        for name, held in self._held.items():
            self._update(name, held, now_s)
            candidates = self._peers.listed_candidates(name)
            if held.is_first and not held.bucket.is_in_use:
                held.is_contested = False
            elif self._peers.is_leaving:
                # A claim to be the holder would have the next one doubt that it is.
                pass
            elif held.is_first and len(candidates) > 1 and candidates[1] not in self._asking:
                if now_s - held.asked_s >= held.bucket.limit.lease_s - LEASE_MARGIN_S:
                    held.asked_s = now_s
                    by_standby.setdefault(candidates[1], []).append(name)
            is_used = held.is_contested if held.is_first else self._is_active(name, now_s)
            # While it leaves, a first holder has pledges at most, as it asks for no lease.
            is_used = is_used or self._peers.is_leaving and held.bucket.is_in_use
            is_used = is_used and self._peers.own_name in candidates
            if is_used and now_s - held.probed_s >= PROBE_INTERVAL_S:
                held.probed_s = now_s
                contested.append(name)
        for standby, names in by_standby.items():
            self._asking.add(standby)
            asked = names[: quota_codec.MAX_ORGANISATIONS]
            for name in names[len(asked) :]:
                self._held[name].asked_s = -math.inf
            self._tasks.start(self._ask_lease(standby, asked))
        if contested:
            self._tasks.start(self._probe(contested[: quota_codec.MAX_ORGANISATIONS]))

    async def _probe(self, names: list[str]) -> None:
        """Ask some or all of the other instances for pledges."""
        asked_s = self._now_s()
        answers = await self._peers.ask_some(self._peers.message(pledges=names), PROBES)
        weight = 1.0 if len(answers) == len(self._peers) else SAMPLE_WEIGHT
        for name in names:
            pledged = sum(name in answer for answer in answers)
            if answers and name in self._held:
                self._rights[name].on_pledges(asked_s, pledged / len(answers), weight)
                self._update(name, self._held[name], self._now_s())

    async def _ask_lease(self, standby: str, names: list[str]) -> None:
        asked_s = self._now_s()
        lease_s = min(self._held[name].bucket.limit.lease_s for name in names)
        for name in names:
            # The next one is due before this one ends, which may be shorter than the usual one.
            held = self._held[name]
            held.asked_s = asked_s - (held.bucket.limit.lease_s - lease_s)
        message = self._peers.message(held=names, lease_s=lease_s)
        try:
            outcome = await self._peers.exchange(standby, message, self._now_s)
        finally:
            self._asking.discard(standby)
        now_s, answer = self._now_s(), None
        if isinstance(outcome, quota_peers.Answered):
            answer = outcome.message
        is_silent = isinstance(outcome, quota_peers.Silent)
        for name in names:
            held = self._held.get(name)
            if held is None:
                continue
            self._update(name, held, now_s)
            is_contested = is_silent or answer is not None and name in answer.held
            if not is_contested:
                giver = (answer.sender, answer.start) if answer is not None else (standby, 0)
                is_same = self._rights[name].on_lease(asked_s, lease_s, giver)
                if is_same:
                    held.bucket.add_withheld(now_s)
                self._update(name, held, now_s)
            if is_contested != held.is_contested:
                held.is_contested = is_contested
                decisions.log(
                    "quota.contested" if is_contested else "quota.uncontested",
                    organisation=name,
                    standby=standby,
                    is_silent=is_silent,
                    share=round(held.bucket.share, 3),
                )

    def forget_idle(self, now_s: float) -> None:
        """Forget organisations without requests, so that memory does not grow with their number."""
        idle = [name for name, held in self._held.items() if held.bucket.forget_idle(now_s)]
        for name in idle:
            del self._held[name]
        for name in [name for name, rights in self._rights.items() if rights.is_idle(now_s)]:
            if name not in self._held:
                del self._rights[name]

    async def close(self) -> None:
        """End the checks that are on their way."""
        await self._tasks.close()
