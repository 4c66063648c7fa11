"""Encoding of peer messages: Cap'n Proto envelopes in frames with a length before them."""

from __future__ import annotations

import pathlib
import struct
import typing

import capnp

schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 << 20
_LENGTH = struct.Struct("<I")
# A frame is traversed once or twice; the limit, in words, stops an amplifying message.
_TRAVERSAL_LIMIT_WORDS = 4 * MAX_FRAME_BYTES // 8

Envelope = typing.Any


class FrameError(Exception):
    """Bytes from a peer that are not a frame of this protocol."""


def envelope(request_id: int) -> Envelope:
    """Make an empty envelope; the caller sets one member of its union."""
    message = schema.Envelope.new_message()
    message.requestId = request_id
    return message


def fill(message: Envelope, kind: str, **fields: typing.Any) -> None:
    """Set a struct of the union, which has to be made before its fields can be set."""
    member = message.init(kind)
    for name, value in fields.items():
        setattr(member, name, value)


def encode(message: Envelope) -> bytes:
    """Turn an envelope into one frame."""
    body = message.to_bytes()
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> Envelope:
    """
    Read an envelope from a frame's body.

    :raises FrameError: the body is not a well-formed envelope
    """
    try:
        # Entered and never left: leaving would free the bytes that the message still points into.
        message = schema.Envelope.from_bytes(
            body, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ).__enter__()
        message.which()
    except Exception as error:  # the library raises its own type for each kind of damage
        raise FrameError(str(error).splitlines()[0]) from error
    return message


class FrameReader:
    """Cuts a byte stream into frames without copying what has not yet arrived whole."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """
        Add bytes, return the bodies of all frames complete by now.

        :raises FrameError: a length no frame may have, as random or hostile bytes show
        """
        self._buffer += data
        bodies = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if not 8 <= length <= MAX_FRAME_BYTES or length % 8:
                raise FrameError(f"a frame of {length} bytes")
            end = start + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            bodies.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return bodies
