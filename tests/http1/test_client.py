"""Client connection against scripted servers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time

import pytest
import uvloop

from turmericlug.http1 import client

REQUEST = client.request_bytes(b"GET", b"/a/1", [(b"host", b"h")], b"")
COMPLETE = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nbody"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"


@contextlib.asynccontextmanager
async def scripted_server(script):
    """Serve each connection with the coroutine function ``script(reader, writer)``."""

    async def serve(reader, writer):
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await script(reader, writer)
        finally:
            # Also at the end of the test: a writer collected after its loop breaks pytest itself.
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


def respond_once(response_bytes, then="wait"):
    """Send ``response_bytes`` to the first request, then close, reset or keep the connection."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response_bytes)
        await writer.drain()
        if then == "reset":
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await asyncio.sleep(0.05)
            writer.transport.abort()
        elif then == "wait":
            await reader.read()

    return script


@pytest.mark.parametrize(
    ("response_bytes", "then", "reusable"),
    [
        (COMPLETE, "wait", True),
        (CHUNKED, "wait", True),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE, "wait", True),
        (COMPLETE.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"), "wait", False),
        (UNFRAMED, "close", False),
        (COMPLETE + b"surplus", "wait", False),
        (COMPLETE + COMPLETE, "wait", False),
        (COMPLETE + COMPLETE[:20], "wait", False),
    ],
    ids=["length", "chunked", "1xx", "closing", "unframed", "surplus", "doubled", "half-doubled"],
)
def test_complete_responses(response_bytes, then, reusable):
    """
    A replica sends a second response to one request, or garbage after the response.
    The first response is complete and valid, but the next request on that connection would get the
    surplus bytes as its response, so the connection must not be reused.
    """

    async def main():
        async with scripted_server(respond_once(response_bytes, then)) as address:
            connection = await client.connect(*address)
            response = await connection.exchange(REQUEST)
            assert (response.status, response.body) == (200, b"body")
            assert response.reusable == reusable
            assert connection.closed != reusable

    asyncio.run(main())


@pytest.mark.parametrize(
    ("response_bytes", "then"),
    [
        (COMPLETE[:-1], "close"),
        (COMPLETE[:-1], "reset"),
        (CHUNKED[:-5], "close"),
        (UNFRAMED, "reset"),
        (b"no answer at all\r\n\r\n", "wait"),
        (b"", "close"),
        (COMPLETE[:30], "close"),
    ],
    ids=["short", "short-reset", "chunks", "unframed-reset", "garbage", "nothing", "head"],
)
def test_incomplete_responses(response_bytes, then):
    """
    A replica truncates its response; accepted as complete, it would give the caller wrong records.
    A response is complete only if its framing shows it, or, without framing, if the connection was
    closed and not reset.
    """

    async def main():
        async with scripted_server(respond_once(response_bytes, then)) as address:
            connection = await client.connect(*address)
            with pytest.raises(client.ExchangeError):
                await connection.exchange(REQUEST)
            assert connection.closed

    asyncio.run(main())


def test_bytes_on_an_idle_connection_close_it():
    """
    A second response arrives after the first was delivered, while the connection is idle.
    The next request would get those bytes as its response before the replica has received it.
    """
    unexpected = []

    async def main():
        sent = asyncio.Event()

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE)
            await sent.wait()
            writer.write(COMPLETE)
            await reader.read()

        async with scripted_server(script) as address:
            connection = await client.connect(
                *address, on_unexpected_bytes=lambda: unexpected.append(1)
            )
            await connection.exchange(REQUEST)
            assert not connection.closed
            sent.set()
            async with asyncio.timeout(10):
                while not connection.closed:
                    await asyncio.sleep(0.005)

    asyncio.run(main())
    assert unexpected == [1]


def test_an_early_response_to_a_long_body_prevents_reuse():
    """
    A replica rejects a long body before reading all of it, and keeps the connection open.
    It would read the unsent rest of the body as the start of the next request.
    """

    async def main():
        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n")
            await writer.drain()
            await asyncio.sleep(5)

        async with scripted_server(script) as address:
            connection = await client.connect(*address)
            body = b"x" * (32 * 1024 * 1024)
            response = await connection.exchange(client.request_bytes(b"POST", b"/", [], body))
            assert response.status == 413
            assert not response.reusable

    asyncio.run(main())


