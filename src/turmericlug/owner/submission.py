"""A query's parts on the wire between a coordinator and an owner, and the replies to them."""

from __future__ import annotations

import typing

import attrs

from turmericlug.owner import part as part_module


@attrs.frozen(slots=True)
class PartsIn:
    """A query's parts as a coordinator sends them; ``parts`` has number, service, shard."""

    query_id: str
    snapshot: str
    remaining_s: float
    priority: int
    repeatable: bool
    hedge: bool
    retries: int
    caller: str
    body: bytes
    parts: tuple[tuple[int, str, str], ...]


def decode(message: typing.Any) -> PartsIn:
    """Read the parts that a coordinator sent."""
    return PartsIn(
        query_id=message.queryId,
        snapshot=message.snapshot,
        remaining_s=message.remainingMs / 1000,
        priority=message.priority,
        repeatable=message.repeatable,
        hedge=message.hedge,
        retries=message.retries,
        caller=message.caller,
        body=message.body,
        parts=tuple((each.number, each.service, each.shard) for each in message.parts),
    )


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
