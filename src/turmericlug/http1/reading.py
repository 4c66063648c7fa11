"""Reads the bytes of one response with httptools; a new reader serves each request."""

from __future__ import annotations

from collections import abc

import attrs
import httptools

from turmericlug.http1 import sizes

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Bounds the memory per response; the largest measured bodies are some tens of kilobytes."""
SMALL_BYTES = 64 * 1024
"""Size up to which a body of unknown length counts as small."""
MAX_HEAD_BYTES = 64 * 1024
"""Bounds the bytes before the body: status line and headers, with those of interim responses. The
largest are some tens of kilobytes, the signatures of 500 parts. Bounded bytes also bound the time:
the parser copies what it has of a header with each further piece."""
MAX_HEADERS = 256
MAX_INTERIM_RESPONSES = 32
MAX_FRAMING_BYTES = 64 * 1024
"""Bounds the framing of a chunked body; see ``sizes``."""

_SWITCHING_PROTOCOLS = 101
_SHOWN_BYTES = 40
"""Bytes of a wrong value that an error message shows."""


class ReadError(Exception):
    """The bytes received are not a response that can be used."""


class LimitError(ReadError):
    """The response exceeds a limit: reading on would take ever more memory or time."""


@attrs.frozen
class Response:
    """A complete response as received."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    reusable: bool
    """Whether the connection may carry another request."""
    memory: object = attrs.field(default=None, eq=False, repr=False)
    """Accounts for the memory of the response for as long as something refers to it."""

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its lower-case name."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


