"""Each long-running task of an entry instance fails once, and always; the instance goes on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import signal

import entry_process
import failing_entry
import pytest
from integration import test_entry
from integration import test_outside_values

from turmericlug.entry import long_running
from turmericlug.kernel import supervisor

PROGRAM = pathlib.Path(failing_entry.__file__)
KEY = "turmericlug/instances/e-1"
NEW_VERSION = test_outside_values.NEW_VERSION
AT_THE_START = ("follower, snapshot", "follower, changes", "registration")
"""Faults after which an instance is not registered, if they last."""


@contextlib.asynccontextmanager
async def failing_instance(tmp_path, store_port, fault, times):
    instance = entry_process.make(tmp_path, "e-1", store_port, grace_s=3.0)
    with instance.settings.open("a") as settings:
        settings.write("\n[quota]\nwindow_s = 5\n")
    instance.program, instance.arguments = PROGRAM, (fault, times)
    await instance.start()
    try:
        async with asyncio.timeout(60):
            await entry_process.until(lambda: test_outside_values._has_status(instance))
            yield instance
    finally:
        instance.signal(signal.SIGKILL)
        await instance.process.wait()


def run_scenario(tmp_path, fault, times, scenario):
    async def main():
        async with test_entry.platform() as (store, _, store_port):
            async with failing_instance(tmp_path, store_port, fault, times) as instance:
                await scenario(store, instance)

    asyncio.run(main())


async def tasks(instance):
    """Return the tasks as the instance shows them."""
    page = await entry_process.ask(instance.ports[3], b"/status", b"s")
    return json.loads(page.body)["tasks"]


def failures(instance):
    return instance.lines("task.failed")


async def serves(instance):
    answer = await entry_process.ask(instance.ports[0], b"/one/1", b"q", method=b"POST", body=b"v")
    return answer.status == 200


async def stop(store, instance):
    """Stop the instance; it leaves the store and ends without an error."""
    instance.signal(signal.SIGTERM)
    assert await instance.process.wait() == 0
    assert KEY not in store.items


def assert_slowed_down(instance, task):
    """The delays between the attempts double."""
    lines = failures(instance)
    assert {line["name"] for line in lines} == {task}
    for number, line in enumerate(lines):
        limit_s = min(supervisor.RESTART_MIN_S * 2**number, supervisor.RESTART_MAX_S)
        assert limit_s * supervisor.MIN_JITTER - 0.001 <= line["restart_in_s"] <= limit_s + 0.001
        assert (line["restarts"], line["reason"]) == (number, "RuntimeError: odd value")


def test_each_task_of_the_table_has_a_fault():
    assert {task for task, *_ in failing_entry.FAULTS.values()} == set(long_running.EFFECTS)


@pytest.mark.parametrize("fault", [each for each in failing_entry.FAULTS if "stay" not in each])
def test_task_that_fails_once_runs_again(tmp_path, fault):
    """Guards against a task that ends for good, so that e.g. no later configuration is applied."""
    task = failing_entry.FAULTS[fault][0]

    async def scenario(store, instance):
        async def runs_again():
            shown = (await tasks(instance))[task]
            return (shown["state"], shown["restarts"]) == ("running", 1)

        await entry_process.until(runs_again)
        test_entry.configure(store, NEW_VERSION)
        await entry_process.until(lambda: test_outside_values._applies_new_version(instance))
        await entry_process.until(lambda: KEY in store.items)
        assert await serves(instance)
        assert [line["name"] for line in failures(instance)] == [task]
        metrics = (await entry_process.ask(instance.ports[3], b"/metrics", b"m")).body.decode()
        assert f'turmericlug_task_running{{task="{task}"}} 1' in metrics
        assert f'turmericlug_task_restarts{{task="{task}"}} 1' in metrics
        await stop(store, instance)

    run_scenario(tmp_path, fault, "once", scenario)


@pytest.mark.parametrize(
    "fault",
    [each for each in failing_entry.FAULTS if each not in AT_THE_START and "stay" not in each],
)
def test_task_that_always_fails_harms_no_other(tmp_path, fault):
    """Guards against a task that takes others, or the process, with it, or that fails in a loop."""
    task = failing_entry.FAULTS[fault][0]

    async def scenario(store, instance):
        await entry_process.until(lambda: len(failures(instance)) >= 4)
        test_entry.configure(store, NEW_VERSION)
        await entry_process.until(lambda: test_outside_values._applies_new_version(instance))
        await entry_process.until(lambda: KEY in store.items)
        assert await serves(instance)
        shown = await tasks(instance)
        assert shown.pop(task)["failures_in_a_row"] >= 4
        assert {(each["state"], each["restarts"]) for each in shown.values()} == {("running", 0)}
        assert_slowed_down(instance, task)
        await stop(store, instance)

    run_scenario(tmp_path, fault, "always", scenario)


def test_follower_that_always_fails_leaves_the_last_configuration_in_force(tmp_path):
    """
    Guards against an instance that can't apply what the store holds, and ends, serves nobody any
    more, leaves the store, or looks as if its configuration were current.
    """

    async def scenario(store, instance):
        await entry_process.until(lambda: len(failures(instance)) >= 4)
        test_entry.configure(store, NEW_VERSION)
        await entry_process.until(lambda: KEY in store.items)
        await entry_process.until(lambda: len(failures(instance)) >= 5)
        page = await entry_process.ask(instance.ports[3], b"/status", b"s")
        status = json.loads(page.body)
        # The changes can't be applied, but each new attempt reads everything.
        assert status["configuration_version"] in (1, NEW_VERSION)
        assert status["tasks"][long_running.FOLLOWER]["failures_in_a_row"] >= 4
        lost = instance.lines("source.lost")
        assert {line["reason"] for line in lost} == {"follower_failed"}
        assert await serves(instance)
        assert_slowed_down(instance, long_running.FOLLOWER)
        await stop(store, instance)

    run_scenario(tmp_path, "follower, changes", "always", scenario)


def test_follower_that_cannot_read_at_the_start_keeps_an_instance_from_callers(tmp_path):
    """Guards against an instance that is given to callers before it knows any configuration."""

    async def scenario(store, instance):
        await entry_process.until(lambda: len(failures(instance)) >= 4)
        page = await entry_process.ask(instance.ports[3], b"/status", b"s")
        status = json.loads(page.body)
        assert (status["ready"], status["source_unreachable"]) == (False, True)
        assert status["source_age_s"] is None
        assert not await serves(instance)
        assert KEY not in store.items
        assert_slowed_down(instance, long_running.FOLLOWER)
        await stop(store, instance)

    run_scenario(tmp_path, "follower, snapshot", "always", scenario)


def test_registration_that_always_fails_leaves_the_instance_serving(tmp_path):
    """Guards against an instance that can't register and refuses those that know its address."""

    async def scenario(store, instance):
        await entry_process.until(lambda: len(failures(instance)) >= 4)
        test_entry.configure(store, NEW_VERSION)
        await entry_process.until(lambda: test_outside_values._applies_new_version(instance))
        assert await serves(instance)
        assert KEY not in store.items
        assert_slowed_down(instance, long_running.REGISTRATION)
        await stop(store, instance)

    run_scenario(tmp_path, "registration", "always", scenario)


@pytest.mark.parametrize("times", ["once", "always"])
def test_draining_instance_whose_task_fails_ends_in_time(tmp_path, times):
    """Guards against an instance that doesn't finish draining because a task of it fails."""

    async def scenario(store, instance):
        await entry_process.until(lambda: KEY in store.items)
        await stop(store, instance)
        assert failures(instance)
        assert_slowed_down(instance, long_running.STAY_DEREGISTERED)

    run_scenario(tmp_path, "stay deregistered", times, scenario)
