"""A request that may not be repeated runs at most once, and what callers hear of it is true."""

from __future__ import annotations

import asyncio
import signal

import pytest
from integration import conftest


async def ask(fleet, name, key, **fields):
    fields = {"service": "billing", "body": {"bill": key}, "deadline_ms": 1500} | fields
    return await fleet.query(name, idempotency_key=key, **fields)


def check_once(fleet, keys, answers):
    """No key ran twice; what was called not run did not; a result is the run's own."""
    conftest.check_refusals(fleet, [answer for _, answer in answers])
    for key in keys:
        ran = conftest.runs(fleet, f'"{key}"')
        assert len(ran) <= 1, f"{key} ran {len(ran)} times"
        heard = [answer for asked, answer in answers if asked == key]
        if any(answer["outcome"] == "complete" for answer in heard):
            assert len(ran) == 1
        if heard and all(answer["outcome"] == "refused" for answer in heard):
            assert not ran, f"{key} was called not run, but ran: {heard}"


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
    """Return twice in a row from a copy without the latest claims and outcomes."""
    for writes in (4, 9):
        await fleet.control("platform", lose_writes=writes)
        await asyncio.sleep(0.4)


async def store_returns_beside_a_kill(fleet):
    """Return from a copy while an instance that knows what is lost ends."""
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
def test_key_runs_once(play, fault):
    """
    The office sends bills, each with a key, and repeats a key at once on other instances, since
    it heard nothing yet. Meanwhile the store loses answers, hangs, is down or returns from a copy,
    an instance is frozen, replaced or killed, or targets die after the work is done. A second run
    bills a homeowner twice; a "not run" of a bill that ran makes the office send it under a new
    key.
    """

    async def scenario(fleet):
        answers, keys = [], []
        going = True

        async def office(number):
            count = 0
            while going:
                key = conftest.key(f"{number}.{count}")
                count += 1
                keys.append(key)
                names = ["e1", "e3", "e2"][: 2 + count % 2]
                asked = [ask(fleet, name, key) for name in names]
                for found in await asyncio.gather(*asked, return_exceptions=True):
                    # An instance that is killed or replaced ends connections: no answer.
                    if not isinstance(found, Exception):
                        answers.append((key, found[1]))

        tasks = [asyncio.create_task(office(number)) for number in range(4)]
        await asyncio.sleep(0.3)
        await fault(fleet)
        await asyncio.sleep(0.7)
        going = False
        await asyncio.gather(*tasks)
        check_once(fleet, keys, answers)
        assert any(answer["outcome"] == "complete" for _, answer in answers)

    play(scenario)


def test_repeat_gets_recorded_outcome(play):
    """
    The answer to a bill is lost on its way. The office repeats the key through another instance,
    later again after the first instance is gone: each time the outcome of the one run comes back.
    """

    async def scenario(fleet):
        key = conftest.key("kept")
        _, first = await ask(fleet, "e1", key)
        assert first["outcome"] == "complete"

        async def recorded():
            _, answer = await ask(fleet, "e2", key)
            return answer["outcome"] == "complete" and answer

        again = await conftest.eventually(recorded)
        assert again["results"] == first["results"]
        fleet.signal("e1", signal.SIGKILL)
        await fleet.wait_exit("e1")
        _, later = await ask(fleet, "e3", key)
        assert later["results"] == first["results"]
        assert len(conftest.runs(fleet, key)) == 1
        _, other = await ask(fleet, "e3", key, body={"bill": "another"})
        assert (other["outcome"], other["reason"]) == ("refused", "key_mismatch")

    play(scenario)


def test_refused_in_outage_then_runs(play):
    """
    The store is down when a bill is sent: it is refused, "not run". After the outage the office
    repeats the key, and now it has to run, once, although the claim may have been half made.
    """

    async def scenario(fleet):
        key = conftest.key("outage")
        await fleet.control("platform", store_down=True)
        _, answer = await ask(fleet, "e1", key)
        assert answer["outcome"] == "refused", answer
        assert answer["come_back_ms"] > 0
        await fleet.control("platform", store_down=False)

        async def done():
            _, found = await ask(fleet, "e2", key)
            return found["outcome"] == "complete"

        await conftest.eventually(done)
        assert len(conftest.runs(fleet, key)) == 1

    play(scenario)
