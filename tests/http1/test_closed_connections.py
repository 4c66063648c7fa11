"""A connection that has ended is freed at once, with the bodies that it holds."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest
import uvloop

from turmericlug.http1 import messages
from turmericlug.http1 import server

HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\n"
SENT = {
    "nothing": b"",
    "half a head": HEAD,
    "half a body": HEAD + b"content-length: 1000\r\n\r\n" + bytes(500),
    "a request that was answered": HEAD + b"content-length: 4\r\n\r\nbody",
    "a request in progress": HEAD.replace(b"/a", b"/wait") + b"content-length: 4\r\n\r\nbody",
    "a refused request": HEAD + b"content-length: 1000000000\r\n\r\n",
    "no HTTP": b"garbage\r\n\r\n",
    "requests that wait": HEAD.replace(b"/a", b"/wait") + b"\r\n" + bytes(100_000),
}


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("kind", SENT)
def test_a_closed_connection_waits_for_no_garbage_collection(kind, loop_factory):
    """
    Guards against references in a circle, which keep closed connections and their bodies until a
    collection: instances make these rare.
    """

    async def main():
        handled = []

        async def handle(request):
            handled.append(request.target)
            if request.target == b"/wait":
                await asyncio.sleep(60)
            return messages.Response(200)

        http_server = server.Server(handle, messages.Limits, 10)
        listener = await server.listen(http_server, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        writer.write(SENT[kind])
        async with asyncio.timeout(10):
            while not http_server.connections:
                await asyncio.sleep(0.01)
            connections = [weakref.ref(each) for each in http_server.connections]
            for _ in range(10):
                await asyncio.sleep(0.01)
            writer.close()
            while http_server.connections:
                await asyncio.sleep(0.01)
            for _ in range(10):
                await asyncio.sleep(0.01)
        assert [each() for each in connections] == [None]
        listener.close()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        gc.collect()
        gc.disable()
        try:
            runner.run(main())
        finally:
            gc.enable()


@pytest.mark.parametrize("body_bytes", [100, 9000])
@pytest.mark.parametrize("tail", [b"", b"\r\n"], ids=["nothing", "empty line"])
def test_request_of_a_caller_that_left_is_cancelled(body_bytes, tail):
    """Guards against a request that runs on without its caller, as reading is paused behind it."""

    async def main():
        began, cancelled = asyncio.Event(), asyncio.Event()

        async def handle(request):
            began.set()
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return messages.Response(200)

        http_server = server.Server(handle, messages.Limits, 10)
        listener = await server.listen(http_server, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
        length = b"content-length: %d\r\n\r\n" % body_bytes
        writer.write(HEAD + length + bytes(body_bytes) + tail)
        async with asyncio.timeout(10):
            await began.wait()
            writer.transport.abort()
            await cancelled.wait()
        listener.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
