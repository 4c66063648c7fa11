"""Runs a scenario against a policy with real processes, and gathers what was measured."""

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
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

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
    :param progress: told what happens
    """
    profile = profiles.PROFILES[scenario.profile]
    with tempfile.TemporaryDirectory() as folder:
        spec = _spec(scenario, profile, repeat)
        if policy == BASELINE:
            spec = attrs.evolve(spec, daemons=0, delay_ms={})
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            entries = await _entries(fleet, scenario, policy, profile)
            if scenario.rules and policy == TURMERICLUG:
                plain = {"operation": "add", "text": scenario.rules}
                await fleet.operate("e1", "POST", "/v1/rules/edit", plain)
            progress(f"{scenario.name}/{policy}: up")
            return await _measure(fleet, scenario, policy, profile, repeat, entries, progress)


def _spec(
    scenario: scenario_module.Scenario, profile: profiles.Profile, repeat: int
) -> fleet_spec.FleetSpec:
    services = tuple(
        attrs.evolve(service, behaviour={**service.behaviour, **scenario.targets})
        for service in profile.services
        if any(_loaded(load, profile, service.name) for load in scenario.loads)
    )
    names = {service.name for service in services}
    centres = profile.data_centres
    delays = {(a, b): profile.delay_ms for a in centres for b in centres if a != b}
    return fleet_spec.FleetSpec(
        services=services,
        groups={name: each for name, each in profile.groups.items() if set(each) <= names},
        daemons=scenario.daemons,
        data_centres=centres,
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


def _loaded(load: scenario_module.Load, profile: profiles.Profile, service: str) -> bool:
    return service in profile.groups.get(load.service, [load.service])


async def _entries(
    fleet: fleet_module.Fleet,
    scenario: scenario_module.Scenario,
    policy: str,
    profile: profiles.Profile,
) -> dict[str, str]:
    """Return the entry instances' addresses; starts them for the baseline."""
    if policy == TURMERICLUG:
        return {
            each.name: f"http://{each.host}:{each.callers_port}" for each in fleet.daemons.values()
        }
    services: dict[str, list[str]] = {}
    for target in fleet.targets.values():
        services.setdefault(target.service, []).append(f"http://127.0.0.1:{target.port}")
    entries = {}
    for number, port in enumerate(fleet_spec.free_ports(scenario.daemons), 1):
        name = f"b{number}"
        plain = {
            "name": name,
            "host": "127.0.0.1",
            "port": port,
            "services": services,
            "groups": fleet.spec.groups,
            "timeout_ms": max(load.deadline_ms for load in scenario.loads) / 2,
            # 25 connections of a replica, divided among the instances that all call it.
            "connections": max(1, 25 // scenario.daemons),
        }
        path = fleet.folder / f"{name}.json"
        path.write_text(json.dumps(plain))
        fleet.launch(name, "standin", "baseline", str(path))
        entries[name] = f"http://127.0.0.1:{port}"
    for address in entries.values():
        await fleet.answering(f"{address}/v1/ready")
    return entries


async def _measure(
    fleet: fleet_module.Fleet,
    scenario: scenario_module.Scenario,
    policy: str,
    profile: profiles.Profile,
    repeat: int,
    entries: dict[str, str],
    progress: typing.Callable[[str], None],
) -> Report:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        generators = [
            _generator(load, scenario, profile, repeat, entries, http, policy)
            for load in scenario.loads
        ]
        sends = asyncio.gather(
            *(each.run(scenario.warm_up_s, scenario.duration_s) for each in generators)
        )
        await asyncio.sleep(scenario.warm_up_s)
        before = await _state(fleet, entries)
        events = asyncio.create_task(_play(fleet, scenario, policy, progress))
        await asyncio.sleep(scenario.duration_s)
        after = await _state(fleet, entries)
        await sends
        await events
        counters, timers = await _counters(fleet) if policy == TURMERICLUG else ({}, {})
    return {
        "scenario": scenario.name,
        "policy": policy,
        "seed": scenario.seed + repeat,
        "duration_s": scenario.duration_s,
        "loads": {
            load.name: {
                **each.metrics.summary(scenario.duration_s),
                "floor_ms": _floor(load, scenario, profile, repeat),
                "rate_per_s": round(_rate(load, profile), 2),
            }
            for load, each in zip(scenario.loads, generators, strict=True)
        },
        "targets": _target_work(before, after, generators),
        "processes": _process_use(before, after, scenario.duration_s),
        "store_calls_per_s": round(
            (after["store_calls"] - before["store_calls"]) / scenario.duration_s, 2
        ),
        "counters": counters,
        "timers_ms": timers,
    }


def _rate(load: scenario_module.Load, profile: profiles.Profile) -> float:
    return load.utilisation * profiles.slots_per_s(profile, load.service)


def _generator(
    load: scenario_module.Load,
    scenario: scenario_module.Scenario,
    profile: profiles.Profile,
    repeat: int,
    entries: dict[str, str],
    http: aiohttp.ClientSession,
    policy: str,
) -> generator.LoadGenerator:
    names = list(entries)
    callers = [
        generator.Caller(
            http,
            entries,
            names[number % len(names)],
            profile.data_centres[number % len(profile.data_centres)],
        )
        for number in range(load.callers)
    ]
    seed = scenario.seed + repeat
    return generator.LoadGenerator(
        load, _rate(load, profile), seed, callers, http, resolves_addresses=policy == TURMERICLUG
    )


def _floor(
    load: scenario_module.Load,
    scenario: scenario_module.Scenario,
    profile: profiles.Profile,
    repeat: int,
) -> dict[str, float]:
    names = profile.groups.get(load.service, [load.service])
    replicas = next(each.replicas for each in profile.services if each.name == names[0])
    times = floor.ServiceTimes(
        scenario.targets.get("service_ms", profiles.MEAN_MS),
        scenario.targets.get("spread", profiles.SPREAD),
        scenario.targets.get("straggler_share", 0.0),
        scenario.targets.get("straggler_factor", 10.0),
    )
    return floor.percentiles_ms(times, len(names), replicas, scenario.seed + repeat)


async def _state(fleet: fleet_module.Fleet, entries: dict[str, str]) -> Report:
    """Read the stand-ins' numbers and the processes' use of the machine."""
    names = [
        name for name, each in fleet.targets.items() if fleet.processes[each.process].poll() is None
    ]
    reports = await asyncio.gather(*(fleet.report(name) for name in names))
    store = await fleet.report("platform")
    return {
        "targets": dict(zip(names, reports, strict=True)),
        "store_calls": sum(store.values()),
        "processes": {name: usage(each.pid) for name, each in fleet.processes.items()},
    }


def usage(pid: int) -> tuple[float, float]:
    """Return a process's processor seconds and resident megabytes, 0 when it is gone."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    except OSError:
        return 0.0, 0.0
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S, pages * 4096 / 1e6


def _target_work(
    before: Report, after: Report, generators: list[generator.LoadGenerator]
) -> Report:
    def grown(key: str) -> float:
        return sum(
            after["targets"][name][key] - before["targets"].get(name, {}).get(key, 0)
            for name in after["targets"]
        )

    shards = sum(each.metrics.shards_answered for each in generators)
    reports = after["targets"].values()
    return {
        "runs": grown("runs"),
        "received": grown("received"),
        "work_ms": round(grown("work_ms"), 1),
        "extra_load": round(grown("runs") / shards - 1, 4) if shards else None,
        "most_connections": max(each["most_connections"] for each in reports),
        "connections_refused": sum(each["connections_refused"] for each in reports),
    }


def _process_use(before: Report, after: Report, duration_s: float) -> Report:
    return {
        name: {
            "cpu_share": round((used[0] - before["processes"][name][0]) / duration_s, 4),
            "memory_mb": round(used[1], 1),
        }
        for name, used in after["processes"].items()
    }


async def _counters(fleet: fleet_module.Fleet) -> tuple[dict[str, int], Report]:
    """Add up the counters of all daemons; timers stay by instance."""
    totals: dict[str, int] = {}
    name = next(each for each in fleet.daemons if fleet.processes[each].poll() is None)
    _, status = await fleet.operate(name, "GET", "/v1/status")
    for instance in status["instances"]:
        for counter, value in instance.get("counters", {}).items():
            totals[counter] = totals.get(counter, 0) + value
    timers = {each["instance"]: each.get("timers_ms", {}) for each in status["instances"]}
    return dict(sorted(totals.items())), timers


async def _play(
    fleet: fleet_module.Fleet,
    scenario: scenario_module.Scenario,
    policy: str,
    progress: typing.Callable[[str], None],
) -> None:
    """Bring about the scenario's events; those of daemons leave the baseline alone."""
    began_at_s = time.monotonic()
    for event in scenario.events:
        await asyncio.sleep(max(0.0, began_at_s + event.at_s - time.monotonic()))
        progress(f"{scenario.name}/{policy}: {event.action} {' '.join(event.arguments)}")
        if event.action == "set":
            await _set(fleet, event.arguments)
        elif event.action == "platform":
            await fleet.control("platform", **_fields(event.arguments))
        elif policy == TURMERICLUG:
            await _DAEMON_ACTIONS[event.action](fleet, *event.arguments)


def _fields(arguments: tuple[str, ...]) -> dict[str, typing.Any]:
    pairs = (argument.split("=", 1) for argument in arguments)
    return {key: scenario_module.parse_value(raw) for key, raw in pairs}


async def _set(fleet: fleet_module.Fleet, arguments: tuple[str, ...]) -> None:
    pattern, *fields = arguments
    for name in fnmatch.filter(fleet.targets, pattern):
        await fleet.control(name, **_fields(tuple(fields)))


async def _freeze(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.signal(name, signal.SIGSTOP)


async def _resume(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.signal(name, signal.SIGCONT)


async def _kill(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.signal(name, signal.SIGKILL)
    await fleet.wait_exit(name)


async def _start(fleet: fleet_module.Fleet, name: str) -> None:
    fleet.start_daemon(name)


async def _roll(fleet: fleet_module.Fleet) -> None:
    """Replace every daemon, one after the other, as a planned stop."""
    for name in list(fleet.daemons):
        fleet.signal(name, signal.SIGTERM)
        await fleet.wait_exit(name)
        fleet.start_daemon(name)
        await fleet.ready(name)


async def _cut(fleet: fleet_module.Fleet, centre: str) -> None:
    """Cut a data centre's daemons off from the others, both ways."""
    inside = [each for each in fleet.daemons.values() if each.data_centre == centre]
    outside = [each for each in fleet.daemons.values() if each.data_centre != centre]
    for side, others in ((inside, outside), (outside, inside)):
        for daemon in side:
            blocked = [other.host for other in others]
            await fleet.control(f"proxy/peers-{daemon.name}", blocked_sources=blocked)


async def _heal(fleet: fleet_module.Fleet) -> None:
    for name in fleet.daemons:
        await fleet.control(f"proxy/peers-{name}", blocked_sources=[])


_DAEMON_ACTIONS: dict[str, typing.Callable[..., typing.Coroutine[typing.Any, typing.Any, None]]] = {
    "freeze": _freeze,
    "resume": _resume,
    "kill": _kill,
    "start": _start,
    "roll": _roll,
    "cut": _cut,
    "heal": _heal,
}
