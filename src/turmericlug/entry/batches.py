"""Server side of handover: runs batches of parts for another instance and returns their results."""

from __future__ import annotations

import asyncio
import math
from collections import abc

import attrs

from turmericlug.direct import attempts
from turmericlug.direct import content
from turmericlug.direct import handover
from turmericlug.direct import handover_codec
from turmericlug.direct import header_names
from turmericlug.direct import merge
from turmericlug.direct import placement
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import timing
from turmericlug.http1 import messages
from turmericlug.kernel import failures
from turmericlug.policy import leaving
from turmericlug.telemetry import decisions

PartTask = asyncio.Task[sending.Outcome]
ShardByTask = dict[PartTask, str]
"""The shard of each part, by the task that runs the part."""


MAX_STALL_S = 0.03
"""Longest stall of this process after which a batch is still accepted. A batch may have waited for
the whole stall. After a longer one, the other instance may have given the batch up as lost and sent
its parts directly; run here too, a part would reach more replicas than its route allows."""
MAX_UNKNOWN_SHARE = 0.5
"""Largest share of a batch's shards that may have no known replica for the batch to be accepted.
An instance that has just started may receive batches before it knows the replicas. It used to
answer "no replica" for all shards, and queries failed in the second after a power loss although
other instances knew the replicas."""


@attrs.define
class Taken:
    """The batches that this instance runs, and until when it takes more."""

    count: int = 0
    limits: leaving.Limits = leaving.Limits()

    def start_draining(self, refuse_from_s: float, exits_at_s: float) -> None:
        """
        Begin draining: refuse batches that may still run when the process exits.

        A refused batch goes to another instance at once. One that is cut off would be run again.

        :param refuse_from_s: time until which batches are taken whose deadline is after the exit
        """
        self.limits = leaving.Limits(refuse_from_s, -math.inf, exits_at_s)

    def refuse_all(self) -> None:
        """Refuse all further batches, as the process exits."""
        self.limits = leaving.Limits(-math.inf, -math.inf, -math.inf)


def handler(sender: sender_module.Sender, taken: Taken | None = None) -> messages.Handler:
    """Return the handler of batches."""
    taken = taken or Taken()

    async def handle(request: messages.Request) -> messages.Response:
        if request.target != handover.PATH:
            return messages.Response(404)
        try:
            batch = handover_codec.decode_batch(request.body)
        except handover_codec.MessageError as error:
            decisions.log("helping.unreadable", reason=str(error))
            return messages.Response(400)
        reason = _refusal_reason(sender, batch, request, taken.limits)
        if reason:
            sender.counters.add("helping.refused")
            decisions.log("helping.refused", request=batch.request_id, **reason)
            return messages.Response(handover.REFUSED_STATUS)
        return messages.Response(
            200, chunks=_stream_answers(sender, batch, request.arrived_s, taken)
        )

    return handle


def _refusal_reason(
    sender: sender_module.Sender,
    batch: handover_codec.Batch,
    request: messages.Request,
    limits: leaving.Limits,
) -> dict[str, int]:
    """Return the log field with the reason for refusing a batch; empty if it is accepted."""
    if request.stalled_s > MAX_STALL_S:
        return {"stalled_ms": round(request.stalled_s * 1000)}
    now_s = asyncio.get_running_loop().time()
    deadline_s = request.arrived_s + batch.time_left_ms / 1000
    if not leaving.takes(limits, deadline_s, batch.answer_in_ms / 1000, now_s):
        return {"exits_in_ms": round(max(limits.exits_at_s - now_s, 0.0) * 1000)}
    if batch.shared is None and batch.maybe_sent_before:
        # An earlier build: how many replicas the parts may have reached is not known.
        return {"unstated_replicas": len(batch.shards)}
    unknown = sum(not sender.replicas.of(shard) for shard in batch.shards)
    if unknown > MAX_UNKNOWN_SHARE * len(batch.shards):
        return {"unknown_shards": unknown}
    return {}


