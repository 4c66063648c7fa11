"""
Which instances send to a replica: pure functions of the lists of instances and shards.

They are made for many instances that each get few queries over many shards. If each instance
sent to every replica, connections would be idle for too long to be kept open, and replicas would
run out of connections. So where instances are many, only two instances of a data centre, the
owners, send to a shard's replicas there. The owners' connections stay open, and the work of a query
is spread over several instances.

Where machines are unlike, a query is as slow as the smallest owner that sends a part of it. Groups
and preferred instances are then placed by weights, which all instances derive from the published
capacities (``policy/capacity.py``); equal weights give the same placement as none.
"""

from __future__ import annotations

import collections
import functools
import heapq
import math
import types
import zlib
from collections import abc

import attrs

SAME_DATA_CENTRE, SAME_REGION, OTHER_REGION = 0, 1, 2
MAX_DIRECT_SENDERS = 12
"""Up to this number of instances each sends to every replica. A replica that takes at least 26
connections then has two for each, before ``pool.USABLE_CONNECTIONS_SHARE`` is deducted."""
OWNERS_PER_GROUP = 2
"""If one is lost or slow, the other takes its parts."""
MIN_GROUPS = 4
"""Divides a query over 135 shards into batches of about 30 parts."""
GROUP_GROWTH_FACTOR = 4
MAX_INSTANCES_PER_GROUP = 6
"""The number of groups grows in steps. If it followed the number of instances, each one added or
removed would move every shard to other owners, which have no connections open yet."""

UNNAMED_REPLICA = 0
"""Stands for a replica that another instance may use without naming it."""
_HASH_MULTIPLIER = 2654435761
"""Knuth's factor for multiplicative hashing. Without it two names keep their order for nearly all
salts, as the CRCs of strings that differ in the same position differ in the same bits."""
_HASH_RANGE = 1 << 32
_FINALISER_STEPS = ((16, 0x85EBCA6B), (13, 0xC2B2AE35))
"""MurmurHash3's finaliser: shifts and factors. Ranks by weight need hashes of different instances
to be independent. With plain CRCs, some instances got 0.15 and others 1.75 times their share."""

Weights = abc.Mapping[str, float]
EQUAL_WEIGHTS: Weights = types.MappingProxyType({})
"""An instance without a weight has the weight 1."""


@attrs.frozen
class Place:
    """The name and the location of this instance."""

    name: str
    data_centre: str
    regions: abc.Mapping[str, str]
    """The region of each data centre."""

    def distance(self, data_centre: str) -> int:
        """Return ``SAME_DATA_CENTRE``, ``SAME_REGION`` or ``OTHER_REGION``."""
        if data_centre == self.data_centre:
            return SAME_DATA_CENTRE
        own = self.regions.get(self.data_centre)
        return SAME_REGION if self.regions.get(data_centre) == own else OTHER_REGION

    def allows(self, regions: frozenset[str] | None, data_centre: str) -> bool:
        """Whether a data centre is in one of the regions; ``None`` stands for all regions."""
        return regions is None or self.regions.get(data_centre) in regions


def all_send_directly(instances: int) -> bool:
    """Whether instances are so few that each sends to every replica."""
    return instances <= MAX_DIRECT_SENDERS


def group_count(instances: int) -> int:
    """Return the number of shard groups in a data centre with this number of instances."""
    groups = MIN_GROUPS
    while instances > MAX_INSTANCES_PER_GROUP * groups:
        groups *= GROUP_GROWTH_FACTOR
    return groups


def group_of(shard: str, groups: int) -> int:
    """Return the group that a shard belongs to."""
    return zlib.crc32(shard.encode()) % groups


def owners_by_group(
    names: abc.Collection[str], weights: Weights = EQUAL_WEIGHTS
) -> list[list[str]]:
    """
    Return the owners of each group among the instances of a data centre.

    Rendezvous hashing ranks the instances, so that the loss of one moves few groups. Instances that
    own fewer groups come first, so that an instance owns a further group only when there are not
    enough others.

    :param weights: the weight of each instance; where they differ, an instance owns as many groups
        as its weight demands
    """
    groups = group_count(len(names))
    if not _differ(names, weights):
        return _owners_in_turn(names, groups)
    return _owners_by_weight(groups, _groups_by_weight(names, weights, groups))


def _differ(names: abc.Collection[str], weights: Weights) -> bool:
    return len({weights.get(name, 1.0) for name in names}) > 1


