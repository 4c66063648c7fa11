"""Encodes and decodes the messages of handed-over batches between instances in Cap'n Proto."""

from __future__ import annotations

import pathlib
import typing

import attrs
import capnp

from turmericlug.direct import organisations as organisations_module
from turmericlug.wire import packed

_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("handover.capnp")))
_PERMILLE = 1000
_MAX_UINT8 = 255
_MAX_UINT16 = 65535
_MAX_UINT32 = (1 << 32) - 1
_MAX_TIME_MS = 1e10
_MAX_HEADERS = 4096
"""More than a head of the usual limit can hold. Packed, a million empty headers take 15 kB."""
"""Ten times the longest time-out of a route."""


class MessageError(Exception):
    """Content from another instance is not a valid message of this protocol."""


@attrs.frozen
class Batch:
    """Parts of one query that are handed over to an instance near their replicas."""

    request_id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: str
    goal_ms: float
    priority: int
    max_attempts: int
    top_records: int
    shards: tuple[str, ...]
    answer_in_ms: float
    """Time after which the peer sends the answers that it has."""
    time_left_ms: float
    data_centre: str
    """Data centre of the peer."""
    maybe_sent_before: bool = False
    """Whether another instance there may have sent the parts, which leaves one attempt for each, at
    one of the shared replicas."""
    regions: frozenset[str] | None = None
    """The only regions whose replicas may get the parts; ``None`` allows all."""
    organisation: organisations_module.Organisation | None = None
    """The caller's organisation, with its name and priority only."""
    shared: tuple[frozenset[int], ...] | None = None
    """For each shard, the identifiers of the replicas to which other instances may send its part as
    well; they count towards ``max_attempts``. ``None``: from an earlier build without them."""


@attrs.frozen
class Failure:
    """The failure of one shard's part."""

    reason: str
    may_have_run: bool


@attrs.frozen
class Load:
    """Load of an instance, as it tells other instances with its answers."""

    level: float = 1.0
    """Share of all queries that its shards can serve, from 0 to 1."""
    lag_ms: int = 0
    """Delay of a slow iteration of its event loop."""
    active: int = 0
    """Batches and queries in progress."""
    queued: int = 0
    """Queries and parts that wait."""


