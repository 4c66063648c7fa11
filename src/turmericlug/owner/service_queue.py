"""One service at its owner: one queue before all its replicas, attempts, hedges and retries."""

from __future__ import annotations

import asyncio
import collections
import random
import time
from collections import abc

from turmericlug.kernel import tasks
from turmericlug.owner import choice
from turmericlug.owner import fair_queue
from turmericlug.owner import hedging
from turmericlug.owner import part as part_module
from turmericlug.owner import policy
from turmericlug.owner import replica as replica_module
from turmericlug.owner import suspects as suspects_module
from turmericlug.owner import target
from turmericlug.telemetry import counters as counters_module

# The queue lets nothing start that could not be sent and answered in this time.
_LEAST_TIME_S = 0.001


class ServiceQueue:
    """The queue, the replicas and what was learned of them."""

    def __init__(
        self,
        service: str,
        client: target.Client,
        counters: counters_module.Counters,
        rng: random.Random,
        hedge_budget: float,
        hedge_percentile: float,
        retry_budget: float,
        most_queued: int,
        caller_share: float,
        suspects: suspects_module.Suspects,
    ) -> None:
        self.service = service
        self.replicas: dict[str, replica_module.Replica] = {}
        self.times = policy.DurationWindow()
        self._client = client
        self._counters = counters
        self._rng = rng
        self._retries = policy.Budget(retry_budget)
        self._hedging = hedging.Hedging(
            policy.Budget(hedge_budget), self._retries, hedge_percentile, self.times
        )
        self._most_queued = most_queued
        self._caller_share = caller_share
        self._suspects = suspects
        self._queue: fair_queue.FairQueue[part_module.Part] = fair_queue.FairQueue()
        self._late: collections.deque[part_module.Part] = collections.deque()
        self._tasks = tasks.Tasks()
        self.on_leaving: abc.Callable[[str], None] = lambda instance: None

    def slots(self) -> float:
        """Return the parts that all usable replicas take together."""
        return choice.slots(self.replicas.values(), time.monotonic())

    def in_flight(self) -> int:
        """Return the attempts under way."""
        return sum(each.in_flight for each in self.replicas.values())

    def queued(self) -> int:
        """Return the parts waiting for a slot."""
        return len(self._queue)

    def wait_ms(self, priority: int, caller: str) -> float:
        """Predict how long a new part would wait."""
        ahead = self._queue.ahead_of(priority, caller) + self.in_flight()
        return policy.predicted_wait_ms(ahead, self.slots(), self.times.mean_ms)

    def submit(self, part: part_module.Part) -> None:
        """
        Take a part, or refuse it at once when it could not finish in time.

        A part that would expire in the queue keeps others waiting and then answers nobody.
        """
        now_s = time.monotonic()
        wait_ms = self.wait_ms(part.priority, part.caller)
        reason = ""
        if not choice.staying(self.replicas.values()):
            reason = "no_replica"
        elif len(self._queue) >= self._most_queued:
            reason = "queue_full"
        elif self._queue.of_caller(part.caller) >= self._caller_share * self._most_queued:
            reason = "caller_share"
        elif not policy.admits((part.deadline_s - now_s) * 1000, wait_ms, self.times.mean_ms):
            reason = "no_time"
        if reason:
            self._refuse(part, reason, wait_ms)
        if part.done or not self._may_start(part):
            return
        part.queued_at_s = now_s
        self._hedging.budget.earn()
        self._retries.earn()
        self._queue.push(part)
        self.pump()

    def _may_start(self, part: part_module.Part) -> bool:
        """Whether a part may go to a replica; ends it where replicas ended under its request."""
        held = self._suspects.holds(part)
        if held == part_module.FAILED:
            self._fail(part, suspects_module.HELD)
        elif held:
            self._give_up(part, suspects_module.HELD)
        return not held

    def _refuse(self, part: part_module.Part, reason: str, wait_ms: float = 0.0) -> None:
        come_back_ms = policy.come_back_ms(wait_ms, self._rng)
        self._counters.add(f"owner.part.refused.{reason}")
        self._finish(
            part,
            part_module.PartReply(
                part.number, part_module.REFUSED, reason, come_back_ms=come_back_ms, wait_ms=wait_ms
            ),
        )

    def _fail(self, part: part_module.Part, reason: str) -> None:
        self._counters.add(f"owner.part.failed.{reason}")
        self._finish(
            part,
            part_module.PartReply(part.number, part_module.FAILED, reason, attempts=part.attempts),
        )

    def _finish(self, part: part_module.Part, reply: part_module.PartReply) -> None:
        if part.done:
            return
        self._close(part)
        part.reply(reply)

    def _close(self, part: part_module.Part) -> None:
        """End a part: nothing of it starts any more, and what runs is cancelled."""
        part.done = True
        if part.hedge_timer is not None:
            part.hedge_timer.cancel()
        for name, attempt in part.running.items():
            self._tasks.start(self._client.cancel(attempt.replica.address, name))

    def cancel(self, part: part_module.Part) -> None:
        """Give up a part that nobody waits for."""
        if not part.done:
            self._counters.add("owner.part.cancelled")
            self._close(part)

    def give_back(self) -> None:
        """Refuse what waits, so that coordinators take it to the next owner."""
        for part in self._queue.drain():
            self._counters.add("owner.handed_over")
            self._give_up(part, "owner_leaving")

    def pump(self) -> None:
        """Start attempts while there are parts and free slots."""
        now_s = time.monotonic()
        self._start_late(now_s)
        while len(self._queue):
            replica = choice.free(self.replicas.values(), now_s, None)
            if replica is None:
                return
            part = self._queue.pop()
            if part is None:
                return
            if part.deadline_s - now_s < _LEAST_TIME_S:
                self._give_up(part, "expired_in_queue")
                continue
            if not self._may_start(part):
                continue
            chosen = self._chosen(now_s, part)
            if chosen is None:
                self._without_replica(part, now_s)
                continue
            self._dispatch(part, chosen, now_s)

    def _start_late(self, now_s: float) -> None:
        """
        Start the second attempts of late parts, before anything new.

        A hedge that gets only slots that happen to be free starves exactly when replicas are
        busy, which is when stragglers hurt most.
        """
        waiting = len(self._late)
        for _ in range(waiting):
            part = self._late.popleft()
            if part.done or not part.running or self._suspects.is_held(part):
                continue
            replica = choice.free(self.replicas.values(), now_s, part)
            if replica is None:
                self._late.append(part)
                continue
            self._counters.add("owner.hedge.sent")
            part.hedge_attempt = self._dispatch(part, replica, now_s)

    def _chosen(self, now_s: float, part: part_module.Part) -> replica_module.Replica | None:
        """Choose a replica for a part, one that it has been to only when there is no other."""
        replicas = self.replicas.values()
        return choice.free(replicas, now_s, part) or choice.free_again(replicas, now_s, part)

    def _without_replica(self, part: part_module.Part, now_s: float) -> None:
        """Deal with a part at the head of the queue that no free replica can take."""
        if not choice.holds_snapshot(self.replicas.values(), now_s, part.snapshot):
            self._counters.add("owner.part.snapshot_absent")
            self._finish(
                part,
                part_module.PartReply(part.number, part_module.SNAPSHOT_ABSENT, "snapshot_absent"),
            )
            return
        self._later(part, 0.005)

    def _later(self, part: part_module.Part, delay_s: float) -> None:
        asyncio.get_running_loop().call_later(delay_s, self._again, part)

    def _again(self, part: part_module.Part) -> None:
        if not part.done:
            self._queue.push(part)
            self.pump()

    def _give_up(self, part: part_module.Part, reason: str) -> None:
        """Say what is true of a part that nothing more is tried for."""
        if part.may_have_run:
            self._fail(part, reason)
        else:
            self._refuse(part, reason, self.wait_ms(part.priority, part.caller))

    def _dispatch(
        self, part: part_module.Part, replica: replica_module.Replica, now_s: float
    ) -> str:
        """Start an attempt; returns its identifier."""
        if not part.attempts:
            self._counters.time_ms("owner.queue_ms", (now_s - part.queued_at_s) * 1000)
        part.attempts += 1
        part.tried.add(replica.instance)
        attempt = f"{part.attempt_prefix}.{part.attempts}"
        part.running[attempt] = part_module.Attempt(replica, now_s)
        replica.in_flight += 1
        self._arm_hedge(part)
        self._tasks.start(self._attempt(part, replica, attempt))
        return attempt

    def _arm_hedge(self, part: part_module.Part) -> None:
        if not (part.hedge and part.repeatable) or part.hedged or len(self.replicas) < 2:
            return
        delay_ms = self._hedging.delay_ms()
        if delay_ms is not None:
            part.hedge_timer = asyncio.get_running_loop().call_later(
                delay_ms / 1000, self._late_part, part
            )

    def _late_part(self, part: part_module.Part) -> None:
        if part.done or part.hedged or not part.running:
            return
        if not self._hedging.pay(list(part.running.values()), time.monotonic()):
            self._counters.add("owner.hedge.denied")
            # Decided once more when the part would count as stuck.
            delay_s = self._hedging.stuck_after_ms() / 1000
            part.hedge_timer = asyncio.get_running_loop().call_later(delay_s, self._late_part, part)
            return
        part.hedged = True
        self._late.append(part)
        self.pump()

    async def _attempt(
        self, part: part_module.Part, replica: replica_module.Replica, attempt: str
    ) -> None:
        began_at_s = time.monotonic()
        outcome: target.Outcome = target.Unknown("cancelled")
        try:
            outcome = await self._client.run(
                replica.address,
                attempt,
                part.snapshot,
                part.shard,
                part.body,
                part.deadline_s - began_at_s,
            )
        finally:
            replica.in_flight -= 1
            part.running.pop(attempt, None)
        duration_ms = (time.monotonic() - began_at_s) * 1000
        self._counters.time_ms("owner.target_ms", duration_ms)
        self._learn(replica, part, outcome, duration_ms)
        await self._suspects.settle(part, replica, outcome, self._client)
        if not part.done:
            self._settle(part, replica, outcome, attempt)
        self.pump()

    def _learn(
        self,
        replica: replica_module.Replica,
        part: part_module.Part,
        outcome: target.Outcome,
        duration_ms: float,
    ) -> None:
        match outcome:
            case target.Answered():
                replica.succeeded(duration_ms)
                self.times.add(duration_ms)
            case target.NotRun(reason="cancelled") | target.Unknown(reason="cancelled"):
                pass
            case target.NotRun(reason="draining"):
                self.leave(replica.instance, "draining")
            case target.NotRun(reason="connect_failed"):
                self._failed(replica)
            case target.NotRun():
                replica.refused()
            case target.SnapshotAbsent():
                replica.absent[part.snapshot] = time.monotonic()
            case target.Unknown(reason="timeout") if duration_ms < 4 * self.times.mean_ms:
                pass  # the caller was in a hurry; that says nothing of the replica
            case target.Unknown():
                self._failed(replica)

    def _failed(self, replica: replica_module.Replica) -> None:
        now_s = time.monotonic()
        others = choice.has_another(self.replicas.values(), now_s, replica)
        if replica.failed(may_eject=others):
            self._counters.add("owner.ejected")

    def leave(self, instance: str, reason: str) -> None:
        """Give a replica no new work; tells the peers the first time."""
        replica = self.replicas.get(instance)
        if replica is not None and not replica.leaving:
            replica.leaving = reason
            self.on_leaving(instance)

    def _settle(
        self,
        part: part_module.Part,
        replica: replica_module.Replica,
        outcome: target.Outcome,
        attempt: str,
    ) -> None:
        """Turn an attempt's outcome into the part's, or into another attempt."""
        match outcome:
            case target.Answered():
                self._note_stuck(part)
                if part.hedge_attempt:
                    won = attempt == part.hedge_attempt
                    self._hedging.clock.learn(won)
                    self._counters.add("owner.hedge.won" if won else "owner.hedge.lost")
                self._counters.add("owner.part.answered")
                self._finish(
                    part,
                    part_module.PartReply(
                        part.number,
                        part_module.ANSWERED,
                        snapshot=outcome.snapshot,
                        body=outcome.body,
                        attempts=part.attempts,
                        wait_ms=self.wait_ms(part.priority, part.caller),
                    ),
                )
            case _ if part.running:
                return  # the other attempt may still answer
            case target.SnapshotAbsent():
                self._again(part)
            case target.NotRun(reason=reason):
                self._retry(part, reason)
            case target.Unknown(reason=reason):
                part.may_have_run = True
                self._retry(part, reason)

    def _note_stuck(self, part: part_module.Part) -> None:
        """Count an overtaken attempt, whose failure shows only seconds later, if it looks stuck."""
        for attempt in part.running.values():
            if self._hedging.looks_stuck(attempt, time.monotonic()):
                self._failed(attempt.replica)

    def _retry(self, part: part_module.Part, reason: str) -> None:
        """
        Try again where that is safe and within the budget; else say what is true.

        Only here is anything retried: retries at several layers multiply.
        """
        denied = ""
        if part.may_have_run and not part.repeatable:
            denied = "not_repeatable"
        elif self._suspects.is_held(part):
            denied = suspects_module.HELD
        elif part.attempts > part.retries:
            denied = "used_up"
        elif time.monotonic() + _LEAST_TIME_S > part.deadline_s:
            denied = "deadline"
        elif not self._retries.spend():
            denied = "budget"
        if not denied:
            self._counters.add(f"owner.retry.{reason}")
            self._later(part, policy.backoff_ms(part.attempts, self._rng) / 1000)
            return
        self._counters.add(f"owner.retry_denied.{denied}")
        self._give_up(part, reason)

    async def close(self) -> None:
        """End what runs; planned stops wait for :meth:`in_flight` to be zero before."""
        await self._tasks.close()
