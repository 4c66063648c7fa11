"""What becomes of each kind of request at each moment of an entry instance's grace period."""

from __future__ import annotations

import asyncio
import signal

import attrs
import entry_process
import entry_world
import pytest
import standin_platform

from turmericlug.http1 import client
from turmericlug.http1 import messages

GRACE_S = 6.0
FAST_S, SLOW_S = 0.05, 3.0
TIMEOUT_MS = 30_000
"""Far beyond the exit, unless the caller states less."""
SHORT_MS = 800
LEARNT_FROM = 20
"""Answers from which an instance knows how long a route's requests usually take."""
ANSWERED, REFUSED, FAILED = (200, True), (503, False), (502, True)
"""The status, and whether a replica has run the request."""

ROUTES = {
    f"{kind}-{pace}": changes
    for kind, changes in {
        "once": {"RouteType": "non_idempotent", "Service": "one"},
        "again": {"RouteType": "idempotent", "Service": "one"},
        "gathered": {"Gather": entry_world.SHARDS, "TopK": 2, "MinCoverage": 1.0},
    }.items()
    for pace in ("fast", "slow")
}


@attrs.frozen
class Row:
    """A request of the table."""

    sent_after_s: float
    route: str
    expected: tuple[int, bool]
    time_left_ms: int | None = None
    whole_after_s: float = 0.0
    """Time from its head until its body is whole."""

    @property
    def request_id(self):
        """Identifier of the request."""
        fields = (self.sent_after_s, self.route, self.time_left_ms, self.whole_after_s)
        return "/".join(map(str, fields)).encode()


TABLE = [
    # Requests that are answered before the exit.
    *(Row(0.5, route, ANSWERED) for route in ROUTES),
    *(Row(2.7, f"{kind}-fast", ANSWERED) for kind in ("once", "again", "gathered")),
    *(Row(3.3, f"{kind}-fast", ANSWERED) for kind in ("again", "gathered")),
    *(
        Row(sent_after_s, f"{kind}-fast", ANSWERED, SHORT_MS)
        for sent_after_s in (3.3, 4.2)
        for kind in ("once", "again", "gathered")
    ),
    # Requests that might not be answered before the exit, by what is known of them.
    Row(2.7, "once-slow", REFUSED),
    Row(2.7, "again-slow", FAILED),
    Row(2.7, "gathered-slow", FAILED),
    *(Row(3.3, f"{kind}-slow", REFUSED) for kind in ("once", "again", "gathered")),
    Row(3.3, "once-fast", REFUSED),
    *(Row(4.2, route, REFUSED) for route in ROUTES),
    *(Row(5.1, route, REFUSED) for route in ROUTES),
    # Bodies that are uploaded when the limits pass.
    Row(2.7, "once-fast", REFUSED, whole_after_s=0.6),
    Row(2.7, "again-fast", ANSWERED, whole_after_s=0.6),
    Row(3.3, "again-fast", REFUSED, whole_after_s=0.6),
]


def configure(world):
    """Configure the routes of the table."""
    world.version += 1
    routes = [
        standin_platform.route(
            name,
            f"/{name}/",
            GoalMs=TIMEOUT_MS // 2,
            TimeoutMs=TIMEOUT_MS,
            MaxAttempts=1,
            **changes,
        )
        for name, changes in ROUTES.items()
    ]
    services = [*entry_world.SHARDS, "one"]
    configuration = standin_platform.configuration(world.version, routes, services)
    for service in configuration["Services"]:
        service["MaxConns"] = 200
    world.store.put("op/config", configuration)


def pace_by_path(replica):
    """Let a replica answer as fast as the route's name says."""

    async def answer(request):
        request_id = request.header(b"x-request-id")
        replica.runs.append(request_id)
        await asyncio.sleep(SLOW_S if b"-slow/" in request.target else FAST_S)
        stamp = b"%s.1.%s" % (replica.instance.encode(), request_id)
        headers = ((b"x-request-id", request_id), (b"x-server-stamp", stamp))
        return messages.Response(200, headers, replica.body)

    replica.script = answer


async def teach(instance):
    """Send so many requests of each route that the instance knows how long they take."""

    async def ask(route, number):
        target, request_id = f"/{route}/1".encode(), f"teach/{route}/{number}".encode()
        answered = False
        while not answered:  # Just started, an instance takes few queries.
            response = await entry_process.ask(instance.ports[0], target, request_id)
            answered = response.status == 200

    await asyncio.gather(*(ask(route, number) for route in ROUTES for number in range(LEARNT_FROM)))


async def send(connection, began_s, row):
    """Send the request of a row; return its status, or how the connection ended."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(began_s + row.sent_after_s - loop.time())
    headers = [(b"host", b"h.example"), (b"x-request-id", row.request_id)]
    if row.time_left_ms is not None:
        headers.append((b"x-deadline-ms", b"%d" % row.time_left_ms))
    target = f"/{row.route}/1".encode()
    request = client.request_bytes(b"POST", target, headers, b"body")
    if row.whole_after_s:
        reader, writer = connection
        writer.write(request[:-1])
        await asyncio.sleep(row.whole_after_s)
        writer.write(request[-1:])
        line = await reader.readline()
        writer.close()
        return int(line.split()[1]) if line else "connection closed"
    try:
        return (await connection.exchange(request)).status
    except client.ExchangeError as error:
        return str(error)


@pytest.mark.parametrize("instances", [1, 3])
def test_each_request_is_answered_or_refused_as_not_run(tmp_path, instances):
    """
    Guards against requests that a leaving instance takes although they can't be answered before
    its exit, against those that it refuses needlessly or after they have run, and against
    connections that end without an answer.
    """

    async def main():
        data_centres = ["dc-1", "dc-1", "dc-2"][:instances]
        running = entry_world.running(tmp_path, data_centres, "dc-1", grace_s=GRACE_S)
        async with running as world, asyncio.timeout(90):
            for replica in world.replicas:
                pace_by_path(replica)
            configure(world)
            await world.until_applied()
            leaving = world.instances[0]
            await teach(leaving)
            port = leaving.ports[0]
            connections = [
                await (
                    asyncio.open_connection("127.0.0.1", port)
                    if row.whole_after_s
                    else client.connect("127.0.0.1", port)
                )
                for row in TABLE
            ]
            began_s = asyncio.get_running_loop().time()
            leaving.signal(signal.SIGTERM)
            statuses = await asyncio.gather(
                *(
                    send(connection, began_s, row)
                    for connection, row in zip(connections, TABLE, strict=True)
                )
            )
            assert await leaving.process.wait() == 0
            runs = {run for replica in world.replicas for run in replica.runs}
        seen = {
            row.request_id: (status, row.request_id in runs)
            for row, status in zip(TABLE, statuses, strict=True)
        }
        assert seen == {row.request_id: row.expected for row in TABLE}

    asyncio.run(main())
