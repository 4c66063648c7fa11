"""HTTP/1.1 server against raw bytes from callers."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket

import pytest
import uvloop

from turmericlug.http1 import accepting
from turmericlug.http1 import messages
from turmericlug.http1 import server
from turmericlug.telemetry import counters as counters_module

REQUEST = b"GET /a/1 HTTP/1.1\r\nhost: h\r\n\r\n"
LIMITS = messages.Limits(
    header_bytes=2000, body_bytes=5000, header_timeout_s=0.1, idle_timeout_s=30.0
)


@contextlib.asynccontextmanager
async def serving(handler, limits=LIMITS, max_connections=100, counters=None):
    http_server = server.Server(handler, lambda: limits, max_connections, counters=counters)
    listener = await server.listen(http_server, "127.0.0.1", 0)
    try:
        yield http_server, listener.sockets[0].getsockname()
    finally:
        listener.close()
        http_server.close()


async def echo(request):
    body = b"%s %s %s" % (request.method, request.target, request.body)
    return messages.Response(200, body=body)


async def send_and_receive(address, *pieces):
    """Send ``pieces`` and return everything received until the connection closes."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        async with asyncio.timeout(10):
            return await reader.read()
    finally:
        writer.close()


CLOSING_REQUEST = REQUEST.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n")


