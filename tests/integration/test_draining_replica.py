"""An entry instance whose requests wait for connections of a replica that begins to drain."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import entry_process
import standin_platform

REGIONS = {"dc-1": "r-1"}
WORK_S = (1.6, 0.1)
"""How long each replica takes for a request."""
REQUESTS = 12
DRAIN_S = 3.0
"""The shortest time for which a replica serves after its notice."""


@contextlib.asynccontextmanager
async def running_instance(tmp_path):
    """Run two replicas that take one connection each, and an instance; yield all and the store."""
    store = standin_platform.Store()
    async with contextlib.AsyncExitStack() as stack:
        replicas = []
        for number, work_s in enumerate(WORK_S):
            replica = standin_platform.Replica(f"i-{number}", "one", b"body", work_s)
            listening = standin_platform.listening(replica.handle)
            replica.address = await stack.enter_async_context(listening)
            replicas.append(replica)
            store.put(f"servers/{replica.instance}", replica.entry())
        address = await stack.enter_async_context(standin_platform.listening(store.handle))
        route = standin_platform.route(
            "one", "/one/", Service="one", TimeoutMs=20_000, GoalMs=15_000
        )
        configuration = standin_platform.configuration(1, [route], ["one"])
        configuration["Services"][0]["MaxConns"] = 2
        store.put("op/config", configuration)
        instance = entry_process.make(tmp_path, "e-1", address[1], REGIONS)
        try:
            await instance.start()
            await entry_process.until(lambda: entry_process.ready(instance))
            yield instance, replicas, store
        finally:
            instance.signal(signal.SIGKILL)
            await instance.process.wait()


def test_requests_that_wait_do_not_reach_a_replica_that_drains(tmp_path):
    """
    Guards against requests that reach a replica seconds after its notice to drain: they had been
    assigned to it before, and waited for a connection.
    """

    async def main():
        async with running_instance(tmp_path) as (instance, replicas, store), asyncio.timeout(60):
            headers = [(b"x-deadline-ms", b"20000")]
            tasks = [
                asyncio.create_task(
                    entry_process.ask(instance.ports[0], b"/one/1", b"q%d" % number, headers)
                )
                for number in range(REQUESTS)
            ]
            await asyncio.sleep(0.4)
            noticed_s = asyncio.get_running_loop().time()
            store.put(f"servers/{replicas[0].instance}", replicas[0].entry("draining"))
            answers = await asyncio.gather(*tasks)
            assert [answer.status for answer in answers] == REQUESTS * [200]
            late = [
                request.at_s - noticed_s
                for request in replicas[0].received
                if request.at_s > noticed_s + DRAIN_S
            ]
            assert not late
            assert replicas[0].received, "no request was assigned to the replica that drains"

    asyncio.run(main())
