"""Responses that together exceed what a process may hold."""

from __future__ import annotations

import asyncio
import contextlib

import hypothesis
import pytest
from hypothesis import strategies as st

from turmericlug.http1 import client
from turmericlug.http1 import reading
from turmericlug.http1 import response_budget

MB = 1024 * 1024
LIMIT_BYTES = 48 * MB
"""Half of it, 24 MB, is for one service, a quarter for one replica; 3/4 of each for large ones."""
REQUEST = client.request_bytes(b"GET", b"/", [(b"host", b"h")], b"")


def reserve(source, size_bytes):
    """Return a holding of a size; ``None`` if there is no memory."""
    holding = response_budget.Holding(source)
    return holding if holding.reserve(size_bytes) else None


@pytest.mark.parametrize(
    ("size_bytes", "same_replica", "same_service", "others"),
    [(8 * MB, 1, 2, 4), (4 * MB, 2, 4, 9), (1 * MB, 9, 18, 36), (65536, 192, 384, 768)],
    ids=["8 MB", "4 MB", "1 MB", "64 kB"],
)
def test_no_replica_or_service_takes_the_share_of_others(
    size_bytes, same_replica, same_service, others
):
    """Guards against a replica, or a service, whose responses take the memory of all others."""
    budget = response_budget.ResponseBudget(LIMIT_BYTES)
    one = budget.source("a")
    cases = (
        (lambda number: one, same_replica),
        (lambda number: budget.source("a"), same_service),
        (lambda number: budget.source(f"s{number}"), others),
    )
    for make_source, expected in cases:
        held = []
        while holding := reserve(make_source(len(held)), size_bytes):
            held.append(holding)
        assert len(held) == expected
        held.clear()
        assert budget.held_bytes == 0


def test_large_responses_leave_memory_to_small_ones():
    """Guards against small answers of a service that wait for the large ones of others."""
    budget = response_budget.ResponseBudget(LIMIT_BYTES)
    large = [reserve(budget.source(f"s{number}"), 8 * MB) for number in range(5)]
    assert large[-1] is None
    assert reserve(budget.source("small"), reading.SMALL_BYTES) is not None


@pytest.mark.parametrize("limit_bytes", [0, MB, 8 * MB, 300 * MB])
def test_the_largest_response_is_always_let_in(limit_bytes):
    """Guards against a small machine on which a large answer waits for ever."""
    budget = response_budget.ResponseBudget(limit_bytes)
    assert reserve(budget.source("a"), reading.MAX_RESPONSE_BYTES) is not None


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["reserve", "resize", "release", "drop"]),
            st.integers(0, 5),
            st.integers(0, reading.MAX_RESPONSE_BYTES),
        ),
        max_size=60,
    )
)
def test_what_is_held_is_the_sum_of_the_holdings(steps):
    """Guards against memory that is given back twice, or never, whatever the order."""
    budget = response_budget.ResponseBudget(LIMIT_BYTES)
    sources = [budget.source(service) for service in "aabbcc"]
    holdings = {}
    for step, number, size_bytes in steps:
        holding = holdings.setdefault(number, response_budget.Holding(sources[number]))
        if step == "reserve":
            before = budget.held_bytes
            if holding.reserve(size_bytes):
                assert budget.held_bytes <= max(LIMIT_BYTES, before)
        elif step == "resize":
            holding.resize(size_bytes)
        elif step == "release":
            holding.release()
        else:
            del holding, holdings[number]
        assert budget.held_bytes == sum(each.size_bytes for each in holdings.values())
    holding = None
    holdings.clear()
    assert budget.held_bytes == 0
    assert [source.held_bytes for source in sources] == [0] * 6


def test_those_that_wait_go_on_in_their_order():
    """Guards against a response that waits although others have given memory back."""

    async def main():
        budget = response_budget.ResponseBudget(LIMIT_BYTES)
        source, granted = budget.source("a"), []
        held = reserve(source, 8 * MB)
        waiting = [response_budget.Holding(source) for _ in range(3)]
        for number, holding in enumerate(waiting):
            assert not holding.reserve(4 * MB)
            holding.reserve_later(4 * MB, lambda number=number: granted.append(number))
        assert budget.is_short
        waiting[1].release()
        held.release()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert granted == [0, 2]
        assert not budget.is_short
        assert source.held_bytes == 8 * MB

    asyncio.run(main())


def test_a_large_response_is_let_in_beside_small_ones():
    """Guards against a large answer that small ones overtake for as long as they keep coming."""

    async def main():
        source, granted = response_budget.ResponseBudget(LIMIT_BYTES).source("a"), []
        small = [reserve(source, reading.SMALL_BYTES) for _ in range(80)]
        large = response_budget.Holding(source)
        assert not large.reserve(8 * MB)
        large.reserve_later(8 * MB, lambda: granted.append(True))
        for _ in range(1000):
            del small[0]
            if (arriving := reserve(source, reading.SMALL_BYTES)) is not None:
                small.append(arriving)
            await asyncio.sleep(0)
            if granted or not small:
                break
        assert granted

    asyncio.run(main())


