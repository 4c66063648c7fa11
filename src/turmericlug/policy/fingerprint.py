"""Fingerprints that identify repeated requests by their content."""

from __future__ import annotations

import hashlib
from collections import abc

LENGTH_BYTES = 16
"""Long enough that no two requests of a deployment collide, even if a caller tries to make them."""


def of(parts: abc.Iterable[bytes]) -> bytes:
    """Return a digest that is equal for equal parts and reveals nothing else about them."""
    digest = hashlib.blake2b(digest_size=LENGTH_BYTES)
    for part in parts:
        # The length prefix keeps different splits of the same bytes apart.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
