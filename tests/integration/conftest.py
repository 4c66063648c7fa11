"""Fleets of real processes for the integration tests."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from turmericlug_lab import fleet as fleet_module
from turmericlug_lab import fleet_spec

SERVICES = (
    *(
        fleet_spec.ServiceSpec(f"devis-{n:02d}", 2, 2, 25, 2.0, {"service_ms": 4.0})
        for n in range(4)
    ),
    fleet_spec.ServiceSpec("billing", 2, 4, 45, 1.0, {"service_ms": 4.0}),
)
GROUPS = {"devis": [f"devis-{n:02d}" for n in range(4)]}


@pytest.fixture
def play(tmp_path):
    """Run a scenario against a fleet: ``play(scenario, **spec)``."""

    def run(scenario, **changes):
        spec = fleet_spec.FleetSpec(**{"services": SERVICES, "groups": GROUPS} | changes)

        async def main():
            async with fleet_module.running(spec, tmp_path) as fleet:
                async with asyncio.timeout(120):
                    return await scenario(fleet)

        return asyncio.run(main())

    return run


class Caller:
    """Keeps an entry address for its lifetime, as callers do."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = list(fleet.daemons)[number % len(fleet.daemons)]
        self.until_s = 0.0

    async def entry(self):
        if time.monotonic() >= self.until_s:
            daemon = self.fleet.daemons[self.name]
            url = f"http://{daemon.host}:{daemon.callers_port}/v1/addresses"
            asked_at_s = time.monotonic()
            async with self.fleet.http.get(url) as response:
                plain = await response.json()
            self.name = plain["addresses"][0]["instance"]
            self.until_s = asked_at_s + plain["lifetime_ms"] / 1000
        return self.name


@contextlib.asynccontextmanager
async def traffic(fleet, answers, clients=4, through=None, moving=False, **fields):
    """
    Keep clients asking for the length of the block; each answer goes to ``answers``.

    :param through: the daemons to ask in turn; all if not given
    :param moving: ask for an entry address and keep it for its lifetime instead
    """
    stop = asyncio.Event()
    names = through or list(fleet.daemons)

    async def client(number):
        count = 0
        caller = Caller(fleet, number)
        while not stop.is_set():
            name = await caller.entry() if moving else names[(number + count) % len(names)]
            count += 1
            mark = f"{number}.{count}"
            status, answer = await fleet.query(
                name, **{"service": "devis", "body": {"mark": mark}, **fields}
            )
            answers.append((mark, status, answer))

    tasks = [asyncio.create_task(client(number)) for number in range(clients)]
    try:
        yield
    finally:
        stop.set()
        await asyncio.gather(*tasks)


async def eventually(check, limit_s=30.0):
    """Wait until an async check gives something true; returns it."""
    end_s = time.monotonic() + limit_s
    while True:
        found = await check()
        if found:
            return found
        assert time.monotonic() < end_s, "a condition did not come about"
        await asyncio.sleep(0.02)


def key(name):
    """Make an idempotency key."""
    return f"{int(time.time())}-{name}"


def runs(fleet, text=""):
    """Return the journal's runs whose request body holds a text."""
    return [line for line in fleet.journal() if line.get("event") == "run" and text in line["body"]]


def check_refusals(fleet, answers):
    """Check that nothing ran for any query that was refused."""
    prefixes = {line["attempt"].split(".")[0].removesuffix("r") for line in runs(fleet)}
    for answer in answers:
        if answer["outcome"] == "refused":
            assert answer["query_id"] not in prefixes, f"called not run, but ran: {answer}"


def check_honest(fleet, answers):
    """Check every answer: its own data, one snapshot, coverage as the journals have it."""
    finished = {}
    for line in fleet.journal():
        if line.get("event") == "run":
            finished[line["attempt"]] = line
    check_refusals(fleet, [answer for _, _, answer in answers])
    for mark, _, answer in answers:
        body = f'{{"mark":"{mark}"}}'
        if "results" not in answer:
            continue
        results = [item["result"] for item in answer["results"]]
        assert {result["asked"]["mark"] for result in results} <= {mark}, answer
        assert {result["snapshot"] for result in results} <= {answer["snapshot"]}, answer
        coverage = answer["coverage"]
        assert coverage["answered"] == len(results)
        assert coverage["total"] == len(results) + len(coverage["missing"])
        for result in results:
            ran = [
                line
                for line in finished.values()
                if line["body"] == body and line["shard"] == result["shard"]
            ]
            assert ran, f"no journal has this result: {result}"
