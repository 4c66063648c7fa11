"""A part of a query at its owner, its attempts, and what becomes of it."""

from __future__ import annotations

import asyncio
from collections import abc

import attrs

from turmericlug.owner import replica as replica_module

ANSWERED, REFUSED, FAILED, SNAPSHOT_ABSENT = "answered", "refused", "failed", "snapshotAbsent"


@attrs.frozen(slots=True)
class PartReply:
    """What became of one part."""

    number: int
    outcome: str
    reason: str = ""
    snapshot: str = ""
    come_back_ms: int = 0
    body: bytes = b""
    attempts: int = 0
    wait_ms: float = 0.0
    """Predicted wait of a new part of the same caller and priority, as the reply leaves."""


@attrs.frozen(eq=False, slots=True)
class Attempt:
    """One sending of a part to a replica."""

    replica: replica_module.Replica
    began_at_s: float


@attrs.define(eq=False, slots=True)
class Part:
    """One shard's part of a query, waiting or running."""

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
    attempt_prefix: str
    fingerprint: bytes = b""
    """The same each time the caller asks for the same."""
    on_trial: bool = False
    """Whether it goes to one replica only, to find out whether that ends under it."""
    queued_at_s: float = 0.0
    done: bool = False
    attempts: int = 0
    may_have_run: bool = False
    running: dict[str, Attempt] = attrs.field(factory=dict)
    tried: set[str] = attrs.field(factory=set)
    hedge_timer: asyncio.TimerHandle | None = None
    hedged: bool = False
    hedge_attempt: str = ""
