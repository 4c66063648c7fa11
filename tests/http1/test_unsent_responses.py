"""Memory of responses that callers are slow to read: held once, counted, and given back."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
import weakref

import pytest
import uvloop

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
async def serving(handler, **options):
    """Serve on a port; yield the server and the port."""
    http_server = server.Server(handler, messages.Limits, 100, **options)
    listener = await server.listen(http_server, "127.0.0.1", 0)
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
