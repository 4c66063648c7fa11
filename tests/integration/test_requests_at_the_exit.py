"""An entry instance that exits answers every request that it has read, or has not run it."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import entry_process
import pytest
import standin_platform

from turmericlug.http1 import client

GRACE_S = 6.0
STALL_S = 0.1
_PROGRAM = """\
import pathlib
import sys
import time
sys.path.insert(0, {source!r})
from turmericlug.entry import callers
from turmericlug.platform import start
end_requests = callers.RequestHandler.end_requests
def stall(handler):
    pathlib.Path({mark!r}).touch()
    time.sleep({stall_s})
    end_requests(handler)
callers.RequestHandler.end_requests = stall
start.run()
"""


@contextlib.asynccontextmanager
async def instance_that_stalls_at_its_exit(folder, replica, grace_s=GRACE_S):
    """Run an instance that stands still as it exits; yield it and the file that it then writes."""
    store = standin_platform.Store()
    async with (
        standin_platform.listening(replica.handle) as replica.address,
        standin_platform.listening(store.handle) as (_, store_port),
    ):
        store.put("servers/i-1", replica.entry())
        routes = [
            standin_platform.route(kind, f"/{kind}/", RouteType=kind, TimeoutMs=30_000, Service="s")
            for kind in ("non_idempotent", "idempotent")
        ]
        store.put("op/config", standin_platform.configuration(1, routes, ["s"]))
        instance = entry_process.make(folder, "e-1", store_port, grace_s=grace_s)
        mark = folder / "exiting"
        instance.program = folder / "program.py"
        source = str(entry_process.ROOT / "src")
        instance.program.write_text(_PROGRAM.format(source=source, mark=str(mark), stall_s=STALL_S))
        await instance.start()
        try:
            await entry_process.until(lambda: entry_process.ready(instance))
            yield instance, mark
        finally:
            instance.signal(signal.SIGKILL)
            await instance.process.wait()


@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent"])
@pytest.mark.parametrize("is_kept", [False, True], ids=["new connection", "kept connection"])
def test_a_request_that_arrives_as_the_instance_exits_is_refused(tmp_path, is_kept, kind):
    """
    Guards against requests that a replica runs and nobody answers: they came between the decision
    to exit, with no request in flight, and the closing of the connections.
    """

    async def main():
        replica = standin_platform.Replica("i-1", "s", delay_s=0.5)
        async with instance_that_stalls_at_its_exit(tmp_path, replica) as (instance, mark):
            port = instance.ports[0]
            kept = await client.connect("127.0.0.1", port) if is_kept else None
            instance.signal(signal.SIGTERM)
            await entry_process.until(mark.exists)
            connection = kept or await client.connect("127.0.0.1", port)
            headers = [(b"host", b"h.example"), (b"x-request-id", b"late")]
            request = client.request_bytes(b"GET", b"/%s/1" % kind.encode(), headers, b"")
            response = await connection.exchange(request)
            assert (response.status, response.body) == (503, b"leaving")
            assert await instance.process.wait() == 0
            assert instance.lines("instance.stopped")
        assert replica.runs == []

    asyncio.run(main())
