"""Process of an entry instance: starts its services in order, serves, and drains before exiting."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
import gc
import os
import random
import signal
import socket
import time
import traceback
import typing
from collections import abc

import attrs

from turmericlug.direct import budget
from turmericlug.direct import handover
from turmericlug.direct import header_names as header_names_module
from turmericlug.direct import peers as peers_module
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.entry import admission
from turmericlug.entry import callers as callers_module
from turmericlug.entry import deregistration
from turmericlug.entry import descriptors
from turmericlug.entry import directory as directory_module
from turmericlug.entry import draining
from turmericlug.entry import follower
from turmericlug.entry import journal as journal_module
from turmericlug.entry import listeners
from turmericlug.entry import live_settings
from turmericlug.entry import long_running
from turmericlug.entry import memory_gauges
from turmericlug.entry import own_entry
from turmericlug.entry import own_load
from turmericlug.entry import quota_service
from turmericlug.entry import relay
from turmericlug.entry import relay_codec
from turmericlug.entry import settings as settings_module
from turmericlug.entry import source as source_module
from turmericlug.entry import stalls as stalls_module
from turmericlug.entry import stop_signal
from turmericlug.entry import suspects
from turmericlug.entry import view as view_module
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import request_budget
from turmericlug.http1 import response_budget
from turmericlug.http1 import server
from turmericlug.kernel import early_signals
from turmericlug.kernel import failures
from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import supervisor as supervisor_module
from turmericlug.kernel import tasks
from turmericlug.policy import liveness
from turmericlug.policy import warm_up
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

RESERVED_DESCRIPTORS = 900
"""File descriptors not available to callers' connections: 200 for files, the others for connections
to replicas and the source, and for listeners."""
CALLERS_REQUESTS_SHARE = 0.25
"""Share of the memory for callers' requests. A request is held once more while it is sent to a
replica."""
ANSWERS_SHARE = 0.125
"""Share of the memory for the answers of replicas and of other instances."""
MAX_PEER_CONNECTIONS = 16
"""Maximum number of batches in flight to one instance; a query has one for each region."""
HOUSEKEEPING_INTERVAL_S = 0.1
TRIM_INTERVAL_S = 1.0
WARM_INTERVAL_S = 0.3
"""With eight new connections per round, 40 replicas are connected 1.5 s after the start."""
TOTALS_INTERVAL_S = 10.0
"""Each log line of totals has about 1 kB, a thousandth of what may be logged in a busy second."""
EXIT_FAILED = 1
"""Status of a process that an unexpected error ends."""
_MAX_TRACE_CHARACTERS = 4000
_GC_THRESHOLDS = (20_000, 20, 50)

Kernel = kernel_module.Kernel
Job = supervisor_module.Job


@attrs.frozen
class Adapter:
    """The parts of an entry instance that depend on the platform it is deployed on."""

    names: header_names_module.HeaderNames
    source: abc.Callable[[settings_module.Source, counters_module.Counters], source_module.Source]
    resolve_handler: abc.Callable[[directory_module.Directory], messages.Handler]
    decode_change: relay_codec.DecodeChange
    ready_handler: abc.Callable[[abc.Callable[[], bool]], messages.Handler]


def run(
    live: live_settings.LiveSettings,
    adapter: Adapter,
    early_listener: socket.socket | None,
    signals: early_signals.Remembered,
) -> None:
    """
    Run one entry instance until it receives SIGTERM or SIGINT, then end the process.

    :param early_listener: socket that already listens for callers
    :param signals: signals that have arrived while the program was loaded
    """
    decisions.setup(live.initial.entry.name)
    # A full garbage collection over all loaded modules blocks the event loop for tens of
    # milliseconds, so their objects are excluded and collections made rare.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    status = 0
    try:
        asyncio.run(_serve(live, adapter, early_listener, signals))
    except (Exception, asyncio.CancelledError) as error:
        status = EXIT_FAILED
        decisions.log(
            "instance.exiting_with",
            status=status,
            reason=f"{type(error).__name__}: {error}"[:500],
            trace=traceback.format_exc()[-_MAX_TRACE_CHARACTERS:],
        )
    decisions.flush()
    # Nothing is left to do, and releasing all objects took an overloaded instance half a second.
    os._exit(status)


async def _serve(
    live: live_settings.LiveSettings,
    adapter: Adapter,
    early_listener: socket.socket | None,
    signals: early_signals.Remembered,
) -> None:
    loop = asyncio.get_running_loop()
    stop_requested = stop_signal.expect(loop, live, lambda: signals.stop_requested_s)
    loop.add_signal_handler(signal.SIGHUP, live.reload)
    for name, arrived_s in signals.arrived_s.items():
        waited_ms = round((time.monotonic() - arrived_s) * 1000)
        decisions.log("signal.early", signal=name, waited_ms=waited_ms)
    if early_signals.HANGUP in signals.arrived_s:
        live.reload()
    kernel = kernel_module.Kernel()
    kernel.provide("settings", descriptors.within_limit(live.initial))
    kernel.provide("live settings", live)
    kernel.provide("adapter", adapter)
    kernel.provide("early listener", early_listener)
    counters = counters_module.Counters()
    loop.set_exception_handler(functools.partial(_report_failure, counters))
    kernel.provide("counters", counters)
    kernel.provide("memory gauges", memory_gauges.MemoryGauges(counters))
    decisions.log("instance.starting")
    try:
        for name, factory in _SERVICES:
            await kernel.open(name, factory)
        decisions.log("instance.started")
        await draining.drain(kernel, await stop_requested)
    finally:
        await kernel.close()
    decisions.log("instance.stopped")


def _report_failure(
    counters: counters_module.Counters,
    loop: asyncio.AbstractEventLoop,
    context: dict[str, typing.Any],
) -> None:
    failure = failures.of_context(context)
    counters.add(f"{failure.event}.{failure.name}")
    decisions.log(failure.event, name=failure.name, reason=failure.reason, place=failure.place)


@contextlib.asynccontextmanager
async def _source(kernel: Kernel) -> abc.AsyncIterator[source_module.Source]:
    settings, counters = kernel.find("settings"), kernel.find("counters")
    source = kernel.find("adapter").source(settings.source, counters)
    yield source
    source.close()


@contextlib.asynccontextmanager
async def _view(kernel: Kernel) -> abc.AsyncIterator[view_module.View]:
    loop = asyncio.get_running_loop()
    settings, counters = kernel.find("settings"), kernel.find("counters")

    waiting = pool_module.Waiting()
    kernel.provide("waiting parts", waiting)
    answers_budget = response_budget.of_memory(settings.capacity.memory_mb, ANSWERS_SHARE)
    kernel.provide("answers budget", answers_budget)
    keep_alive: dict[str, pool_module.KeepAliveTimeout] = collections.defaultdict(
        pool_module.KeepAliveTimeout
    )

    def connection_limit(entry: routes.ReplicaEntry) -> int:
        configuration = view.configuration
        service = configuration.services.get(entry.service) if configuration else None
        max_connections = service.max_connections if service else entry.slots
        senders = min(view.instance_count(), placement.MAX_DIRECT_SENDERS)
        return pool_module.connection_limit(max_connections, senders)

    def on_unexpected_bytes(entry: routes.ReplicaEntry) -> None:
        counters.add("direct.unasked_bytes")
        decisions.log("send.unasked_bytes", replica=entry.instance, service=entry.service)

    def on_wait_for_memory(entry: routes.ReplicaEntry, size_bytes: int) -> None:
        counters.add("direct.waited_for_memory")
        decisions.log(
            "send.waits_for_memory",
            replica=entry.instance,
            service=entry.service,
            size_bytes=size_bytes,
            held_bytes=answers_budget.held_bytes,
        )

    def make_pool(entry: routes.ReplicaEntry) -> pool_module.Pool:
        connect = functools.partial(
            client.connect,
            entry.host,
            entry.port,
            on_unexpected_bytes=functools.partial(on_unexpected_bytes, entry),
            source=answers_budget.source(
                entry.service, functools.partial(on_wait_for_memory, entry)
            ),
        )
        return pool_module.Pool(
            connect,
            functools.partial(connection_limit, entry),
            loop.time,
            keep_alive=keep_alive[entry.service],
            all_waiting=waiting,
        )

    def make_peer_pool(entry: routes.ReplicaEntry) -> pool_module.Pool:
        connect = functools.partial(
            client.connect,
            entry.host,
            entry.port,
            source=answers_budget.source(f"instances/{entry.service}"),
        )
        return pool_module.Pool(
            connect,
            lambda: MAX_PEER_CONNECTIONS,
            loop.time,
            spare_idle_timeout_s=listeners.PEER_IDLE_TIMEOUT_S,
        )

    live = kernel.find("live settings")
    allowance = _allowance(live.policy)
    place = own_entry.place(settings)
    replicas = replicas_module.Replicas(make_pool, place, allowance)
    peers = replicas_module.Replicas(make_peer_pool, place, allowance)
    view = view_module.View(settings.entry.name, replicas, peers, loop.time)
    view.capacities.set_own(own_entry.capacity(settings))
    gauges = kernel.find("memory gauges")
    gauges.add("answers", lambda: answers_budget.held_bytes)
    async with kernel.find("supervisor").background(
        Job(long_running.HOUSEKEEPING, lambda: _run_housekeeping(view)),
        Job(long_running.TOTALS, lambda: _log_totals(view, counters, gauges)),
        Job(long_running.SETTINGS_POLL, live.watch),
    ):
        yield view


def _allowance(policy: settings_module.Policy) -> budget.Allowance:
    return budget.Allowance(policy.extra_ratio, policy.extra_slack, policy.extra_window_s)


async def _log_totals(
    view: view_module.View,
    counters: counters_module.Counters,
    gauges: memory_gauges.MemoryGauges,
) -> None:
    """Log the counters regularly, since the metrics of a terminated instance can't be read."""
    while True:
        await asyncio.sleep(TOTALS_INTERVAL_S)
        gauges.update()
        decisions.log("instance.totals", connections=view.replicas.connections(), **counters.totals)


