"""What the operating system holds for callers that don't read, which no budget counts."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop

from turmericlug.entry import early
from turmericlug.http1 import messages
from turmericlug.http1 import server

REQUEST = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
BODY_BYTES = 16_000_000
MAX_SYSTEM_BYTES = 256 * 1024


def listen_early():
    """Return the listening socket that is opened before the program is loaded."""
    return early.listener([early.OPTION, "127.0.0.1:0"])


async def handle(request):
    return messages.Response(200, body=bytes(BODY_BYTES))


@pytest.mark.parametrize("make_socket", [lambda: None, listen_early], ids=["bound", "early"])
def test_the_system_holds_a_bounded_part_of_an_unread_response(make_socket):
    """Guards against callers that don't read, for each of whom the system takes megabytes."""

    async def main():
        http_server = server.Server(handle, messages.Limits, 10)
        listener = await server.listen(http_server, "127.0.0.1", 0, make_socket())
        caller = socket.create_connection(listener.sockets[0].getsockname())
        caller.setblocking(False)
        try:
            async with asyncio.timeout(20):
                await asyncio.get_running_loop().sock_sendall(caller, REQUEST)
                while not http_server.budget.held_bytes:
                    await asyncio.sleep(0.01)
            (connection,) = http_server.connections
            unread_bytes, _ = connection._outgoing.backlog()
            return unread_bytes - connection._outgoing.unsent_bytes
        finally:
            caller.close()
            listener.close()
            http_server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert 0 < runner.run(main()) <= MAX_SYSTEM_BYTES
