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
import heapq
import zlib
from collections import abc

import attrs

from turmericlug.direct import handover_codec
from turmericlug.direct import obtaining
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.telemetry import decisions

PATH = b"/parts"
PEERS_PER_REGION = 4
"""Enough that one that is lost or slow leaves others; few enough to keep a connection to each."""
LEAST_SHARDS = 2
"""One part alone costs less bytes on its own than in a batch."""
ROUND_TRIP_GUESS_MS = 30.0
ROUND_TRIP_GAIN = 0.2
ALIVE_FACTOR = 1.5
ALIVE_SLACK_MS = 30.0
"""A sign of life is overdue after one and a half round trips and a busy turn of the other side:
late enough not to send every batch twice, early enough to meet a goal of 135 ms directly."""
COME_BACK_MARGIN_MS = 4.0
"""What the way back needs besides the round trip: a turn of either event loop."""


@attrs.define(eq=False)
class Handed:
    """A batch under way, with what came back of its shards so far."""

    peer: replicas_module.Replica
    shards: tuple[str, ...]
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

    def __init__(
        self,
        peers: replicas_module.Replicas,
        regions: abc.Mapping[str, str],
        region: str,
        own_name: str = "",
    ) -> None:
        self._own_name = own_name
        self._peers = peers
        self._regions = regions
        self._region = region
        self._round_trips_ms: dict[str, float] = {}

    def round_trip_ms(self, region: str) -> float:
        """Return the recent round trip to the instances of a region."""
        return self._round_trips_ms.get(region, ROUND_TRIP_GUESS_MS)

    def plan(self, sender: obtaining.Sender, call: sending.Call, now_s: float) -> list[Handed]:
        """Group the shards whose best replica is far by regions that can take them."""
        wanted: dict[str, set[str]] = {}
        for shard in call.route.shards:
            best = sender.replicas.choose(shard, call.route, (), now_s)
            if best is None or self._region_of(best) == self._region:
                continue
            wanted[shard] = {
                self._region_of(each)
                for each in sender.replicas.of(shard)
                if not each.leaving and not each.set_aside(now_s) and not each.overdue(now_s)
            }
        batches = []
        excluded = {self._region}
        while wanted:
            counts = collections.Counter(
                region for regions in wanted.values() for region in regions - excluded
            )
            if not counts:
                break
            region = min(counts, key=lambda each: (-counts[each], self.round_trip_ms(each), each))
            excluded.add(region)
            peer = self._peer(region, call.route, now_s)
            if counts[region] < LEAST_SHARDS or peer is None:
                continue
            shards = tuple(shard for shard, regions in wanted.items() if region in regions)
            batches.append(Handed(peer, shards))
            for shard in shards:
                del wanted[shard]
        return batches

    def _region_of(self, replica: replicas_module.Replica) -> str:
        return self._regions.get(replica.entry.data_centre, replica.entry.data_centre)

    def _peer(
        self, region: str, route: routes.Route, now_s: float
    ) -> replicas_module.Replica | None:
        usual = self.usual_peers(region)
        others = [each for each in self._peers.of(region) if each not in usual]
        peer = self._peers.choose(region, route, others, now_s)
        if peer is None or peer.set_aside(now_s) or peer.overdue(now_s):
            return None
        return peer

    def usual_peers(self, region: str) -> list[replicas_module.Replica]:
        """
        Return the instances of a region that this one hands batches to.

        A fixed few, drawn by hash: connections stay warm, and their number does not grow with the
        fleet.
        """
        return heapq.nsmallest(
            PEERS_PER_REGION, self._peers.of(region), key=lambda each: self._rank(each)
        )

    def _rank(self, peer: replicas_module.Replica) -> int:
        return zlib.crc32(f"{self._own_name}/{peer.entry.instance}".encode())

    async def warm(self) -> None:
        """
        Open connections to the usual instances ahead of need.

        The first batch on a new connection is a round trip late, which misses a goal of 135 ms.
        """
        now_s = asyncio.get_running_loop().time()
        for region in {self._region_of(each) for each in self._peers.all()} - {self._region}:
            for peer in self.usual_peers(region):
                if peer.set_aside(now_s) or peer.pool.open_count:
                    continue
                try:
                    await peer.pool.warm()
                except client.ConnectError as error:
                    peer.failed(now_s)
                    decisions.log(
                        "handover.not_connected", peer=peer.entry.instance, reason=str(error)
                    )

    def start(
        self, sender: obtaining.Sender, call: sending.Call, handed: Handed, answer_at_s: float
    ) -> None:
        """Send a batch."""
        loop = asyncio.get_running_loop()
        handed.outcomes = {shard: loop.create_future() for shard in handed.shards}
        task = sender.tasks.start(self._exchange(sender, call, handed, answer_at_s))
        call.sends.add(task)
        task.add_done_callback(call.sends.discard)
        sender.counters.add("handover.sent")
        sender.counters.add("handover.shards", len(handed.shards))

    async def _exchange(
        self, sender: obtaining.Sender, call: sending.Call, handed: Handed, answer_at_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        send = replicas_module.Send(loop.time(), self._alive_after_s(handed.peer.entry.service))
        handed.peer.sends.add(send)
        try:
            await self._sent(sender, call, handed, answer_at_s, send)
            handed.peer.succeeded(1.0, 1.0, loop.time())
        except (client.ConnectError, client.ExchangeError, handover_codec.MessageError) as error:
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
        region = handed.peer.entry.service
        async with asyncio.timeout(self._alive_after_s(region)) as limit:
            async with handed.peer.pool.connection(call.route.priority) as connection:
                send.began_s = now_s = loop.time()
                batch = _batch(call, handed.shards, now_s, answer_at_s, self.round_trip_ms(region))
                first_by_s = now_s + batch.answer_in_ms / 1000 + self._alive_after_s(region)

                def alive() -> None:
                    # From now on it is late only when it does not come back as asked.
                    limit.reschedule(min(first_by_s, call.deadline_s))
                    send.overdue_after_s = first_by_s - send.began_s

                def came_back(chunk: bytes) -> None:
                    answer = handover_codec.decode_answer(chunk, handed.shards)
                    if answer.first:
                        duration_ms = (loop.time() - now_s) * 1000
                        self._learn(region, duration_ms - answer.spent_ms)
                        sender.counters.time_ms("handover.total_ms", duration_ms)
                        # The rest are stragglers, which the peer waits for as long as the caller.
                        limit.reschedule(call.deadline_s)
                        send.overdue_after_s = call.deadline_s - send.began_s
                    handed.take(answer)

                limit.reschedule(now_s + self._alive_after_s(region))
                content = handover_codec.encode_batch(batch)
                request = client.request_bytes(b"POST", PATH, [(b"host", b"instance")], content)
                response = await connection.exchange(request, alive, came_back)
        if response.status != 200:
            raise handover_codec.MessageError(f"status {response.status}")
        if not all(outcome.done() for outcome in handed.outcomes.values()):
            raise handover_codec.MessageError("ended before every shard was told of")

    def _alive_after_s(self, region: str) -> float:
        return (ALIVE_FACTOR * self.round_trip_ms(region) + ALIVE_SLACK_MS) / 1000

    def _learn(self, region: str, round_trip_ms: float) -> None:
        known_ms = self.round_trip_ms(region)
        self._round_trips_ms[region] = known_ms + ROUND_TRIP_GAIN * (
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
    """Return what a batch brought for one of its shards; a direct send makes up for a lost one."""
    outcome = await asyncio.shield(handed.outcomes[shard])
    if outcome is None:
        return await obtaining.obtain(sender, call, shard, again=True)
    return outcome