@pytest.mark.parametrize(
    ("pieces", "statuses"),
    [
        ([CLOSING_REQUEST], [b"200"]),
        ([REQUEST, CLOSING_REQUEST], [b"200", b"200"]),
        ([REQUEST + CLOSING_REQUEST], [b"200", b"200"]),
        ([CLOSING_REQUEST[:9], CLOSING_REQUEST[9:]], [b"200"]),
        (
            [b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab" + CLOSING_REQUEST],
            [b"200"] * 2,
        ),
        ([b"nonsense\r\n\r\n"], [b"400"]),
        ([b"GET /a HTTP/1.1\r\nhost: h\r\nx y: 1\r\n\r\n"], [b"400"]),
        ([b"GET /a HTTP/1.1\r\nhost: h\r\nx: " + b"v" * 3000 + b"\r\n\r\n"], [b"431"]),
        ([b"GET /" + b"v" * 3000 + b" HTTP/1.1\r\nhost: h\r\n\r\n"], [b"431"]),
        ([b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9999\r\n\r\n"], [b"413"]),
        (
            [
                b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1770\r\n",
                b"x" * 6000,
            ],
            [b"413"],
        ),
        (
            [
                b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            ],
            [b"400"],
        ),
        (
            [b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nab"],
            [b"400"],
        ),
        ([b"GET /a HTTP/1.1\r\nhost:"], [b"408"]),
    ],
    ids=[
        "one", "kept", "pipelined", "pieces", "body", "nonsense", "bad-header", "large-header",
        "large-target", "large-body", "large-chunks", "two-framings", "two-lengths", "slow-head",
    ],
)  # fmt: skip
def test_input_gets_the_expected_status(pieces, statuses):
    async def main():
        async with serving(echo) as (_, address):
            received = await send_and_receive(address, *pieces)
            received_statuses = [part.split(b" ")[0] for part in received.split(b"HTTP/1.1 ")[1:]]
            assert received_statuses == statuses
            # The server still accepts requests.
            assert (await send_and_receive(address, CLOSING_REQUEST)).startswith(b"HTTP/1.1 200")

    asyncio.run(main())


def test_trailers_are_no_headers():
    """A trailer could bring a header past whoever checks or strips the headers of a request."""
    requests = []

    async def main():
        async def record_request(request):
            requests.append(request)
            return messages.Response(200)

        async with serving(record_request) as (_, address):
            head = b"POST /a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
            chunks = b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nx-trailer: 1\r\n\r\n"
            await send_and_receive(address, head + chunks)

    asyncio.run(main())
    assert requests[0].body == b"x"
    assert requests[0].header(b"x-trailer") is None


def test_a_disconnect_cancels_the_request():
    """
    A caller closes its connection while its request runs. Nobody reads the response, and a replica
    that keeps processing the request wastes a slot.
    """
    events = []

    async def main():
        async def slow(request):
            try:
                events.append("began")
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                events.append("cancelled")
                raise

        async with serving(slow) as (_, address):
            _, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            while not events:
                await asyncio.sleep(0.005)
            writer.close()
            async with asyncio.timeout(10):
                while len(events) < 2:
                    await asyncio.sleep(0.005)

    asyncio.run(main())
    assert events == ["began", "cancelled"]


def test_a_draining_server_answers_with_connection_close():
    async def main():
        async with serving(echo) as (http_server, address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            assert b"keep-alive" in await reader.readuntil(b"GET /a/1 ")
            http_server.drain()
            writer.write(REQUEST)
            assert b"connection: close" in await reader.read()
            writer.close()

    asyncio.run(main())


def test_a_handler_exception_gives_status_500():
    async def main():
        async def broken(request):
            raise KeyError("bug")

        async with serving(broken) as (_, address):
            assert (await send_and_receive(address, REQUEST)).startswith(b"HTTP/1.1 500")

    asyncio.run(main())


@pytest.mark.parametrize("is_chunked", [True, False])
def test_a_response_that_cannot_be_written_closes_the_connection(is_chunked):
    """Guards against a caller that waits for an answer on a connection that nobody serves."""

    async def chunks():
        yield b"x"
        raise KeyError("bug")

    async def main():
        async def handle(request):
            if is_chunked:
                return messages.Response(200, chunks=chunks())
            return messages.Response(200, (("a text", "not bytes"),))

        failed = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: failed.append(context))
        async with serving(handle) as (http_server, address):
            with contextlib.suppress(ConnectionError):
                await send_and_receive(address, REQUEST)
            assert not http_server.busy_count()

    asyncio.run(main())


def failing_chunks(*chunks):
    async def generate():
        for chunk in chunks:
            yield chunk
        raise ValueError("bug")

    return generate()


async def empty_chunk():
    for chunk in (b"begin", b"", b"end"):
        yield chunk


@pytest.mark.parametrize(
    "make_response",
    [
        lambda: messages.Response(200, chunks=failing_chunks(b"part")),
        lambda: messages.Response(200, chunks=failing_chunks()),
        lambda: messages.Response(200, ((b"x-a", None),)),
    ],
    ids=["after a chunk", "before the first chunk", "header without value"],
)
def test_a_response_that_fails_while_it_is_written_ends_its_connection(make_response):
    """
    A body in chunks fails midway. Left open, the connection would hold the receiver until its
    deadline, and the next response on it would continue the broken body.
    """
    http_counters = counters_module.Counters()

    async def main():
        async def fail(request):
            return make_response()

        async with serving(fail, counters=http_counters) as (http_server, address):
            received = await send_and_receive(address, REQUEST)
            assert not received.endswith(b"\r\n0\r\n\r\n")
            assert not http_server.connections

    asyncio.run(main())
    assert http_counters.totals["caller.response_failed"] == 1


def test_an_empty_chunk_does_not_end_a_response():
    """On the wire an empty chunk is the end of the body: the receiver would take a part for all."""

    async def main():
        async def respond(request):
            return messages.Response(200, chunks=empty_chunk(), close=True)

        async with serving(respond) as (_, address):
            received = await send_and_receive(address, REQUEST)
            assert received.endswith(b"\r\n\r\n5\r\nbegin\r\n3\r\nend\r\n0\r\n\r\n")

    asyncio.run(main())


def test_an_unreadable_request_after_a_good_one_does_not_disturb_its_answer():
    """
    A caller sends garbage while its first request runs. The answer to the first is sent whole and
    closes the connection; writing a rejection after that raised in a callback.
    """
    errors = []

    async def main():
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))

        async def slow(request):
            await asyncio.sleep(0.05)
            return messages.Response(200, body=b"whole")

        async with serving(slow) as (_, address):
            received = await send_and_receive(address, REQUEST + b"garbage\r\n\r\n")
            assert received.startswith(b"HTTP/1.1 200 OK\r\n")
            assert received.endswith(b"\r\n\r\nwhole")

    asyncio.run(main())
    assert not errors


def test_too_many_connections_give_status_503():
    async def main():
        async with serving(echo, max_connections=1) as (_, address):
            _, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(0.02)
            assert (await send_and_receive(address)).startswith(b"HTTP/1.1 503")
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("event_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_callers_that_connect_at_once_are_served_up_to_the_limit(event_loop):
    """Connections were counted twice while they were opened, and refused far below the limit."""

    async def main():
        async with serving(echo, max_connections=300) as (_, address):
            sockets = [socket.create_connection(address) for _ in range(300)]
            try:
                for each in sockets:
                    each.sendall(REQUEST)
                loop = asyncio.get_running_loop()
                for each in sockets:
                    each.setblocking(False)
                async with asyncio.timeout(20):
                    return [await loop.sock_recv(each, 12) for each in sockets]
            finally:
                for each in sockets:
                    each.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        assert set(runner.run(main())) == {b"HTTP/1.1 200"}


def test_refused_connections_take_a_bounded_number_of_descriptors():
    """Refused connections stayed open for a second each, however many there were."""

    async def main():
        async with serving(echo, max_connections=1) as (http_server, address):
            streams = [await asyncio.open_connection(*address) for _ in range(300)]
            async with asyncio.timeout(10):
                answers = await asyncio.gather(*(reader.readline() for reader, _ in streams[1:]))
            assert len(http_server.connections) <= 1 + server.MAX_LINGERING
            assert all(b" 503 " in answer for answer in answers)
            for _, writer in streams:
                writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("error_number", [errno.EMFILE, errno.ENOBUFS])
def test_listener_goes_on_after_a_failure_to_accept(error_number):
    """Without a free descriptor for a moment, no connection may be accepted ever again."""

    class Failing:
        failures = 0

        def __init__(self, listening):
            self._listening = listening

        def accept(self):
            self.failures += 1
            if self.failures < 3:
                raise OSError(error_number, "no room")
            return self._listening.accept()

        def __getattr__(self, name):
            return getattr(self._listening, name)

    async def main():
        counters = counters_module.Counters()
        http_server = server.Server(echo, lambda: LIMITS, 100, counters=counters)
        listening = Failing(accepting.bind("127.0.0.1", 0))
        listener = await server.listen(http_server, "127.0.0.1", 0, listening)
        try:
            answer = await send_and_receive(listening.getsockname(), CLOSING_REQUEST)
            assert answer.startswith(b"HTTP/1.1 200")
            assert counters.totals["listener.accept_failed"] == 2
        finally:
            listener.close()

    asyncio.run(main())


def fail_to_open(http_server, listener):
    """Let opening fail in the event loop."""

    async def connect(create_protocol, accepted):
        create_protocol()
        raise RuntimeError("bug")

    asyncio.get_running_loop().connect_accepted_socket = connect


def fail_to_create(http_server, listener):
    """Let creating the connection fail."""

    def create():
        raise RuntimeError("bug")

    listener.create_protocol = create


def fail_to_refuse(http_server, listener):
    """Let refusing a connection fail."""

    def refuse():
        raise RuntimeError("bug")

    listener.is_full = lambda: True
    listener.refusal = refuse


@pytest.mark.parametrize("event_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("fail", [fail_to_open, fail_to_create, fail_to_refuse])
def test_connections_that_cannot_be_opened_count_no_longer(fail, event_loop):
    """Guards against a listener that is full of connections that were never opened."""

    async def main():
        http_server = server.Server(echo, lambda: LIMITS, 1)
        listener = await server.listen(http_server, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        usual = listener.is_full, listener.create_protocol, loop.connect_accepted_socket
        fail(http_server, listener)
        for _ in range(2 + server.MAX_LINGERING):
            with contextlib.suppress(ConnectionError):
                assert await send_and_receive(address) == b""
        assert not http_server.opening
        assert http_server.counters.totals["listener.open_failed"] == 2 + server.MAX_LINGERING
        listener.is_full, listener.create_protocol, loop.connect_accepted_socket = usual
        answer = await send_and_receive(address, CLOSING_REQUEST)
        assert answer.startswith(b"HTTP/1.1 200")
        listener.close()
        http_server.close()

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(main())


@pytest.mark.parametrize("event_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_an_error_as_a_connection_begins_closes_it(event_loop):
    """Guards against connections that nobody serves and that count as open for good."""

    async def main():
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))

        def fail(now_s):
            raise RuntimeError("bug")

        async with serving(echo) as (http_server, address):
            http_server.idle_timeout_s = fail
            with contextlib.suppress(ConnectionError):
                assert await send_and_receive(address) == b""
            assert not http_server.opening
            assert not http_server.connections
            assert len(errors) == 1

    with asyncio.Runner(loop_factory=event_loop) as runner:
        runner.run(main())


@pytest.mark.parametrize(
    ("limits_s", "at_s", "kept_s"),
    [([15.0], 0.0, 16.0), ([15.0, 5.0], 10.0, 16.0), ([15.0, 5.0], 60.0, 6.0)],
    ids=["usual", "just shortened", "long since shortened"],
)
def test_a_shorter_idle_limit_applies_after_a_delay(limits_s, at_s, kept_s):
    """
    A new configuration shortens the idle limit, and callers rely on the old limit for a while.
    A request on a connection that the server closes by the new limit would get no response.
    """
    current = [limits_s[0]]
    http_server = server.Server(echo, lambda: messages.Limits(idle_timeout_s=current[0]), 1)
    http_server.idle_timeout_s(0.0)
    current[0] = limits_s[-1]
    http_server.idle_timeout_s(1.0)
    assert http_server.idle_timeout_s(at_s) == kept_s


def test_began_s_is_the_callers_first_packet():
    """
    Callers some milliseconds away open a connection for each request. A response timed from the
    request's arrival would miss their latency goal by the time that connection setup took.
    """
    requests = []

    async def main():
        async def record_request(request):
            requests.append(request)
            return messages.Response(200)

        async with serving(record_request) as (_, address):
            await send_and_receive(address, REQUEST, CLOSING_REQUEST)

    asyncio.run(main())
    first, second = (request.arrived_s - request.began_s for request in requests)
    response_latency_s = requests[0].response_latency_s
    assert response_latency_s > 0
    assert first == pytest.approx(3 * response_latency_s)
    assert second == pytest.approx(requests[1].response_latency_s)
