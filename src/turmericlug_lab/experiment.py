"""Runs a scenario with turmericlug or the baseline in real processes, and reports the metrics."""

from __future__ import annotations

import asyncio
import fnmatch
import json
import os
import pathlib
import signal
import tempfile
import time
import typing

import aiohttp
import attrs

from turmericlug_lab import fleet as fleet_module
from turmericlug_lab import fleet_spec
from turmericlug_lab import floor
from turmericlug_lab import generator
from turmericlug_lab import profiles
from turmericlug_lab import scenario as scenario_module

TURMERICLUG, BASELINE = "turmericlug", "baseline"
POLICIES = (TURMERICLUG, BASELINE)
_TARGET_PROCESSES = 3
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

Report = dict[str, typing.Any]


async def run(
    scenario: scenario_module.Scenario,
    policy: str,
    repeat: int,
    progress: typing.Callable[[str], None],
) -> Report:
    """
    Run one scenario once.

    :param policy: ``turmericlug`` or ``baseline``
    :param repeat: added to the scenario's seed
    :param progress: called with a line for each step
    """
    profile = profiles.PROFILES[scenario.profile]
    with tempfile.TemporaryDirectory() as folder:
        spec = _fleet_spec(scenario, profile, repeat)
        if policy == BASELINE:
            spec = attrs.evolve(spec, daemons=0, delay_ms={})
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            entry_addresses = await _entry_addresses(fleet, scenario, policy, profile)
            if scenario.rules and policy == TURMERICLUG:
                edit = {"operation": "add", "text": scenario.rules}
                await fleet.call_operators_api("e1", "POST", "/v1/rules/edit", edit)
            progress(f"{scenario.name}/{policy}: fleet is ready")
            return await _measure(
                fleet, scenario, policy, profile, repeat, entry_addresses, progress
            )


def _fleet_spec(
    scenario: scenario_module.Scenario, profile: profiles.Profile, repeat: int
) -> fleet_spec.FleetSpec:
    services = tuple(
        attrs.evolve(service, behaviour={**service.behaviour, **scenario.targets})
        for service in profile.services
        if any(_has_load(load, profile, service.name) for load in scenario.loads)
    )
    service_names = {service.name for service in services}
    data_centres = profile.data_centres
    delays = {(a, b): profile.delay_ms for a in data_centres for b in data_centres if a != b}
    return fleet_spec.FleetSpec(
        services=services,
        groups={
            name: members
            for name, members in profile.groups.items()
            if set(members) <= service_names
        },
        daemons=scenario.daemons,
        data_centres=data_centres,
        delay_ms=delays if scenario.delayed else {},
        target_processes=_TARGET_PROCESSES,
        journal=False,
        seed=scenario.seed + repeat,
        settings={
            "policy": {"address_lifetime_ms": "2000"},
            "platform": {"instances_poll_ms": "1000"},
            **scenario.settings,
        },
    )


def _has_load(load: scenario_module.Load, profile: profiles.Profile, service: str) -> bool:
    return service in profile.groups.get(load.service, [load.service])


