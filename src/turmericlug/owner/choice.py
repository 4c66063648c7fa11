"""Which replicas of a service may take work: functions of the replicas an owner knows."""

from __future__ import annotations

from collections import abc

from turmericlug.owner import part as part_module
from turmericlug.owner import policy
from turmericlug.owner import replica as replica_module

Replicas = abc.Collection[replica_module.Replica]


def staying(replicas: Replicas) -> list[replica_module.Replica]:
    """Return the replicas that do not leave."""
    return [each for each in replicas if not each.leaving]


def usable(replicas: Replicas, now_s: float) -> list[replica_module.Replica]:
    """
    Return the replicas that may get work.

    When all that do not leave are ejected, they are all tried again: setting aside the last replica
    would turn its trouble into certain loss, and nothing would wake the queue.
    """
    able = staying(replicas)
    return [each for each in able if each.usable(now_s)] or able


def slots(replicas: Replicas, now_s: float) -> float:
    """Return the parts that all usable replicas take together."""
    return sum(each.limit for each in usable(replicas, now_s))


def free(
    replicas: Replicas, now_s: float, part: part_module.Part | None
) -> replica_module.Replica | None:
    """Choose a replica with a free slot; one that a given part was not sent to yet."""
    return policy.choose(
        each
        for each in usable(replicas, now_s)
        if part is None
        or (each.instance not in part.tried and not each.lacks(part.snapshot, now_s))
    )


def free_again(
    replicas: Replicas, now_s: float, part: part_module.Part
) -> replica_module.Replica | None:
    """Choose a replica for a retry that has been to all of them."""
    if not part.tried or part.running:
        return None
    return policy.choose(
        each for each in usable(replicas, now_s) if not each.lacks(part.snapshot, now_s)
    )


def holds_snapshot(replicas: Replicas, now_s: float, snapshot: str) -> bool:
    """Whether a replica that stays may hold a snapshot."""
    return any(not each.lacks(snapshot, now_s) for each in staying(replicas))


def has_another(replicas: Replicas, now_s: float, but: replica_module.Replica) -> bool:
    """Whether another replica than the given one stays and is not ejected."""
    return any(each is not but and each.ejected_until_s <= now_s for each in staying(replicas))
