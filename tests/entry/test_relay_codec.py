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