@contextlib.asynccontextmanager
async def replica(message):
    """Answer each request with a message; yield the address."""

    async def serve(reader, writer):
        with contextlib.closing(writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(message)
                    await writer.drain()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


def head(size_bytes):
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size_bytes


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


BODY = bytes(range(256)) * 16384
CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    + b"%x\r\n%s\r\n" % (len(BODY), BODY)
    + b"0\r\n\r\n"
)


@pytest.mark.parametrize(
    "message", [head(len(BODY)) + BODY, CHUNKED], ids=["with length", "chunked"]
)
def test_a_response_waits_for_memory_and_is_read_whole(message):
    """
    Guards against responses that are read although no memory is left, or lost while they wait.
    """

    async def main():
        waits = []
        budget = response_budget.ResponseBudget(LIMIT_BYTES)
        source = budget.source("a", waits.append)
        async with replica(message) as address:
            other = response_budget.Holding(source)
            other.resize(9 * MB)
            connection = await client.connect(*address, source=source)
            exchange = asyncio.create_task(connection.exchange(REQUEST))
            await until(lambda: budget.is_short)
            await asyncio.sleep(0.1)
            assert not exchange.done()
            assert connection.waits_for_memory
            assert source.held_bytes <= 9 * MB + reading.SMALL_BYTES
            other.release()
            async with asyncio.timeout(10):
                response = await exchange
            assert response.body == BODY
            assert source.held_bytes == len(BODY)
            assert len(waits) == 1
            del response, exchange
            async with asyncio.timeout(10):
                again = await connection.exchange(REQUEST)
            assert again.body == BODY
            assert not connection.waits_for_memory
            del again
            await until(lambda: not budget.held_bytes)
            connection.close()

    asyncio.run(main())


@pytest.mark.parametrize("ending", ["cancelled", "server closes", "closed"])
def test_an_exchange_that_ends_while_it_waits_gives_its_memory_back(ending):
    """Guards against memory that stays taken by exchanges that were given up."""

    async def main():
        budget = response_budget.ResponseBudget(LIMIT_BYTES)
        source = budget.source("a")
        async with replica(head(8 * MB) + bytes(MB)) as address:
            first = await client.connect(*address, source=source)
            second = await client.connect(*address, source=source)
            reading_on = asyncio.create_task(first.exchange(REQUEST))
            await until(lambda: source.held_bytes == 8 * MB)
            waiting = asyncio.create_task(second.exchange(REQUEST))
            await until(lambda: budget.is_short)
            if ending == "cancelled":
                waiting.cancel()
            elif ending == "closed":
                second.close()
            await until(lambda: waiting.done() or ending == "server closes")
            if ending != "server closes":
                assert not budget.is_short
            reading_on.cancel()
            await until(lambda: source.held_bytes in (0, 8 * MB))
            second.close()
            await asyncio.wait([reading_on, waiting], timeout=10)
            await until(lambda: not budget.held_bytes)
            assert not budget.is_short

    asyncio.run(main())


@pytest.mark.parametrize(
    "again",
    [b"1\r\na\r\n", b"4;" + b"e" * 30 + b"\r\nabcd\r\n"],
    ids=["chunks of one byte", "chunk extensions"],
)
def test_many_chunks_leave_the_event_loop_to_others(again):
    """Guards against one read of many chunks that is parsed while all other requests wait."""

    async def main():
        chunks = again * (50_000 // len(again))
        message = CHUNKED.partition(b"\r\n\r\n")[0] + b"\r\n\r\n" + chunks + b"0\r\n\r\n"
        connection = client.Connection()
        transport = _Transport()
        connection.connection_made(transport)
        exchange = asyncio.create_task(connection.exchange(REQUEST))
        await asyncio.sleep(0)
        connection.data_received(message)
        turns = 0
        while not exchange.done() and turns < 1000:
            await asyncio.sleep(0)
            turns += 1
        assert (await exchange).status == 200
        assert turns >= 50_000 // client.MAX_FRAMING_BYTES_PER_TURN // 2
        assert transport.pauses == transport.resumes > 0

    asyncio.run(main())


class _Transport(asyncio.Transport):
    """Counts how often reading is paused and resumed."""

    def __init__(self):
        super().__init__()
        self.pauses = self.resumes = 0

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.pauses += 1

    def resume_reading(self):
        self.resumes += 1

    def abort(self):
        pass
