"""A query's parts on the wire between a coordinator and an owner, and the replies to them."""

from __future__ import annotations

import collections
import typing
from collections import abc

import attrs

from turmericlug.owner import part as part_module
from turmericlug.owner import service_queue
from turmericlug.policy import fingerprint


@attrs.frozen
class Terms:
    """What holds for every part of a query."""

    query_id: str
    caller: str
    priority: int
    repeatable: bool
    hedge: bool
    retries: int
    body: bytes


@attrs.frozen
class PartsIn:
    """A query's parts as a coordinator sends them; ``parts`` has number, service, shard."""

    terms: Terms
    snapshot: str
    remaining_s: float
    parts: tuple[tuple[int, str, str], ...]


def fill(envelope: typing.Any, parts_in: PartsIn) -> None:
    """Write the parts that a coordinator sends."""
    terms = parts_in.terms
    message = envelope.init("parts")
    message.queryId = terms.query_id
    message.snapshot = parts_in.snapshot
    message.remainingMs = max(0.0, parts_in.remaining_s * 1000)
    message.priority = terms.priority
    message.repeatable = terms.repeatable
    message.hedge = terms.hedge
    message.retries = terms.retries
    message.caller = terms.caller
    message.body = terms.body
    items = message.init("parts", len(parts_in.parts))
    for item, (number, service, shard) in zip(items, parts_in.parts, strict=True):
        item.number = number
        item.service = service
        item.shard = shard


def decode(message: typing.Any) -> PartsIn:
    """Read the parts that a coordinator sent."""
    terms = Terms(
        query_id=message.queryId,
        caller=message.caller,
        priority=message.priority,
        repeatable=message.repeatable,
        hedge=message.hedge,
        retries=message.retries,
        body=message.body,
    )
    parts = tuple((each.number, each.service, each.shard) for each in message.parts)
    return PartsIn(terms, message.snapshot, message.remainingMs / 1000, parts)


def fill_replies(envelope: typing.Any, query_id: str, replies: list[part_module.PartReply]) -> None:
    """Write replies to parts of one query."""
    message = envelope.init("partsReply")
    message.queryId = query_id
    items = message.init("replies", len(replies))
    for index, reply in enumerate(replies):
        item = items[index]
        item.number = reply.number
        item.outcome = reply.outcome
        item.reason = reply.reason
        item.snapshot = reply.snapshot
        item.comeBackMs = reply.come_back_ms
        item.body = reply.body
        item.attempts = reply.attempts
        item.waitMs = reply.wait_ms


@attrs.define(eq=False)
class Pending:
    """A coordinator's parts on their way into the queues."""

    parts_in: PartsIn
    deadline_s: float
    reply: abc.Callable[[part_module.PartReply], None]
    made: list[tuple[service_queue.ServiceQueue, part_module.Part]] = attrs.field(factory=list)
    waiting: collections.deque[tuple[int, str, str]] = attrs.field(init=False)
    cancelled: bool = False
    fingerprint: bytes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.waiting = collections.deque(self.parts_in.parts)
        terms = self.parts_in.terms
        self.fingerprint = fingerprint.of((terms.caller.encode(), terms.body))

    def cancel(self) -> None:
        """Give up what is still open, also what has not reached a queue yet."""
        self.cancelled = True
        for queue, part in self.made:
            queue.cancel(part)
