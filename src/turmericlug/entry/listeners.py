"""
What an instance is asked besides callers' requests: whether it is ready, where callers may connect,
what it believes and counts, and, by other instances, for parts and for news.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import abc

from turmericlug.entry import beliefs
from turmericlug.entry import directory as directory_module
from turmericlug.entry import helping
from turmericlug.entry import metrics
from turmericlug.entry import relay
from turmericlug.entry import suspects
from turmericlug.http1 import messages
from turmericlug.http1 import server
from turmericlug.kernel import kernel as kernel_module
from turmericlug.telemetry import decisions

ALIVE = b"HTTP/1.1 102 Processing\r\n\r\n"
"""Tells an instance that hands parts over that they are being worked on."""
PEER_IDLE_S = 60.0
"""Connections between instances are kept: a new one costs a batch a round trip."""

Kernel = kernel_module.Kernel


@contextlib.asynccontextmanager
async def listening(
    entrance: server.Server, address: tuple[str, int], early: socket.socket | None = None
) -> abc.AsyncIterator[asyncio.Server]:
    """
    Listen for the length of the block.

    :param early: listens already, perhaps at the address
    """
    if early is not None and early.getsockname() != address:
        decisions.log("instance.listened_elsewhere", address=early.getsockname()[0])
        early.close()
        early = None
    listener = await server.listen(entrance, *address, early)
    try:
        yield listener
    finally:
        listener.close()
        entrance.close()


@contextlib.asynccontextmanager
async def answered(kernel: Kernel) -> abc.AsyncIterator[None]:
    """Answer readiness, addresses, metrics and other instances' batches."""
    stalls = kernel.find("stalls")
    settings, view = kernel.find("settings"), kernel.find("view")
    adapter = kernel.find("adapter")
    handlers = [
        (adapter.ready_handler(lambda: ready(kernel)), settings.entry.ready_address),
        (
            adapter.resolve_handler(
                directory_module.Directory(view, settings.entry.name, lambda: _leaving(kernel))
            ),
            settings.entry.directory_address,
        ),
        (_operators_handler(kernel), settings.entry.metrics_address),
    ]
    async with contextlib.AsyncExitStack() as stack:
        for handler, address in handlers:
            questions = server.Server(handler, messages.Limits, settings.limits.descriptors // 8)
            await stack.enter_async_context(listening(questions, address))
        peers = server.Server(
            _peers_handler(kernel),
            lambda: messages.Limits(idle_timeout_s=PEER_IDLE_S),
            settings.limits.descriptors // 8,
            interim=ALIVE,
            stalled_s=stalls.overdue_s,
        )
        await stack.enter_async_context(listening(peers, settings.entry.peers_address))
        yield


def _operators_handler(kernel: Kernel) -> messages.Handler:
    tell_metrics = metrics.handler(kernel.find("counters"))
    tell_beliefs = beliefs.handler(
        kernel.find("settings").entry.name,
        kernel.find("view"),
        lambda: ready(kernel),
        kernel.find("sender").quarantine,
    )

    async def handle(request: messages.Request) -> messages.Answer:
        if request.target.startswith(metrics.PATH):
            return await tell_metrics(request)
        return await tell_beliefs(request)

    return handle


def _peers_handler(kernel: Kernel) -> messages.Handler:
    help_with = helping.handler(kernel.find("sender"))
    tell_news = relay.handler(
        kernel.find("journal"), kernel.find("view").source_age_s, kernel.find("relayed").attendance
    )

    exchange = suspects.handler(kernel.find("sender").quarantine, kernel.find("teller"))

    async def handle(request: messages.Request) -> messages.Answer:
        if request.target.startswith(relay.PATH):
            return await tell_news(request)
        if request.target == suspects.PATH:
            return await exchange(request)
        return await help_with(request)

    return handle


def ready(kernel: Kernel) -> bool:
    """Whether this instance takes requests."""
    return kernel.find("view").ready and not _leaving(kernel)


def _leaving(kernel: Kernel) -> bool:
    return kernel.find("callers").leaving
