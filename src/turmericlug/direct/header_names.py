"""Names of the HTTP headers that a deployment's callers, instances and replicas exchange."""

from __future__ import annotations

from collections import abc

import attrs

from turmericlug.direct import load as load_module


@attrs.frozen
class HeaderNames:
    """Header names, in lower case."""

    request_id: bytes
    """Identifies one attempt of a caller; replicas echo it."""
    time_left: bytes
    """Milliseconds until the sender stops waiting."""
    expected_instance: bytes
    """Instance name of the intended replica; any other replica must reject the request."""
    not_run: bytes
    """Set in a replica's response if it did not run the request."""
    signature: bytes
    """Proves that the replica itself produced the response."""
    part_signatures: bytes
    """Comma-separated signatures of the parts that a merged response contains."""
    missing_parts: bytes
    """Number of shards that a merged response lacks."""
    retry_after: bytes
    """Seconds, with fractions, after which a refused caller may retry."""
    api_key: bytes = b""
    """The caller's API key, a secret; empty if the deployment has no such header."""
    organisation: bytes = b""
    """Tells replicas the name of the caller's organisation; empty as above."""
    load: bytes = b""
    """Load that a replica reports in its response; empty if replicas do not report it."""
    read_load: abc.Callable[[bytes], load_module.Load | None] = lambda value: None
    """Parses the load header; returns ``None`` for a value that is not in the published format."""
