"""Answers a caller's request from one service, or a query from all shards of its route."""

from __future__ import annotations

import asyncio
import collections
import math
import random
from collections import abc

import attrs

from turmericlug.direct import attempts
from turmericlug.direct import handover
from turmericlug.direct import merge
from turmericlug.direct import peers as peers_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import timing
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.kernel import failures

RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 0.4
"""Range of the ``Retry-After`` delay. It spreads the retries of callers that are refused
together over a few service times."""
OVERLOAD_RETRY_AFTER_MIN_S = 0.25
OVERLOAD_RETRY_AFTER_MAX_S = 2.0
"""Range of the ``Retry-After`` delay while an instance starts. The requests that queue up during an
outage of two seconds are then processed within about two seconds."""
_DATE = b"date"


@attrs.frozen
class Result:
    """The answer to a request, with its outcome and the reason for it."""

    answer: messages.Response
    outcome: str
    """``answered``, ``partial``, ``refused`` (nothing ran) or ``failed`` (it may have run)."""
    reason: str = ""


def retry_after_s(rng: random.Random) -> float:
    """Draw the ``Retry-After`` delay of a refused request."""
    return rng.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)


def overload_retry_after_s(rng: random.Random) -> float:
    """Draw the ``Retry-After`` delay of a request refused because too many arrive at once."""
    return rng.uniform(OVERLOAD_RETRY_AFTER_MIN_S, OVERLOAD_RETRY_AFTER_MAX_S)


def refusal(
    sender: sender_module.Sender,
    reason: str,
    draw_delay_s: abc.Callable[[random.Random], float] = retry_after_s,
) -> Result:
    """Return a 503 with ``Retry-After``: the request did not run and will not run."""
    delay = b"%.3f" % draw_delay_s(sender.rng)
    answer = messages.Response(503, ((sender.names.retry_after, delay),), reason.encode())
    return Result(answer, "refused", reason)


def failure(status: int, reason: str) -> Result:
    """Return a failure that leaves open whether the request ran."""
    return Result(messages.Response(status, (), reason.encode()), "failed", reason)


async def request_service(sender: sender_module.Sender, call: sending.Call, service: str) -> Result:
    """Answer a request from one replica of one service."""
    outcome = await attempts.get_answer(sender, call, service)
    match outcome:
        case sending.Answered():
            return Result(_forwarded(outcome.response, outcome.response.status), "answered")
        case sending.Failed():
            return _replica_failure(outcome)
        case sending.NotRun():
            return refusal(sender, outcome.reason)
        case sending.Unknown():
            return failure(504 if sending.timed_out(outcome) else 502, outcome.reason)


def _replica_failure(outcome: sending.Failed) -> Result:
    """
    Forward a replica's own failure unchanged, unless its status promises that nothing ran.

    The request did run. Callers read such a status as a promise that it did not, so it becomes a
    502 without the replica's signature.
    """
    status = outcome.response.status
    if sending.guarantees_not_run(status):
        return failure(502, f"replica_status_{status}")
    return Result(_forwarded(outcome.response, status), "failed", f"replica_status_{status}")


def _forwarded(response: client.Response, status: int) -> messages.Response:
    headers = tuple(
        (name, value) for name, value in client.end_to_end(response.headers) if name != _DATE
    )
    return messages.Response(status, headers, response.body, memory=response.memory)


