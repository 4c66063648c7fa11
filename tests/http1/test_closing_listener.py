"""A listener that closes while connections wait to be accepted."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from turmericlug.http1 import messages
from turmericlug.http1 import server

CALLERS = 10
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


async def answer(request):
    return messages.Response(200, body=b"ok")


def test_connections_that_wait_when_a_listener_closes_are_served():
    """Guards against resets of connections whose requests wait unread, which might have run."""

    async def main():
        http_server = server.Server(answer, messages.Limits, 100)
        listener = await server.listen(http_server, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        with contextlib.ExitStack() as stack:
            callers = []
            for _ in range(CALLERS):
                # Without a turn of the event loop, nothing is accepted yet.
                callers.append(stack.enter_context(socket.create_connection(address)))
                callers[-1].sendall(REQUEST)
            listener.close()
            loop = asyncio.get_running_loop()
            for caller in callers:
                caller.setblocking(False)
                async with asyncio.timeout(10):
                    assert (await loop.sock_recv(caller, 1000)).startswith(b"HTTP/1.1 200 ")
        http_server.close()

    asyncio.run(main())
