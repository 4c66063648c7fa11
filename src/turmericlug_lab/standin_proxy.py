"""A TCP proxy that injects faults between daemons, targets and the platform."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
from aiohttp import web

_READ_BYTES = 1 << 16


@attrs.define
class Route:
    """One listening port and where it leads; a control call changes it while it runs."""

    name: str
    listen: int
    to: int
    to_host: str = "127.0.0.1"
    delay_ms: float = 0.0
    mode: str = "pass"
    """``pass``, ``refuse`` new and end old connections, or ``hang``: accept and pass nothing."""
    one_way: str = ""
    """``up`` or ``down``: hang only in this direction."""
    duplicate: bool = False
    """Send each piece towards the server twice."""
    blocked_sources: list[str] = attrs.field(factory=list)
    """IP numbers whose connections hang."""
    delay_ms_by_source: dict[str, float] = attrs.field(factory=dict)
    """One-way delays that go before ``delay_ms``, by the client's IP number."""
    truncate_after: int = -1
    """End a connection after this many bytes towards the client."""


class Proxy:
    """The routes and what flows on them."""

    def __init__(self, host: str, routes: list[Route]) -> None:
        self._host = host
        self.routes = {route.name: route for route in routes}
        self._tasks: dict[asyncio.Task[None], str] = {}
        self._listeners: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on every route."""
        for route in self.routes.values():
            listener = await asyncio.start_server(self._handler(route), self._host, route.listen)
            self._listeners.append(listener)

    def close(self) -> None:
        """Listen no more and end every connection."""
        for listener in self._listeners:
            listener.close()
        for task in list(self._tasks):
            task.cancel()

    def _handler(self, route: Route) -> typing.Callable[..., typing.Any]:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = typing.cast("asyncio.Task[None]", asyncio.current_task())
            self._tasks[task] = route.name
            try:
                if route.mode != "refuse":
                    await self._carry(route, reader, writer)
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                del self._tasks[task]
                writer.transport.abort()

        return handle

    async def _carry(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        up_reader, up_writer = await asyncio.open_connection(route.to_host, route.to)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(route, source, reader, up_writer, "up"))
                group.create_task(self._pump(route, source, up_reader, writer, "down"))
        except* (OSError, ConnectionError):
            pass
        finally:
            up_writer.transport.abort()

    async def _pump(
        self,
        route: Route,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: str,
    ) -> None:
        passed = 0
        loop = asyncio.get_running_loop()
        while data := await reader.read(_READ_BYTES):
            while route.mode == "hang" or route.one_way == way or source in route.blocked_sources:
                await asyncio.sleep(0.02)
            if way == "down" and 0 <= route.truncate_after < passed + len(data):
                writer.write(data[: route.truncate_after - passed])
                await writer.drain()
                break
            passed += len(data)
            copies = 2 if route.duplicate and way == "up" else 1
            delay_ms = route.delay_ms_by_source.get(source, route.delay_ms)
            if delay_ms:
                loop.call_later(delay_ms / 1000, _write, writer, data * copies)
            else:
                writer.write(data * copies)
                await writer.drain()
        raise ConnectionResetError

    def update_route(self, name: str, fields: dict[str, typing.Any]) -> None:
        """Change a route; one that refuses also ends the connections it has."""
        route = self.routes[name]
        for key, value in fields.items():
            setattr(route, key, value)
        if route.mode == "refuse":
            for task, owner in list(self._tasks.items()):
                if owner == name:
                    task.cancel()


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    with contextlib.suppress(OSError, RuntimeError):
        if not writer.transport.is_closing():
            writer.write(data)


async def serve(host: str, routes: list[Route], control_port: int) -> None:
    """Proxy until cancelled; ``POST /control/NAME`` changes a route."""
    proxy = Proxy(host, routes)
    await proxy.start()

    async def control(request: web.Request) -> web.Response:
        proxy.update_route(request.match_info["name"], await request.json())
        return web.json_response({})

    application = web.Application()
    application.router.add_post("/control/{name}", control)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, control_port).start()
    await asyncio.Event().wait()
