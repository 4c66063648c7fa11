"""The owner's role of a daemon: the queues of its services and the replicas behind them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import abc

import aiohttp

from turmericlug.config import settings as settings_module
from turmericlug.kernel import tasks
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.owner import part as part_module
from turmericlug.owner import replica as replica_module
from turmericlug.owner import service_queue
from turmericlug.owner import submission
from turmericlug.owner import suspects as suspects_module
from turmericlug.owner import target
from turmericlug.policy import gossip
from turmericlug.rules import configuration
from turmericlug.storage import instances
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import server as server_module

_HEALTH_TIMEOUT_S = 0.5
_STANDBY_OWNERS = 2
_KEEP_UNOWNED_S = 2.0
_PARTS_PER_TURN = 16


OnReplies = abc.Callable[[list[part_module.PartReply]], None]


class Owner:
    """Queues by service, made when a service is first owned or asked for."""

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        mesh: mesh_module.Mesh,
        session: aiohttp.ClientSession,
        counters: counters_module.Counters,
    ) -> None:
        self.queues: dict[str, service_queue.ServiceQueue] = {}
        self.leaving = False
        self._settings = settings
        self._config = config
        self._mesh = mesh
        self._session = session
        self._counters = counters
        self._rng = random.Random(settings.instance.name)
        self._stacks: dict[str, contextlib.AsyncExitStack] = {}
        self._idle_since_s: dict[str, float] = {}
        self._opening: dict[str, asyncio.Task[service_queue.ServiceQueue]] = {}
        self._generations: dict[str, int] = {}
        self._known_leaving: set[str] = set()
        # Ranking all instances for each of 500 parts would cost more than the rest of a query.
        self._rankings: dict[str, list[members_module.Member]] = {}
        self._ranked_at = (-1, -1)
        self._tasks = tasks.Tasks()
        self.suspects = suspects_module.Suspects(
            counters, self._tell_suspects, lambda: gossip.must_forward(len(self._others()))
        )

    def ranking(
        self, service: str, joining: tuple[members_module.Member, ...] = ()
    ) -> list[members_module.Member]:
        """Rank the instances that may own a service, the owner first."""
        # The data centre comes from the catalogue, never from the instance list as this instance
        # happens to see it: instances would rank differently, and each have another owner.
        limits = self._config.catalog.services.get(service)
        centre = limits.data_centre if limits else ""
        members = self._mesh.members
        if joining:
            return members_module.rank_owners(service, centre, [*members.serving(), *joining])
        version = (members.version, self._config.catalog_revision)
        if version != self._ranked_at:
            self._rankings.clear()
            self._ranked_at = version
        if service not in self._rankings:
            self._rankings[service] = members_module.rank_owners(service, centre, members.serving())
        return self._rankings[service]

    def owns(self, service: str, joining: tuple[members_module.Member, ...] = ()) -> bool:
        """Whether this instance is the first in a service's ranking."""
        ranking = self.ranking(service, joining)
        return bool(ranking) and ranking[0].instance == self._mesh.members.own.instance

    def submit(self, parts_in: submission.PartsIn, on_replies: OnReplies) -> abc.Callable[[], None]:
        """
        Take parts; replies come in batches, those of one turn of the event loop together.

        :returns: gives up what is still open
        """
        deadline_s = time.monotonic() + parts_in.remaining_s
        batch: list[part_module.PartReply] = []

        def flush() -> None:
            replies = batch[:]
            batch.clear()
            on_replies(replies)

        def reply(part_reply: part_module.PartReply) -> None:
            if not batch:
                asyncio.get_running_loop().call_soon(flush)
            batch.append(part_reply)

        pending = submission.Pending(parts_in, deadline_s, reply)
        self._submit_some(pending)
        return pending.cancel

    def _submit_some(self, pending: submission.Pending) -> None:
        """
        Take a few parts, and the next few in the next turn of the event loop.

        Each part taken starts an attempt; five hundred in one turn keep the process from answering
        pings for longer than its peers' silence limit, and they move the parts elsewhere.
        """
        for _ in range(_PARTS_PER_TURN):
            if pending.cancelled or not pending.waiting:
                return
            number, service, shard = pending.waiting.popleft()
            part = self._part(pending, number, shard)
            queue = self.queues.get(service)
            if self.leaving:
                self._counters.add("owner.part.refused.owner_leaving")
                part.reply(part_module.PartReply(number, part_module.REFUSED, "owner_leaving"))
            elif queue is None:
                self._tasks.start(self._submit_later(service, part, pending))
            else:
                pending.made.append((queue, part))
                queue.submit(part)
        asyncio.get_running_loop().call_soon(self._submit_some, pending)

    def _part(self, pending: submission.Pending, number: int, shard: str) -> part_module.Part:
        terms = pending.parts_in.terms
        return part_module.Part(
            number=number,
            shard=shard,
            snapshot=pending.parts_in.snapshot,
            caller=terms.caller,
            priority=terms.priority,
            deadline_s=pending.deadline_s,
            repeatable=terms.repeatable,
            hedge=terms.hedge,
            retries=terms.retries,
            body=terms.body,
            reply=pending.reply,
            attempt_prefix=f"{terms.query_id}.{number}.{self._settings.instance.name}",
            fingerprint=pending.fingerprint,
        )

    async def _submit_later(
        self, service: str, part: part_module.Part, pending: submission.Pending
    ) -> None:
        """Open a service that we did not expect, as when the coordinator's view differs."""
        queue = await self._queue(service)
        if not pending.cancelled:
            pending.made.append((queue, part))
            queue.submit(part)

    async def _queue(self, service: str) -> service_queue.ServiceQueue:
        """Open a service's queue once, however many ask for it."""
        if service not in self._opening:
            self._opening[service] = self._tasks.start(self._open(service))
        return await asyncio.shield(self._opening[service])

    async def _open(self, service: str) -> service_queue.ServiceQueue:
        limits = self._config.catalog.services.get(service)
        connections = limits.connections if limits else 2
        # Under split views two instances own a service; each keeps to half the connections.
        stack = contextlib.AsyncExitStack()
        client = await stack.enter_async_context(target.connected(connections // 2, self._counters))
        policy = self._settings.policy
        queue = service_queue.ServiceQueue(
            service,
            client,
            self._counters,
            self._rng,
            policy.hedge_budget,
            policy.hedge_percentile,
            policy.retry_budget,
            self._settings.limits.queue_parts,
            policy.caller_share,
            self.suspects,
        )
        queue.on_leaving = lambda instance: self._tell_leaving(service, instance)
        await self._refresh(service, queue, client)
        await stack.enter_async_context(tasks.background(self._follow(service, queue, client)))
        stack.push_async_callback(queue.close)
        self._stacks[service] = stack
        self.queues[service] = queue
        return queue

    async def _follow(
        self, service: str, queue: service_queue.ServiceQueue, client: target.Client
    ) -> None:
        """Keep the replicas of one service up to date until cancelled."""
        period_s = self._settings.platform.instances_poll_ms / 1000
        while True:
            await asyncio.sleep(period_s * self._rng.uniform(0.9, 1.1))
            await self._refresh(service, queue, client)
            await asyncio.gather(
                *(self._check_health(client, each) for each in queue.replicas.values())
            )
            queue.pump()

    async def _refresh(
        self, service: str, queue: service_queue.ServiceQueue, client: target.Client
    ) -> None:
        try:
            listed = await instances.read(
                self._session,
                self._settings.platform.instances_url,
                service,
                max(self._settings.platform.instances_poll_ms / 1000, 0.5),
            )
        except instances.InstancesError:
            return  # what we know by our own attempts is newer than nothing
        limits = self._config.catalog.services.get(service)
        warmed = []
        for entry in listed:
            if self._generations.get(entry.instance) != entry.generation:
                replica = self._new_replica(entry, limits.slots if limits else 1)
                queue.replicas[entry.instance] = replica
                if not replica.leaving:
                    warmed.append(client.warm(replica.address, int(replica.ceiling), 1.0))
            if entry.leaving:
                queue.leave(entry.instance, replica_module.LISTED_DRAIN)
        present = {entry.instance for entry in listed}
        for instance in [name for name in queue.replicas if name not in present]:
            if not queue.replicas[instance].in_flight:
                del queue.replicas[instance]
                self._generations.pop(instance, None)
        await asyncio.gather(*warmed)

    def _new_replica(self, entry: instances.Listed, slots: int) -> replica_module.Replica:
        self._generations[entry.instance] = entry.generation
        replica = replica_module.Replica(
            entry.instance,
            f"http://{entry.host}:{entry.port}",
            entry.data_centre,
            float(slots),
            generation=entry.generation,
        )
        if f"{entry.instance}#{entry.generation}" in self._known_leaving:
            replica.leaving = "told_by_peer"
        return replica

    async def _check_health(self, client: target.Client, replica: replica_module.Replica) -> None:
        """Ask a replica for its own word, which adds suspicion and never takes any away."""
        state = await client.health(replica.address, _HEALTH_TIMEOUT_S)
        if state != "ok" and not replica.suspected:
            replica.suspected = True

    def _tell_leaving(self, service: str, instance: str) -> None:
        """
        Tell the next owners of the service that a target takes no new work.

        The platform's list lags: an owner that takes over meanwhile would send it work again.
        """
        events.emit("target.leaving", target=instance, service=service)
        name = f"{instance}#{self._generations.get(instance, 0)}"
        for member in self.ranking(service)[: _STANDBY_OWNERS + 1]:
            link = self._mesh.link(member.instance)
            if link is not None and member.instance != self._mesh.members.own.instance:
                link.send_one_way(lambda envelope: setattr(envelope, "targetLeaving", name))

    def _others(self) -> list[str]:
        own = self._mesh.members.own.instance
        names = (member.instance for member in self._mesh.members.serving())
        return [name for name in names if name != own]

    def _tell_suspects(self, content: bytes) -> None:
        for name in gossip.recipients(self._others(), self._rng):
            link = self._mesh.link(name)
            if link is not None:
                link.send_one_way(lambda envelope: setattr(envelope, "suspects", content))

    def on_suspects(self, request: server_module.Request) -> None:
        """Take over under which requests targets of others have ended."""
        answer = self.suspects.merge_message(request.message.suspects)
        link = self._mesh.link(request.peer)
        if answer is not None and link is not None:
            link.send_one_way(lambda envelope: setattr(envelope, "suspects", answer))

    def on_target_leaving(self, request: server_module.Request) -> None:
        """Note what another owner found out."""
        name = request.message.targetLeaving
        self._known_leaving.add(name)
        instance, _, generation = name.rpartition("#")
        for queue in self.queues.values():
            replica = queue.replicas.get(instance)
            if replica is not None and str(self._generations.get(instance, 0)) == generation:
                replica.leaving = "told_by_peer"

    def on_parts(self, request: server_module.Request) -> None:
        """Serve a coordinator on another instance."""
        parts_in = submission.decode(request.message.parts)

        def on_replies(replies: list[part_module.PartReply]) -> None:
            request.reply(
                lambda envelope: submission.fill_replies(envelope, parts_in.terms.query_id, replies)
            )

        if self._config.freshness.tick():
            # We were frozen: the time that remains was counted from before, so that nobody may
            # wait for these parts any more. Refused, they go where the coordinator likes.
            on_replies(
                [
                    part_module.PartReply(number, part_module.REFUSED, "resumed_after_gap")
                    for number, _, _ in parts_in.parts
                ]
            )
            return
        request.cancelled = self.submit(parts_in, on_replies)

    async def run(self) -> None:
        """Open the queues of the services that this instance owns before they are needed."""
        while True:
            await self.open_owned()
            await self._close_unowned()
            self.suspects.expire()
            await asyncio.sleep(0.5)

    async def _close_unowned(self) -> None:
        """
        Give up the connections of services that moved to another owner.

        Kept open, those of every instance that once owned a service would add up beyond what its
        replicas accept, and the present owner's would be refused.
        """
        now_s = time.monotonic()
        for service, queue in list(self.queues.items()):
            if self.owns(service) or queue.queued() or queue.in_flight():
                self._idle_since_s.pop(service, None)
            elif now_s - self._idle_since_s.setdefault(service, now_s) > _KEEP_UNOWNED_S:
                await self._close(service)

    async def _close(self, service: str) -> None:
        self._idle_since_s.pop(service, None)
        self._opening.pop(service, None)
        queue = self.queues.pop(service)
        for instance in queue.replicas:
            self._generations.pop(instance, None)
        await self._stacks.pop(service).aclose()

    async def open_owned(self, joining: bool = False) -> None:
        """
        Open, and so warm, what we own now.

        :param joining: rank as if we were ready already, to be warm before the first part comes
        """
        own = self._mesh.members.own
        missing = []
        for service in self._config.catalog.services:
            if service not in self._opening and self.owns(service, (own,) if joining else ()):
                missing.append(self._queue(service))
        await asyncio.gather(*missing)

    def hand_over(self) -> None:
        """Take no new parts and give the queued ones back to their coordinators."""
        self.leaving = True
        for queue in self.queues.values():
            queue.give_back()

    def in_flight(self) -> int:
        """Return the attempts under way in all queues."""
        return sum(queue.in_flight() for queue in self.queues.values())

    def load_permille(self) -> int:
        """Return how full our slots are, queues included."""
        slots = sum(queue.slots() for queue in self.queues.values())
        work = sum(queue.in_flight() + queue.queued() for queue in self.queues.values())
        return int(min(65535, 1000 * work / slots)) if slots else 0

    async def close(self) -> None:
        """End what runs and close the connections to targets."""
        await self._tasks.close()
        for service in list(self.queues):
            await self._close(service)
