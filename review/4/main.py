"""A caller leaves its requests, some of which wait: are the requests of others still answered?"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig"))
import rig  # noqa: E402

HOST = "desk.example"
TIMEOUT_S, DEADLINE_S = 1.2, 8.0
LATE_AFTER_S = 0.5
MIN_LATE = 8
"""The rule of time-outs counts from eight requests on."""
STABLE_S = 6.0
PER_S, BURST_X, LAST_BURST_X, BURST_S = 40.0, 2.6, 2.3, 6.6
"""Requests of the callers that stay, in a second, and their bursts."""
BATCH, BATCH_INTERVAL_S, LEAVES_AFTER_S = 60, 1.35, 0.15
"""Requests that one more caller sends at once, to all instances together, in the first bursts."""
BURSTS, CALM_S = 6, 7.0


def configuration() -> dict:
    """Return the operator's configuration: one route, and one tenant without a quota."""
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
                "TimeoutMs": int(TIMEOUT_S * 1000),
                "GoalMs": 400,
                "Priority": 1,
                "MaxAttempts": 2,
                "Service": "desk",
            }
        ],
        "Tenants": [{"Name": "org-1", "ApiKeys": ["key-1"]}],
    }


class Traffic:
    """Callers that stay, and one with many requests that may leave."""

    def __init__(self, bed: rig.Testbed) -> None:
        self.bed = bed
        self.stays = rig.Caller(bed.record, HOST)
        self.leaves = rig.Caller(bed.record, HOST)
        self.tasks: set[asyncio.Task] = set()
        self.burst_x = 1.0

    def ask(self, caller: rig.Caller) -> None:
        """Send one request to any instance."""
        address = random.choice(self.bed.instances).front
        request = caller.ask(address, "fetch", "/fetch/1", DEADLINE_S, key="key-1")
        task = asyncio.ensure_future(request)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self) -> None:
        """Send the requests of the callers that stay, until cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(PER_S * self.burst_x))
            self.ask(self.stays)

    async def send_batches(self) -> None:
        """Send the batches of the other caller, which may leave them, until cancelled."""
        while True:
            for _ in range(BATCH):
                self.ask(self.leaves)
            await asyncio.sleep(LEAVES_AFTER_S)
            if rig.TROUBLE:
                requests = [answer for answer in self.leaves.answers if answer.open]
                self.leaves.leave(requests)
                self.bed.record.write(f"the caller leaves {len(requests)} requests")
            await asyncio.sleep(BATCH_INTERVAL_S - LEAVES_AFTER_S)


async def main() -> int:
    """Run the case."""
    async with rig.Testbed(__file__) as bed:
        bed.store.put("op/config", configuration())
        for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
            await bed.add_replica(f"i-{number}", "desk", zone, slots=2, queue=12, work_s=0.09)
        bed.add_instances(
            ["zone-a", "zone-b", "zone-c"],
            {"QuotaWindowS": 5, "QuotaOverage": 0.1, "QuotaSlack": 20},
        )
        if not await bed.start_instances():
            return rig.COULD_NOT_RUN
        traffic = Traffic(bed)
        sender = bed.background(traffic.send())
        await asyncio.sleep(STABLE_S + 1.0)
        for _ in range(BURSTS):
            traffic.burst_x = BURST_X
            batches = bed.background(traffic.send_batches())
            await asyncio.sleep(BURST_S)
            batches.cancel()
            traffic.burst_x = 1.0
            await asyncio.sleep(1.0)
        await asyncio.sleep(CALM_S)
        # The check covers a later burst, without the other caller.
        began_s = rig.now_s()
        traffic.burst_x = LAST_BURST_X
        await asyncio.sleep(BURST_S)
        traffic.burst_x = 1.0
        await asyncio.sleep(CALM_S)
        sender.cancel()
        await asyncio.gather(*traffic.tasks, return_exceptions=True)
        return judge(bed, traffic.stays.answers, began_s)


def judge(bed: rig.Testbed, answers: list[rig.Answer], began_s: float) -> int:
    """Apply the rule of time-outs to the requests whose callers have stayed."""
    overdue = late = 0
    for answer in answers:
        waited_s = answer.took_s
        if waited_s is None:
            waited_s = answer.left_s - answer.sent_s if answer.left_s is not None else 0.0
        if answer.sent_s < began_s or waited_s <= TIMEOUT_S:
            continue
        overdue += 1
        late += waited_s > TIMEOUT_S + LATE_AFTER_S
    bed.record.say(
        f"sent {len(answers)}, unanswered at the time-out {overdue}, half a second later {late}"
    )
    failures = sum(len(instance.log_lines("caller.failed")) for instance in bed.instances)
    bed.record.say(f"failures in the handler of callers: {failures}")
    broken = late >= MIN_LATE and late > overdue / 4
    bed.record.say("CONFIG is broken" if broken else "the rule held")
    return rig.BROKEN if broken else rig.HELD


if __name__ == "__main__":
    rig.run(main)
