"""Memory of responses that callers are slow to read: held once, counted, and given back."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tracemalloc
import weakref

import pytest
import uvloop

from turmericlug.http1 import accepting
from turmericlug.http1 import messages
from turmericlug.http1 import server

REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
BODY_BYTES = 16_000_000
"""More than the operating system buffers for a connection over loopback."""


class Memory:
    """Stands for what accounts for the memory of a body."""


def run(scenario):
    """Run a scenario on the event loop that instances use."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(scenario)


@contextlib.asynccontextmanager
async def serving(handler, send_buffer_bytes=0, **options):
    """
    Serve on a port; yield the server and the port.

    :param send_buffer_bytes: what the operating system may buffer; 0 leaves it to that
    """
    http_server = server.Server(handler, messages.Limits, 100, **options)
    listening = accepting.bind("127.0.0.1", 0)
    if send_buffer_bytes:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    listener = await server.listen(http_server, "127.0.0.1", 0, listening)
    try:
        yield http_server, listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        http_server.close()


async def ask_without_reading(port):
    """Send a request and don't read; return the reader and the writer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
    writer.transport.pause_reading()
    writer.write(REQUEST)
    return reader, writer


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


async def read_response(reader, writer, size_bytes):
    """Read a response that was left unread."""
    writer.transport.resume_reading()
    async with asyncio.timeout(20):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(size_bytes)


def test_unread_responses_are_held_once():
    """Guards against a copy of each body, which doubles the memory of callers that don't read."""
    callers = 4

    async def scenario():
        handled = []

        async def handle(request):
            handled.append(request)
            return messages.Response(200, body=bytes(BODY_BYTES))

        async with serving(handle) as (_, port):
            tracemalloc.start()
            try:
                writers = [(await ask_without_reading(port))[1] for _ in range(callers)]
                await until(lambda: len(handled) == callers)
                await asyncio.sleep(0)
                assert tracemalloc.get_traced_memory()[1] < 1.3 * callers * BODY_BYTES
            finally:
                tracemalloc.stop()
            for writer in writers:
                writer.transport.abort()

    run(scenario())


@pytest.mark.parametrize("ending", ["read", "closed"])
@pytest.mark.parametrize("size_bytes", [100, BODY_BYTES])
def test_memory_of_a_body_counts_until_it_is_sent(size_bytes, ending):
    """Guards against bodies that no account knows, and against counting those that are gone."""

    async def scenario():
        tokens = []

        async def handle(request):
            memory = Memory()
            tokens.append(weakref.ref(memory))
            return messages.Response(200, body=bytes(size_bytes), memory=memory)

        async with serving(handle) as (http_server, port):
            reader, writer = await ask_without_reading(port)
            await until(lambda: tokens)
            for _ in range(20):
                await asyncio.sleep(0.01)
                assert (tokens[0]() is not None) == (size_bytes == BODY_BYTES)
            if ending == "read":
                await read_response(reader, writer, size_bytes)
            else:
                writer.transport.abort()
            await until(lambda: tokens[0]() is None)
            await until(lambda: ending == "read" or not http_server.connections)
            assert len(http_server.connections) == (1 if ending == "read" else 0)
            writer.transport.abort()

    run(scenario())


async def ten_chunks():
    for _ in range(10):
        yield bytes(6000)


UNSENT = {
    "whole": (lambda: messages.Response(200, body=bytes(60_000)), 60_000, 60_000),
    "in chunks": (lambda: messages.Response(200, chunks=ten_chunks()), 6000, 12_000),
}


@pytest.mark.parametrize("ending", ["read", "closed"])
@pytest.mark.parametrize("kind", UNSENT)
def test_unsent_bytes_count_however_few_they_are(kind, ending):
    """Guards against thousands of small responses that are unsent and outgrow the machine."""
    make_response, least_bytes, most_bytes = UNSENT[kind]
    callers = 20

    async def scenario():
        async def handle(request):
            return make_response()

        async with serving(handle, send_buffer_bytes=4096) as (http_server, port):
            streams = []
            for _ in range(callers):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.connect(("127.0.0.1", port))
                sock.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
                writer.transport.pause_reading()
                writer.write(REQUEST)
                streams.append((reader, writer))
            budget = http_server.budget
            await until(lambda: budget.held_bytes >= callers * least_bytes)
            assert budget.held_bytes <= callers * (most_bytes + 1000)
            for reader, writer in streams:
                if ending == "read":
                    writer.transport.resume_reading()
                    body_end = b"0\r\n\r\n" if kind == "in chunks" else bytes(1000)
                    async with asyncio.timeout(20):
                        await reader.readuntil(b"\r\n\r\n")
                        received = b""
                        while len(received) < 60_000 or not received.endswith(body_end):
                            received += await reader.read(4096)
            for _, writer in streams if ending == "closed" else ():
                writer.transport.abort()
            await until(lambda: not budget.held_bytes)
            for _, writer in streams:
                writer.transport.abort()

    run(scenario())
