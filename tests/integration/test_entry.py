"""Real entry instances against the stand-in platform."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import signal

import entry_process
import pytest
import standin_platform
from typer import testing

from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.operators import client as operators
from turmericlug.operators import trace

SHARDS = ["s0", "s1", "s2"]


@contextlib.asynccontextmanager
async def platform():
    """Run a store and two replicas of each service; yield both and the store's port."""
    store = standin_platform.Store()
    replicas = {}
    async with contextlib.AsyncExitStack() as stack:
        for service in [*SHARDS, "one"]:
            for number in range(2):
                name = f"i-{service}-{number}"
                body = bytes(15) + bytes([len(replicas)])
                replica = standin_platform.Replica(name, service, body)
                replica.address = await stack.enter_async_context(
                    standin_platform.listening(replica.handle)
                )
                replicas[name] = replica
                store.put(f"servers/{name}", replica.entry())
        address = await stack.enter_async_context(standin_platform.listening(store.handle))
        configure(store, 1)
        yield store, replicas, address[1]


def configure(store, version, extra_routes=()):
    """Write a version of the configuration."""
    routes = [
        standin_platform.route("all", "/all/", Gather=SHARDS, TopK=2, MinCoverage=0.6),
        standin_platform.route("any", "/any/", Gather=SHARDS, TopK=2, MinCoverage=0.3),
        standin_platform.route("one", "/one/", Service="one", RouteType="non_idempotent"),
        *extra_routes,
    ]
    services = [*SHARDS, "one"]
    store.put("op/config", standin_platform.configuration(version, routes, services))


@contextlib.asynccontextmanager
async def running_instance(tmp_path, store_port, name="e-1", grace_s=3.0, more_settings=""):
    """Run an instance until the block ends."""
    instance = entry_process.make(tmp_path, name, store_port, grace_s=grace_s)
    with instance.settings.open("a") as settings:
        settings.write(more_settings)
    await instance.start()
    try:
        yield instance
    finally:
        await kill(instance)


async def kill(instance):
    """Kill an instance."""
    instance.signal(signal.SIGKILL)
    await instance.process.wait()


def run_scenario(tmp_path, scenario, **instance_options):
    """Run a scenario with one instance."""

    async def main():
        async with platform() as (store, replicas, store_port):
            async with running_instance(tmp_path, store_port, **instance_options) as instance:
                await entry_process.until(lambda: entry_process.ready(instance))
                async with asyncio.timeout(60):
                    await scenario(store, replicas, instance)

    asyncio.run(main())


def test_the_whole_path(tmp_path):
    async def scenario(store, replicas, instance):
        answer = await entry_process.ask(
            instance.ports[0], b"/all/1", b"q1", [(b"x-deadline-ms", b"2000")]
        )
        assert answer.status == 200
        assert len(answer.header(b"x-part-stamps").split(b", ")) == 3
        assert answer.header(b"x-missing-parts") == b"0"
        assert len(answer.body) == 32
        answer = await entry_process.ask(
            instance.ports[0], b"/one/1", b"q2", method=b"POST", body=b"voucher"
        )
        assert answer.status == 200
        assert sum(replica.runs.count(b"q2") for replica in replicas.values()) == 1
        assert (await entry_process.ask(instance.ports[0], b"/none/", b"q3")).status == 404
        await entry_process.until(lambda: any(key.endswith("/e-1") for key in store.items))
        target = b"/turmericlug/resolve?Name=h.example&Region=r-1&Zone=dc-1"
        directory_answer = json.loads(
            (await entry_process.ask(instance.ports[2], target, b"r")).body
        )
        assert directory_answer["addrs"] == [f"127.0.0.1:{instance.ports[0]}"]
        metrics = await entry_process.ask(instance.ports[3], b"/metrics", b"m")
        assert b"turmericlug_entry_answered 2" in metrics.body

    run_scenario(tmp_path, scenario)


def test_the_capacity_is_published(tmp_path):
    """Guards against weights that have no effect because no instance publishes its capacity."""

    async def scenario(store, replicas, instance):
        key = "turmericlug/instances/e-1"
        await entry_process.until(lambda: key in store.items)
        content = json.loads(base64.b64decode(store.items[key]["Value"]))
        assert content["capacity"] == 0.516

    resources = "cpu_share = 0.43\ncpu_cores = 1.2\nmemory_mb = 200\nlink_mbps = 10\n"
    run_scenario(tmp_path, scenario, more_settings=f"[capacity]\n{resources}")


