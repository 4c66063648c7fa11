"""Limits of the machine, and of what reads the log, do not end an entry instance."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys

import entry_process
from integration import test_entry


@contextlib.asynccontextmanager
async def logging_to(output, tmp_path):
    """Run an instance with an open descriptor as its standard output until the block ends."""
    async with test_entry.platform() as (_, _, store_port):
        instance = entry_process.make(tmp_path, "e-1", store_port)
        with instance.log.open("ab") as errors:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(instance.program),
                env=os.environ | {"TURMERICLUG_NODE_FILE": str(instance.settings)},
                stdout=output,
                stderr=errors,
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
