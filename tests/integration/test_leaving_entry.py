"""A leaving entry instance answers every request that it has read."""

from __future__ import annotations

import asyncio
import signal

import entry_process
import pytest
import standin_platform

from turmericlug.http1 import client

UNREPEATABLE, IDEMPOTENT = b"/once/", b"/again/"
REFUSED = {503}
ANSWERED = {502, 503}
"""An honest answer, whichever way the request was handled."""


async def send_after(connection, began_s, sent_after_s, path):
    """Send a request on a kept connection; return its status, or how the connection ended."""
    await asyncio.sleep(began_s + sent_after_s - asyncio.get_running_loop().time())
    headers = [(b"host", b"h.example"), (b"x-request-id", b"%s%.1f" % (path, sent_after_s))]
    try:
        response = await connection.exchange(client.request_bytes(b"GET", path, headers, b""))
    except client.ExchangeError as error:
        return str(error)
    return response.status


@pytest.mark.parametrize(
    ("grace_s", "expected"),
    [
        (2.0, {(UNREPEATABLE, 0.1): ANSWERED, (UNREPEATABLE, 0.8): ANSWERED}),
        (
            4.0,
            {
                (UNREPEATABLE, 2.0): ANSWERED,
                (UNREPEATABLE, 2.8): REFUSED,
                (IDEMPOTENT, 2.0): ANSWERED,
                (IDEMPOTENT, 2.8): REFUSED,
            },
        ),
        (
            6.0,
            {
                (UNREPEATABLE, 2.8): ANSWERED,
                (UNREPEATABLE, 3.3): REFUSED,
                (UNREPEATABLE, 3.8): REFUSED,
                (IDEMPOTENT, 2.8): ANSWERED,
                (IDEMPOTENT, 3.3): ANSWERED,
                (IDEMPOTENT, 4.0): REFUSED,
            },
        ),
        (8.0, {(UNREPEATABLE, 3.3): REFUSED, (IDEMPOTENT, 4.5): ANSWERED}),
    ],
    ids=["grace 2", "grace 4", "grace 6", "grace 8"],
)
def test_requests_that_outlast_the_process_are_answered(tmp_path, grace_s, expected):
    """
    Guards against requests that a leaving instance passes on to a replica and cuts off at its exit.
    """

    async def main():
        store = standin_platform.Store()
        replica = standin_platform.Replica("i-1", "s", delay_s=grace_s + 1.0)
        async with (
            standin_platform.listening(replica.handle) as replica.address,
            standin_platform.listening(store.handle) as (_, store_port),
        ):
            store.put("servers/i-1", replica.entry())
            routes = [
                standin_platform.route(
                    kind, path.decode(), RouteType=kind, TimeoutMs=30_000, Service="s"
                )
                for kind, path in (("non_idempotent", UNREPEATABLE), ("idempotent", IDEMPOTENT))
            ]
            store.put("op/config", standin_platform.configuration(1, routes, ["s"]))
            instance = entry_process.make(tmp_path, "e-1", store_port, grace_s=grace_s)
            await instance.start()
            try:
                await entry_process.until(lambda: entry_process.ready(instance))
                kept = [await client.connect("127.0.0.1", instance.ports[0]) for _ in expected]
                began_s = asyncio.get_running_loop().time()
                instance.signal(signal.SIGTERM)
                statuses = await asyncio.gather(
                    *(
                        send_after(connection, began_s, sent_after_s, path)
                        for connection, (path, sent_after_s) in zip(kept, expected, strict=True)
                    )
                )
                assert await instance.process.wait() == 0
            finally:
                instance.signal(signal.SIGKILL)
                await instance.process.wait()
        answers = dict(zip(expected, statuses, strict=True))
        assert all(answers[sent] in allowed for sent, allowed in expected.items()), answers
        passed_on = {b"%s%.1f" % sent for sent, status in answers.items() if status == 502}
        assert set(replica.runs) == passed_on
        (exiting,) = instance.lines("instance.exiting")
        assert exiting["in_flight"] == statuses.count(502)

    asyncio.run(main())
