"""One instance of the query tier: its services, from its start to its drain."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import time
import typing
from collections import abc

import aiohttp

from turmericlug import long_running
from turmericlug.config import settings as settings_module
from turmericlug.entry import memory_gauges
from turmericlug.kernel import binding as binding_module
from turmericlug.kernel import early_signals
from turmericlug.kernel import failures
from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import loop_signals
from turmericlug.kernel import supervisor
from turmericlug.membership import detector as detector_module
from turmericlug.membership import freshness as freshness_module
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.operators import http as operators_http
from turmericlug.owner import owner as owner_module
from turmericlug.query import callers_http
from turmericlug.query import coordinator as coordinator_module
from turmericlug.records import records as records_module
from turmericlug.rules import configuration
from turmericlug.rules import distribution as distribution_module
from turmericlug.rules import repository as repository_module
from turmericlug.storage import eras as eras_module
from turmericlug.storage import instances
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import server as server_module

_STATE_INTERVAL_S = 0.1
_ROUNDS_PER_GAUGES = 20
"""Announcements of the state until the gauges of memory are set again."""
_JOIN_TIMEOUT_S = 2.0
_DRAIN_TIMEOUT_S = 60.0
_ADVERTISED_LISTENERS = ("peers", "callers")

Kernel = kernel_module.Kernel


@contextlib.asynccontextmanager
async def _session(kernel: Kernel) -> abc.AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


@contextlib.asynccontextmanager
async def _store(kernel: Kernel) -> abc.AsyncIterator[store_module.Store]:
    platform = kernel.find("settings").platform
    async with store_module.connected(
        platform.store_url,
        platform.store_timeout_ms,
        kernel.find("counters"),
        kernel.find("eras"),
    ) as store:
        yield store


@contextlib.asynccontextmanager
async def _mesh(kernel: Kernel) -> abc.AsyncIterator[mesh_module.Mesh]:
    settings = kernel.find("settings")
    mesh = mesh_module.Mesh(
        members_module.Members(_own_member(settings)),
        settings.instance.cluster_key,
        kernel.find("counters"),
        settings.membership.silence_ms,
        settings.instance.host,
    )
    monitor = supervisor.Job(long_running.LINKS, mesh.monitor_links)
    async with mesh_module.running(mesh, kernel.find("supervisor").background(monitor)):
        yield mesh


def _own_member(settings: settings_module.Settings) -> members_module.Member:
    instance = settings.instance
    return members_module.Member(
        instance=instance.name,
        state=members_module.ALIVE,
        incarnation=int(time.time() * 1000),
        host=instance.advertised_host or instance.host,
        peers_port=instance.advertised_peers_port or instance.peers_port,
        callers_port=instance.callers_port,
        data_centre=instance.data_centre,
        ready=False,
    )


@contextlib.asynccontextmanager
async def _detector(kernel: Kernel) -> abc.AsyncIterator[detector_module.Detector]:
    settings = kernel.find("settings")
    detector = detector_module.Detector(
        kernel.find("mesh"),
        kernel.find("configuration").freshness,
        kernel.find("counters"),
        settings.membership.probe_interval_ms,
        settings.membership.probe_timeout_ms,
        settings.membership.suspicion_ms,
        kernel.find("eras"),
    )
    platform = settings.platform
    list_poll = functools.partial(
        detector.poll_list,
        kernel.find("session"),
        platform.instances_url,
        platform.instances_poll_ms / 1000,
    )
    async with kernel.find("supervisor").background(
        supervisor.Job(long_running.DETECTOR, detector.run),
        supervisor.Job(long_running.INSTANCE_LIST, list_poll),
    ):
        try:
            yield detector
        finally:
            await detector.close()


@contextlib.asynccontextmanager
async def _distribution(kernel: Kernel) -> abc.AsyncIterator[distribution_module.Distribution]:
    settings = kernel.find("settings")
    detector = kernel.find("detector")
    distribution = distribution_module.Distribution(
        kernel.find("configuration"),
        kernel.find("repository"),
        kernel.find("store"),
        detector,
        settings.membership.freshness_ms,
    )
    detector.on_newer_revisions = distribution.pull_from
    detector.is_store_reader = distribution.is_reader
    distribution.refresh_instance_list = _instance_list_reader(kernel, detector)
    async with kernel.find("supervisor").background(
        supervisor.Job(long_running.RULES, distribution.run),
        supervisor.Job(long_running.RULES_WATCH, distribution.run_watch),
    ):
        try:
            yield distribution
        finally:
            await distribution.close()


def _instance_list_reader(
    kernel: Kernel, detector: detector_module.Detector
) -> abc.Callable[[], abc.Awaitable[None]]:
    """Return a function that reads the instance list, or keeps the last one if that fails."""

    async def read() -> None:
        url = kernel.find("settings").platform.instances_url
        with contextlib.suppress(instances.InstancesError):
            await detector.read_list(kernel.find("session"), url)

    return read


@contextlib.asynccontextmanager
async def _records(kernel: Kernel) -> abc.AsyncIterator[records_module.Records]:
    records = records_module.Records(
        kernel.find("settings"), kernel.find("store"), kernel.find("mesh"), kernel.find("counters")
    )
    kernel.find("eras").on_restore.append(records.reconcile)
    try:
        yield records
    finally:
        await records.close()


@contextlib.asynccontextmanager
async def _owner(kernel: Kernel) -> abc.AsyncIterator[owner_module.Owner]:
    owner = owner_module.Owner(
        kernel.find("settings"),
        kernel.find("configuration"),
        kernel.find("mesh"),
        kernel.find("session"),
        kernel.find("counters"),
    )
    background = kernel.find("supervisor").background
    announce = functools.partial(_announce_state, kernel, owner)
    async with (
        owner_module.running(owner, background(supervisor.Job(long_running.OWNER, owner.run))),
        background(supervisor.Job(long_running.ANNOUNCEMENT, announce)),
    ):
        yield owner


async def _announce_state(kernel: Kernel, owner: owner_module.Owner) -> None:
    """
    Announce load and readiness to peers.

    Ready means that the rules are known to be current and that the advertised ports listen.
    """
    members = kernel.find("mesh").members
    freshness = kernel.find("configuration").freshness
    gauges = kernel.find("memory gauges")
    gauges.add("replies", lambda: owner.replies.held_bytes)
    for count in itertools.count():
        await asyncio.sleep(_STATE_INTERVAL_S)
        if not count % _ROUNDS_PER_GAUGES:
            gauges.update()
        members.set_own_load(owner.load_permille())
        wait_end_s = time.monotonic() + _STATE_INTERVAL_S
        current = await freshness.wait_until_current(wait_end_s) and _listens(kernel)
        if current and not members.own.ready:
            await owner.open_owned(joining=True)
            members.announce(ready=True)
            events.emit("instance.ready")
        elif members.own.ready and not current:
            members.announce(ready=False)
            kernel.find("counters").add("membership.stepped_aside")
            events.emit("instance.stepped_aside", "warning")


def _listens(kernel: Kernel) -> bool:
    bindings = kernel.find("bindings")
    return all(name in bindings and bindings[name].is_bound for name in _ADVERTISED_LISTENERS)


@contextlib.asynccontextmanager
async def _coordinator(kernel: Kernel) -> abc.AsyncIterator[coordinator_module.Coordinator]:
    coordinator = coordinator_module.Coordinator(
        kernel.find("settings"),
        kernel.find("configuration"),
        kernel.find("mesh"),
        kernel.find("owner"),
        kernel.find("records"),
        kernel.find("counters"),
    )
    kernel.find("distribution").wait_for_older_queries = coordinator.wait_for_older_queries
    yield coordinator


@contextlib.asynccontextmanager
async def _operators(kernel: Kernel) -> abc.AsyncIterator[operators_http.OperatorsHttp]:
    settings = kernel.find("settings")
    operators = operators_http.OperatorsHttp(
        settings,
        kernel.find("configuration"),
        kernel.find("repository"),
        kernel.find("distribution"),
        kernel.find("detector"),
        kernel.find("owner"),
        kernel.find("counters"),
        kernel.find("stop").set,
    )
    instance = settings.instance

    def serve_operators() -> contextlib.AbstractAsyncContextManager[typing.Any]:
        return callers_http.serving(operators.application(), instance.host, instance.operators_port)

    async with _listening(kernel, "operators", instance.operators_port, serve_operators):
        yield operators


@contextlib.asynccontextmanager
async def _listening(
    kernel: Kernel,
    name: str,
    port: int,
    serve_port: abc.Callable[[], contextlib.AbstractAsyncContextManager[typing.Any]],
) -> abc.AsyncIterator[None]:
    """
    Serve a port until the end of the block, from when it can be bound.

    :param serve_port: returns a context that listens at the port
    """
    stop, host = kernel.find("stop"), kernel.find("settings").instance.host
    async with contextlib.AsyncExitStack() as stack:
        binding = binding_module.Binding(
            name,
            (host, port),
            lambda: stack.enter_async_context(serve_port()),
            kernel.find("counters"),
            events.emit,
        )
        kernel.find("bindings")[name] = binding
        async with binding_module.listening(binding, lambda: not stop.is_set()):
            yield


@contextlib.asynccontextmanager
async def _peers(kernel: Kernel) -> abc.AsyncIterator[server_module.Server]:
    instance = kernel.find("settings").instance
    held = kernel.find("mesh").held
    gauges = kernel.find("memory gauges")
    gauges.add("peers", lambda: held.received_bytes + held.unsent_bytes())
    server = server_module.Server(
        instance.cluster_key, instance.name, kernel.find("counters"), held
    )
    detector = kernel.find("detector")
    distribution = kernel.find("distribution")
    owner = kernel.find("owner")
    server.handlers = {
        "ping": detector.on_ping,
        "probe": detector.on_probe,
        "documents": distribution.on_documents,
        "spread": distribution.on_spread,
        "parts": owner.on_parts,
        "targetLeaving": owner.on_target_leaving,
        "suspects": owner.on_suspects,
        "claim": kernel.find("records").on_claim,
        "status": kernel.find("operators").on_status,
    }

    def serve_peers() -> contextlib.AbstractAsyncContextManager[typing.Any]:
        return server_module.listening(server, instance.host, instance.peers_port)

    async with _listening(kernel, "peers", instance.peers_port, serve_peers):
        yield server


@contextlib.asynccontextmanager
async def _callers(kernel: Kernel) -> abc.AsyncIterator[callers_http.CallersHttp]:
    settings = kernel.find("settings")
    callers = callers_http.CallersHttp(
        settings,
        kernel.find("configuration"),
        kernel.find("mesh"),
        kernel.find("coordinator"),
        kernel.find("counters"),
    )
    kernel.find("memory gauges").add("requests", lambda: callers.requests.held_bytes)
    instance = settings.instance

    def serve_callers() -> contextlib.AbstractAsyncContextManager[typing.Any]:
        return callers_http.serving(callers.application(), instance.host, instance.callers_port)

    async with _listening(kernel, "callers", instance.callers_port, serve_callers):
        yield callers


_SERVICES: tuple[tuple[str, kernel_module.ServiceFactory], ...] = (
    ("supervisor", long_running.supervisor),
    ("session", _session),
    ("store", _store),
    ("mesh", _mesh),
    ("detector", _detector),
    ("distribution", _distribution),
    ("records", _records),
    ("owner", _owner),
    ("coordinator", _coordinator),
    ("operators", _operators),
    ("peers", _peers),
    ("callers", _callers),
)


async def serve(
    settings: settings_module.Settings, signals: early_signals.Remembered | None = None
) -> None:
    """
    Run one instance until it is asked to stop, then drain it and stop.

    :param signals: signals that have arrived while the program was loaded; a stop among them ends
        it before it serves
    """
    kernel = Kernel()
    counters = counters_module.Counters(
        settings.metrics.statsd_host, settings.metrics.statsd_port, settings.metrics.prefix
    )
    freshness = freshness_module.Freshness(settings.membership.freshness_ms)
    stop = asyncio.Event()
    kernel.provide("settings", settings)
    kernel.provide("counters", counters)
    kernel.provide("stop", stop)
    kernel.provide("eras", eras_module.Eras())
    kernel.provide("bindings", {})
    kernel.provide("memory gauges", memory_gauges.MemoryGauges(counters))
    kernel.provide("configuration", configuration.Configuration(freshness, counters))
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(functools.partial(_report_failure, counters))
    _handle_signals(loop, stop, signals or early_signals.Remembered())
    if stop.is_set():
        events.emit("instance.stopped")
        return
    try:
        for name, factory in _SERVICES:
            await kernel.open(name, factory)
            if name == "store":
                prefix = settings.platform.store_prefix
                repository = repository_module.Repository(kernel.find("store"), prefix)
                repository.documents_in_force = kernel.find("configuration").documents
                kernel.provide("repository", repository)
        await kernel.find("detector").join(_JOIN_TIMEOUT_S)
        events.emit("instance.started", callers_port=settings.instance.callers_port)
        await stop.wait()
        await _drain(kernel)
    finally:
        await kernel.close()
    events.emit("instance.stopped")


def _handle_signals(
    loop: asyncio.AbstractEventLoop, stop: asyncio.Event, signals: early_signals.Remembered
) -> None:
    """Handle signals in the event loop, and those that have arrived before."""

    def ignore_hangup() -> None:
        # There is nothing to reload, and the default action ends the process.
        events.emit("instance.hangup_ignored")

    for number in loop_signals.STOPS:
        loop_signals.install(loop, number, stop.set)
    loop_signals.install(loop, loop_signals.HANGUP, ignore_hangup)
    # Asked only now: the former handlers may have got a signal until this moment.
    for name, arrived_s in signals.arrived_s.items():
        waited_ms = round((time.monotonic() - arrived_s) * 1000)
        events.emit("signal.early", signal=name, waited_ms=waited_ms)
    if signals.stop_requested_s is not None:
        stop.set()


def _report_failure(
    counters: counters_module.Counters,
    loop: asyncio.AbstractEventLoop,
    context: dict[str, typing.Any],
) -> None:
    failure = failures.of_context(context)
    counters.add(f"{failure.event}.{failure.name}")
    events.emit(
        failure.event, "error", name=failure.name, reason=failure.reason, place=failure.place
    )


async def _drain(kernel: Kernel) -> None:
    """
    Drain this instance without interrupting a request.

    It first gives up its ownership and its entry address. Callers that still use the address are
    served through the new owners for its lifetime, and told which address to use instead. Then the
    port is closed, what still comes on open connections is refused, and the requests that run are
    answered.
    """
    settings = kernel.find("settings")
    owner, coordinator = kernel.find("owner"), kernel.find("coordinator")
    events.emit("instance.leaving")
    # An error that ended the drain would end the process, and with it the requests in flight.
    with failures.reported():
        await kernel.find("detector").announce_leaving()
    with failures.reported():
        owner.drain()
    await asyncio.sleep(settings.policy.address_lifetime_ms / 1000)
    with failures.reported():
        await _stop_taking_queries(kernel)
    callers = kernel.find("callers")

    def in_progress() -> dict[str, int]:
        return {
            "attempts": owner.in_flight(),
            "queries": coordinator.running,
            "answers": callers.unanswered,
        }

    deadline_s = time.monotonic() + _DRAIN_TIMEOUT_S
    while any(in_progress().values()) and time.monotonic() < deadline_s:
        await asyncio.sleep(0.02)
    if any(in_progress().values()):
        events.emit("instance.cutting_off", "warning", **in_progress())
    await callers.finish()


async def _stop_taking_queries(kernel: Kernel) -> None:
    """
    Close the callers' port and refuse further queries.

    Callers that keep the address would keep this instance from ending, until it is terminated with
    their requests.
    """
    kernel.find("callers").refuse_queries()
    binding = kernel.find("bindings")["callers"]
    if binding.is_bound:
        for site in list(binding.listener.sites):
            await site.stop()