def _owners_in_turn(names: abc.Collection[str], groups: int) -> list[list[str]]:
    owners_of_groups: list[list[str]] = []
    groups_owned: collections.Counter[str] = collections.Counter()
    for group in range(groups):
        ranked = sorted(names, key=functools.partial(_rank, group))
        owners = sorted(ranked, key=groups_owned.__getitem__)[:OWNERS_PER_GROUP]
        groups_owned.update(owners)
        owners_of_groups.append(owners)
    return owners_of_groups


def _groups_by_weight(names: abc.Collection[str], weights: Weights, groups: int) -> dict[str, int]:
    """
    Return how many groups each instance owns, by the D'Hondt method.

    It makes the largest number of groups for the weight as small as possible, since a query is as
    slow as its most loaded owner.
    """
    counts = dict.fromkeys(names, 0)
    waiting = [(1 / weights.get(name, 1.0), _rank("groups", name), name) for name in names]
    heapq.heapify(waiting)
    for _ in range(groups * min(OWNERS_PER_GROUP, len(names))):
        _, rank, name = heapq.heappop(waiting)
        counts[name] += 1
        if counts[name] < groups:
            load_with_next = (counts[name] + 1) / weights.get(name, 1.0)
            heapq.heappush(waiting, (load_with_next, rank, name))
    return {name: count for name, count in counts.items() if count}


def _owners_by_weight(groups: int, counts: abc.Mapping[str, int]) -> list[list[str]]:
    """
    Return the owners of each group, given how many groups each instance owns.

    The pairs of group and instance are accepted in the order of their ranks, whatever the order of
    the groups. With the groups in turn, a lost instance moved up to twice as many.
    """
    left = dict(counts)
    owners_of_groups: list[list[str]] = [[] for _ in range(groups)]
    pairs = sorted(
        (_exponential_rank(group, name), group, name) for group in range(groups) for name in counts
    )
    per_group = min(OWNERS_PER_GROUP, len(counts))
    for _, group, name in pairs:
        if left[name] and len(owners_of_groups[group]) < per_group:
            owners_of_groups[group].append(name)
            left[name] -= 1
    for owners in owners_of_groups:
        if len(owners) < per_group:
            # Each instance that could own a further group owns this one already, so it takes the
            # place of the last owner of another group, which then owns this one.
            (name,) = owners
            other = next(others for others in owners_of_groups if name not in others)
            owners.append(other.pop())
            other.append(name)
    return owners_of_groups


def replica_id(name: str) -> int:
    """
    Return what names a replica in messages between instances; never ``UNNAMED_REPLICA``.

    With 32 bits, two replicas of a service have the same once in 4e9 pairs; a part may then reach
    one replica too many.
    """
    return zlib.crc32(name.encode()) or 1


def common_replica(request_id: bytes, data_centres: abc.Mapping[str, str], data_centre: str) -> str:
    """
    Return the one replica to which any instance may send a part handed to a data centre.

    Replicas in the given data centre come first; among several the choice depends on the request,
    so that they get equal shares.

    :param request_id: the request's identifier
    :param data_centres: the data centre of each replica, by the replica's name
    :param data_centre: the one that the part is handed to
    """
    salt = zlib.crc32(request_id)

    def rank(name: str) -> tuple[bool, int]:
        hashed = (salt ^ zlib.crc32(name.encode())) * _HASH_MULTIPLIER & 0xFFFFFFFF
        return data_centres[name] != data_centre, hashed

    return min(data_centres, key=rank)


def preferred(
    own_name: str, names: abc.Collection[str], count: int, weights: Weights = EQUAL_WEIGHTS
) -> list[str]:
    """
    Return a fixed subset of instances, a different one for each calling instance.

    Over many calling instances, an instance comes first as often as its share of the weights. If a
    weight changes, only calling instances change their subset that gain or lose this instance.

    :param own_name: the calling instance, or whatever else the subset is for
    :param names: the instances to select from
    :param count: how many to select
    :param weights: the weight of each instance
    """
    if not _differ(names, weights):
        return heapq.nsmallest(count, names, key=lambda name: _rank(own_name, name))
    return heapq.nsmallest(
        count,
        names,
        key=lambda name: _exponential_rank(own_name, name) / weights.get(name, 1.0),
    )


def _rank(salt: object, name: str) -> int:
    return zlib.crc32(f"{salt}/{name}".encode())


def _exponential_rank(salt: object, name: str) -> float:
    """
    Return an exponentially distributed rank.

    Divided by weights, such ranks are those of weighted rendezvous hashing: an instance has the
    smallest of all with a probability that is proportional to its weight.
    """
    hashed = _rank(salt, name)
    for shift, factor in _FINALISER_STEPS:
        hashed = (hashed ^ hashed >> shift) * factor & (_HASH_RANGE - 1)
    hashed ^= hashed >> 16
    return -math.log1p(-hashed / _HASH_RANGE)
