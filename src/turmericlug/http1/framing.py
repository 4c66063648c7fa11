"""How a request's head frames its body."""

from __future__ import annotations

from collections import abc

Headers = abc.Sequence[tuple[bytes, bytes]]


def is_clear(version: str, headers: Headers) -> bool:
    """Whether the replica would get the body as the caller means it."""
    encodings = [value for name, value in headers if name == b"transfer-encoding"]
    if not encodings:
        return version in ("1.0", "1.1")
    return version == "1.1" and [value.strip().lower() for value in encodings] == [b"chunked"]


def announced_bytes(headers: Headers) -> int:
    """Return the length of the body that the head announces; 0 without one."""
    value = next((value for name, value in headers if name == b"content-length"), b"0")
    return int(value) if value.isdigit() else 0
