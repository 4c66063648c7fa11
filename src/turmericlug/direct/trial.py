"""
Trying a suspected request at one replica before it may go to any other.

The load pattern: an innocent request was beside one that ends replicas, and its caller asks again;
the culprit's caller does the same. At one replica each shows which of them it is.
"""

from __future__ import annotations

import asyncio

import attrs

from turmericlug.direct import answering
from turmericlug.direct import obtaining
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.policy import poison

HELD_STATUS = 500
"""The fault lies in what the replicas run, so that it is none of the 4xx; unlike a 503 it promises
nothing, and does not ask the caller to come back."""
WAIT_S = 0.25
"""Wait for a trial that is under way already: a few service times and a journey between regions."""
LOOK_EVERY_S = 0.02
HELD_BODY = (
    b"every replica ends that runs this request: it is held back, repeating it does not help"
)


async def before(sender: sender_module.Sender, call: sending.Call) -> answering.Ending | None:
    """
    Try a query over shards at one replica of one shard, if it is suspected.

    :returns: its ending, where it is to go to no further replica now
    """
    if not await _is_to_try(sender, call):
        return _ending(sender, call)
    shards = [each for each in call.route.shards if sender.replicas.of(each)]
    if not shards:
        sender.quarantine.cancel_trial(call)
        return answering.refusal(sender, sending.HELD)
    route = attrs.evolve(call.route, max_attempts=1)
    tried = attrs.evolve(call, route=route, on_trial=True, asked={}, sends=set())
    shard = sender.rng.choice(shards)
    try:
        outcome = await obtaining.obtain(sender, tried, shard)
    except asyncio.CancelledError:
        tried.abandon()
        raise
    ending = _after(sender, call, outcome)
    if ending is None:
        # The query goes to this shard once more.
        sender.replicas.extra_sends(shard).count_extra(asyncio.get_running_loop().time())
    return ending


async def instead(
    sender: sender_module.Sender, call: sending.Call, service: str
) -> answering.Ending | None:
    """
    Send a suspected request to one replica of its service.

    :returns: its ending; ``None`` where it is not suspected and may be sent as usual
    """
    if not await _is_to_try(sender, call):
        return _ending(sender, call)
    call.route = attrs.evolve(call.route, max_attempts=1)
    call.on_trial = True
    ending = await answering.single(sender, call, service)
    if ending.outcome == "refused":
        sender.quarantine.cancel_trial(call)
    return _refused(sender, call) or ending


async def _is_to_try(sender: sender_module.Sender, call: sending.Call) -> bool:
    """
    Whether the trial of a request begins now.

    Where another attempt is on trial already, its outcome is waited for: it is a moment away, and
    decides for both.
    """
    loop = asyncio.get_running_loop()
    until_s = min(loop.time() + WAIT_S, call.deadline_s)
    while sender.quarantine.is_suspected(call):
        if sender.quarantine.begin_trial(call):
            return True
        if loop.time() >= until_s:
            return False
        await asyncio.sleep(LOOK_EVERY_S)
    return False


def _ending(sender: sender_module.Sender, call: sending.Call) -> answering.Ending | None:
    """Return how a request ends that is not tried now; ``None`` where it may be sent as usual."""
    if sender.quarantine.is_suspected(call):
        return answering.refusal(sender, sending.HELD)
    return _refused(sender, call)


def _after(
    sender: sender_module.Sender, call: sending.Call, outcome: sending.Outcome
) -> answering.Ending | None:
    """Return how a query ends after its trial; ``None`` where the trial has cleared it."""
    match outcome:
        case sending.Answered() | sending.Failed():
            return None
        case sending.NotRun():
            sender.quarantine.cancel_trial(call)
            return _refused(sender, call) or answering.refusal(sender, sending.HELD)
    return _refused(sender, call) or answering.failure(502, sending.reason(outcome))


def _refused(sender: sender_module.Sender, call: sending.Call) -> answering.Ending | None:
    """Return the final answer to a request that is quarantined."""
    if sender.quarantine.verdict(call.fingerprint) is not poison.Verdict.QUARANTINED:
        return None
    sender.counters.add("poison.refused")
    ending = answering.failure(HELD_STATUS, sending.HELD)
    return attrs.evolve(ending, answer=attrs.evolve(ending.answer, body=HELD_BODY))
