"""Failure detector: probes one peer per interval; probes and replies carry gossip (SWIM)."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing
from collections import abc

import aiohttp

from turmericlug.kernel import tasks
from turmericlug.membership import freshness as freshness_module
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.storage import eras as eras_module
from turmericlug.storage import instances
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import link as link_module
from turmericlug.wire import server as server_module

_INDIRECT_PROBES = 2
_RENEWAL_PROBES = 8
_RETRY_DEAD_INTERVALS = 5
_SLOW_POLL_FACTOR = 30
_DEAD_RETENTION_S = 30.0
_LIST_TIMEOUT_S = 1.0


class Detector:
    """Probe peers, track suspicions and gossip, at a cost that does not grow with the fleet."""

    def __init__(
        self,
        mesh: mesh_module.Mesh,
        freshness: freshness_module.Freshness,
        counters: counters_module.Counters,
        interval_ms: int,
        timeout_ms: int,
        suspicion_ms: int,
        eras: eras_module.Eras | None = None,
    ) -> None:
        self.mesh = mesh
        self.eras = eras or eras_module.Eras()
        self.members = mesh.members
        self.listed: dict[str, instances.ListedInstance] = {}
        self.is_store_reader: abc.Callable[[], bool] = lambda: True
        self.on_newer_revisions: abc.Callable[[str], None] = lambda instance: None
        self._freshness = freshness
        self._counters = counters
        self._interval_s = interval_ms / 1000
        self._timeout_s = timeout_ms / 1000
        self._suspicion_s = suspicion_ms / 1000
        self._suspect_since_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        self._probe_queue: list[str] = []
        self._tasks = tasks.Tasks()
        freshness.on_gap.append(self._on_gap)

    def stamp(self) -> dict[str, int]:
        """Return the revisions, evidence age, load and store era that each probe carries."""
        in_force = self._freshness.in_force
        return {
            "rulesRevision": in_force.rules,
            "catalogRevision": in_force.catalog,
            "evidenceAgeMs": self._freshness.age_ms(),
            "loadPermille": self.members.own.load_permille,
            "storeEra": self.eras.latest,
        }

    async def run(self) -> None:
        """Probe until cancelled."""
        count = 0
        while True:
            await asyncio.sleep(self._interval_s * random.uniform(0.9, 1.1))
            self._freshness.tick()
            self._expire_suspicions()
            peer = self._next_peer()
            if peer is not None:
                self._tasks.start(self._probe(peer))
            count += 1
            if count % _RETRY_DEAD_INTERVALS == 0:
                self._tasks.start(self._retry_listed())

    def _on_gap(self) -> None:
        events.emit("instance.resumed_after_gap", "warning")
        for member in self.members.peers()[:_RENEWAL_PROBES]:
            self._freshness.track_renewal(self._tasks.start(self._probe(member.instance)))

    def _next_peer(self) -> str | None:
        """Return the next peer of the probe set, in a new random order after each full pass."""
        while self._probe_queue:
            instance = self._probe_queue.pop()
            member = self.members.by_instance.get(instance)
            if member is not None and member.state != members_module.DEAD:
                return instance
        self._probe_queue = members_module.probe_set(
            self.members.own.instance, self.members.peers()
        )
        random.shuffle(self._probe_queue)
        return self._probe_queue.pop() if self._probe_queue else None

    async def _probe(self, instance: str) -> None:
        if await self._probe_once(instance, ""):
            return
        others = [member.instance for member in self.members.peers()]
        others = [name for name in others if name != instance]
        intermediaries = random.sample(others, min(_INDIRECT_PROBES, len(others)))
        if intermediaries:
            results = await asyncio.gather(
                *(self._probe_once(name, instance) for name in intermediaries)
            )
            if any(results):
                return
        if self.members.mark(instance, members_module.SUSPECT):
            self._counters.add("membership.suspected")
            events.emit("membership.suspected", peer=instance)
        if self.members.by_instance[instance].state != members_module.DEAD:
            self._suspect_since_s.setdefault(instance, time.monotonic())

    async def _probe_once(self, instance: str, indirect_peer: str) -> bool:
        link = self.mesh.link(instance)
        if link is None:
            return False
        return await self._send_probe(link, instance, indirect_peer)

    async def _send_probe(self, link: link_module.Link, instance: str, indirect_peer: str) -> bool:
        """Probe the link's peer, or ask it to probe ``indirect_peer`` if that is not empty."""
        requested_at_s = time.monotonic()

        def fill(envelope: typing.Any) -> None:
            probe = envelope.init("probe")
            probe.stamp = self.stamp()
            probe.about = indirect_peer
            probe.whole = self._wants_full_list(instance)
            updates = self.members.take_updates()
            known = self.members.by_instance.get(instance)
            if known is not None and known.state != members_module.ALIVE:
                # Include the suspicion of the probed instance, so that it can refute it.
                updates.append(known)
            probe.news = members_module.to_wire(updates)

        try:
            reply = await link.ask(fill, self._timeout_s * (2 if indirect_peer else 1))
        except link_module.LinkError:
            return False
        if reply.which() != "probeReply":
            return False
        self._merge_updates(reply.probeReply.news)
        self._record_stamp(link.peer, reply.probeReply.stamp, requested_at_s)
        if not indirect_peer:
            self._suspect_since_s.pop(instance, None)
        return bool(reply.probeReply.reached)

    async def announce_leaving(self) -> None:
        """
        Announce that this instance leaves, and wait until its peers should know.

        The peers that it probes are told directly and confirm it. A silent one is told until it is
        dead here; it finds the message in its socket when it resumes. The others of a larger fleet
        learn it by gossip within some rounds.
        """
        self.members.announce(state=members_module.LEAVING)
        peers = self.members.peers()
        untold = set(members_module.probe_set(self.members.own.instance, peers))
        rounds = members_module.gossip_rounds(len(peers) + 1, len(untold) + 1)
        gossip = asyncio.create_task(asyncio.sleep(rounds * self._interval_s))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._suspicion_s + self._timeout_s):
                while untold:
                    names = sorted(untold)
                    results = await asyncio.gather(
                        *(self._probe_once(name, "") for name in names), return_exceptions=True
                    )
                    untold = {
                        name
                        for name, result in zip(names, results, strict=True)
                        if result is not True and self.mesh.link(name) is not None
                    }
                    if untold:
                        await asyncio.sleep(self._timeout_s / 10)
        if untold:
            events.emit("instance.leaving_unconfirmed", "warning", peers=sorted(untold)[:8])
        await gossip

    def _wants_full_list(self, instance: str) -> bool:
        """Whether to ask for all members: few are known, or the peer is not known to serve."""
        known = self.members.by_instance.get(instance)
        return len(self.members.by_instance) <= 2 or known is None or not known.serving

    def _merge_updates(self, items: typing.Any) -> None:
        for member in members_module.from_wire(items):
            if member.incarnation > members_module.MAX_INCARNATION:
                self._counters.add("membership.unreadable")
                events.emit(
                    "membership.unreadable",
                    "warning",
                    member=member.instance,
                    field="incarnation",
                    limit=members_module.MAX_INCARNATION,
                )
                continue
            if not self.members.merge(member):
                self.members.refresh_load(member)
            elif member.state == members_module.ALIVE:
                self._suspect_since_s.pop(member.instance, None)
            elif member.state == members_module.SUSPECT:
                # Every instance that learns of a suspicion runs its own timeout, so that the
                # member is declared dead even if the instance that suspected it fails too.
                self._suspect_since_s.setdefault(member.instance, time.monotonic())

    def _record_stamp(self, peer: str, stamp: typing.Any, requested_at_s: float) -> None:
        self.eras.observe(stamp.storeEra)
        revisions = freshness_module.Revisions(stamp.rulesRevision, stamp.catalogRevision)
        self._freshness.record_peer_reply(requested_at_s, revisions, stamp.evidenceAgeMs)
        if not self._freshness.in_force.covers(revisions):
            self.on_newer_revisions(peer)

    def _expire_suspicions(self) -> None:
        now_s = time.monotonic()
        for instance, suspected_at_s in list(self._suspect_since_s.items()):
            member = self.members.by_instance.get(instance)
            if member is None or member.state in (members_module.ALIVE, members_module.DEAD):
                del self._suspect_since_s[instance]
            elif now_s - suspected_at_s > self._suspicion_s:
                del self._suspect_since_s[instance]
                self.members.mark(instance, members_module.DEAD)
                self._counters.add("membership.died")
                events.emit("membership.died", "warning", peer=instance)
        self._remove_dead(now_s)

    def _remove_dead(self, now_s: float) -> None:
        """
        Remove members that have been dead for the retention time and are no longer listed.

        If they were removed at once, outdated gossip from a peer that has not learned of the death
        would add them again as alive.
        """
        for instance, member in list(self.members.by_instance.items()):
            if member.state != members_module.DEAD:
                self._dead_since_s.pop(instance, None)
            elif now_s - self._dead_since_s.setdefault(instance, now_s) > _DEAD_RETENTION_S:
                if instance not in self.listed:
                    self.members.remove(instance)
                    del self._dead_since_s[instance]

    async def _retry_listed(self) -> None:
        """Probe one listed instance that is dead or unknown here, to rejoin after a partition."""
        missing = [
            entry
            for name, entry in self.listed.items()
            if name != self.members.own.instance
            and (
                name not in self.members.by_instance
                or self.members.by_instance[name].state == members_module.DEAD
            )
        ]
        if missing:
            entry = random.choice(missing)
            async with self.mesh.temporary_link((entry.host, entry.port)) as link:
                await self._send_probe(link, entry.instance, "")

    def on_probe(self, request: server_module.Request) -> typing.Any:
        """Reply to a probe, or probe an instance for a peer that cannot reach it."""
        probe = request.message.probe
        self._merge_updates(probe.news)
        self.eras.observe(probe.stamp.storeEra)
        revisions = freshness_module.Revisions(
            probe.stamp.rulesRevision, probe.stamp.catalogRevision
        )
        if not self._freshness.in_force.covers(revisions):
            self.on_newer_revisions(request.peer)
        if probe.about:
            return self._probe_indirectly(request, probe.about)
        self._reply(request, True, probe.whole)
        return None

    async def _probe_indirectly(self, request: server_module.Request, instance: str) -> None:
        self._reply(request, await self._probe_once(instance, ""), False)

    def _reply(self, request: server_module.Request, reached: bool, full_list: bool) -> None:
        def fill(envelope: typing.Any) -> None:
            reply = envelope.init("probeReply")
            reply.stamp = self.stamp()
            reply.reached = reached
            updates = (
                list(self.members.by_instance.values())
                if full_list
                else self.members.take_updates()
            )
            reply.news = members_module.to_wire(updates)

        request.reply(fill)

    def on_ping(self, request: server_module.Request) -> None:
        """Reply to a ping, which only checks that this process runs."""

        def fill(envelope: typing.Any) -> None:
            envelope.init("pong")

        request.reply(fill)

    async def join(self, wait_s: float) -> None:
        """Contact a listed peer before serving, for at most ``wait_s``."""
        deadline_s = time.monotonic() + wait_s
        while self.listed and time.monotonic() < deadline_s:
            if self.members.peers() or set(self.listed) <= {self.members.own.instance}:
                return
            await self._retry_listed()

    async def poll_list(self, session: aiohttp.ClientSession, url: str, poll_s: float) -> None:
        """
        Poll the platform's list of instances until cancelled.

        Only instances that read the store or have no peers yet poll it at the full rate. The others
        learn of new instances by gossip and poll rarely: each response lists the whole fleet, so
        the platform's load would otherwise grow with the square of the fleet's size.
        """
        while True:
            with contextlib.suppress(instances.InstancesError):
                await self.read_list(session, url)
            full_rate = self.is_store_reader() or not self.members.peers()
            await asyncio.sleep(
                poll_s * (1 if full_rate else _SLOW_POLL_FACTOR) * random.uniform(0.9, 1.1)
            )

    async def read_list(self, session: aiohttp.ClientSession, url: str) -> None:
        """
        Read the platform's list of instances once.

        :raises instances.InstancesError: the platform does not answer
        """
        entries = await instances.read(session, url, instances.OWN_SERVICE, _LIST_TIMEOUT_S)
        self.listed = {entry.instance: entry for entry in entries if not entry.leaving}

    async def close(self) -> None:
        """Cancel the probes in flight."""
        await self._tasks.close()
