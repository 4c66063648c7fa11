"""Listening for callers before the rest of the program is loaded, and what a start imports."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import subprocess
import sys

import pytest

from turmericlug.entry import early
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import server
from turmericlug_lab import fleet_spec

SOURCE = pathlib.Path(__file__).parents[2] / "src"


def test_a_request_sent_while_the_program_loads_is_answered():
    """
    After a power loss all instances restart, and each takes 0.2 s to load its program. Without a
    listening port, callers are refused at every address that they try in this time, and get no
    answer.
    """
    host, (port,) = "127.0.0.1", fleet_spec.reserve_ports(1)
    listener = early.listener([early.OPTION, f"{host}:{port}"])

    async def handler(request):
        return messages.Response(200, body=b"good")

    async def main():
        connection = await client.connect(host, port)
        exchange = asyncio.create_task(
            connection.exchange(client.request_bytes(b"GET", b"/", [(b"host", b"h")], b""))
        )
        # The program is still loading: no connection is accepted yet.
        await asyncio.sleep(0.02)
        assert not exchange.done()
        http_server = server.Server(handler, messages.Limits, 10)
        asyncio_server = await server.listen(http_server, host, port, listener)
        assert (await exchange).body == b"good"
        http_server.close()
        asyncio_server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("arguments", "addresses"),
    [
        ([], []),
        (["serve"], []),
        ([early.OPTION], []),
        (["--other", "127.0.0.1:1"], []),
        ([early.OPTION, "nowhere"], ["nowhere"]),
        ([early.OPTION, "127.0.0.1:port"], ["127.0.0.1:port"]),
        ([early.OPTION, "127.0.0.1:70000"], ["127.0.0.1:70000"]),
        ([early.OPTION, "192.0.2.1:8080"], ["192.0.2.1:8080"]),
    ],
)
def test_no_early_listener_without_a_usable_address(arguments, addresses, capfd):
    assert early.listener(arguments) is None
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines()]
    assert [line["address"] for line in lines] == addresses
    assert all(line["event"] == "listener.not_early" and line["error"] for line in lines)


@pytest.mark.parametrize("closed", [(), (0,), (1,), (2,), (0, 1), (1, 2), (0, 1, 2)])
def test_no_socket_takes_the_place_of_a_closed_standard_stream(closed):
    """A listening socket got descriptor 1, and log lines were written to a caller's connection."""
    program = (
        "import sys, socket\n"
        "from turmericlug.entry import early\n"
        "early.open_standard_streams()\n"
        "sys.exit(socket.socket().fileno() < 3)"
    )

    def close_streams():
        for descriptor in closed:
            os.close(descriptor)

    completed = subprocess.run(
        [sys.executable, "-c", program], preexec_fn=close_streams, env={"PYTHONPATH": str(SOURCE)}
    )
    assert completed.returncode == 0


@pytest.mark.parametrize(
    ("module", "unwanted"),
    [
        (
            "turmericlug.kernel.early_signals",
            ("asyncio", "attr", "collections", "enum", "json", "signal", "socket", "typing"),
        ),
        ("turmericlug.entry.early", ("asyncio", "attr", "capnp", "json", "logging", "ssl")),
        (
            "turmericlug.platform.start",
            ("aiohttp", "aiomisc", "absl", "typer", "rich", "matplotlib", "numpy", "hypothesis"),
        ),
    ],
)
def test_modules_imported_at_the_start(module, unwanted):
    """
    An import that only operators' commands need makes each restart of an instance slower. After a
    power loss of all instances, no caller is served during that time.
    """
    program = f"import sys, {module}; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": str(SOURCE)},
    )
    loaded = set(completed.stdout.split())
    assert module in loaded
    assert not loaded & set(unwanted)
