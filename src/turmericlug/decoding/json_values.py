"""Parse JSON from outside; the limits on its size and nesting don't depend on the stack."""

from __future__ import annotations

import itertools
import json
import typing

from turmericlug.decoding import fields

MAX_BYTES = 8 * 1024 * 1024
"""The largest value that instances relay to each other."""
MAX_DEPTH = 32
"""The configuration has 5 levels, the store's answers 3. The parser's own limit is what the stack
of its caller leaves, so that two instances could read the same value differently."""
_SHORT_BYTES = 1024
"""Up to this length, counting brackets is faster than finding out which are in strings."""
_DEEPER = [0] * 256
"""By how many levels a byte outside of strings changes the nesting."""
for _byte in b"[{":
    _DEEPER[_byte] = 1
for _byte in b"]}":
    _DEEPER[_byte] = -1
_MANY_QUOTES = b'"' * 4
"""An even number, so that removing them keeps what is in strings and what isn't."""
_UNMARKED = bytes(set(range(256)) - set(b'[]{}"'))


def parse(content: bytes, max_bytes: int = MAX_BYTES) -> typing.Any:
    """
    Parse JSON in UTF-8.

    :raises FieldError: too large, too deeply nested, or not JSON in UTF-8
    """
    if len(content) > max_bytes:
        raise fields.FieldError(f"{len(content)} bytes, more than {max_bytes}", "size")
    if _is_too_deep(content):
        raise fields.FieldError(f"nested more than {MAX_DEPTH} levels deep", "depth")
    try:
        return json.loads(content.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        raise fields.FieldError(f"not UTF-8 at byte {error.start}", "text") from None
    except ValueError as error:
        raise fields.FieldError(str(error), "syntax") from None


def _is_too_deep(content: bytes) -> bool:
    is_short = len(content) <= _SHORT_BYTES
    if is_short and content.count(b"[") + content.count(b"{") <= MAX_DEPTH:
        return False
    if b"\\" in content:
        content = content.replace(rb"\\", b"").replace(rb"\"", b"")
    # Without escapes, every second part between quotes is outside of strings. Removing adjacent
    # quotes first keeps this, and leaves few parts; most are removed many at a time.
    marks = content.translate(None, _UNMARKED).replace(_MANY_QUOTES, b"").replace(b'""', b"")
    outside = b"".join(marks.split(b'"')[::2])
    inner = outside
    for _ in range(MAX_DEPTH // 2):
        # Removes one or two of the innermost levels, much faster than brackets can be counted.
        inner = inner.replace(b"[]", b"").replace(b"{}", b"")
        if not inner:
            return False
    depths = itertools.accumulate(map(_DEEPER.__getitem__, outside))
    return any(map(MAX_DEPTH.__lt__, depths))
