"""Limits of the machine, and of what reads the log, do not end an entry instance."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import sys

import entry_process
import pytest
import standin_platform
from integration import test_entry
from integration import test_outside_values

from turmericlug.http1 import client

MAX_MEMORY_MB = 256
"""The memory that one instance may use."""
MANY_ROUTES, MANY_VERSIONS = 4500, 90
"""Configurations of 0.8 MB, as many as come within minutes."""
ADDRESS_SPACE_BYTES = 300 * 1024 * 1024
CALLERS = 400
BODY = b"x" * 200_000


@contextlib.asynccontextmanager
async def logging_to(output, tmp_path, limit=lambda: None):
    """
    Run an instance with an open descriptor as its standard output until the block ends.

    :param limit: sets limits in the new process
    """
    async with test_entry.platform() as (_, _, store_port):
        instance = entry_process.make(tmp_path, "e-1", store_port)
        with instance.log.open("ab") as errors:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(instance.program),
                env=os.environ | {"TURMERICLUG_NODE_FILE": str(instance.settings)},
                stdout=output,
                stderr=errors,
                preexec_fn=limit,
            )
        try:
            await entry_process.until(lambda: entry_process.ready(instance))
            yield instance
        finally:
            instance.signal(signal.SIGKILL)
            await instance.process.wait()


def test_stop_with_a_full_log_pipe_ends_with_status_0(tmp_path):
    """Where the log's reader had stopped, SIGTERM ended the process with a RecursionError."""

    async def scenario():
        reader, writer = os.pipe()
        try:
            os.set_blocking(writer, False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    os.write(writer, b"\n" * 4096)
            async with logging_to(writer, tmp_path) as instance:
                instance.signal(signal.SIGTERM)
                async with asyncio.timeout(10):
                    status = await instance.process.wait()
                assert status == 0, instance.log.read_text()[-500:]
        finally:
            os.close(reader)
            os.close(writer)

    asyncio.run(scenario())


def test_instance_needs_no_threads(tmp_path):
    """Where no thread could be created, the first listener ended the process by SIGABRT."""

    async def scenario():
        with (tmp_path / "lines").open("wb") as output:
            async with logging_to(output, tmp_path) as instance:
                response = await entry_process.ask(instance.ports[0], b"/all/1", b"q1")
                assert response.status == 200
                assert os.listdir(f"/proc/{instance.process.pid}/task") == [
                    str(instance.process.pid)
                ]

    asyncio.run(scenario())


def test_many_bodies_in_a_small_address_space_do_not_end_an_instance(tmp_path):
    """
    With 300 MB of address space, of which threads and their arenas had reserved nine tenths, large
    bodies ended the process by signals 6 and 11.
    """

    def limit():
        resource.setrlimit(resource.RLIMIT_AS, (ADDRESS_SPACE_BYTES, ADDRESS_SPACE_BYTES))

    async def post(port, number):
        headers = [(b"host", b"h.example"), (b"x-request-id", b"q%d" % number)]
        request = client.request_bytes(b"POST", b"/one/1", headers, BODY)
        try:
            connection = await client.connect("127.0.0.1", port, timeout_s=10.0)
        except client.ConnectError:
            return 503
        try:
            return (await connection.exchange(request)).status
        finally:
            connection.close()

    async def scenario():
        with (tmp_path / "lines").open("wb") as output:
            async with logging_to(output, tmp_path, limit) as instance:
                posts = [post(instance.ports[0], number) for number in range(CALLERS)]
                statuses = await asyncio.gather(*posts)
                assert set(statuses) <= {200, 503, 504}
                assert 200 in statuses
                assert instance.process.returncode is None
                assert "MemoryError" not in (tmp_path / "lines").read_text()

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def connected(port, count):
    """Hold a number of connections open; yield the first one."""
    streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(count)]
    try:
        yield streams[0]
    finally:
        for _, writer in streams:
            writer.close()


@pytest.mark.parametrize("hard, expected", [(4096, 4096), (1024, 1024)], ids=["hard", "soft"])
def test_callers_that_stay_connected_leave_descriptors_for_requests(tmp_path, hard, expected):
    """
    Where the process had fewer descriptors than its settings state, callers that only stayed
    connected took those for replicas and the store, and no request was served.
    """

    def limit():
        resource.setrlimit(resource.RLIMIT_NOFILE, (1024, hard))

    async def scenario():
        with (tmp_path / "lines").open("wb") as output:
            async with logging_to(output, tmp_path, limit) as instance:
                async with connected(instance.ports[0], 1100) as (reader, writer):
                    limits = resource.prlimit(instance.process.pid, resource.RLIMIT_NOFILE)
                    assert limits[0] == expected
                    writer.write(
                        b"GET /all/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q\r\n\r\n"
                    )
                    async with asyncio.timeout(20):
                        assert b" 200 " in await reader.readline()
                    # Refused connections hold their descriptors until their callers have read why;
                    # the others are closed when they have been idle for 16 s.
                    await entry_process.until(lambda: entry_process.ready(instance), timeout_s=10)

    asyncio.run(scenario())


def test_callers_that_connect_during_a_pause_leave_descriptors_for_requests(tmp_path):
    """
    Callers that connected while the process stood still, and were all refused at once when it went
    on, took the descriptors for replicas, and requests on open connections got a 503.
    """

    def limit():
        resource.setrlimit(resource.RLIMIT_NOFILE, (1024, 1024))

    async def scenario():
        with (tmp_path / "lines").open("wb") as output:
            async with logging_to(output, tmp_path, limit) as instance:
                async with connected(instance.ports[0], 1) as (reader, writer):
                    instance.signal(signal.SIGSTOP)
                    async with connected(instance.ports[0], 1000):
                        writer.write(
                            b"GET /all/1 HTTP/1.1\r\nhost: h.example\r\nx-request-id: q\r\n\r\n"
                        )
                        instance.signal(signal.SIGCONT)
                        async with asyncio.timeout(20):
                            assert b" 200 " in await reader.readline()

    asyncio.run(scenario())


def test_memory_is_bounded_while_large_configurations_change(tmp_path):
    """All earlier configurations stayed in memory, and the process grew over its limit."""

    async def scenario():
        routes = [
            standin_platform.route(f"r{number}", f"/r{number}/", Service="one")
            for number in range(MANY_ROUTES)
        ]
        async with test_entry.platform() as (store, _, store_port):
            async with test_entry.running_instance(tmp_path, store_port) as instance:
                await entry_process.until(lambda: entry_process.ready(instance))
                for version in range(2, 2 + MANY_VERSIONS):
                    store.put("op/config", standin_platform.configuration(version, routes, ["one"]))
                    await entry_process.until(lambda version=version: applies(instance, version))
                assert peak_memory_mb(instance.process.pid) < MAX_MEMORY_MB

    asyncio.run(scenario())


async def applies(instance, version):
    """Whether an instance has a version of the configuration in force."""
    return await test_outside_values.version_in_force(instance) == version


def peak_memory_mb(pid):
    """Return the largest resident memory that a process has had."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) // 1024 for line in lines if line.startswith("VmHWM"))
