"""Memory of messages to and from all peers."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import pytest

from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import codec
from turmericlug.wire import handshake
from turmericlug.wire import link as link_module
from turmericlug.wire import memory
from turmericlug.wire import server as server_module

KEY = "a-key-of-sixteen-characters"
PEERS = 20
FRAME = codec.MAX_FRAME_BYTES.to_bytes(4, "little") + bytes(7 << 20)


def test_beginnings_of_frames_share_a_limit():
    """Guards against peers that send beginnings of large frames, which add up."""
    held, refused, readers = memory.Memory(), 0, []
    for _ in range(PEERS):
        reader = codec.FrameReader(held)
        readers.append(reader)
        try:
            reader.feed(FRAME)
        except codec.FrameError:
            refused += 1
            reader.close()
        assert held.received_bytes <= memory.MAX_RECEIVED_BYTES
    assert refused == PEERS - memory.MAX_RECEIVED_BYTES // len(FRAME)
    # Small frames go on.
    small = codec.FrameReader(held)
    assert not small.feed(FRAME[: memory.SMALL_BYTES])
    for reader in [*readers, small]:
        reader.close()
    assert not held.received_bytes


def test_peers_that_send_beginnings_of_frames_are_closed():
    """Guards against an instance that outgrows its machine, or stops answering the other peers."""

    async def main():
        counters, writers = counters_module.Counters(), []
        server = server_module.Server(KEY, "server", counters)
        server.handlers = {"ping": lambda request: request.reply(lambda each: each.init("pong"))}
        listener = await asyncio.start_server(server.on_connection, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(server.tasks.close)
            stack.callback(listener.close)
            for number in range(PEERS):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writers.append(writer)
                stack.callback(writer.transport.abort)
                await handshake.initiate(reader, writer, KEY, f"peer-{number}")
                with contextlib.suppress(ConnectionError):
                    writer.write(FRAME)
                    await writer.drain()
            link = link_module.Link(("127.0.0.1", port), KEY, "other", counters)
            await stack.enter_async_context(link_module.opened(link))
            reply = await link.ask(lambda each: each.init("ping"), 10.0)
            assert reply.which() == "pong"
            expected = PEERS - memory.MAX_RECEIVED_BYTES // len(FRAME)
            async with asyncio.timeout(60):
                while counters.totals["peer.rejected.bad_frame"] < expected:
                    await asyncio.sleep(0.02)

    asyncio.run(main())


@attrs.define(eq=False)
class Connection:
    """A connection with unsent data."""

    size_bytes: int

    def unsent_bytes(self):
        return self.size_bytes

    def abort(self):
        self.size_bytes = 0


@pytest.mark.parametrize(
    ("sizes_mb", "left_mb"),
    [
        ([1, 2], [1, 2]),
        ([30, 20, 30], [0, 20, 30]),
        ([31] * 8, [0] * 6 + [31] * 2),
        ([0.1] * 1000, [0.1] * 1000),
    ],
)
def test_the_peers_that_read_least_are_closed(sizes_mb, left_mb):
    """Guards against data for peers that don't read, which adds up, and against closing others."""
    held = memory.Memory()
    connections = [Connection(int(size_mb * (1 << 20))) for size_mb in sizes_mb]
    for connection in connections:
        held.add_sending(connection)
    assert held.limit_unsent() == left_mb.count(0)
    left = sorted(connection.size_bytes for connection in connections)
    assert left == sorted(int(size_mb * (1 << 20)) for size_mb in left_mb)
