"""One read that holds thousands of requests, chunks or headers is parsed in bounded parts."""

from __future__ import annotations

import asyncio
import collections
import itertools

import pytest
from http1 import test_endless_requests

from turmericlug.http1 import connection
from turmericlug.http1 import messages
from turmericlug.http1 import request_budget
from turmericlug.http1 import server

READ_BYTES = 256 * 1024
REQUEST = b"GET /a HTTP/1.1\r\n\r\n"
SHORT_HEADER = b"a:\r\n"
CHUNK = b"1\r\na\r\n"
LIMITS = messages.Limits(header_bytes=1024 * 1024, body_bytes=262144)
# What comes first, what fills the read, the last bytes, and the callback for each.
READS = {
    "requests": (b"", REQUEST, b"", "on_message_complete"),
    "chunks of one byte": (test_endless_requests.CHUNKED, CHUNK, b"0\r\n\r\n", "on_body"),
    "headers": (test_endless_requests.START, SHORT_HEADER, b"\r\n", "on_header"),
    "trailers": (
        test_endless_requests.CHUNKED + b"0\r\n", SHORT_HEADER, b"\r\n", "on_header"
    ),
}  # fmt: skip


def connect(handler=test_endless_requests.echo, limit_bytes=100_000_000):
    """Return a connection, its transport and the budget."""
    budget = request_budget.RequestBudget(limit_bytes)
    caller = connection.Connection(server.Server(handler, lambda: LIMITS, 10, budget=budget))
    transport = test_endless_requests.Transport()
    caller.connection_made(transport)
    return caller, transport, budget


def count_callbacks(monkeypatch, name):
    """Return a counter of the parser's calls of a callback."""
    counted, callback = collections.Counter(), getattr(connection.Connection, name)

    def count(*arguments):
        counted[name] += 1
        return callback(*arguments)

    monkeypatch.setattr(connection.Connection, name, count)
    return counted


async def until(condition):
    """Wait until a condition holds, and count the turns of the event loop."""
    turns = 0
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0)
            turns += 1
    return turns


@pytest.mark.parametrize("kind", READS)
def test_a_large_read_is_parsed_in_parts(kind, monkeypatch):
    """Guards against a read that holds up the event loop, and is parsed whole before a limit."""
    first, again, last, callback = READS[kind]
    counted = count_callbacks(monkeypatch, callback)
    count = READ_BYTES // len(again)
    most = connection.SLICE_BYTES // len(again) + 1

    async def main():
        caller, transport, budget = connect()
        caller.data_received(first + again * count + last)
        assert counted[callback] <= most
        assert not transport.is_reading
        assert budget.held_bytes >= READ_BYTES - 2 * connection.SLICE_BYTES
        counts = [counted[callback]]

        def is_read():
            counts.append(counted[callback])
            return transport.is_reading

        turns = await until(is_read)
        assert max(later - earlier for earlier, later in itertools.pairwise(counts)) <= most
        assert turns >= READ_BYTES // connection.SLICE_BYTES
        await until(lambda: not caller.busy)
        answers = transport.written.count(b"HTTP/1.1 200 ")
        assert answers == (count if kind == "requests" else 1)
        assert budget.held_bytes == 0
        caller.connection_lost(None)

    asyncio.run(main())


def test_bytes_behind_a_request_in_progress_wait_for_its_answer(monkeypatch):
    """Guards against requests that are parsed by the thousand before the first is answered."""
    counted = count_callbacks(monkeypatch, "on_message_complete")

    async def main():
        release = asyncio.Event()

        async def wait(request):
            await release.wait()
            return messages.Response(200)

        caller, transport, budget = connect(wait)
        caller.data_received(REQUEST * 4000)
        await asyncio.sleep(0.01)
        assert counted["on_message_complete"] <= connection.SLICE_BYTES // len(REQUEST) + 1
        assert not transport.is_reading
        release.set()
        await until(lambda: transport.written.count(b"HTTP/1.1 200 ") == 4000)
        await until(lambda: transport.is_reading and budget.held_bytes == 0)
        caller.connection_lost(None)

    asyncio.run(main())


@pytest.mark.parametrize("ending", ["closed", "refused", "unreadable"])
def test_bytes_that_wait_are_given_back(ending):
    """Guards against bytes that count for good, until every request is refused."""

    async def main():
        async def wait(request):
            await asyncio.sleep(0 if ending == "unreadable" else 60)
            return messages.Response(200)

        limit_bytes = 200_000 if ending == "refused" else 10_000_000
        caller, transport, budget = connect(wait, limit_bytes)
        filling = b"\0" * READ_BYTES if ending == "unreadable" else REQUEST * 15_000
        caller.data_received(REQUEST * 2 + filling)
        kept_bytes = budget.held_bytes
        if ending == "closed":
            assert kept_bytes > READ_BYTES - 2 * connection.SLICE_BYTES
            caller.connection_lost(None)
        await until(lambda: budget.held_bytes < 100_000)
        caller.connection_lost(None)
        await until(lambda: budget.held_bytes == 0)

    asyncio.run(main())


def test_a_body_with_a_length_is_parsed_at_once(monkeypatch):
    """Guards against a large upload that costs a call for each small part of it."""
    counted = count_callbacks(monkeypatch, "on_body")

    async def main():
        caller, transport, _ = connect()
        head = test_endless_requests.START + b"content-length: 200000\r\n\r\n"
        caller.data_received(head + bytes(200_000))
        assert counted["on_body"] <= 2
        assert transport.is_reading
        await until(lambda: not caller.busy)
        caller.connection_lost(None)

    asyncio.run(main())
