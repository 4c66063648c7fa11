"""Requests that must not run twice, at replicas that send some answers a second time, late."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import deployment  # noqa: E402
from lib import http_messages  # noqa: E402
from lib import runner  # noqa: E402
from lib import standin_replica  # noqa: E402
from lib import standin_store  # noqa: E402

INSTANCES = 9
CLIENTS = 1
"""Clients of each instance, each with one request at a time."""
QUIET_S = 2.0
EPISODES = 3
TROUBLE_S = 5.0
"""Length of each disruption; before and after it, replicas answer each request once."""
PAUSE_S = 0.003
WORK_S = 0.012
SECOND_ANSWER_SHARE = 0.04
DEADLINE_MS = 10_000
ZONES = {"mtl-salle-a": "montreal"}
PROMISES = (408, 421, 429, 503)


async def post(address: str, request_id: str, answers: dict[str, str]) -> None:
    """Send one request on a new connection, and note the answer."""
    headers = {"Host": "h.example", "X-Request-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
    reader, writer = await asyncio.open_connection(address, deployment.PORTS["Front"])
    try:
        writer.write(http_messages.request("POST", "/bons/1", headers, b"voucher"))
        answer = await asyncio.wait_for(http_messages.read(reader), DEADLINE_MS / 1000)
        answers[request_id] = str(answer.status) if answer else "closed"
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        answers[request_id] = type(error).__name__
    finally:
        writer.close()


async def send_until(end_s: float, address: str, answers: dict[str, str]) -> None:
    """Send one request after the other."""
    while time.monotonic() < end_s:
        await post(address, uuid.uuid4().hex[:16], answers)
        await asyncio.sleep(PAUSE_S)


async def disturb(replica: standin_replica.Replica, trouble: bool) -> None:
    """Have a replica send some of its answers a second time, for a limited time."""
    for _ in range(EPISODES):
        await asyncio.sleep(QUIET_S)
        replica.second_answer_share = SECOND_ANSWER_SHARE if trouble else 0.0
        await asyncio.sleep(TROUBLE_S)
        replica.second_answer_share = 0.0


async def play(folder: pathlib.Path, trouble: bool) -> tuple[list[str], bool]:
    """Play the case; return the record and whether the rule was broken."""
    store = standin_store.Store()
    store_address = f"127.0.0.1:{deployment.free_port()}"
    await store.start(*store_address.split(":"))
    replicas = [standin_replica.Replica(f"i-{n}", 2, 2, WORK_S, b"done") for n in "ab"]
    for replica in replicas:
        await replica.start("127.0.0.1")
        entry = deployment.entry("guichet", replica.address, "mtl-salle-a", slots=2)
        store.put(f"servers/{replica.name}", entry)
    route = {"Name": "r-1", "Host": "h.example", "Prefix": "/bons/", "Service": "guichet"}
    route |= {"RouteType": "non_idempotent", "TimeoutMs": DEADLINE_MS, "GoalMs": 1000}
    route |= {"Priority": 1, "MaxAttempts": 1}
    store.put("op/config", deployment.configuration(7, [route], {"guichet": 100}))
    fields = deployment.fields(store_address, "mtl-salle-a", ZONES)
    instances = [
        deployment.Instance(folder, f"front-{number}", address, fields)
        for number, address in enumerate(deployment.addresses(INSTANCES))
    ]
    answers: dict[str, str] = {}
    try:
        for instance in instances:
            instance.start()
        for instance in instances:
            await instance.wait_ready()
        end_s = time.monotonic() + EPISODES * (QUIET_S + TROUBLE_S) + QUIET_S
        await asyncio.gather(
            disturb(replicas[0], trouble),
            *(send_until(end_s, each.address, answers) for each in instances * CLIENTS),
        )
    finally:
        for instance in instances:
            instance.end()
    runs = replicas[0].runs + replicas[1].runs
    refused = replicas[0].refused + replicas[1].refused
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    ran_though_refused = sorted(
        request_id for request_id in runs if answers.get(request_id) in map(str, PROMISES)
    )
    record = [f"trouble={int(trouble)}"]
    record += [
        f"{request_id} sent=1 answered={answer} runs={runs[request_id]} "
        f"refused_by_replica={refused[request_id]}"
        for request_id, answer in answers.items()
    ]
    record += [
        f"answers of replicas: {sum(replica.answers for replica in replicas)}; answers of i-a: "
        f"{replicas[0].answers}, of which sent a second time: "
        f"{len(replicas[0].second_answers[False])}, and refusals: "
        f"{replicas[0].second_answers[True]}",
        f"answers to clients: {dict(collections.Counter(answers.values()))}",
        f"TWICE, run more than once: {twice}",
        f"REFUSED, refused and run: {ran_though_refused}",
    ]
    return record, bool(twice or ran_though_refused)


if __name__ == "__main__":
    sys.exit(runner.run(play, __file__, shown_lines=4))
