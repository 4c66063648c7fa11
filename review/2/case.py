"""A request that a leaving instance accepts 3.3 s after its SIGTERM, and never answers."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import deployment  # noqa: E402
from lib import http_messages  # noqa: E402
from lib import runner  # noqa: E402
from lib import standin_replica  # noqa: E402
from lib import standin_store  # noqa: E402

GRACE_S = 6.0
SENT_AFTER_S = 3.3
"""Time of the requests after the SIGTERM. The rule excuses those sent until 3 s after it."""
BUSY_AFTER_S = 3.1
"""When other callers fill the slots of the replicas, through the instance that stays."""
WORK_S = 1.3
"""The longest work of ``reglement-municipal`` in the site file."""
SLOTS, QUEUE = 6, 12
DEADLINE_MS = 10_000
KEPT_CONNECTIONS = 4
ZONES = {"mtl-salle-a": "montreal", "qc-salle-b": "quebec-capitale"}


class Client:
    """A client with one kept connection."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def connect(self) -> None:
        """Open the connection."""
        self._reader, self._writer = await asyncio.open_connection(
            self._address, deployment.PORTS["Front"]
        )

    async def post(self) -> tuple[str, str]:
        """Send a request; return its identifier, and its status or how the connection ended."""
        request_id = uuid.uuid4().hex[:16]
        headers = {"Host": "h.example", "X-Request-Id": request_id}
        headers["X-Deadline-Ms"] = str(DEADLINE_MS)
        try:
            self._writer.write(http_messages.request("POST", "/permis/1", headers, b"bylaw"))
            answer = await asyncio.wait_for(http_messages.read(self._reader), DEADLINE_MS / 1000)
            return request_id, str(answer.status) if answer else "connection closed"
        except (OSError, asyncio.IncompleteReadError):
            return request_id, "connection closed"
        except TimeoutError:
            return request_id, "no answer until the deadline"

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def play(folder: pathlib.Path, trouble: bool) -> tuple[list[str], bool]:
    """Play the case; return the record and whether the rule was broken."""
    store = standin_store.Store()
    store_address = f"127.0.0.1:{deployment.free_port()}"
    await store.start(*store_address.split(":"))
    replicas = []
    for name, zone in zip("ab", ZONES, strict=True):
        replica = standin_replica.Replica(f"i-{name}", SLOTS, QUEUE, WORK_S, b"bylaw")
        await replica.start("127.0.0.1")
        store.put(
            f"servers/i-{name}", deployment.entry("permis", replica.address, zone, slots=SLOTS)
        )
        replicas.append(replica)
    route = {"Name": "r-1", "Host": "h.example", "Prefix": "/permis/", "Service": "permis"}
    route |= {"RouteType": "non_idempotent", "TimeoutMs": DEADLINE_MS, "GoalMs": 1101}
    route |= {"Priority": 2, "MaxAttempts": 2}
    store.put("op/config", deployment.configuration(7, [route], {"permis": 100}))
    leaving, staying = (
        deployment.Instance(
            folder, f"front-{zone}-1", address, deployment.fields(store_address, zone, ZONES)
        )
        for zone, address in zip(ZONES, deployment.addresses(2), strict=True)
    )
    try:
        for instance in (leaving, staying):
            instance.start()
        for instance in (leaving, staying):
            await instance.wait_ready()
        kept = [Client(leaving.address) for _ in range(KEPT_CONNECTIONS)]
        others = [Client(staying.address) for _ in range(2 * SLOTS * len(replicas))]
        for client in (*kept, *others):
            await client.connect()
        # Both kinds of client have used their connections before.
        await asyncio.gather(*(client.post() for client in (*kept, *others)))
        began_s = time.monotonic()
        if trouble:
            leaving.signal(signal.SIGTERM)
        await asyncio.sleep(BUSY_AFTER_S)
        busy = [asyncio.create_task(client.post()) for client in others]
        await asyncio.sleep(began_s + SENT_AFTER_S - time.monotonic())
        sent_s = time.monotonic() - began_s
        answers = await asyncio.gather(*(client.post() for client in kept))
        ended_s = time.monotonic() - began_s
        other_answers = await asyncio.gather(*busy)
        exit_code = leaving.process.poll()
    finally:
        leaving.end()
        staying.end()
    runs = replicas[0].runs + replicas[1].runs
    received = replicas[0].received + replicas[1].received
    lost = [
        request_id
        for request_id, answer in answers
        if answer == "connection closed" and request_id in received
    ]
    record = [
        f"trouble={int(trouble)} grace_s={GRACE_S} sent_after_sigterm_s={sent_s:.2f} "
        f"ended_after_sigterm_s={ended_s:.2f} exit_code={exit_code}"
    ]
    record += [
        f"{request_id} at the leaving instance: {answer}; reached a replica: "
        f"{request_id in received}, runs: {runs[request_id]}"
        for request_id, answer in answers
    ]
    record += [
        f"{request_id} at the other instance: {answer}" for request_id, answer in other_answers
    ]
    record.append(f"LOST, passed on to a replica and the connection ended without answer: {lost}")
    return record, bool(lost)


if __name__ == "__main__":
    sys.exit(runner.run(play, __file__, shown_lines=1))
