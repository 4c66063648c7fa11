"""Getting one answer out of the replicas of one service: first send, hedge, repeat."""

from __future__ import annotations

import asyncio
import collections

import attrs

from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import timing
from turmericlug.direct import tracking
from turmericlug.telemetry import decisions

SHED_AGAIN_S = 0.015
"""Pause before replicas that have all shed a request are tried again: a service time or two, and
twice as long each time."""
MOST_PAUSES = 4
"""Pauses of one request: 0.23 s in all. What is shed as often is refused while its caller can still
go elsewhere."""
TIMER_LATE_S = 0.005
"""A timer that is later than this was held up: this process stood still."""
CATCH_UP_S = 0.01
"""Time to read what came in while this process stood still."""
MOST_SAME_REPLICA_RETRIES = 2
"""Sends to replicas that have failed a request before, once it may reach no other. Replicas that
lose part of their answers give the next one in many cases."""
MOST_UNSENT = 3
"""Sends that found no connection do not count as attempts; a service whose replicas all refuse
connections is given up after this many."""


@attrs.define(eq=False)
class _Pending:
    """A send under way."""

    replica: replica_module.Replica
    send: replica_module.Attempt

    @property
    def began_s(self) -> float:
        return self.send.began_s


@attrs.define(eq=False)
class _Effort:
    """The sends of one request to one service."""

    sender: sender_module.Sender
    call: sending.Call
    service: str
    common: str = ""
    """The replica that any other instance may send it to as well, so that it takes up one of those
    that the request may reach."""
    closed: list[replica_module.Replica] = attrs.field(factory=list)
    """Replicas that it must not reach."""
    tried: list[replica_module.Replica] = attrs.field(factory=list)
    """Replicas that it was sent to, but for those that may be tried again."""
    reached: collections.Counter[str] = attrs.field(factory=collections.Counter)
    """How often it was sent to each instance, but for sends that found no connection."""
    shed_by: list[replica_module.Replica] = attrs.field(factory=list)
    """Replicas that were full and have run nothing."""
    failed_by: list[replica_module.Replica] = attrs.field(factory=list)
    """Replicas that gave a failure, or no usable answer, before its time was over."""
    same_replica_retries: int = 0
    """Sends to replicas that had failed it."""
    pauses: int = 0
    again_at_s: float | None = None
    """When replicas that were full are tried again, while nothing is under way."""
    pending: dict[asyncio.Task[sending.Outcome], _Pending] = attrs.field(factory=dict)
    attempts: int = 0
    """Sends that may have run."""
    unsent: int = 0
    hedge_denied: bool = False
    hedge_from_s: float = 0.0
    """Until when nothing is hedged, as this process stood still."""
    failure: sending.Outcome = sending.NotRun(replicas_module.NO_REPLICA, sent=False)
    """The last failure, or one after which the request may have run, if there was any."""


async def obtain(
    sender: sender_module.Sender,
    call: sending.Call,
    service: str,
    first: replica_module.Replica | None = None,
    handed_to: str = "",
    again: bool = False,
) -> sending.Outcome:
    """
    Get one answer from a service.

    Cancelling it leaves sends under way to finish by themselves, so that their connections can be
    used again; ``call.abandon`` ends them.

    :param first: the replica to send to first, where it has been chosen already
    :param handed_to: data centre whose instances the part was handed to, if it was; all of them
        keep to the same replicas
    :param again: whether one of them may have sent it before; one send is left then, within the
        budget of extra sends
    :returns: the first answer, or the failure; ``NotRun`` only when no attempt can have run
    """
    if not sender.quarantine.may_send(call):
        return sending.Unknown(sending.HELD) if again else sending.NotRun(sending.HELD, sent=False)
    loop = asyncio.get_running_loop()
    effort = _Effort(sender, call, service)
    if handed_to:
        effort.common = sender.replicas.common(service, call.route, call.request_id, handed_to)
    if not again:
        sender.replicas.retry_budget(service).count_request(loop.time())
    elif call.route.max_attempts < 2 or not sender.may_send_again(service, loop.time()):
        sender.counters.add("direct.repeat_denied.budget")
        return sending.Unknown("budget")
    else:
        effort.attempts = call.route.max_attempts - 1
        effort.same_replica_retries = MOST_SAME_REPLICA_RETRIES
        replicas = sender.replicas.of(service) if effort.common else []
        effort.closed = [each for each in replicas if each.entry.instance != effort.common]
        effort.failure = sending.Unknown("batch_lost")
    try:
        return await _first_answer(effort, first)
    finally:
        # Also when the query or its caller waits no longer.
        call.drop_unwritten(service)


