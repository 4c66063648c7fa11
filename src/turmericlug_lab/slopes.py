"""Measures how each role's cost grows, with real processes: the inputs of docs/CAPACITY.md."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import statistics
import tempfile
import time
import tracemalloc
import typing

import attrs

from turmericlug.catalog import catalog as catalog_module
from turmericlug.membership import members as members_module
from turmericlug.records import ledger
from turmericlug_lab import experiment
from turmericlug_lab import fleet as fleet_module
from turmericlug_lab import fleet_spec

Numbers = dict[str, typing.Any]
Progress = typing.Callable[[str], None]

FLEET_SIZES = (3, 6, 9, 18, 36, 60)
FAN_OUTS = (20, 100, 500)
CONCURRENT = (1, 10, 100)
_MEMBERS = 4700
_SERVICES = 13000
_RECORDS = 10000
_IDLE_S = 8.0
_SETTLE_S = 3.0
_QUIET = {"platform": {"instances_poll_ms": "1000"}}


async def measure(progress: Progress) -> Numbers:
    """Measure everything; takes some minutes."""
    return {
        "control": [await _control(size, progress) for size in FLEET_SIZES],
        "services": [await _services(count, progress) for count in (0, 60, 240)],
        "query": [await _query(fan_out, progress) for fan_out in FAN_OUTS],
        "records": await _records(progress),
        "addresses": await _addresses(progress),
        "state": state(),
    }


def state() -> Numbers:
    """Measure the memory of what grows with the fleet, at its target size, in this process."""
    own = members_module.Member("e", "alive", 1, "10.0.0.1", 1, 2, "dc")
    tracemalloc.start()
    view = members_module.Members(own)
    for number in range(_MEMBERS):
        view.merge(attrs.evolve(own, instance=f"instance-{number}", host=f"10.0.{number}.1"))
    members_bytes, _ = tracemalloc.get_traced_memory()
    text = json.dumps(
        {
            "services": {
                f"service-{number}": {"slots": 2, "connections": 25, "data_centre": "montreal"}
                for number in range(_SERVICES)
            }
        }
    )
    tracemalloc.reset_peak()
    before, _ = tracemalloc.get_traced_memory()
    catalog = catalog_module.parse(text)
    after, _ = tracemalloc.get_traced_memory()
    entries = {
        f"{1796234104 + number}-voucher-{number}": ledger.Entry(
            f"e1-0011223344-{number}", "0" * 32, 1796234104, "x" * 120
        )
        for number in range(_RECORDS)
    }
    last, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "bytes_per_member": round(members_bytes / _MEMBERS),
        "bytes_per_service": round((after - before) / len(catalog.services)),
        "catalogue_text_bytes_per_service": round(len(text) / _SERVICES),
        "bytes_per_record": round((last - after) / len(entries)),
    }


def _service(name: str, service_ms: float = 1.0) -> fleet_spec.ServiceSpec:
    behaviour = {"service_ms": service_ms, "spread": 0.0}
    return fleet_spec.ServiceSpec(name, 1, 8, 64, 0.0, behaviour)


def _usage(fleet: fleet_module.Fleet) -> dict[str, tuple[float, float]]:
    return {name: experiment.usage(fleet.processes[name].pid) for name in fleet.daemons}


async def _counters(fleet: fleet_module.Fleet) -> dict[str, dict[str, int]]:
    first = next(iter(fleet.daemons))
    _, status = await fleet.call_operators_api(first, "GET", "/v1/status")
    return {each["instance"]: each.get("counters", {}) for each in status["instances"]}


async def _idle(fleet: fleet_module.Fleet) -> Numbers:
    """Measure what daemons without any query spend on control."""
    await asyncio.sleep(_SETTLE_S)
    counters, used = await _counters(fleet), _usage(fleet)
    store = sum((await fleet.stats("platform")).values())
    began_at_s = time.monotonic()
    await asyncio.sleep(_IDLE_S)
    after_used, after_store = _usage(fleet), sum((await fleet.stats("platform")).values())
    duration_s = time.monotonic() - began_at_s
    after = await _counters(fleet)

    def per_s(name: str) -> float:
        grown = [after[each].get(name, 0) - counters[each].get(name, 0) for each in fleet.daemons]
        return round(statistics.mean(grown) / duration_s, 2)

    cpu = [(after_used[each][0] - used[each][0]) / duration_s for each in fleet.daemons]
    return {
        "cpu_share": round(statistics.mean(cpu), 5),
        "cpu_share_most": round(max(cpu), 5),
        "memory_mb": round(statistics.mean(each[1] for each in after_used.values()), 1),
        "frames_per_s": per_s("peer.frames_sent"),
        "bytes_per_s": per_s("peer.bytes_sent"),
        "store_calls_per_s": round((after_store - store) / duration_s, 2),
    }


async def _control(size: int, progress: Progress) -> Numbers:
    """Measure the control's cost, the time to detect a death, and to spread an edit."""
    progress(f"control with {size} daemons")
    spec = fleet_spec.FleetSpec((_service("one"),), {}, daemons=size, settings=_QUIET)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            numbers = {"daemons": size, **await _idle(fleet)}
            numbers["accept_ms"] = [round(await _edit(fleet, n), 1) for n in range(5)]
            numbers["accept_100_rules_ms"] = await _large_edit(fleet)
            numbers["detect_ms"] = await _detect(fleet)
            return numbers


