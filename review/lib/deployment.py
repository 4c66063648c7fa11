"""Starts entry instances as the deploy file says, on loopback addresses of their own."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time
import tomllib

from lib import http_messages

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"Front": 8104, "Ready": 8108, "directory": 8100}
METRICS_PORT = 9464
PEERS_PORT = 7380
START_TIMEOUT_S = 15.0
_SECTION = re.compile(r"\{\{#Zones\}\}.*\{\{/Zones\}\}")


def addresses(count: int) -> list[str]:
    """Return loopback addresses on which all ports of an instance are free."""
    found: list[str] = []
    while len(found) < count:
        address = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        if all(map(_is_free, [address] * 5, [*PORTS.values(), METRICS_PORT, PEERS_PORT])):
            found.append(address)
    return found


def _is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return a free port of 127.0.0.1."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Instance:
    """One entry instance, which can be started again on the same addresses."""

    def __init__(self, folder: pathlib.Path, name: str, address: str, fields: dict) -> None:
        """
        Write the settings file.

        :param fields: the platform's fields, as its pages name them
        """
        self.name, self.address = name, address
        self.fields = fields | {"NodeName": name, "Ip": address, "InternalPorts.0": PEERS_PORT}
        self.fields |= {f"ListenAddrs.{key}": f"{address}:{port}" for key, port in PORTS.items()}
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self._command = [self._fill(word) for word in re.split(r" (?!\S*\}\})", role["run"])]
        self._settings = folder / f"{name}.ini"
        self._settings.write_text(self._fill((ROOT / role["template"]).read_text()))
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def _fill(self, text: str) -> str:
        zones = ",".join(f"{zone}={region}" for zone, region in self.fields["Zones"].items())
        text = _SECTION.sub(zones, text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(self.fields.get(m[1], "")), text)

    def start(self) -> None:
        """Start the process."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"TURMERICLUG_NODE_FILE": str(self._settings)}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it is running, and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Whether the instance answers its readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.address, PORTS["Ready"])
        except OSError:
            return False
        try:
            writer.write(http_messages.request("GET", "/turmericlug/ready", {"Host": "ready"}))
            answer = await asyncio.wait_for(http_messages.read(reader), 1.0)
            return answer is not None and answer.status == 200
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self) -> None:
        """Wait until the instance is ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > end_s or self.process.poll() is not None:
                raise RuntimeError(f"instance {self.name} does not become ready")
            await asyncio.sleep(0.05)


def fields(store_address: str, zone: str, zones: dict[str, str], **more: object) -> dict:
    """Return the fields of a small deployment, with the bounds of its page."""
    return {
        "Zone": zone,
        "Region": zones[zone],
        "Zones": zones,
        "platform.Address": store_address,
        "Limits.MaxFds": 4100,
        "Limits.CpuShare": 0.537,
        "Limits.CpuCores": 2,
        "Limits.MemoryMb": 300,
        "Limits.LinkMbps": 1000.0,
        "Bounds.RetryBudgetRatio": 0.2,
        "Bounds.RetrySlack": 54,
        "Bounds.RetryWindowS": 10,
        "Bounds.GraceS": 6,
    } | more


LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def configuration(version: int, routes: list[dict], max_connections: dict[str, int]) -> dict:
    """Return a configuration as the operator writes it."""
    services = [
        {"Name": name, "HealthPath": "/health", "MaxConns": limit, "Protocol": "h1", "Tls": False}
        for name, limit in max_connections.items()
    ]
    return {"Version": version, "Routes": routes, "Services": services, "Limits": LIMITS}


def entry(service: str, address: str, zone: str, slots: int, sequence: int = 1) -> dict:
    """Return the entry of a replica in the store."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": slots,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Sequence": sequence,
    }
