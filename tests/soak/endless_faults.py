"""Fault injection with replicas whose answers have no end, beside all other faults."""

from __future__ import annotations

import asyncio

import attrs
import faults

from turmericlug.http1 import messages

MAX_REPLICAS = 3
"""As many at a time: all of one service's, or one of several."""
_PIECE = bytes(65536)


@attrs.define
class EndlessFaultInjector(faults.FaultInjector):
    """Injects the faults of one seed; among them answers of replicas that don't end."""

    def faults(self):
        """Return the faults to choose from; each is a coroutine function."""
        return (*super().faults(), *[self._endless_answers] * 4)

    async def _endless_answers(self):
        rng = self.testbed.rng
        replicas = rng.sample(self.testbed.replicas, rng.randint(1, MAX_REPLICAS))
        write = rng.choice((_without_end, _almost_whole, _in_small_chunks))
        for replica in replicas:
            replica.script = _answering(replica, write)
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        for replica in replicas:
            replica.script = None


def _answering(replica, write):
    async def answer(request):
        """Run the request, and answer with chunks that don't end."""
        request_id = request.header(b"x-request-id") or b""
        replica.runs.append(request_id)
        headers = ((b"x-request-id", request_id), (b"x-server-stamp", b"i.1." + request_id))
        return messages.Response(200, headers, chunks=write())

    return answer


async def _without_end():
    while True:
        yield _PIECE
        await asyncio.sleep(0)


async def _almost_whole():
    """Send nearly as much as an answer may have, then nothing."""
    for _ in range(120):
        yield _PIECE
    await asyncio.sleep(60)


async def _in_small_chunks():
    while True:
        for _ in range(64):
            yield b"a"
        await asyncio.sleep(0)
