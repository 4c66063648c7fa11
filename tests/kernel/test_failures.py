"""The name, reason and place of unexpected errors."""

from __future__ import annotations

import asyncio

import pytest

from turmericlug.kernel import failures
from turmericlug.kernel import tasks


async def follow():
    raise ValueError("odd value")


def tick():
    raise ValueError("odd value")


class Reader(asyncio.Protocol):
    def data_received(self, data):
        raise ValueError("odd value")


async def start_task():
    await tasks.Tasks().start(follow())


async def start_plain_task():
    task = asyncio.create_task(follow())
    await asyncio.wait([task])
    del task


async def start_callback():
    asyncio.get_running_loop().call_soon(tick)


async def start_protocol():
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Reader, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(b"1")
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.close()
    server.close()


@pytest.mark.parametrize(
    ("start", "name"),
    [
        (start_task, "follow"),
        (start_plain_task, "follow"),
        (start_callback, "tick"),
        (start_protocol, "Reader.data_received"),
    ],
)
def test_failure_is_named(start, name):
    """Guards against a log line that doesn't say which task or callback has ended, and where."""
    found = []

    async def main():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: found.append(failures.of_context(context))
        )
        try:
            await start()
        except ValueError:
            pass
        await asyncio.sleep(0)

    asyncio.run(main())
    assert [(failure.name, failure.reason) for failure in found] == [
        (name, "ValueError: odd value")
    ]
    assert found[0].place.startswith("kernel/test_failures.py:")


def test_failure_without_an_exception():
    failure = failures.of_context({"message": "x" * 9999})
    assert failure == failures.Failure("loop", "x" * failures.MAX_REASON_LENGTH, "")
