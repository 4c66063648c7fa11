"""A tenant's quota is lowered by mistake and restored: is its burst granted a second time?"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
import rig  # noqa: E402

HOST = "desk.example"
RATE_PER_S, BURST = 16.0, 80.0
LOWERED_RATE_PER_S, LOWERED_BURST = 1.6, 8.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
LARGEST = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
STABLE_S = 6.0
USUAL_PER_S, HOT_X = 10.0, 7.5
"""The quota is 1.6 times what the tenant usually sends."""
LOWERED_AFTER_S, RESTORED_AFTER_S, ENDS_AFTER_S = 2.0, 3.2, 10.0


def configuration(version: int, rate_per_s: float, burst: float) -> dict:
    """Return the operator's configuration, with one tenant."""
    return {
        "Version": version,
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
            {"Name": "org-1", "ApiKeys": ["key-1"], "RatePerS": rate_per_s, "Burst": burst}
        ],
    }


async def change(bed: rig.Testbed) -> None:
    """Lower the tenant's quota, and restore it a little later."""
    await asyncio.sleep(LOWERED_AFTER_S)
    bed.store.put("op/config", configuration(5, LOWERED_RATE_PER_S, LOWERED_BURST))
    bed.record.write("the store accepts version 5, with a lowered quota")
    await asyncio.sleep(RESTORED_AFTER_S - LOWERED_AFTER_S)
    bed.store.put("op/config", configuration(8, RATE_PER_S, BURST))
    bed.record.write("the store accepts version 8, with the first quota again")


async def main() -> int:
    """Run the case."""
    async with rig.Testbed(__file__) as bed:
        bed.store.put("op/config", configuration(3, RATE_PER_S, BURST))
        for number, zone in enumerate(("zone-a", "zone-a", "zone-b", "zone-c")):
            await bed.add_replica(f"i-{number}", "desk", zone, slots=4, queue=12, work_s=0.02)
        bed.add_instances(
            ["zone-a", "zone-b", "zone-c"],
            {"QuotaWindowS": WINDOW_S, "QuotaOverage": OVERAGE, "QuotaSlack": SLACK},
        )
        if not await bed.start_instances():
            return rig.COULD_NOT_RUN
        await asyncio.sleep(STABLE_S)
        if rig.TROUBLE:
            bed.background(change(bed))
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
