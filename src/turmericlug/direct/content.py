"""Fingerprints that identify a request across attempts and instances."""

from __future__ import annotations

from turmericlug.direct import header_names
from turmericlug.policy import fingerprint as fingerprint_module


def fingerprint(
    method: bytes,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    names: header_names.HeaderNames,
) -> bytes:
    """
    Return the fingerprint of a request; every instance computes the same one.

    It covers the method, target, host, organisation and body. All other headers are left out: the
    request identifier and the remaining time change with each attempt.
    """
    identifying = (b"host", names.organisation)
    values = (value for key, value in headers if key in identifying)
    return fingerprint_module.of((method, target, *values, body))
