"""
Handing the far parts of a query to an instance near their replicas.

Each part that crosses regions by itself costs a request and a response on the dearest links; a
batch crosses once, and what comes back is merged already. The instance that takes it says at once
that it is alive. One that does not is passed over after a round trip: the shards' other owner gets
the batch where instances are many, else the parts are sent directly.
"""

from __future__ import annotations

import asyncio

import attrs

from turmericlug.direct import handover_codec
from turmericlug.direct import obtaining
from turmericlug.direct import peers as peers_module
from turmericlug.direct import placement
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.telemetry import decisions

PATH = b"/parts"
REFUSED = 503
"""The peer ran nothing of a batch: it knows too few of the replicas, or it had stood still and
could not tell how old the batch was."""
ALIVE_FACTOR = 1.5
ALIVE_SLACK_MS = 50.0
"""A sign of life is overdue after one and a half round trips and some busy turns of the other side.
Sooner, instances that are only busy would be taken for lost; later, direct sends would miss the
goals."""
COME_BACK_MARGIN_MS = 4.0
"""What the way back needs besides the round trip: a turn of either event loop."""


@attrs.define(eq=False)
class Handed:
    """A batch under way, with what came back of its shards so far."""

    peer: replica_module.Replica
    shards: tuple[str, ...]
    ran_nothing: bool = True
    """Whether the peer certainly sent none of its parts."""
    again: bool = False
    """Whether another peer before may have sent its parts."""
    outcomes: dict[str, asyncio.Future[sending.Outcome | None]] = attrs.field(factory=dict)
    """``None`` for a shard whose batch has to be taken for lost."""

    def take(self, answer: handover_codec.Answer) -> None:
        """Pass on what has come back."""
        for shard, signature in answer.signatures.items():
            self._end(shard, sending.AnsweredInBatch(signature, answer.records))
        for shard, failure in answer.failures.items():
            if failure.may_have_run:
                self._end(shard, sending.Unknown(failure.reason))
            else:
                self._end(shard, sending.NotRun(failure.reason, sent=True))

    def lose(self) -> None:
        """Give up what has not come back."""
        for shard in self.outcomes:
            self._end(shard, None)

    @property
    def may_have_sent(self) -> bool:
        """Whether any peer may have sent its parts."""
        return self.again or not self.ran_nothing

    @property
    def left(self) -> tuple[str, ...]:
        """The shards that have not come back."""
        return tuple(each for each in self.shards if not self.outcomes[each].done())

    def move_to(self, peer: replica_module.Replica) -> None:
        """Hand what has not come back to another peer."""
        self.again = self.may_have_sent
        self.peer = peer
        self.shards = self.left
        self.ran_nothing = True

    def _end(self, shard: str, outcome: sending.Outcome | None) -> None:
        if not self.outcomes[shard].done():
            self.outcomes[shard].set_result(outcome)


