"""Measures with real processes how the cost of each role grows: the input of docs/CAPACITY.md."""

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

Measurements = dict[str, typing.Any]
Progress = typing.Callable[[str], None]

FLEET_SIZES = (3, 6, 9, 18, 36, 60)
FAN_OUTS = (20, 100, 500)
CONCURRENCY_LEVELS = (1, 10, 100)
_MEMBER_COUNT = 4700
_SERVICE_COUNT = 13000
_RECORD_COUNT = 10000
_IDLE_PERIOD_S = 8.0
_SETTLING_TIME_S = 3.0
_SETTINGS = {"platform": {"instances_poll_ms": "1000"}}


async def measure(progress: Progress) -> Measurements:
    """Run all measurements; they take some minutes."""
    return {
        "control": [await _measure_control(size, progress) for size in FLEET_SIZES],
        "services": [await _measure_services(count, progress) for count in (0, 60, 240)],
        "query": [await _measure_query(fan_out, progress) for fan_out in FAN_OUTS],
        "records": await _measure_records(progress),
        "addresses": await _measure_addresses(progress),
        "state": measure_memory(),
    }


def measure_memory() -> Measurements:
    """Measure in this process the memory of the state that grows with the fleet, at target size."""
    own_member = members_module.Member("e", "alive", 1, "10.0.0.1", 1, 2, "dc")
    tracemalloc.start()
    view = members_module.Members(own_member)
    for number in range(_MEMBER_COUNT):
        view.merge(attrs.evolve(own_member, instance=f"instance-{number}", host=f"10.0.{number}.1"))
    members_bytes, _ = tracemalloc.get_traced_memory()
    catalog_text = json.dumps(
        {
            "services": {
                f"service-{number}": {"slots": 2, "connections": 25, "data_centre": "montreal"}
                for number in range(_SERVICE_COUNT)
            }
        }
    )
    tracemalloc.reset_peak()
    bytes_before_catalog, _ = tracemalloc.get_traced_memory()
    catalog = catalog_module.parse(catalog_text)
    bytes_after_catalog, _ = tracemalloc.get_traced_memory()
    records = {
        f"{1796234104 + number}-voucher-{number}": ledger.Entry(
            f"e1-0011223344-{number}", "0" * 32, 1796234104, "x" * 120
        )
        for number in range(_RECORD_COUNT)
    }
    bytes_after_records, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "bytes_per_member": round(members_bytes / _MEMBER_COUNT),
        "bytes_per_service": round(
            (bytes_after_catalog - bytes_before_catalog) / len(catalog.services)
        ),
        "catalogue_text_bytes_per_service": round(len(catalog_text) / _SERVICE_COUNT),
        "bytes_per_record": round((bytes_after_records - bytes_after_catalog) / len(records)),
    }


def _service_spec(name: str, service_ms: float = 1.0) -> fleet_spec.ServiceSpec:
    behaviour = {"service_ms": service_ms, "spread": 0.0}
    return fleet_spec.ServiceSpec(name, 1, 8, 64, 0.0, behaviour)


def _daemon_usage(fleet: fleet_module.Fleet) -> dict[str, tuple[float, float]]:
    return {name: experiment.usage(fleet.processes[name].pid) for name in fleet.daemons}


async def _daemon_counters(fleet: fleet_module.Fleet) -> dict[str, dict[str, int]]:
    first_daemon = next(iter(fleet.daemons))
    _, status = await fleet.call_operators_api(first_daemon, "GET", "/v1/status")
    return {instance["instance"]: instance.get("counters", {}) for instance in status["instances"]}


async def _measure_idle(fleet: fleet_module.Fleet) -> Measurements:
    """Measure what control costs daemons that get no queries."""
    await asyncio.sleep(_SETTLING_TIME_S)
    counters, usage = await _daemon_counters(fleet), _daemon_usage(fleet)
    calls = sum((await fleet.stats("platform")).values())
    started_at_s = time.monotonic()
    await asyncio.sleep(_IDLE_PERIOD_S)
    usage_after, calls_after = _daemon_usage(fleet), sum((await fleet.stats("platform")).values())
    duration_s = time.monotonic() - started_at_s
    counters_after = await _daemon_counters(fleet)

    def per_s(counter: str) -> float:
        increases = [
            counters_after[daemon].get(counter, 0) - counters[daemon].get(counter, 0)
            for daemon in fleet.daemons
        ]
        return round(statistics.mean(increases) / duration_s, 2)

    cpu_shares = [
        (usage_after[daemon][0] - usage[daemon][0]) / duration_s for daemon in fleet.daemons
    ]
    return {
        "cpu_share": round(statistics.mean(cpu_shares), 5),
        "cpu_share_most": round(max(cpu_shares), 5),
        "memory_mb": round(statistics.mean(sample[1] for sample in usage_after.values()), 1),
        "frames_per_s": per_s("peer.frames_sent"),
        "bytes_per_s": per_s("peer.bytes_sent"),
        "store_calls_per_s": round((calls_after - calls) / duration_s, 2),
    }


