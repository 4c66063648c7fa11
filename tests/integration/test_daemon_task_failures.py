"""Each long-running task of turmericlugd fails once, and all of them always."""

from __future__ import annotations

import json
import pathlib
import signal

import failing_daemon
import pytest
from integration import conftest

from turmericlug import long_running
from turmericlug_lab import fleet as fleet_module

TESTS = pathlib.Path(failing_daemon.__file__).parent


async def restart_with_faults(fleet, monkeypatch, name, tasks, times):
    """Stop a daemon and start it again with faults in some of its tasks."""
    fleet.signal(name, signal.SIGTERM)
    assert await fleet.wait_exit(name) == 0
    program = (
        f"import sys; sys.path.insert(0, {str(TESTS)!r})\n"
        f"import failing_daemon; failing_daemon.run({tasks!r}, {times})"
    )
    monkeypatch.setitem(fleet_module._LAUNCHER, "failing daemon", program)
    fleet.launch(name, "failing daemon", str(fleet.daemons[name].settings_file))


def failures(fleet, name):
    """Return the log lines of tasks that have failed."""
    lines = [json.loads(line) for line in (fleet.folder / f"{name}.log").read_text().splitlines()]
    return [line for line in lines if line["event"] == "task.failed"]


def test_each_task_of_the_table_has_a_fault():
    assert set(failing_daemon.FAULTS) == set(long_running.EFFECTS)


@pytest.mark.parametrize("task", long_running.EFFECTS)
def test_task_that_fails_once_runs_again(run_scenario, monkeypatch, task):
    """Guards against a daemon that e.g. never again probes its peers or announces itself."""

    async def scenario(fleet):
        await restart_with_faults(fleet, monkeypatch, "e2", [task], 1)
        await fleet.wait_ready("e2")

        async def has_failed():
            return [line["name"] for line in failures(fleet, "e2")] == [task]

        await conftest.eventually(has_failed)
        # The edit is accepted once it is in force at every instance.
        status, edit = await fleet.call_operators_api(
            "e1",
            "POST",
            "/v1/rules/edit",
            {"operation": "add", "text": "[rule shut]\nwhen_service = devis\nthen_refuse = shut\n"},
        )
        assert (status, edit["outcome"]) == (200, "accepted")
        status, answer = await fleet.query("e2", service="devis", body={"mark": "1"})
        assert (status, answer["reason"]) == (503, "rule_shut")
        assert [line["name"] for line in failures(fleet, "e2")] == [task]
        fleet.signal("e2", signal.SIGTERM)
        assert await fleet.wait_exit("e2") == 0

    run_scenario(scenario)


def test_tasks_that_always_fail_end_no_process(run_scenario, monkeypatch):
    """Guards against a daemon that ends, or harms others, because all its tasks fail."""
    tasks = list(long_running.EFFECTS)

    async def scenario(fleet):
        await restart_with_faults(fleet, monkeypatch, "e2", tasks, 0)

        async def have_failed_often():
            names = [line["name"] for line in failures(fleet, "e2")]
            return all(names.count(task) >= 3 for task in tasks)

        await conftest.eventually(have_failed_often)
        status, answer = await fleet.query("e1", service="devis", body={"mark": "1"})
        assert (status, answer["outcome"]) == (200, "complete")
        assert fleet.processes["e2"].poll() is None
        fleet.signal("e2", signal.SIGTERM)
        assert await fleet.wait_exit("e2") == 0

    run_scenario(scenario)
