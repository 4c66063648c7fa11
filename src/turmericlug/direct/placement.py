"""
Which instances send to a replica: pure functions of the lists of instances and shards.

They are made for many instances that each get few queries over many shards. If each instance
sent to every replica, connections would be idle for too long to be kept open, and replicas would
run out of connections. So where instances are many, only two instances of a data centre, the
owners, send to a shard's replicas there. The owners' connections stay open, and the work of a query
is spread over several instances.
"""

from __future__ import annotations

import collections
import functools
import heapq
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

_HASH_MULTIPLIER = 2654435761
"""Knuth's factor for multiplicative hashing. Without it two names keep their order for nearly all
salts, as the CRCs of strings that differ in the same position differ in the same bits."""


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


def owners_by_group(names: abc.Collection[str]) -> list[list[str]]:
    """
    Return the owners of each group among the instances of a data centre.

    Rendezvous hashing ranks the instances, so that the loss of one moves few groups. Instances that
    own fewer groups come first, so that an instance owns a further group only when there are not
    enough others.
    """
    groups = group_count(len(names))
    owners_of_groups: list[list[str]] = []
    groups_owned: collections.Counter[str] = collections.Counter()
    for group in range(groups):
        ranked = sorted(names, key=functools.partial(_rank, group))
        owners = sorted(ranked, key=groups_owned.__getitem__)[:OWNERS_PER_GROUP]
        groups_owned.update(owners)
        owners_of_groups.append(owners)
    return owners_of_groups


def common_replica(request_id: bytes, data_centres: abc.Mapping[str, str], data_centre: str) -> str:
    """
    Return the one replica to which any instance may send a part handed to a data centre.

    All instances that may get the part compute the same replica. A part that one of them has sent
    without the others' knowledge thus can't reach more replicas than allowed. Replicas in the given
    data centre come first; among several the choice depends on the request, so that they get equal
    shares.

    :param request_id: the request's identifier
    :param data_centres: the data centre of each replica, by the replica's name
    :param data_centre: the one that the part is handed to
    """
    salt = zlib.crc32(request_id)

    def rank(name: str) -> tuple[bool, int]:
        hashed = (salt ^ zlib.crc32(name.encode())) * _HASH_MULTIPLIER & 0xFFFFFFFF
        return data_centres[name] != data_centre, hashed

    return min(data_centres, key=rank)


def preferred(own_name: str, names: abc.Collection[str], count: int) -> list[str]:
    """
    Return a fixed subset of instances, a different one for each calling instance.

    :param own_name: the calling instance
    :param names: the instances to select from
    :param count: how many to select
    """
    return heapq.nsmallest(count, names, key=lambda name: _rank(own_name, name))


def _rank(salt: object, name: str) -> int:
    return zlib.crc32(f"{salt}/{name}".encode())