async def _edit(fleet: fleet_module.Fleet, number: int, text: str = "") -> float:
    text = text or f"[rule r{number}]\nwhen_caller = c{number}\nthen_hedge = no\n"
    began_at_s = time.monotonic()
    status, answer = await fleet.call_operators_api(
        "e1", "POST", "/v1/rules/edit", {"operation": "add", "text": text}
    )
    if status != 200:
        raise fleet_spec.FleetError(f"edit: {answer}")
    return (time.monotonic() - began_at_s) * 1000


async def _large_edit(fleet: fleet_module.Fleet) -> float:
    for number in range(100, 200):
        last_ms = await _edit(fleet, number)
    return round(last_ms, 1)


async def _detect(fleet: fleet_module.Fleet) -> float:
    """Kill one daemon; return how long until every other holds it for dead."""
    victim = list(fleet.daemons)[-1]
    fleet.signal(victim, signal.SIGKILL)
    began_at_s = time.monotonic()
    waiting = [name for name in fleet.daemons if name != victim]
    while waiting:
        if (await fleet.members(waiting[-1])).get(victim) == "dead":
            waiting.pop()
        else:
            await asyncio.sleep(0.02)
    return round((time.monotonic() - began_at_s) * 1000, 1)


async def _services(count: int, progress: Progress) -> Numbers:
    """Measure what owning services costs while nobody asks: list reads, health, connections."""
    progress(f"{count} services owned by one daemon")
    services = tuple(_service(f"s{number}") for number in range(count)) or (_service("none"),)
    spec = fleet_spec.FleetSpec(services, {}, daemons=1, settings=_QUIET)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            return {"services": count, **await _idle(fleet)}