async def _stream_answers(
    sender: sender_module.Sender, batch: handover_codec.Batch, arrived_s: float, taken: Taken
) -> abc.AsyncIterator[bytes]:
    """
    Yield an answer with the results available at the requested time, then one per straggler.

    Only the other instance can tell whether the query can be answered without the stragglers, since
    that depends on the results of its other parts.
    """
    loop = asyncio.get_running_loop()
    call = _make_call(batch, arrived_s, sender.names)
    failures.try_record("overload", sender.overload.on_batch, call)
    shard_by_task = {
        loop.create_task(
            sending.part_outcome(
                attempts.get_answer(
                    sender,
                    call,
                    shard,
                    shared=shared,
                    is_retry=batch.maybe_sent_before,
                )
            )
        ): shard
        for shard, shared in zip(batch.shards, _shared_replicas(batch), strict=True)
    }
    answer_at_s = min(arrived_s + batch.answer_in_ms / 1000, call.deadline_s)
    call.answer_at_s = answer_at_s
    pending = set(shard_by_task)
    taken.count += 1
    with sender.quarantine.in_flight(call):
        try:
            done, pending = await asyncio.wait(pending, timeout=max(answer_at_s - loop.time(), 0.0))
            answer = _make_answer(
                shard_by_task,
                done,
                batch,
                (loop.time() - arrived_s) * 1000,
                first=True,
                load=_own_load(sender),
            )
            failures.try_record("batch", _log_first_answer, sender, call, batch, answer)
            yield handover_codec.encode_answer(answer, batch.shards)
            while pending and loop.time() < call.deadline_s:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(call.deadline_s - loop.time(), 0.0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answer = _make_answer(
                    shard_by_task,
                    done,
                    batch,
                    (loop.time() - arrived_s) * 1000,
                    first=False,
                    load=_own_load(sender),
                )
                yield handover_codec.encode_answer(answer, batch.shards)
        except (asyncio.CancelledError, GeneratorExit):
            # The other instance closed the connection: its caller disconnected, or it considers
            # this instance dead.
            call.abandon()
            raise
        finally:
            taken.count -= 1
            for task in shard_by_task:
                task.cancel()
            call.shorten_timeouts(timing.STUCK_AFTER_S)


def _shared_replicas(batch: handover_codec.Batch) -> abc.Iterable[frozenset[int]]:
    """Return for each shard the replicas that other instances may send its part to."""
    if batch.shared is not None:
        return batch.shared
    # An earlier build may send a lost part again without naming the replica.
    unnamed = frozenset({placement.UNNAMED_REPLICA} if batch.max_attempts > 1 else ())
    return [unnamed] * len(batch.shards)


def _log_first_answer(
    sender: sender_module.Sender,
    call: sending.Call,
    batch: handover_codec.Batch,
    answer: handover_codec.Answer,
) -> None:
    sender.counters.add("helping.answered")
    decisions.log(
        "helping.answered",
        request=batch.request_id,
        route=batch.route,
        shards=len(batch.shards),
        answered=len(answer.signatures),
        failed=[f"{shard}: {failure.reason}" for shard, failure in answer.failures.items()][:5],
        open=_stragglers(call, batch, answer),
        duration_ms=round(answer.spent_ms, 1),
        hedges=call.hedges,
    )


def _stragglers(
    call: sending.Call, batch: handover_codec.Batch, answer: handover_codec.Answer
) -> list[str]:
    now_s = asyncio.get_running_loop().time()
    missing = [
        shard
        for shard in batch.shards
        if shard not in answer.signatures and shard not in answer.failures
    ]
    return [f"{shard}: {call.describe(shard, now_s)}" for shard in missing[:5]]


def _make_call(
    batch: handover_codec.Batch, arrived_s: float, names: header_names.HeaderNames
) -> sending.Call:
    route = routes.Route(
        name=batch.route,
        host="",
        prefix="",
        idempotent=True,
        timeout_ms=batch.time_left_ms,
        # The rest of the query's goal determines when late parts are hedged.
        goal_ms=batch.answer_in_ms,
        priority=batch.priority,
        max_attempts=batch.max_attempts,
        shards=batch.shards,
        top_records=batch.top_records,
        regions=batch.regions,
    )
    return sending.Call(
        request_id=batch.request_id,
        method=batch.method,
        target=batch.target,
        headers=batch.headers,
        body=batch.body,
        route=route,
        version=0,
        began_s=arrived_s,
        deadline_s=arrived_s + batch.time_left_ms / 1000,
        organisation=batch.organisation,
        query_goal_ms=batch.goal_ms,
        fingerprint=content.fingerprint(
            batch.method, batch.target, batch.headers, batch.body, names
        ),
    )


def _make_answer(
    shard_by_task: ShardByTask,
    done: set[PartTask],
    batch: handover_codec.Batch,
    spent_ms: float,
    first: bool,
    load: handover_codec.Load,
) -> handover_codec.Answer:
    signatures: dict[str, bytes] = {}
    failures: dict[str, handover_codec.Failure] = {}
    bodies = []
    for task in done:
        outcome, shard = task.result(), shard_by_task[task]
        if isinstance(outcome, sending.Answered):
            signatures[shard] = outcome.signature
            bodies.append(outcome.response.body)
        else:
            may_have_run = not isinstance(outcome, sending.NotRun)
            failures[shard] = handover_codec.Failure(sending.reason(outcome), may_have_run)
    records = merge.greatest_records(bodies, batch.top_records)
    return handover_codec.Answer(records, signatures, failures, spent_ms, first, load)


def _own_load(sender: sender_module.Sender) -> handover_codec.Load:
    return failures.try_record("own load", _measured_load, sender) or handover_codec.Load()


def _measured_load(sender: sender_module.Sender) -> handover_codec.Load:
    return attrs.evolve(sender.own_load(), level=sender.overload.own_load().level)
