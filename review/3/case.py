"""A configuration that a healthy instance applies too late, since its relay is frozen."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time
import uuid
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import deployment  # noqa: E402
from lib import http_messages  # noqa: E402
from lib import runner  # noqa: E402
from lib import standin_replica  # noqa: E402
from lib import standin_store  # noqa: E402

CONFIG_APPLY_S = 3.0
STABLE_S = 5.0
FREEZE_S = 4.0
ROUNDS = 5
RENEWAL_LEAD_S = 1.45
"""Time from a renewal of the second relay's lease to the first change: its next renewal, 2.1 to
3.1 s after the last one, then comes while it waits for the frozen relay."""
GAP_S = 0.05
"""Time between the two changes."""
FREEZE_AFTER_S = 0.2
"""Time from the first change to the freeze."""
ASKED_FROM_S, ASKED_UNTIL_S = 2.6, 4.2
"""Time of the requests, counted from the acknowledgement of the second change."""
ASK_INTERVAL_S = 0.02
ZONES = {"kigali-a": "kigali", "huye-a": "huye", "musanze-a": "musanze"}
NAMES = [f"front-kigali-a-{number}" for number in range(1, 5)]
OLD, NEW = "dispatch-desk", "council-report"
DEADLINE_MS = 2500


def configuration(version: int, service: str) -> dict:
    """Return a configuration with one route."""
    route = {"Name": "r-1", "Host": "h.example", "Prefix": "/street/", "Service": service}
    route |= {"RouteType": "idempotent", "TimeoutMs": DEADLINE_MS, "GoalMs": 400}
    route |= {"Priority": 2, "MaxAttempts": 2}
    return deployment.configuration(version, [route], dict.fromkeys((OLD, NEW), 110))


def relays() -> list[str]:
    """Return the two relays of the data centre, by the instances' own rendezvous hash."""
    return sorted(NAMES, key=lambda name: zlib.crc32(f"news/{name}".encode()))[:2]


async def ask(address: str) -> tuple[float, str]:
    """Send a request; return when it was sent, and its identifier."""
    request_id = uuid.uuid4().hex[:16]
    headers = {"Host": "h.example", "X-Request-Id": request_id}
    headers["X-Deadline-Ms"] = str(DEADLINE_MS)
    reader, writer = await asyncio.open_connection(address, deployment.PORTS["Front"])
    try:
        sent_s = time.monotonic()
        writer.write(http_messages.request("GET", "/street/1", headers))
        await asyncio.wait_for(http_messages.read(reader), DEADLINE_MS / 1000)
    finally:
        writer.close()
    return sent_s, request_id


async def until(at_s: float) -> None:
    """Sleep until a time of the steady clock."""
    await asyncio.sleep(max(at_s - time.monotonic(), 0.0))


class Case:
    """The deployment, and the versions written so far."""

    def __init__(self, folder: pathlib.Path, trouble: bool) -> None:
        self._folder, self._trouble = folder, trouble
        self._store = standin_store.Store()
        self._replicas: dict[str, standin_replica.Replica] = {}
        self._version = 7
        self._services = (OLD, NEW)
        self.instances: dict[str, deployment.Instance] = {}
        self.record = [f"trouble={int(trouble)} relays={relays()}"]

    async def start(self) -> None:
        """Start the store, the replicas and the instances."""
        address = f"127.0.0.1:{deployment.free_port()}"
        await self._store.start(*address.split(":"))
        for service in (OLD, NEW):
            replica = standin_replica.Replica(f"i-{service}", 8, 8, 0.005, b"status")
            await replica.start("127.0.0.1")
            entry = deployment.entry(service, replica.address, "kigali-a", slots=8)
            self._store.put(f"servers/{replica.name}", entry)
            self._replicas[service] = replica
        self._put(self._services[0])
        fields = deployment.fields(address, "kigali-a", ZONES)
        for name, own_address in zip(NAMES, deployment.addresses(len(NAMES)), strict=True):
            self.instances[name] = deployment.Instance(self._folder, name, own_address, fields)
            self.instances[name].start()
        for instance in self.instances.values():
            await instance.wait_ready()

    def _put(self, service: str) -> float:
        """Write a new version; return the time of its acknowledgement."""
        self._version += 1
        self._store.put("op/config", configuration(self._version, service))
        return time.monotonic()

    async def _renewal(self, name: str) -> float:
        """Wait for the next renewal of an instance's lease; return its time."""
        asked_s = time.monotonic()
        while True:
            lease = self._store.items[f"turmericlug/instances/{name}"]["Lease"]
            renewed_s = self._store.renewed_s.get(lease, 0.0)
            if renewed_s > asked_s:
                return renewed_s
            await asyncio.sleep(0.01)

    async def play_round(self) -> int:
        """Freeze the first relay between two changes; return the number of overdue requests."""
        old, new = self._services
        first, second = relays()
        # All are in touch: nothing was frozen for longer than StableMs.
        await asyncio.sleep(STABLE_S)
        began_s = await self._renewal(second) + RENEWAL_LEAD_S
        await until(began_s)
        self._put(old)
        await until(began_s + GAP_S)
        acknowledged_s = self._put(new)
        await until(began_s + FREEZE_AFTER_S)
        if self._trouble:
            self.instances[first].signal(signal.SIGSTOP)
        asked = await self._ask_all(acknowledged_s, [name for name in NAMES if name != first])
        await until(began_s + FREEZE_AFTER_S + FREEZE_S)
        self.instances[first].signal(signal.SIGCONT)
        self._services = (new, old)
        overdue = 0
        for name, requests in asked.items():
            by_old = [
                sent_s - acknowledged_s
                for sent_s, request_id in requests
                if self._replicas[old].runs[request_id]
            ]
            late = [age_s for age_s in by_old if age_s > CONFIG_APPLY_S]
            overdue += len(late)
            last = f"{max(by_old):.3f} s" if by_old else f"before {ASKED_FROM_S} s"
            self.record.append(
                f"version {self._version} moves the route from {old} to {new}: {name} sent "
                f"{len(requests)} requests on; the last one run by {old} was sent {last} after the "
                f"acknowledgement; {len(late)} of them later than {CONFIG_APPLY_S} s"
            )
        return overdue

    async def _ask_all(self, acknowledged_s: float, names: list[str]) -> dict[str, list]:
        """Send requests to the instances that are not frozen."""
        tasks: dict[str, list] = {name: [] for name in names}
        await until(acknowledged_s + ASKED_FROM_S)
        while time.monotonic() < acknowledged_s + ASKED_UNTIL_S:
            for name in names:
                tasks[name].append(asyncio.create_task(ask(self.instances[name].address)))
            await asyncio.sleep(ASK_INTERVAL_S)
        return {name: await asyncio.gather(*running) for name, running in tasks.items()}


async def play(folder: pathlib.Path, trouble: bool) -> tuple[list[str], bool]:
    """Play the case; return the record and whether the rule was broken."""
    case = Case(folder, trouble)
    overdue = 0
    try:
        await case.start()
        for _ in range(ROUNDS):
            overdue += await case.play_round()
    finally:
        for instance in case.instances.values():
            instance.end()
    case.record.append(f"CONFIG, run as only an older version allows, overdue: {overdue}")
    return case.record, bool(overdue)


if __name__ == "__main__":
    sys.exit(runner.run(play, __file__, shown_lines=1))
