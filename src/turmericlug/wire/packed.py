"""
Read packed Cap'n Proto messages.

The library's own reader of packed messages ends the process where a message of several segments is
shorter than it states: it reads all but the first segment later, and raises in a destructor. These
messages are therefore unpacked here, and read as plain ones, which takes longer.
"""

from __future__ import annotations

import typing

MAX_BYTES = 32 * 1024 * 1024
"""Size of an unpacked message; two packed bytes can stand for two kilobytes of zeros."""
_WORD_BYTES = 8
_SEGMENT_COUNT_TAG = 0x0F
"""Bits of the first tag that are 0 where the message has one segment: the first four bytes hold the
number of further ones."""
_ZEROS = [bytes(_WORD_BYTES * (count + 1)) for count in range(256)]
_POSITIONS = [
    tuple(position for position in range(_WORD_BYTES) if tag >> position & 1) for tag in range(256)
]
"""For each tag, the positions of the bytes of a word that are not zero."""


class PackedError(ValueError):
    """The message is cut short, or too large."""


def read(schema: typing.Any, content: bytes) -> typing.Any:
    """
    Read a packed message.

    :param schema: the type of its root
    :raises PackedError: cut short, or larger than ``MAX_BYTES``
    :raises Exception: otherwise malformed; the library raises a different type for each kind
    """
    limit_words = MAX_BYTES // _WORD_BYTES
    if content and not content[0] & _SEGMENT_COUNT_TAG:
        return schema.from_bytes_packed(content, traversal_limit_in_words=limit_words)
    plain = unpack(content)
    # The context is never exited: __exit__ would free the bytes that the message refers to.
    return schema.from_bytes(plain, traversal_limit_in_words=limit_words).__enter__()


def unpack(content: bytes) -> bytes:
    """
    Unpack a message.

    :raises PackedError: cut short, or larger than ``MAX_BYTES``
    """
    plain = bytearray()
    index, end = 0, len(content)
    try:
        while index < end:
            tag = content[index]
            index += 1
            if tag == 0:
                plain += _ZEROS[content[index]]
                index += 1
                if len(plain) > MAX_BYTES:
                    raise PackedError(f"larger than {MAX_BYTES} bytes")
            elif tag == 0xFF:
                literal_end = index + _WORD_BYTES + 1 + _WORD_BYTES * content[index + _WORD_BYTES]
                if literal_end > end:
                    raise PackedError("cut short")
                plain += content[index : index + _WORD_BYTES]
                plain += content[index + _WORD_BYTES + 1 : literal_end]
                index = literal_end
            else:
                word = bytearray(_WORD_BYTES)
                for position in _POSITIONS[tag]:
                    word[position] = content[index]
                    index += 1
                plain += word
    except IndexError:
        raise PackedError("cut short") from None
    if len(plain) > MAX_BYTES:
        raise PackedError(f"larger than {MAX_BYTES} bytes")
    return bytes(plain)
