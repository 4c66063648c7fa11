"""Replicas that crash when they run a certain request, and restart under another name."""

from __future__ import annotations

import asyncio
import contextlib

import standin_platform

from turmericlug.http1 import messages
from turmericlug.http1 import server

CRASH_MARKER = b"lethal"
"""A replica crashes when it runs a request whose target contains this."""
RESTART_DELAY_S = 0.6
"""Time from a replica's crash to its restart."""
RUN_DURATION_S = 0.02


class ReplicaSlot:
    """A slot in which replicas run one after the other, each until it crashes."""

    def __init__(self, service, number, store, crash_log):
        self.service, self.number, self.store, self.crash_log = service, number, store, crash_log
        self.starts = 0
        self.crashes = 0

    @contextlib.asynccontextmanager
    async def running(self):
        """Run replicas for the duration of the context."""
        task = asyncio.create_task(self._run())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self):
        while True:
            self.starts += 1
            name = f"i-{self.service}-{self.number}-{self.starts}"
            body = bytes(14) + bytes([self.starts % 256, self.number])
            replica = standin_platform.Replica(name, self.service, body, delay_s=RUN_DURATION_S)
            crashed = asyncio.Event()
            replica.script = lambda request, crashed=crashed: self._script(request, crashed)
            http_server = server.Server(replica.handle, messages.Limits, 1000)
            listener = await server.listen(http_server, "127.0.0.1", 0)
            replica.address = listener.sockets[0].getsockname()
            self.store.put(f"servers/{name}", replica.entry())
            try:
                await crashed.wait()
            finally:
                listener.close()
                http_server.close()
            self.crashes += 1
            await asyncio.sleep(RESTART_DELAY_S / 2)
            self.store.remove(f"servers/{name}")
            await asyncio.sleep(RESTART_DELAY_S / 2)

    async def _script(self, request, crashed):
        if CRASH_MARKER not in request.target:
            return None
        now_s = asyncio.get_running_loop().time()
        self.crash_log.append((now_s, request.header(b"x-request-id")))
        await asyncio.sleep(RUN_DURATION_S)
        crashed.set()
        await asyncio.sleep(60)
