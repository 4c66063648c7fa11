"""Random faults, two and more at once, from fixed seeds; every promise checked at the end."""

from __future__ import annotations

import asyncio
import random
import signal

import pytest
from integration import conftest
from integration import test_at_most_once
from integration import test_rules

STEPS = 10


class Chaos:
    """Draws faults; each is undone before the end."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.undo = []

    async def step(self):
        faults = [
            self.store_trouble,
            self.lose,
            self.freeze,
            self.kill,
            self.cut_one,
            self.reply_fault,
            self.drain,
            self.slow_targets,
        ]
        await self.rng.choice(faults)()
        await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if self.undo and self.rng.random() < 0.6:
            await self.undo.pop(self.rng.randrange(len(self.undo)))()

    async def heal(self):
        while self.undo:
            await self.undo.pop()()

    async def store_trouble(self):
        key, value, calm = self.rng.choice(
            [("store_down", True, False), ("store_hangs", True, False), ("store_delay_ms", 150, 1)]
        )
        await self.fleet.control("platform", **{key: value})
        self.undo.append(lambda: self.fleet.control("platform", **{key: calm}))

    async def lose(self):
        await self.fleet.control("platform", lose_answers=self.rng.randrange(1, 5))

    async def freeze(self):
        name = self.rng.choice(["e2", "e3"])
        self.fleet.signal(name, signal.SIGSTOP)

        async def thaw():
            self.fleet.signal(name, signal.SIGCONT)

        self.undo.append(thaw)

    async def kill(self):
        name = self.rng.choice(["e2", "e3"])
        self.fleet.signal(name, signal.SIGCONT)
        self.fleet.signal(name, signal.SIGKILL)
        await self.fleet.wait_exit(name)
        self.fleet.start_daemon(name)

    async def cut_one(self):
        name = self.rng.choice(["e2", "e3"])
        hosts = [each.host for each in self.fleet.daemons.values() if each.name != name]
        await self.fleet.control(f"proxy/peers-{name}", blocked_sources=hosts)
        self.undo.append(lambda: self.fleet.control(f"proxy/peers-{name}", blocked_sources=[]))

    async def reply_fault(self):
        name = self.rng.choice(list(self.fleet.targets))
        fault = self.rng.choice(["crossed", "truncated", "garbage", "die", "duplicated"])
        await self.fleet.control(name, reply_fault=fault, fault_share=0.5)
        self.undo.append(lambda: self.fleet.control(name, reply_fault=""))

    async def drain(self):
        name = self.rng.choice([name for name in self.fleet.targets if name.endswith("r1")])
        await self.fleet.control(name, draining=True)

    async def slow_targets(self):
        name = self.rng.choice(list(self.fleet.targets))
        await self.fleet.control(name, service_ms=60.0)
        self.undo.append(lambda: self.fleet.control(name, service_ms=4.0))


@pytest.mark.parametrize("seed", [11, 12, 13])
def test_promises_hold(play, seed):
    """
    Quotes, bills and rule edits go on while stores, instances, links and targets fail at random,
    several at a time and the same one twice. No answer is mixed or somebody else's, no refusal is
    a lie, no bill runs twice, and rules that were accepted are in force on every instance.
    """

    async def scenario(fleet):
        chaos = Chaos(fleet, seed)
        answers, bills, keys, accepted = [], [], [], []
        going = True

        async def quotes(number):
            count = 0
            while going:
                mark = f"{number}.{count}"
                count += 1
                name = list(fleet.daemons)[count % 3]
                try:
                    async with asyncio.timeout(8):
                        status, answer = await fleet.query(
                            name, service="devis", body={"mark": mark}, deadline_ms=600
                        )
                    answers.append((mark, status, answer))
                except Exception:
                    await asyncio.sleep(0.05)  # killed or frozen: no answer is not a false one

        async def office(number):
            count = 0
            while going:
                key = conftest.key(f"{number}.{count}")
                count += 1
                keys.append(key)
                for name in chaos.rng.sample(list(fleet.daemons), 2):
                    try:
                        async with asyncio.timeout(8):
                            _, answer = await test_at_most_once.ask(fleet, name, key)
                        bills.append((key, answer))
                    except Exception:
                        await asyncio.sleep(0.05)

        async def operator():
            count = 0
            while going:
                count += 1
                text = test_rules.rule(f"rule-{count}")
                try:
                    async with asyncio.timeout(20):
                        _, answer = await test_rules.edit(fleet, "e1", "add", text=text)
                except Exception:
                    continue
                if answer["outcome"] == "accepted":
                    accepted.append((f"rule-{count}", answer["revision"]))
                await asyncio.sleep(0.3)

        tasks = [asyncio.create_task(quotes(number)) for number in range(3)]
        tasks += [asyncio.create_task(office(number)) for number in range(2)]
        tasks.append(asyncio.create_task(operator()))
        for _ in range(STEPS):
            await chaos.step()
        await chaos.heal()
        for name in fleet.daemons:
            await fleet.wait_ready(name)
        going = False
        await asyncio.gather(*tasks)
        conftest.check_honest(fleet, answers)
        test_at_most_once.check_once(fleet, keys, bills)
        assert any(answer["outcome"] == "complete" for _, _, answer in answers)
        for name in fleet.daemons:
            for rule, _ in accepted:
                assert (await test_rules.reason_of(fleet, name, rule))[0] == "rule_shut"
        _, history = await fleet.call_operators_api("e1", "GET", "/v1/rules/history?limit=64")
        revisions = [edit["revision"] for edit in history["edits"]]
        assert revisions == sorted(revisions, reverse=True)

    play(scenario, proxied=True)