def test_a_cancelled_exchange_closes_the_connection():
    """
    A caller disconnects while its request runs. Closing the connection makes the replica drop the
    request; an open connection would deliver the abandoned response to the next request.
    """
    closed = []

    async def main():
        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            closed.append(await reader.read() == b"")

        async with scripted_server(script) as address:
            connection = await client.connect(*address)
            task = asyncio.create_task(connection.exchange(REQUEST))
            await asyncio.sleep(0.02)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert connection.closed
            async with asyncio.timeout(10):
                while not closed:
                    await asyncio.sleep(0.005)

    asyncio.run(main())
    assert closed == [True]


def test_a_port_without_listener_is_a_connect_error():
    async def main():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        with pytest.raises(client.ConnectError):
            await client.connect("127.0.0.1", port)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("headers", "kept"),
    [
        ([(b"x-a", b"1"), (b"connection", b"close")], [(b"x-a", b"1")]),
        ([(b"x-a", b"1"), (b"connection", b"x-a, keep-alive")], []),
        ([(b"te", b"trailers"), (b"upgrade", b"h2c"), (b"content-length", b"3")], []),
    ],
)
def test_hop_by_hop_headers_are_not_forwarded(headers, kept):
    assert client.end_to_end(headers) == kept


@pytest.mark.parametrize(
    ("host", "port"),
    [
        ("h..example", 80),
        ("\ud800", 80),
        ("h\0", 80),
        ("x" * 70, 80),
        ("127.0.0.1", 70_000),
        ("127.0.0.1", -1),
    ],
    ids=ascii,
)
def test_address_that_is_none_cannot_be_connected(host, port):
    """Guards against one odd address that ends the task which opens connections ahead."""

    async def main():
        with pytest.raises(client.ConnectError):
            await client.connect(host, port)

    asyncio.run(main())


def block_event_loop(duration_s):
    """Keep this process from running anything else, as a busy machine does."""
    time.sleep(duration_s)


@pytest.mark.parametrize("new_event_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("steps", range(5))
def test_a_stall_of_this_process_does_not_fail_a_connection(steps, new_event_loop):
    """
    This process stands still for longer than the connection's timeout. The address has accepted
    meanwhile, and would be taken for one that doesn't answer.
    """

    async def main():
        async with scripted_server(respond_once(COMPLETE)) as (host, port):
            opening = asyncio.create_task(client.connect(host, port, timeout_s=0.1))
            for _ in range(steps):
                await asyncio.sleep(0)
            block_event_loop(0.3)
            connection = await opening
            response = await connection.exchange(REQUEST)
            connection.close()
            return response.status

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        assert runner.run(main()) == 200


@pytest.mark.parametrize("stalled_s", [0.0, 0.5], ids=["running", "stalled"])
def test_an_address_that_does_not_accept_is_given_up(stalled_s):
    """Guards against a wait without end, also where this process was stalled itself."""

    async def main():
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
            address = listener.getsockname()
            for _ in range(4):
                # Fills the queue of connections, so that the next one isn't accepted.
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(address)
            opening = asyncio.create_task(client.connect(*address, timeout_s=0.2))
            await asyncio.sleep(0.01)
            block_event_loop(stalled_s)
            resumed_s = time.monotonic()
            with pytest.raises(client.ConnectError, match="in time"):
                await opening
            assert time.monotonic() - resumed_s < 1.0

    asyncio.run(main())


@pytest.mark.parametrize("steps", range(8))
def test_a_cancelled_connection_is_not_left_open(steps):
    """Guards against connections that nobody uses or closes, and that servers count."""

    async def main():
        closed = asyncio.Event()

        async def wait_for_end(reader, writer):
            await reader.read()
            closed.set()

        async with scripted_server(wait_for_end) as (host, port):
            opening = asyncio.create_task(client.connect(host, port))
            for _ in range(steps):
                await asyncio.sleep(0)
            opening.cancel()
            try:
                (await opening).close()
            except asyncio.CancelledError:
                pass
            if steps > 2:
                async with asyncio.timeout(5):
                    await closed.wait()

    asyncio.run(main())
