"""Requests that crash every replica that runs them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal

import crashing_replica
import entry_process
import pytest
import standin_platform
from typer import testing

from turmericlug.http1 import client
from turmericlug.operators import client as operators

SHARDS = ["s0", "s1", "s2", "s3", "s4"]
INSTANCES = ["e-1", "e-2", "e-3"]
PROPAGATION_S = 1.0
"""Time within which every instance must know what the others have observed."""
MAX_LATER_ATTEMPTS = 3
"""Attempts that may reach replicas more than ``PROPAGATION_S`` after the third crash."""


@contextlib.asynccontextmanager
async def platform():
    """Run a store and two replica slots per service; yield port, slots and lethal attempts."""
    store = standin_platform.Store()
    lethal_attempts = []
    routes = [
        standin_platform.route("all", "/all/", Gather=SHARDS, TopK=2, MinCoverage=0.6),
        standin_platform.route("one", "/one/", Service="one"),
    ]
    services = [*SHARDS, "one"]
    slots = [
        crashing_replica.ReplicaSlot(service, number, store, lethal_attempts)
        for service in services
        for number in (0, 1)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for slot in slots:
            await stack.enter_async_context(slot.running())
        address = await stack.enter_async_context(standin_platform.listening(store.handle))
        store.put("op/config", standin_platform.configuration(1, routes, services))
        yield address[1], slots, lethal_attempts


async def send_request(instance, path, request_id):
    """Send one request with a two-second deadline; return the status, or ``None`` if none came."""
    try:
        headers = [(b"x-deadline-ms", b"2000")]
        async with asyncio.timeout(5):
            answer = await entry_process.ask(instance.ports[0], path, request_id, headers)
    except (client.ExchangeError, client.ConnectError):
        return None
    return answer.status


@pytest.mark.parametrize("path", [b"/all/lethal", b"/one/lethal"], ids=["shards", "service"])
def test_a_request_that_ends_replicas_is_not_sent_on_for_ever(tmp_path, path):
    """
    Every query over the shards failed in waves: all 40 replicas of a service crashed within 0.2 s,
    came back after 3 s and crashed again, eleven times in a minute. One request crashed each
    replica that ran it: it went to all shards, each lost send was repeated at the shard's other
    replica, and its caller repeated it at other instances. Nothing distinguished it from requests
    whose answer was lost, and no instance knew what the others had observed. Before the fix this
    test showed that all crashes came from one request content and that 9 of 9 later attempts
    reached replicas, at three instances in turn.
    """

    async def main():
        async with (
            platform() as (store_port, slots, lethal_attempts),
            contextlib.AsyncExitStack() as stack,
        ):
            instances = [entry_process.make(tmp_path, name, store_port) for name in INSTANCES]
            for instance in instances:
                await instance.start()
                stack.push_async_callback(instance.process.wait)
                stack.callback(instance.signal, signal.SIGKILL)
            for instance in instances:
                await entry_process.until(lambda instance=instance: entry_process.ready(instance))
                assert await send_request(instance, b"/all/first", b"first") == 200
            numbers = iter(range(1000))
            statuses = []
            async with asyncio.timeout(30):
                while sum(slot.crashes for slot in slots) < 3:
                    number = next(numbers)
                    request_id = b"before-%d" % number
                    statuses.append(await send_request(instances[number % 3], path, request_id))
                    await asyncio.sleep(0.2)
            third_crash_s = sorted(at_s for at_s, _ in lethal_attempts)[2]
            await asyncio.sleep(PROPAGATION_S + 2 * crashing_replica.RESTART_DELAY_S)
            for number in range(9):
                status = await send_request(instances[number % 3], path, b"after-%d" % number)
                statuses.append(status)
                await asyncio.sleep(crashing_replica.RESTART_DELAY_S + 0.2)
            assert 200 not in statuses
            later_request_ids = {
                request_id
                for at_s, request_id in lethal_attempts
                if at_s > third_crash_s + PROPAGATION_S
            }
            assert len(later_request_ids) <= MAX_LATER_ATTEMPTS
            await asyncio.sleep(2 * crashing_replica.RESTART_DELAY_S)
            for instance in instances:
                assert (
                    await send_request(instance, path.replace(b"lethal", b"other"), b"other") == 200
                )

            cli_result = await run_operator_cli(instances[0], "quarantine")
            assert [
                request["verdict"] for request in json.loads(cli_result.output)["requests"]
            ] == ["quarantined"]
            content = json.loads(cli_result.output)["requests"][0]["content"]
            assert (await run_operator_cli(instances[0], "lift", content)).exit_code == 0
            await entry_process.until(lambda: instances[2].lines("poison.verdict.allowed"))
            cli_result = await run_operator_cli(instances[2], "quarantine")
            assert json.loads(cli_result.output)["requests"] == []

    asyncio.run(main())


async def run_operator_cli(instance, *words):
    """Run the operators' client against an instance."""
    url = f"http://127.0.0.1:{instance.ports[3]}"
    command = ["--url", url, "--json", "entry", *words]
    return await asyncio.to_thread(testing.CliRunner().invoke, operators.application, command)
