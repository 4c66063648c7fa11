"""Coordinator role of a daemon: runs a caller's query to exactly one outcome."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import secrets
import time

import attrs

from turmericlug.config import settings as settings_module
from turmericlug.kernel import failures
from turmericlug.kernel import tasks
from turmericlug.membership import mesh as mesh_module
from turmericlug.owner import owner as owner_module
from turmericlug.owner import reply_budget
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
"""Reserved before the deadline for merging and for the response to the caller."""
_NOT_CURRENT_RETRY_AFTER_MS = 500
_NO_MEMORY_RETRY_AFTER_MS = 200
_LOG_LINES_PER_S = 10
"""Limit of log lines per second for each kind of outcome."""


@attrs.frozen
class Query:
    """A valid request of a caller."""

    service: str
    body: bytes
    caller: str
    data_centre: str
    deadline_ms: int
    priority: int | None
    headers: dict[str, str]
    repeatable: bool
    held: reply_budget.Held
    """What is held of the answers until the caller has them."""
    idempotency_key: str = ""
    key_created_at_s: int = 0


class Coordinator:
    """Runs queries and keeps the rules revision under which each one in flight started."""

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
        self._query_numbers = itertools.count(1)
        self._query_revisions: dict[str, int] = {}
        self._query_ended = asyncio.Event()
        self._log_limiter = events.Limiter(_LOG_LINES_PER_S)
        self._settle_tasks = tasks.Tasks()

    @property
    def replies(self) -> reply_budget.ReplyBudget:
        """The memory for replies of targets and answers to callers."""
        return self._owner.replies

    @property
    def running(self) -> int:
        """Number of queries in flight and of claims being settled."""
        return len(self._query_revisions) + len(self._settle_tasks)

    def new_id(self) -> str:
        """Return a query identifier that is unique across instances and restarts."""
        return f"{self._id_prefix}-{next(self._query_numbers)}"

    async def wait_for_older_queries(self, revision: int, timeout_s: float) -> bool:
        """Wait until no query in flight started under an older rules revision."""
        end_s = time.monotonic() + timeout_s
        while any(query_revision < revision for query_revision in self._query_revisions.values()):
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0:
                return False
            self._query_ended.clear()
            try:
                async with asyncio.timeout(remaining_s):
                    await self._query_ended.wait()
            except TimeoutError:
                return False
        return True

    async def run(self, query: Query, query_id: str) -> outcome_module.Outcome:
        """
        Run one query.

        :param query: the request
        :param query_id: from :meth:`new_id`
        """
        started_at_s = time.monotonic()
        self._query_revisions[query_id] = self._config.rules.revision
        try:
            outcome = await self._process(query, query_id, started_at_s)
        finally:
            del self._query_revisions[query_id]
            self._query_ended.set()
        duration_ms = (time.monotonic() - started_at_s) * 1000
        failures.try_record("result", self._record_outcome, query, query_id, outcome, duration_ms)
        return outcome

    def _record_outcome(
        self, query: Query, query_id: str, outcome: outcome_module.Outcome, duration_ms: float
    ) -> None:
        self._counters.time_ms("query.total_ms", duration_ms)
        name = outcome_module.name_of(outcome)
        reason = "" if isinstance(outcome, outcome_module.Answer) else f".{outcome.reason}"
        self._counters.add(f"query.{name}{reason}")
        if name != "complete":
            self._log_outcome(query, query_id, outcome)

    def _log_outcome(self, query: Query, query_id: str, outcome: outcome_module.Outcome) -> None:
        reasons = [getattr(outcome, "reason", "")]
        if isinstance(outcome, outcome_module.Answer):
            reasons = sorted({missing.reason for missing in outcome.coverage.missing})
        self._log_limiter.emit(
            f"query.{outcome_module.name_of(outcome)}",
            request=query_id,
            service=query.service,
            caller=query.caller,
            rule=outcome.rule,
            reason=", ".join(reasons),
        )

    async def _process(
        self, query: Query, query_id: str, started_at_s: float
    ) -> outcome_module.Outcome:
        if not await self._wait_until_current(query, query_id, started_at_s):
            # The other instances may have accepted new rules without this one; from then on no
            # query may be answered under the old rules.
            return _without_record(
                query,
                outcome_module.Refused("not_current", self._jitter_ms(_NOT_CURRENT_RETRY_AFTER_MS)),
            )
        treatment = self._config.rules.match(
            model.Request(
                query.service,
                query.caller,
                query.data_centre,
                model.DEFAULT_PRIORITY if query.priority is None else query.priority,
                query.headers,
            )
        )
        refusal = self._check_admission(query, treatment)
        if refusal is not None:
            return _without_record(query, refusal)
        deadline_ms = min(query.deadline_ms, treatment.deadline_ms or query.deadline_ms)
        deadline_s = started_at_s + deadline_ms / 1000 - _ANSWER_MARGIN_S
        if deadline_s <= time.monotonic():
            # If the parts were sent, they would miss the deadline for certain and might still run.
            revision = self._config.rules.revision
            no_time = outcome_module.Refused(
                "no_time", self._jitter_ms(1), revision, treatment.rule
            )
            return _without_record(query, no_time)
        if query.idempotency_key:
            return await self._run_at_most_once(query, treatment, query_id, deadline_s)
        return await self._run_parts(query, treatment, query_id, started_at_s, deadline_s)

    async def _wait_until_current(self, query: Query, query_id: str, started_at_s: float) -> bool:
        """
        Wait for the configuration if it is being confirmed, as after a pause of this process.

        :returns: whether the query may be answered
        """
        freshness = self._config.freshness
        if freshness.is_current():
            return True
        self._counters.add("query.unconfirmed")
        current = await freshness.wait_until_current(
            started_at_s + query.deadline_ms / 1000 - _ANSWER_MARGIN_S
        )
        # The query has not begun yet: it keeps the rules that are in force now.
        self._query_revisions[query_id] = self._config.rules.revision
        self._query_ended.set()
        return current

    def _check_admission(
        self, query: Query, treatment: model.Treatment
    ) -> outcome_module.Refused | None:
        """Return the refusal of a query that may not start, ``None`` if it is admitted."""
        revision, rule = self._config.rules.revision, treatment.rule

        def refusal(reason: str, retry_after_ms: int) -> outcome_module.Refused:
            return outcome_module.Refused(reason, retry_after_ms, revision, rule)

        if treatment.refuse:
            return refusal(f"rule_{treatment.refuse}", self._jitter_ms(treatment.come_back_ms))
        if len(self._query_revisions) > self._settings.limits.max_queries:
            return refusal("instance_busy", self._jitter_ms(100))
        if not self._config.catalog.snapshots:
            return refusal("no_snapshot", self._jitter_ms(1000))
        services = self._config.catalog.members_of(query.service)
        if not services:
            return refusal("unknown_service", self._jitter_ms(1000))
        if not all(self._owner.replies.share(service).may_receive(0) for service in services):
            return refusal(fan_out_module.NO_MEMORY, self._jitter_ms(_NO_MEMORY_RETRY_AFTER_MS))
        if treatment.rate_per_s is not None:
            instances = len(self._mesh.members.serving())
            retry_after_ms = self._admission.rate_limit_retry_after_ms(
                rule, treatment.rate_per_s, instances
            )
            if retry_after_ms:
                return refusal("rate_limit", retry_after_ms)
        deadline_ms = min(query.deadline_ms, treatment.deadline_ms or query.deadline_ms)
        retry_after_ms = self._admission.overload_retry_after_ms(
            services, self._priority(query, treatment), query.caller, deadline_ms
        )
        return refusal("overloaded", retry_after_ms) if retry_after_ms else None

    def _jitter_ms(self, base_ms: int) -> int:
        """Add jitter to a retry delay, so that callers don't all retry at the same time."""
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
        excluded_snapshot: str = "",
    ) -> fan_out_module.Plan | None:
        """Plan the parts on the newest snapshot that is not excluded; ``None`` if there is none."""
        catalog = self._config.catalog
        snapshots = [
            snapshot for snapshot in catalog.snapshots if snapshot.name != excluded_snapshot
        ]
        if not snapshots:
            return None
        snapshot = snapshots[-1]
        parts = tuple(
            (service, shard)
            for service in catalog.members_of(query.service)
            for shard in snapshot.shards_of(service)
        )
        parameters = submission.QueryParameters(
            query_id=query_id,
            caller=query.caller,
            priority=self._priority(query, treatment),
            repeatable=query.repeatable,
            hedge=treatment.hedge,
            retries=treatment.retries,
            body=query.body,
        )
        return fan_out_module.Plan(
            parameters, snapshot, parts, treatment.min_coverage, deadline_s, query.held
        )

    async def _run_parts(
        self,
        query: Query,
        treatment: model.Treatment,
        query_id: str,
        started_at_s: float,
        deadline_s: float,
    ) -> outcome_module.Outcome:
        """Fan out the parts, and once more on another snapshot if the pinned one is absent."""
        plan = self._plan(query, treatment, query_id, deadline_s)
        assert plan is not None  # _check_admission refuses a query without snapshots
        answer_by_s = None
        if treatment.prefer == model.PREFER_LATENCY and treatment.answer_by_ms is not None:
            answer_by_s = started_at_s + treatment.answer_by_ms / 1000 - _ANSWER_MARGIN_S
        fan_out = await self._fan_out(plan, answer_by_s)
        if fan_out.snapshot_absent and time.monotonic() < deadline_s:
            other_plan = self._plan(
                query, treatment, f"{query_id}r", deadline_s, excluded_snapshot=plan.snapshot.name
            )
            if other_plan is not None and (query.repeatable or fan_out.nothing_ran):
                self._counters.add("query.restarted")
                plan = other_plan
                fan_out = await self._fan_out(plan, answer_by_s)
        return self._make_outcome(plan, treatment, fan_out)

    async def _fan_out(
        self, plan: fan_out_module.Plan, answer_by_s: float | None
    ) -> fan_out_module.FanOut:
        fan_out = fan_out_module.FanOut(
            plan,
            self._owner,
            self._mesh,
            self._counters,
            lambda service, wait_ms: self._admission.record_wait(
                service, plan.parameters.priority, plan.parameters.caller, wait_ms
            ),
        )
        try:
            fan_out.start()
            if answer_by_s is not None and answer_by_s < plan.deadline_s:
                await fan_out.wait(answer_by_s)
                if not fan_out.min_coverage_reached:
                    await fan_out.wait(plan.deadline_s)
            else:
                await fan_out.wait(plan.deadline_s)
        finally:
            # Also if the caller has disconnected: the parts are no longer needed.
            fan_out.stop()
        return fan_out

    def _make_outcome(
        self,
        plan: fan_out_module.Plan,
        treatment: model.Treatment,
        fan_out: fan_out_module.FanOut,
    ) -> outcome_module.Outcome:
        revision, rule = self._config.rules.revision, treatment.rule
        coverage = fan_out.coverage()
        if coverage.answered and fan_out.min_coverage_reached:
            results = fan_out.results()
            return outcome_module.Answer(plan.snapshot.name, coverage, results, revision, rule)
        if fan_out.nothing_ran:
            retry_after_ms = fan_out.retry_after_ms or self._jitter_ms(100)
            return outcome_module.Refused(fan_out.first_reason(), retry_after_ms, revision, rule)
        reason = "coverage_too_low" if coverage.answered else fan_out.first_reason()
        return outcome_module.Failed(
            reason, revision, rule, coverage, fan_out.retry_after_ms or self._jitter_ms(100)
        )

    async def _run_at_most_once(
        self, query: Query, treatment: model.Treatment, query_id: str, deadline_s: float
    ) -> outcome_module.Outcome:
        """
        Run a request at most once per idempotency key: claim the key, run, record the outcome.

        No part is sent before the store has confirmed the claim. Without confirmation the request
        does not run, and the claim is released so that a retry with the same key may run; whether
        the key has run before is not known then.
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
        if verdict.status == ledger.SETTLED:
            return _decode_recorded(verdict.detail, revision, rule)
        if verdict.status == ledger.OPEN:
            return outcome_module.Failed(
                "key_in_use", revision, rule, retry_after_ms=self._jitter_ms(500)
            )
        if verdict.status == ledger.MISMATCH:
            return outcome_module.Refused("key_mismatch", self._jitter_ms(1000), revision, rule)
        if verdict.status != ledger.GRANTED:
            if verdict.status == ledger.UNAVAILABLE:
                self._settle(attrs.evolve(claim, kind=ledger.RELEASE))
            # Without a record, the key may have run through another instance, whose answer was
            # lost. Refused as not run, it would be sent again under a new key.
            return outcome_module.Failed(
                f"key_{verdict.status}", revision, rule, retry_after_ms=self._jitter_ms(1000)
            )
        # If this task ends here, because it is cancelled or the instance is lost, the claim stays
        # open: an open claim means that it is unknown whether the request ran.
        outcome = await self._run_parts(query, treatment, query_id, time.monotonic(), deadline_s)
        if isinstance(outcome, outcome_module.Refused):
            self._settle(attrs.evolve(claim, kind=ledger.RELEASE))
        elif isinstance(outcome, outcome_module.Answer):
            failures.try_record("record of a key", self._settle_answer, claim, outcome)
        return outcome

    def _settle_answer(self, claim: ledger.Operation, answer: outcome_module.Answer) -> None:
        recorded = json.dumps(
            {
                "snapshot": answer.snapshot,
                "results": [[shard, body.decode()] for shard, body in answer.results],
            }
        )
        self._settle(attrs.evolve(claim, kind=ledger.SETTLE, outcome=recorded))

    def _settle(self, operation: ledger.Operation) -> None:
        """Record the result of a claim in the background, without delaying the response."""
        self._settle_tasks.start(self._records.settle(operation))


def _without_record(
    query: Query, refusal: outcome_module.Refused
) -> outcome_module.Refused | outcome_module.Failed:
    """
    Return the outcome of a query that is turned away before the record of its key is looked up.

    The key may have run through another instance, whose answer was lost. Refused as not run, it
    would be sent again under a new key.
    """
    if not query.idempotency_key:
        return refusal
    return outcome_module.Failed(
        refusal.reason,
        refusal.rules_revision,
        refusal.rule,
        retry_after_ms=refusal.retry_after_ms,
    )


def _decode_recorded(text: str, revision: int, rule: str) -> outcome_module.Answer:
    """Rebuild the answer recorded by the first request with an idempotency key."""
    payload = json.loads(text)
    results = [(shard, body.encode()) for shard, body in payload["results"]]
    coverage = outcome_module.Coverage(len(results), len(results), ())
    return outcome_module.Answer(payload["snapshot"], coverage, results, revision, rule)
