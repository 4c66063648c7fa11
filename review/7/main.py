"""A process is killed while the store is down: are the quotas kept that it has to keep?"""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
import rig  # noqa: E402

HOST = "desk.example"
RATE_PER_S, BURST = 8.0, 8.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
LARGEST = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
STABLE_S = 6.0
USUAL_PER_S, HOT_X = 5.0, 7.5
"""The quota is 1.6 times what the tenant usually sends."""
DOWN_S, KILLED_AFTER_S, RESTART_DELAY_S, ENDS_AFTER_S = 4.5, 0.5, 0.3, 8.0


def configuration() -> dict:
    """Return the operator's configuration, with two tenants."""
    return {
        "Version": 3,
        "Limits": rig.LIMITS,
        "Services": [{"Name": "desk", "HealthPath": "/health", "MaxConns": 110}],
        "Routes": [
            {
                "Name": "fetch",
                "Host": HOST,
                "Prefix": "/fetch/",
                "RouteType": "idempotent",
                "TimeoutMs": 2500,
                "GoalMs": 400,
                "Priority": 1,
                "MaxAttempts": 2,
                "Service": "desk",
            }
        ],
        "Tenants": [
            {"Name": "org-1", "ApiKeys": ["key-1"], "RatePerS": RATE_PER_S, "Burst": BURST},
            {"Name": "org-2", "ApiKeys": ["key-2"], "RatePerS": RATE_PER_S, "Burst": BURST},
        ],
    }


async def kill(bed: rig.Testbed) -> None:
    """Let the store refuse all calls for a while; kill one process, and start it as usual."""
    if rig.TROUBLE:
        bed.store.is_down = True
        bed.record.write("the store is down")
    await asyncio.sleep(KILLED_AFTER_S)
    # By the names of the instances and of the tenant, this one keeps the tenant's tokens.
    killed = bed.instances[2]
    killed.signal(signal.SIGKILL)
    bed.record.write(f"{killed.name} is killed")
    await killed.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    await killed.start()
    bed.record.write(f"{killed.name} is started")
    await asyncio.sleep(DOWN_S - KILLED_AFTER_S - RESTART_DELAY_S)
    bed.store.is_down = False
    bed.record.write("the store is back")


async def main() -> int:
    """Run the case."""
    async with rig.Testbed(__file__) as bed:
        bed.store.put("op/config", configuration())
        for number, zone in enumerate(("zone-a", "zone-a", "zone-b", "zone-c")):
            await bed.add_replica(f"i-{number}", "desk", zone, slots=4, queue=12, work_s=0.02)
        bed.add_instances(
            ["zone-a"] * 3,
            {"QuotaWindowS": WINDOW_S, "QuotaOverage": OVERAGE, "QuotaSlack": SLACK},
        )
        if not await bed.start_instances():
            return rig.COULD_NOT_RUN
        await asyncio.sleep(STABLE_S)
        bed.background(kill(bed))
        caller = rig.Caller(bed.record, HOST)
        tasks = []
        until_s = rig.now_s() + ENDS_AFTER_S
        while rig.now_s() < until_s:
            await asyncio.sleep(random.expovariate(USUAL_PER_S * HOT_X))
            address = random.choice(bed.instances).front
            request = caller.ask(address, "fetch", "/fetch/1", 2.5, key="key-1")
            tasks.append(asyncio.ensure_future(request))
        await asyncio.gather(*tasks)
        return judge(bed, caller.answers)


def judge(bed: rig.Testbed, answers: list[rig.Answer]) -> int:
    """Count the requests that are sent and arrive within one window, in each window."""
    sent_s = {answer.request_id: answer.sent_s for answer in answers}
    runs: dict[str, float] = {}
    for replica in bed.replicas:
        for at_s, request_id, status in replica.arrivals:
            if status == 200:
                runs[request_id] = min(at_s, runs.get(request_id, at_s))
    spans = sorted((sent_s[request_id], at_s) for request_id, at_s in runs.items())
    most = max(
        sum(began_s >= first_s and at_s < first_s + WINDOW_S for began_s, at_s in spans)
        for first_s, _ in spans
    )
    bed.record.say(
        f"sent {len(answers)}, run {len(runs)}, most in a window {most} of {LARGEST:.0f}"
    )
    broken = most > LARGEST
    bed.record.say("QUOTA is broken" if broken else "the rule held")
    return rig.BROKEN if broken else rig.HELD


if __name__ == "__main__":
    rig.run(main)
