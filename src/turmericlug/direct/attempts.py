"""Get one answer from the replicas of one service: first attempt, hedge and retries."""

from __future__ import annotations

import asyncio
import collections
from collections import abc

import attrs

from turmericlug.direct import placement
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import timing
from turmericlug.direct import tracking
from turmericlug.kernel import failures
from turmericlug.policy import backoff
from turmericlug.telemetry import decisions

RETRY_DELAY_S = 0.015
"""Delay before the first retry at replicas that have all shed a request: one or two service times.
It doubles with each further retry."""
MAX_RETRY_DELAY_S = 0.12
MAX_DELAYED_RETRIES = 4
"""Delayed retries per request: 0.23 s in total. A request that is still shed after that is refused
while its caller has time to try another instance."""
STALL_THRESHOLD_S = 0.005
"""Lateness of a timer from which this process counts as having been stalled."""
STALL_CATCH_UP_S = 0.01
"""Time after a stall to read the responses that arrived during it."""
MAX_SAME_REPLICA_RETRIES = 2
"""Retries at replicas that have failed the request, once it may be sent to no others. A replica
that loses part of its responses often delivers the next one."""
MAX_UNSENT = 3
"""Attempts without a connection do not count towards the route's limit; after more than this many,
a service whose replicas all refuse connections is given up."""


@attrs.define(eq=False)
class _PendingAttempt:
    """An attempt in flight."""

    replica: replica_module.Replica
    attempt: replica_module.Attempt

    @property
    def began_s(self) -> float:
        return self.attempt.began_s


@attrs.define(eq=False)
class _RequestState:
    """The state of one request's attempts at one service."""

    sender: sender_module.Sender
    call: sending.Call
    service: str
    shared: frozenset[int] = frozenset()
    """Identifiers of replicas that the request may reach or have reached without this state; they
    count as reached."""
    only_shared: bool = False
    """Whether the request must not be sent to other replicas."""
    tried: list[replica_module.Replica] = attrs.field(factory=list)
    """Replicas that the request was sent to, except those that may be retried."""
    attempts_by_replica: collections.Counter[str] = attrs.field(factory=collections.Counter)
    """Number of attempts per replica, except those that got no connection."""
    shed_by: list[replica_module.Replica] = attrs.field(factory=list)
    """Replicas that shed the request without running it."""
    failed_by: list[replica_module.Replica] = attrs.field(factory=list)
    """Replicas that returned an error or no usable response before the timeout."""
    same_replica_retries: int = 0
    """Retries at replicas that had failed the request."""
    delayed_retries: int = 0
    retry_at_s: float | None = None
    """When to retry after the current delay, if no attempt is in flight."""
    pending: dict[asyncio.Task[sending.Outcome], _PendingAttempt] = attrs.field(factory=dict)
    attempt_count: int = 0
    """Attempts that may have run the request."""
    unsent: int = 0
    """Attempts that sent nothing."""
    hedge_denied: bool = False
    hedge_not_before_s: float = 0.0
    """When hedging resumes after a stall of this process; 0 if there was none."""
    failure: sending.Outcome = sending.NotRun(replicas_module.NO_REPLICA, sent=False)
    """The last failure after which the request may have run; if there is none, the last failure."""


