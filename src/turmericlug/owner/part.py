"""A part of a query at its owner, its attempts and its outcome."""

from __future__ import annotations

import asyncio
from collections import abc

import attrs

from turmericlug.owner import replica as replica_module

ANSWERED, REFUSED, FAILED, SNAPSHOT_ABSENT = "answered", "refused", "failed", "snapshotAbsent"


@attrs.frozen(slots=True)
class PartReply:
    """The outcome of one part, as the owner reports it to the coordinator."""

    number: int
    outcome: str
    reason: str = ""
    snapshot: str = ""
    retry_after_ms: int = 0
    body: bytes = b""
    attempts: int = 0
    wait_ms: float = 0.0
    """Queue wait predicted at the time of the reply for a new part of this caller and priority."""


@attrs.frozen(eq=False, slots=True)
class Attempt:
    """One attempt of a part at a replica."""

    replica: replica_module.Replica
    started_at_s: float


@attrs.define(eq=False, slots=True)
class Part:
    """The part of a query that goes to one shard, queued or in flight."""

    number: int
    shard: str
    snapshot: str
    caller: str
    priority: int
    deadline_s: float
    repeatable: bool
    hedge: bool
    retries: int
    body: bytes
    reply: abc.Callable[[PartReply], None]
    attempt_id_prefix: str
    fingerprint: bytes = b""
    """Hash of the caller and the body: equal when a caller repeats a request."""
    on_trial: bool = False
    """Whether the part is a trial: sent to one target only, to see whether it crashes it."""
    queued_at_s: float = 0.0
    done: bool = False
    attempt_count: int = 0
    may_have_run: bool = False
    attempts_in_flight: dict[str, Attempt] = attrs.field(factory=dict)
    tried_replicas: set[str] = attrs.field(factory=set)
    hedge_timer: asyncio.TimerHandle | None = None
    hedged: bool = False
    hedge_attempt_id: str = ""
