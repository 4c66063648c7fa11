"""Scripted replicas for tests of the code that sends requests to replicas."""

from __future__ import annotations

import asyncio

from turmericlug.direct import budget
from turmericlug.direct import header_names
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.kernel import tasks
from turmericlug.telemetry import counters

NAMES = header_names.HeaderNames(
    request_id=b"request-id",
    time_left=b"time-left",
    expected_instance=b"expected",
    not_run=b"not-run",
    signature=b"signed",
    part_signatures=b"parts",
    missing_parts=b"missing",
    retry_after=b"retry-after",
)


PLACE = placement.Place("own", "dc", {"dc": "r"})


def response(status=200, headers=(), body=b"", signed=b"sig"):
    pairs = [(b"request-id", b"q1"), *headers]
    if signed:
        pairs.append((b"signed", signed))
    return client.Response(status, b"", tuple(pairs), body, True)


SHED = response(503, [(b"not-run", b"1")], signed=b"")


class Connection:
    """Follows the replica's script: a response, an error, or seconds to wait for the next step."""

    def __init__(self, replica):
        self.replica = replica
        self.number = 0
        self.closed = False
        self.idle_since_s = 0.0
        self.keep_alive_timeout_s = None
        self.exchanges = 0
        self.had_unnamed_response = False
        self.waits_for_memory = False

    async def exchange(self, request):
        self.exchanges += 1
        self.replica.requests.append(request)
        try:
            while True:
                script = self.replica.script
                step = script.pop(0) if len(script) > 1 else script[0]
                if isinstance(step, float):
                    await asyncio.sleep(step)
                elif isinstance(step, Exception):
                    raise step
                else:
                    return step
        except asyncio.CancelledError:
            self.replica.cancelled += 1
            raise

    def close(self):
        self.closed = True


class ScriptedReplica:
    """A replica that follows the steps of its script in order and repeats the last one."""

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.cancelled = 0

    async def connect(self):
        if isinstance(self.script[0], client.ConnectError):
            raise self.script[0]
        return Connection(self)


class CrashingReplica(ScriptedReplica):
    """A replica that crashes when it runs a request and, by default, then refuses connections."""

    def __init__(self, *script, accepts_connections=False):
        super().__init__(*(script or [client.ConnectionLostError("connection closed")]))
        self.accepts_connections = accepts_connections

    async def connect(self):
        if self.requests and not self.accepts_connections:
            raise client.ConnectRefusedError("ConnectionRefusedError")
        return Connection(self)


class SlowToConnect(ScriptedReplica):
    """A replica whose connections take 0.15 s to open."""

    async def connect(self):
        await asyncio.sleep(0.15)
        return await super().connect()


def entry(
    instance,
    service="s",
    data_centre="dc",
    draining=False,
    slots=2,
    born_ms=None,
    port=1,
    sequence=0,
):
    return routes.ReplicaEntry(
        instance, service, "h", port, data_centre, slots, draining, 0, born_ms, sequence
    )


def make_sender(scripts, slack=100.0):
    """Create a sender with scripted replicas, given by service and instance."""
    replicas_by_name = {
        name: replica for replicas in scripts.values() for name, replica in replicas.items()
    }
    loop = asyncio.get_running_loop()

    def make_pool(replica_entry):
        return pool_module.Pool(
            replicas_by_name[replica_entry.instance].connect, lambda: 3, loop.time
        )

    replica_table = replicas_module.Replicas(make_pool, PLACE, budget.Allowance(0.2, slack, 10.0))
    for service, replicas in scripts.items():
        for instance in replicas:
            replica_table.put(entry(instance, service))
    return sender_module.Sender(replica_table, NAMES, counters.Counters(), tasks.Tasks(), lambda: 1)


def make_call(deadline_ms=2000.0, **changes):
    values = {
        "idempotent": True,
        "timeout_ms": 2000.0,
        "goal_ms": 100.0,
        "priority": 1,
        "max_attempts": 2,
        "services": (routes.WeightedService("s", 1.0),),
    } | changes
    route = routes.Route("r", "h", "/", **values)
    now_s = asyncio.get_running_loop().time()
    return sending.Call(b"q1", b"GET", b"/a", [], b"", route, 1, now_s, now_s + deadline_ms / 1000)