async def _run_housekeeping(view: view_module.View) -> None:
    round_count = 0
    while True:
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        view.expire_held()
        round_count += 1
        if round_count % int(TRIM_INTERVAL_S / HOUSEKEEPING_INTERVAL_S) == 0:
            for replica in view.replicas.all():
                replica.pool.trim()


@contextlib.asynccontextmanager
async def _follow_source(kernel: Kernel) -> abc.AsyncIterator[tasks.Tasks]:
    """Follow the source's changes and deregister instances that have become silent."""
    view, source, counters = (kernel.find(name) for name in ("view", "source", "counters"))
    relayed_source = relay.RelayedSource(
        source,
        kernel.find("adapter").decode_change,
        own_entry.place(kernel.find("settings")),
        view.peers,
        counters,
        liveness.PeerLiveness(),
        weights_of=view.capacities.weights,
    )
    kernel.provide("relayed source", relayed_source)
    journal = journal_module.Journal()
    kernel.provide("journal", journal)
    rng = random.Random()
    removed_entries: deregistration.RemovedEntries = collections.OrderedDict()
    async with kernel.find("supervisor").background(
        Job(
            long_running.FOLLOWER,
            lambda: follower.follow(source, relayed_source.changes, view, journal, counters, rng),
        ),
        Job(
            long_running.DEREGISTRATION,
            lambda: deregistration.deregister_silent(
                source, view, relayed_source, counters, removed_entries
            ),
        ),
    ) as running:
        yield running


