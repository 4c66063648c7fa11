"""Listening of the stand-ins, at once or as soon as their addresses can be bound."""

from __future__ import annotations

import contextlib
import json
import sys
import typing
from collections import abc

from aiohttp import web

from turmericlug.kernel import binding as binding_module
from turmericlug.telemetry import counters as counters_module


def make(
    name: str, host: str, port: int, open_listener: binding_module.OpenListener
) -> binding_module.Binding:
    """Return the binding of an address, whose failures are written to standard error as JSON."""
    return binding_module.Binding(
        name, (host, port), open_listener, counters_module.Counters(), _log
    )


def _log(event: str, **fields: typing.Any) -> None:
    print(json.dumps({"event": event} | fields), file=sys.stderr, flush=True)


@contextlib.asynccontextmanager
async def serving(
    name: str, application: web.Application, host: str, port: int
) -> abc.AsyncIterator[None]:
    """Serve an application until the end of the block, from when its address can be bound."""
    runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
    await runner.setup()

    async def open_site() -> web.TCPSite:
        site = web.TCPSite(runner, host, port)
        await site.start()
        return site

    try:
        async with binding_module.listening(make(name, host, port, open_site), lambda: True):
            yield
    finally:
        await runner.cleanup()
