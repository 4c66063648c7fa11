"""Requests under which every replica ends that runs them."""

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
SPREAD_S = 1.0
"""Time in which every instance is to know what others have seen."""
MOST_AFTER = 3
"""Attempts at the request that may reach replicas later than that after the third end."""


@contextlib.asynccontextmanager
async def service():
    """Run a store and two places for replicas of each service; yields them and what they ran."""
    store = standin_platform.Store()
    reached = []
    routes = [
        standin_platform.route("all", "/all/", Gather=SHARDS, TopK=2, MinCoverage=0.6),
        standin_platform.route("one", "/one/", Service="one"),
    ]
    services = [*SHARDS, "one"]
    places = [
        crashing_replica.ReplicaSlot(each, number, store, reached)
        for each in services
        for number in (0, 1)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for place in places:
            await stack.enter_async_context(place.running())
        address = await stack.enter_async_context(standin_platform.listening(store.handle))
        store.put("op/config", standin_platform.configuration(1, routes, services))
        yield address[1], places, reached


async def attempt(instance, path, request_id):
    """Ask once, as a caller with two seconds; the status, or none where there was no answer."""
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
    Every query over the shards failed in waves: all 40 replicas of a service ended within 0.2 s,
    came back after 3 s and ended again, eleven times in a minute. One request ended each replica
    that ran it: it went to all shards, each broken send was repeated at the shard's other replica,
    and its caller came back with it at other instances. Nothing told it from requests whose answer
    was lost, and no instance knew what the others had seen. What settled it here: all ends were
    under one content, and 9 of 9 later attempts reached replicas, at three instances in turn.
    """

    async def main():
        async with service() as (store_port, places, reached), contextlib.AsyncExitStack() as stack:
            instances = [entry_process.make(tmp_path, name, store_port) for name in INSTANCES]
            for each in instances:
                await each.start()
                stack.push_async_callback(each.process.wait)
                stack.callback(each.signal, signal.SIGKILL)
            for each in instances:
                await entry_process.until(lambda each=each: entry_process.ready(each))
                assert await attempt(each, b"/all/first", b"first") == 200
            numbers = iter(range(1000))
            ended = []
            async with asyncio.timeout(30):
                while sum(place.crashes for place in places) < 3:
                    number = next(numbers)
                    request_id = b"before-%d" % number
                    ended.append(await attempt(instances[number % 3], path, request_id))
                    await asyncio.sleep(0.2)
            third_s = sorted(each for each, _ in reached)[2]
            await asyncio.sleep(SPREAD_S + 2 * crashing_replica.RESTART_DELAY_S)
            for number in range(9):
                status = await attempt(instances[number % 3], path, b"after-%d" % number)
                ended.append(status)
                await asyncio.sleep(crashing_replica.RESTART_DELAY_S + 0.2)
            assert 200 not in ended
            later = {name for at_s, name in reached if at_s > third_s + SPREAD_S}
            assert len(later) <= MOST_AFTER
            await asyncio.sleep(2 * crashing_replica.RESTART_DELAY_S)
            for each in instances:
                assert await attempt(each, path.replace(b"lethal", b"other"), b"other") == 200

            told = await operator(instances[0], "quarantine")
            assert [each["verdict"] for each in json.loads(told.output)["requests"]] == [
                "quarantined"
            ]
            content = json.loads(told.output)["requests"][0]["content"]
            assert (await operator(instances[0], "lift", content)).exit_code == 0
            await entry_process.until(lambda: instances[2].lines("poison.verdict.allowed"))
            told = await operator(instances[2], "quarantine")
            assert json.loads(told.output)["requests"] == []

    asyncio.run(main())


async def operator(instance, *words):
    """Run the operators' client against an instance."""
    url = f"http://127.0.0.1:{instance.ports[3]}"
    command = ["--url", url, "--json", "entry", *words]
    return await asyncio.to_thread(testing.CliRunner().invoke, operators.application, command)
