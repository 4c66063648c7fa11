"""What arrives or is held while a daemon starts does not end its process."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import aiohttp
import entry_process
import pytest
from integration import test_start

LOADING_MODULE = "multidict"
"""A library in the middle of the program's imports."""


def is_loading(process):
    """Whether a process is importing the libraries of the program."""
    return LOADING_MODULE in pathlib.Path(f"/proc/{process.pid}/maps").read_text()


async def stop_daemon(fleet):
    """Stop a daemon of the fleet, so that a test can start it."""
    fleet.signal("e2", signal.SIGTERM)
    assert await fleet.wait_exit("e2") == 0


async def assert_serves(fleet):
    """Wait until the daemon is ready, and send it a query."""
    process = fleet.processes["e2"]

    async def ended_or_ready():
        return process.poll() is not None or await is_ready(fleet)

    await entry_process.until(ended_or_ready)
    assert process.returncode is None, fleet.log("e2")[-3:]
    status, _ = await fleet.query("e2", service="devis-00", body={}, deadline_ms=2000)
    assert status == 200


async def is_ready(fleet):
    daemon = fleet.daemons["e2"]
    try:
        async with fleet.http.get(f"http://{daemon.host}:{daemon.callers_port}/v1/ready") as answer:
            return answer.status == 200
    except aiohttp.ClientError:
        return False


def events(fleet, name, event):
    """Return the log lines of one event."""
    return [line for line in fleet.log(name) if line["event"] == event]


@pytest.mark.parametrize("name", ["callers", "peers", "operators"])
def test_a_daemon_waits_for_a_port_that_is_held(run_scenario, name):
    """A port that another process held at the start ended the process with status 3."""

    async def scenario(fleet):
        fleet.signal("e2", signal.SIGTERM)
        assert await fleet.wait_exit("e2") == 0
        ready_before = len(events(fleet, "e2", "instance.ready"))

        def is_ready():
            return len(events(fleet, "e2", "instance.ready")) > ready_before

        daemon = fleet.daemons["e2"]
        with test_start.holding_port(getattr(daemon, f"{name}_port"), daemon.host):
            fleet.start_daemon("e2")
            await entry_process.until(lambda: len(events(fleet, "e2", "listener.not_bound")) >= 4)
            if name == "operators":
                await entry_process.until(is_ready)
            # Ready means that callers are given its address.
            assert is_ready() == (name == "operators")
        await entry_process.until(lambda: events(fleet, "e2", "listener.bound"))
        await entry_process.until(is_ready)
        await fleet.wait_ready("e2")
        status, _ = await fleet.query("e2", service="devis-00", body={}, deadline_ms=2000)
        assert status == 200

    run_scenario(scenario)


def test_a_stop_while_a_port_is_held_ends_the_daemon(run_scenario):
    """Guards against a stop that waits for a port."""

    async def scenario(fleet):
        fleet.signal("e2", signal.SIGTERM)
        assert await fleet.wait_exit("e2") == 0
        daemon = fleet.daemons["e2"]
        with test_start.holding_port(daemon.callers_port, daemon.host):
            fleet.start_daemon("e2")
            await entry_process.until(lambda: events(fleet, "e2", "listener.not_bound"))
            fleet.signal("e2", signal.SIGTERM)
            assert await fleet.wait_exit("e2") == 0

    run_scenario(scenario)


def test_a_hangup_does_not_end_a_daemon(run_scenario):
    """SIGHUP ended the process by its default action."""

    async def scenario(fleet):
        fleet.signal("e2", signal.SIGHUP)
        await entry_process.until(lambda: events(fleet, "e2", "instance.hangup_ignored"))
        await asyncio.sleep(0)
        assert fleet.processes["e2"].poll() is None
        await fleet.wait_ready("e2")

    run_scenario(scenario)


def test_hangups_while_it_is_loaded_do_not_end_a_daemon(run_scenario):
    """SIGHUP during the load of the program ended the process by the signal's default action."""

    async def scenario(fleet):
        await stop_daemon(fleet)
        fleet.start_daemon("e2")
        process = fleet.processes["e2"]
        await entry_process.until(lambda: is_loading(process))
        while process.poll() is None and not await is_ready(fleet):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)
        await assert_serves(fleet)

    run_scenario(scenario)


def test_a_stop_while_it_is_loaded_ends_a_daemon_cleanly(run_scenario):
    """SIGTERM during the load ended the process by the signal, which looks like a fault."""

    async def scenario(fleet):
        await stop_daemon(fleet)
        ready_before = len(events(fleet, "e2", "instance.ready"))
        fleet.start_daemon("e2")
        process = fleet.processes["e2"]
        await entry_process.until(lambda: is_loading(process))
        process.send_signal(signal.SIGTERM)
        assert await fleet.wait_exit("e2", 10) == 0
        assert len(events(fleet, "e2", "instance.ready")) == ready_before
        assert events(fleet, "e2", "signal.early")[-1]["signal"] == "SIGTERM"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "at_first", test_start.SETTINGS_AT_FIRST.values(), ids=test_start.SETTINGS_AT_FIRST
)
def test_settings_file_that_is_being_written_does_not_end_a_daemon(run_scenario, at_first):
    """A start while the settings file was being replaced ended the process with status 2."""

    async def scenario(fleet):
        await stop_daemon(fleet)
        path = fleet.daemons["e2"].settings_file
        text = path.read_text()
        path.unlink()
        if (partial := at_first(text)) is not None:
            path.write_text(partial)
        fleet.start_daemon("e2")
        process = fleet.processes["e2"]
        await entry_process.until(
            lambda: process.poll() is not None or events(fleet, "e2", "settings.not_usable")
        )
        path.write_text(text)
        await assert_serves(fleet)

    run_scenario(scenario)


def test_a_settings_file_that_stays_wrong_ends_a_daemon_with_its_problems(run_scenario):
    """Guards against a daemon that waits for ever, or ends without naming the problems."""

    async def scenario(fleet):
        await stop_daemon(fleet)
        path = fleet.daemons["e2"].settings_file
        path.write_text("[odd]\n" + path.read_text())
        fleet.start_daemon("e2")
        assert await fleet.wait_exit("e2", 20) == 2
        (line,) = events(fleet, "e2", "settings.not_usable")
        assert line["problems"] == ["[odd]: unknown section"]
        assert "[odd]: unknown section" in (fleet.folder / "e2.log").read_text().splitlines()

    run_scenario(scenario)


def test_a_stop_while_the_settings_are_waited_for_ends_a_daemon_cleanly(run_scenario):
    """Guards against a process that must be killed, or looks failed, as its settings are absent."""

    async def scenario(fleet):
        await stop_daemon(fleet)
        fleet.daemons["e2"].settings_file.unlink()
        fleet.start_daemon("e2")
        await entry_process.until(lambda: events(fleet, "e2", "settings.not_usable"))
        fleet.signal("e2", signal.SIGTERM)
        assert await fleet.wait_exit("e2", 10) == 0

    run_scenario(scenario)
