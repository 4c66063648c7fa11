"""Run entry instances as separate processes: settings, start, signals and log lines."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import pathlib
import sys

import attrs

from turmericlug.http1 import client
from turmericlug_lab import fleet_spec

ROOT = pathlib.Path(__file__).parents[1]
_SETTINGS_TEMPLATE = """\
[entry]
name = {name}
data_centre = {data_centre}
region = {region}
data_centres = {data_centres}
callers_address = 127.0.0.1:{ports[0]}
ready_address = 127.0.0.1:{ports[1]}
directory_address = 127.0.0.1:{ports[2]}
metrics_address = 127.0.0.1:{ports[3]}
peers_address = 127.0.0.1:{ports[4]}

[source]
address = 127.0.0.1:{store_port}

[policy]
grace_s = {grace_s}
"""


@attrs.define
class Instance:
    """An entry instance that can be started repeatedly on the same ports."""

    name: str
    settings: pathlib.Path
    ports: list[int]
    """Ports for callers, readiness, directory, metrics and peers, in this order."""
    process: asyncio.subprocess.Process | None = None
    disturbed: bool = False
    """Whether a test is stopping, killing, freezing or restarting it."""
    program: pathlib.Path = ROOT / "src" / "turmericlug_entry.py"
    arguments: tuple[str, ...] = ()

    @property
    def log(self):
        """The log file, next to the settings file."""
        return self.settings.with_suffix(".log")

    async def start(self, streams=True, standard_error=None):
        """
        Start the process; its output is appended to the log file.

        :param streams: whether its standard streams are open
        :param standard_error: descriptor for its standard error instead of the log file
        """
        close_streams = None if streams else functools.partial(os.closerange, 0, 3)
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.program),
                *self.arguments,
                preexec_fn=close_streams,
                env=os.environ | {"TURMERICLUG_NODE_FILE": str(self.settings)},
                stdout=output,
                stderr=output if standard_error is None else standard_error,
            )
        self.disturbed = False

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def lines(self, event):
        """Return the log lines of one event."""
        records = [json.loads(line) for line in self.log.read_text().splitlines()]
        return [record for record in records if record["event"] == event]


def make(folder, name, store_port, regions=None, data_centre="dc-1", grace_s=3.0):
    """Write the settings file of an instance and return the instance, not started."""
    regions = regions or {"dc-1": "r-1"}
    instance = Instance(name, folder / f"{name}.ini", fleet_spec.reserve_ports(5))
    text = _SETTINGS_TEMPLATE.format(
        name=name,
        data_centre=data_centre,
        region=regions[data_centre],
        data_centres=",".join(
            f"{each_data_centre}={each_region}" for each_data_centre, each_region in regions.items()
        ),
        ports=instance.ports,
        store_port=store_port,
        grace_s=grace_s,
    )
    instance.settings.write_text(text)
    return instance


async def ask(port, target, request_id, headers=(), method=b"GET", body=b""):
    """Send one request on a new connection and return the response."""
    connection = await client.connect("127.0.0.1", port)
    try:
        pairs = [(b"host", b"h.example"), (b"x-request-id", request_id), *headers]
        return await connection.exchange(client.request_bytes(method, target, pairs, body))
    finally:
        connection.close()


async def until(condition, timeout_s=20.0):
    """Poll a condition, a function or coroutine function, until it returns a true value."""
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)


async def ready(instance):
    """Whether the instance reports that it is ready."""
    try:
        return (await ask(instance.ports[1], b"/turmericlug/ready", b"r")).status == 200
    except (client.ConnectError, client.ExchangeError):
        return False
