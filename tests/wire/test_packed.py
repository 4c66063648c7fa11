"""Packed messages that are cut short or too large."""

from __future__ import annotations

import subprocess
import sys

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.wire import packed
from turmericlug.wire import quota_codec
from turmericlug.wire import suspects_codec

SHORT_MESSAGES = [bytes.fromhex(text) for text in ("01010201", "010101d901", "ff", "00", "0101")]


@pytest.mark.parametrize("content", SHORT_MESSAGES, ids=bytes.hex)
def test_message_cut_short_does_not_end_the_process(content):
    """
    Guards against a message of four bytes that ends the process: the library's reader of packed
    messages raises in a destructor. Run in another process, as this one would end.
    """
    program = (
        "import sys\n"
        "from turmericlug.wire import quota_codec\n"
        "try:\n"
        "    quota_codec.decode(bytes.fromhex(sys.argv[1]))\n"
        "except quota_codec.MessageError:\n"
        "    sys.exit(7)\n"
    )
    result = subprocess.run([sys.executable, "-c", program, content.hex()], capture_output=True)
    assert result.returncode == 7


@pytest.mark.parametrize("content", SHORT_MESSAGES, ids=bytes.hex)
@pytest.mark.parametrize(
    ("decode", "error"),
    [
        (quota_codec.decode, quota_codec.MessageError),
        (lambda content: suspects_codec.decode(content, 0.0), suspects_codec.MessageError),
    ],
    ids=["quotas", "suspects"],
)
def test_message_cut_short_is_rejected(decode, error, content):
    with pytest.raises(error):
        decode(content)


def test_message_that_unpacks_to_too_much_is_rejected():
    """Guards against a message of a few kilobytes that takes all memory."""
    with pytest.raises(packed.PackedError):
        packed.unpack(b"\0\xff" * (packed.MAX_BYTES // 2048 + 1))


SCHEMA = quota_codec._SCHEMA
TEXTS = strategies.text("\0\1a\u20ac", max_size=40)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(TEXTS, strategies.integers(0, 2**64 - 1), strategies.lists(TEXTS, max_size=5))
def test_unpacked_message_is_the_plain_one(sender, start, held):
    message = SCHEMA.Quotas.new_message(sender=sender, start=start, held=held)
    assert packed.unpack(message.to_bytes_packed()) == message.to_bytes()
