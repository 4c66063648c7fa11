"""Recognising a request that comes again: what it asks for, not which attempt it is."""

from __future__ import annotations

import hashlib

from turmericlug.direct import dialect

FINGERPRINT_BYTES = 16
"""So long that no two requests of a deployment share one, also where a caller tries for it."""


def fingerprint(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    names: dialect.Dialect,
) -> bytes:
    """
    Return the same bytes for the same request of the same organisation, at every instance.

    Identifiers and the time left are new with each attempt and do not count. It tells nothing of
    the body but whether it is the same.
    """
    told = (b"host", names.organisation)
    parts = [method, target, *(value for key, value in headers if key in told), body]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        # Its length first: what ends one part can't be taken for the begin of the next.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