def test_callers_are_told_the_large_machines(tmp_path):
    """
    Guards against instances that disagree on the weights, and against losing queries where machines
    differ.
    """
    cores = {"e-1": 2.0, "e-2": 0.5, "e-3": 2.0}

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            _, replicas, store_port = await stack.enter_async_context(platform())
            instances = {}
            for name, speed in cores.items():
                instances[name] = await stack.enter_async_context(
                    running_instance(
                        tmp_path,
                        store_port,
                        name,
                        more_settings=f"[capacity]\ncpu_share = 1\ncpu_cores = {speed}\n",
                    )
                )
            large = sorted(
                f"127.0.0.1:{instances[name].ports[0]}" for name in cores if cores[name] == 2.0
            )
            target = b"/turmericlug/resolve?Name=h.example&Region=r-1&Zone=dc-1"

            async def told(instance):
                answer = await entry_process.ask(instance.ports[2], target, b"r")
                return answer.status == 200 and sorted(json.loads(answer.body)["addrs"])

            async def is_known():
                return [await told(instance) for instance in instances.values()] == [large] * 3

            for instance in instances.values():
                await entry_process.until(lambda: entry_process.ready(instance))  # noqa: B023
            await entry_process.until(is_known)
            for name, instance in instances.items():
                answer = await entry_process.ask(
                    instance.ports[0], b"/all/1", name.encode(), [(b"x-deadline-ms", b"2000")]
                )
                assert (answer.status, answer.header(b"x-missing-parts")) == (200, b"0")

    asyncio.run(main())


def test_a_new_configuration_is_in_force_at_once_and_through_lost_history(tmp_path):
    """
    The operator adds a route while the store drops its history. If the instance only followed
    single changes, it would refuse the new route's callers for ever.
    """

    async def scenario(store, replicas, instance):
        async def served(path):
            return (await entry_process.ask(instance.ports[0], path, b"q")).status == 200

        for version, prefix in ((2, "/new/"), (3, "/newer/")):
            configure(store, version, [standin_platform.route("n", prefix, Service="s0")])
            store.forget_history()
            await entry_process.until(lambda: served(prefix.encode()))  # noqa: B023
        assert not await served(b"/new/")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("arguments", "exit_code", "expected_texts"),
    [
        (["status"], 0, ["e-1: ready, configuration version 1", "8 in use"]),
        (["explain", "h.example", "/all/1"], 0, ["route all, prefix /all/", "i-s2-1"]),
        (["explain", "h.example", "/none/1"], 1, ["no route matches"]),
        (["organisations"], 0, ["the configuration names no organisations"]),
    ],
    ids=["status", "explain", "no route", "organisations"],
)
def test_an_operator_asks_a_running_instance(tmp_path, arguments, exit_code, expected_texts):
    async def scenario(store, replicas, instance):
        url = f"http://127.0.0.1:{instance.ports[3]}"
        command = ["--url", url, "entry", *arguments]
        runner = testing.CliRunner()
        result = await asyncio.to_thread(runner.invoke, operators.application, command)
        assert result.exit_code == exit_code
        for text in expected_texts:
            assert text in result.output

    run_scenario(tmp_path, scenario)


def test_an_address_that_was_taken_over_gets_nothing(tmp_path):
    """
    A replica ends, and another service's replica starts at its address before the entry is removed.
    Without the expected instance in the request, the wrong service would run it.
    """

    async def scenario(store, replicas, instance):
        replaced_replica = replicas["i-one-0"]
        replaced_replica.instance = "i-other"
        for number in range(6):
            answer = await entry_process.ask(
                instance.ports[0], b"/one/1", b"q%d" % number, method=b"POST"
            )
            assert answer.status == 200
        assert not replaced_replica.runs

    run_scenario(tmp_path, scenario)


def test_a_lost_answer_to_a_request_that_must_not_run_twice(tmp_path):
    """
    Every replica runs a request that must not run twice and loses the answer. The caller must not
    be told that it did not run, and no second replica may get it.
    """

    async def scenario(store, replicas, instance):
        async def lose_answer(request):
            replica = next(replica for replica in replicas.values() if replica.service == "one")
            replica.runs.append(request.header(b"x-request-id"))
            return messages.Response(200, ((b"x-request-id", b"other"),), b"x")

        for replica in replicas.values():
            replica.script = lose_answer
        answer = await entry_process.ask(instance.ports[0], b"/one/1", b"q1", method=b"POST")
        assert answer.status == 502
        assert sum(replica.runs.count(b"q1") for replica in replicas.values()) == 1

    run_scenario(tmp_path, scenario)


def test_a_planned_stop_cuts_no_request(tmp_path):
    """
    An instance gets SIGTERM while callers keep their connections and send requests. Each request
    that it has read must be answered, the answers must close the connections, and directory and
    readiness must drop the instance at once.
    """

    async def scenario(store, replicas, instance):
        for replica in replicas.values():
            replica.delay_s = 0.05
        await entry_process.until(lambda: any(key.endswith("/e-1") for key in store.items))
        connection = await client.connect("127.0.0.1", instance.ports[0])
        request = client.request_bytes(
            b"GET", b"/all/1", [(b"host", b"h.example"), (b"x-request-id", b"q1")], b""
        )
        pending = asyncio.create_task(connection.exchange(request))
        await asyncio.sleep(0.02)
        instance.process.send_signal(signal.SIGTERM)
        answer = await pending
        assert answer.status == 200
        await entry_process.until(lambda: not any(key.endswith("/e-1") for key in store.items))
        assert not await entry_process.ready(instance)
        late_answer = await entry_process.ask(instance.ports[0], b"/all/1", b"q2")
        assert late_answer.status == 200
        assert late_answer.header(b"connection") == b"close"
        assert await instance.process.wait() == 0
        assert instance.lines("instance.stopped")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("signaled", [True, False])