async def query_shards(sender: sender_module.Sender, call: sending.Call) -> Result:
    """
    Answer a query with the greatest records of all shards.

    Waits for all shards until shortly before the goal. From then on it answers as soon as enough
    shards have answered, and reports the number of missing shards.
    """
    first_replicas = choose_first_replicas(sender, call)
    if len(first_replicas) < min_parts(call):
        # Too few shards have a replica to reach the minimum coverage: nothing is sent.
        return refusal(sender, _no_replica_reason(sender, call, first_replicas))
    answer_after_ms = timing.answer_after_ms(
        call.route.goal_ms,
        call.response_latency_s * 1000,
        len(call.route.shards),
        sender.loop_lag_ms(),
    )
    now_s = asyncio.get_running_loop().time()
    answer_at_s = call.began_s + answer_after_ms / 1000
    if answer_at_s < now_s + timing.MIN_GOAL_SHARE * call.route.goal_ms / 1000:
        # The goal can't be met. An answer from more shards is then worth more than an earlier one.
        answer_at_s = now_s + timing.LATE_ANSWER_SHARE * call.route.goal_ms / 1000
    call.answer_at_s = answer_at_s
    parts = _start_parts(sender, call, first_replicas, answer_at_s)
    try:
        await _wait_for_enough(call, parts, answer_at_s)
    finally:
        # Attempts in flight complete on their own, so that their connections can be reused.
        for part in parts.values():
            part.cancel()
        call.shorten_timeouts(timing.STUCK_AFTER_S)
    return build_result(sender, call, parts)


def _no_replica_reason(
    sender: sender_module.Sender, call: sending.Call, first_replicas: peers_module.FirstReplicas
) -> str:
    """Return the most common reason why shards have no replica to send to."""
    now_s = asyncio.get_running_loop().time()
    reasons = collections.Counter(
        sender.replicas.no_replica_reason(shard, call.route, now_s)
        for shard in call.route.shards
        if shard not in first_replicas
    )
    return reasons.most_common(1)[0][0]


Parts = dict[str, asyncio.Task[sending.Outcome]]


def _start_parts(
    sender: sender_module.Sender,
    call: sending.Call,
    first_replicas: peers_module.FirstReplicas,
    answer_at_s: float,
) -> Parts:
    """Start every part: in a batch through a peer if its replicas are remote, else directly."""
    loop = asyncio.get_running_loop()
    batches: dict[str, handover.PendingBatch] = {}
    if sender.handover is not None:
        batches = sender.handover.start(sender, call, first_replicas, answer_at_s)
    return {
        shard: loop.create_task(
            sending.part_outcome(
                handover.shard_outcome(sender, call, batches[shard], shard)
                if shard in batches
                else attempts.get_answer(sender, call, shard, first_replicas.get(shard))
            )
        )
        for shard in call.route.shards
    }


def choose_first_replicas(
    sender: sender_module.Sender, call: sending.Call
) -> peers_module.FirstReplicas:
    """Choose the best replica of each shard that has an available one."""
    now_s = asyncio.get_running_loop().time()
    first_replicas = {
        shard: sender.replicas.choose(shard, call.route, (), now_s) for shard in call.route.shards
    }
    return {shard: replica for shard, replica in first_replicas.items() if replica is not None}


async def _wait_for_enough(call: sending.Call, parts: Parts, answer_at_s: float) -> None:
    """Wait until the query should be answered with the parts received so far."""
    loop = asyncio.get_running_loop()
    progress = _Progress(len(parts), min_parts(call), loop.create_future())
    for part in parts.values():
        part.add_done_callback(progress.part_ended)
    goal_timer = loop.call_at(answer_at_s, progress.on_goal_near)
    deadline_timer = loop.call_at(call.deadline_s, progress.decide)
    try:
        await progress.decided
    finally:
        goal_timer.cancel()
        deadline_timer.cancel()


@attrs.define
class _Progress:
    """Counts the outcomes of a query's parts and decides when the query should be answered."""

    total: int
    required: int
    decided: asyncio.Future[None]
    answered: int = 0
    failed: int = 0
    goal_is_near: bool = False

    def part_ended(self, part: asyncio.Task[sending.Outcome]) -> None:
        """Count the outcome of one part."""
        if part.cancelled():
            return
        if _success(part) is None:
            self.failed += 1
        else:
            self.answered += 1
        self._check()

    def on_goal_near(self) -> None:
        """Answer as soon as enough parts have been received."""
        self.goal_is_near = True
        self._check()

    def _check(self) -> None:
        pending = self.total - self.answered - self.failed
        unreachable = self.answered + pending < self.required
        if not pending or unreachable or (self.goal_is_near and self.answered >= self.required):
            self.decide()

    def decide(self) -> None:
        """Stop waiting for parts."""
        if not self.decided.done():
            self.decided.set_result(None)


