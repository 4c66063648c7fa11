"""
Quotas of organisations in an entry instance: which requests it admits, and its reports to holders.

An organisation's requests are reported to its holder, the first instance by rendezvous hash, which
grants tokens and says when they have to be asked for. If the holder does not answer, its standby is
asked, and if neither does, this instance admits a fixed share until one answers again.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import math
import random
import time
from collections import abc

import attrs

from turmericlug.direct import organisations as organisations_module
from turmericlug.entry import quota_holder
from turmericlug.entry import quota_limits
from turmericlug.entry import quota_peers
from turmericlug.entry import quota_shares
from turmericlug.entry import quota_status
from turmericlug.entry import view as view_module
from turmericlug.kernel import tasks as tasks_module
from turmericlug.policy import quota
from turmericlug.policy import quota_rights
from turmericlug.policy import quota_share
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions
from turmericlug.wire import quota_codec

REPORT_INTERVAL_S = 0.01
"""Pause between two messages to the same holder, unless a request waits for the next one."""
MAX_REPORTS = 64
"""Organisations in one message, which then takes about 4 KB."""
HOUSEKEEPING_INTERVAL_S = 0.1
FORGET_INTERVAL_S = 1.0


def boottime_s() -> float:
    """Return a steady time that goes on while the process or the machine is frozen."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define(eq=False)
class _Waiter:
    """A request that waits for the holder's answer."""

    organisation: organisations_module.Organisation
    rank: int
    decided: asyncio.Future[quota_share.Admitted | quota_share.OverQuota]