def test_changed_settings_are_in_force_without_a_start(tmp_path, signaled):
    """
    The grace period is shortened in the settings of a running instance, with or without SIGHUP. The
    instance must leave within the new period, or the platform cuts off the requests that it still
    answers.
    """

    async def scenario(store, replicas, instance):
        instance.settings.write_text(
            instance.settings.read_text().replace("grace_s = 3.0", "grace_s = 1.25")
        )
        if signaled:
            instance.signal(signal.SIGHUP)
        await entry_process.until(lambda: instance.lines("instance.reloaded"))
        (line,) = instance.lines("instance.reloaded")
        assert (line["in_force"], line["at_next_start"]) == ({"grace_s": 1.25}, [])
        instance.signal(signal.SIGTERM)
        await instance.process.wait()
        (line,) = instance.lines("instance.leaving")
        assert line["grace_s"] == 1.25

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_the_store_goes_away_and_comes_back(tmp_path, fault):
    """
    The store is away for some seconds and all leases expire, so that every replica seems gone for a
    moment when it returns. Callers must be served throughout.
    """

    async def scenario(store, replicas, instance):
        async def served():
            return (await entry_process.ask(instance.ports[0], b"/all/1", b"q")).status == 200

        store.fault = fault
        await entry_process.until(lambda: instance.lines("source.lost"))
        for name in replicas:
            store.remove(f"servers/{name}")
        assert await served()
        store.fault = None
        await entry_process.until(lambda: instance.lines("source.regained"))
        assert await served()
        for name, replica in replicas.items():
            store.put(f"servers/{name}", replica.entry())
        await asyncio.sleep(2.5)
        assert await served()

    run_scenario(tmp_path, scenario)


async def _shed(request):
    return messages.Response(503, ((b"x-not-executed", b"1"),))


async def _failing(request):
    headers = ((b"x-server-stamp", b"s"), (b"x-request-id", request.header(b"x-request-id")))
    return messages.Response(500, headers)


async def _hanging(request):
    await asyncio.sleep(30)


@pytest.mark.parametrize(
    ("script", "target", "status", "outcome", "cause"),
    [
        (_shed, b"/one/1", 503, "refused", "shed"),
        # One shard is enough here: the query is refused only once all shards have refused.
        (_shed, b"/any/1", 503, "refused", "shed"),
        (_failing, b"/one/1", 500, "failed", "replica_status_500"),
        (_failing, b"/all/1", 502, "failed", "replica_status_500"),
        (_hanging, b"/one/1", 504, "failed", "silent"),
        (_hanging, b"/all/1", 504, "failed", "not in time"),
    ],
)
def test_the_log_names_the_injected_fault(tmp_path, script, target, status, outcome, cause):
    """
    A caller complains about one request, and the on-call engineer has only its id and the logs. A
    trace of the log lines must end at the injected fault.
    """

    async def scenario(store, replicas, instance):
        for replica in replicas.values():
            replica.script = script
        answer = await entry_process.ask(
            instance.ports[0], target, b"q1", [(b"x-deadline-ms", b"900")]
        )
        assert answer.status == status
        await entry_process.until(lambda: _traced(instance).outcome == outcome)
        assert cause in _traced(instance).cause
        assert "configuration version 1" in _traced(instance).known_state[0]

    run_scenario(tmp_path, scenario)


def _traced(instance):
    return trace.trace(trace.parse(instance.log.read_text().splitlines()), "q1")


def test_the_log_names_a_lost_instance(tmp_path):
    """
    An instance is killed with a request in flight and restarted. The log lines of the request do
    not show it; the start without a stop does.
    """

    async def main():
        async with platform() as (_, replicas, store_port):
            for replica in replicas.values():
                replica.delay_s = 30.0
            async with running_instance(tmp_path, store_port) as instance:
                await entry_process.until(lambda: entry_process.ready(instance))
                request = asyncio.create_task(
                    entry_process.ask(instance.ports[0], b"/one/1", b"q1")
                )
                await entry_process.until(lambda: instance.lines("query.routed"))
                instance.process.kill()
                await asyncio.gather(request, return_exceptions=True)
            (tmp_path / "again").mkdir()
            async with running_instance(tmp_path / "again", store_port) as restarted:
                await entry_process.until(lambda: restarted.lines("instance.starting"))
                logs = [each_instance.log.read_text() for each_instance in (instance, restarted)]
                trace_result = trace.trace(trace.parse("".join(logs).splitlines()), "q1")
                assert trace_result.outcome == "cut"
                assert "was lost" in trace_result.cause

    asyncio.run(main())
