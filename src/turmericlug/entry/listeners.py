"""
The listeners of an entry instance other than the callers': readiness, the directory of addresses,
metrics and status for operators, and other instances' batches, relayed updates and suspects.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import abc

from turmericlug.entry import batches
from turmericlug.entry import directory as directory_module
from turmericlug.entry import inspection
from turmericlug.entry import metrics
from turmericlug.entry import quota_peers
from turmericlug.entry import quota_service
from turmericlug.entry import relay
from turmericlug.entry import suspects
from turmericlug.http1 import accepting
from turmericlug.http1 import messages
from turmericlug.http1 import request_budget
from turmericlug.http1 import server
from turmericlug.kernel import binding as binding_module
from turmericlug.kernel import kernel as kernel_module
from turmericlug.telemetry import decisions

INTERIM_RESPONSE = b"HTTP/1.1 102 Processing\r\n\r\n"
"""Interim response that tells a peer that its batch of parts is being processed."""
PEER_IDLE_TIMEOUT_S = 60.0
"""Idle timeout of connections between instances; a new connection costs a batch one round trip."""
PEERS_REQUESTS_SHARE = 0.125
"""Share of the memory for other instances' batches."""
OWN_REQUESTS_LIMIT_BYTES = 4 * 1024 * 1024
"""Requests for readiness, addresses, metrics and status are small."""

Kernel = kernel_module.Kernel


@contextlib.asynccontextmanager
async def listen(
    kernel: Kernel,
    name: str,
    http_server: server.Server,
    address: tuple[str, int],
    early: socket.socket | None = None,
) -> abc.AsyncIterator[binding_module.Binding]:
    """
    Listen for the duration of the context, from when the address can be bound.

    A draining instance, which is about to free its ports, binds none any more.

    :param name: name of the listener; the kernel finds the binding as ``NAME listener``
    :param early: socket that already listens; used if it is bound to the address
    """
    if early is not None and early.getsockname() != address:
        decisions.log("instance.listened_elsewhere", address=early.getsockname()[0])
        early.close()
        early = None
    sockets = [early]

    def open_listener() -> abc.Awaitable[accepting.Listener]:
        return server.listen(http_server, *address, sockets.pop() if sockets else None)

    binding = binding_module.Binding(
        name, address, open_listener, kernel.find("counters"), decisions.log
    )
    kernel.provide(f"{name} listener", binding)
    async with binding_module.listening(binding, lambda: not _is_draining(kernel)):
        try:
            yield binding
        finally:
            if binding.is_bound:
                binding.listener.close()
            http_server.close()


@contextlib.asynccontextmanager
async def serve(kernel: Kernel) -> abc.AsyncIterator[None]:
    """Serve readiness, addresses, metrics, status and requests of other instances."""
    stall_monitor = kernel.find("stall monitor")
    settings, view = kernel.find("settings"), kernel.find("view")
    adapter = kernel.find("adapter")
    handlers = [
        ("readiness", adapter.ready_handler(lambda: ready(kernel)), settings.entry.ready_address),
        (
            "directory",
            adapter.resolve_handler(
                directory_module.Directory(
                    view,
                    settings.entry.name,
                    lambda: _is_draining(kernel),
                    counters=kernel.find("counters"),
                    is_hot=lambda data_centre: _is_hot(kernel, data_centre),
                )
            ),
            settings.entry.directory_address,
        ),
        ("metrics", _operators_handler(kernel), settings.entry.metrics_address),
    ]
    async with contextlib.AsyncExitStack() as stack:
        for name, handler, address in handlers:
            http_server = server.Server(
                handler,
                messages.Limits,
                settings.limits.descriptors // 8,
                budget=request_budget.RequestBudget(OWN_REQUESTS_LIMIT_BYTES),
                on_refused=_refusal_counter(kernel, name),
                counters=kernel.find("counters"),
            )
            await stack.enter_async_context(listen(kernel, name, http_server, address))
        peer_server = server.Server(
            _peers_handler(kernel),
            lambda: messages.Limits(idle_timeout_s=PEER_IDLE_TIMEOUT_S),
            settings.limits.descriptors // 8,
            interim=INTERIM_RESPONSE,
            stalled_s=stall_monitor.overdue_s,
            budget=request_budget.of_memory(settings.capacity.memory_mb, PEERS_REQUESTS_SHARE),
            on_refused=lambda reason: kernel.find("counters").add(f"peers.refused.{reason}"),
            counters=kernel.find("counters"),
        )
        kernel.find("memory gauges").add("peers", lambda: peer_server.budget.held_bytes)
        await stack.enter_async_context(
            listen(kernel, "peers", peer_server, settings.entry.peers_address)
        )
        yield


def _refusal_counter(kernel: Kernel, name: str) -> abc.Callable[[str], None]:
    return lambda reason: kernel.find("counters").add(f"listener.refused.{name}")


def _operators_handler(kernel: Kernel) -> messages.Handler:
    counts = kernel.find("request handler").organisation_counts
    quotas = kernel.find("quotas")
    tasks = kernel.find("supervisor").statuses
    gauges = kernel.find("memory gauges")
    serve_metrics = metrics.handler(kernel.find("counters"), counts, tasks)
    serve_inspection = inspection.handler(
        kernel.find("settings").entry.name,
        kernel.find("view"),
        lambda: ready(kernel),
        kernel.find("sender").quarantine,
        counts,
        quotas.status if quotas is not None else tuple,
        tasks,
    )

    async def handle(request: messages.Request) -> messages.Response:
        if request.target.startswith(metrics.PATH):
            gauges.update()
            return await serve_metrics(request)
        return await serve_inspection(request)

    return handle


def _peers_handler(kernel: Kernel) -> messages.Handler:
    taken = batches.Taken()
    kernel.provide("taken batches", taken)
    run_batch = batches.handler(kernel.find("sender"), taken)
    serve_updates = relay.handler(
        kernel.find("journal"),
        kernel.find("view").source_age_s,
        kernel.find("relayed source").peer_liveness,
    )
    exchange_suspects = suspects.handler(
        kernel.find("sender").quarantine, kernel.find("suspect gossip")
    )
    quotas = kernel.find("quotas")
    exchange_quotas = quota_service.handler(quotas) if quotas is not None else None

    async def handle(request: messages.Request) -> messages.Response:
        if request.target.startswith(relay.PATH):
            return await serve_updates(request)
        if request.target == suspects.PATH:
            return await exchange_suspects(request)
        if request.target == quota_peers.PATH:
            return await exchange_quotas(request) if exchange_quotas else messages.Response(404)
        return await run_batch(request)

    return handle


def ready(kernel: Kernel) -> bool:
    """Whether this instance accepts requests."""
    is_listening = kernel.find("callers listener").is_bound
    return kernel.find("view").ready and is_listening and not _is_draining(kernel)


def may_register(kernel: Kernel) -> bool:
    """Whether callers and other instances can use the addresses in this instance's entry."""
    return ready(kernel) and kernel.find("peers listener").is_bound


def _is_hot(kernel: Kernel, data_centre: str) -> bool | None:
    sender = kernel.find("sender")
    now_s = asyncio.get_running_loop().time()
    return sender.handover.peers.is_hot(sender, data_centre, now_s)


def _is_draining(kernel: Kernel) -> bool:
    return kernel.find("caller server").draining