async def _query(fan_out: int, progress: Progress) -> Numbers:
    """
    Measure processor time per query and part, coordinator and owner apart.

    All services are in the second data centre, where the second daemon is; callers ask the first.
    """
    progress(f"queries with {fan_out} parts")
    names = [f"s{number}" for number in range(fan_out)]
    spec = fleet_spec.FleetSpec(
        tuple(_service(name) for name in names),
        {"all": names},
        daemons=2,
        data_centres=("dc1", "dc2"),
        target_processes=3,
        journal=False,
        settings=_QUIET,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            catalog = fleet.catalog()
            for service in catalog["services"].values():
                service["data_centre"] = "dc2"
            await fleet.call_operators_api("e1", "PUT", "/v1/catalog", catalog)
            await asyncio.sleep(_SETTLE_S)
            idle = await _spend(fleet, lambda: asyncio.sleep(4.0))
            rate_per_s = 1200 / fan_out
            busy = await _spend(fleet, lambda: _ask(fleet, rate_per_s, 6.0))
            queries = rate_per_s * 6.0
            return {
                "fan_out": fan_out,
                "coordinator_us": _per(busy, idle, "e1", 6.0 / 4.0, queries),
                "owner_us": _per(busy, idle, "e2", 6.0 / 4.0, queries),
                "complete": busy["answered"],
            }


async def _spend(
    fleet: fleet_module.Fleet, work: typing.Callable[[], typing.Awaitable[typing.Any]]
) -> Numbers:
    before = _usage(fleet)
    answered = await work()
    after = _usage(fleet)
    return {name: after[name][0] - before[name][0] for name in fleet.daemons} | {
        "answered": answered
    }


def _per(busy: Numbers, idle: Numbers, name: str, ratio: float, queries: float) -> float:
    return round((busy[name] - idle[name] * ratio) / queries * 1e6, 1)


async def _ask(fleet: fleet_module.Fleet, rate_per_s: float, duration_s: float) -> int:
    """Ask at an even rate through the first daemon; returns the complete answers."""

    async def one(delay_s: float) -> bool:
        await asyncio.sleep(delay_s)
        _, answer = await fleet.query("e1", service="all", body={}, deadline_ms=5000)
        return answer["outcome"] == "complete"

    count = int(rate_per_s * duration_s)
    found = await asyncio.gather(*(one(number / rate_per_s) for number in range(count)))
    return sum(found)


async def _records(progress: Progress) -> list[Numbers]:
    """Measure store writes per request that may run once, by how many are under way."""
    found = []
    spec = fleet_spec.FleetSpec((_service("bill"),), {}, daemons=3, settings=_QUIET)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            for concurrent in CONCURRENT:
                progress(f"{concurrent} requests with keys at a time")
                found.append(await _bills(fleet, concurrent))
    return found


async def _bills(fleet: fleet_module.Fleet, concurrent: int) -> Numbers:
    total = max(60, 10 * concurrent)
    numbers = iter(range(total))
    names = list(fleet.daemons)
    took_ms: list[float] = []

    async def office(mine: int) -> None:
        for number in numbers:
            key = f"{int(time.time())}-{concurrent}.{mine}.{number}"
            began_at_s = time.monotonic()
            _, answer = await fleet.query(
                names[number % len(names)], service="bill", body={}, idempotency_key=key
            )
            if answer["outcome"] != "complete":
                raise fleet_spec.FleetError(f"bill: {answer}")
            took_ms.append((time.monotonic() - began_at_s) * 1000)

    before, used = await fleet.stats("platform"), _usage(fleet)
    await asyncio.gather(*(office(mine) for mine in range(concurrent)))
    await asyncio.sleep(0.5)
    after, after_used = await fleet.stats("platform"), _usage(fleet)
    cpu_s = sum(after_used[name][0] - used[name][0] for name in names)
    return {
        "concurrent": concurrent,
        "requests": total,
        "writes_per_request": round((after["txn"] - before.get("txn", 0)) / total, 3),
        "p50_ms": round(statistics.median(took_ms), 1),
        "cpu_us_per_request": round(cpu_s / total * 1e6, 1),
    }


async def _addresses(progress: Progress) -> Numbers:
    """Measure processor time per question for entry addresses."""
    progress("entry addresses")
    spec = fleet_spec.FleetSpec((_service("one"),), {}, daemons=9, settings=_QUIET)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            daemon = fleet.daemons["e1"]
            url = f"http://{daemon.host}:{daemon.callers_port}/v1/addresses"
            before = _usage(fleet)["e1"][0]
            for _ in range(3000):
                async with fleet.http.get(url) as response:
                    await response.read()
            return {"daemons": 9, "cpu_us": round((_usage(fleet)["e1"][0] - before) / 3000 * 1e6)}