async def get_answer(
    sender: sender_module.Sender,
    call: sending.Call,
    service: str,
    first_replica: replica_module.Replica | None = None,
    shared: abc.Set[int] = frozenset(),
    is_retry: bool = False,
) -> sending.Outcome:
    """
    Get one answer from a service.

    Cancelling it leaves attempts in flight to complete, so that their connections can be reused;
    ``call.abandon`` cancels them.

    :param first_replica: replica for the first attempt, if it has been chosen already
    :param shared: identifiers of the replicas to which other instances may send the part too, if it
        was handed over; they count towards the route's limit
    :param is_retry: whether another instance may have sent the part before; it then gets one more
        attempt, at one of these replicas and within the retry budget
    :returns: the first answer, or the failure; ``NotRun`` only if no attempt can have run
    """
    if not sender.quarantine.may_send(call):
        return (
            sending.Unknown(sending.CRASHES_REPLICAS)
            if is_retry
            else sending.NotRun(sending.CRASHES_REPLICAS, sent=False)
        )
    loop = asyncio.get_running_loop()
    reached = map(placement.replica_id, call.reached(service))
    state = _RequestState(sender, call, service, shared | frozenset(reached), is_retry)
    if not is_retry:
        failures.try_record("retry budget", sender.count_request, service, call, loop.time())
    elif call.route.max_attempts < 2 or not sender.spend_retry_budget(service, call, loop.time()):
        sender.counters.add("direct.repeat_denied.budget")
        return sending.Unknown("budget")
    else:
        state.attempt_count = call.route.max_attempts - 1
        state.same_replica_retries = MAX_SAME_REPLICA_RETRIES
        state.failure = sending.Unknown("batch_lost")
    try:
        return await _first_answer(state, first_replica)
    finally:
        # Also if this is cancelled because the query or its caller has stopped waiting.
        call.drop_unwritten(service)


