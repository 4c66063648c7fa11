"""Encoding of a query's parts and their replies between a coordinator and an owner."""

from __future__ import annotations

import collections
import typing
from collections import abc

import attrs

from turmericlug.owner import part as part_module
from turmericlug.owner import service_queue
from turmericlug.policy import fingerprint

MAX_MESSAGE_BYTES = 1 << 20
"""Replies in one message, unless a single one is larger: far below the limit of a frame, so that
other messages of the connection don't wait long behind it."""
_REPLY_OVERHEAD_BYTES = 1024
"""Of the other fields of a reply, some of which are text of a target."""


@attrs.frozen
class QueryParameters:
    """Parameters common to all parts of a query."""

    query_id: str
    caller: str
    priority: int
    repeatable: bool
    hedge: bool
    retries: int
    body: bytes


@attrs.frozen
class PartsRequest:
    """Parts that a coordinator submits to one owner, each as number, service and shard."""

    parameters: QueryParameters
    snapshot: str
    remaining_s: float
    parts: tuple[tuple[int, str, str], ...]


def encode_parts(envelope: typing.Any, parts_request: PartsRequest) -> None:
    """Encode a request with parts into an envelope."""
    parameters = parts_request.parameters
    message = envelope.init("parts")
    message.queryId = parameters.query_id
    message.snapshot = parts_request.snapshot
    message.remainingMs = max(0.0, parts_request.remaining_s * 1000)
    message.priority = parameters.priority
    message.repeatable = parameters.repeatable
    message.hedge = parameters.hedge
    message.retries = parameters.retries
    message.caller = parameters.caller
    message.body = parameters.body
    part_messages = message.init("parts", len(parts_request.parts))
    for part_message, (number, service, shard) in zip(
        part_messages, parts_request.parts, strict=True
    ):
        part_message.number = number
        part_message.service = service
        part_message.shard = shard


def decode_parts(message: typing.Any) -> PartsRequest:
    """Decode a request with parts."""
    parameters = QueryParameters(
        query_id=message.queryId,
        caller=message.caller,
        priority=message.priority,
        repeatable=message.repeatable,
        hedge=message.hedge,
        retries=message.retries,
        body=message.body,
    )
    parts = tuple((part.number, part.service, part.shard) for part in message.parts)
    return PartsRequest(parameters, message.snapshot, message.remainingMs / 1000, parts)


def encode_replies(
    envelope: typing.Any, query_id: str, replies: list[part_module.PartReply]
) -> None:
    """Encode replies to parts of one query into an envelope."""
    message = envelope.init("partsReply")
    message.queryId = query_id
    reply_messages = message.init("replies", len(replies))
    for index, reply in enumerate(replies):
        reply_message = reply_messages[index]
        reply_message.number = reply.number
        reply_message.outcome = reply.outcome
        reply_message.reason = reply.reason
        reply_message.snapshot = reply.snapshot
        reply_message.comeBackMs = reply.retry_after_ms
        reply_message.body = reply.body
        reply_message.attempts = reply.attempts
        reply_message.waitMs = reply.wait_ms


def in_frames(
    replies: list[part_module.PartReply],
) -> abc.Iterator[list[part_module.PartReply]]:
    """
    Divide replies into those of one message each.

    A frame that is too long ends the connection, and with it all requests that are open on it.
    """
    batch: list[part_module.PartReply] = []
    size_bytes = 0
    for reply in replies:
        reply_bytes = len(reply.body) + _REPLY_OVERHEAD_BYTES
        if batch and size_bytes + reply_bytes > MAX_MESSAGE_BYTES:
            yield batch
            batch, size_bytes = [], 0
        batch.append(reply)
        size_bytes += reply_bytes
    if batch:
        yield batch


@attrs.define(eq=False)
class PendingParts:
    """The parts of one request, while they are submitted to the queues in several steps."""

    parts_request: PartsRequest
    deadline_s: float
    reply: abc.Callable[[part_module.PartReply], None]
    submitted: list[tuple[service_queue.ServiceQueue, part_module.Part]] = attrs.field(factory=list)
    unsubmitted: collections.deque[tuple[int, str, str]] = attrs.field(init=False)
    cancelled: bool = False
    fingerprint: bytes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.unsubmitted = collections.deque(self.parts_request.parts)
        parameters = self.parts_request.parameters
        self.fingerprint = fingerprint.of((parameters.caller.encode(), parameters.body))

    def cancel(self) -> None:
        """Cancel all unfinished parts, including those not submitted to a queue yet."""
        self.cancelled = True
        for queue, part in self.submitted:
            queue.cancel(part)
