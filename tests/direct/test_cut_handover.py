"""A peer's answer to a batch is cut at any byte."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import handover_helpers
import pytest

from turmericlug.direct import answering
from turmericlug.direct import budget
from turmericlug.direct import handover
from turmericlug.direct import handover_codec
from turmericlug.direct import peers as peers_module
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.http1 import client

LAST_CHUNK = b"0\r\n\r\n"


def answer_to(batch):
    """Return a peer's whole answer: all shards but the last in one chunk, the last in another."""
    chunks = []
    for number, shards in enumerate((batch.shards[:-1], batch.shards[-1:])):
        answer = handover_codec.Answer(
            records=b"".join(ord(shard).to_bytes(16, "big") for shard in reversed(shards)),
            signatures={shard: b"sig%d" % ord(shard) for shard in shards},
            failures={},
            spent_ms=1.0,
            first=number == 0,
        )
        content = handover_codec.encode_answer(answer, batch.shards)
        chunks.append(b"%x\r\n%s\r\n" % (len(content), content))
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nkeep-alive: timeout=15\r\n\r\n"
    return handover_helpers.INTERIM_RESPONSE + head + b"".join(chunks) + LAST_CHUNK


@contextlib.asynccontextmanager
async def cutting_peer(missing, ending):
    """Run a peer whose answers lack their last bytes; yield a ``Handover`` that uses it."""

    async def serve(reader, writer):
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                batch = handover_codec.decode_batch(await reader.readexactly(length))
                message = answer_to(batch)
                writer.write(message[: len(message) - missing])
                await writer.drain()
                if ending == "rst":
                    linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
        finally:
            writer.close()

    loop = asyncio.get_running_loop()

    def make_pool(entry):
        return pool_module.Pool(
            lambda: client.connect(entry.host, entry.port), lambda: 3, loop.time
        )

    peers = replicas_module.Replicas(make_pool, handover_helpers.PLACE, budget.Allowance())
    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    peers.put(routes.ReplicaEntry("e-2", "far", host, port, "far", 1, False, 0))
    try:
        yield handover.Handover(peers_module.Peers(peers, handover_helpers.PLACE))
    finally:
        listener.close()


async def query(missing, ending):
    sender = handover_helpers.make_sender(handover_helpers.scripts())
    async with cutting_peer(missing, ending) as sender.handover:
        call = handover_helpers.query_call(min_coverage=0.3)
        result = await answering.query_shards(sender, call)
        await sender.tasks.close()
    return result, sender.counters.totals["handover.lost"]


@pytest.mark.parametrize("ending", ["fin", "rst"])
def test_a_cut_answer_to_a_batch_counts_only_its_whole_chunks(ending):
    """
    An instance is killed while it answers a batch. The records in the caller's answer must be those
    of the parts that it names, each once, whatever part of the instance's answer has arrived.
    """
    batch = handover_helpers.BATCH
    size = len(answer_to(batch)) + 40

    async def main():
        for missing in range(1, size):
            result, lost_batches = await query(missing, ending)
            headers = dict(result.answer.headers)
            signatures = headers[b"parts"].split(b", ")
            assert len(set(signatures)) == len(signatures) == 3 - int(headers[b"missing"])
            numbers = sorted((int(signature[3:]) for signature in signatures), reverse=True)
            assert result.answer.body == b"".join(n.to_bytes(16, "big") for n in numbers[:2])
            assert (result.outcome == "answered") == (len(signatures) == 3)
            if missing <= len(LAST_CHUNK):
                # All outcomes are there: the query may be answered before the connection ends.
                assert result.outcome == "answered"
            else:
                # Without the loss, a query answers at its goal with the parts that have arrived.
                assert lost_batches == 1 or result.outcome == "partial"
        result, lost_batches = await query(0, "fin")
        assert (result.outcome, lost_batches) == ("answered", 0)

    asyncio.run(main())
