"""A planned stop interrupts no request."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
from integration import conftest


@pytest.mark.parametrize("outage", [False, True])
def test_rolling_replacement(run_scenario, outage):
    """
    All instances are replaced one after the other while callers keep using each address for its
    lifetime. No caller may see a refused connection or a failed request; queued parts must go to
    the next owner. With the store down, a new instance must also get the rules from its peers.

    The output names the longest times for which the machine kept an instance from running.
    """

    async def scenario(fleet):
        answers = []
        async with conftest.traffic(
            fleet, answers, clients=6, resolve_addresses=True, deadline_ms=1500
        ) as waited_s:
            await asyncio.sleep(0.5)
            await fleet.control("platform", store_down=outage)
            for daemon_name in list(fleet.daemons):
                fleet.signal(daemon_name, signal.SIGTERM)
                assert await fleet.wait_exit(daemon_name) == 0
                fleet.start_daemon(daemon_name)
                await fleet.wait_ready(daemon_name)
        incomplete = [answer for _, _, answer in answers if answer["outcome"] != "complete"]
        print("longest waits for a processor, in s:", sorted(waited_s.values())[-5:])
        assert not incomplete, (
            f"{len(incomplete)} of {len(answers)} answers are incomplete: "
            f"{[(answer.get('reason'), answer) for answer in incomplete][:3]}"
        )
        conftest.check_answers(fleet, answers)

    run_scenario(scenario)


async def wait_until_closed(daemon):
    """Connect to a port for callers until it refuses; return when the last attempt began."""
    while True:
        began_at_s = time.monotonic()
        try:
            _, writer = await asyncio.open_connection(daemon.host, daemon.callers_port)
        except ConnectionError:
            return began_at_s
        writer.close()
        await asyncio.sleep(0.005)


def test_addresses_outlast_a_stop(run_scenario):
    """
    An instance of fourteen leaves. The others name it to callers until the gossip has reached them,
    and each address must stay valid for its lifetime. Its port was closed a fixed time after it
    left, which is enough for gossip among a few instances only.
    """

    async def scenario(fleet):
        valid_until_s = 0.0

        async def record_addresses(daemon_name):
            nonlocal valid_until_s
            while True:
                answer, requested_at_s = await conftest.request_addresses(fleet, daemon_name)
                if "e2" in {address["instance"] for address in answer["addresses"]}:
                    expires_at_s = requested_at_s + answer["lifetime_ms"] / 1000
                    valid_until_s = max(valid_until_s, expires_at_s)
                await asyncio.sleep(0.02)

        others = [name for name in fleet.daemons if name != "e2"]
        tasks = [asyncio.create_task(record_addresses(name)) for name in others]
        try:
            await asyncio.sleep(0.5)
            fleet.signal("e2", signal.SIGTERM)
            closed_at_s = await wait_until_closed(fleet.daemons["e2"])
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert await fleet.wait_exit("e2") == 0
        assert valid_until_s
        early_ms = 1000 * (valid_until_s - closed_at_s)
        assert early_ms < 0, f"refused {early_ms:.0f} ms before an address expired"

    run_scenario(scenario, daemons=14)


def test_stop_waits_for_running_request(run_scenario):
    """
    An instance is stopped while a request of more than a second runs through it. The caller must
    get its answer from the stopping instance.
    """

    async def scenario(fleet):
        for target_name in fleet.targets:
            await fleet.control(target_name, service_ms=1500.0, spread=0.0)
        bill = asyncio.create_task(
            fleet.query(
                "e2",
                service="billing",
                body={},
                idempotency_key=conftest.new_idempotency_key("slow"),
                deadline_ms=5000,
            )
        )
        await asyncio.sleep(0.3)
        fleet.signal("e2", signal.SIGTERM)
        status, answer = await bill
        assert (status, answer["outcome"]) == (200, "complete")
        assert await fleet.wait_exit("e2") == 0

    run_scenario(scenario)