@contextlib.asynccontextmanager
async def _serve_callers(kernel: Kernel) -> abc.AsyncIterator[server.Server]:
    settings, view = kernel.find("settings"), kernel.find("view")
    send_tasks = tasks.Tasks()
    stall_monitor = stalls_module.StallMonitor()
    kernel.provide("stall monitor", stall_monitor)
    peers = peers_module.Peers(view.peers, own_entry.place(settings), _weighting(view))
    sender = sender_module.Sender(
        view.replicas,
        kernel.find("adapter").names,
        kernel.find("counters"),
        send_tasks,
        view.instance_count,
        handover.Handover(peers),
        is_shard=lambda service: (
            view.configuration is not None and service in view.configuration.shards
        ),
        loop_lag_ms=stall_monitor.lag_ms,
    )

    def cold_share(entry: routes.ReplicaEntry) -> warm_up.Share:
        configuration = view.configuration
        service = configuration.services.get(entry.service) if configuration else None
        if service is None or not service.cold_rate_per_s:
            return warm_up.UNLIMITED
        return peers.cold_share(sender, entry, service.cold_rate_per_s)

    sender.own_load = own_load.reporter(sender, kernel.find("waiting parts"))
    view.replicas.cold_limit = cold_share
    live = kernel.find("live settings")

    def on_policy(policy: settings_module.Policy) -> None:
        view.replicas.set_allowance(_allowance(policy))
        sender.quarantine.enabled = bool(policy.quarantine)

    live.on_policy = on_policy
    on_policy(live.policy)
    view.on_instances_changed = peers.clear_owner_cache
    quotas = kernel.find("quotas")
    quota_service.follow_instances(view, quotas)
    view.replicas.on_lost = sender.quarantine.on_replica_lost
    kernel.provide("sender", sender)
    gossip = suspects.SuspectGossip(
        sender.quarantine,
        view.peers,
        kernel.find("counters"),
        settings.entry.data_centre,
        sender.rng,
    )
    kernel.provide("suspect gossip", gossip)
    handler = callers_module.RequestHandler(
        view,
        sender,
        view.source_age_s,
        quotas,
        admission.Admission(
            sender, lambda: admission.is_active(view, bool(live.policy.overload_control))
        ),
    )
    view.on_configuration = handler.on_configured
    kernel.provide("request handler", handler)
    max_connections = settings.limits.descriptors - RESERVED_DESCRIPTORS
    caller_server = server.Server(
        handler.handle,
        lambda: _limits(view),
        max(max_connections, 64),
        budget=request_budget.of_memory(settings.capacity.memory_mb, CALLERS_REQUESTS_SHARE),
        on_refused=lambda reason: kernel.find("counters").add(f"entry.refused.{reason}"),
        counters=kernel.find("counters"),
        is_memory_short=lambda: kernel.find("answers budget").is_short,
    )
    kernel.provide("caller server", caller_server)
    kernel.find("memory gauges").add("callers", lambda: caller_server.budget.held_bytes)
    async with (
        listeners.listen(
            kernel,
            "callers",
            caller_server,
            settings.entry.callers_address,
            kernel.find("early listener"),
        ),
        kernel.find("supervisor").background(
            Job(long_running.WARM_UP, lambda: _warm_connections(sender)),
            Job(long_running.SUSPECTS_BROADCAST, gossip.run_broadcast),
            Job(long_running.SUSPECTS_EXCHANGE, gossip.run_sync),
            Job(long_running.STALL_MONITOR, stall_monitor.watch),
        ),
    ):
        yield caller_server
    await send_tasks.close()


