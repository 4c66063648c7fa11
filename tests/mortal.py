"""Replicas that crash when they run a certain request, and restart under another name."""

from __future__ import annotations

import asyncio
import contextlib

import standin_platform

from turmericlug.http1 import messages
from turmericlug.http1 import server

LETHAL = b"lethal"
AWAY_S = 0.6
"""Time from a replica's crash to its restart."""
RUN_S = 0.02


class Mortal:
    """A slot in which replicas run one after the other, each until it crashes."""

    def __init__(self, service, number, store, reached):
        self.service, self.number, self.store, self.reached = service, number, store, reached
        self.starts = 0
        self.ends = 0

    @contextlib.asynccontextmanager
    async def running(self):
        """Run replicas for the duration of the context."""
        work = asyncio.create_task(self._run())
        try:
            yield
        finally:
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)

    async def _run(self):
        while True:
            self.starts += 1
            name = f"i-{self.service}-{self.number}-{self.starts}"
            body = bytes(14) + bytes([self.starts % 256, self.number])
            replica = standin_platform.Replica(name, self.service, body, delay_s=RUN_S)
            ended = asyncio.Event()
            replica.script = lambda request, ended=ended: self._script(request, ended)
            entrance = server.Server(replica.handle, messages.Limits, 1000)
            listener = await server.listen(entrance, "127.0.0.1", 0)
            replica.address = listener.sockets[0].getsockname()
            self.store.put(f"servers/{name}", replica.entry())
            try:
                await ended.wait()
            finally:
                listener.close()
                entrance.close()
            self.ends += 1
            await asyncio.sleep(AWAY_S / 2)
            self.store.remove(f"servers/{name}")
            await asyncio.sleep(AWAY_S / 2)

    async def _script(self, request, ended):
        if LETHAL not in request.target:
            return None
        now_s = asyncio.get_running_loop().time()
        self.reached.append((now_s, request.header(b"x-request-id")))
        await asyncio.sleep(RUN_S)
        ended.set()
        await asyncio.sleep(60)
