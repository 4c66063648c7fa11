"""Stand-in targets: replicas with slots, limits, faults and a journal; many share a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import random
import typing
from collections import abc

import attrs
from aiohttp import web
from aiohttp import web_protocol

from turmericlug.kernel import tasks
from turmericlug.owner import target as target_module
from turmericlug_lab import listening


@attrs.define
class Behaviour:
    """Service times, state and faults of a replica; control requests change them."""

    service_ms: float = 10.0
    spread: float = 0.3
    """Sigma of the log-normal service time."""
    straggler_share: float = 0.0
    straggler_factor: float = 10.0
    cold_ms: float = 0.0
    """Extra service time of the first run, which falls linearly to 0 over ``cold_runs`` runs."""
    cold_runs: int = 20
    draining: bool = False
    drained_after_s: float = 0.0
    shed_above: int = 1000
    snapshots: list[str] = attrs.field(factory=lambda: ["s1"])
    health: str = "ok"
    reply_fault: str = ""
    """``crossed``, ``duplicated``, ``truncated``, ``garbage``, ``wrong_snapshot`` or ``die``."""
    fault_share: float = 1.0
    lethal: str = ""
    """The replica crashes after it runs a body that contains this text; empty disables this."""
    away_s: float = 1.0
    """Time from such a crash to the restart."""


@attrs.frozen
class Spec:
    """Identity, limits and initial behaviour of a stand-in replica."""

    name: str
    service: str
    port: int
    slots: int
    connections: int
    connect_ms: float
    behaviour: dict[str, typing.Any] = attrs.field(factory=dict)


class _ReplicaConnection(web_protocol.RequestHandler):
    """A connection that counts towards its replica's limit; ``is_new`` until its first request."""

    __slots__ = ("is_new", "replica")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection above the limit before any byte is read."""
        self.is_new = True
        super().connection_made(transport)
        if self.replica.connections >= self.replica.spec.connections:
            self.replica.connections_refused += 1
            transport.close()
        self.replica.connections += 1
        self.replica.open_transports.add(transport)
        self.replica.most_connections = max(self.replica.most_connections, self.replica.connections)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the connection."""
        self.replica.connections -= 1
        self.replica.open_transports.discard(self.transport)
        super().connection_lost(exc)


