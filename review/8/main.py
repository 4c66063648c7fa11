"""A tenant's keys are taken away while one machine is cut from the store: is its quota kept?"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
import rig  # noqa: E402

HOST = "desk.example"
RATE_PER_S, BURST = 8.0, 8.0
WINDOW_S, OVERAGE, SLACK = 5.0, 0.1, 20.0
LARGEST = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
STABLE_S = 6.0
USUAL_PER_S, HOT_X = 8.0, 7.5
REVOKED_AFTER_S, CUT_S, ENDS_AFTER_S = 1.0, 5.5, 10.0


def configuration(version: int, keys: list[str]) -> dict:
    """Return the operator's configuration, with two tenants."""
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
            {"Name": "org-1", "ApiKeys": keys, "RatePerS": RATE_PER_S, "Burst": BURST},
            {"Name": "org-2", "ApiKeys": ["key-2"], "RatePerS": RATE_PER_S, "Burst": BURST},
        ],
    }


async def cut_and_revoke(bed: rig.Testbed, proxy: rig.Proxy) -> None:
    """Cut one machine from the store for a while; take a tenant's keys away at once."""
    if rig.TROUBLE:
        proxy.cut()
        bed.record.write(f"{bed.instances[0].name} is cut from the store")
    await asyncio.sleep(REVOKED_AFTER_S)
    bed.store.put("op/config", configuration(5, []))
    bed.record.write("the store accepts version 5, without the tenant's keys")
    await asyncio.sleep(CUT_S - REVOKED_AFTER_S)
    proxy.heal()
    bed.record.write("the cut has healed")


async def main() -> int:
    """Run the case."""
    async with rig.Testbed(__file__) as bed:
        bed.store.put("op/config", configuration(3, ["key-1"]))
        for number, zone in enumerate(("zone-a", "zone-a", "zone-b", "zone-c")):
            await bed.add_replica(f"i-{number}", "desk", zone, slots=4, queue=12, work_s=0.02)
        bed.add_instances(
            ["zone-a"] * 3,
            {"QuotaWindowS": WINDOW_S, "QuotaOverage": OVERAGE, "QuotaSlack": SLACK},
        )
        proxy = rig.Proxy(bed.store.address)
        await proxy.listen()
        bed.instances[0].fields["platform"] = {"Address": proxy.address}
        if not await bed.start_instances():
            return rig.COULD_NOT_RUN
        await asyncio.sleep(STABLE_S)
        bed.background(cut_and_revoke(bed, proxy))
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
    bed.record.say(f"sent {len(answers)}, run {len(runs)}, most in a window {most} of {LARGEST:.0f}")
    broken = most > LARGEST
    bed.record.say("QUOTA is broken" if broken else "the rule held")
    return rig.BROKEN if broken else rig.HELD


if __name__ == "__main__":
    rig.run(main)