async def _entry_addresses(
    fleet: fleet_module.Fleet,
    scenario: scenario_module.Scenario,
    policy: str,
    profile: profiles.Profile,
) -> dict[str, str]:
    """Return the addresses of the entry instances; starts them first for the baseline."""
    if policy == TURMERICLUG:
        return {
            daemon.name: f"http://{daemon.host}:{daemon.callers_port}"
            for daemon in fleet.daemons.values()
        }
    services: dict[str, list[str]] = {}
    for target in fleet.targets.values():
        services.setdefault(target.service, []).append(f"http://127.0.0.1:{target.port}")
    addresses = {}
    for number, port in enumerate(fleet_spec.reserve_ports(scenario.daemons), 1):
        name = f"b{number}"
        config = {
            "name": name,
            "host": "127.0.0.1",
            "port": port,
            "services": services,
            "groups": fleet.spec.groups,
            "timeout_ms": max(load.deadline_ms for load in scenario.loads) / 2,
            # The instances share the 25 connections of each replica, as all of them call it.
            "connections": max(1, 25 // scenario.daemons),
        }
        path = fleet.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        fleet.launch(name, "standin", "baseline", str(path))
        addresses[name] = f"http://127.0.0.1:{port}"
    for address in addresses.values():
        await fleet.wait_responding(f"{address}/v1/ready")
    return addresses


async def _measure(
    fleet: fleet_module.Fleet,
    scenario: scenario_module.Scenario,
    policy: str,
    profile: profiles.Profile,
    repeat: int,
    entry_addresses: dict[str, str],
    progress: typing.Callable[[str], None],
) -> Report:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        generators = [
            _load_generator(load, scenario, profile, repeat, entry_addresses, session, policy)
            for load in scenario.loads
        ]
        load_runs = asyncio.gather(
            *(
                load_generator.run(scenario.warm_up_s, scenario.duration_s)
                for load_generator in generators
            )
        )
        await asyncio.sleep(scenario.warm_up_s)
        before = await _read_usage(fleet, entry_addresses)
        events = asyncio.create_task(_run_events(fleet, scenario, policy, progress))
        await asyncio.sleep(scenario.duration_s)
        after = await _read_usage(fleet, entry_addresses)
        await load_runs
        await events
        counters, timers = await _daemon_metrics(fleet) if policy == TURMERICLUG else ({}, {})
    return {
        "scenario": scenario.name,
        "policy": policy,
        "seed": scenario.seed + repeat,
        "duration_s": scenario.duration_s,
        "loads": {
            load.name: {
                **load_generator.metrics.summary(scenario.duration_s),
                "floor_ms": _latency_floor_ms(load, scenario, profile, repeat),
                "rate_per_s": round(_arrival_rate_per_s(load, profile), 2),
            }
            for load, load_generator in zip(scenario.loads, generators, strict=True)
        },
        "targets": _target_totals(before, after, generators),
        "processes": _process_usage(before, after, scenario.duration_s),
        "store_calls_per_s": round(
            (after["store_calls"] - before["store_calls"]) / scenario.duration_s, 2
        ),
        "counters": counters,
        "timers_ms": timers,
    }


def _arrival_rate_per_s(load: scenario_module.Load, profile: profiles.Profile) -> float:
    return load.utilisation * profiles.saturation_rate_per_s(profile, load.service)


def _load_generator(
    load: scenario_module.Load,
    scenario: scenario_module.Scenario,
    profile: profiles.Profile,
    repeat: int,
    entry_addresses: dict[str, str],
    session: aiohttp.ClientSession,
    policy: str,
) -> generator.LoadGenerator:
    entries = list(entry_addresses)
    callers = [
        generator.Caller(
            session,
            entry_addresses,
            entries[number % len(entries)],
            profile.data_centres[number % len(profile.data_centres)],
        )
        for number in range(load.callers)
    ]
    seed = scenario.seed + repeat
    return generator.LoadGenerator(
        load,
        _arrival_rate_per_s(load, profile),
        seed,
        callers,
        session,
        resolves_addresses=policy == TURMERICLUG,
    )


def _latency_floor_ms(
    load: scenario_module.Load,
    scenario: scenario_module.Scenario,
    profile: profiles.Profile,
    repeat: int,
) -> dict[str, float]:
    shards = profile.groups.get(load.service, [load.service])
    replicas = next(service.replicas for service in profile.services if service.name == shards[0])
    service_times = floor.ServiceTimes(
        scenario.targets.get("service_ms", profiles.MEDIAN_SERVICE_MS),
        scenario.targets.get("spread", profiles.SERVICE_TIME_SIGMA),
        scenario.targets.get("straggler_share", 0.0),
        scenario.targets.get("straggler_factor", 10.0),
    )
    return floor.percentiles_ms(service_times, len(shards), replicas, scenario.seed + repeat)


async def _read_usage(fleet: fleet_module.Fleet, entry_addresses: dict[str, str]) -> Report:
    """Read the counters of the stand-ins, and the processor and memory usage of each process."""
    running_targets = [
        name
        for name, target in fleet.targets.items()
        if fleet.processes[target.process].poll() is None
    ]
    target_reports = await asyncio.gather(*(fleet.stats(name) for name in running_targets))
    store_calls_by_kind = await fleet.stats("platform")
    return {
        "targets": dict(zip(running_targets, target_reports, strict=True)),
        "store_calls": sum(store_calls_by_kind.values()),
        "processes": {name: usage(process.pid) for name, process in fleet.processes.items()},
    }


def usage(pid: int) -> tuple[float, float]:
    """Return the processor seconds and resident megabytes of a process, zeros if it has ended."""
    try:
        stat_fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0.0, 0.0
    return (int(stat_fields[11]) + int(stat_fields[12])) / _CLOCK_TICKS_PER_S, pages * 4096 / 1e6


def _target_totals(
    before: Report, after: Report, generators: list[generator.LoadGenerator]
) -> Report:
    def increase(counter: str) -> float:
        return sum(
            after["targets"][target][counter] - before["targets"].get(target, {}).get(counter, 0)
            for target in after["targets"]
        )

    shards_answered = sum(load_generator.metrics.shards_answered for load_generator in generators)
    target_reports = after["targets"].values()
    return {
        "runs": increase("runs"),
        "received": increase("received"),
        "work_ms": round(increase("work_ms"), 1),
        "extra_load": round(increase("runs") / shards_answered - 1, 4) if shards_answered else None,
        "most_connections": max(report["most_connections"] for report in target_reports),
        "connections_refused": sum(report["connections_refused"] for report in target_reports),
    }


def _process_usage(before: Report, after: Report, duration_s: float) -> Report:
    return {
        name: {
            "cpu_share": round((usage_after[0] - before["processes"][name][0]) / duration_s, 4),
            "memory_mb": round(usage_after[1], 1),
        }
        for name, usage_after in after["processes"].items()
    }


async def _daemon_metrics(fleet: fleet_module.Fleet) -> tuple[dict[str, int], Report]:
    """Return the counters summed over all daemons, and the timers by instance."""
    totals: dict[str, int] = {}
    running_daemon = next(
        daemon for daemon in fleet.daemons if fleet.processes[daemon].poll() is None
    )
    _, status = await fleet.call_operators_api(running_daemon, "GET", "/v1/status")
    for instance in status["instances"]:
        for counter, value in instance.get("counters", {}).items():
            totals[counter] = totals.get(counter, 0) + value
    timers = {
        instance["instance"]: instance.get("timers_ms", {}) for instance in status["instances"]
    }
    return dict(sorted(totals.items())), timers


async def _run_events(
    fleet: fleet_module.Fleet,
    scenario: scenario_module.Scenario,
    policy: str,
    progress: typing.Callable[[str], None],
) -> None:
    """Run the scenario's events at their times; the baseline has no daemons, so skips theirs."""
    started_at_s = time.monotonic()
    for event in scenario.events:
        await asyncio.sleep(max(0.0, started_at_s + event.at_s - time.monotonic()))
        progress(f"{scenario.name}/{policy}: {event.action} {' '.join(event.arguments)}")
        if event.action == "set":
            await _set_behaviour(fleet, event.arguments)
        elif event.action == "platform":
            await fleet.control("platform", **_parse_fields(event.arguments))
        elif policy == TURMERICLUG:
            await _DAEMON_EVENT_HANDLERS[event.action](fleet, *event.arguments)


def _parse_fields(arguments: tuple[str, ...]) -> dict[str, typing.Any]:
    key_value_pairs = (argument.split("=", 1) for argument in arguments)
    return {key: scenario_module.parse_value(raw) for key, raw in key_value_pairs}


async def _set_behaviour(fleet: fleet_module.Fleet, arguments: tuple[str, ...]) -> None:
    pattern, *fields = arguments
    for target in fnmatch.filter(fleet.targets, pattern):
        await fleet.control(target, **_parse_fields(tuple(fields)))


async def _freeze_daemon(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.signal(name, signal.SIGSTOP)


async def _resume_daemon(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.signal(name, signal.SIGCONT)


async def _kill_daemon(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.signal(name, signal.SIGKILL)
    await fleet.wait_exit(name)


async def _start_daemon(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.start_daemon(name)


async def _restart_all(fleet: fleet_module.Fleet) -> None:
    """Restart the daemons one after the other, each with a planned stop."""
    for name in list(fleet.daemons):
        fleet.signal(name, signal.SIGTERM)
        await fleet.wait_exit(name)
        fleet.start_daemon(name)
        await fleet.wait_ready(name)


async def _isolate_data_centre(fleet: fleet_module.Fleet, data_centre: str) -> None:
    """Block traffic between a data centre's daemons and all others, in both directions."""
    daemons_inside = [
        daemon for daemon in fleet.daemons.values() if daemon.data_centre == data_centre
    ]
    daemons_outside = [
        daemon for daemon in fleet.daemons.values() if daemon.data_centre != data_centre
    ]
    for side, others in ((daemons_inside, daemons_outside), (daemons_outside, daemons_inside)):
        for daemon in side:
            blocked_hosts = [other.host for other in others]
            await fleet.control(f"proxy/peers-{daemon.name}", blocked_sources=blocked_hosts)


async def _heal_network(fleet: fleet_module.Fleet) -> None:
    for name in fleet.daemons:
        await fleet.control(f"proxy/peers-{name}", blocked_sources=[])


_DAEMON_EVENT_HANDLERS: dict[
    str, typing.Callable[..., typing.Coroutine[typing.Any, typing.Any, None]]
] = {
    "freeze": _freeze_daemon,
    "resume": _resume_daemon,
    "kill": _kill_daemon,
    "start": _start_daemon,
    "roll": _restart_all,
    "cut": _isolate_data_centre,
    "heal": _heal_network,
}
