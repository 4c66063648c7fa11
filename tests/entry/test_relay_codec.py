"""Encoding and decoding relayed changes, and damaged messages."""

from __future__ import annotations

import zlib

import pytest
import scripted

from turmericlug.entry import relay_codec
from turmericlug.entry import source


def decode_change(key, content, revision):
    return source.Written(key, scripted.entry("a"), revision, content)


@pytest.mark.parametrize("content", [b"a", b"a" * 5000], ids=["small", "compressed"])
@pytest.mark.parametrize("age_s", [0.0, 1.25])
def test_changes_round_trip(content, age_s):
    changes = (
        source.Written("r/a", scripted.entry("a"), 11, content, lease=7, era=3),
        source.Removed("r/b", 12, 3),
    )
    message = relay_codec.encode(source.Changes(changes, 12), age_s)
    reply = relay_codec.decode(message, decode_change)
    assert reply == relay_codec.Reply(source.Changes(changes, 12, age_s), history_lost=False)


def test_lost_history_round_trip():
    assert relay_codec.decode(relay_codec.encode(None, 0.5), decode_change).history_lost


@pytest.mark.parametrize("damage", [b"", b"\xff" * 40])
def test_damaged_message_raises(damage):
    with pytest.raises(relay_codec.MessageError):
        relay_codec.decode(damage or b"\x10", decode_change)


@pytest.mark.parametrize("content", [b"", b"x", zlib.compress(b"a" * 5000)[:-3]])
def test_damaged_value_raises(content):
    with pytest.raises((ValueError, zlib.error)):
        relay_codec.decompress_value(content)


def test_key_that_no_message_can_hold_is_left_out():
    """
    Guards against one key with a lone surrogate that makes a relay fail: all instances of its data
    centre turn to the store.
    """
    unreadable = source.Unreadable("r/\ud800", 10, "text", 3)
    removed = source.Removed("r/\udfff", 11, 3)
    written = source.Written("r/\u20ac", scripted.entry("a"), 12, b"a", era=3)
    changes = source.Changes((unreadable, removed, written), 12, era=3)
    reply = relay_codec.decode(relay_codec.encode(changes, -1.0), decode_change)
    assert reply.changes == source.Changes((written,), 12, era=3)


def test_implausible_revisions_are_not_taken_over():
    """
    Guards against a relay of an older version that hands on a revision so large that no later value
    of its key ever counts as newer.
    """
    large = 2**64 - 1
    written = source.Written("r/a", scripted.entry("a"), large, b"a", era=3)
    older = source.Written("r/b", scripted.entry("a"), large, b"a", era=2)
    changes = source.Changes((written, source.Removed("r/c", large, 3), older), 12, era=3)
    found = relay_codec.decode(relay_codec.encode(changes, 0.0), decode_change).changes.changes
    assert [(type(change), change.revision) for change in found] == [
        (source.Unreadable, 0),
        (source.Removed, 12),
        (source.Written, large),
    ]


@pytest.mark.parametrize(
    ("reason", "counted"), [("range", "range"), ("odd reason", "relayed"), ("x" * 21, "relayed")]
)
def test_refused_values_are_not_handed_on(reason, counted):
    """
    Guards against an instance that relays a value that it refuses itself: instances of another
    version may fail on it, or use it.
    """
    refused = source.Unreadable("r/a", 11, reason, 3, "Slots", "not from 1 to 9")
    message = relay_codec.encode(source.Changes((refused,), 12, era=3), 0.0)
    decoded = []

    def decode_as_another_version(key, content, revision):
        decoded.append(content)
        return decode_change(key, content, revision)

    (change,) = relay_codec.decode(message, decode_as_another_version).changes.changes
    assert not decoded
    assert isinstance(change, source.Unreadable)
    assert (change.key, change.position, change.reason) == ("r/a", refused.position, counted)


def test_message_with_too_many_changes_raises(monkeypatch):
    monkeypatch.setattr(relay_codec, "MAX_CHANGES", 2)
    changes = source.Changes(tuple(source.Removed(f"r/{n}", 1) for n in range(3)), 12)
    with pytest.raises(relay_codec.MessageError):
        relay_codec.decode(relay_codec.encode(changes, 0.0), decode_change)
