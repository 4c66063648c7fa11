"""
Hands the parts of a query whose replicas are remote to a peer: an instance near those replicas.

Each part that is sent between regions on its own costs a request and a response on the most
expensive links. A batch crosses them once, and its answers come back merged. The peer confirms a
batch at once with an interim response. If that is missing after about a round trip, the batch
counts as lost: with many instances it goes to the other owner of its shards, else its parts are
sent directly.

A peer that is taken for lost may go on sending, and instances know different replicas for a while.
So the batch names the replicas to which its parts may be sent a second time, in the view of the
instance that hands it over. The peer counts them as reached, and whoever sends a part again sends
it to one of these: together they reach no more replicas than the route allows.
"""

from __future__ import annotations

import asyncio

import attrs

from turmericlug.direct import attempts
from turmericlug.direct import handover_codec
from turmericlug.direct import peers as peers_module
from turmericlug.direct import placement
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.direct import stall_timeout
from turmericlug.http1 import client
from turmericlug.kernel import failures
from turmericlug.telemetry import decisions

PATH = b"/parts"
REFUSED_STATUS = 503
"""The peer ran no part of a batch: it knows too few of the replicas, or its process was stalled and
it can't tell how old the batch is."""
INTERIM_TIMEOUT_FACTOR = 1.5
INTERIM_TIMEOUT_SLACK_MS = 50.0
"""The interim response is overdue after 1.5 round trips and a few iterations of a busy peer's event
loop. With a shorter timeout, busy instances would count as lost; with a longer one, direct attempts
would miss the goal."""
RETURN_MARGIN_MS = 4.0
"""Time for an answer in addition to the round trip: one iteration of the event loop at each end."""


@attrs.define(eq=False)
class PendingBatch:
    """A batch in flight, with the outcomes of its shards so far."""

    peer: replica_module.Replica
    shards: tuple[str, ...]
    not_run: bool = True
    """Whether the current peer has certainly sent none of the parts."""
    maybe_sent_before: bool = False
    """Whether an earlier peer may have sent the parts."""
    shared: dict[str, frozenset[str]] = attrs.field(factory=dict)
    """Names of the replicas of each shard that all instances may send its part to."""
    outcomes: dict[str, asyncio.Future[sending.Outcome | None]] = attrs.field(factory=dict)
    """By shard; the result is ``None`` if its batch is lost."""

    def apply(self, answer: handover_codec.Answer) -> None:
        """Set the outcomes of the shards in an answer."""
        for shard, signature in answer.signatures.items():
            self._resolve(shard, sending.AnsweredInBatch(signature, answer.records))
        for shard, failure in answer.failures.items():
            if failure.may_have_run:
                self._resolve(shard, sending.Unknown(failure.reason))
            else:
                self._resolve(shard, sending.NotRun(failure.reason, sent=True))

    def mark_lost(self) -> None:
        """Mark all shards without an outcome as lost."""
        for shard in self.outcomes:
            self._resolve(shard, None)

    @property
    def may_have_sent(self) -> bool:
        """Whether any peer may have sent the parts."""
        return self.maybe_sent_before or not self.not_run

    @property
    def open_shards(self) -> tuple[str, ...]:
        """The shards without an outcome."""
        return tuple(shard for shard in self.shards if not self.outcomes[shard].done())

    def move_to(self, peer: replica_module.Replica) -> None:
        """Assign the shards without an outcome to another peer."""
        self.maybe_sent_before = self.may_have_sent
        self.peer = peer
        self.shards = self.open_shards
        self.not_run = True

    def _resolve(self, shard: str, outcome: sending.Outcome | None) -> None:
        if not self.outcomes[shard].done():
            self.outcomes[shard].set_result(outcome)


