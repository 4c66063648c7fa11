"""Random concurrent faults from fixed seeds; all guarantees are checked at the end."""

from __future__ import annotations

import asyncio
import random
import signal

import pytest
from integration import conftest
from integration import test_at_most_once
from integration import test_rules

FAULT_STEPS = 10


class FaultInjector:
    """Injects random faults and keeps the actions that undo them."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.undo_actions = []

    async def inject_next(self):
        faults = [
            self.store_fault,
            self.lose_store_answers,
            self.freeze,
            self.kill,
            self.partition_one,
            self.reply_fault,
            self.drain,
            self.slow_targets,
        ]
        await self.rng.choice(faults)()
        await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        if self.undo_actions and self.rng.random() < 0.6:
            await self.undo_actions.pop(self.rng.randrange(len(self.undo_actions)))()

    async def undo_all(self):
        while self.undo_actions:
            await self.undo_actions.pop()()

    async def store_fault(self):
        field, value, normal_value = self.rng.choice(
            [("store_down", True, False), ("store_hangs", True, False), ("store_delay_ms", 150, 1)]
        )
        await self.fleet.control("platform", **{field: value})
        self.undo_actions.append(lambda: self.fleet.control("platform", **{field: normal_value}))

    async def lose_store_answers(self):
        await self.fleet.control("platform", lose_answers=self.rng.randrange(1, 5))

    async def freeze(self):
        daemon_name = self.rng.choice(["e2", "e3"])
        self.fleet.signal(daemon_name, signal.SIGSTOP)

        async def resume():
            self.fleet.signal(daemon_name, signal.SIGCONT)

        self.undo_actions.append(resume)

    async def kill(self):
        daemon_name = self.rng.choice(["e2", "e3"])
        self.fleet.signal(daemon_name, signal.SIGCONT)
        self.fleet.signal(daemon_name, signal.SIGKILL)
        await self.fleet.wait_exit(daemon_name)
        self.fleet.start_daemon(daemon_name)

    async def partition_one(self):
        daemon_name = self.rng.choice(["e2", "e3"])
        blocked_hosts = [
            daemon.host for daemon in self.fleet.daemons.values() if daemon.name != daemon_name
        ]
        await self.fleet.control(f"proxy/peers-{daemon_name}", blocked_sources=blocked_hosts)
        self.undo_actions.append(
            lambda: self.fleet.control(f"proxy/peers-{daemon_name}", blocked_sources=[])
        )

    async def reply_fault(self):
        target_name = self.rng.choice(list(self.fleet.targets))
        fault = self.rng.choice(["crossed", "truncated", "garbage", "die", "duplicated"])
        await self.fleet.control(target_name, reply_fault=fault, fault_share=0.5)
        self.undo_actions.append(lambda: self.fleet.control(target_name, reply_fault=""))

    async def drain(self):
        target_name = self.rng.choice(
            [target_name for target_name in self.fleet.targets if target_name.endswith("r1")]
        )
        await self.fleet.control(target_name, draining=True)

    async def slow_targets(self):
        target_name = self.rng.choice(list(self.fleet.targets))
        await self.fleet.control(target_name, service_ms=60.0)
        self.undo_actions.append(lambda: self.fleet.control(target_name, service_ms=4.0))


@pytest.mark.parametrize("seed", [11, 12, 13])
def test_promises_hold(run_scenario, seed):
    """
    Queries, billing requests and rule edits go on while store, instances, links and targets fail at
    random, several at a time and the same one repeatedly. No answer may be mixed or another
    query's, no refused request may have run, no bill may run twice, and accepted rules must be in
    force on every instance.
    """

    async def scenario(fleet):
        injector = FaultInjector(fleet, seed)
        answers, bills, keys, accepted_rules = [], [], [], []
        active = True

        async def send_queries(client_index):
            sent = 0
            while active:
                mark = f"{client_index}.{sent}"
                sent += 1
                daemon_name = list(fleet.daemons)[sent % 3]
                try:
                    async with asyncio.timeout(8):
                        status, answer = await fleet.query(
                            daemon_name, service="devis", body={"mark": mark}, deadline_ms=600
                        )
                    answers.append((mark, status, answer))
                except Exception:
                    await asyncio.sleep(0.05)  # killed or frozen: a missing answer is not wrong

        async def send_bills(client_index):
            sent = 0
            while active:
                key = conftest.new_idempotency_key(f"{client_index}.{sent}")
                sent += 1
                keys.append(key)
                for daemon_name in injector.rng.sample(list(fleet.daemons), 2):
                    try:
                        async with asyncio.timeout(8):
                            _, answer = await test_at_most_once.send_bill(fleet, daemon_name, key)
                        bills.append((key, answer))
                    except Exception:
                        await asyncio.sleep(0.05)

        async def edit_rules():
            edit_count = 0
            while active:
                edit_count += 1
                text = test_rules.rule(f"rule-{edit_count}")
                try:
                    async with asyncio.timeout(20):
                        _, answer = await test_rules.send_edit(fleet, "e1", "add", text=text)
                except Exception:
                    continue
                if answer["outcome"] == "accepted":
                    accepted_rules.append((f"rule-{edit_count}", answer["revision"]))
                await asyncio.sleep(0.3)

        tasks = [asyncio.create_task(send_queries(client_index)) for client_index in range(3)]
        tasks += [asyncio.create_task(send_bills(client_index)) for client_index in range(2)]
        tasks.append(asyncio.create_task(edit_rules()))
        for _ in range(FAULT_STEPS):
            await injector.inject_next()
        await injector.undo_all()
        for daemon_name in fleet.daemons:
            await fleet.wait_ready(daemon_name)
        active = False
        await asyncio.gather(*tasks)
        conftest.check_answers(fleet, answers)
        test_at_most_once.check_at_most_once(fleet, keys, bills)
        assert any(answer["outcome"] == "complete" for _, _, answer in answers)
        for daemon_name in fleet.daemons:
            for rule, _ in accepted_rules:
                assert (await test_rules.query_reason(fleet, daemon_name, rule))[0] == "rule_shut"
        _, history = await fleet.call_operators_api("e1", "GET", "/v1/rules/history?limit=64")
        revisions = [edit["revision"] for edit in history["edits"]]
        assert revisions == sorted(revisions, reverse=True)

    run_scenario(scenario, proxied=True)