class Handover:
    """Hands batches to the other instances and learns how they do."""

    def __init__(self, peers: peers_module.Peers) -> None:
        self.peers = peers

    def start(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        first: peers_module.FirstChoices,
        answer_at_s: float,
    ) -> dict[str, Handed]:
        """
        Send the shards that others should send to in batches.

        :returns: the batch of each shard that is in one
        """
        loop = asyncio.get_running_loop()
        by_shard: dict[str, Handed] = {}
        for group in self.peers.plan(sender, call, first, loop.time()):
            handed = Handed(group.peer, group.shards)
            handed.outcomes = {shard: loop.create_future() for shard in group.shards}
            task = sender.tasks.start(self._exchange(sender, call, handed, answer_at_s))
            call.sends.add(task)
            task.add_done_callback(call.sends.discard)
            by_shard.update(dict.fromkeys(group.shards, handed))
            sender.counters.add("handover.sent")
            sender.counters.add("handover.shards", len(group.shards))
            call.handed_over.update(dict.fromkeys(group.shards, group.peer.entry.instance))
        return by_shard

    async def _exchange(
        self, sender: sender_module.Sender, call: sending.Call, handed: Handed, answer_at_s: float
    ) -> None:
        try:
            came_back = await self._comes_back(sender, call, handed, answer_at_s)
            if not came_back and self._moved(sender, call, handed):
                await self._comes_back(sender, call, handed, answer_at_s)
        finally:
            # Also when the caller has left: its connection is closed, which stops the peer as well.
            handed.lose()

    async def _comes_back(
        self, sender: sender_module.Sender, call: sending.Call, handed: Handed, answer_at_s: float
    ) -> bool:
        """Send a batch and take its answers; false when it has to be taken for lost."""
        loop = asyncio.get_running_loop()
        peer = handed.peer
        send = replica_module.Send(loop.time(), self._alive_after_s(peer.entry.data_centre))
        peer.sends.add(send)
        try:
            await self._sent(sender, call, handed, answer_at_s, send)
        except (
            client.ConnectError,
            client.ExchangeError,
            handover_codec.MessageError,
        ) as error:
            self._lost(sender, call, handed, str(error), send.began_s)
            return False
        except TimeoutError:
            self._lost(sender, call, handed, "silent", send.began_s)
            return False
        finally:
            peer.sends.discard(send)
        peer.succeeded(1.0, 1.0, loop.time())
        return True

    def _moved(self, sender: sender_module.Sender, call: sending.Call, handed: Handed) -> bool:
        """
        Choose the other owner for what a lost batch left open, if there is one.

        An instance that sends the parts by itself instead opens a connection for each, too many at
        once to be in time.
        """
        if placement.everyone_sends(sender.instances()):
            return False
        left = handed.left
        if not left:
            return False
        lost = handed.peer.entry
        now_s = asyncio.get_running_loop().time()
        owners = set(self.peers.owners(lost.data_centre, left[0])) - {lost.instance}
        peer = self.peers.choose(lost.data_centre, owners, call.route, now_s)
        if peer is None:
            return False
        handed.move_to(peer)
        call.handed_over.update(dict.fromkeys(handed.shards, peer.entry.instance))
        sender.counters.add("handover.moved")
        decisions.log(
            "handover.moved",
            request=call.request_id,
            lost=lost.instance,
            to=peer.entry.instance,
            shards=len(left),
        )
        return True

    async def _sent(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        handed: Handed,
        answer_at_s: float,
        send: replica_module.Send,
    ) -> None:
        loop = asyncio.get_running_loop()
        data_centre = handed.peer.entry.data_centre
        async with asyncio.timeout(self._alive_after_s(data_centre)) as limit:
            async with handed.peer.pool.connection(call.route.priority) as connection:
                send.began_s = now_s = loop.time()
                batch = _batch(
                    call, handed, now_s, answer_at_s, self.peers.round_trip_ms(data_centre)
                )
                first_by_s = now_s + batch.answer_in_ms / 1000 + self._alive_after_s(data_centre)

                def alive() -> None:
                    # From now on it is late only when it does not come back as asked. Where its
                    # parts can't be sent to just any replica again, it is waited for: it lives, and
                    # may only be busy.
                    again = all(_has_few_replicas(sender, call, each) for each in handed.shards)
                    limit.reschedule(min(first_by_s, call.deadline_s) if again else call.deadline_s)
                    send.overdue_after_s = first_by_s - send.began_s

                def came_back(chunk: bytes) -> None:
                    answer = handover_codec.decode_answer(chunk, handed.shards)
                    if answer.first:
                        duration_ms = (loop.time() - now_s) * 1000
                        self.peers.learn(data_centre, duration_ms - answer.spent_ms)
                        sender.counters.time_ms("handover.total_ms", duration_ms)
                        # The rest are stragglers, which the peer waits for as long as the caller.
                        limit.reschedule(call.deadline_s)
                        send.overdue_after_s = call.deadline_s - send.began_s
                    handed.take(answer)

                limit.reschedule(now_s + self._alive_after_s(data_centre))
                content = handover_codec.encode_batch(batch)
                request = client.request_bytes(b"POST", PATH, [(b"host", b"instance")], content)
                handed.ran_nothing = False
                response = await connection.exchange(request, alive, came_back)
        handed.ran_nothing = response.status == REFUSED
        if response.status != 200:
            raise handover_codec.MessageError(f"status {response.status}")
        if handed.left:
            raise handover_codec.MessageError("ended before every shard was told of")

    def _alive_after_s(self, data_centre: str) -> float:
        return (ALIVE_FACTOR * self.peers.round_trip_ms(data_centre) + ALIVE_SLACK_MS) / 1000

    def _lost(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        handed: Handed,
        reason: str,
        began_s: float,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        set_aside = handed.peer.failed(now_s)
        sender.counters.add("handover.lost")
        decisions.log(
            "handover.lost",
            request=call.request_id,
            peer=handed.peer.entry.instance,
            shards=len(handed.shards),
            reason=reason,
            age_ms=round((now_s - began_s) * 1000, 1),
            set_aside=set_aside,
        )


def _batch(
    call: sending.Call,
    handed: Handed,
    now_s: float,
    answer_at_s: float,
    round_trip_ms: float,
) -> handover_codec.Batch:
    left_ms = (answer_at_s - now_s) * 1000 - round_trip_ms - COME_BACK_MARGIN_MS
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
        shards=handed.shards,
        answer_in_ms=max(left_ms, 1.0),
        time_left_ms=max((call.deadline_s - now_s) * 1000 - round_trip_ms / 2, 1.0),
        data_centre=handed.peer.entry.data_centre,
        again=handed.again,
        regions=call.route.regions,
    )


async def part(
    sender: sender_module.Sender, call: sending.Call, handed: Handed, shard: str
) -> sending.Outcome:
    """
    Return what a batch brought for one of its shards.

    A direct send makes up for a lost one, within what the peer may have sent.
    """
    outcome = await asyncio.shield(handed.outcomes[shard])
    if isinstance(outcome, sending.AnsweredInBatch):
        sender.quarantine.record_answer(call)
    if outcome is None and handed.may_have_sent:
        place = handed.peer.entry.data_centre
        return await obtaining.obtain(sender, call, shard, handed_to=place, again=True)
    if outcome is None or _unknown_there(outcome):
        return await obtaining.obtain(sender, call, shard)
    return outcome


def _unknown_there(outcome: sending.Outcome) -> bool:
    """Whether the peer does not know the shard's replicas, which may be news to it."""
    return isinstance(outcome, sending.NotRun) and outcome.reason == replicas_module.NO_REPLICA


def _has_few_replicas(sender: sender_module.Sender, call: sending.Call, shard: str) -> bool:
    """Whether a shard has so few replicas that no send can reach too many."""
    return len(sender.replicas.open_to(shard, call.route)) <= call.route.max_attempts
