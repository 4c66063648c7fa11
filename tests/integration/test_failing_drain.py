"""An entry instance in which a step of the drain raises."""

from __future__ import annotations

import asyncio
import signal

import entry_process
import pytest
from integration import test_start

from turmericlug.http1 import client

_PROGRAM = """\
import sys
sys.path.insert(0, {source!r})
from turmericlug.entry import batches, callers, quota_service
from turmericlug.http1 import server
def fail(*arguments):
    raise RuntimeError("odd value")
{step} = fail
from turmericlug.platform import start
start.run()
"""


@pytest.mark.parametrize(
    "step",
    [
        "server.Server.drain",
        "callers.RequestHandler.start_draining",
        "batches.Taken.start_draining",
        "quota_service.leave",
        "callers.RequestHandler.end_requests",
        "batches.Taken.refuse_all",
    ],
)
def test_an_error_in_a_step_of_the_drain_does_not_end_the_others(tmp_path, step):
    """The process ended at once with status 1, and with it all requests in flight."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            instance.program = tmp_path / "program.py"
            source = str(entry_process.ROOT / "src")
            instance.program.write_text(_PROGRAM.format(source=source, step=step))
            await instance.start()
            await test_start.assert_serves(instance)
            port = instance.ports[test_start.CALLERS]
            connections = [await client.connect("127.0.0.1", port) for _ in range(2)]
            instance.signal(signal.SIGTERM)
            for number, connection in enumerate(connections):
                await asyncio.sleep(0.5)
                headers = [(b"host", b"h.example"), (b"x-request-id", b"q%d" % number)]
                request = client.request_bytes(b"GET", b"/all/1", headers, b"")
                assert (await connection.exchange(request)).status == 200
            async with asyncio.timeout(20):
                assert await instance.process.wait() == 0
            assert instance.lines("task.failed")
            assert instance.lines("instance.stopped")

    asyncio.run(scenario())
