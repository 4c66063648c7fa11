"""
Sends a suspected request to one replica as a trial before any other replica may get it.

When a request crashes a replica, the harmless requests in flight there become suspects as well, and
the callers of all of them retry. A trial of each at a single replica tells which one is the cause.
"""

from __future__ import annotations

import asyncio

import attrs

from turmericlug.direct import answering
from turmericlug.direct import attempts
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.kernel import failures
from turmericlug.policy import poison

QUARANTINED_STATUS = 500
"""Not a 4xx, since the fault lies in the software of the replicas. Not a 503, since that promises
that the request did not run and asks the caller to retry."""
TRIAL_WAIT_S = 0.25
"""How long a request waits for a running trial of the same request: a few service times and the
latency between regions."""
POLL_INTERVAL_S = 0.02
QUARANTINED_BODY = (
    b"every replica ends that runs this request: it is held back, repeating it does not help"
)


async def try_query(sender: sender_module.Sender, call: sending.Call) -> answering.Result | None:
    """
    Try a query at one replica of one shard if the query is suspected.

    :returns: the final result; ``None`` if the query may be sent as usual
    """
    if not await _begin_trial(sender, call):
        return _untried_result(sender, call)
    shards = [shard for shard in call.route.shards if sender.replicas.of(shard)]
    if not shards:
        failures.try_record("trial", sender.quarantine.cancel_trial, call)
        return answering.refusal(sender, sending.CRASHES_REPLICAS)
    route = attrs.evolve(call.route, max_attempts=1)
    trial_call = attrs.evolve(call, route=route, on_trial=True, tasks=set())
    shard = sender.rng.choice(shards)
    try:
        outcome = await attempts.get_answer(sender, trial_call, shard)
    except asyncio.CancelledError:
        trial_call.abandon()
        raise
    result = _result_after_trial(sender, call, outcome)
    if result is None:
        # The query is sent to this shard a second time, which counts as an extra attempt.
        failures.try_record("retry budget", _count_extra, sender, call, shard)
    return result


def _count_extra(sender: sender_module.Sender, call: sending.Call, shard: str) -> None:
    now_s = asyncio.get_running_loop().time()
    sender.replicas.retry_budget(shard).count_extra(now_s, call.organisation_name)


async def try_request(
    sender: sender_module.Sender, call: sending.Call, service: str
) -> answering.Result | None:
    """
    Send a request to only one replica of its service if the request is suspected.

    :returns: the final result; ``None`` if the request may be sent as usual
    """
    if not await _begin_trial(sender, call):
        return _untried_result(sender, call)
    call.route = attrs.evolve(call.route, max_attempts=1)
    call.on_trial = True
    result = await answering.request_service(sender, call, service)
    if result.outcome == "refused":
        failures.try_record("trial", sender.quarantine.cancel_trial, call)
    return _quarantine_failure(sender, call) or result


async def _begin_trial(sender: sender_module.Sender, call: sending.Call) -> bool:
    """
    Begin the trial of a suspected request and return whether it was begun.

    If another attempt of the same request is on trial, wait for its outcome, which applies to both
    and comes soon.
    """
    loop = asyncio.get_running_loop()
    until_s = min(loop.time() + TRIAL_WAIT_S, call.deadline_s)
    while sender.quarantine.is_suspected(call):
        if sender.quarantine.begin_trial(call):
            return True
        if loop.time() >= until_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


def _untried_result(sender: sender_module.Sender, call: sending.Call) -> answering.Result | None:
    """Return the result of a request that gets no trial; ``None`` if it may be sent as usual."""
    if sender.quarantine.is_suspected(call):
        return answering.refusal(sender, sending.CRASHES_REPLICAS)
    return _quarantine_failure(sender, call)


def _result_after_trial(
    sender: sender_module.Sender, call: sending.Call, outcome: sending.Outcome
) -> answering.Result | None:
    """Return the result of a query after its trial; ``None`` if the trial has cleared it."""
    match outcome:
        case sending.Answered() | sending.Failed():
            return None
        case sending.NotRun():
            failures.try_record("trial", sender.quarantine.cancel_trial, call)
            return _quarantine_failure(sender, call) or answering.refusal(
                sender, sending.CRASHES_REPLICAS
            )
    return _quarantine_failure(sender, call) or answering.failure(502, sending.reason(outcome))


def _quarantine_failure(
    sender: sender_module.Sender, call: sending.Call
) -> answering.Result | None:
    """Return the failure of a quarantined request; ``None`` if it is not quarantined."""
    if sender.quarantine.verdict(call.fingerprint) is not poison.Verdict.QUARANTINED:
        return None
    sender.counters.add("poison.refused")
    result = answering.failure(QUARANTINED_STATUS, sending.CRASHES_REPLICAS)
    return attrs.evolve(result, answer=attrs.evolve(result.answer, body=QUARANTINED_BODY))
