"""Stand-ins whose ports other processes hold at their start."""

from __future__ import annotations

import asyncio
import json
import sys

import entry_process
import pytest
from integration import test_start

from turmericlug_lab import fleet as fleet_module
from turmericlug_lab import fleet_spec

REPLICA = {"name": "r", "service": "s", "slots": 1, "connections": 4, "connect_ms": 1}


def arguments(tmp_path, program, ports):
    """Return the arguments of a stand-in that listens on ports, as ``PROGRAM PORT`` or ``FILE``."""
    if program == "platform":
        return ["platform", "--port", str(ports[0])]
    specs = tmp_path / "specs.json"
    if program == "targets":
        specs.write_text(json.dumps([REPLICA | {"port": port} for port in ports]))
        return ["targets", str(specs)]
    if program == "baseline":
        fields = {"host": "127.0.0.1", "port": ports[0], "name": "b", "connections": 1}
        specs.write_text(json.dumps(fields | {"services": {}, "groups": {}, "timeout_ms": 10}))
        return ["baseline", str(specs)]
    specs.write_text(json.dumps([{"name": "p", "listen": ports[0], "to": 1}]))
    return ["proxy", str(specs), "--port", str(ports[1])]


@pytest.mark.parametrize(
    ("program", "held"),
    [
        ("platform", 0),
        ("baseline", 0),
        ("targets", 0),
        ("targets", 1),
        ("proxy", 0),
        ("proxy", 1),
    ],
)
def test_a_stand_in_waits_for_a_port_that_is_held(tmp_path, program, held):
    """A port held for a moment ended the process with a trace."""
    ports = fleet_spec.reserve_ports(1 if program in ("platform", "baseline") else 2)
    command = ["-P", "-c", fleet_module._LAUNCHER["standin"], *arguments(tmp_path, program, ports)]
    log = tmp_path / "log"

    async def scenario():
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *command, stdout=output, stderr=output
            )

        def has_ended_or_failed():
            return process.returncode is not None or "listener.not_bound" in log.read_text()

        try:
            with test_start.holding_port(ports[held]):
                await entry_process.until(
                    lambda: process.returncode is not None
                    or "listener.not_bound" in log.read_text()
                )
                # The other port doesn't wait for this one.
                for port in ports:
                    await entry_process.until(lambda port=port: test_start.listens(port))
            for port in ports:
                await entry_process.until(lambda port=port: test_start.listens(port))
            assert process.returncode is None, log.read_text()[-500:]
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    asyncio.run(scenario())
