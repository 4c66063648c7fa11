"""Limits on bytes of a message that the parser reports only at their end, or not at all."""

from __future__ import annotations

import attrs

HEAD = "head"
FRAMING = "framing"
"""The lines of chunk sizes, with their extensions, and the trailers."""


@attrs.define
class Sizes:
    """
    Counts the bytes that were fed to the parser of a message.

    A chunked body may have framing of its own size, and ``max_framing_bytes`` more; between two
    pieces of the body no more than ``max_framing_bytes``.
    """

    max_head_bytes: int
    max_framing_bytes: int
    head_bytes: int = 0
    _body_bytes: int = 0
    _framing_bytes: int = 0
    _framing_bytes_in_a_row: int = 0

    def count(self, size: int, body_size: int, head_was_done: bool, head_is_done: bool) -> str:
        """
        Count the bytes of one read.

        :param size: bytes that were read
        :param body_size: those of them that belong to the body
        :param head_was_done: whether the head was complete before
        :param head_is_done: whether it is complete now
        :returns: which part of the message is too large; empty if none is
        """
        self._body_bytes += body_size
        if not head_is_done:
            self.head_bytes += size
            return HEAD if self.head_bytes > self.max_head_bytes else ""
        if not head_was_done:
            return ""
        self._framing_bytes += size - body_size
        self._framing_bytes_in_a_row = 0 if body_size else self._framing_bytes_in_a_row + size
        too_large = (
            self._framing_bytes_in_a_row > self.max_framing_bytes
            or self._framing_bytes > self.max_framing_bytes + self._body_bytes
        )
        return FRAMING if too_large else ""
