"""What arrives or is missing while an entry instance starts does not end its process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket

import entry_process
import pytest
from integration import test_entry

from turmericlug.http1 import client

PORT_NAMES = ("callers", "readiness", "directory", "metrics", "peers")
CALLERS, METRICS = PORT_NAMES.index("callers"), PORT_NAMES.index("metrics")
HELD_S = 1.0
"""Longer than an instance takes to start."""
GRACE_S = 3.0
"""Grace period of the instances of these tests."""


@contextlib.contextmanager
def holding_port(port, host="127.0.0.1"):
    """Keep another socket listening on a port."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, port))
    holder.listen()
    try:
        yield
    finally:
        holder.close()


@contextlib.asynccontextmanager
async def stopped_instance(tmp_path):
    """Make an instance that listens early, and kill it at the end if it was started."""
    async with test_entry.platform() as (_, _, store_port):
        instance = entry_process.make(tmp_path, "e-1", store_port, grace_s=GRACE_S)
        instance.arguments = ("--listen-early", f"127.0.0.1:{instance.ports[CALLERS]}")
        try:
            yield instance
        finally:
            instance.signal(signal.SIGKILL)
            if instance.process is not None:
                await instance.process.wait()


async def listens(port):
    """Whether a port accepts connections."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


async def assert_serves(instance):
    """Wait until the first process of an instance is ready, and send it a request."""
    process = instance.process

    async def ended_or_ready():
        return process.returncode is not None or await entry_process.ready(instance)

    await entry_process.until(ended_or_ready)
    assert process.returncode is None, instance.log.read_text()[-500:]
    response = await entry_process.ask(instance.ports[CALLERS], b"/all/1", b"q1")
    assert response.status == 200


@pytest.mark.parametrize("count", [1, 40])
def test_hangups_while_it_starts_do_not_end_an_instance(tmp_path, count):
    """SIGHUP during the load of the program ended the process by the signal's default action."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            await instance.start()
            await entry_process.until(lambda: listens(instance.ports[CALLERS]))
            for _ in range(count):
                instance.signal(signal.SIGHUP)
                await asyncio.sleep(0.01)
            await assert_serves(instance)

    asyncio.run(scenario())


def test_stop_while_it_starts_answers_the_callers_that_wait(tmp_path):
    """SIGTERM during the load of the program reset the connections at the early listener."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            await instance.start()
            await entry_process.until(lambda: listens(instance.ports[CALLERS]))
            connection = await client.connect("127.0.0.1", instance.ports[CALLERS])
            instance.signal(signal.SIGTERM)
            headers = [(b"host", b"h.example"), (b"x-request-id", b"q1")]
            request = client.request_bytes(b"GET", b"/all/1", headers, b"")
            response = await connection.exchange(request)
            assert response.status in (200, 503)
            async with asyncio.timeout(10):
                assert await instance.process.wait() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("stands_still_after_s", [0.05, 0.2, 0.4], ids=["load", "start", "drain"])
def test_stop_that_is_noticed_late_answers_the_callers_that_wait(tmp_path, stands_still_after_s):
    """
    An instance that had stood still beyond its grace period after SIGTERM ended at once, and reset
    the connections that waited.
    """

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            await instance.start()
            await entry_process.until(lambda: listens(instance.ports[CALLERS]))
            instance.signal(signal.SIGTERM)
            await asyncio.sleep(stands_still_after_s)
            instance.signal(signal.SIGSTOP)
            connection = await client.connect("127.0.0.1", instance.ports[CALLERS])
            headers = [(b"host", b"h.example"), (b"x-request-id", b"q1")]
            request = client.request_bytes(b"GET", b"/all/1", headers, b"")
            exchange = asyncio.create_task(connection.exchange(request))
            await asyncio.sleep(GRACE_S + 0.3)
            instance.signal(signal.SIGCONT)
            assert (await exchange).status in (200, 503)
            async with asyncio.timeout(10):
                assert await instance.process.wait() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("index", range(len(PORT_NAMES)), ids=PORT_NAMES)
def test_ports_taken_for_a_while_do_not_end_an_instance(tmp_path, index):
    """A port that another process held for the first second ended the process with status 1."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            with holding_port(instance.ports[index]):
                await instance.start()
                await asyncio.sleep(HELD_S)
            await assert_serves(instance)
            await entry_process.until(lambda: listens(instance.ports[index]))

    asyncio.run(scenario())


def test_metrics_port_taken_for_good_does_not_keep_an_instance_from_serving(tmp_path):
    """An instance whose metrics port another program holds served nobody."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            with holding_port(instance.ports[METRICS]):
                await instance.start()
                await assert_serves(instance)

    asyncio.run(scenario())


def test_start_beside_a_process_that_still_drains(tmp_path):
    """A process started before its predecessor had left its ports ended with status 1."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            await instance.start()
            await assert_serves(instance)
            leaving = instance.process
            leaving.send_signal(signal.SIGTERM)
            await instance.start()
            await leaving.wait()
            await assert_serves(instance)

    asyncio.run(scenario())


SETTINGS_AT_FIRST = {
    "missing": lambda text: None,
    "empty": lambda text: "",
    "half written": lambda text: text[: len(text) // 2],
}


@pytest.mark.parametrize("at_first", SETTINGS_AT_FIRST.values(), ids=SETTINGS_AT_FIRST)
def test_settings_file_that_is_being_written_does_not_end_an_instance(tmp_path, at_first):
    """A start while the settings file was being replaced ended the process with status 2."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            text = instance.settings.read_text()
            instance.settings.unlink()
            if (partial := at_first(text)) is not None:
                instance.settings.write_text(partial)
            await instance.start()
            await asyncio.sleep(0.5)
            instance.settings.write_text(text)
            await assert_serves(instance)

    asyncio.run(scenario())


def test_closed_standard_output_does_not_end_an_instance(tmp_path):
    """A process started without open standard streams ended with status 1, without a line."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            await instance.start(streams=False)
            await assert_serves(instance)

    asyncio.run(scenario())


@pytest.mark.parametrize("output", ["closed", "full"])
def test_unwritable_standard_error_does_not_end_an_instance_whose_port_is_held(tmp_path, output):
    """The line about the held port raised, as nobody read it, and ended the process."""

    async def scenario():
        async with stopped_instance(tmp_path) as instance:
            reader, writer = os.pipe()
            os.set_blocking(writer, False)
            if output == "closed":
                os.close(reader)
            else:
                with contextlib.suppress(BlockingIOError):
                    while True:
                        os.write(writer, bytes(4096))
            with holding_port(instance.ports[CALLERS]):
                await instance.start(standard_error=writer)
                os.close(writer)
                await asyncio.sleep(HELD_S)
            await assert_serves(instance)
            if output == "full":
                os.close(reader)

    asyncio.run(scenario())
