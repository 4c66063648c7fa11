"""
The other instances: which of them sends to a shard's replicas, and how they have answered so far.
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc

import attrs

from turmericlug.direct import budget
from turmericlug.direct import placement
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.policy import warm_up
from turmericlug.telemetry import decisions

PEERS_PER_DATA_CENTRE = 4
"""Enough that one that is lost or slow leaves others; few enough to keep a connection to each."""
LEAST_SHARDS = 2
"""One part alone costs less bytes on its own than in a batch."""
ROUND_TRIP_GUESS_MS = 30.0
ROUND_TRIP_GAIN = 0.2


FirstChoices = dict[str, replica_module.Replica]
"""The best replica of each shard that has one."""


@attrs.frozen
class Group:
    """Shards of one query that one instance is to send to."""

    peer: replica_module.Replica
    shards: tuple[str, ...]


class Peers:
    """The other instances, with what is worked out from who is there."""

    def __init__(self, instances: replicas_module.Replicas, place: placement.Place) -> None:
        """
        Make the view of the other instances.

        :param instances: each as a replica of a service named like its data centre
        """
        self._instances = instances
        self._place = place
        self._round_trips_ms: dict[str, float] = {}
        self._owners: dict[str, list[list[str]]] = {}
        self._usual: dict[bool, list[replica_module.Replica]] = {}

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the recent round trip to the instances of a data centre."""
        return self._round_trips_ms.get(data_centre, ROUND_TRIP_GUESS_MS)

    def clear_owner_cache(self) -> None:
        """Work out anew who owns what: instances have come or gone."""
        self._owners.clear()
        self._usual.clear()

    def _names(self, data_centre: str) -> list[str]:
        names = [each.entry.instance for each in self._instances.of(data_centre)]
        return [*names, self._place.name] if data_centre == self._place.data_centre else names

    def owners(self, data_centre: str, shard: str) -> list[str]:
        """Return the instances that send to a shard's replicas in a data centre."""
        if data_centre not in self._owners:
            self._owners[data_centre] = placement.owners_by_group(self._names(data_centre))
        groups = self._owners[data_centre]
        return groups[placement.group_of(shard, len(groups))]

    def cold_share(
        self, sender: sender_module.Sender, entry: routes.ReplicaEntry, rate_per_s: float
    ) -> warm_up.Share:
        """
        Return this instance's part of what a cold replica bears.

        Where a shard has owners, only those in the replica's data centre have one.
        """
        own = self._place.name
        phase = warm_up.phase_of(own, entry.instance)
        instances = sender.instances()
        if placement.all_send_directly(instances) or not sender.is_shard(entry.service):
            return warm_up.Share(rate_per_s, instances, phase)
        owners = self.owners(entry.data_centre, entry.service)
        return warm_up.Share(rate_per_s, len(owners) if own in owners else 0, phase)

    def sends_directly(self, sender: sender_module.Sender, shard: str) -> bool:
        """Whether this instance is to send to a shard's replicas in its own data centre."""
        if placement.all_send_directly(sender.instances()):
            return True
        return self._place.name in self.owners(self._place.data_centre, shard)

    def slack_share(self, sender: sender_module.Sender, service: str) -> float:
        """Return this instance's part of the extra sends that a service may get."""
        instances = sender.instances()
        if placement.all_send_directly(instances) or not sender.is_shard(service):
            return budget.slack_share(instances, owners=0, is_owner=False)
        data_centres = {each.entry.data_centre for each in sender.replicas.of(service)}
        owners = [name for each in data_centres for name in self.owners(each, service)]
        return budget.slack_share(instances, len(owners), self._place.name in owners)

    def record_round_trip(self, data_centre: str, round_trip_ms: float) -> None:
        """Take note of a round trip to an instance of a data centre."""
        known_ms = self.round_trip_ms(data_centre)
        self._round_trips_ms[data_centre] = known_ms + ROUND_TRIP_GAIN * (
            max(round_trip_ms, 0.0) - known_ms
        )

    def plan(
        self, sender: sender_module.Sender, call: sending.Call, first: FirstChoices, now_s: float
    ) -> list[Group]:
        """Group the shards that others should send to by the instance that is to do it."""
        by_place = self._places(sender, call.route, first, now_s)
        shared = not placement.all_send_directly(sender.instances())
        groups: list[Group] = []
        for data_centre, shards in by_place.items():
            if shared:
                groups += self._to_owners(data_centre, shards, call.route, now_s)
            elif data_centre != self._place.data_centre and len(shards) >= LEAST_SHARDS:
                names = placement.preferred(
                    self._place.name, self._names(data_centre), PEERS_PER_DATA_CENTRE
                )
                peer = self.choose(data_centre, names, call.route, now_s)
                if peer is not None:
                    groups.append(Group(peer, tuple(shards)))
        return groups

    def _places(
        self,
        sender: sender_module.Sender,
        route: routes.Route,
        first: FirstChoices,
        now_s: float,
    ) -> dict[str, list[str]]:
        """
        Choose the data centre in which each shard is asked.

        That of its best replica; of those that are equally far, as few as possible, since a batch
        costs about as much as a part by itself.
        """
        places: dict[str, list[str]] = {}
        open_choice: dict[str, set[str]] = {}
        for shard, best in first.items():
            distance = self._place.distance(best.entry.data_centre)
            if distance == placement.SAME_DATA_CENTRE:
                places.setdefault(best.entry.data_centre, []).append(shard)
                continue
            open_choice[shard] = {best.entry.data_centre} | {
                each.entry.data_centre
                for each in sender.replicas.eligible(shard, route)
                if self._place.distance(each.entry.data_centre) == distance
                and not (each.set_aside(now_s) or each.overdue(now_s))
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
    ) -> list[Group]:
        by_owners: dict[tuple[str, ...], list[str]] = {}
        for shard in shards:
            owners = self.owners(data_centre, shard)
            if self._place.name not in owners:
                by_owners.setdefault(tuple(owners), []).append(shard)
        groups = []
        for owners, owned in by_owners.items():
            peer = self.choose(data_centre, owners, route, now_s)
            if peer is not None:
                groups.append(Group(peer, tuple(owned)))
        return groups

    def choose(
        self, data_centre: str, names: abc.Collection[str], route: routes.Route, now_s: float
    ) -> replica_module.Replica | None:
        """Pick the best of some instances; none when that one is set aside or late itself."""
        others = [
            each for each in self._instances.of(data_centre) if each.entry.instance not in names
        ]
        peer = self._instances.choose(data_centre, route, others, now_s)
        if peer is None or peer.set_aside(now_s) or peer.overdue(now_s):
            return None
        return peer

    def usual_peers(self, shared: bool) -> list[replica_module.Replica]:
        """
        Return the instances that this one hands batches to.

        A fixed few of each data centre, so that connections stay warm and their number does not
        grow with the fleet.
        """
        if shared in self._usual:
            return self._usual[shared]
        found = self._usual[shared] = []
        for data_centre in {each.entry.data_centre for each in self._instances.all()}:
            names = self._names(data_centre)
            if shared:
                usual = {name for owners in placement.owners_by_group(names) for name in owners}
            elif data_centre == self._place.data_centre:
                continue
            else:
                usual = set(placement.preferred(self._place.name, names, PEERS_PER_DATA_CENTRE))
            found += [
                each for each in self._instances.of(data_centre) if each.entry.instance in usual
            ]
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
                peer.record_failure(now_s)
                decisions.log("handover.not_connected", peer=peer.entry.instance, reason=str(error))
