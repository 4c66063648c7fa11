"""What the callers' side of HTTP/1.1 takes and gives: limits, requests, answers."""

from __future__ import annotations

from collections import abc

import attrs


@attrs.frozen
class Limits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Request:
    """A request that was read whole."""

    method: bytes
    target: bytes
    """Path and query as sent."""
    headers: tuple[tuple[bytes, bytes], ...]
    """Names in lower case."""
    body: bytes
    arrived_s: float
    """When its head began to arrive, on the loop's clock."""
    began_s: float = 0.0
    """When the caller probably began, with the time to open the connection."""
    way_back_s: float = 0.0
    """What an answer probably takes to the caller."""
    stalled_s: float = 0.0
    """For how long this process stood still before it read the request."""
    caller_host: str = ""
    """The address that the request came from."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@attrs.frozen
class Answer:
    """What the caller gets."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    close: bool = False
    chunks: abc.AsyncIterator[bytes] | None = None
    """The body in pieces, each sent when it is there; ``body`` is not used then."""


Handler = abc.Callable[[Request], abc.Awaitable[Answer]]
