"""One send from its begin to what this instance learns from its end."""

from __future__ import annotations

import asyncio

from turmericlug.direct import replica as replica_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.telemetry import decisions


async def tracked(
    sender: sender_module.Sender,
    call: sending.Call,
    replica: replica_module.Replica,
    send: replica_module.Send,
) -> sending.Outcome:
    """Send, and let the replica's standing learn from the outcome."""
    try:
        outcome = await sending.send(
            call, replica, sender.names, send, lambda: sender.withheld(call, replica)
        )
        send.ran = not isinstance(outcome, sending.NotRun)
        if sending.was_withheld(outcome):
            sender.counters.add(f"direct.withheld.{sending.reason(outcome)}")
            return outcome
    except asyncio.CancelledError:
        return sending.ABANDONED
    finally:
        send.ended_s = asyncio.get_running_loop().time()
    _learn(sender, call, replica, outcome, send.began_s)
    try:
        await sender.quarantine.record_outcome(call, replica, outcome)
    except asyncio.CancelledError:
        # The send has ended; whoever waits for it is told so, or waits for its deadline.
        return outcome
    return outcome


def _learn(
    sender: sender_module.Sender,
    call: sending.Call,
    replica: replica_module.Replica,
    outcome: sending.Outcome,
    began_s: float,
) -> None:
    now_s = asyncio.get_running_loop().time()
    duration_ms = (now_s - began_s) * 1000
    if isinstance(outcome, sending.Answered | sending.Failed):
        sender.quarantine.record_answer(call)
    if isinstance(outcome, sending.Answered):
        times = sender.replicas.times(call.route.name, replica.entry.data_centre)
        replica.succeeded(duration_ms, times.usual_ms, now_s)
        times.add(duration_ms)
        sender.counters.time_ms("direct.send_ms", duration_ms)
        return
    reason = sending.reason(outcome).partition(":")[0]
    sender.counters.add(f"direct.send_failed.{reason}")
    if isinstance(outcome, sending.Unknown) and outcome.broken_off:
        decisions.log(
            "send.broken_off",
            request=call.request_id,
            content=call.fingerprint.hex(),
            service=replica.entry.service,
            replica=replica.entry.instance,
            age_ms=round(duration_ms, 1),
            others=len(replica.sends) - 1,
        )
    if isinstance(outcome, sending.NotRun) and outcome.reason == sending.MISDIRECTED:
        replica.misdirected(now_s)
        set_aside = True
    elif isinstance(outcome, sending.NotRun) and outcome.sent:
        replica.has_shed(now_s)
        set_aside = True
    else:
        set_aside = replica.failed(now_s)
    decisions.log(
        "send.failed",
        request=call.request_id,
        content=call.fingerprint.hex(),
        service=replica.entry.service,
        replica=replica.entry.instance,
        reason=sending.reason(outcome),
        age_ms=round(duration_ms, 1),
        set_aside=set_aside,
    )
