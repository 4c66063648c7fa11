"""Responses without end: bounded in bytes, memory and time, whatever part of them is endless."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import tracemalloc

import hypothesis
import pytest
from hypothesis import strategies as st

from turmericlug.http1 import client
from turmericlug.http1 import reading

REQUEST = client.request_bytes(b"GET", b"/a/1", [(b"host", b"h")], b"")
START = b"HTTP/1.1 200 OK\r\n"
CHUNKED = START + b"transfer-encoding: chunked\r\n\r\n"
SMALL_LIMITS = {
    "MAX_RESPONSE_BYTES": 400,
    "MAX_HEAD_BYTES": 300,
    "MAX_HEADERS": 8,
    "MAX_INTERIM_RESPONSES": 3,
    "MAX_FRAMING_BYTES": 200,
}
HEAD = "response head too large: more than 65536 bytes"
HEADERS = "response has too many headers: more than 256"
FRAMING = "response framing too large: more than 65536 bytes"
BODY = "response body too large: more than 8388608 bytes"
INTERIM = "too many interim responses: more than 32"
# What comes first, what comes again and again, and the errors that may end it: which one depends on
# the size of the pieces.
ENDLESS = {
    "empty lines": (b"", b"\r\n", (HEAD,)),
    "reason phrase": (b"HTTP/1.1 200 ", b"O", (HEAD,)),
    "one header line": (START + b"x-a: ", b"a", (HEAD,)),
    "one header name": (START, b"a", (HEAD,)),
    "header lines": (START, b"x-a: b\r\n", (HEADERS,)),
    "long header lines": (START, b"x-a: " + b"b" * 1000 + b"\r\n", (HEAD,)),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", (INTERIM,)),
    "headers of interim responses": (
        b"",
        b"HTTP/1.1 103 E\r\n" + b"x-a: " + b"b" * 9000 + b"\r\n\r\n",
        (HEAD,),
    ),
    "body of an interim response": (
        b"HTTP/1.1 104 E\r\ncontent-length: 8388608\r\n\r\n",
        b"a" * 1000,
        (BODY, "unreadable response: Expected HTTP/, RTSP/ or ICE/"),
    ),
    "body without length": (START + b"\r\n", b"a" * 1000, (BODY,)),
    "chunks": (CHUNKED, b"3e8\r\n" + b"a" * 1000 + b"\r\n", (BODY,)),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n", (FRAMING,)),
    "extension of a chunk": (CHUNKED + b"4;", b"a", (FRAMING,)),
    "zeros of a chunk size": (CHUNKED, b"0", (FRAMING,)),
    "chunks with long extensions": (
        CHUNKED,
        b"1;" + b"e" * 900 + b"\r\na\r\n",
        (FRAMING,),
    ),
    "one trailer": (CHUNKED + b"0\r\nx-a: ", b"a", (FRAMING,)),
    "trailers": (CHUNKED + b"0\r\n", b"x-a: b\r\n", (FRAMING,)),
    "trailers after a long body": (
        CHUNKED + b"400000\r\n" + b"a" * 0x400000 + b"\r\n0\r\n",
        b"x-a: b\r\n",
        (FRAMING,),
    ),
    "bytes that are no response": (b"", b"garbage ", None),
}


def pieces_of(first, again, size):
    """Yield an endless message in pieces of about a size."""
    yield first
    repeated = again * max(1, size // len(again))
    yield from itertools.repeat(repeated)


def feed_until_error(pieces):
    """Feed a reader until it raises; return the error and how many bytes it took."""
    reader = reading.Reader()
    fed = 0
    for piece in pieces:
        fed += len(piece)
        try:
            reader.feed(piece)
        except reading.ReadError as error:
            return str(error), fed
        assert reader.response is None


@pytest.mark.parametrize("size", [1, 1000, 65536, 262144])
@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_response_ends_at_its_limit(kind, size):
    """
    A replica's answer has no end in some part. Read until the time-out, it took hundreds of
    megabytes of memory, and the processor time of one endless line grew with its square.
    """
    first, again, errors = ENDLESS[kind]
    tracemalloc.start()
    try:
        error, fed = feed_until_error(pieces_of(first, again, size))
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    if errors is None:
        assert error.startswith("unreadable response: ")
    else:
        assert error in errors
    may_have_body = BODY in (errors or ())
    limit = reading.MAX_RESPONSE_BYTES if may_have_body else 0
    largest = len(first) + max(size, len(again))
    assert fed <= reading.MAX_HEAD_BYTES + 3 * reading.MAX_FRAMING_BYTES + 1.1 * limit + largest
    assert peak_bytes <= 1_000_000 + 2 * limit + 3 * largest


@contextlib.asynccontextmanager
async def endless_server(first, again):
    """Answer each request without end, until the connection closes; yield the address."""

    async def serve(reader, writer):
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                for piece in pieces_of(first, again, 65536):
                    writer.write(piece)
                    await writer.drain()
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_response_on_a_real_connection_closes_it(kind):
    """The exchange must end at the limit, not at the time-out, and leave no open connection."""
    first, again, errors = ENDLESS[kind]

    async def main():
        async with endless_server(first, again) as address:
            connection = await client.connect(*address)
            with pytest.raises(client.ExchangeError) as raised:
                async with asyncio.timeout(30):
                    await connection.exchange(REQUEST)
            assert errors is None or str(raised.value) in errors
            assert connection.closed

    asyncio.run(main())


SOUND = st.sampled_from(
    [
        START + b"content-length: 4\r\n\r\nbody",
        CHUNKED + b"2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nx-a: b\r\n\r\n",
        b"HTTP/1.1 103 E\r\nx-a: b\r\n\r\n" * 2 + START + b"content-length: 4\r\n\r\nbody",
    ]
)


@st.composite
def messages(draw):
    """A sound message, one that is cut, or one that repeats some of its bytes many times."""
    sound = draw(SOUND)
    kind = draw(st.sampled_from(["sound", "cut", "endless"]))
    if kind == "sound":
        return kind, sound
    at = draw(st.integers(0, len(sound) - 1))
    if kind == "cut":
        return kind, sound[:at]
    repeated = sound[at : at + draw(st.integers(1, 20))]
    return kind, sound[:at] + repeated * (4000 // len(repeated))


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(messages(), st.lists(st.integers(1, 64), min_size=1, max_size=8))
def test_the_reader_stays_within_its_limits(message, sizes):
    """
    Sound, cut and endless messages come in random pieces. A sound one is read whole; no other one
    may be taken for it with another body, or make the reader take or keep more than its limits.
    """
    kind, content = message
    fed = 0
    with pytest.MonkeyPatch.context() as patch:
        for name, value in SMALL_LIMITS.items():
            patch.setattr(reading, name, value)
        reader = reading.Reader()
        sizes_in_turn = itertools.cycle(sizes)
        with contextlib.suppress(reading.ReadError):
            while fed < len(content) and reader.response is None:
                piece = content[fed : fed + next(sizes_in_turn)]
                fed += len(piece)
                reader.feed(piece)
    limits = SMALL_LIMITS["MAX_HEAD_BYTES"] + SMALL_LIMITS["MAX_FRAMING_BYTES"]
    assert fed <= limits + 2 * SMALL_LIMITS["MAX_RESPONSE_BYTES"] + 3 * max(sizes)
    assert len(reader._headers) <= SMALL_LIMITS["MAX_HEADERS"]
    assert sum(len(name) + len(value) for name, value in reader._headers) <= 300
    assert len(reader._body) <= SMALL_LIMITS["MAX_RESPONSE_BYTES"]
    if kind == "sound":
        assert reader.response.body == b"body"
    if kind == "cut":
        reader.end()
        assert reader.response is None
