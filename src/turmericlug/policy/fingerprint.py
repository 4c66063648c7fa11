"""Recognising a request that comes again by what it asks for."""

from __future__ import annotations

import hashlib
from collections import abc

LENGTH_BYTES = 16
"""So long that no two requests of a deployment share one, also where a caller tries for it."""


def of(parts: abc.Iterable[bytes]) -> bytes:
    """Return the same bytes for the same parts; they tell nothing else of the parts."""
    digest = hashlib.blake2b(digest_size=LENGTH_BYTES)
    for part in parts:
        # Its length first: what ends one part can't be taken for the begin of the next.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
