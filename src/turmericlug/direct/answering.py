"""From a caller's request to its one answer: a single service, or all shards of a query."""

from __future__ import annotations

import asyncio
import collections
import math
import random
from collections import abc

import attrs

from turmericlug.direct import handover
from turmericlug.direct import merge
from turmericlug.direct import obtaining
from turmericlug.direct import peers as peers_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import timing
from turmericlug.http1 import client
from turmericlug.http1 import messages

COME_BACK_LEAST_S = 0.05
COME_BACK_MOST_S = 0.4
"""Callers refused together come back spread over some service times, not all at once."""
STORM_LEAST_S = 0.25
STORM_MOST_S = 2.0
"""While an instance starts: what an outage of two seconds has left waiting is worked off within
about as long."""
_DATE = b"date"


@attrs.frozen
class Ending:
    """The answer to a request and why it is that one."""

    answer: messages.Answer
    outcome: str
    """``answered``, ``partial``, ``refused`` (nothing ran), ``failed`` (may have run)."""
    reason: str = ""


def come_back_s(rng: random.Random) -> float:
    """Draw when a refused caller should come back."""
    return rng.uniform(COME_BACK_LEAST_S, COME_BACK_MOST_S)


def storm_come_back_s(rng: random.Random) -> float:
    """Draw when a caller should come back that was refused because too many came at once."""
    return rng.uniform(STORM_LEAST_S, STORM_MOST_S)


def refusal(
    sender: sender_module.Sender,
    reason: str,
    draw_s: abc.Callable[[random.Random], float] = come_back_s,
) -> Ending:
    """Refuse: nothing ran and nothing will; the caller learns when to come back."""
    seconds = b"%.3f" % draw_s(sender.rng)
    answer = messages.Answer(503, ((sender.names.retry_after, seconds),), reason.encode())
    return Ending(answer, "refused", reason)


def failure(status: int, reason: str) -> Ending:
    """Fail: the request may have run, nothing is promised."""
    return Ending(messages.Answer(status, (), reason.encode()), "failed", reason)


async def single(sender: sender_module.Sender, call: sending.Call, service: str) -> Ending:
    """Answer a request that one replica of one service answers."""
    outcome = await obtaining.obtain(sender, call, service)
    match outcome:
        case sending.Answered():
            return Ending(_passed_on(outcome.response, outcome.response.status), "answered")
        case sending.Failed():
            return _failed_by_replica(outcome)
        case sending.NotRun():
            return refusal(sender, outcome.reason)
        case sending.Unknown():
            return failure(504 if sending.is_late(outcome) else 502, outcome.reason)


def _failed_by_replica(outcome: sending.Failed) -> Ending:
    """
    Pass a replica's own failure on unchanged.

    But for a status that callers take for the promise that nothing ran, since it did run: it
    becomes a 502 without the replica's signature.
    """
    status = outcome.response.status
    if sending.promises_not_run(status):
        return failure(502, f"replica_status_{status}")
    return Ending(_passed_on(outcome.response, status), "failed", f"replica_status_{status}")


def _passed_on(response: client.Response, status: int) -> messages.Answer:
    headers = tuple(
        (name, value) for name, value in client.end_to_end(response.headers) if name != _DATE
    )
    return messages.Answer(status, headers, response.body)


async def all_shards(sender: sender_module.Sender, call: sending.Call) -> Ending:
    """
    Answer a query with the greatest records of all shards.

    Waits for all of them until shortly before the goal. From then on it answers as soon as enough
    shards are in, with the number of those that are missing.
    """
    first = first_choices(sender, call)
    if len(first) < least_parts(call):
        # Too few shards have a replica: nothing needs to be sent.
        return refusal(sender, _why_too_few_replicas(sender, call, first))
    answer_after_ms = timing.answer_after_ms(
        call.route.goal_ms,
        call.way_back_s * 1000,
        len(call.route.shards),
        sender.loop_lag_ms(),
    )
    now_s = asyncio.get_running_loop().time()
    answer_at_s = call.began_s + answer_after_ms / 1000
    if answer_at_s < now_s + timing.HOPELESS_SHARE * call.route.goal_ms / 1000:
        # In time is out of reach: an answer of more shards is worth more then than a sooner one.
        answer_at_s = now_s + timing.LATE_SHARE * call.route.goal_ms / 1000
    call.answer_at_s = answer_at_s
    parts = _started(sender, call, first, answer_at_s)
    try:
        await _enough(call, parts, answer_at_s)
    finally:
        # Sends under way finish by themselves, which keeps their connections usable.
        for part in parts.values():
            part.cancel()
        call.answered(timing.STUCK_AFTER_S)
    return conclude(sender, call, parts)


def _why_too_few_replicas(
    sender: sender_module.Sender, call: sending.Call, first: peers_module.FirstReplicas
) -> str:
    """Return the reason why most shards without a replica to take a part have none."""
    now_s = asyncio.get_running_loop().time()
    reasons = collections.Counter(
        sender.replicas.no_replica_reason(shard, call.route, now_s)
        for shard in call.route.shards
        if shard not in first
    )
    return reasons.most_common(1)[0][0]


Parts = dict[str, asyncio.Task[sending.Outcome]]


def _started(
    sender: sender_module.Sender,
    call: sending.Call,
    first: peers_module.FirstReplicas,
    answer_at_s: float,
) -> Parts:
    """Start every part: in a batch with others where its replicas are far, else from here."""
    loop = asyncio.get_running_loop()
    in_batch: dict[str, handover.Handed] = {}
    if sender.handover is not None:
        in_batch = sender.handover.start(sender, call, first, answer_at_s)
    return {
        shard: loop.create_task(
            handover.part(sender, call, in_batch[shard], shard)
            if shard in in_batch
            else obtaining.obtain(sender, call, shard, first.get(shard))
        )
        for shard in call.route.shards
    }