class Reader:
    """Reads the response to one request, and the interim responses (1xx) before it."""

    def __init__(
        self,
        is_head: bool = False,
        on_interim: abc.Callable[[], None] | None = None,
        on_chunk: abc.Callable[[bytes], None] | None = None,
    ) -> None:
        """
        Create a reader.

        :param is_head: whether the request is HEAD, whose response has no body
        :param on_interim: called for each interim response
        :param on_chunk: called for each chunk of the body as it arrives
        """
        self.response: Response | None = None
        """The response, once it is complete."""
        self.has_surplus = False
        """Whether bytes followed the complete response."""
        self._is_head = is_head
        self._on_interim = on_interim
        self._on_chunk = on_chunk
        self._parser = httptools.HttpResponseParser(self)
        self._head_bytes = 0
        """Bytes of complete headers and reason phrases."""
        self._body_bytes = 0
        self._sizes = sizes.Sizes(MAX_HEAD_BYTES, MAX_FRAMING_BYTES)
        self._interim_responses = 0
        self._begin_message()

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that were read, those of chunks that were passed on included."""
        return self._body_bytes

    @property
    def required_bytes(self) -> int:
        """
        Memory that the body takes until it is complete; 0 before the head is.

        A body of unknown length counts as small until it is not, and then as the largest one.
        """
        if not self._head_done:
            return 0
        if self._length is not None:
            return self._length
        return SMALL_BYTES if len(self._body) <= SMALL_BYTES else MAX_RESPONSE_BYTES

    def close(self) -> None:
        """
        Drop the parser and the body.

        The parser refers to the reader's callbacks. While both refer to each other, only a garbage
        collection would free the body, and collections are rare.
        """
        del self._parser
        self._body = bytearray()

    def _begin_message(self) -> None:
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_done = False
        self._length: int | None = None
        """Length of the body, if the head states it."""
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """
        Read bytes; those after a complete response only set ``has_surplus``.

        :raises ReadError: the response can't be used, or exceeds a limit
        """
        head_was_done = self._head_done
        body_bytes_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.response is not None:
                self.has_surplus = True
                return
            if isinstance(error.__context__, ReadError):
                raise error.__context__ from None
            raise ReadError(f"unreadable response: {error}") from error
        if self.response is None:
            body_size = self._body_bytes - body_bytes_before
            too_large = self._sizes.count(len(data), body_size, head_was_done, self._head_done)
            if too_large:
                limit = MAX_HEAD_BYTES if too_large == sizes.HEAD else MAX_FRAMING_BYTES
                raise _too_large(f"response {too_large}", limit)

    def end(self) -> None:
        """Complete a response that has no length: it ends when the server closes."""
        if self.response is None and self._head_done and self._is_close_delimited():
            self._finish(reusable=False)

    def _is_close_delimited(self) -> bool:
        names = {name for name, _ in self._headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    def _finish(self, reusable: bool) -> None:
        self.response = Response(
            self._parser.get_status_code(),
            self._reason,
            tuple(self._headers),
            bytes(self._body),
            reusable,
        )

    def on_message_begin(self) -> None:
        """Parser callback: a response begins."""
        if self.response is not None:
            self.has_surplus = True
            return
        self._begin_message()

    def on_status(self, reason: bytes) -> None:
        """Parser callback: a piece of the reason phrase."""
        self._count_head(len(reason))
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header, or one trailer, which has no meaning here."""
        if self._head_done:
            return
        self._count_head(len(name) + len(value))
        if len(self._headers) == MAX_HEADERS:
            raise LimitError(f"response has too many headers: more than {MAX_HEADERS}")
        self._headers.append((name.lower(), value))

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _too_large("response head", MAX_HEAD_BYTES)

    def on_headers_complete(self) -> None:
        """Parser callback: end of the header section."""
        if self.response is not None:
            return
        self._check_head()
        self._head_done = True
        if self._is_head and self._parser.get_status_code() >= 200:
            self._finish(reusable=self._parser.should_keep_alive())

    def _check_head(self) -> None:
        """Reject heads that the parser accepts although they leave the body or its length open."""
        status = self._parser.get_status_code()
        if not 100 <= status <= 599 or status == _SWITCHING_PROTOCOLS:
            raise ReadError(f"unreadable response: status {status:03}")
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            raise ReadError(f"unreadable response: HTTP version {version}, not 1.0 or 1.1")
        encodings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if encodings and (encodings[0].strip().lower() != b"chunked" or len(encodings) > 1):
            # The body's bytes are encoded, but callers would get them without that header.
            names = b", ".join(encodings)[:_SHOWN_BYTES]
            raise ReadError(f"unreadable response: transfer-encoding {names!r}, not chunked")
        if encodings and version == "1.0":
            raise ReadError("unreadable response: transfer-encoding in HTTP 1.0")
        if self._is_head or status in (204, 304):
            self._length = 0
            return
        length = next((value for name, value in self._headers if name == b"content-length"), None)
        self._length = None if length is None else int(length)
        if self._length is not None and self._length > MAX_RESPONSE_BYTES:
            # Nothing of the body is read: no reason to hold other requests back from the replica.
            raise ReadError(str(_too_large("response body", MAX_RESPONSE_BYTES)))

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of the body."""
        if self.response is not None:
            self.has_surplus = True
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BYTES:
            raise _too_large("response body", MAX_RESPONSE_BYTES)
        self._body += body

    def on_chunk_complete(self) -> None:
        """Parser callback: a chunk of the body is complete."""
        if self._on_chunk is not None and self._body and self.response is None:
            self._on_chunk(bytes(self._body))
            self._body.clear()

    def on_message_complete(self) -> None:
        """Parser callback: a response is complete; interim ones don't end the exchange."""
        if self.response is not None:
            return
        if 100 <= self._parser.get_status_code() < 200:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                raise LimitError(f"too many interim responses: more than {MAX_INTERIM_RESPONSES}")
            self._begin_message()
            if self._on_interim is not None:
                self._on_interim()
            return
        self._finish(reusable=self._parser.should_keep_alive())


def _too_large(what: str, limit_bytes: int) -> LimitError:
    return LimitError(f"{what} too large: more than {limit_bytes} bytes")
