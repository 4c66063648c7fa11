"""Read and write HTTP/1.1 messages on asyncio streams; used by the stand-ins and the clients."""

from __future__ import annotations

import asyncio
import dataclasses

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected"}
REASONS |= {400: "Bad Request", 500: "Internal Server Error", 503: "Service Unavailable"}


@dataclasses.dataclass
class Message:
    """The start line, the headers and the body of a request or a response."""

    start: list[str]
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; ``None`` if the connection ends before it begins."""
    head = await reader.readuntil(b"\r\n\r\n") if not reader.at_eof() else b""
    if not head:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    message = Message(lines[0].split(" ", 2), headers, b"")
    if (message.header("transfer-encoding") or "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    elif length := int(message.header("content-length") or 0):
        message.body = await reader.readexactly(length)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
