"""Fixtures and helpers that run fleets of real processes and check their answers."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pauses
import pytest

from turmericlug_lab import fleet as fleet_module
from turmericlug_lab import fleet_spec

SERVICES = (
    *(
        fleet_spec.ServiceSpec(f"devis-{number:02d}", 2, 2, 25, 2.0, {"service_ms": 4.0})
        for number in range(4)
    ),
    fleet_spec.ServiceSpec("billing", 2, 4, 45, 1.0, {"service_ms": 4.0}),
)
GROUPS = {"devis": [f"devis-{number:02d}" for number in range(4)]}


@pytest.fixture
def run_scenario(tmp_path):
    """Run a scenario against a fleet: ``run_scenario(scenario, **spec)``."""

    def run(scenario, **spec_fields):
        spec = fleet_spec.FleetSpec(**{"services": SERVICES, "groups": GROUPS} | spec_fields)

        async def main():
            async with fleet_module.running(spec, tmp_path) as fleet:
                async with asyncio.timeout(120):
                    return await scenario(fleet)

        return asyncio.run(main())

    return run


class AddressCaller:
    """
    Caller that keeps an entry address for its lifetime, as real callers do.

    An address is not valid any more once its lifetime is over, so that the next one is requested
    where the last answer said, if its instance was leaving.
    """

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.instance = self.next_instance = list(fleet.daemons)[index % len(fleet.daemons)]
        self.expires_at_s = 0.0

    async def entry_instance(self):
        if time.monotonic() >= self.expires_at_s:
            answer, requested_at_s = await request_addresses(self.fleet, self.next_instance)
            self.instance = self.next_instance = answer["addresses"][0]["instance"]
            self.expires_at_s = requested_at_s + answer["lifetime_ms"] / 1000
        return self.instance

    def on_headers(self, headers):
        move_to = headers.get("Turmericlug-Move-To")
        for daemon in self.fleet.daemons.values():
            if move_to == f"{daemon.host}:{daemon.callers_port}":
                self.next_instance = daemon.name


async def request_addresses(fleet, daemon_name):
    """Return a daemon's answer with entry addresses, and the time of the request."""
    daemon = fleet.daemons[daemon_name]
    url = f"http://{daemon.host}:{daemon.callers_port}/v1/addresses"
    requested_at_s = time.monotonic()
    async with fleet.http.get(url) as response:
        return await response.json(), requested_at_s


@contextlib.asynccontextmanager
async def traffic(fleet, answers, clients=4, via=None, resolve_addresses=False, **fields):
    """
    Run clients that send queries until the block ends, and append the answers to ``answers``.

    Yields by mark for how long the machine kept the instance that was asked from running, in s.

    :param via: the daemons to query in turn; all if not given
    :param resolve_addresses: ask for an entry address and use it for its lifetime instead
    """
    stop = asyncio.Event()
    daemon_names = via or list(fleet.daemons)
    waited_s = {}

    async def client(client_index):
        query_count = 0
        caller = AddressCaller(fleet, client_index)
        while not stop.is_set():
            daemon_name = (
                await caller.entry_instance()
                if resolve_addresses
                else daemon_names[(client_index + query_count) % len(daemon_names)]
            )
            query_count += 1
            mark = f"{client_index}.{query_count}"
            pid = fleet.processes[daemon_name].pid
            wait_before_s = pauses.run_queue_wait_s(pid)
            status, answer = await fleet.query(
                daemon_name,
                on_headers=caller.on_headers,
                **{"service": "devis", "body": {"mark": mark}, **fields},
            )
            waited_s[mark] = pauses.run_queue_wait_s(pid) - wait_before_s
            answers.append((mark, status, answer))

    tasks = [asyncio.create_task(client(client_index)) for client_index in range(clients)]
    try:
        yield waited_s
    finally:
        stop.set()
        await asyncio.gather(*tasks)


async def eventually(condition, timeout_s=30.0):
    """Wait until an async condition returns a true value; return that value."""
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = await condition()
        if value:
            return value
        assert time.monotonic() < deadline_s, "condition not met before the timeout"
        await asyncio.sleep(0.02)


def new_idempotency_key(name):
    """Return an idempotency key that was created now."""
    return f"{int(time.time())}-{name}"


def runs(fleet, text=""):
    """Return the journal entries of runs whose request body contains a text."""
    return [
        entry for entry in fleet.journal() if entry.get("event") == "run" and text in entry["body"]
    ]


def check_refusals(fleet, answers):
    """Check that no refused query ran."""
    query_ids = {entry["attempt"].split(".")[0].removesuffix("r") for entry in runs(fleet)}
    for answer in answers:
        if answer["outcome"] == "refused":
            assert (
                answer["query_id"] not in query_ids
            ), f"query was refused as not run, but ran: {answer}"


def check_answers(fleet, answers):
    """Check each answer: only its own data, one snapshot, and coverage as the journals show it."""
    runs_by_attempt = {}
    for entry in fleet.journal():
        if entry.get("event") == "run":
            runs_by_attempt[entry["attempt"]] = entry
    check_refusals(fleet, [answer for _, _, answer in answers])
    for mark, _, answer in answers:
        body = f'{{"mark":"{mark}"}}'
        if "results" not in answer:
            continue
        results = [part["result"] for part in answer["results"]]
        assert {result["asked"]["mark"] for result in results} <= {mark}, answer
        assert {result["snapshot"] for result in results} <= {answer["snapshot"]}, answer
        coverage = answer["coverage"]
        assert coverage["answered"] == len(results)
        assert coverage["total"] == len(results) + len(coverage["missing"])
        for result in results:
            matching_runs = [
                entry
                for entry in runs_by_attempt.values()
                if entry["body"] == body and entry["shard"] == result["shard"]
            ]
            assert matching_runs, f"no journal contains a run with this result: {result}"
