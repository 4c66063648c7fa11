"""Owner role of a daemon: the queues of its services and their replicas."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
import random
import time
from collections import abc

import aiohttp

from turmericlug.config import settings as settings_module
from turmericlug.kernel import failures
from turmericlug.kernel import tasks
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.owner import part as part_module
from turmericlug.owner import replica as replica_module
from turmericlug.owner import reply_budget
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
_UNOWNED_IDLE_S = 2.0
_PARTS_PER_ITERATION = 16
_MAX_DRAINING_TARGETS = 10_000
"""Targets that are remembered as draining: a day of restarts of the largest deployment."""
_MAX_TARGET_NAME_LENGTH = 512


OnReplies = abc.Callable[[list[part_module.PartReply]], None]


class Owner:
    """Queues by service, opened when a service is first owned or requested."""

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        mesh: mesh_module.Mesh,
        session: aiohttp.ClientSession,
        counters: counters_module.Counters,
    ) -> None:
        self.queues: dict[str, service_queue.ServiceQueue] = {}
        self.draining = False
        self.replies = reply_budget.of_memory(settings.limits.replies_mb)
        self._settings = settings
        self._config = config
        self._mesh = mesh
        self._session = session
        self._counters = counters
        self._rng = random.Random(settings.instance.name)
        self._queue_stacks: dict[str, contextlib.AsyncExitStack] = {}
        self._unowned_since_s: dict[str, float] = {}
        self._open_tasks: dict[str, asyncio.Task[service_queue.ServiceQueue]] = {}
        self._generations: dict[str, int] = {}
        self._draining_targets: collections.OrderedDict[str, str] = collections.OrderedDict()
        """How each was found to be draining, by name and generation; the latest ones."""
        # Cached: ranking all instances for each of 500 parts costs more than the rest of a query.
        self._rankings: dict[str, list[members_module.Member]] = {}
        self._rankings_version = (-1, -1)
        self._tasks = tasks.Tasks()
        self.suspects = suspects_module.Suspects(
            counters, self._broadcast_suspects, lambda: gossip.must_forward(len(self._peer_names()))
        )

    def ranking(
        self, service: str, joining: tuple[members_module.Member, ...] = ()
    ) -> list[members_module.Member]:
        """Rank the instances that may own a service, the owner first."""
        # The data centre comes from the catalogue, not from the local instance list: with different
        # lists, instances would rank differently and disagree on the owner.
        catalog_entry = self._config.catalog.services.get(service)
        data_centre = catalog_entry.data_centre if catalog_entry else ""
        members = self._mesh.members
        if joining:
            return members_module.rank_owners(service, data_centre, [*members.serving(), *joining])
        version = (members.version, self._config.catalog_revision)
        if version != self._rankings_version:
            self._rankings.clear()
            self._rankings_version = version
        if service not in self._rankings:
            self._rankings[service] = members_module.rank_owners(
                service, data_centre, members.serving()
            )
        return self._rankings[service]

    def owns(self, service: str, joining: tuple[members_module.Member, ...] = ()) -> bool:
        """Whether this instance is the first in a service's ranking."""
        ranking = self.ranking(service, joining)
        return bool(ranking) and ranking[0].instance == self._mesh.members.own.instance

    def submit(
        self, parts_request: submission.PartsRequest, on_replies: OnReplies
    ) -> abc.Callable[[], None]:
        """
        Submit parts; the replies of one event loop iteration are delivered in one batch.

        :returns: a function that cancels the unfinished parts
        """
        deadline_s = time.monotonic() + parts_request.remaining_s
        batch: list[part_module.PartReply] = []

        def flush() -> None:
            replies = batch[:]
            batch.clear()
            on_replies(replies)

        def reply(part_reply: part_module.PartReply) -> None:
            if not batch:
                asyncio.get_running_loop().call_soon(flush)
            batch.append(part_reply)

        pending = submission.PendingParts(parts_request, deadline_s, reply)
        self._submit_next(pending)
        return pending.cancel

    def _submit_next(self, pending: submission.PendingParts) -> None:
        """
        Submit a few parts, and the next ones in the next iteration of the event loop.

        Each part starts an attempt. Five hundred in one iteration block the event loop for longer
        than the peers' silence limit, so pings go unanswered and the peers move the parts to other
        owners.
        """
        for _ in range(_PARTS_PER_ITERATION):
            if pending.cancelled or not pending.unsubmitted:
                return
            number, service, shard = pending.unsubmitted.popleft()
            part = self._make_part(pending, number, shard)
            queue = self.queues.get(service)
            if self.draining:
                self._counters.add("owner.part.refused.owner_leaving")
                part.reply(part_module.PartReply(number, part_module.REFUSED, "owner_leaving"))
            elif queue is None:
                self._tasks.start(self._submit_after_open(service, part, pending))
            else:
                pending.submitted.append((queue, part))
                queue.submit(part)
        asyncio.get_running_loop().call_soon(self._submit_next, pending)

    def _make_part(
        self, pending: submission.PendingParts, number: int, shard: str
    ) -> part_module.Part:
        parameters = pending.parts_request.parameters
        return part_module.Part(
            number=number,
            shard=shard,
            snapshot=pending.parts_request.snapshot,
            caller=parameters.caller,
            priority=parameters.priority,
            deadline_s=pending.deadline_s,
            repeatable=parameters.repeatable,
            hedge=parameters.hedge,
            retries=parameters.retries,
            body=parameters.body,
            reply=pending.reply,
            attempt_id_prefix=f"{parameters.query_id}.{number}.{self._settings.instance.name}",
            fingerprint=pending.fingerprint,
        )

    async def _submit_after_open(
        self, service: str, part: part_module.Part, pending: submission.PendingParts
    ) -> None:
        """Open the queue of a service not owned here, as when the coordinator's view differs."""
        queue = await self._get_queue(service)
        if not pending.cancelled:
            pending.submitted.append((queue, part))
            queue.submit(part)

    async def _get_queue(self, service: str) -> service_queue.ServiceQueue:
        """Return a service's queue; concurrent requests open it once."""
        if service not in self._open_tasks:
            self._open_tasks[service] = self._tasks.start(self._open_queue(service))
        opening = self._open_tasks[service]
        try:
            return await asyncio.shield(opening)
        except Exception:
            # The next part tries again.
            if self._open_tasks.get(service) is opening:
                del self._open_tasks[service]
            raise

    async def _open_queue(self, service: str) -> service_queue.ServiceQueue:
        catalog_entry = self._config.catalog.services.get(service)
        connections = catalog_entry.connections if catalog_entry else 2
        # While instance lists differ, a service may have two owners: each uses half of these.
        async with contextlib.AsyncExitStack() as opened:
            client = await opened.enter_async_context(
                target.connected(connections // 2, self._counters, self.replies.share(service))
            )
            queue = self._new_queue(service, client)
            await self._refresh_replicas(service, queue, client)
            await opened.enter_async_context(
                tasks.background(self._poll_replicas(service, queue, client))
            )
            opened.push_async_callback(queue.close)
            self._queue_stacks[service] = opened.pop_all()
        self.queues[service] = queue
        return queue

    def _new_queue(self, service: str, client: target.Client) -> service_queue.ServiceQueue:
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
        queue.on_draining = lambda instance: self._notify_draining(service, instance)
        queue.may_receive = self.replies.share(service).may_receive
        return queue

    async def _poll_replicas(
        self, service: str, queue: service_queue.ServiceQueue, client: target.Client
    ) -> None:
        """Refresh and health-check the replicas of one service until cancelled."""
        period_s = self._settings.platform.instances_poll_ms / 1000
        while True:
            await asyncio.sleep(period_s * self._rng.uniform(0.9, 1.1))
            try:
                await self._refresh_replicas(service, queue, client)
                await asyncio.gather(
                    *(self._check_health(client, replica) for replica in queue.replicas.values())
                )
                queue.start_attempts()
            except Exception as error:
                failures.report(error)

    async def _refresh_replicas(
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
            return  # what is known from own attempts is better than nothing
        catalog_entry = self._config.catalog.services.get(service)
        warm_ups = []
        for entry in listed:
            if self._generations.get(entry.instance) != entry.generation:
                replica = self._new_replica(entry, catalog_entry.slots if catalog_entry else 1)
                queue.replicas[entry.instance] = replica
                if not replica.draining_reason:
                    warm_ups.append(client.warm(replica.address, int(replica.max_limit), 1.0))
            if entry.leaving:
                queue.mark_draining(entry.instance, replica_module.LISTED_AS_LEAVING)
        listed_names = {entry.instance for entry in listed}
        for instance in [name for name in queue.replicas if name not in listed_names]:
            if not queue.replicas[instance].in_flight:
                del queue.replicas[instance]
                self._generations.pop(instance, None)
        await asyncio.gather(*warm_ups)

    def _new_replica(self, entry: instances.ListedInstance, slots: int) -> replica_module.Replica:
        self._generations[entry.instance] = entry.generation
        replica = replica_module.Replica(
            entry.instance,
            f"http://{entry.host}:{entry.port}",
            entry.data_centre,
            float(slots),
            generation=entry.generation,
        )
        target_name = f"{entry.instance}#{entry.generation}"
        replica.draining_reason = self._draining_targets.get(target_name, "")
        return replica

    async def _check_health(self, client: target.Client, replica: replica_module.Replica) -> None:
        """Mark a replica as suspected if its health check is not ok; only an answer clears that."""
        state = await client.health(replica.address, _HEALTH_TIMEOUT_S)
        if state != "ok" and not replica.suspected:
            replica.suspected = True

    def _notify_draining(self, service: str, instance: str) -> None:
        """
        Remember that a target is draining, and notify the next owners of the service.

        The platform's list lags: an owner that takes over meanwhile, or this one if it loses the
        service and gets it back, would send it parts again.
        """
        events.emit("target.leaving", target=instance, service=service)
        target_name = f"{instance}#{self._generations.get(instance, 0)}"
        self._remember_draining(target_name, "found_here")
        for member in self.ranking(service)[: _STANDBY_OWNERS + 1]:
            link = self._mesh.link(member.instance)
            if link is not None and member.instance != self._mesh.members.own.instance:
                link.send_one_way(lambda envelope: setattr(envelope, "targetLeaving", target_name))

    def _remember_draining(self, target_name: str, reason: str) -> None:
        self._draining_targets[target_name[:_MAX_TARGET_NAME_LENGTH]] = reason
        self._draining_targets.move_to_end(target_name[:_MAX_TARGET_NAME_LENGTH])
        while len(self._draining_targets) > _MAX_DRAINING_TARGETS:
            self._draining_targets.popitem(last=False)

    def _peer_names(self) -> list[str]:
        own_name = self._mesh.members.own.instance
        names = (member.instance for member in self._mesh.members.serving())
        return [name for name in names if name != own_name]

    def _broadcast_suspects(self, message: bytes) -> None:
        for name in gossip.recipients(self._peer_names(), self._rng):
            link = self._mesh.link(name)
            if link is not None:
                link.send_one_way(lambda envelope: setattr(envelope, "suspects", message))

    def on_suspects(self, request: server_module.Request) -> None:
        """Merge the suspected requests reported by a peer."""
        correction = self.suspects.merge_message(request.message.suspects)
        link = self._mesh.link(request.peer)
        if correction is not None and link is not None:
            link.send_one_way(lambda envelope: setattr(envelope, "suspects", correction))

    def on_target_leaving(self, request: server_module.Request) -> None:
        """Mark a target as draining when another owner reports it."""
        target_name = request.message.targetLeaving
        if target_name not in self._draining_targets:
            self._remember_draining(target_name, "told_by_peer")
        instance, _, generation = target_name.rpartition("#")
        for queue in self.queues.values():
            replica = queue.replicas.get(instance)
            if replica is not None and str(self._generations.get(instance, 0)) == generation:
                replica.draining_reason = "told_by_peer"

    def on_parts(self, request: server_module.Request) -> None:
        """Handle parts submitted by a coordinator on another instance."""
        parts_request = submission.decode_parts(request.message.parts)

        def on_replies(replies: list[part_module.PartReply]) -> None:
            for batch in submission.in_frames(replies):
                encode = functools.partial(
                    submission.encode_replies,
                    query_id=parts_request.parameters.query_id,
                    replies=batch,
                )
                request.reply(encode)

        if self._config.freshness.tick():
            # This process was suspended. The remaining time in the request dates from before, so
            # the parts may have expired. They are refused, and the coordinator picks another owner.
            on_replies(
                [
                    part_module.PartReply(number, part_module.REFUSED, "resumed_after_gap")
                    for number, _, _ in parts_request.parts
                ]
            )
            return
        request.on_cancel = self.submit(parts_request, on_replies)

    async def run(self) -> None:
        """Open the queues of owned services in advance, and close those no longer owned."""
        while True:
            await self.open_owned()
            await self._close_unowned_queues()
            self.suspects.expire()
            await asyncio.sleep(0.5)

    async def _close_unowned_queues(self) -> None:
        """
        Close the queues and connections of services that moved to another owner.

        If every instance that once owned a service kept its connections, they would add up to more
        than its replicas accept, and those of the current owner would be refused.
        """
        now_s = time.monotonic()
        for service, queue in list(self.queues.items()):
            if self.owns(service) or queue.queued() or queue.in_flight():
                self._unowned_since_s.pop(service, None)
            elif now_s - self._unowned_since_s.setdefault(service, now_s) > _UNOWNED_IDLE_S:
                await self._close_queue(service)

    async def _close_queue(self, service: str) -> None:
        self._unowned_since_s.pop(service, None)
        self._open_tasks.pop(service, None)
        queue = self.queues.pop(service)
        for instance in queue.replicas:
            self._generations.pop(instance, None)
        await self._queue_stacks.pop(service).aclose()

    async def open_owned(self, joining: bool = False) -> None:
        """
        Open the queues of the owned services, with their connections.

        :param joining: rank as if this instance were ready, to connect before the first part
        """
        own = self._mesh.members.own
        openings = []
        for service in self._config.catalog.services:
            if service not in self._open_tasks and self.owns(service, (own,) if joining else ()):
                openings.append(self._get_queue(service))
        await asyncio.gather(*openings)

    def drain(self) -> None:
        """Refuse new parts and the queued ones, so that coordinators submit them elsewhere."""
        self.draining = True
        for queue in self.queues.values():
            queue.refuse_queued()

    def in_flight(self) -> int:
        """Return the number of attempts in flight in all queues."""
        return sum(queue.in_flight() for queue in self.queues.values())

    def load_permille(self) -> int:
        """Return queued parts and attempts in flight per slot, in thousandths."""
        slots = sum(queue.slots() for queue in self.queues.values())
        load = sum(queue.in_flight() + queue.queued() for queue in self.queues.values())
        return int(min(65535, 1000 * load / slots)) if slots else 0

    async def close(self) -> None:
        """Cancel running tasks and close the connections to targets."""
        await self._tasks.close()
        for service in list(self.queues):
            await self._close_queue(service)


@contextlib.asynccontextmanager
async def running(
    owner: Owner, role: contextlib.AbstractAsyncContextManager[tasks.Tasks]
) -> abc.AsyncIterator[None]:
    """
    Run the role until the end of the block.

    :param role: runs ``Owner.run`` in the background
    """
    try:
        async with role:
            yield
    finally:
        # Only now does no other task close queues or open new ones.
        await owner.close()
