"""Limits, requests and responses of the HTTP/1.1 server for callers."""

from __future__ import annotations

from collections import abc

import attrs


@attrs.frozen
class Limits:
    """Limits on the size of a caller's request and the time to send it."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Request:
    """A complete request as received."""

    method: bytes
    target: bytes
    """Path and query as sent."""
    headers: tuple[tuple[bytes, bytes], ...]
    """Names in lower case."""
    body: bytes
    arrived_s: float
    """Time of its first byte, on the event loop's clock."""
    began_s: float = 0.0
    """Estimated time of the caller's first packet, including connection setup."""
    response_latency_s: float = 0.0
    """Estimated one-way latency of the response to the caller."""
    stalled_s: float = 0.0
    """How long the event loop was blocked before it read the request."""
    caller_host: str = ""
    """Remote address of the caller."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its lower-case name."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


@attrs.frozen
class Response:
    """The response to a caller."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    close: bool = False
    chunks: abc.AsyncIterator[bytes] | None = None
    """The body in chunks, each sent as soon as it is available; replaces ``body``."""


Handler = abc.Callable[[Request], abc.Awaitable[Response]]