def first_choices(sender: sender_module.Sender, call: sending.Call) -> peers_module.FirstReplicas:
    """Choose the best replica of each shard that has one."""
    now_s = asyncio.get_running_loop().time()
    chosen = {
        shard: sender.replicas.choose(shard, call.route, (), now_s) for shard in call.route.shards
    }
    return {shard: replica for shard, replica in chosen.items() if replica is not None}


async def _enough(call: sending.Call, parts: Parts, answer_at_s: float) -> None:
    """Wait until the query should be answered with the parts that are in."""
    loop = asyncio.get_running_loop()
    progress = _Progress(len(parts), least_parts(call), loop.create_future())
    for part in parts.values():
        part.add_done_callback(progress.ended)
    goal_near = loop.call_at(answer_at_s, progress.goal_near)
    deadline = loop.call_at(call.deadline_s, progress.decide)
    try:
        await progress.decided
    finally:
        goal_near.cancel()
        deadline.cancel()


@attrs.define
class _Progress:
    """Counts how the parts of a query end, and tells when it should be answered."""

    total: int
    least: int
    decided: asyncio.Future[None]
    answered: int = 0
    failed: int = 0
    late: bool = False

    def ended(self, part: asyncio.Task[sending.Outcome]) -> None:
        """Take note of the end of one part."""
        if part.cancelled():
            return
        if _answered(part) is None:
            self.failed += 1
        else:
            self.answered += 1
        self._check()

    def goal_near(self) -> None:
        """Answer as soon as enough parts are in."""
        self.late = True
        self._check()

    def _check(self) -> None:
        under_way = self.total - self.answered - self.failed
        hopeless = self.answered + under_way < self.least
        if not under_way or hopeless or (self.late and self.answered >= self.least):
            self.decide()

    def decide(self) -> None:
        """Wait no longer."""
        if not self.decided.done():
            self.decided.set_result(None)


def least_parts(call: sending.Call) -> int:
    """Return how many shards an answer needs at least."""
    return max(1, math.ceil(call.route.min_coverage * len(call.route.shards) - 1e-9))


Good = sending.Answered | sending.AnsweredInBatch


def _is_over(part: asyncio.Task[sending.Outcome]) -> bool:
    return part.done() and not part.cancelled()


def _answered(part: asyncio.Task[sending.Outcome]) -> Good | None:
    if not _is_over(part):
        return None
    outcome = part.result()
    return outcome if isinstance(outcome, Good) else None


def conclude(sender: sender_module.Sender, call: sending.Call, parts: Parts) -> Ending:
    """Answer with the parts that are in, or refuse or fail where they are too few."""
    answers = {shard: _answered(part) for shard, part in parts.items()}
    present = [answer for answer in answers.values() if answer is not None]
    missing = [shard for shard, answer in answers.items() if answer is None]
    if len(present) < least_parts(call):
        return _too_few(sender, call, parts)
    headers = [
        (sender.names.part_signatures, b", ".join(each.signature for each in present)),
        (sender.names.missing_parts, b"%d" % len(missing)),
        (sender.names.request_id, call.request_id),
        (b"content-type", b"application/octet-stream"),
    ]
    body = merge.greatest(_bodies(present), call.route.top_records)
    answer = messages.Answer(200, tuple(headers), body)
    if not missing:
        return Ending(answer, "answered")
    sender.counters.add("direct.missing_parts", len(missing))
    why = _told(call, parts, missing, asyncio.get_running_loop().time())
    return Ending(answer, "partial", why)


def _bodies(answers: list[Good]) -> list[bytes]:
    """Return the records of all answers; those of a batch, which its shards share, once."""
    single = [each.response.body for each in answers if isinstance(each, sending.Answered)]
    shared = {id(each.records): each.records for each in answers if not _is_single(each)}
    return [*single, *shared.values()]


def _is_single(answer: Good) -> bool:
    return isinstance(answer, sending.Answered)


def _told(call: sending.Call, parts: Parts, missing: list[str], now_s: float) -> str:
    """Describe the first missing shards: why, and which replicas were asked."""
    return "; ".join(
        f"{shard}: {_why(parts[shard])} ({call.told(shard, now_s)})" for shard in missing[:5]
    )


def _why(part: asyncio.Task[sending.Outcome]) -> str:
    if not _is_over(part) or sending.is_late(part.result()):
        return "not in time"
    return sending.reason(part.result())


def _too_few(sender: sender_module.Sender, call: sending.Call, parts: Parts) -> Ending:
    """
    Refuse when no part can have run, else fail.

    The failures of some parts settle the query before the tasks of the others have had their turn;
    what those have sent tells then whether they can have run.
    """
    ended = {shard: part.result() for shard, part in parts.items() if _is_over(part)}
    refused = [each for each in ended.values() if isinstance(each, sending.NotRun)]
    may_run = any(call.may_have_run(shard) for shard in parts if shard not in ended)
    if len(refused) == len(ended) and not may_run:
        reasons = {outcome.reason.partition(":")[0] for outcome in refused}
        return refusal(sender, ", ".join(sorted(reasons)) or "not_sent")
    now_s = asyncio.get_running_loop().time()
    missing = [shard for shard, part in parts.items() if not _answered(part)]
    why = _told(call, parts, missing, now_s)
    late = timing.is_over(call.deadline_s, now_s)
    return failure(504 if late else 502, f"too few shards ({len(missing)} missing): {why}")