class Handover:
    """Sends batches to peers and records whether they succeed."""

    def __init__(self, peers: peers_module.Peers) -> None:
        self.peers = peers

    def start(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        first_replicas: peers_module.FirstReplicas,
        answer_at_s: float,
    ) -> dict[str, PendingBatch]:
        """
        Start the batches of the shards that are handed over to peers.

        :returns: the batch of each shard that is in one
        """
        loop = asyncio.get_running_loop()
        by_shard: dict[str, PendingBatch] = {}
        for assignment in self.peers.plan(sender, call, first_replicas, loop.time()):
            pending = PendingBatch(assignment.peer, assignment.shards)
            pending.outcomes = {shard: loop.create_future() for shard in assignment.shards}
            pending.shared = {
                shard: sender.replicas.shared(
                    shard,
                    call.route,
                    call.request_id,
                    assignment.peer.entry.data_centre,
                    call.reached(shard),
                )
                for shard in assignment.shards
            }
            task = sender.tasks.start(self._run_batch(sender, call, pending, answer_at_s))
            call.tasks.add(task)
            task.add_done_callback(call.tasks.discard)
            by_shard.update(dict.fromkeys(assignment.shards, pending))
            call.handed_over.update(
                dict.fromkeys(assignment.shards, assignment.peer.entry.instance)
            )
            failures.try_record("handover", _count_sent, sender, pending)
        return by_shard

    async def _run_batch(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        pending: PendingBatch,
        answer_at_s: float,
    ) -> None:
        try:
            completed = await self._exchange_batch(sender, call, pending, answer_at_s)
            if not completed and self._move_to_other_owner(sender, call, pending):
                await self._exchange_batch(sender, call, pending, answer_at_s)
        finally:
            # Also if the caller disconnects; the closed connection then stops the peer.
            pending.mark_lost()

    async def _exchange_batch(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        pending: PendingBatch,
        answer_at_s: float,
    ) -> bool:
        """Attempt a batch and apply its answers; return false if the batch is lost."""
        loop = asyncio.get_running_loop()
        peer = pending.peer
        attempt = replica_module.Attempt(
            loop.time(), self._interim_timeout_s(peer.entry.data_centre)
        )
        peer.attempts.add(attempt)
        lost = ""
        try:
            await self._send_batch(sender, call, pending, answer_at_s, attempt)
        except (
            client.ConnectError,
            client.ExchangeError,
            handover_codec.MessageError,
        ) as error:
            lost = str(error)
        except TimeoutError:
            lost = "silent"
        finally:
            peer.attempts.discard(attempt)
        if lost:
            failures.try_record(
                "handover loss", self._record_loss, sender, call, pending, lost, attempt.began_s
            )
            return False
        failures.try_record("handover success", peer.record_success, 1.0, 1.0, loop.time())
        return True

    def _move_to_other_owner(
        self, sender: sender_module.Sender, call: sending.Call, pending: PendingBatch
    ) -> bool:
        """
        Assign the open shards of a lost batch to their other owner; return false if there is none.

        Direct attempts would open a connection for each part, too many at once to meet the goal.
        """
        if placement.all_send_directly(sender.instance_count()):
            return False
        open_shards = pending.open_shards
        if not open_shards:
            return False
        lost_peer = pending.peer.entry
        now_s = asyncio.get_running_loop().time()
        owners = set(self.peers.owners(lost_peer.data_centre, open_shards[0])) - {
            lost_peer.instance
        }
        peer = self.peers.choose(sender, lost_peer.data_centre, owners, call.route, now_s)
        if peer is None:
            return False
        pending.move_to(peer)
        if pending.maybe_sent_before:
            for shard in pending.shards:
                pending.shared[shard] = _only_common(sender, call, pending, shard)
        call.handed_over.update(dict.fromkeys(pending.shards, peer.entry.instance))
        failures.try_record("handover move", _log_move, sender, call, pending, lost_peer.instance)
        return True

    async def _send_batch(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        pending: PendingBatch,
        answer_at_s: float,
        attempt: replica_module.Attempt,
    ) -> None:
        loop = asyncio.get_running_loop()
        data_centre = pending.peer.entry.data_centre
        overdue_s = loop.time() + self._interim_timeout_s(data_centre)
        async with stall_timeout.StallTimeout(overdue_s) as timeout:
            async with pending.peer.pool.connection(call.rank) as connection:
                attempt.began_s = now_s = loop.time()
                batch = _make_batch(
                    call, pending, now_s, answer_at_s, self.peers.round_trip_ms(data_centre)
                )
                first_answer_by_s = (
                    now_s + batch.answer_in_ms / 1000 + self._interim_timeout_s(data_centre)
                )

                def on_interim() -> None:
                    # The peer has the batch, which is now late only if its first answer is. Wait
                    # until the deadline, as the peer may only be busy, unless the parts may reach
                    # all their replicas and so can be sent again.
                    may_send_again = all(
                        _may_reach_all_replicas(sender, call, shard) for shard in pending.shards
                    )
                    timeout.reschedule(
                        min(first_answer_by_s, call.deadline_s)
                        if may_send_again
                        else call.deadline_s
                    )
                    attempt.late_after_s = first_answer_by_s - attempt.began_s

                def on_chunk(chunk: bytes) -> None:
                    answer = handover_codec.decode_answer(chunk, pending.shards)
                    if answer.first:
                        # The peer waits for the remaining slow parts until the caller's deadline.
                        timeout.reschedule(call.deadline_s)
                        attempt.late_after_s = call.deadline_s - attempt.began_s
                    pending.apply(answer)
                    failures.try_record(
                        "handover answer", self._record_answer, sender, pending.peer, answer, now_s
                    )

                timeout.reschedule(now_s + self._interim_timeout_s(data_centre))
                content = handover_codec.encode_batch(batch)
                request = client.request_bytes(b"POST", PATH, [(b"host", b"instance")], content)
                pending.not_run = False
                response = await connection.exchange(request, on_interim, on_chunk)
        pending.not_run = response.status == REFUSED_STATUS
        if response.status != 200:
            raise handover_codec.MessageError(f"status {response.status}")
        if pending.open_shards:
            raise handover_codec.MessageError("response ended before all shards had an outcome")

    def _record_answer(
        self,
        sender: sender_module.Sender,
        peer: replica_module.Replica,
        answer: handover_codec.Answer,
        sent_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self.peers.loads.record(peer.entry.instance, answer.load, now_s)
        sender.overload.on_peer_load(peer.entry.instance, answer.load)
        if answer.first:
            duration_ms = (now_s - sent_s) * 1000
            self.peers.record_round_trip(peer.entry.data_centre, duration_ms - answer.spent_ms)
            sender.counters.time_ms("handover.total_ms", duration_ms)

    def _interim_timeout_s(self, data_centre: str) -> float:
        return (
            INTERIM_TIMEOUT_FACTOR * self.peers.round_trip_ms(data_centre)
            + INTERIM_TIMEOUT_SLACK_MS
        ) / 1000

    def _record_loss(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        pending: PendingBatch,
        reason: str,
        began_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        set_aside = pending.peer.record_failure(now_s)
        sender.counters.add("handover.lost")
        decisions.log(
            "handover.lost",
            request=call.request_id,
            peer=pending.peer.entry.instance,
            shards=len(pending.shards),
            reason=reason,
            age_ms=round((now_s - began_s) * 1000, 1),
            set_aside=set_aside,
        )


def _count_sent(sender: sender_module.Sender, pending: PendingBatch) -> None:
    sender.counters.add("handover.sent")
    sender.counters.add("handover.shards", len(pending.shards))


def _log_move(
    sender: sender_module.Sender, call: sending.Call, pending: PendingBatch, lost: str
) -> None:
    sender.counters.add("handover.moved")
    decisions.log(
        "handover.moved",
        request=call.request_id,
        lost=lost,
        to=pending.peer.entry.instance,
        shards=len(pending.shards),
    )


def _make_batch(
    call: sending.Call,
    pending: PendingBatch,
    now_s: float,
    answer_at_s: float,
    round_trip_ms: float,
) -> handover_codec.Batch:
    left_ms = (answer_at_s - now_s) * 1000 - round_trip_ms - RETURN_MARGIN_MS
    return handover_codec.Batch(
        request_id=call.request_id,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        route=call.route.name,
        goal_ms=call.route.goal_ms,
        priority=call.route.priority,
        max_attempts=call.route.max_attempts,
        top_records=call.route.top_records,
        shards=pending.shards,
        answer_in_ms=max(left_ms, 1.0),
        time_left_ms=max((call.deadline_s - now_s) * 1000 - round_trip_ms / 2, 1.0),
        data_centre=pending.peer.entry.data_centre,
        maybe_sent_before=pending.maybe_sent_before,
        regions=call.route.regions,
        organisation=call.organisation,
        shared=tuple(
            frozenset(map(placement.replica_id, pending.shared[shard])) for shard in pending.shards
        ),
    )


def _only_common(
    sender: sender_module.Sender, call: sending.Call, pending: PendingBatch, shard: str
) -> frozenset[str]:
    """
    Return the one shared replica that is left once a part may be sent a second and a third time.

    The first peer may be an earlier build, which has left a single attempt for all others.
    """
    known = {replica.entry.instance: replica for replica in sender.replicas.of(shard)}
    data_centres = {
        name: known[name].entry.data_centre if name in known else ""
        for name in pending.shared[shard]
    }
    if not data_centres:
        return frozenset()
    common = placement.common_replica(call.request_id, data_centres, pending.peer.entry.data_centre)
    return frozenset({common})


async def shard_outcome(
    sender: sender_module.Sender, call: sending.Call, pending: PendingBatch, shard: str
) -> sending.Outcome:
    """
    Return the outcome of one shard of a batch.

    If the batch is lost, the part is sent directly. If a peer may have sent it already, it gets
    a single attempt, so that it reaches no more replicas than its route allows.
    """
    outcome = await asyncio.shield(pending.outcomes[shard])
    if isinstance(outcome, sending.AnsweredInBatch):
        failures.try_record("answer", sender.quarantine.record_answer, call)
    if outcome is None and pending.may_have_sent:
        shared = frozenset(map(placement.replica_id, pending.shared[shard]))
        return await attempts.get_answer(sender, call, shard, shared=shared, is_retry=True)
    if outcome is None or _lacked_replica(outcome):
        return await attempts.get_answer(sender, call, shard)
    return outcome


def _lacked_replica(outcome: sending.Outcome) -> bool:
    """Whether the peer knows no replica of the shard; it may not have read of them yet."""
    return isinstance(outcome, sending.NotRun) and outcome.reason == replicas_module.NO_REPLICA


def _may_reach_all_replicas(sender: sender_module.Sender, call: sending.Call, shard: str) -> bool:
    """Whether the route allows a part to be sent to every replica of its shard."""
    return len(sender.replicas.eligible(shard, call.route)) <= call.route.max_attempts