@attrs.frozen
class Answer:
    """Outcomes of a batch. Shards in neither dictionary follow in a later answer."""

    records: bytes
    """The greatest records of all answered shards."""
    signatures: dict[str, bytes]
    failures: dict[str, Failure]
    spent_ms: float
    first: bool = True
    """Whether this is the first answer to the batch."""
    load: Load = Load()
    """Load of the instance that answers."""


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch."""
    message = _SCHEMA.Batch.new_message(
        requestId=batch.request_id,
        method=batch.method,
        target=batch.target,
        headers=[{"name": name, "value": value} for name, value in batch.headers],
        body=batch.body,
        route=batch.route,
        goalMs=batch.goal_ms,
        # Beyond these numbers, the exact one makes no difference to the peer.
        priority=min(batch.priority, _MAX_UINT8),
        maxAttempts=min(_max_attempts_of_earlier_builds(batch), _MAX_UINT8),
        topRecords=min(batch.top_records, _MAX_UINT32),
        shards=list(batch.shards),
        answerInMs=batch.answer_in_ms,
        timeLeftMs=batch.time_left_ms,
        dataCentre=batch.data_centre,
        again=batch.maybe_sent_before,
        bound=batch.regions is not None,
        regions=sorted(batch.regions or ()),
    )
    if batch.shared is not None:
        message.attemptLimit = min(batch.max_attempts, _MAX_UINT8)
        message.shared = _pad_equally(batch.shared)
    if batch.organisation is not None:
        message.organisation = batch.organisation.name
        if batch.organisation.priority is not None:
            message.organisationPriority = batch.organisation.priority
    return message.to_bytes_packed()


def _max_attempts_of_earlier_builds(batch: Batch) -> int:
    """
    Return the limit for a peer that does not read the shared replicas.

    It sends to other replicas than this instance does if the batch is lost, so that one attempt is
    left for this instance. A part that may have been sent before gets no further attempt there.
    """
    if batch.shared is None:
        return batch.max_attempts
    return 1 if batch.maybe_sent_before else max(batch.max_attempts - 1, 1)


def _pad_equally(shared: tuple[frozenset[int], ...]) -> list[int]:
    width = max(map(len, shared), default=0)
    return [
        identifier
        for identifiers in shared
        for identifier in (*sorted(identifiers), *[0] * (width - len(identifiers)))
    ]


def _read_shared(message: typing.Any) -> tuple[frozenset[int], ...] | None:
    if not message.attemptLimit:
        return None
    shards, identifiers = len(message.shards), list(message.shared)
    width = len(identifiers) // shards if shards else 0
    if len(identifiers) != width * shards:
        raise ValueError(f"{len(identifiers)} shared replicas for {shards} shards")
    return tuple(
        frozenset(identifiers[index * width : (index + 1) * width]) - {0} for index in range(shards)
    )


def decode_batch(content: bytes) -> Batch:
    """
    Decode a batch.

    :raises MessageError: the content is not a valid batch
    """
    try:
        message = packed.read(_SCHEMA.Batch, content)
        if len(message.headers) > _MAX_HEADERS or len(message.shards) > _MAX_UINT16:
            raise ValueError(f"more than {_MAX_HEADERS} headers or {_MAX_UINT16} shards")
        return Batch(
            request_id=message.requestId,
            method=message.method,
            target=message.target,
            headers=[(header.name, header.value) for header in message.headers],
            body=message.body,
            route=message.route,
            goal_ms=_read_time_ms(message.goalMs),
            priority=message.priority,
            max_attempts=message.attemptLimit or message.maxAttempts,
            top_records=message.topRecords,
            shards=tuple(message.shards),
            answer_in_ms=_read_time_ms(message.answerInMs),
            time_left_ms=_read_time_ms(message.timeLeftMs),
            data_centre=message.dataCentre,
            maybe_sent_before=message.again,
            regions=frozenset(message.regions) if message.bound else None,
            organisation=_decode_organisation(message),
            shared=_read_shared(message),
        )
    except Exception as error:  # the library raises a different type for each kind of damage
        raise MessageError(str(error).splitlines()[0][:200]) from error


def _read_time_ms(value: float) -> float:
    if not 0 <= value <= _MAX_TIME_MS:
        raise ValueError(f"a time of {value} ms is not from 0 to {_MAX_TIME_MS:.0f}")
    return value


def _decode_organisation(message: typing.Any) -> organisations_module.Organisation | None:
    if not message.organisation:
        return None
    priority = message.organisationPriority
    return organisations_module.Organisation(
        message.organisation,
        None if priority == organisations_module.NO_PRIORITY else priority,
    )


def encode_answer(answer: Answer, shards: tuple[str, ...]) -> bytes:
    """
    Encode an answer.

    :param shards: shards of the batch; the answer refers to a shard by its index here
    """
    indexes = {shard: index for index, shard in enumerate(shards)}
    message = _SCHEMA.Answer.new_message(
        records=answer.records,
        answered=[
            {"shard": indexes[shard], "signature": signature}
            for shard, signature in answer.signatures.items()
        ],
        failed=[
            {
                "shard": indexes[shard],
                "reason": failure.reason,
                "mayHaveRun": failure.may_have_run,
            }
            for shard, failure in answer.failures.items()
        ],
        spentMs=answer.spent_ms,
        first=answer.first,
        load=_encode_load(answer.load),
    )
    return message.to_bytes_packed()


def _encode_load(load: Load) -> dict[str, int]:
    return {
        "levelPermille": round(load.level * _PERMILLE),
        "lagMs": min(load.lag_ms, _MAX_UINT16),
        "active": min(load.active, _MAX_UINT16),
        "queued": min(load.queued, _MAX_UINT16),
    }


def decode_answer(content: bytes, shards: tuple[str, ...]) -> Answer:
    """
    Decode an answer to a batch.

    :param shards: shards of the batch, in its order
    :raises MessageError: the content is not a valid answer to the batch
    """
    try:
        message = packed.read(_SCHEMA.Answer, content)
        return Answer(
            records=message.records,
            signatures={shards[signed.shard]: signed.signature for signed in message.answered},
            failures={
                shards[failed.shard]: Failure(failed.reason, failed.mayHaveRun)
                for failed in message.failed
            },
            spent_ms=_read_time_ms(message.spentMs),
            first=message.first,
            load=_decode_load(message.load),
        )
    except Exception as error:  # as in decode_batch; IndexError for a shard outside the batch
        raise MessageError(str(error).splitlines()[0][:200]) from error


def _decode_load(message: typing.Any) -> Load:
    level = min(message.levelPermille / _PERMILLE, 1.0)
    return Load(level, message.lagMs, message.active, message.queued)
