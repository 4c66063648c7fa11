"""What the headers between callers, instances and replicas are called in one deployment."""

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
    """Milliseconds the sender goes on waiting."""
    expected_instance: bytes
    """The replica's instance; another one at the same address must not run the request."""
    not_run: bytes
    """In a replica's answer: the request was not run."""
    signature: bytes
    """A replica's proof that it made this answer."""
    part_signatures: bytes
    """Signatures of the parts that an answer holds, separated by commas."""
    missing_parts: bytes
    """How many shards an answer lacks."""
    retry_after: bytes
    """Seconds, with fractions, after which a refused caller may come back."""
    organisation: bytes = b""
    """Tells the organisations of callers apart; empty where nothing does."""
    load: bytes = b""
    """In a replica's answer: its load; empty where replicas do not tell it."""
    read_load: abc.Callable[[bytes], load_module.Load | None] = lambda told: None
    """Reads that header; ``None`` where it is not of the published form."""
