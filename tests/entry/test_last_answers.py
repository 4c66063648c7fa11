"""Answers that callers are still reading when an instance exits."""

from __future__ import annotations

import asyncio
import socket

import pytest

from turmericlug.entry import draining
from turmericlug.http1 import messages
from turmericlug.http1 import server
from turmericlug.kernel import binding as binding_module
from turmericlug.kernel import kernel as kernel_module
from turmericlug.telemetry import counters as counters_module

SMALL_BUFFER_BYTES = 4096
REQUEST = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"


def make_socket():
    """Return a socket of which the operating system holds few bytes, as of a slow link."""
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    return made


async def read_all(caller):
    """Read until the connection ends; return the number of bytes."""
    size = 0
    while data := await asyncio.get_running_loop().sock_recv(caller, 65536):
        size += len(data)
    return size


@pytest.mark.parametrize("body_bytes", [40_000, 120_000])
def test_an_answer_that_is_being_read_at_the_exit_is_sent_whole(monkeypatch, body_bytes):
    """Guards against answers whose last bytes the process still holds when it exits."""
    monkeypatch.setattr(draining, "LAST_ANSWERS_S", 10.0)

    async def handle(request):
        return messages.Response(200, body=bytes(body_bytes))

    async def main():
        loop = asyncio.get_running_loop()
        http_server = server.Server(handle, messages.Limits, 100)
        listening_socket = make_socket()
        listening_socket.bind(("127.0.0.1", 0))
        kernel = kernel_module.Kernel()
        kernel.provide("caller server", http_server)
        binding = binding_module.Binding(
            "callers",
            listening_socket.getsockname(),
            lambda: server.listen(http_server, "", 0, listening_socket),
            counters_module.Counters(),
            lambda *arguments, **fields: None,
        )
        await binding.bind()
        kernel.provide("callers listener", binding)
        with make_socket() as caller:
            caller.setblocking(False)
            await loop.sock_connect(caller, binding.address)
            await loop.sock_sendall(caller, REQUEST)
            await asyncio.sleep(0.1)
            http_server.drain()
            exiting = loop.create_task(draining._answer_last_requests(kernel, loop.time()))
            await asyncio.sleep(2 * draining.READ_LAST_S)
            reading = loop.create_task(read_all(caller))
            await exiting
            # The exit discards what the process still holds.
            for connection in list(http_server.connections):
                connection._transport.abort()
            assert await reading > body_bytes

    asyncio.run(main())