class Replica:
    """A stand-in replica: its state, statistics and request handlers."""

    def __init__(self, spec: Spec, journal: typing.TextIO | None, seed: int) -> None:
        self.spec = spec
        self.behaviour = Behaviour(**spec.behaviour)
        self.connections = 0
        self.most_connections = 0
        self.connections_refused = 0
        self.most_running = 0
        self.runs = 0
        self.received = 0
        self.work_ms = 0.0
        self._running = 0
        self._waiting = 0
        self._journal = journal
        self._rng = random.Random(f"{seed}/{spec.name}")
        self._slots = asyncio.Semaphore(spec.slots)
        self._tasks: dict[str, asyncio.Task[typing.Any]] = {}
        self._last_reply: tuple[str, bytes] = ("", b"{}")
        self.open_transports: set[asyncio.Transport] = set()
        self.crashed = asyncio.Event()
        """Set from the crash on a lethal body until the replica listens again."""

    def write_journal(self, **fields: typing.Any) -> None:
        """Append a line to the journal and flush it before the caller continues."""
        if self._journal is not None:
            self._journal.write(json.dumps({"replica": self.spec.name, **fields}) + "\n")
            self._journal.flush()

    def application(self) -> web.Application:
        """Return an application with the routes of the target protocol and of the control API."""
        application = web.Application(client_max_size=1 << 22)
        application.router.add_post("/v1/run", self._run)
        application.router.add_post("/v1/cancel", self._cancel)
        application.router.add_get("/v1/health", self._health)
        application.router.add_post("/control", self._control)
        application.router.add_get("/control", self._stats)
        return application

    async def _health(self, request: web.Request) -> web.Response:
        await self._delay_new_connection(request)
        return web.json_response({"state": self.behaviour.health, "load": 0.0})

    async def _delay_new_connection(self, request: web.Request) -> None:
        protocol = typing.cast(_ReplicaConnection, request.protocol)
        if protocol.is_new:
            protocol.is_new = False
            await asyncio.sleep(self.spec.connect_ms / 1000)

    async def _control(self, request: web.Request) -> web.Response:
        self.behaviour = attrs.evolve(self.behaviour, **await request.json())
        self.write_journal(event="control", behaviour=attrs.asdict(self.behaviour))
        return web.json_response({})

    async def _stats(self, request: web.Request) -> web.Response:
        names = ("runs", "received", "work_ms", "connections", "most_connections")
        stats = {name: getattr(self, name) for name in names}
        stats["connections_refused"] = self.connections_refused
        stats["most_running"] = self.most_running
        return web.json_response(stats)

    async def _cancel(self, request: web.Request) -> web.Response:
        task = self._tasks.get(request.headers.get(target_module.ATTEMPT_HEADER, ""))
        if task is not None:
            task.cancel("asked")
        return web.Response(status=202)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        attempt = request.headers[target_module.ATTEMPT_HEADER]
        body = await request.read()
        await self._delay_new_connection(request)
        self.received += 1
        behaviour = self.behaviour
        if behaviour.draining:
            return self._refuse(attempt, "draining")
        if self._waiting >= behaviour.shed_above:
            return self._refuse(attempt, "shed")
        snapshot = request.headers[target_module.SNAPSHOT_HEADER]
        if snapshot not in behaviour.snapshots:
            return web.Response(status=409, headers={target_module.ATTEMPT_HEADER: attempt})
        task = asyncio.create_task(self._execute(request, attempt, snapshot, body))
        self._tasks[attempt] = task
        try:
            return await task
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return web.Response(
                status=target_module.CANCELLED_STATUS,
                headers={target_module.ATTEMPT_HEADER: attempt},
            )
        finally:
            task.cancel()
            self._tasks.pop(attempt, None)

    def _refuse(self, attempt: str, reason: str) -> web.Response:
        self.write_journal(event="refused", attempt=attempt, reason=reason)
        headers = {target_module.ATTEMPT_HEADER: attempt, target_module.NOT_RUN_HEADER: reason}
        return web.Response(status=503, headers=headers)

    async def _execute(
        self, request: web.Request, attempt: str, snapshot: str, body: bytes
    ) -> web.StreamResponse:
        """Wait for a slot within the deadline, run for the service time and respond."""
        shard = request.headers[target_module.SHARD_HEADER]
        self._waiting += 1
        try:
            async with asyncio.timeout(
                int(request.headers[target_module.DEADLINE_MS_HEADER]) / 1000
            ):
                await self._slots.acquire()
        except TimeoutError:
            return self._refuse(attempt, "deadline")
        except asyncio.CancelledError:
            return self._refuse(attempt, "cancelled")
        finally:
            self._waiting -= 1
        self._running += 1
        self.most_running = max(self.most_running, self._running)
        started_at_s = asyncio.get_running_loop().time()
        self.write_journal(
            event="run", attempt=attempt, snapshot=snapshot, shard=shard, body=body.decode()
        )
        self.runs += 1
        try:
            await asyncio.sleep(self._draw_service_time_s())
        finally:
            self.work_ms += (asyncio.get_running_loop().time() - started_at_s) * 1000
            self._running -= 1
            self._slots.release()
        if self.behaviour.lethal and self.behaviour.lethal in body.decode():
            self._crash()
        return self._respond(request, attempt, snapshot, shard, body)

    def _crash(self) -> None:
        """Simulate a process crash: abort every connection and stop listening."""
        self.write_journal(event="ended")
        self.crashed.set()
        for transport in list(self.open_transports):
            transport.abort()

    def _draw_service_time_s(self) -> float:
        behaviour = self.behaviour
        service_ms = behaviour.service_ms * self._rng.lognormvariate(0, behaviour.spread)
        if self._rng.random() < behaviour.straggler_share:
            service_ms *= behaviour.straggler_factor
        if self.runs <= behaviour.cold_runs:
            service_ms += behaviour.cold_ms * (1 - self.runs / (behaviour.cold_runs + 1))
        return service_ms / 1000

    def _respond(
        self, request: web.Request, attempt: str, snapshot: str, shard: str, body: bytes
    ) -> web.StreamResponse:
        result = {"replica": self.spec.name, "shard": shard, "snapshot": snapshot}
        reply = json.dumps(result)[:-1].encode() + b', "asked": ' + body + b"}"
        headers = {target_module.ATTEMPT_HEADER: attempt, target_module.SNAPSHOT_HEADER: snapshot}
        fault = self.behaviour.reply_fault
        if fault and self._rng.random() >= self.behaviour.fault_share:
            fault = ""
        self.write_journal(event="answered", attempt=attempt, fault=fault)
        previous_reply, self._last_reply = self._last_reply, (attempt, reply)
        transport = request.transport
        if fault == "die" or transport is None:
            if transport is not None:
                transport.abort()
        elif fault in ("crossed", "duplicated"):
            headers[target_module.ATTEMPT_HEADER], reply = previous_reply
        elif fault == "wrong_snapshot":
            headers[target_module.SNAPSHOT_HEADER] = "another"
        elif fault == "garbage":
            reply = reply[: len(reply) // 2]
        elif fault == "truncated":
            head = f"HTTP/1.1 200 OK\r\n{target_module.ATTEMPT_HEADER}: {attempt}\r\n"
            head += (
                f"{target_module.SNAPSHOT_HEADER}: {snapshot}\r\n"
                f"Content-Length: {len(reply)}\r\n\r\n"
            )
            transport.write(head.encode() + reply[: len(reply) // 2])
            transport.close()
        return web.Response(body=reply, headers=headers, content_type="application/json")


@contextlib.asynccontextmanager
async def serve_replica(replica: Replica, host: str) -> abc.AsyncIterator[None]:
    """Serve a replica for the duration of the ``with`` block."""
    loop = asyncio.get_running_loop()
    runner = web.AppRunner(replica.application(), access_log=None, handler_cancellation=True)
    await runner.setup()

    def new_connection() -> _ReplicaConnection:
        handler = _ReplicaConnection(
            runner.server, loop=loop, access_log=None, keepalive_timeout=3600
        )
        handler.replica = replica
        return handler

    def open_listener() -> abc.Awaitable[asyncio.Server]:
        return loop.create_server(new_connection, host, replica.spec.port)

    binding = listening.make(replica.spec.name, host, replica.spec.port, open_listener)

    async def restart_after_crash() -> None:
        while True:
            try:
                await binding.bind_later(lambda: True)
                await replica.crashed.wait()
            finally:
                if binding.is_bound:
                    binding.listener.close()
            await asyncio.sleep(replica.behaviour.away_s)
            replica.crashed.clear()
            binding.listener = None
            await binding.bind()

    await binding.bind()
    async with tasks.background(restart_after_crash()):
        try:
            yield
        finally:
            await runner.cleanup()


async def serve(specs: list[Spec], host: str, journal: pathlib.Path | None, seed: int) -> None:
    """Serve replicas until cancelled."""
    async with contextlib.AsyncExitStack() as stack:
        stream = stack.enter_context(journal.open("a")) if journal else None
        for spec in specs:
            await stack.enter_async_context(serve_replica(Replica(spec, stream, seed), host))
        await asyncio.Event().wait()