async def _measure_control(daemon_count: int, progress: Progress) -> Measurements:
    """Measure the cost of control, and the times to accept an edit and to detect a failure."""
    progress(f"control with {daemon_count} daemons")
    spec = fleet_spec.FleetSpec(
        (_service_spec("one"),), {}, daemons=daemon_count, settings=_SETTINGS
    )
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            measurements = {"daemons": daemon_count, **await _measure_idle(fleet)}
            measurements["accept_ms"] = [
                round(await _time_rule_edit(fleet, number), 1) for number in range(5)
            ]
            measurements["accept_100_rules_ms"] = await _time_edit_of_100_rules(fleet)
            measurements["detect_ms"] = await _time_failure_detection(fleet)
            return measurements


async def _time_rule_edit(fleet: fleet_module.Fleet, number: int, rule_text: str = "") -> float:
    rule_text = rule_text or f"[rule r{number}]\nwhen_caller = c{number}\nthen_hedge = no\n"
    started_at_s = time.monotonic()
    status, answer = await fleet.call_operators_api(
        "e1", "POST", "/v1/rules/edit", {"operation": "add", "text": rule_text}
    )
    if status != 200:
        raise fleet_spec.FleetError(f"rule edit failed: {answer}")
    return (time.monotonic() - started_at_s) * 1000


async def _time_edit_of_100_rules(fleet: fleet_module.Fleet) -> float:
    for number in range(100, 200):
        last_ms = await _time_rule_edit(fleet, number)
    return round(last_ms, 1)


async def _time_failure_detection(fleet: fleet_module.Fleet) -> float:
    """Kill one daemon; return how long until all others consider it dead."""
    killed_daemon = list(fleet.daemons)[-1]
    fleet.signal(killed_daemon, signal.SIGKILL)
    killed_at_s = time.monotonic()
    unaware_daemons = [name for name in fleet.daemons if name != killed_daemon]
    while unaware_daemons:
        if (await fleet.members(unaware_daemons[-1])).get(killed_daemon) == "dead":
            unaware_daemons.pop()
        else:
            await asyncio.sleep(0.02)
    return round((time.monotonic() - killed_at_s) * 1000, 1)


async def _measure_services(service_count: int, progress: Progress) -> Measurements:
    """Measure what idle services cost their owner: list reads, health checks, connections."""
    progress(f"{service_count} services owned by one daemon")
    services = tuple(_service_spec(f"s{number}") for number in range(service_count)) or (
        _service_spec("none"),
    )
    spec = fleet_spec.FleetSpec(services, {}, daemons=1, settings=_SETTINGS)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            return {"services": service_count, **await _measure_idle(fleet)}


async def _measure_query(fan_out: int, progress: Progress) -> Measurements:
    """
    Measure the processor time per query of the coordinator and of the owner.

    All services are in the data centre of the second daemon, which owns them; callers send to the
    first, which coordinates.
    """
    progress(f"queries with {fan_out} parts")
    service_names = [f"s{number}" for number in range(fan_out)]
    spec = fleet_spec.FleetSpec(
        tuple(_service_spec(name) for name in service_names),
        {"all": service_names},
        daemons=2,
        data_centres=("dc1", "dc2"),
        target_processes=3,
        journal=False,
        settings=_SETTINGS,
    )
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            catalog = fleet.catalog()
            for service in catalog["services"].values():
                service["data_centre"] = "dc2"
            await fleet.call_operators_api("e1", "PUT", "/v1/catalog", catalog)
            await asyncio.sleep(_SETTLING_TIME_S)
            idle_cpu = await _cpu_spent_during(fleet, lambda: asyncio.sleep(4.0))
            rate_per_s = 1200 / fan_out
            busy_cpu = await _cpu_spent_during(fleet, lambda: _send_queries(fleet, rate_per_s, 6.0))
            query_count = rate_per_s * 6.0
            return {
                "fan_out": fan_out,
                "coordinator_us": _us_per_query(busy_cpu, idle_cpu, "e1", 6.0 / 4.0, query_count),
                "owner_us": _us_per_query(busy_cpu, idle_cpu, "e2", 6.0 / 4.0, query_count),
                "complete": busy_cpu["answered"],
            }


