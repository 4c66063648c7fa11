"""TCP proxy that injects faults between daemons, targets and the platform."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import typing
from collections import abc

import attrs
from aiohttp import web

from turmericlug.kernel import binding as binding_module
from turmericlug.kernel import tasks
from turmericlug_lab import listening

_READ_BYTES = 1 << 16


@attrs.define
class Route:
    """A listening port, its upstream address and its faults, which control requests change."""

    name: str
    listen: int
    to: int
    to_host: str = "127.0.0.1"
    delay_ms: float = 0.0
    mode: str = "pass"
    """``pass``, ``refuse`` (close new and open connections) or ``hang`` (forward nothing)."""
    one_way: str = ""
    """Hang only in this direction: ``up`` (to the server) or ``down`` (to the client)."""
    duplicate: bool = False
    """Send each chunk to the server twice."""
    blocked_sources: list[str] = attrs.field(factory=list)
    """Client IP addresses whose connections hang."""
    delay_ms_by_source: dict[str, float] = attrs.field(factory=dict)
    """One-way delays by client IP address; they take precedence over ``delay_ms``."""
    truncate_after: int = -1
    """Close a connection after this many bytes to the client; negative: no limit."""
    observe: abc.Callable[[bytes], object] = lambda chunk: None
    """Called with each chunk that is read, in both directions."""


class Proxy:
    """Serves the routes and tracks their connections."""

    def __init__(self, host: str, routes: list[Route]) -> None:
        self._host = host
        self.routes = {route.name: route for route in routes}
        self._tasks: dict[asyncio.Task[None], str] = {}
        self._closed = False
        self._bindings: list[binding_module.Binding] = []
        self._late_binds = tasks.Tasks()

    async def start(self) -> None:
        """Listen on every route, at once or as soon as its port can be bound."""
        for route in self.routes.values():
            open_listener = functools.partial(
                asyncio.start_server, self._handler(route), self._host, route.listen
            )
            binding = listening.make(route.name, self._host, route.listen, open_listener)
            self._bindings.append(binding)
            await binding.bind()
            if not binding.is_bound:
                self._late_binds.start(binding.bind_later(lambda: not self._closed))

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._closed = True
        for binding in self._bindings:
            if binding.is_bound:
                binding.listener.close()
        for task in list(self._tasks):
            task.cancel()

    def _handler(self, route: Route) -> typing.Callable[..., typing.Any]:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = typing.cast("asyncio.Task[None]", asyncio.current_task())
            self._tasks[task] = route.name
            try:
                if route.mode != "refuse":
                    await self._relay(route, reader, writer)
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                del self._tasks[task]
                writer.transport.abort()

        return handle

    async def _relay(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        upstream_reader, upstream_writer = await asyncio.open_connection(route.to_host, route.to)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(route, source, reader, upstream_writer, "up"))
                group.create_task(self._forward(route, source, upstream_reader, writer, "down"))
        except* (OSError, ConnectionError):
            pass
        finally:
            upstream_writer.transport.abort()

    async def _forward(
        self,
        route: Route,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        forwarded_bytes = 0
        loop = asyncio.get_running_loop()
        while chunk := await reader.read(_READ_BYTES):
            route.observe(chunk)
            while (
                route.mode == "hang"
                or route.one_way == direction
                or source in route.blocked_sources
            ):
                await asyncio.sleep(0.02)
            if direction == "down" and 0 <= route.truncate_after < forwarded_bytes + len(chunk):
                writer.write(chunk[: route.truncate_after - forwarded_bytes])
                await writer.drain()
                break
            forwarded_bytes += len(chunk)
            copies = 2 if route.duplicate and direction == "up" else 1
            delay_ms = route.delay_ms_by_source.get(source, route.delay_ms)
            if delay_ms:
                loop.call_later(delay_ms / 1000, _write_if_open, writer, chunk * copies)
            else:
                writer.write(chunk * copies)
                await writer.drain()
        raise ConnectionResetError

    def update_route(self, name: str, fields: dict[str, typing.Any]) -> None:
        """Set fields of a route; mode ``refuse`` also closes its open connections."""
        route = self.routes[name]
        for field_name, value in fields.items():
            setattr(route, field_name, value)
        if route.mode == "refuse":
            for task, route_name in list(self._tasks.items()):
                if route_name == name:
                    task.cancel()


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    with contextlib.suppress(OSError, RuntimeError):
        if not writer.transport.is_closing():
            writer.write(data)


async def serve(host: str, routes: list[Route], control_port: int) -> None:
    """Run the proxy until cancelled; ``POST /control/NAME`` sets fields of a route."""
    proxy = Proxy(host, routes)
    await proxy.start()

    async def control(request: web.Request) -> web.Response:
        proxy.update_route(request.match_info["name"], await request.json())
        return web.json_response({})

    application = web.Application()
    application.router.add_post("/control/{name}", control)
    async with listening.serving("proxy control", application, host, control_port):
        await asyncio.Event().wait()
