"""One service at its owner: the queue for all its replicas, attempts, hedges and retries."""

from __future__ import annotations

import asyncio
import collections
import random
import time
from collections import abc

from turmericlug.kernel import failures
from turmericlug.kernel import tasks
from turmericlug.owner import fair_queue
from turmericlug.owner import hedging
from turmericlug.owner import part as part_module
from turmericlug.owner import policy
from turmericlug.owner import replica as replica_module
from turmericlug.owner import selection
from turmericlug.owner import suspects as suspects_module
from turmericlug.owner import target
from turmericlug.telemetry import counters as counters_module

# No attempt starts with less time to its deadline: it could not be sent and answered.
_MIN_REMAINING_S = 0.001
_MEMORY_CHECK_INTERVAL_S = 0.01
"""Between two checks whether there is memory for a further reply."""


class ServiceQueue:
    """The queue of a service, the state of its replicas, and their attempts."""

    def __init__(
        self,
        service: str,
        client: target.Client,
        counters: counters_module.Counters,
        rng: random.Random,
        hedge_budget: float,
        hedge_percentile: float,
        retry_budget: float,
        max_queued: int,
        caller_share: float,
        suspects: suspects_module.Suspects,
    ) -> None:
        self.service = service
        self.replicas: dict[str, replica_module.Replica] = {}
        self.durations = policy.DurationWindow()
        self._client = client
        self._counters = counters
        self._rng = rng
        self._retry_budget = policy.TokenBudget(retry_budget)
        self._hedging = hedging.Hedging(
            policy.TokenBudget(hedge_budget), self._retry_budget, hedge_percentile, self.durations
        )
        self._max_queued = max_queued
        self._caller_share = caller_share
        self._suspects = suspects
        self._queue: fair_queue.FairQueue[part_module.Part] = fair_queue.FairQueue()
        self._pending_hedges: collections.deque[part_module.Part] = collections.deque()
        self._tasks = tasks.Tasks()
        self.on_draining: abc.Callable[[str], None] = lambda instance: None
        self.may_receive: abc.Callable[[int], bool] = lambda in_flight: True
        """Whether there is memory for a further reply, given the number of attempts in flight."""
        self._memory_timer: asyncio.TimerHandle | None = None

    def slots(self) -> float:
        """Return the sum of the concurrency limits of the eligible replicas."""
        return selection.total_slots(self.replicas.values(), time.monotonic())

    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return sum(replica.in_flight for replica in self.replicas.values())

    def queued(self) -> int:
        """Return the number of parts that wait for a slot."""
        return len(self._queue)

    def wait_ms(self, priority: int, caller: str) -> float:
        """Predict how long a new part would wait for a slot."""
        parts_ahead = self._queue.count_ahead_of(priority, caller) + self.in_flight()
        return policy.predicted_wait_ms(parts_ahead, self.slots(), self.durations.mean_ms)

    def submit(self, part: part_module.Part) -> None:
        """
        Queue a part, or refuse it at once if it can't be expected to finish in time.

        A part that expires in the queue delays the others and is of no use to its caller.
        """
        now_s = time.monotonic()
        wait_ms = self.wait_ms(part.priority, part.caller)
        reason = ""
        if not selection.not_draining(self.replicas.values()):
            reason = "no_replica"
        elif len(self._queue) >= self._max_queued:
            reason = "queue_full"
        elif self._queue.count_of_caller(part.caller) >= self._caller_share * self._max_queued:
            reason = "caller_share"
        elif not policy.fits_deadline(
            (part.deadline_s - now_s) * 1000, wait_ms, self.durations.mean_ms
        ):
            reason = "no_time"
        if reason:
            self._refuse(part, reason, wait_ms)
        if part.done or not self._may_start(part):
            return
        part.queued_at_s = now_s
        self._hedging.hedge_budget.deposit()
        self._retry_budget.deposit()
        self._queue.push(part)
        self.start_attempts()

    def _may_start(self, part: part_module.Part) -> bool:
        """Whether a part may start; finishes it if its request is withheld for crashing targets."""
        denied_outcome = self._suspects.check_start(part)
        if denied_outcome == part_module.FAILED:
            self._fail(part, suspects_module.CRASHES_TARGETS)
        elif denied_outcome:
            self._finish_unanswered(part, suspects_module.CRASHES_TARGETS)
        return not denied_outcome

    def _refuse(self, part: part_module.Part, reason: str, wait_ms: float = 0.0) -> None:
        retry_after_ms = policy.retry_after_ms(wait_ms, self._rng)
        self._counters.add(f"owner.part.refused.{reason}")
        self._finish(
            part,
            part_module.PartReply(
                part.number,
                part_module.REFUSED,
                reason,
                retry_after_ms=retry_after_ms,
                wait_ms=wait_ms,
            ),
        )

    def _fail(self, part: part_module.Part, reason: str) -> None:
        self._counters.add(f"owner.part.failed.{reason}")
        self._finish(
            part,
            part_module.PartReply(
                part.number, part_module.FAILED, reason, attempts=part.attempt_count
            ),
        )

    def _finish(self, part: part_module.Part, reply: part_module.PartReply) -> None:
        if part.done:
            return
        self._mark_done(part)
        part.reply(reply)

    def _mark_done(self, part: part_module.Part) -> None:
        """Mark a part as done: no further attempt starts, and those in flight are cancelled."""
        part.done = True
        if part.hedge_timer is not None:
            part.hedge_timer.cancel()
        for attempt_id, attempt in part.attempts_in_flight.items():
            self._tasks.start(self._client.cancel(attempt.replica.address, attempt_id))

    def cancel(self, part: part_module.Part) -> None:
        """Cancel a part that is no longer needed."""
        if not part.done:
            self._counters.add("owner.part.cancelled")
            self._mark_done(part)
            self._queue.remove(part)

    def refuse_queued(self) -> None:
        """Refuse the queued parts, so that coordinators submit them to the next owner."""
        for part in self._queue.drain():
            self._counters.add("owner.handed_over")
            self._finish_unanswered(part, "owner_leaving")

    def start_attempts(self) -> None:
        """Start attempts while there are queued parts and free slots."""
        now_s = time.monotonic()
        self._start_hedges(now_s)
        while len(self._queue):
            replica = selection.select_untried(self.replicas.values(), now_s, None)
            if replica is None:
                return
            if not self.may_receive(self.in_flight()):
                self._wait_for_memory()
                return
            part = self._queue.pop()
            if part is None:
                return
            if part.deadline_s - now_s < _MIN_REMAINING_S:
                self._finish_unanswered(part, "expired_in_queue")
                continue
            if not self._may_start(part):
                continue
            chosen = self._select_replica(now_s, part)
            if chosen is None:
                self._on_no_replica(part, now_s)
                continue
            self._start_attempt(part, chosen, now_s)

    def _wait_for_memory(self) -> None:
        """Start attempts again soon: replies that are handed on elsewhere make room, too."""
        if self._memory_timer is None:
            self._counters.add("owner.waited_for_memory")
            loop = asyncio.get_running_loop()
            self._memory_timer = loop.call_later(_MEMORY_CHECK_INTERVAL_S, self._on_memory_timer)

    def _on_memory_timer(self) -> None:
        self._memory_timer = None
        self.start_attempts()

    def _start_hedges(self, now_s: float) -> None:
        """
        Start the pending hedges, before any queued part.

        Hedges that get only otherwise unused slots starve exactly when replicas are busy, which is
        when stragglers do the most harm.
        """
        pending_count = len(self._pending_hedges)
        for _ in range(pending_count):
            part = self._pending_hedges.popleft()
            if part.done or not part.attempts_in_flight or self._suspects.is_withheld(part):
                continue
            replica = selection.select_untried(self.replicas.values(), now_s, part)
            if replica is None:
                self._pending_hedges.append(part)
                continue
            self._counters.add("owner.hedge.sent")
            part.hedge_attempt_id = self._start_attempt(part, replica, now_s)

    def _select_replica(
        self, now_s: float, part: part_module.Part
    ) -> replica_module.Replica | None:
        """Select a replica for a part; one that has had it only if there is no other."""
        replicas = self.replicas.values()
        return selection.select_untried(replicas, now_s, part) or selection.select_for_retry(
            replicas, now_s, part
        )

    def _on_no_replica(self, part: part_module.Part, now_s: float) -> None:
        """Requeue a part that no free replica can take; finish it if none holds its snapshot."""
        if not selection.may_hold_snapshot(self.replicas.values(), now_s, part.snapshot):
            self._counters.add("owner.part.snapshot_absent")
            self._finish(
                part,
                part_module.PartReply(part.number, part_module.SNAPSHOT_ABSENT, "snapshot_absent"),
            )
            return
        self._requeue_after(part, 0.005)

    def _requeue_after(self, part: part_module.Part, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(delay_s, self._requeue, part)

    def _requeue(self, part: part_module.Part) -> None:
        if not part.done:
            self._queue.push(part)
            self.start_attempts()

    def _finish_unanswered(self, part: part_module.Part, reason: str) -> None:
        """Finish a part without an answer: failed if it may have run, refused otherwise."""
        if part.may_have_run:
            self._fail(part, reason)
        else:
            self._refuse(part, reason, self.wait_ms(part.priority, part.caller))

    def _start_attempt(
        self, part: part_module.Part, replica: replica_module.Replica, now_s: float
    ) -> str:
        """Start an attempt; return its identifier."""
        if not part.attempt_count:
            queued_ms = (now_s - part.queued_at_s) * 1000
            failures.try_record("wait", self._counters.time_ms, "owner.queue_ms", queued_ms)
        part.attempt_count += 1
        part.tried_replicas.add(replica.instance)
        attempt_id = f"{part.attempt_id_prefix}.{part.attempt_count}"
        part.attempts_in_flight[attempt_id] = part_module.Attempt(replica, now_s)
        replica.in_flight += 1
        self._start_hedge_timer(part)
        self._tasks.start(self._run_attempt(part, replica, attempt_id))
        return attempt_id

    def _start_hedge_timer(self, part: part_module.Part) -> None:
        if not (part.hedge and part.repeatable) or part.hedged or len(self.replicas) < 2:
            return
        delay_ms = self._hedging.delay_ms()
        if delay_ms is not None:
            part.hedge_timer = asyncio.get_running_loop().call_later(
                delay_ms / 1000, self._on_hedge_timer, part
            )

    def _on_hedge_timer(self, part: part_module.Part) -> None:
        if part.done or part.hedged or not part.attempts_in_flight:
            return
        if not self._hedging.try_spend(list(part.attempts_in_flight.values()), time.monotonic()):
            self._counters.add("owner.hedge.denied")
            # Checked again when the attempt may be stuck.
            delay_s = self._hedging.stuck_after_ms() / 1000
            part.hedge_timer = asyncio.get_running_loop().call_later(
                delay_s, self._on_hedge_timer, part
            )
            return
        part.hedged = True
        self._pending_hedges.append(part)
        self.start_attempts()

    async def _run_attempt(
        self, part: part_module.Part, replica: replica_module.Replica, attempt_id: str
    ) -> None:
        started_at_s = time.monotonic()
        outcome: target.Outcome = target.Unknown("cancelled")
        try:
            outcome = await self._client.run(
                replica.address,
                attempt_id,
                part.snapshot,
                part.shard,
                part.body,
                part.deadline_s - started_at_s,
            )
        except Exception as error:
            failures.report(error)
            outcome = target.Unknown("internal_error")
        finally:
            replica.in_flight -= 1
            part.attempts_in_flight.pop(attempt_id, None)
        duration_ms = (time.monotonic() - started_at_s) * 1000
        failures.try_record("duration", self._counters.time_ms, "owner.target_ms", duration_ms)
        failures.try_record("target", self._update_replica, replica, part, outcome, duration_ms)
        try:
            await self._suspects.record_outcome(part, replica, outcome, self._client)
        except Exception as error:
            failures.report_recording("crash", error)
        if not part.done:
            self._apply_outcome(part, replica, outcome, attempt_id)
        self.start_attempts()

    def _update_replica(
        self,
        replica: replica_module.Replica,
        part: part_module.Part,
        outcome: target.Outcome,
        duration_ms: float,
    ) -> None:
        match outcome:
            case target.Answered():
                replica.record_success(duration_ms)
                self.durations.add(duration_ms)
            case target.NotRun(reason="cancelled") | target.Unknown(reason="cancelled"):
                pass
            case target.NotRun(reason="draining"):
                self.mark_draining(replica.instance, "draining")
            case target.NotRun(reason="connect_failed"):
                self._record_failure(replica)
            case target.NotRun():
                replica.record_refusal()
            case target.SnapshotAbsent():
                replica.record_absent(part.snapshot, time.monotonic())
            case target.Unknown(reason="timeout") if duration_ms < 4 * self.durations.mean_ms:
                pass  # the caller's deadline was too short; the replica did not fail
            case target.Unknown():
                self._record_failure(replica)

    def _record_failure(self, replica: replica_module.Replica) -> None:
        now_s = time.monotonic()
        has_alternative = selection.has_alternative(self.replicas.values(), now_s, replica)
        if replica.record_failure(may_eject=has_alternative):
            self._counters.add("owner.ejected")

    def mark_draining(self, instance: str, reason: str) -> None:
        """Send a replica no new attempts; the first time, notify the peers."""
        replica = self.replicas.get(instance)
        if replica is not None and not replica.draining_reason:
            replica.draining_reason = reason
            self.on_draining(instance)

    def _apply_outcome(
        self,
        part: part_module.Part,
        replica: replica_module.Replica,
        outcome: target.Outcome,
        attempt_id: str,
    ) -> None:
        """Finish the part with the outcome of an attempt, or start another attempt."""
        match outcome:
            case target.Answered():
                failures.try_record("answer", self._record_answer, part, attempt_id)
                self._counters.add("owner.part.answered")
                self._finish(
                    part,
                    part_module.PartReply(
                        part.number,
                        part_module.ANSWERED,
                        snapshot=outcome.snapshot,
                        body=outcome.body,
                        attempts=part.attempt_count,
                        wait_ms=self.wait_ms(part.priority, part.caller),
                    ),
                )
            case _ if part.attempts_in_flight:
                return  # another attempt in flight may still be answered
            case target.SnapshotAbsent():
                self._requeue(part)
            case target.NotRun(reason=reason):
                self._retry(part, reason)
            case target.Unknown(reason=reason):
                part.may_have_run = True
                self._retry(part, reason)

    def _record_answer(self, part: part_module.Part, attempt_id: str) -> None:
        self._record_stuck_attempts(part)
        if part.hedge_attempt_id:
            won = attempt_id == part.hedge_attempt_id
            self._hedging.delay.record_result(won)
            self._counters.add("owner.hedge.won" if won else "owner.hedge.lost")

    def _record_stuck_attempts(self, part: part_module.Part) -> None:
        """
        Record a failure for each slower attempt that looks stuck.

        Otherwise the failure would be noticed only seconds later.
        """
        for attempt in part.attempts_in_flight.values():
            if self._hedging.looks_stuck(attempt, time.monotonic()):
                self._record_failure(attempt.replica)

    def _retry(self, part: part_module.Part, reason: str) -> None:
        """
        Retry a part if that is safe and within the budget; otherwise finish it.

        No other layer retries a part: retries at several layers multiply.
        """
        denied_reason = ""
        if part.may_have_run and not part.repeatable:
            denied_reason = "not_repeatable"
        elif self._suspects.is_withheld(part):
            denied_reason = suspects_module.CRASHES_TARGETS
        elif part.attempt_count > part.retries:
            denied_reason = "used_up"
        elif time.monotonic() + _MIN_REMAINING_S > part.deadline_s:
            denied_reason = "deadline"
        elif not self._retry_budget.try_spend():
            denied_reason = "budget"
        if not denied_reason:
            self._counters.add(f"owner.retry.{reason}")
            self._requeue_after(part, policy.backoff_ms(part.attempt_count, self._rng) / 1000)
            return
        self._counters.add(f"owner.retry_denied.{denied_reason}")
        self._finish_unanswered(part, reason)

    async def close(self) -> None:
        """Cancel the attempts; a planned stop first waits until :meth:`in_flight` is zero."""
        if self._memory_timer is not None:
            self._memory_timer.cancel()
        await self._tasks.close()