class Quotas:
    """The quotas of all organisations, as one instance takes part in them."""

    def __init__(
        self,
        rule: quota.Rule,
        own_name: str,
        view: view_module.View,
        counters: counters_module.Counters,
        rng: random.Random,
        now_s: abc.Callable[[], float] = boottime_s,
    ) -> None:
        """
        Create the state of an instance that has just started.

        :param now_s: a steady clock that counts the time of a freeze
        """
        self.now_s = now_s
        self._rule = rule
        self._view = view
        self._counters = counters
        self._rng = rng
        self._peers = quota_peers.QuotaPeers(own_name, view, counters, rng)
        self._holder = quota_holder.Holder(rule, self._peers, counters, now_s)
        self._shares = quota_shares.Shares(rule, view)
        self._due: dict[str, dict[str, None]] = collections.defaultdict(dict)
        """Organisations to report, by the instance to report to."""
        self._sending: set[str] = set()
        self._waiters: dict[str, list[_Waiter]] = {}
        self._leases: dict[str, float] = {}
        """When the leases end whose use has to be reported."""
        self.refusals = quota_status.RefusalLog()
        self._tasks = tasks_module.Tasks()
        self.on_instances_changed = self._peers.on_instances_changed
        self.leave = self._peers.leave

    def try_admit(
        self, organisation: organisations_module.Organisation, now_s: float
    ) -> quota_share.Decision:
        """
        Decide about a request, without waiting.

        :param now_s: the current time by the clock ``now_s`` of this object
        """
        if not organisation.rate_per_s:
            return quota_share.ADMITTED
        name = organisation.name
        share = self._shares.of(organisation, now_s)
        if share.is_refusing(now_s) and share.cut_off_since_s is None and not share.held:
            return share.try_admit(now_s, self._rng)
        target = self._peers.target(name, now_s)
        if target == self._peers.own_name:
            return self._try_own(share, organisation, now_s)
        if target is None:
            self._begin_cut_off(name, share, now_s)
        unreported = share.unreported
        decision = share.try_admit(now_s, self._rng, self._peers.count())
        if target is not None and (
            share.unreported > unreported
            or share.cut_off_since_s is not None
            or share.needs_tokens(now_s)
        ):
            self._schedule(target, name)
        return decision

    def _try_own(
        self,
        share: quota_share.Share,
        organisation: organisations_module.Organisation,
        now_s: float,
    ) -> quota_share.Admitted | quota_share.OverQuota:
        """Decide about a request of an organisation whose holder is this instance."""
        share.last_request_s = now_s
        if share.take_held(now_s):
            return quota_share.ADMITTED
        report = attrs.evolve(share.report(organisation.name, 1, now_s), wanted=0)
        sender = (self._peers.own_name, self._peers.start)
        sequence = self._peers.next_sequence()
        notice = self._holder.account(organisation, sender, sequence, report, now_s)
        share.on_reply(report, notice, now_s, now_s)
        if share.take_held(now_s):
            return quota_share.ADMITTED
        return share.refuse(now_s, self._rng)

    async def ask(
        self,
        organisation: organisations_module.Organisation,
        deadline_s: float,
        rank: int = 0,
    ) -> quota_share.Admitted | quota_share.OverQuota:
        """
        Ask the holder for a token for one request.

        :param deadline_s: when the request is given up, by the event loop's clock
        :param rank: position among the requests that wait; lower ranks go first
        """
        name, now_s = organisation.name, self.now_s()
        target = self._peers.target(name, now_s)
        if target is None or target == self._peers.own_name:
            return self._decide_now(organisation, now_s)
        waiter = _Waiter(organisation, rank, asyncio.get_running_loop().create_future())
        self._waiters.setdefault(name, []).append(waiter)
        self._schedule(target, name)
        try:
            async with asyncio.timeout_at(deadline_s):
                return await waiter.decided
        except TimeoutError:
            refused = self._shares.of(organisation, self.now_s()).refuse(self.now_s(), self._rng)
            return dataclasses.replace(refused, is_cut_off=True)
        except asyncio.CancelledError:
            decided = waiter.decided
            if decided.done() and not decided.cancelled():
                if isinstance(decided.result(), quota_share.Admitted):
                    self.refund(organisation)
            raise
        finally:
            self._remove_waiter(name, waiter)

    def _decide_now(
        self, organisation: organisations_module.Organisation, now_s: float
    ) -> quota_share.Admitted | quota_share.OverQuota:
        """Decide about a request that can't wait for an answer any more."""
        decision = self.try_admit(organisation, now_s)
        if isinstance(decision, quota_share.MustAsk):
            return self._shares.of(organisation, now_s).refuse(now_s, self._rng)
        return decision

    def _remove_waiter(self, name: str, waiter: _Waiter) -> None:
        waiters = self._waiters.get(name, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self._waiters.pop(name, None)

    def refund(self, organisation: organisations_module.Organisation) -> None:
        """Take back the token of a request that no replica has run."""
        share = self._shares.known.get(organisation.name)
        if organisation.rate_per_s and share is not None:
            share.refund(self.now_s())
            self._counters.add("quota.refunded")

    def status(self) -> list[quota_status.Status]:
        """Return the state of all organisations with a limit that this instance knows of."""
        now_s = self.now_s()
        return [
            quota_status.of(
                name,
                share,
                self._holder.bucket(name),
                next(iter(self._peers.candidates(name)), ""),
                now_s,
            )
            for name, share in self._shares.known.items()
        ]

    def log_refusal(
        self, organisation: organisations_module.Organisation, reason: str, request_id: bytes
    ) -> None:
        """Log a refusal, several of one organisation in one line."""
        now_s, name = self.now_s(), organisation.name
        share = self._shares.known.get(name)
        level = share.known_level if share else None
        holder = self._peers.target(name, now_s)
        self.refusals.add(organisation, reason, request_id, level, holder, now_s)

    def _begin_cut_off(self, name: str, share: quota_share.Share, now_s: float) -> None:
        if share.cut_off_since_s is None:
            share.begin_cut_off(now_s)
            decisions.log("quota.cut_off", organisation=name, was_limited=share.is_limited(now_s))

    def handle(
        self, message: quota_codec.Message
    ) -> quota_codec.Message | quota_limits.UnknownLimit:
        """Account for the reports of another instance and apply its notices."""
        now_s = self.now_s()
        sender = (message.sender, message.start)
        organisations = [self._with_limit(report, message) for report in message.reports]
        if None in organisations:
            # Nothing is accounted for: the sender reports all of it to the standbys instead.
            return self._unknown_limit(message, organisations.index(None))
        notices = []
        for organisation, report in zip(organisations, message.reports, strict=True):
            if not organisation.rate_per_s:
                self._log_limit("quota.unlimited", report.organisation, message.sender)
                notices.append(quota_limits.unlimited(report))
                continue
            notices.append(
                self._holder.account(organisation, sender, message.sequence, report, now_s)
            )
        for notice in message.notices:
            organisation = self._shares.configured(notice.organisation)
            if organisation is not None and organisation.rate_per_s:
                share = self._shares.of(organisation, now_s)
                if not share.is_limited(now_s):
                    self._peers.forward(notice, except_for=message.sender)
                share.on_notice(notice, now_s)
        return self._peers.message(
            notices=notices,
            held=self._holder.refuse_leases(message.held, sender, message.lease_s, now_s),
            lease_s=quota_rights.PLEDGE_S,
            pledges=self._holder.pledge(message.pledges, sender, now_s),
        )

    def _with_limit(
        self, report: quota.Report, message: quota_codec.Message
    ) -> organisations_module.Organisation | None:
        name = report.organisation
        configured, bucket = self._shares.configured(name), self._holder.bucket(name)
        last = bucket.limit if bucket is not None else None
        organisation = quota_limits.find(
            report, message.version, configured, self._peers.version, last
        )
        if organisation is not None and organisation is not configured:
            self._log_limit("quota.limit_stated", name, message.sender)
        return organisation

    def _unknown_limit(self, message: quota_codec.Message, index: int) -> quota_limits.UnknownLimit:
        name = message.reports[index].organisation
        self._log_limit("quota.unknown_limit", name, message.sender)
        return quota_limits.UnknownLimit(name)

    def _log_limit(self, event: str, name: str, asker: str) -> None:
        self._counters.add(event)
        decisions.log(
            event,
            organisation=name,
            asker=asker,
            version=self._peers.version or None,
            is_named=self._shares.configured(name) is not None,
        )

    # Reports to holders.

    def _schedule(self, target: str, name: str) -> None:
        """Report an organisation to its holder as soon as possible."""
        self._due[target][name] = None
        if target not in self._sending:
            self._sending.add(target)
            self._tasks.start(self._run_reports(target))

    async def _run_reports(self, target: str) -> None:
        try:
            # Requests that arrive together are reported together.
            await asyncio.sleep(0)
            while self._due[target]:
                names = list(self._due[target])[:MAX_REPORTS]
                for name in names:
                    del self._due[target][name]
                await self._report(target, names)
                if not any(name in self._waiters for name in self._due[target]):
                    await asyncio.sleep(REPORT_INTERVAL_S)
        finally:
            self._sending.discard(target)
            del self._due[target]

    async def _report(self, target: str, names: list[str]) -> None:
        """Report organisations to their holder and apply its notices."""
        asked_s = self.now_s()
        waiting = {name: list(self._waiters.get(name, ())) for name in names}
        reports = {
            name: self._shares.report(name, len(waiting[name]), asked_s)
            for name in names
            if name in self._shares.known
        }
        for name in reports:
            self._shares.known[name].asked_s = min(self._shares.known[name].asked_s, asked_s)
        message = self._peers.message(reports.values())
        outcome = await self._peers.exchange(target, message, self.now_s)
        now_s = self.now_s()
        match outcome:
            case quota_peers.Silent():
                decisions.log("quota.no_answer", holder=target, organisations=names[:5])
                names = list(dict.fromkeys([*names, *self._due[target]]))
                self._due[target].clear()
                for name in names:
                    self._on_no_answer(name, now_s)
                return
            case quota_peers.NoQuotas():
                notices = tuple(quota_limits.unlimited(report) for report in reports.values())
            case quota_peers.Answered():
                notices = outcome.message.notices
        for notice in notices:
            name = notice.organisation
            if name not in reports or name not in self._shares.known:
                continue
            if not notice.is_known:
                self._counters.add("quota.not_known")
                decisions.log("quota.not_known", organisation=name, holder=target)
                self._peers.pass_over(target, name, now_s)
                self._on_no_answer(name, now_s)
            else:
                self._on_reply(target, reports[name], notice, waiting[name], asked_s, now_s)

    def _on_reply(
        self,
        target: str,
        report: quota.Report,
        notice: quota.Notice,
        asked: list[_Waiter],
        asked_s: float,
        now_s: float,
    ) -> None:
        name = notice.organisation
        share = self._shares.known[name]
        if share.cut_off_since_s is not None:
            away_ms = round((now_s - share.cut_off_since_s) * 1000)
            decisions.log("quota.regained", organisation=name, holder=target, away_ms=away_ms)
        share.on_reply(report, notice, asked_s, now_s)
        waiters = list(self._waiters.get(name, ()))
        for waiter in sorted(waiters, key=lambda waiter: waiter.rank):
            if waiter.decided.done():
                continue
            if share.take_held(now_s):
                waiter.decided.set_result(quota_share.ADMITTED)
            elif waiter in asked or share.is_refusing(now_s):
                waiter.decided.set_result(share.refuse(now_s, self._rng))
        if share.held:
            self._leases[name] = share.lease_ends_s
        if any(not waiter.decided.done() for waiter in waiters):
            self._schedule(target, name)

    def _on_no_answer(self, name: str, now_s: float) -> None:
        """Ask the standby instead; admit a fixed share if it doesn't answer either."""
        share, configured = self._shares.known.get(name), self._shares.configured(name)
        other = self._peers.target(name, now_s)
        if share is None:
            return
        if other is not None and other != self._peers.own_name:
            self._schedule(other, name)
            return
        if other is None:
            self._begin_cut_off(name, share, now_s)
        for waiter in sorted(self._waiters.get(name, ()), key=lambda waiter: waiter.rank):
            if waiter.decided.done():
                continue
            # A limit holds until a configuration lifts it, also without a key of the organisation.
            organisation = configured or waiter.organisation
            waiter.decided.set_result(self._decide_now(organisation, now_s))

    # Timers.

    async def run(self) -> None:
        """Report the use of leases before they end, and forget idle organisations."""
        forgot_s = -math.inf
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now_s = self.now_s()
            self._report_ended_leases(now_s)
            self._holder.keep_rights(now_s)
            if now_s - forgot_s >= FORGET_INTERVAL_S:
                forgot_s = now_s
                self._forget_idle(now_s)

    async def close(self) -> None:
        """Cancel the reports and checks in flight."""
        await self._tasks.close()
        await self._holder.close()
        await self._peers.close()

    def _report_ended_leases(self, now_s: float) -> None:
        for name in [name for name, ends_s in self._leases.items() if now_s >= ends_s]:
            del self._leases[name]
            target = self._peers.target(name, now_s)
            if name in self._shares.known and target not in (None, self._peers.own_name):
                self._schedule(target, name)

    def _forget_idle(self, now_s: float) -> None:
        """Forget organisations without requests, so that memory does not grow with their number."""
        self._shares.forget_idle(now_s, self._waiters)
        self._holder.forget_idle(now_s)
        self._peers.forget_idle(now_s)
        self.refusals.forget_idle(now_s)
