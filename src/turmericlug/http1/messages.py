"""Limits, requests and responses of the HTTP/1.1 server for callers."""

from __future__ import annotations

import http
from collections import abc

import attrs

_STATUSES_WITHOUT_BODY = (204, 304)


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
    memory: object = attrs.field(default=None, eq=False, repr=False)
    """Accounts for the memory of the body for as long as something refers to it."""


Handler = abc.Callable[[Request], abc.Awaitable[Response]]


def has_body(method: bytes, response: Response) -> bool:
    """Whether the body of a response is sent, as a whole, behind its head."""
    may_have_body = method != b"HEAD" and response.status not in _STATUSES_WITHOUT_BODY
    return may_have_body and response.chunks is None


def response_head(method: bytes, response: Response, close: bool, idle_s: int) -> bytes:
    """
    Encode the head of a response.

    :param method: method of the request
    :param close: whether the connection is closed after it
    :param idle_s: keep-alive timeout; 0 states none
    """
    try:
        phrase = http.HTTPStatus(response.status).phrase.encode()
    except ValueError:
        phrase = b"Unknown"
    lines = [b"HTTP/1.1 %d %s\r\n" % (response.status, phrase)]
    lines += [name + b": " + value + b"\r\n" for name, value in response.headers]
    if response.chunks is not None:
        lines.append(b"transfer-encoding: chunked\r\n")
    elif response.status not in _STATUSES_WITHOUT_BODY and (response.body or method != b"HEAD"):
        lines.append(b"content-length: %d\r\n" % len(response.body))
    if close:
        lines.append(b"connection: close\r\n")
    elif idle_s:
        lines.append(b"keep-alive: timeout=%d\r\n" % idle_s)
    lines.append(b"\r\n")
    return b"".join(lines)


def rejection_bytes(status: int, reason: str) -> bytes:
    """Return the response to a request that the server refuses by itself."""
    headers = ((b"retry-after", b"0.5"),) if status == 503 else ()
    body = reason.encode()
    return response_head(b"GET", Response(status, headers, body), True, 0) + body
