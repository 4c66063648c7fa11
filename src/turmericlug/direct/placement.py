"""
Who sends to a replica: pure functions of the instances and the shards.

The load pattern: many instances with few queries each, over many shards. Where each sends to every
replica, connections are idle for too long to be kept, and replicas run out of them. So where
instances are many, a shard's replicas in one data centre are sent to by two instances of it; their
connections stay open, and a query's work is spread over several instances.
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
"""Instances that may send to one replica: with at least 26 connections each has two of its own."""
OWNERS = 2
"""One that is lost or slow leaves the other."""
LEAST_GROUPS = 4
"""Divides a query of 135 shards into batches of some 30 parts."""
GROUPS_STEP = 4
MOST_INSTANCES_PER_GROUP = 6
"""The number of groups rises in steps: if it followed the instances, each that comes or goes would
move every shard to other owners, whose connections are cold."""

_SPREAD = 2654435761
"""Knuth's factor for multiplicative hashing. Without it two names keep their order for nearly all
salts, as the checksums of texts that differ in the same place differ by the same bits."""


@attrs.frozen
class Place:
    """Where this instance is."""

    name: str
    data_centre: str
    regions: abc.Mapping[str, str]
    """Region of each data centre."""

    def distance(self, data_centre: str) -> int:
        """Return ``SAME_DATA_CENTRE``, ``SAME_REGION`` or ``OTHER_REGION``."""
        if data_centre == self.data_centre:
            return SAME_DATA_CENTRE
        own = self.regions.get(self.data_centre)
        return SAME_REGION if self.regions.get(data_centre) == own else OTHER_REGION

    def allows(self, regions: frozenset[str] | None, data_centre: str) -> bool:
        """Whether a data centre lies in one of some regions; ``None``: any will do."""
        return regions is None or self.regions.get(data_centre) in regions


def all_send_directly(instances: int) -> bool:
    """Whether instances are so few that each may send to every replica."""
    return instances <= MAX_DIRECT_SENDERS


def groups_count(instances: int) -> int:
    """Return into how many groups the shards are divided in a data centre of so many instances."""
    groups = LEAST_GROUPS
    while instances > MOST_INSTANCES_PER_GROUP * groups:
        groups *= GROUPS_STEP
    return groups


def group_of(shard: str, groups: int) -> int:
    """Return the group that a shard belongs to."""
    return zlib.crc32(shard.encode()) % groups


def owners_by_group(names: abc.Collection[str]) -> list[list[str]]:
    """
    Return the owners of each group among the instances of a data centre.

    By rendezvous hashing, so that a lost instance moves few groups; an instance owns a further
    group only when there are not enough others.
    """
    groups = groups_count(len(names))
    found: list[list[str]] = []
    owned: collections.Counter[str] = collections.Counter()
    for group in range(groups):
        ranked = sorted(names, key=functools.partial(_rank, group))
        owners = sorted(ranked, key=owned.__getitem__)[:OWNERS]
        owned.update(owners)
        found.append(owners)
    return found


def common_replica(request: bytes, data_centres: abc.Mapping[str, str], data_centre: str) -> str:
    """
    Return the replica that every instance may send a part to which is handed to a data centre.

    All instances that it may come to work out the same one, so that a part which one of them has
    sent unnoticed can't reach too many replicas in all: one of that data centre, if there is any,
    by the request, so that several get even shares.

    :param data_centres: of each replica, by its instance
    """
    salt = zlib.crc32(request)

    def place_and_turn(name: str) -> tuple[bool, int]:
        turn = (salt ^ zlib.crc32(name.encode())) * _SPREAD & 0xFFFFFFFF
        return data_centres[name] != data_centre, turn

    return min(data_centres, key=place_and_turn)


def preferred(own_name: str, names: abc.Collection[str], count: int) -> list[str]:
    """Return a fixed few of some instances, others for each instance that asks."""
    return heapq.nsmallest(count, names, key=lambda name: _rank(own_name, name))


def _rank(salt: object, name: str) -> int:
    return zlib.crc32(f"{salt}/{name}".encode())
