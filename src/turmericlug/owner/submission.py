"""A query's parts on the wire between a coordinator and an owner, and the replies to them."""

from __future__ import annotations

import typing

import attrs

from turmericlug.owner import part as part_module


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