def min_parts(call: sending.Call) -> int:
    """Return the minimum number of shards that an answer needs."""
    return max(1, math.ceil(call.route.min_coverage * len(call.route.shards) - 1e-9))


Success = sending.Answered | sending.AnsweredInBatch


def _has_ended(part: asyncio.Task[sending.Outcome]) -> bool:
    return part.done() and not part.cancelled()


def _success(part: asyncio.Task[sending.Outcome]) -> Success | None:
    if not _has_ended(part):
        return None
    outcome = part.result()
    return outcome if isinstance(outcome, Success) else None


def build_result(sender: sender_module.Sender, call: sending.Call, parts: Parts) -> Result:
    """Answer with the parts received; refuse or fail if they are too few."""
    answers = {shard: _success(part) for shard, part in parts.items()}
    received = [answer for answer in answers.values() if answer is not None]
    missing = [shard for shard, answer in answers.items() if answer is None]
    if len(received) < min_parts(call):
        return _too_few_shards(sender, call, parts)
    headers = [
        (sender.names.part_signatures, b", ".join(answer.signature for answer in received)),
        (sender.names.missing_parts, b"%d" % len(missing)),
        (sender.names.request_id, call.request_id),
        (b"content-type", b"application/octet-stream"),
    ]
    body = merge.greatest_records(_record_sets(received), call.route.top_records)
    answer = messages.Response(200, tuple(headers), body)
    if not missing:
        return Result(answer, "answered")
    sender.counters.add("direct.missing_parts", len(missing))
    now_s = asyncio.get_running_loop().time()
    details = failures.try_record("missing parts", _describe_missing, call, parts, missing, now_s)
    return Result(answer, "partial", details or "")


def _record_sets(answers: list[Success]) -> list[bytes]:
    """Return the records of all answers; shards of one batch share theirs, which count once."""
    unbatched = [answer.response.body for answer in answers if isinstance(answer, sending.Answered)]
    batched = {
        id(answer.records): answer.records for answer in answers if not _is_unbatched(answer)
    }
    return [*unbatched, *batched.values()]


def _is_unbatched(answer: Success) -> bool:
    return isinstance(answer, sending.Answered)


def _describe_missing(call: sending.Call, parts: Parts, missing: list[str], now_s: float) -> str:
    """Describe the first missing shards: the reason, and the replicas that were sent to."""
    return "; ".join(
        f"{shard}: {_failure_reason(parts[shard])} ({call.describe(shard, now_s)})"
        for shard in missing[:5]
    )


def _failure_reason(part: asyncio.Task[sending.Outcome]) -> str:
    if not _has_ended(part) or sending.timed_out(part.result()):
        return "not in time"
    return sending.reason(part.result())


def _too_few_shards(sender: sender_module.Sender, call: sending.Call, parts: Parts) -> Result:
    """
    Refuse the query if no part can have run, else fail it.

    The failures of some parts can decide the query before the tasks of other parts have run to
    their end. Whether those parts can have run follows from their attempts.
    """
    ended = {shard: part.result() for shard, part in parts.items() if _has_ended(part)}
    not_run = [outcome for outcome in ended.values() if isinstance(outcome, sending.NotRun)]
    may_run = any(call.may_have_run(shard) for shard in parts if shard not in ended)
    if len(not_run) == len(ended) and not may_run:
        reasons = {outcome.reason.partition(":")[0] for outcome in not_run}
        return refusal(sender, ", ".join(sorted(reasons)) or "not_sent")
    now_s = asyncio.get_running_loop().time()
    missing = [shard for shard, part in parts.items() if not _success(part)]
    details = failures.try_record("missing parts", _describe_missing, call, parts, missing, now_s)
    late = timing.has_passed(call.deadline_s, now_s)
    return failure(
        504 if late else 502, f"too few shards ({len(missing)} missing): {details or ''}"
    )
