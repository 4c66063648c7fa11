"""Callers that don't read are cut off while memory is short, and no others."""

from __future__ import annotations

import asyncio
import socket
import weakref

import pytest
from http1 import test_unsent_responses

from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import request_budget
from turmericlug.policy import slow_readers
from turmericlug.telemetry import decisions

BODY_BYTES = test_unsent_responses.BODY_BYTES
until = test_unsent_responses.until


@pytest.fixture(autouse=True)
def no_user_timeout(monkeypatch):
    """Let the system keep connections whose callers don't read, which it else closes, too."""
    monkeypatch.setattr(client, "USER_TIMEOUT_MS", 60_000)


def logged_events(monkeypatch):
    """Return the list that events are logged to."""
    events = []
    monkeypatch.setattr(decisions, "log", lambda event, **fields: events.append((event, fields)))
    return events


async def answer(request):
    return messages.Response(200, body=bytes(BODY_BYTES) if request.target == b"/a" else b"small")


async def ask_small(port):
    """Return the status of a request for a small answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(test_unsent_responses.REQUEST.replace(b"/a", b"/small"))
    status = (await reader.readline()).split()[1]
    writer.close()
    return status


def test_callers_that_take_the_budget_are_cut_off(monkeypatch):
    """Guards against callers that don't read and have everybody refused for the idle timeout."""
    events = logged_events(monkeypatch)
    budget = request_budget.RequestBudget(100_000)

    async def scenario():
        async with test_unsent_responses.serving(answer, budget=budget) as (http_server, port):
            _, writer = await test_unsent_responses.ask_without_reading(port)
            await until(lambda: budget.held_bytes > 100_000)
            assert await ask_small(port) == b"503"
            await until(lambda: http_server.counters.totals["caller.cut_off"])
            await until(lambda: not budget.held_bytes)
            assert await ask_small(port) == b"200"
            writer.transport.abort()

    test_unsent_responses.run(scenario())
    ((_, fields),) = (each for each in events if each[0] == "caller.cut_off")
    assert fields["reason"] == "memory"
    assert 0 < fields["unsent_bytes"] < BODY_BYTES
    assert fields["age_s"] >= fields["stalled_s"] >= slow_readers.WINDOW_S


@pytest.mark.parametrize("allowed", [0, 1, 2, 3])
def test_slowest_are_cut_off_until_memory_is_no_longer_short(allowed):
    """Guards against cutting off more callers than needed, or sooner those that came last."""

    async def scenario():
        memories = []

        async def handle(request):
            memory = test_unsent_responses.Memory()
            memories.append(weakref.ref(memory))
            return messages.Response(200, body=bytes(BODY_BYTES), memory=memory)

        def held():
            return [memory() is not None for memory in memories]

        options = {"is_memory_short": lambda: len(memories) == 3 and sum(held()) > allowed}
        async with test_unsent_responses.serving(handle, **options) as (http_server, port):
            writers = []
            for number in range(3):
                writers.append((await test_unsent_responses.ask_without_reading(port))[1])
                await until(lambda count=number + 1: len(memories) == count)
                await asyncio.sleep(0.6)
            expected = [False] * (3 - allowed) + [True] * allowed
            await until(lambda: held() == expected)
            await asyncio.sleep(slow_readers.WINDOW_S + 0.6)
            assert held() == expected
            assert http_server.counters.totals["caller.cut_off"] == 3 - allowed
            for writer in writers:
                writer.transport.abort()

    test_unsent_responses.run(scenario())


def test_a_sound_reader_is_not_cut_off_while_memory_is_short():
    """
    Guards against taking a caller for one that doesn't read because the system's buffer, which
    holds what it reads in seconds, accepts no further bytes meanwhile.
    """

    async def scenario():
        options = {"is_memory_short": lambda: True}
        async with test_unsent_responses.serving(answer, **options) as (http_server, port):
            totals = http_server.counters.totals
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            sock.connect(("127.0.0.1", port))
            sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            writer.write(test_unsent_responses.REQUEST)
            await reader.readuntil(b"\r\n\r\n")
            _, stuck = await test_unsent_responses.ask_without_reading(port)
            left_bytes = BODY_BYTES
            for _ in range(250):
                left_bytes -= len(await reader.readexactly(4096))
                await asyncio.sleep(0.02)
            assert totals["caller.cut_off"] == 1
            async with asyncio.timeout(20):
                assert len(await reader.readexactly(left_bytes)) == left_bytes
            writer.close()
            stuck.transport.abort()

    test_unsent_responses.run(scenario())