async def _first_answer(
    state: _RequestState, first_replica: replica_module.Replica | None
) -> sending.Outcome:
    """Attempt, hedge and retry until there is an answer or no further attempt is allowed."""
    loop = asyncio.get_running_loop()
    call = state.call
    if first_replica is not None and first_replica not in _excluded_replicas(state):
        _send_to(state, first_replica, loop.time())
    else:
        _send_first(state, loop.time())
    while state.pending or state.retry_at_s is not None:
        if not state.pending:
            await _retry_when_due(state)
            continue
        timeout_s = _wait_timeout_s(state, loop.time())
        due_s = loop.time() + timeout_s
        done, _ = await asyncio.wait(
            state.pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            pending = state.pending.pop(task)
            # A task that was cancelled before it started has no result.
            outcome = sending.ABANDONED if task.cancelled() else task.result()
            if isinstance(outcome, sending.Answered):
                return outcome
            _record_failure(state, outcome, pending.replica)
        now_s = loop.time()
        if timing.has_passed(call.deadline_s, now_s):
            return _deadline_outcome(state)
        if done:
            _retry(state, now_s)
        elif now_s - due_s > STALL_THRESHOLD_S and not state.hedge_not_before_s:
            # The response, or the news of the replica's crash, may have arrived during the stall.
            state.hedge_not_before_s = now_s + STALL_CATCH_UP_S
        else:
            _hedge(state, now_s)
    return state.failure


def _deadline_outcome(state: _RequestState) -> sending.Outcome:
    """Return the outcome at the deadline: ``NotRun`` only if no attempt in flight may still run."""
    if state.pending and isinstance(state.failure, sending.NotRun):
        return sending.Unknown("deadline")
    return state.failure


def _wait_timeout_s(state: _RequestState, now_s: float) -> float:
    """Return how long to wait for pending attempts until a hedge or the deadline is due."""
    left_s = max(state.call.deadline_s - now_s, 0.0)
    if not _may_hedge(state):
        return left_s
    (pending,) = state.pending.values()
    hedge_at_s = max(
        pending.began_s + _hedge_age_ms(state, pending) / 1000, state.hedge_not_before_s
    )
    return min(max(hedge_at_s - now_s, 0.0), left_s)


def _hedge_age_ms(state: _RequestState, pending: _PendingAttempt) -> float:
    """Return the age at which a pending attempt is hedged."""
    replicas, call = state.sender.replicas, state.call
    late_after_ms = replicas.hedge_after_ms(pending.replica, call.route)
    if call.answer_at_s is None:
        return late_after_ms
    left_ms = (call.answer_at_s - pending.began_s) * 1000
    second_attempt_ms = replicas.max_median_ms(state.service, call.route)
    return timing.deferred_hedge_ms(late_after_ms, left_ms, second_attempt_ms)


def _may_hedge(state: _RequestState) -> bool:
    """Whether the only attempt in flight, not yet completed, may be hedged once it is late."""
    call = state.call
    return (
        call.route.idempotent
        and len(state.pending) == 1
        and all(pending.attempt.ended_s is None for pending in state.pending.values())
        and state.attempt_count < call.route.max_attempts
        and not state.hedge_denied
    )


def _record_failure(
    state: _RequestState, outcome: sending.Outcome, replica: replica_module.Replica
) -> None:
    if not isinstance(outcome, sending.NotRun):
        state.failure = outcome
        if not sending.timed_out(outcome) and outcome != sending.ABANDONED:
            state.failed_by.append(replica)
        return
    state.attempt_count -= 1
    if not outcome.sent:
        state.unsent += 1
        state.attempts_by_replica[replica.entry.instance] -= 1
    elif outcome.reason != sending.MISDIRECTED:
        state.shed_by.append(replica)
    if isinstance(state.failure, sending.NotRun):
        state.failure = outcome


def _hedge(state: _RequestState, now_s: float) -> None:
    sender, call = state.sender, state.call
    if not _may_hedge(state):
        return
    (pending,) = state.pending.values()
    other = _choose_replica(state, now_s)
    denial = _hedge_denial(state, other, now_s)
    if denial:
        state.hedge_denied = True
        sender.counters.add(f"direct.hedge_denied.{denial}")
        return
    call.hedges += 1
    sender.counters.add("direct.hedge.sent")
    decisions.log(
        "send.hedged",
        request=call.request_id,
        service=state.service,
        late=pending.replica.entry.instance,
        to=other.entry.instance,
        age_ms=round((now_s - pending.began_s) * 1000, 1),
    )
    _send_to(state, other, now_s)


def _hedge_denial(state: _RequestState, other: replica_module.Replica | None, now_s: float) -> str:
    """
    Return why a late part must not be hedged; empty if it may be.

    If the other replica is late as well, the cause is load rather than a pause, and further
    attempts would delay every response.
    """
    if other is None:
        return replicas_module.NO_REPLICA
    if not state.sender.quarantine.may_send(state.call):
        return "ends_replicas"
    if other.has_late_attempt(now_s):
        return "all_late"
    may_spend = state.sender.spend_retry_budget(state.service, state.call, now_s)
    return "" if may_spend else "budget"


def _retry(state: _RequestState, now_s: float) -> None:
    """Retry after a failure, unless this could make a non-idempotent request run twice."""
    sender, call = state.sender, state.call
    failure = state.failure
    if state.pending:
        return
    if state.attempt_count >= call.route.max_attempts and not _readmit_failed_replicas(state):
        return
    if state.unsent > MAX_UNSENT:
        return
    if not call.route.idempotent and not isinstance(failure, sending.NotRun):
        return
    if not sender.quarantine.may_send(call):
        # A replica's answer to another part may clear the request shortly.
        sender.counters.add("direct.repeat_denied.ends_replicas")
        _schedule_retry(state, now_s, suspected=sender.quarantine.is_suspected(call))
        return
    replica = _choose_replica(state, now_s)
    if replica is None:
        _schedule_retry(state, now_s)
        return
    reason = sending.reason(failure).partition(":")[0]
    if state.attempts_by_replica.total() and not sender.spend_retry_budget(
        state.service, call, now_s
    ):
        sender.counters.add("direct.repeat_denied.budget")
        decisions.log(
            "send.not_repeated", request=call.request_id, service=state.service, reason=reason
        )
        return
    call.retries += 1
    sender.counters.add(f"direct.repeat.{reason}")
    decisions.log(
        "send.repeated",
        request=call.request_id,
        service=state.service,
        reason=reason,
        to=replica.entry.instance,
        left_ms=round((call.deadline_s - now_s) * 1000),
    )
    _send_to(state, replica, now_s)


def _readmit_failed_replicas(state: _RequestState) -> bool:
    """
    Allow a retry at replicas that failed the request, as it may reach no further ones.

    :returns: whether such a retry is allowed
    """
    call = state.call
    if not call.route.idempotent or call.route.max_attempts < 2 or not state.failed_by:
        return False
    if state.same_replica_retries >= MAX_SAME_REPLICA_RETRIES:
        return False
    state.same_replica_retries += 1
    state.tried = [replica for replica in state.tried if replica not in state.failed_by]
    return True


def _schedule_retry(state: _RequestState, now_s: float, suspected: bool = False) -> None:
    """
    Schedule a retry at replicas that shed the request, once no other replica is left to try.

    They have not run it, so sending it to them again does not reach a further replica.

    :param suspected: whether the request is withheld from all replicas only because it is suspected
    """
    if not (state.shed_by or suspected) or state.delayed_retries >= MAX_DELAYED_RETRIES:
        return
    delay_s = backoff.delay(RETRY_DELAY_S, MAX_RETRY_DELAY_S, state.delayed_retries + 1)
    delay_s *= state.sender.rng.uniform(0.75, 1.25)
    if now_s + delay_s < state.call.deadline_s:
        state.retry_at_s = now_s + delay_s


async def _retry_when_due(state: _RequestState) -> None:
    """Wait for the scheduled retry, readmit the replicas that shed the request, and retry."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(state.retry_at_s - loop.time(), 0.0))
    state.retry_at_s = None
    state.delayed_retries += 1
    state.tried = [replica for replica in state.tried if replica not in state.shed_by]
    state.shed_by.clear()
    _retry(state, loop.time())


def _send_first(state: _RequestState, now_s: float) -> None:
    """Make the first attempt at the best replica, if there is one."""
    replica = _choose_replica(state, now_s)
    if replica is not None:
        _send_to(state, replica, now_s)
        return
    reason = state.sender.replicas.no_replica_reason(state.service, state.call.route, now_s)
    if isinstance(state.failure, sending.NotRun):
        state.failure = sending.NotRun(reason, sent=False)


def _choose_replica(state: _RequestState, now_s: float) -> replica_module.Replica | None:
    """Choose the best replica that the request may be sent to now."""
    excluded = _excluded_replicas(state)
    return state.sender.replicas.choose(state.service, state.call.route, excluded, now_s)


def _excluded_replicas(state: _RequestState) -> list[replica_module.Replica]:
    """Return the replicas that were tried or are beyond the route's limit."""
    names = [name for name, count in state.attempts_by_replica.items() if count]
    reached = state.shared.union(map(placement.replica_id, names))
    if not state.only_shared and len(reached) < state.call.route.max_attempts:
        return state.tried
    others = [
        replica
        for replica in state.sender.replicas.of(state.service)
        if placement.replica_id(replica.entry.instance) not in reached
    ]
    return [*state.tried, *others]


def _send_to(state: _RequestState, replica: replica_module.Replica, now_s: float) -> None:
    sender, call = state.sender, state.call
    late_after_ms = sender.replicas.hedge_after_ms(replica, call.route)
    attempt = replica_module.Attempt(now_s, late_after_ms / 1000, replica.entry.instance)
    # Registered before its task runs, so that a cancellation in the same loop iteration finds it.
    replica.attempts.add(attempt)
    if replica.is_cold(now_s):
        replica.cold_sent_s = now_s
    call.attempts_by_service.setdefault(state.service, []).append(attempt)
    task = sender.tasks.start(tracking.send_and_record(sender, call, replica, attempt))
    call.tasks.add(task)
    task.add_done_callback(call.tasks.discard)
    task.add_done_callback(lambda _: replica.attempts.discard(attempt))
    state.tried.append(replica)
    state.attempts_by_replica[replica.entry.instance] += 1
    state.pending[task] = _PendingAttempt(replica, attempt)
    state.attempt_count += 1
    failures.try_record("sent", sender.count_attempt, replica)