async def _first_answer(effort: _Effort, first: replica_module.Replica | None) -> sending.Outcome:
    """Attempt, hedge and repeat until there is an answer or nothing more may be sent."""
    loop = asyncio.get_running_loop()
    call = effort.call
    if first is not None:
        _send_to(effort, first, loop.time())
    else:
        _start(effort, loop.time())
    while effort.pending or effort.again_at_s is not None:
        if not effort.pending:
            await _pause_over(effort)
            continue
        patience_s = _patience_s(effort, loop.time())
        due_s = loop.time() + patience_s
        done, _ = await asyncio.wait(
            effort.pending, timeout=patience_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            pending = effort.pending.pop(task)
            # One that was abandoned before its first turn has no result.
            outcome = sending.ABANDONED if task.cancelled() else task.result()
            if isinstance(outcome, sending.Answered):
                return outcome
            _take_failure(effort, outcome, pending.replica)
        now_s = loop.time()
        if timing.is_over(call.deadline_s, now_s):
            return _at_deadline(effort)
        if done:
            _repeat(effort, now_s)
        elif now_s - due_s > TIMER_LATE_S and not effort.hedge_from_s:
            # The answer, or the end of the replica, may have come in meanwhile.
            effort.hedge_from_s = now_s + CATCH_UP_S
        else:
            _hedge(effort, now_s)
    return effort.failure


def _at_deadline(effort: _Effort) -> sending.Outcome:
    """What is under way may still run, so that nothing can be promised any more."""
    if effort.pending and isinstance(effort.failure, sending.NotRun):
        return sending.Unknown("deadline")
    return effort.failure


def _patience_s(effort: _Effort, now_s: float) -> float:
    """Return how long to wait for the pending sends until a hedge or the deadline is due."""
    left_s = max(effort.call.deadline_s - now_s, 0.0)
    if not _may_hedge(effort):
        return left_s
    (pending,) = effort.pending.values()
    hedge_at_s = max(pending.began_s + _hedge_ms(effort, pending) / 1000, effort.hedge_from_s)
    return min(max(hedge_at_s - now_s, 0.0), left_s)


def _hedge_ms(effort: _Effort, pending: _Pending) -> float:
    """Return the age at which a pending send is hedged."""
    replicas, call = effort.sender.replicas, effort.call
    late_ms = replicas.hedge_after_ms(pending.replica, call.route)
    if call.answer_at_s is None:
        return late_ms
    left_ms = (call.answer_at_s - pending.began_s) * 1000
    second_ms = replicas.max_median_ms(effort.service, call.route)
    return timing.hedge_by_ms(late_ms, left_ms, second_ms)


def _may_hedge(effort: _Effort) -> bool:
    """Whether the one send under way is hedged once it is late; not one that has ended already."""
    call = effort.call
    return (
        call.route.idempotent
        and len(effort.pending) == 1
        and all(each.send.ended_s is None for each in effort.pending.values())
        and effort.attempts < call.route.max_attempts
        and not effort.hedge_denied
    )


def _take_failure(
    effort: _Effort, outcome: sending.Outcome, replica: replica_module.Replica
) -> None:
    if not isinstance(outcome, sending.NotRun):
        effort.failure = outcome
        if not sending.is_late(outcome) and outcome != sending.ABANDONED:
            effort.failed_by.append(replica)
        return
    effort.attempts -= 1
    if not outcome.sent:
        effort.unsent += 1
        effort.reached[replica.entry.instance] -= 1
    elif outcome.reason != sending.MISDIRECTED:
        effort.shed_by.append(replica)
    if isinstance(effort.failure, sending.NotRun):
        effort.failure = outcome


def _hedge(effort: _Effort, now_s: float) -> None:
    sender, call = effort.sender, effort.call
    if not _may_hedge(effort):
        return
    (pending,) = effort.pending.values()
    other = _choose(effort, now_s)
    denied = _hedge_denied(effort, other, now_s)
    if denied:
        effort.hedge_denied = True
        sender.counters.add(f"direct.hedge_denied.{denied}")
        return
    call.hedges += 1
    sender.counters.add("direct.hedge.sent")
    decisions.log(
        "send.hedged",
        request=call.request_id,
        service=effort.service,
        late=pending.replica.entry.instance,
        to=other.entry.instance,
        age_ms=round((now_s - pending.began_s) * 1000, 1),
    )
    _send_to(effort, other, now_s)


def _hedge_denied(effort: _Effort, other: replica_module.Replica | None, now_s: float) -> str:
    """
    Return why a late part is not sent a second time; empty when it may be.

    Where the other replicas are late as well the cause is load, not a pause, and more sends make
    all answers later.
    """
    if other is None:
        return replicas_module.NO_REPLICA
    if not effort.sender.quarantine.may_send(effort.call):
        return "ends_replicas"
    if other.overdue(now_s):
        return "all_late"
    return "" if effort.sender.may_send_again(effort.service, now_s) else "budget"


def _repeat(effort: _Effort, now_s: float) -> None:
    """Attempt once more after a failure, if that can't make the request run twice by our doing."""
    sender, call = effort.sender, effort.call
    failure = effort.failure
    if effort.pending:
        return
    if effort.attempts >= call.route.max_attempts and not _retries_same_replica(effort):
        return
    if effort.unsent > MOST_UNSENT:
        return
    if not call.route.idempotent and not isinstance(failure, sending.NotRun):
        return
    if not sender.quarantine.may_send(call):
        # Another part's answer may clear it in a moment.
        sender.counters.add("direct.repeat_denied.ends_replicas")
        _pause(effort, now_s, held=sender.quarantine.is_suspected(call))
        return
    replica = _choose(effort, now_s)
    if replica is None:
        _pause(effort, now_s)
        return
    reason = sending.reason(failure).partition(":")[0]
    if effort.reached.total() and not sender.may_send_again(effort.service, now_s):
        sender.counters.add("direct.repeat_denied.budget")
        decisions.log(
            "send.not_repeated", request=call.request_id, service=effort.service, reason=reason
        )
        return
    call.repeats += 1
    sender.counters.add(f"direct.repeat.{reason}")
    decisions.log(
        "send.repeated",
        request=call.request_id,
        service=effort.service,
        reason=reason,
        to=replica.entry.instance,
        left_ms=round((call.deadline_s - now_s) * 1000),
    )
    _send_to(effort, replica, now_s)


def _retries_same_replica(effort: _Effort) -> bool:
    """Whether a request that may reach no further replica goes back to one that failed it."""
    call = effort.call
    if not call.route.idempotent or call.route.max_attempts < 2 or not effort.failed_by:
        return False
    if effort.same_replica_retries >= MOST_SAME_REPLICA_RETRIES:
        return False
    effort.same_replica_retries += 1
    effort.tried = [each for each in effort.tried if each not in effort.failed_by]
    return True


def _pause(effort: _Effort, now_s: float, held: bool = False) -> None:
    """
    Plan to try replicas again that were full, once nothing else is left to try.

    They have run nothing, so that a send to them is none to a further replica.

    :param held: whether the request is only held back, from any replica
    """
    pause_s = SHED_AGAIN_S * 2**effort.pauses * effort.sender.rng.uniform(0.75, 1.25)
    if not (effort.shed_by or held) or effort.pauses >= MOST_PAUSES:
        return
    if now_s + pause_s < effort.call.deadline_s:
        effort.again_at_s = now_s + pause_s


async def _pause_over(effort: _Effort) -> None:
    """Wait until replicas that were full are due again, and send to one of them."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(effort.again_at_s - loop.time(), 0.0))
    effort.again_at_s = None
    effort.pauses += 1
    effort.tried = [each for each in effort.tried if each not in effort.shed_by]
    effort.shed_by.clear()
    _repeat(effort, loop.time())


def _start(effort: _Effort, now_s: float) -> None:
    """Attempt to the best replica, if there is one."""
    replica = _choose(effort, now_s)
    if replica is not None:
        _send_to(effort, replica, now_s)
        return
    reason = effort.sender.replicas.no_replica_reason(effort.service, effort.call.route, now_s)
    if isinstance(effort.failure, sending.NotRun):
        effort.failure = sending.NotRun(reason, sent=False)


def _choose(effort: _Effort, now_s: float) -> replica_module.Replica | None:
    """Choose the best replica that the request may be sent to now."""
    replicas, call = effort.sender.replicas, effort.call
    excluded = [*effort.closed, *effort.tried]
    reached = {name for name, count in effort.reached.items() if count}
    if effort.common:
        reached.add(effort.common)
    if len(reached) >= call.route.max_attempts:
        excluded += [
            each for each in replicas.of(effort.service) if each.entry.instance not in reached
        ]
    return replicas.choose(effort.service, call.route, excluded, now_s)


def _send_to(effort: _Effort, replica: replica_module.Replica, now_s: float) -> None:
    sender, call = effort.sender, effort.call
    late_ms = sender.replicas.hedge_after_ms(replica, call.route)
    send = replica_module.Attempt(now_s, late_ms / 1000, replica.entry.instance)
    # Noted before its task runs: what is given up in the same turn must find it.
    replica.sends.add(send)
    if replica.is_cold(now_s):
        replica.cold_sent_s = now_s
    call.asked.setdefault(effort.service, []).append(send)
    task = sender.tasks.start(tracking.tracked(sender, call, replica, send))
    near = sender.replicas.in_own_region(replica.entry.data_centre)
    sender.counters.add("direct.sent.near" if near else "direct.sent.far")
    call.sends.add(task)
    task.add_done_callback(call.sends.discard)
    task.add_done_callback(lambda _: replica.sends.discard(send))
    effort.tried.append(replica)
    effort.reached[replica.entry.instance] += 1
    effort.pending[task] = _Pending(replica, send)
    effort.attempts += 1
