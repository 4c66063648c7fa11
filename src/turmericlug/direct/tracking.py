"""Run one attempt and record its outcome."""

from __future__ import annotations

import asyncio

from turmericlug.direct import replica as replica_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.kernel import failures
from turmericlug.telemetry import decisions


async def send_and_record(
    sender: sender_module.Sender,
    call: sending.Call,
    replica: replica_module.Replica,
    attempt: replica_module.Attempt,
) -> sending.Outcome:
    """Attempt a request to a replica and update the replica's statistics with the outcome."""
    on_ended = failures.try_record("overload", sender.overload.observe_part, call, replica)
    outcome: sending.Outcome = sending.ABANDONED
    try:
        outcome = await sending.send(
            call, replica, sender.names, attempt, lambda: sender.withhold_reason(call, replica)
        )
    except asyncio.CancelledError:
        return sending.ABANDONED
    except Exception as error:
        failures.report(error)
        outcome = sending.internal_error(attempt)
    finally:
        attempt.ended_s = asyncio.get_running_loop().time()
        if on_ended is not None:
            failures.try_record("overload", on_ended, outcome)
    attempt.ran = not isinstance(outcome, sending.NotRun)
    if sending.was_withheld(outcome):
        reason = sending.reason(outcome)
        failures.try_record("withheld", sender.counters.add, f"direct.withheld.{reason}")
        return outcome
    _record_outcome(sender, call, replica, outcome, attempt)
    try:
        await sender.quarantine.record_outcome(call, replica, outcome)
    except asyncio.CancelledError:
        # The attempt has ended. Without its outcome, its awaiter would wait for the deadline.
        return outcome
    except Exception as error:
        failures.report_recording("crash", error)
    return outcome


def _record_outcome(
    sender: sender_module.Sender,
    call: sending.Call,
    replica: replica_module.Replica,
    outcome: sending.Outcome,
    attempt: replica_module.Attempt,
) -> None:
    if isinstance(outcome, sending.Answered | sending.Failed):
        failures.try_record("answer", sender.quarantine.record_answer, call)
        failures.try_record("size", _record_size, replica)
    if isinstance(outcome, sending.Answered):
        failures.try_record("success", _record_success, sender, call, replica, attempt)
    else:
        failures.try_record("failure", _record_failure, sender, call, replica, outcome, attempt)


def _record_size(replica: replica_module.Replica) -> None:
    """Record a response within the limits."""
    if replica.oversized.reset(asyncio.get_running_loop().time()):
        decisions.log(
            "replica.oversized_ended",
            replica=replica.entry.instance,
            service=replica.entry.service,
        )


def _record_unusable(
    sender: sender_module.Sender,
    replica: replica_module.Replica,
    outcome: sending.Unknown,
    attempt: replica_module.Attempt,
    now_s: float,
) -> None:
    sent_s = attempt.began_s if attempt.written_s is None else attempt.written_s
    if not replica.record_unusable(outcome.exceeded_limit, sent_s, now_s):
        return
    # Attempts that wait for a connection are withheld.
    replica.pool.trim()
    sender.counters.add("direct.oversized")
    decisions.log(
        "replica.oversized",
        replica=replica.entry.instance,
        service=replica.entry.service,
        reason=outcome.reason,
        in_a_row=replica.oversized.in_a_row,
        pause_s=round(replica.oversized.until_s - now_s, 3),
    )


def _record_success(
    sender: sender_module.Sender,
    call: sending.Call,
    replica: replica_module.Replica,
    attempt: replica_module.Attempt,
) -> None:
    now_s = asyncio.get_running_loop().time()
    duration_ms = (now_s - attempt.began_s) * 1000
    latencies = sender.replicas.latencies(call.route.name, replica.entry.data_centre)
    replica.record_success(duration_ms, latencies.median_ms, now_s)
    latencies.add(duration_ms)
    sender.counters.time_ms("direct.send_ms", duration_ms)


def _record_failure(
    sender: sender_module.Sender,
    call: sending.Call,
    replica: replica_module.Replica,
    outcome: sending.Outcome,
    attempt: replica_module.Attempt,
) -> None:
    now_s = asyncio.get_running_loop().time()
    duration_ms = (now_s - attempt.began_s) * 1000
    reason = sending.reason(outcome).partition(":")[0]
    sender.counters.add(f"direct.send_failed.{reason}")
    if isinstance(outcome, sending.Unknown) and outcome.connection_lost:
        decisions.log(
            "send.broken_off",
            request=call.request_id,
            content=call.fingerprint.hex(),
            service=replica.entry.service,
            replica=replica.entry.instance,
            age_ms=round(duration_ms, 1),
            others=len(replica.attempts) - 1,
        )
    if isinstance(outcome, sending.NotRun) and outcome.reason == sending.MISDIRECTED:
        replica.record_misdirected(now_s)
        set_aside = True
    elif isinstance(outcome, sending.NotRun) and outcome.sent:
        replica.record_shed(now_s)
        set_aside = True
    elif reason == sending.NO_MEMORY:
        set_aside = False
    else:
        set_aside = replica.record_failure(now_s)
        if isinstance(outcome, sending.Unknown):
            _record_unusable(sender, replica, outcome, attempt, now_s)
    decisions.log(
        "send.failed",
        request=call.request_id,
        content=call.fingerprint.hex(),
        service=replica.entry.service,
        replica=replica.entry.instance,
        reason=sending.reason(outcome),
        age_ms=round(duration_ms, 1),
        connection=attempt.connection.number if attempt.connection else None,
        set_aside=set_aside,
    )
