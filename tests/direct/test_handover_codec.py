"""Messages of handed-over batches."""

from __future__ import annotations

import attrs
import handover_helpers
import pytest

from turmericlug.direct import handover_codec
from turmericlug.direct import organisations

ANSWER = handover_codec.Answer(
    records=b"r" * 16,
    signatures={"x": b"sig"},
    failures={"y": handover_codec.Failure("shed", False)},
    spent_ms=12.0,
    first=False,
    load=handover_codec.Load(0.25, 12, 3, 4),
)


def test_messages_are_decoded_as_they_were_encoded():
    assert (
        handover_codec.decode_batch(handover_codec.encode_batch(handover_helpers.BATCH))
        == handover_helpers.BATCH
    )
    content = handover_codec.encode_answer(ANSWER, handover_helpers.BATCH.shards)
    assert handover_codec.decode_answer(content, handover_helpers.BATCH.shards) == ANSWER


@pytest.mark.parametrize("priority", [None, 0, 3])
def test_batch_names_the_organisation_without_its_secrets(priority):
    organisation = organisations.Organisation("alpha", priority)
    batch = attrs.evolve(handover_helpers.BATCH, organisation=organisation)
    assert handover_codec.decode_batch(handover_codec.encode_batch(batch)) == batch


@pytest.mark.parametrize("content", [b"\x00", b"garbage" * 9, b"\xff" * 300])
def test_damaged_messages_are_rejected(content):
    with pytest.raises(handover_codec.MessageError):
        handover_codec.decode_batch(content)


def test_an_answer_with_unknown_shards_is_rejected():
    content = handover_codec.encode_answer(ANSWER, handover_helpers.BATCH.shards)
    with pytest.raises(handover_codec.MessageError):
        handover_codec.decode_answer(content, ("x",))


def test_numbers_beyond_the_message_are_bounded():
    """
    Guards against a route whose priority or limits don't fit into the message: each of its queries
    failed as soon as an instance near the replicas was to help.
    """
    batch = attrs.evolve(
        handover_helpers.BATCH, priority=300, max_attempts=10**6, top_records=2**40
    )
    decoded = handover_codec.decode_batch(handover_codec.encode_batch(batch))
    assert (decoded.priority, decoded.max_attempts) == (255, 255)
    assert decoded.top_records == 2**32 - 1


@pytest.mark.parametrize("field", ["goal_ms", "answer_in_ms", "time_left_ms"])
@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 1e300])
def test_batch_without_a_usable_time_is_rejected(field, value):
    """Guards against a time that ends the handler of a batch once its parts have been sent."""
    batch = attrs.evolve(handover_helpers.BATCH, **{field: value})
    with pytest.raises(handover_codec.MessageError):
        handover_codec.decode_batch(handover_codec.encode_batch(batch))


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0])
def test_answer_without_a_usable_time_is_rejected(value):
    shards = handover_helpers.BATCH.shards
    content = handover_codec.encode_answer(attrs.evolve(ANSWER, spent_ms=value), shards)
    with pytest.raises(handover_codec.MessageError):
        handover_codec.decode_answer(content, shards)


@pytest.mark.parametrize("field, items", [("headers", [(b"", b"")]), ("shards", ["s"])])
def test_batches_with_too_many_items_are_rejected(field, items):
    """A million empty headers fit into 15 kB, and held up the event loop for seconds."""
    batch = attrs.evolve(handover_helpers.BATCH, **{field: type(items)(100_000 * items)})
    with pytest.raises(handover_codec.MessageError, match="more than"):
        handover_codec.decode_batch(handover_codec.encode_batch(batch))
