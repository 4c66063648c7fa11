"""
Peer instances: which of them send to a shard's replicas, and the round-trip times to them.

Where instances are many, a shard's replicas in a data centre get requests from few instances only,
the shard's owners. The others hand their parts to one of the owners. Where machines are unlike, it
is chosen by its weight and by the load that it has reported (``policy/peer_load.py``).
"""

from __future__ import annotations

import asyncio
import collections
from collections import abc

import attrs

from turmericlug.direct import budget
from turmericlug.direct import peer_loads
from turmericlug.direct import placement
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.policy import capacity
from turmericlug.policy import peer_load
from turmericlug.policy import warm_up
from turmericlug.telemetry import decisions

PEERS_PER_DATA_CENTRE = 4
"""Enough to fail over when one is lost or slow; few enough to keep a connection open to each."""
MIN_SHARDS_PER_BATCH = 2
"""A single part sent directly transfers fewer bytes than a batch that holds only this part."""
DEFAULT_ROUND_TRIP_MS = 30.0
"""Assumed until a round trip to the data centre has been measured."""
ROUND_TRIP_WEIGHT = 0.2
"""Weight of a new measurement in the moving average."""


WeightsOf = abc.Callable[[abc.Iterable[str]], placement.Weights]
FirstReplicas = dict[str, replica_module.Replica]
"""The best replica of each shard that has one."""


@attrs.frozen
class Weighting:
    """What follows from the published capacities of all instances; by default all are alike."""

    weights_of: WeightsOf = lambda names: placement.EQUAL_WEIGHTS
    """Returns the weights of the named instances among each other."""
    capacity_of: abc.Callable[[str], float] = lambda name: capacity.DEFAULT
    own_share: abc.Callable[[], float | None] = lambda: None
    """Returns this instance's share of the capacity of all; ``None``: an equal one."""
    is_active: abc.Callable[[], bool] = lambda: False
    """Whether work goes to peers by weight and load."""


@attrs.frozen
class Assignment:
    """The shards of a query that are handed to one peer."""

    peer: replica_module.Replica
    shards: tuple[str, ...]


