"""The coordinator's role: from a caller's request to its one outcome."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import secrets
import time

import attrs

from turmericlug.config import settings as settings_module
from turmericlug.kernel import tasks
from turmericlug.membership import mesh as mesh_module
from turmericlug.owner import owner as owner_module
from turmericlug.owner import submission
from turmericlug.query import admission as admission_module
from turmericlug.query import fan_out as fan_out_module
from turmericlug.query import outcome as outcome_module
from turmericlug.records import ledger
from turmericlug.records import records as records_module
from turmericlug.rules import configuration
from turmericlug.rules import model
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events

_ANSWER_MARGIN_S = 0.004
"""Kept back from the deadline for merging and for the way to the caller."""
_STEP_ASIDE_MS = 500
_LINES_PER_S = 10
"""Log lines of one kind of outcome in a second."""


@attrs.frozen
class Query:
    """A caller's request, checked."""

    service: str
    body: bytes
    caller: str
    data_centre: str
    deadline_ms: int
    priority: int | None
    headers: dict[str, str]
    repeatable: bool
    idempotency_key: str = ""
    key_created_at_s: int = 0


class Coordinator:
    """Runs queries; knows how many are under way, by the rules revision they began under."""

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        mesh: mesh_module.Mesh,
        owner: owner_module.Owner,
        records: records_module.Records,
        counters: counters_module.Counters,
    ) -> None:
        self._settings = settings
        self._config = config
        self._mesh = mesh
        self._owner = owner
        self._records = records
        self._counters = counters
        self._rng = random.Random(settings.instance.name)
        self._admission = admission_module.Admission(self._rng)
        self._id_prefix = f"{settings.instance.name}-{secrets.token_hex(4)}"
        self._numbers = itertools.count(1)
        self._running: dict[str, int] = {}
        self._ended = asyncio.Event()
        self._limiter = events.Limiter(_LINES_PER_S)
        self._settling = tasks.Tasks()

    @property
    def running(self) -> int:
        """How many queries are under way."""
        return len(self._running) + len(self._settling)

    def new_id(self) -> str:
        """Make the identifier of a query, unique among all instances and restarts."""
        return f"{self._id_prefix}-{next(self._numbers)}"

    async def older_ended(self, revision: int, timeout_s: float) -> bool:
        """Wait until no query that began under an older rules revision is under way."""
        end_s = time.monotonic() + timeout_s
        while any(each < revision for each in self._running.values()):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return False
            self._ended.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._ended.wait()
            except TimeoutError:
                return False
        return True

    async def run(self, query: Query, query_id: str) -> outcome_module.Outcome:
        """
        Answer one query.

        :param query: the request
        :param query_id: from :meth:`new_id`
        """
        began_at_s = time.monotonic()
        self._running[query_id] = self._config.rules.revision
        try:
            outcome = await self._decide(query, query_id, began_at_s)
        finally:
            del self._running[query_id]
            self._ended.set()
        self._counters.time_ms("query.total_ms", (time.monotonic() - began_at_s) * 1000)
        name = outcome_module.name_of(outcome)
        reason = "" if isinstance(outcome, outcome_module.Answer) else f".{outcome.reason}"
        self._counters.add(f"query.{name}{reason}")
        if name != "complete":
            self._log(query, query_id, outcome)
        return outcome

    def _log(self, query: Query, query_id: str, outcome: outcome_module.Outcome) -> None:
        reasons = [getattr(outcome, "reason", "")]
        if isinstance(outcome, outcome_module.Answer):
            reasons = sorted({missing.reason for missing in outcome.coverage.missing})
        self._limiter.emit(
            f"query.{outcome_module.name_of(outcome)}",
            request=query_id,
            service=query.service,
            caller=query.caller,
            rule=outcome.rule,
            reason=", ".join(reasons),
        )

    async def _decide(
        self, query: Query, query_id: str, began_at_s: float
    ) -> outcome_module.Outcome:
        if not self._config.freshness.is_current():
            # The others may have accepted new rules without us; answering by the old ones would
            # take the acceptance back.
            return outcome_module.Refused("not_current", self._spread_ms(_STEP_ASIDE_MS))
        treatment = self._config.rules.match(
            model.Request(
                query.service,
                query.caller,
                query.data_centre,
                model.DEFAULT_PRIORITY if query.priority is None else query.priority,
                query.headers,
            )
        )
        refusal = self._refusal(query, treatment)
        if refusal is not None:
            return refusal
        deadline_ms = min(query.deadline_ms, treatment.deadline_ms or query.deadline_ms)
        deadline_s = began_at_s + deadline_ms / 1000 - _ANSWER_MARGIN_S
        if deadline_s <= time.monotonic():
            # Sent all the same, the parts would be late for certain and might yet run.
            return outcome_module.Refused(
                "no_time", self._spread_ms(1), self._config.rules.revision, treatment.rule
            )
        if query.idempotency_key:
            return await self._run_once(query, treatment, query_id, deadline_s)
        return await self._run_parts(query, treatment, query_id, began_at_s, deadline_s)

    def _refusal(self, query: Query, treatment: model.Treatment) -> outcome_module.Refused | None:
        """Check everything that turns a query away before anything is started."""
        revision, rule = self._config.rules.revision, treatment.rule

        def refused(reason: str, come_back_ms: int) -> outcome_module.Refused:
            return outcome_module.Refused(reason, come_back_ms, revision, rule)

        if treatment.refuse:
            return refused(f"rule_{treatment.refuse}", self._spread_ms(treatment.come_back_ms))
        if len(self._running) > self._settings.limits.max_queries:
            return refused("instance_busy", self._spread_ms(100))
        if not self._config.catalog.snapshots:
            return refused("no_snapshot", self._spread_ms(1000))
        services = self._config.catalog.members_of(query.service)
        if not services:
            return refused("unknown_service", self._spread_ms(1000))
        if treatment.rate_per_s is not None:
            instances = len(self._mesh.members.serving())
            wait_ms = self._admission.over_rate_ms(rule, treatment.rate_per_s, instances)
            if wait_ms:
                return refused("rate_limit", wait_ms)
        deadline_ms = min(query.deadline_ms, treatment.deadline_ms or query.deadline_ms)
        wait_ms = self._admission.refusal_ms(
            services, self._priority(query, treatment), query.caller, deadline_ms
        )
        return refused("overloaded", wait_ms) if wait_ms else None

    def _spread_ms(self, base_ms: int) -> int:
        """Spread returning callers, so that they don't come back as one wave."""
        return int(base_ms * self._rng.uniform(0.75, 1.5)) + 1

    def _priority(self, query: Query, treatment: model.Treatment) -> int:
        if treatment.priority is not None:
            return treatment.priority
        return model.DEFAULT_PRIORITY if query.priority is None else query.priority

    def _plan(
        self,
        query: Query,
        treatment: model.Treatment,
        query_id: str,
        deadline_s: float,
        other_than: str = "",
    ) -> fan_out_module.Plan | None:
        """Pin the newest snapshot and lay out its shards; ``None`` if there is no other one."""
        catalog = self._config.catalog
        snapshots = [each for each in catalog.snapshots if each.name != other_than]
        if not snapshots:
            return None
        snapshot = snapshots[-1]
        parts = tuple(
            (service, shard)
            for service in catalog.members_of(query.service)
            for shard in snapshot.shards_of(service)
        )
        terms = submission.Terms(
            query_id=query_id,
            caller=query.caller,
            priority=self._priority(query, treatment),
            repeatable=query.repeatable,
            hedge=treatment.hedge,
            retries=treatment.retries,
            body=query.body,
        )
        return fan_out_module.Plan(terms, snapshot, parts, treatment.min_coverage, deadline_s)

    async def _run_parts(
        self,
        query: Query,
        treatment: model.Treatment,
        query_id: str,
        began_at_s: float,
        deadline_s: float,
    ) -> outcome_module.Outcome:
        """Fan out, and once more on another snapshot if the pinned one is gone."""
        plan = self._plan(query, treatment, query_id, deadline_s)
        assert plan is not None  # there is a snapshot, _refusal saw it
        answer_by_s = None
        if treatment.prefer == model.PREFER_LATENCY and treatment.answer_by_ms is not None:
            answer_by_s = began_at_s + treatment.answer_by_ms / 1000 - _ANSWER_MARGIN_S
        fan_out = await self._fan_out(plan, answer_by_s)
        if fan_out.snapshot_absent and time.monotonic() < deadline_s:
            other = self._plan(
                query, treatment, f"{query_id}r", deadline_s, other_than=plan.snapshot.name
            )
            if other is not None and (query.repeatable or fan_out.nothing_ran):
                self._counters.add("query.restarted")
                plan = other
                fan_out = await self._fan_out(plan, answer_by_s)
        return self._conclude(plan, treatment, fan_out)

    async def _fan_out(
        self, plan: fan_out_module.Plan, answer_by_s: float | None
    ) -> fan_out_module.FanOut:
        fan_out = fan_out_module.FanOut(
            plan,
            self._owner,
            self._mesh,
            self._counters,
            lambda service, wait_ms: self._admission.note_wait(
                service, plan.terms.priority, plan.terms.caller, wait_ms
            ),
        )
        try:
            fan_out.start()
            if answer_by_s is not None and answer_by_s < plan.deadline_s:
                await fan_out.wait(answer_by_s)
                if not fan_out.enough:
                    await fan_out.wait(plan.deadline_s)
            else:
                await fan_out.wait(plan.deadline_s)
        finally:
            # Also when the caller has gone: nobody waits for the parts any more.
            fan_out.stop()
        return fan_out

    def _conclude(
        self,
        plan: fan_out_module.Plan,
        treatment: model.Treatment,
        fan_out: fan_out_module.FanOut,
    ) -> outcome_module.Outcome:
        revision, rule = self._config.rules.revision, treatment.rule
        coverage = fan_out.coverage()
        if coverage.answered and fan_out.enough:
            results = fan_out.results()
            return outcome_module.Answer(plan.snapshot.name, coverage, results, revision, rule)
        if fan_out.nothing_ran:
            come_back_ms = fan_out.come_back_ms or self._spread_ms(100)
            return outcome_module.Refused(fan_out.first_reason(), come_back_ms, revision, rule)
        reason = "coverage_too_low" if coverage.answered else fan_out.first_reason()
        return outcome_module.Failed(
            reason, revision, rule, coverage, fan_out.come_back_ms or self._spread_ms(100)
        )

    async def _run_once(
        self, query: Query, treatment: model.Treatment, query_id: str, deadline_s: float
    ) -> outcome_module.Outcome:
        """
        Run a request at most once per key: claim, run, record the outcome.

        Nothing is sent before the claim is confirmed in the store. A claim without confirmation
        is never run; it is released, so that a repeat of the key may run.
        """
        revision, rule = self._config.rules.revision, treatment.rule
        claim = ledger.Operation(
            ledger.CLAIM,
            query.idempotency_key,
            query_id,
            records_module.fingerprint(query.service, query.body),
            query.key_created_at_s,
        )
        verdict = await self._records.ask(claim, (deadline_s - time.monotonic()) * 0.6)
        if verdict.outcome == ledger.SETTLED:
            return _recorded(verdict.detail, revision, rule)
        if verdict.outcome == ledger.OPEN:
            return outcome_module.Failed(
                "key_in_use", revision, rule, come_back_ms=self._spread_ms(500)
            )
        if verdict.outcome != ledger.GRANTED:
            if verdict.outcome == ledger.UNAVAILABLE:
                self._settle(attrs.evolve(claim, operation=ledger.RELEASE))
            return outcome_module.Refused(
                f"key_{verdict.outcome}", self._spread_ms(1000), revision, rule
            )
        # Should this task end here, with the caller gone or the instance lost, the claim stays
        # open: whether the request ran is unknown, and an open claim says just that.
        outcome = await self._run_parts(query, treatment, query_id, time.monotonic(), deadline_s)
        if isinstance(outcome, outcome_module.Refused):
            self._settle(attrs.evolve(claim, operation=ledger.RELEASE))
        elif isinstance(outcome, outcome_module.Answer):
            recorded = json.dumps(
                {
                    "snapshot": outcome.snapshot,
                    "results": [[shard, body.decode()] for shard, body in outcome.results],
                }
            )
            self._settle(attrs.evolve(claim, operation=ledger.SETTLE, outcome=recorded))
        return outcome

    def _settle(self, operation: ledger.Operation) -> None:
        """Record how a claim ended, while the caller already has its answer."""
        self._settling.start(self._records.settle(operation))


def _recorded(text: str, revision: int, rule: str) -> outcome_module.Answer:
    """Make the answer of a key's first run again."""
    plain = json.loads(text)
    results = [(shard, body.encode()) for shard, body in plain["results"]]
    coverage = outcome_module.Coverage(len(results), len(results), ())
    return outcome_module.Answer(plain["snapshot"], coverage, results, revision, rule)
