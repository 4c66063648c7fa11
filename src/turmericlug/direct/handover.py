"""
Handing the far parts of a query to an instance near their replicas.

Each part that crosses regions by itself costs a request and a response on the dearest links; a
batch crosses once, and what comes back is merged already. The instance that takes it says at once
that it is alive. One that does not is passed over after a round trip, and the parts are sent
directly.
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc

import attrs

from turmericlug.direct import handover_codec
from turmericlug.direct import obtaining
from turmericlug.direct import placement
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.telemetry import decisions

PATH = b"/parts"
PEERS_PER_DATA_CENTRE = 4
"""Enough that one that is lost or slow leaves others; few enough to keep a connection to each."""
REFUSED = 503
"""The peer ran nothing of a batch: it had stood still and could not tell how old the batch was."""
LEAST_SHARDS = 2
"""One part alone costs less bytes on its own than in a batch."""
ROUND_TRIP_GUESS_MS = 30.0
ROUND_TRIP_GAIN = 0.2
ALIVE_FACTOR = 1.5
ALIVE_SLACK_MS = 50.0
"""A sign of life is overdue after one and a half round trips and some busy turns of the other side.
With 30 ms, 24 batches of nine seconds of a large deployment were taken for lost, whose instances
were only busy; later than this, direct sends would miss the goals."""
COME_BACK_MARGIN_MS = 4.0
"""What the way back needs besides the round trip: a turn of either event loop."""


@attrs.define(eq=False)
class Handed:
    """A batch under way, with what came back of its shards so far."""

    peer: replicas_module.Replica
    shards: tuple[str, ...]
    ran_nothing: bool = True
    """Whether the peer certainly sent none of its parts."""
    alive: bool = False
    """Whether the peer said that it works on it."""
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
        for shard in self.shards:
            self._end(shard, None)

    def _end(self, shard: str, outcome: sending.Outcome | None) -> None:
        if not self.outcomes[shard].done():
            self.outcomes[shard].set_result(outcome)


class Handover:
    """Hands batches to the other instances and learns how they do."""

    def __init__(self, peers: replicas_module.Replicas, place: placement.Place) -> None:
        self._peers = peers
        self._place = place
        self._round_trips_ms: dict[str, float] = {}
        self._owners: dict[str, list[list[str]]] = {}
        self._usual: dict[bool, list[replicas_module.Replica]] = {}

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the recent round trip to the instances of a data centre."""
        return self._round_trips_ms.get(data_centre, ROUND_TRIP_GUESS_MS)

    def forget_owners(self) -> None:
        """Work out anew who owns what: instances have come or gone."""
        self._owners.clear()
        self._usual.clear()

    def _names(self, data_centre: str) -> list[str]:
        names = [each.entry.instance for each in self._peers.of(data_centre)]
        return [*names, self._place.name] if data_centre == self._place.data_centre else names

    def owners(self, data_centre: str, shard: str) -> list[str]:
        """Return the instances that send to a shard's replicas in a data centre."""
        if data_centre not in self._owners:
            self._owners[data_centre] = placement.owners_by_group(self._names(data_centre))
        groups = self._owners[data_centre]
        return groups[placement.group_of(shard, len(groups))]

    def sends_from_here(self, sender: obtaining.Sender, shard: str) -> bool:
        """Whether this instance is to send to a shard's replicas in its own data centre."""
        if placement.everyone_sends(sender.instances()):
            return True
        return self._place.name in self.owners(self._place.data_centre, shard)

    def plan(self, sender: obtaining.Sender, call: sending.Call, now_s: float) -> list[Handed]:
        """Group the shards that others should send to by the instance that is to do it."""
        by_place = self._places(sender, call, now_s)
        shared = not placement.everyone_sends(sender.instances())
        batches: list[Handed] = []
        for data_centre, shards in by_place.items():
            if shared:
                batches += self._to_owners(data_centre, shards, call.route, now_s)
            elif data_centre != self._place.data_centre and len(shards) >= LEAST_SHARDS:
                names = placement.usual(
                    self._place.name, self._names(data_centre), PEERS_PER_DATA_CENTRE
                )
                peer = self._peer(data_centre, names, call.route, now_s)
                if peer is not None:
                    batches.append(Handed(peer, tuple(shards)))
        return batches

    def _places(
        self, sender: obtaining.Sender, call: sending.Call, now_s: float
    ) -> dict[str, list[str]]:
        """
        Choose the data centre in which each shard is asked.

        That of its best replica; of those that are equally far, as few as possible, since a batch
        costs about as much as a part by itself.
        """
        places: dict[str, list[str]] = {}
        open_choice: dict[str, set[str]] = {}
        for shard in call.route.shards:
            best = sender.replicas.choose(shard, call.route, (), now_s)
            if best is None:
                continue
            distance = self._place.distance(best.entry.data_centre)
            if distance == placement.HERE:
                places.setdefault(best.entry.data_centre, []).append(shard)
                continue
            open_choice[shard] = {best.entry.data_centre} | {
                each.entry.data_centre
                for each in sender.replicas.of(shard)
                if self._place.distance(each.entry.data_centre) == distance
                and not (each.leaving or each.set_aside(now_s) or each.overdue(now_s))
            }
        while open_choice:
            counts = collections.Counter(
                each for data_centres in open_choice.values() for each in data_centres
            )
            chosen = min(counts, key=lambda each: (-counts[each], self.round_trip_ms(each), each))
            shards = [shard for shard, each in open_choice.items() if chosen in each]
            places[chosen] = shards
            for shard in shards:
                del open_choice[shard]
        return places

    def _to_owners(
        self, data_centre: str, shards: list[str], route: routes.Route, now_s: float
    ) -> list[Handed]:
        by_owners: dict[tuple[str, ...], list[str]] = {}
        for shard in shards:
            owners = self.owners(data_centre, shard)
            if self._place.name not in owners:
                by_owners.setdefault(tuple(owners), []).append(shard)
        batches = []
        for owners, owned in by_owners.items():
            peer = self._peer(data_centre, owners, route, now_s)
            if peer is not None:
                batches.append(Handed(peer, tuple(owned)))
        return batches

    def _peer(
        self, data_centre: str, names: abc.Collection[str], route: routes.Route, now_s: float
    ) -> replicas_module.Replica | None:
        others = [each for each in self._peers.of(data_centre) if each.entry.instance not in names]
        peer = self._peers.choose(data_centre, route, others, now_s)
        if peer is None or peer.set_aside(now_s) or peer.overdue(now_s):
            return None
        return peer

    def usual_peers(self, shared: bool) -> list[replicas_module.Replica]:
        """
        Return the instances that this one hands batches to.

        A fixed few of each data centre, so that connections stay warm and their number does not
        grow with the fleet.
        """
        if shared in self._usual:
            return self._usual[shared]
        found = self._usual[shared] = []
        for data_centre in {each.entry.data_centre for each in self._peers.all()}:
            names = self._names(data_centre)
            if shared:
                usual = {name for owners in placement.owners_by_group(names) for name in owners}
            elif data_centre == self._place.data_centre:
                continue
            else:
                usual = set(placement.usual(self._place.name, names, PEERS_PER_DATA_CENTRE))
            found += [each for each in self._peers.of(data_centre) if each.entry.instance in usual]
        return found

    async def warm(self, shared: bool) -> None:
        """
        Open connections to the usual instances ahead of need.

        The first batch on a new connection is a round trip late, which misses a goal of 135 ms.

        :param shared: whether instances are so many that each shard has owners
        """
        now_s = asyncio.get_running_loop().time()
        for peer in self.usual_peers(shared):
            if peer.set_aside(now_s) or peer.pool.open_count:
                continue
            try:
                await peer.pool.warm()
            except client.ConnectError as error:
                peer.failed(now_s)
                decisions.log("handover.not_connected", peer=peer.entry.instance, reason=str(error))

    def start(
        self, sender: obtaining.Sender, call: sending.Call, handed: Handed, answer_at_s: float
    ) -> None:
        """Send a batch."""
        loop = asyncio.get_running_loop()
        handed.outcomes = {shard: loop.create_future() for shard in handed.shards}
        task = sender.tasks.start(self._exchange(sender, call, handed, answer_at_s))
        call.sends.add(task)
        task.add_done_callback(call.sends.discard)
        call.handed_over.update(handed.shards)
        sender.counters.add("handover.sent")
        sender.counters.add("handover.shards", len(handed.shards))

    async def _exchange(
        self, sender: obtaining.Sender, call: sending.Call, handed: Handed, answer_at_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        send = replicas_module.Send(loop.time(), self._alive_after_s(handed.peer.entry.data_centre))
        handed.peer.sends.add(send)
        try:
            await self._sent(sender, call, handed, answer_at_s, send)
            handed.peer.succeeded(1.0, 1.0, loop.time())
        except (
            client.ConnectError,
            client.ExchangeError,
            handover_codec.MessageError,
        ) as error:
            self._lost(sender, call, handed, str(error), send.began_s)
        except TimeoutError:
            self._lost(sender, call, handed, "silent", send.began_s)
        finally:
            # Also when the caller has left: its connection is closed, which stops the peer as well.
            handed.peer.sends.discard(send)
            handed.lose()

    async def _sent(
        self,
        sender: obtaining.Sender,
        call: sending.Call,
        handed: Handed,
        answer_at_s: float,
        send: replicas_module.Send,
    ) -> None:
        loop = asyncio.get_running_loop()
        data_centre = handed.peer.entry.data_centre
        async with asyncio.timeout(self._alive_after_s(data_centre)) as limit:
            async with handed.peer.pool.connection(call.route.priority) as connection:
                send.began_s = now_s = loop.time()
                batch = _batch(
                    call, handed.shards, now_s, answer_at_s, self.round_trip_ms(data_centre)
                )
                first_by_s = now_s + batch.answer_in_ms / 1000 + self._alive_after_s(data_centre)

                def alive() -> None:
                    # From now on it is late only when it does not come back as asked. Where its
                    # parts can't be sent again, it is waited for: it lives, and may only be busy.
                    handed.alive = True
                    again = all(may_send_again(sender, call, each) for each in handed.shards)
                    limit.reschedule(min(first_by_s, call.deadline_s) if again else call.deadline_s)
                    send.overdue_after_s = first_by_s - send.began_s

                def came_back(chunk: bytes) -> None:
                    answer = handover_codec.decode_answer(chunk, handed.shards)
                    if answer.first:
                        duration_ms = (loop.time() - now_s) * 1000
                        self._learn(data_centre, duration_ms - answer.spent_ms)
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
        if not all(outcome.done() for outcome in handed.outcomes.values()):
            raise handover_codec.MessageError("ended before every shard was told of")

    def _alive_after_s(self, data_centre: str) -> float:
        return (ALIVE_FACTOR * self.round_trip_ms(data_centre) + ALIVE_SLACK_MS) / 1000

    def _learn(self, data_centre: str, round_trip_ms: float) -> None:
        known_ms = self.round_trip_ms(data_centre)
        self._round_trips_ms[data_centre] = known_ms + ROUND_TRIP_GAIN * (
            max(round_trip_ms, 0.0) - known_ms
        )

    def _lost(
        self,
        sender: obtaining.Sender,
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
    shards: tuple[str, ...],
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
        shards=shards,
        answer_in_ms=max(left_ms, 1.0),
        time_left_ms=max((call.deadline_s - now_s) * 1000 - round_trip_ms / 2, 1.0),
    )


async def part(
    sender: obtaining.Sender, call: sending.Call, handed: Handed, shard: str
) -> sending.Outcome:
    """
    Return what a batch brought for one of its shards.

    A direct send makes up for a lost one. But not where the peer had begun and the shard has more
    replicas than a request may be sent to: the peer may have sent to as many as are allowed.
    """
    outcome = await asyncio.shield(handed.outcomes[shard])
    if outcome is not None:
        return outcome
    if handed.alive and not handed.ran_nothing and not may_send_again(sender, call, shard):
        return sending.Unknown("batch_lost")
    return await obtaining.obtain(sender, call, shard, again=not handed.ran_nothing)


def may_send_again(sender: obtaining.Sender, call: sending.Call, shard: str) -> bool:
    """Whether a shard has so few replicas that no send can reach too many."""
    return len(sender.replicas.of(shard)) <= call.route.max_attempts
