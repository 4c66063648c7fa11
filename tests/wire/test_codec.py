from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.wire import codec


def frame(number):
    envelope = codec.envelope(number)
    envelope.fault = "x" * (number % 50)
    return codec.encode(envelope)


@hypothesis.given(strategies.integers(1, 7), strategies.integers(1, 40))
def test_frames_split_at_any_offset(count, size):
    stream = b"".join(frame(number) for number in range(count))
    reader, messages = codec.FrameReader(), []
    for start in range(0, len(stream), size):
        messages += [codec.decode(body) for body in reader.feed(stream[start : start + size])]
    assert [message.requestId for message in messages] == list(range(count))


@hypothesis.given(strategies.binary(max_size=400))
@hypothesis.settings(max_examples=400, derandomize=True)
def test_random_bytes_decode_or_raise_frame_error(data):
    reader = codec.FrameReader()
    try:
        for body in reader.feed(data):
            codec.decode(body)
    except codec.FrameError:
        pass


@hypothesis.given(strategies.binary(min_size=8, max_size=200), strategies.integers(0, 30))
@hypothesis.settings(max_examples=300, derandomize=True)
def test_corrupted_messages(noise, offset):
    body = bytearray(frame(9)[4:])
    body[offset : offset + len(noise)] = noise
    try:
        message = codec.decode(bytes(body))
        str(message)
    except Exception as error:
        assert isinstance(error, codec.FrameError) or "capnp" in type(error).__module__


@pytest.mark.parametrize("length", [0, 7, 12, codec.MAX_FRAME_BYTES + 8, 0xFFFFFFFF])
def test_invalid_frame_lengths(length):
    with pytest.raises(codec.FrameError):
        codec.FrameReader().feed(length.to_bytes(4, "little"))
