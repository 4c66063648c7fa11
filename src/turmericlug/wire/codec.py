"""Encoding of peer messages: Cap'n Proto envelopes in length-prefixed frames."""

from __future__ import annotations

import pathlib
import struct
import typing

import capnp

from turmericlug.wire import memory as memory_module

schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 << 20
_LENGTH = struct.Struct("<I")
# A reader traverses a frame once or twice; the limit rejects amplification attacks.
_TRAVERSAL_LIMIT_WORDS = 4 * MAX_FRAME_BYTES // 8

Envelope = typing.Any


class FrameError(Exception):
    """Bytes from a peer are not a valid frame of this protocol."""


def envelope(request_id: int) -> Envelope:
    """Create an empty envelope, whose union the caller must set."""
    message = schema.Envelope.new_message()
    message.requestId = request_id
    return message


def fill(message: Envelope, kind: str, **fields: typing.Any) -> None:
    """Initialise the struct ``kind`` of the union and set its fields."""
    payload = message.init(kind)
    for name, value in fields.items():
        setattr(payload, name, value)


def encode(message: Envelope) -> bytes:
    """Encode an envelope as one frame."""
    body = message.to_bytes()
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> Envelope:
    """
    Decode an envelope from a frame's body.

    :raises FrameError: the body is not a well-formed envelope
    """
    try:
        # The context is never exited: __exit__ would free the bytes that the message refers to.
        message = schema.Envelope.from_bytes(
            body, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ).__enter__()
        message.which()
    except Exception as error:  # pycapnp raises a different type for each kind of malformed input
        raise FrameError(str(error).splitlines()[0]) from error
    return message


class FrameReader:
    """Split a byte stream into frames; incomplete frames are not copied."""

    def __init__(self, held: memory_module.Memory | None = None) -> None:
        self._buffer = bytearray()
        self._held = held or memory_module.Memory()
        self._held_bytes = 0

    def feed(self, data: bytes) -> list[bytes]:
        """
        Add received bytes and return the bodies of all complete frames.

        :raises FrameError: a frame length is invalid, as in random or hostile input, or there is no
            memory for the rest of a frame
        """
        self._buffer += data
        bodies = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if not 8 <= length <= MAX_FRAME_BYTES or length % 8:
                raise FrameError(
                    f"frame length {length} is not a multiple of 8 from 8 bytes to 8 MiB"
                )
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            bodies.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        before_bytes, self._held_bytes = self._held_bytes, len(self._buffer)
        if not self._held.hold_received(before_bytes, self._held_bytes):
            raise FrameError(f"no memory for a frame, of which {self._held_bytes} bytes came")
        return bodies

    def close(self) -> None:
        """Hold nothing any more."""
        self._held.hold_received(self._held_bytes, 0)
        self._held_bytes = 0
        self._buffer.clear()