async def _warm_connections(sender: sender_module.Sender) -> None:
    loop = asyncio.get_running_loop()
    peers = sender.handover.peers
    while True:
        all_direct = placement.all_send_directly(sender.instance_count())
        await peers.warm(shards_have_owners=not all_direct)
        await sender.replicas.warm(
            loop.time(), lambda service: peers.sends_directly(sender, service), far=all_direct
        )
        await asyncio.sleep(WARM_INTERVAL_S)


def _weighting(view: view_module.View) -> peers_module.Weighting:
    known = view.capacities
    return peers_module.Weighting(
        known.weights, known.of, known.own_share, lambda: known.are_uneven
    )


def _limits(view: view_module.View) -> messages.Limits:
    return view.configuration.limits if view.configuration else messages.Limits()


@contextlib.asynccontextmanager
async def _stay_registered(kernel: Kernel) -> abc.AsyncIterator[tasks.Tasks]:
    source, registration = kernel.find("source"), follower.Registration()
    rng = random.Random()

    def work() -> tasks.AnyCoroutine:
        return follower.stay_registered(
            source,
            kernel.find("view"),
            own_entry.make(kernel.find("settings")),
            lambda: listeners.may_register(kernel),
            kernel.find("relayed source").serves_peers,
            kernel.find("relayed source").source_asked_s,
            rng,
            registration,
        )

    async with kernel.find("supervisor").background(
        Job(
            long_running.REGISTRATION,
            work,
            on_close=lambda: follower.end_registration(source, registration),
        )
    ) as running:
        yield running


_SERVICES: tuple[tuple[str, kernel_module.ServiceFactory], ...] = (
    ("supervisor", long_running.supervisor),
    ("source", _source),
    ("view", _view),
    ("source tasks", _follow_source),
    ("quotas", quota_service.run),
    ("caller server", _serve_callers),
    ("listeners", listeners.serve),
    ("registration tasks", _stay_registered),
)
