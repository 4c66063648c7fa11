"""Selection of the replica that gets the next attempt, among the replicas an owner knows."""

from __future__ import annotations

from collections import abc

from turmericlug.owner import part as part_module
from turmericlug.owner import policy
from turmericlug.owner import replica as replica_module

Replicas = abc.Collection[replica_module.Replica]


def not_draining(replicas: Replicas) -> list[replica_module.Replica]:
    """Return the replicas that are not draining."""
    return [replica for replica in replicas if not replica.draining_reason]


def eligible(replicas: Replicas, now_s: float) -> list[replica_module.Replica]:
    """
    Return the replicas that may receive an attempt.

    If every replica that is not draining is ejected, all of them are eligible: ejecting the last
    replica would fail every part for certain, and nothing would restart the queue.
    """
    candidates = not_draining(replicas)
    return [replica for replica in candidates if replica.is_eligible(now_s)] or candidates


def total_slots(replicas: Replicas, now_s: float) -> float:
    """Return the sum of the concurrency limits of the eligible replicas."""
    return sum(replica.limit for replica in eligible(replicas, now_s))


def select_untried(
    replicas: Replicas, now_s: float, part: part_module.Part | None
) -> replica_module.Replica | None:
    """Select a replica with a free slot; given a part, only one that has not had it."""
    return policy.least_loaded(
        replica
        for replica in eligible(replicas, now_s)
        if part is None
        or (
            replica.instance not in part.tried_replicas
            and not replica.lacks_snapshot(part.snapshot, now_s)
        )
    )


def select_for_retry(
    replicas: Replicas, now_s: float, part: part_module.Part
) -> replica_module.Replica | None:
    """Select a replica with a free slot for the retry of a part, even one that has had it."""
    if not part.tried_replicas or part.attempts_in_flight:
        return None
    return policy.least_loaded(
        replica
        for replica in eligible(replicas, now_s)
        if not replica.lacks_snapshot(part.snapshot, now_s)
    )


def may_hold_snapshot(replicas: Replicas, now_s: float, snapshot: str) -> bool:
    """Whether any replica that is not draining may hold a snapshot."""
    return any(not replica.lacks_snapshot(snapshot, now_s) for replica in not_draining(replicas))


def has_alternative(replicas: Replicas, now_s: float, excluded: replica_module.Replica) -> bool:
    """Whether a replica other than the given one is neither draining nor ejected."""
    return any(
        replica is not excluded and replica.ejected_until_s <= now_s
        for replica in not_draining(replicas)
    )