class Peers:
    """The peers of this instance, with caches that are derived from the list of instances."""

    def __init__(
        self,
        instances: replicas_module.Replicas,
        place: placement.Place,
        weighting: Weighting | None = None,
    ) -> None:
        """
        Create a view of the peers.

        :param instances: the peers; each is a replica of a service named after its data centre
        :param place: where this instance runs
        :param weighting: the capacities of all instances; ``None``: all are alike
        """
        self._instances = instances
        self._place = place
        self._weighting = weighting or Weighting()
        self.loads = peer_loads.PeerLoads(self._weighting.capacity_of)
        """The load that peers have reported."""
        self._round_trips_ms: dict[str, float] = {}
        self._owners: dict[str, list[list[str]]] = {}
        self._preferred: dict[bool, list[replica_module.Replica]] = {}

    def round_trip_ms(self, data_centre: str) -> float:
        """Return the moving average of round trips to the instances of a data centre."""
        return self._round_trips_ms.get(data_centre, DEFAULT_ROUND_TRIP_MS)

    def clear_owner_cache(self) -> None:
        """Discard the cached owners after an instance was added or removed."""
        self._owners.clear()
        self._preferred.clear()
        self.loads.retain(self._instances.instances())

    def _instance_names(self, data_centre: str) -> list[str]:
        names = [peer.entry.instance for peer in self._instances.of(data_centre)]
        return [*names, self._place.name] if data_centre == self._place.data_centre else names

    def owners(self, data_centre: str, shard: str) -> list[str]:
        """Return the owners of a shard in a data centre."""
        groups = self._owners_by_group(data_centre)
        return groups[placement.group_of(shard, len(groups))]

    def _owners_by_group(self, data_centre: str) -> list[list[str]]:
        if data_centre not in self._owners:
            names = self._instance_names(data_centre)
            weights = self._weighting.weights_of(names)
            self._owners[data_centre] = placement.owners_by_group(names, weights)
        return self._owners[data_centre]

    def cold_share(
        self, sender: sender_module.Sender, entry: routes.ReplicaEntry, rate_per_s: float
    ) -> warm_up.Share:
        """
        Return this instance's share of the request rate that a cold replica can take.

        Where a shard has owners, only the owners in the replica's data centre have a share.

        :param rate_per_s: the rate that the replica can take from all instances together
        """
        own = self._place.name
        phase = warm_up.phase_of(own, entry.instance)
        instances = sender.instance_count()
        if placement.all_send_directly(instances) or not sender.is_shard(entry.service):
            return warm_up.Share(rate_per_s, instances, phase)
        owners = self.owners(entry.data_centre, entry.service)
        return warm_up.Share(rate_per_s, len(owners) if own in owners else 0, phase)

    def sends_directly(self, sender: sender_module.Sender, shard: str) -> bool:
        """Whether this instance itself sends to a shard's replicas in its own data centre."""
        if placement.all_send_directly(sender.instance_count()):
            return True
        return self._place.name in self.owners(self._place.data_centre, shard)

    def slack_share(self, sender: sender_module.Sender, service: str) -> float:
        """Return this instance's share of the slack in a service's retry budget."""
        instances = sender.instance_count()
        if placement.all_send_directly(instances) or not sender.is_shard(service):
            return budget.slack_share(
                instances, owners=0, is_owner=False, capacity_share=self._weighting.own_share()
            )
        data_centres = {replica.entry.data_centre for replica in sender.replicas.of(service)}
        owners = [
            name for data_centre in data_centres for name in self.owners(data_centre, service)
        ]
        return budget.slack_share(
            instances,
            len(owners),
            self._place.name in owners,
            self._weighting.own_share(),
            self._weight_among_owners(service),
        )

    def _weight_among_owners(self, service: str) -> float:
        """
        Return this instance's weight as a multiple of the mean of the owners in its data centre.

        Parts go to a data centre for its replicas, whatever its instances can do, so that only its
        owners divide them by weight.
        """
        owners = self.owners(self._place.data_centre, service)
        weights = self._weighting.weights_of(owners)
        if self._place.name not in weights:
            return 1.0
        return weights[self._place.name] * len(weights) / sum(weights.values())

    def record_round_trip(self, data_centre: str, round_trip_ms: float) -> None:
        """Record a round trip to an instance of a data centre."""
        average_ms = self.round_trip_ms(data_centre)
        self._round_trips_ms[data_centre] = average_ms + ROUND_TRIP_WEIGHT * (
            max(round_trip_ms, 0.0) - average_ms
        )

    def plan(
        self,
        sender: sender_module.Sender,
        call: sending.Call,
        first_replicas: FirstReplicas,
        now_s: float,
    ) -> list[Assignment]:
        """Assign to peers the shards whose parts they send instead of this instance."""
        by_data_centre = self._choose_data_centres(sender, call.route, first_replicas, now_s)
        shards_have_owners = not placement.all_send_directly(sender.instance_count())
        assignments: list[Assignment] = []
        for data_centre, shards in by_data_centre.items():
            if shards_have_owners:
                assignments += self._assign_to_owners(
                    sender, data_centre, shards, call.route, now_s
                )
            elif data_centre != self._place.data_centre and len(shards) >= MIN_SHARDS_PER_BATCH:
                names = self._preferred_names(self._instance_names(data_centre))
                peer = self.choose(sender, data_centre, names, call.route, now_s)
                if peer is not None:
                    assignments.append(Assignment(peer, tuple(shards)))
        return assignments

    def _choose_data_centres(
        self,
        sender: sender_module.Sender,
        route: routes.Route,
        first_replicas: FirstReplicas,
        now_s: float,
    ) -> dict[str, list[str]]:
        """
        Choose the data centre to which the part of each shard goes; return the shards of each.

        It is the data centre of the shard's best replica. Among data centres at the same distance
        as few as possible are chosen, since a batch costs about as much as a single part.
        """
        chosen_shards: dict[str, list[str]] = {}
        candidates: dict[str, set[str]] = {}
        for shard, best in first_replicas.items():
            distance = self._place.distance(best.entry.data_centre)
            if distance == placement.SAME_DATA_CENTRE:
                chosen_shards.setdefault(best.entry.data_centre, []).append(shard)
                continue
            candidates[shard] = {best.entry.data_centre} | {
                replica.entry.data_centre
                for replica in sender.replicas.eligible(shard, route)
                if self._place.distance(replica.entry.data_centre) == distance
                and not (replica.is_set_aside(now_s) or replica.has_late_attempt(now_s))
            }
        while candidates:
            counts = collections.Counter(
                data_centre for data_centres in candidates.values() for data_centre in data_centres
            )
            chosen = min(
                counts,
                key=lambda data_centre: (
                    -counts[data_centre],
                    self.round_trip_ms(data_centre),
                    data_centre,
                ),
            )
            shards = [shard for shard, data_centres in candidates.items() if chosen in data_centres]
            chosen_shards[chosen] = shards
            for shard in shards:
                del candidates[shard]
        return chosen_shards

    def _assign_to_owners(
        self,
        sender: sender_module.Sender,
        data_centre: str,
        shards: list[str],
        route: routes.Route,
        now_s: float,
    ) -> list[Assignment]:
        by_owners: dict[tuple[str, ...], list[str]] = {}
        for shard in shards:
            owners = self.owners(data_centre, shard)
            if self._place.name not in owners:
                by_owners.setdefault(tuple(owners), []).append(shard)
        assignments = []
        for owners, owned in by_owners.items():
            peer = self.choose(sender, data_centre, owners, route, now_s)
            if peer is not None:
                assignments.append(Assignment(peer, tuple(owned)))
        return assignments

    def choose(
        self,
        sender: sender_module.Sender,
        data_centre: str,
        names: abc.Collection[str],
        route: routes.Route,
        now_s: float,
    ) -> replica_module.Replica | None:
        """
        Return the best of the named instances.

        :returns: ``None`` if there is none, or if the best is set aside or has a late attempt
        """
        if self._weighting.is_active():
            return self._choose_by_load(sender, data_centre, names, route, now_s)
        excluded = [
            peer for peer in self._instances.of(data_centre) if peer.entry.instance not in names
        ]
        peer = self._instances.choose(data_centre, route, excluded, now_s)
        if peer is None or peer.is_set_aside(now_s) or peer.has_late_attempt(now_s):
            return None
        return peer

    def _choose_by_load(
        self,
        sender: sender_module.Sender,
        data_centre: str,
        names: abc.Collection[str],
        route: routes.Route,
        now_s: float,
    ) -> replica_module.Replica | None:
        """Return one of the named instances by its weight and by the load that it has reported."""
        usable = {
            peer.entry.instance: peer
            for peer in self._instances.eligible(data_centre, route)
            if peer.entry.instance in names
            and not (peer.is_set_aside(now_s) or peer.has_late_attempt(now_s))
        }
        if not usable:
            return None
        weights = self._weighting.weights_of(usable)
        candidates = [
            peer_load.Candidate(
                name,
                weights[name] / (1 + replicas_module.FAILURE_FACTOR * peer.failure_rate),
                self.loads.get(name, now_s),
                on_trial=bool(peer.attempts) and self.loads.was_hot(name, now_s),
            )
            for name, peer in usable.items()
        ]
        chosen = peer_load.choose(candidates, sender.rng)
        if any(candidate.is_hot for candidate in candidates):
            sender.counters.add("handover.all_hot" if chosen.is_hot else "handover.passed_over")
        return usable[chosen.name]

    def is_hot(self, sender: sender_module.Sender, data_centre: str, now_s: float) -> bool | None:
        """Return whether most instances of a data centre are hot; ``None`` if that is not known."""
        if data_centre == self._place.data_centre:
            self.loads.record(self._place.name, sender.own_load(), now_s)
        signals = [self.loads.get(name, now_s) for name in self._instance_names(data_centre)]
        return peer_load.is_hot([signal for signal in signals if signal is not None])

    def preferred_peers(self, shards_have_owners: bool) -> list[replica_module.Replica]:
        """
        Return the peers that this instance hands batches to.

        They are a few fixed ones per data centre, so that connections stay in use and their number
        does not grow with the number of instances.

        :param shards_have_owners: whether instances are so many that each shard has owners
        """
        if shards_have_owners in self._preferred:
            return self._preferred[shards_have_owners]
        peers = self._preferred[shards_have_owners] = []
        for data_centre in {peer.entry.data_centre for peer in self._instances.all()}:
            names = self._instance_names(data_centre)
            if shards_have_owners:
                groups = self._owners_by_group(data_centre)
                preferred = {name for owners in groups for name in owners}
            elif data_centre == self._place.data_centre:
                continue
            else:
                preferred = set(self._preferred_names(names))
            peers += [
                peer for peer in self._instances.of(data_centre) if peer.entry.instance in preferred
            ]
        return peers

    def _preferred_names(self, names: abc.Collection[str]) -> list[str]:
        return placement.preferred(
            self._place.name, names, PEERS_PER_DATA_CENTRE, self._weighting.weights_of(names)
        )

    async def warm(self, shards_have_owners: bool) -> None:
        """
        Open connections to the preferred peers before they are needed.

        The first batch on a new connection takes an extra round trip, which is enough to miss a
        latency goal of 135 ms.

        :param shards_have_owners: whether instances are so many that each shard has owners
        """
        now_s = asyncio.get_running_loop().time()
        for peer in self.preferred_peers(shards_have_owners):
            if peer.is_set_aside(now_s) or peer.pool.open_count:
                continue
            try:
                await peer.pool.warm()
            except client.ConnectError as error:
                peer.record_failure(now_s)
                decisions.log("handover.not_connected", peer=peer.entry.instance, reason=str(error))
