"""Non-repeatable requests run at most once, and callers are told correctly whether they ran."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest
from integration import test_rules


async def send_bill(fleet, daemon_name, key, **fields):
    fields = {"service": "billing", "body": {"bill": key}, "deadline_ms": 1500} | fields
    return await fleet.query(daemon_name, idempotency_key=key, **fields)


def check_at_most_once(fleet, keys, answers):
    """Check that no key ran twice, no refused key ran, and each complete answer has a run."""
    conftest.check_refusals(fleet, [answer for _, answer in answers])
    for key in keys:
        key_runs = conftest.runs(fleet, f'"{key}"')
        assert len(key_runs) <= 1, f"{key} ran {len(key_runs)} times instead of once at most"
        key_answers = [answer for answered_key, answer in answers if answered_key == key]
        if any(answer["outcome"] == "complete" for answer in key_answers):
            assert len(key_runs) == 1
        if key_answers and all(answer["outcome"] == "refused" for answer in key_answers):
            assert not key_runs, f"{key} was refused as not run, but ran: {key_answers}"


async def lose_answers(fleet):
    await fleet.control("platform", lose_answers=6)


async def slow_store(fleet):
    await fleet.control("platform", store_delay_ms=120.0)


async def store_outage(fleet):
    await fleet.control("platform", store_down=True)
    await asyncio.sleep(2.5)
    await fleet.control("platform", store_down=False)


async def store_hang(fleet):
    await fleet.control("platform", store_hangs=True)
    await asyncio.sleep(2.5)
    await fleet.control("platform", store_hangs=False)


async def freeze_one(fleet):
    fleet.signal("e2", signal.SIGSTOP)
    await asyncio.sleep(2.5)
    fleet.signal("e2", signal.SIGCONT)


async def replace_one(fleet):
    fleet.signal("e2", signal.SIGTERM)
    await fleet.wait_exit("e2")
    fleet.start_daemon("e2")
    await fleet.wait_ready("e2")


async def kill_one(fleet):
    fleet.signal("e2", signal.SIGKILL)
    await fleet.wait_exit("e2")
    fleet.start_daemon("e2")
    await fleet.wait_ready("e2")


async def store_returns(fleet):
    """Restore the store twice in a row from a backup without the latest claims and outcomes."""
    for writes in (4, 9):
        await fleet.control("platform", lose_writes=writes)
        await asyncio.sleep(0.4)


async def store_returns_beside_a_kill(fleet):
    """Restore a backup while an instance that knows what is lost is killed."""
    await fleet.control("platform", store_down=True)
    fleet.signal("e2", signal.SIGKILL)
    await fleet.wait_exit("e2")
    await fleet.control("platform", lose_writes=6, store_down=False)
    fleet.start_daemon("e2")
    await fleet.wait_ready("e2")


async def dying_targets(fleet):
    for name in fleet.targets:
        await fleet.control(name, reply_fault="die", fault_share=0.5)
    await asyncio.sleep(1)
    for name in fleet.targets:
        await fleet.control(name, reply_fault="")


@pytest.mark.parametrize(
    "fault",
    [
        lose_answers,
        slow_store,
        store_outage,
        store_hang,
        freeze_one,
        replace_one,
        kill_one,
        dying_targets,
        store_returns,
        store_returns_beside_a_kill,
    ],
)
def test_key_runs_once(run_scenario, fault):
    """
    Callers send billing requests and repeat each key at once on other instances, as if no answer
    had arrived. Meanwhile the store loses answers, hangs, is down or is restored from a backup, an
    instance is frozen, replaced or killed, or targets die after the work is done. A second run
    would bill twice; a request that ran but is reported as not run would be sent again under a new
    key.
    """

    async def scenario(fleet):
        answers, keys = [], []
        sending = True

        async def send_bills(caller_index):
            sent = 0
            while sending:
                key = conftest.new_idempotency_key(f"{caller_index}.{sent}")
                sent += 1
                keys.append(key)
                daemon_names = ["e1", "e3", "e2"][: 2 + sent % 2]
                requests = [send_bill(fleet, daemon_name, key) for daemon_name in daemon_names]
                for result in await asyncio.gather(*requests, return_exceptions=True):
                    # A killed or replaced instance closes its connections without an answer.
                    if not isinstance(result, Exception):
                        answers.append((key, result[1]))

        tasks = [asyncio.create_task(send_bills(caller_index)) for caller_index in range(4)]
        await asyncio.sleep(0.3)
        await fault(fleet)
        await asyncio.sleep(0.7)
        sending = False
        await asyncio.gather(*tasks)
        check_at_most_once(fleet, keys, answers)
        assert any(answer["outcome"] == "complete" for _, answer in answers)

    run_scenario(scenario)


def test_repeat_gets_recorded_outcome(run_scenario):
    """
    The answer to a billing request is lost. The caller repeats the key through another instance,
    and again after the first instance has died: each time it must get the outcome of the one run.
    """

    async def scenario(fleet):
        key = conftest.new_idempotency_key("kept")
        _, first = await send_bill(fleet, "e1", key)
        assert first["outcome"] == "complete"

        async def recorded_answer():
            _, answer = await send_bill(fleet, "e2", key)
            return answer["outcome"] == "complete" and answer

        repeated = await conftest.eventually(recorded_answer)
        assert repeated["results"] == first["results"]
        fleet.signal("e1", signal.SIGKILL)
        await fleet.wait_exit("e1")
        _, later = await send_bill(fleet, "e3", key)
        assert later["results"] == first["results"]
        assert len(conftest.runs(fleet, key)) == 1
        _, mismatched = await send_bill(fleet, "e3", key, body={"bill": "another"})
        assert (mismatched["outcome"], mismatched["reason"]) == ("refused", "key_mismatch")

    run_scenario(scenario)


def test_keys_that_ran_while_their_records_are_out_of_reach(run_scenario):
    """
    Billing requests have run and the answers are lost. Their records can't be read: the instance
    that has them is killed and the store hangs. Repeated at another instance, none may be refused
    as not run, as the caller would send it again under a new key.
    """

    async def scenario(fleet):
        keys = [conftest.new_idempotency_key(f"ran.{number}") for number in range(16)]
        for key in keys:
            _, answer = await send_bill(fleet, "e1", key)
            assert answer["outcome"] == "complete"
        await fleet.control("platform", store_hangs=True)
        fleet.signal("e1", signal.SIGKILL)
        answers = await asyncio.gather(*(send_bill(fleet, "e3", key) for key in keys))
        outcomes = {(answer["outcome"], answer.get("reason")) for _, answer in answers}
        assert "refused" not in {outcome for outcome, _ in outcomes}, outcomes
        assert ("failed", "key_unavailable") in outcomes
        assert all(answer.get("come_back_ms", 1) > 0 for _, answer in answers)
        assert len(conftest.runs(fleet, "ran.")) == len(keys)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("rule", "deadline_ms", "reason"), [("", 1, "no_time"), ("closed", 1500, "rule_shut")]
)
def test_a_key_that_ran_is_turned_away(run_scenario, rule, deadline_ms, reason):
    """
    A billing request has run and its answer is lost. Its repeat is turned away before its record is
    looked up; refused as not run, the caller would send it again under a new key.
    """

    async def scenario(fleet):
        key, caller = conftest.new_idempotency_key("ran"), rule or "tests"
        _, answer = await send_bill(fleet, "e1", key)
        assert answer["outcome"] == "complete"
        if rule:
            text = test_rules.rule(rule)
            _, edit = await test_rules.send_edit(fleet, "e1", "add", text=text)
            assert edit["outcome"] == "accepted"
        status, answer = await send_bill(fleet, "e3", key, deadline_ms=deadline_ms, caller=caller)
        assert (status, answer["outcome"], answer["ran"]) == (504, "failed", "maybe"), answer
        assert answer["reason"] == reason
        assert answer["come_back_ms"] > 0
        status, answer = await fleet.query(
            "e3", service="devis", body={}, deadline_ms=deadline_ms, caller=caller
        )
        assert (status, answer["outcome"], answer["reason"]) == (503, "refused", reason)

    run_scenario(scenario)


def test_outage_of_the_store_then_runs(run_scenario):
    """
    A billing request is sent while the store is down: whether its key has run can't be known, so it
    must not be refused as not run, and must not run. Repeated after the outage, its key must run
    exactly once, although the claim may be half written.
    """

    async def scenario(fleet):
        key = conftest.new_idempotency_key("outage")
        await fleet.control("platform", store_down=True)
        _, answer = await send_bill(fleet, "e1", key)
        assert (answer["outcome"], answer["ran"]) == ("failed", "maybe"), answer
        assert answer["come_back_ms"] > 0
        assert not conftest.runs(fleet, key)
        await fleet.control("platform", store_down=False)

        async def completed():
            _, repeated = await send_bill(fleet, "e2", key)
            return repeated["outcome"] == "complete"

        await conftest.eventually(completed)
        assert len(conftest.runs(fleet, key)) == 1

    run_scenario(scenario)
