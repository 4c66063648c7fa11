"""Answers that callers are still reading when a planned stop ends a ``turmericlugd``."""

from __future__ import annotations

import asyncio
import json
import signal
import socket

from integration import conftest

BODY_BYTES = 1_500_000
READ_BYTES = 64 * 1024
PAUSE_S = 0.1
"""Between two reads: the answer takes longer than all other steps of the stop."""


async def read_slowly(daemon, body):
    """Send a query and read its answer slowly; return it as received."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, (daemon.host, daemon.callers_port))
        head = f"POST /v1/query HTTP/1.1\r\nhost: h\r\ncontent-length: {len(body)}\r\n\r\n"
        await loop.sock_sendall(caller, head.encode() + body)
        answer = b""
        while True:
            data = await loop.sock_recv(caller, READ_BYTES)
            if not data:
                return answer
            answer += data
            await asyncio.sleep(PAUSE_S)


def test_an_answer_that_is_read_slowly_is_sent_whole(run_scenario):
    """Guards against answers that the exit cuts off while their callers read them."""

    async def scenario(fleet):
        query = {
            "caller": "tests",
            "service": "devis",
            "body": {"mark": "a" * BODY_BYTES},
            "deadline_ms": 8000,
        }
        reading = asyncio.create_task(read_slowly(fleet.daemons["e2"], json.dumps(query).encode()))
        await conftest.eventually(lambda: _has_run(fleet))
        fleet.signal("e2", signal.SIGTERM)
        head, _, content = (await reading).partition(b"\r\n\r\n")
        assert b" 200 " in head.splitlines()[0], head
        assert len(json.loads(content)["results"]) == len(conftest.GROUPS["devis"])
        assert await fleet.wait_exit("e2") == 0

    run_scenario(scenario, settings={"limits": {"max_body_bytes": str(2 * BODY_BYTES)}})


async def _has_run(fleet):
    return conftest.runs(fleet)
