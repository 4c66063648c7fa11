"""What of a request stays the same when it comes again."""

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
    Return the same bytes for the same request of the same organisation, at every instance.

    Identifiers and the time left are new with each attempt and do not count.
    """
    told = (b"host", names.organisation)
    named = (value for key, value in headers if key in told)
    return fingerprint_module.of((method, target, *named, body))
