"""Timeouts beside stalls of this process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from turmericlug.direct import stall_timeout


def block_event_loop(duration_s):
    """Keep this process from running anything else, as a busy machine does."""
    time.sleep(duration_s)


def serve_once(listener, sends_reply):
    """Answer the first byte of one connection, in a thread that runs beside a blocked loop."""
    with contextlib.suppress(OSError):
        connection, _ = listener.accept()
        with connection:
            connection.recv(1)
            if sends_reply:
                connection.sendall(b"x")
            connection.recv(1)


async def read_reply(address, stalled_s, timeout_s=0.1):
    """Return the reply of a server; ``None`` if it doesn't arrive in time."""
    reader, writer = await asyncio.open_connection(*address)
    loop = asyncio.get_running_loop()
    try:
        async with stall_timeout.StallTimeout(loop.time() + timeout_s):
            writer.write(b"x")
            loop.call_soon(block_event_loop, stalled_s)
            return await reader.read(1)
    except TimeoutError:
        return None
    finally:
        writer.close()
        await writer.wait_closed()


@pytest.mark.parametrize("new_event_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("stalled_s", [0.0, 0.3], ids=["running", "stalled"])
@pytest.mark.parametrize("sends_reply", [False, True], ids=["silent", "answers"])
def test_only_a_silent_peer_is_late(new_event_loop, stalled_s, sends_reply):
    """Guards against peers that count as silent as this process itself was stalled."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(target=serve_once, args=(listener, sends_reply))
        server.start()
        began_s = time.monotonic()
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            reply = runner.run(read_reply(listener.getsockname(), stalled_s))
        server.join(5)
    assert reply == (b"x" if sends_reply else None)
    assert time.monotonic() - began_s < 5


def test_cancelled_from_outside():
    """Guards against a caller's cancellation that is taken for a timeout."""

    async def wait():
        async with stall_timeout.StallTimeout(asyncio.get_running_loop().time() + 60):
            await asyncio.sleep(60)

    async def main():
        task = asyncio.create_task(wait())
        await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(main())
