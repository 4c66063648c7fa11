"""What arrives or is held while a daemon starts does not end its process."""

from __future__ import annotations

import asyncio
import signal

import entry_process
import pytest
from integration import test_start


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