async def _cpu_spent_during(
    fleet: fleet_module.Fleet, work: typing.Callable[[], typing.Awaitable[typing.Any]]
) -> Measurements:
    before = _daemon_usage(fleet)
    complete_answers = await work()
    after = _daemon_usage(fleet)
    return {name: after[name][0] - before[name][0] for name in fleet.daemons} | {
        "answered": complete_answers
    }


def _us_per_query(
    busy_cpu: Measurements,
    idle_cpu: Measurements,
    daemon: str,
    duration_ratio: float,
    query_count: float,
) -> float:
    return round((busy_cpu[daemon] - idle_cpu[daemon] * duration_ratio) / query_count * 1e6, 1)


async def _send_queries(fleet: fleet_module.Fleet, rate_per_s: float, duration_s: float) -> int:
    """Send queries to the first daemon at an even rate; returns the number of complete answers."""

    async def send_one(delay_s: float) -> bool:
        await asyncio.sleep(delay_s)
        _, answer = await fleet.query("e1", service="all", body={}, deadline_ms=5000)
        return answer["outcome"] == "complete"

    query_count = int(rate_per_s * duration_s)
    completed = await asyncio.gather(
        *(send_one(number / rate_per_s) for number in range(query_count))
    )
    return sum(completed)


async def _measure_records(progress: Progress) -> list[Measurements]:
    """Measure the store writes per idempotent request at several levels of concurrency."""
    measurements = []
    spec = fleet_spec.FleetSpec((_service_spec("bill"),), {}, daemons=3, settings=_SETTINGS)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            for concurrency in CONCURRENCY_LEVELS:
                progress(f"{concurrency} concurrent requests with idempotency keys")
                measurements.append(await _measure_idempotent_requests(fleet, concurrency))
    return measurements


async def _measure_idempotent_requests(fleet: fleet_module.Fleet, concurrency: int) -> Measurements:
    request_count = max(60, 10 * concurrency)
    request_numbers = iter(range(request_count))
    daemons = list(fleet.daemons)
    latencies_ms: list[float] = []

    async def run_client(client_number: int) -> None:
        for number in request_numbers:
            key = f"{int(time.time())}-{concurrency}.{client_number}.{number}"
            started_at_s = time.monotonic()
            _, answer = await fleet.query(
                daemons[number % len(daemons)], service="bill", body={}, idempotency_key=key
            )
            if answer["outcome"] != "complete":
                raise fleet_spec.FleetError(f"request with an idempotency key failed: {answer}")
            latencies_ms.append((time.monotonic() - started_at_s) * 1000)

    store_calls, usage = await fleet.stats("platform"), _daemon_usage(fleet)
    await asyncio.gather(*(run_client(client_number) for client_number in range(concurrency)))
    await asyncio.sleep(0.5)
    store_calls_after, usage_after = await fleet.stats("platform"), _daemon_usage(fleet)
    cpu_s = sum(usage_after[daemon][0] - usage[daemon][0] for daemon in daemons)
    return {
        "concurrent": concurrency,
        "requests": request_count,
        "writes_per_request": round(
            (store_calls_after["txn"] - store_calls.get("txn", 0)) / request_count, 3
        ),
        "p50_ms": round(statistics.median(latencies_ms), 1),
        "cpu_us_per_request": round(cpu_s / request_count * 1e6, 1),
    }


async def _measure_addresses(progress: Progress) -> Measurements:
    """Measure the processor time per request for entry addresses."""
    progress("requests for entry addresses")
    spec = fleet_spec.FleetSpec((_service_spec("one"),), {}, daemons=9, settings=_SETTINGS)
    with tempfile.TemporaryDirectory() as folder:
        async with fleet_module.running(spec, pathlib.Path(folder)) as fleet:
            daemon = fleet.daemons["e1"]
            url = f"http://{daemon.host}:{daemon.callers_port}/v1/addresses"
            cpu_before_s = _daemon_usage(fleet)["e1"][0]
            for _ in range(3000):
                async with fleet.http.get(url) as response:
                    await response.read()
            return {
                "daemons": 9,
                "cpu_us": round((_daemon_usage(fleet)["e1"][0] - cpu_before_s) / 3000 * 1e6),
            }
