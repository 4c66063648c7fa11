"""Starts and ends real processes on loopback: stand-ins, proxy and daemons."""

from __future__ import annotations

import asyncio
import collections
import configparser
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing
from collections import abc

import aiohttp
import attrs

from turmericlug_lab import fleet_spec

TOKEN = "operators-token-of-the-stand-in-fleet"
CLUSTER_KEY = "cluster-key-of-the-stand-in-fleet"
_START_LIMIT_S = 30.0


class Fleet:
    """The running processes, by name, and calls to them."""

    def __init__(
        self, spec: fleet_spec.FleetSpec, folder: pathlib.Path, http: aiohttp.ClientSession
    ) -> None:
        self.spec = spec
        self.folder = folder
        self.http = http
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.targets: dict[str, fleet_spec.Target] = {}
        self.daemons: dict[str, fleet_spec.Daemon] = {}
        self.platform_port, self.proxy_port = fleet_spec.reserve_ports(2)
        self._routes: list[dict[str, typing.Any]] = []

    def launch(self, name: str, program: str, *arguments: str) -> None:
        """Start a program of this project; its output goes to a log in the folder."""
        command = [sys.executable, "-P", "-c", _LAUNCHER[program], *arguments]
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True
            )
        self.processes[name] = process

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self.launch("platform", "standin", "platform", "--port", str(self.platform_port))
        self._plan_targets()
        self._start_targets()
        await self.wait_responding(f"http://127.0.0.1:{self.platform_port}/control")
        self._plan_daemons()
        if self._routes:
            path = self.folder / "proxy.json"
            path.write_text(json.dumps(self._routes))
            self.launch("proxy", "standin", "proxy", str(path), "--port", str(self.proxy_port))
        for target in self.targets.values():
            await self.wait_responding(f"http://127.0.0.1:{target.port}/control")
            await self.register(target.name)
        for daemon in self.daemons.values():
            await self.register_daemon(daemon.name)
            self.start_daemon(daemon.name)
        for daemon in self.daemons.values():
            await self.wait_ready(daemon.name)
        if not self.daemons:
            return
        for daemon in self.daemons.values():
            await self.wait_all_alive(daemon.name)
        first = next(iter(self.daemons))
        status, answer = await self.call_operators_api(first, "PUT", "/v1/catalog", self.catalog())
        if status not in (200, 202):
            raise fleet_spec.FleetError(f"catalogue: {answer}")

    def _plan_targets(self) -> None:
        count = sum(service.replicas for service in self.spec.services)
        ports = iter(fleet_spec.reserve_ports(count))
        for index, service in enumerate(self.spec.services):
            for number in range(service.replicas):
                name = f"{service.name}-r{number}"
                process = f"targets-{(index + number) % self.spec.target_processes}"
                centre = self.centre_of(index)
                self.targets[name] = fleet_spec.Target(
                    name, service.name, next(ports), centre, process
                )

    def centre_of(self, service_index: int) -> str:
        """Return the data centre of a service's replicas: the services take turns."""
        return self.spec.data_centres[service_index % len(self.spec.data_centres)]

    def _start_targets(self) -> None:
        by_process = collections.defaultdict(list)
        services = {service.name: service for service in self.spec.services}
        for target in self.targets.values():
            service = services[target.service]
            plain = attrs.asdict(service)
            del plain["replicas"]
            plain |= {"name": target.name, "service": service.name, "port": target.port}
            by_process[target.process].append(plain)
        for process, specs in by_process.items():
            (self.folder / f"{process}.json").write_text(json.dumps(specs))
            self.start_targets(process)

    def start_targets(self, process: str) -> None:
        """Start one process of stand-in targets, also again after a kill."""
        arguments = ["targets", str(self.folder / f"{process}.json")]
        arguments += ["--seed", str(self.spec.seed)]
        if self.spec.journal:
            arguments += ["--journal", str(self.folder / f"{process}.journal")]
        self.launch(process, "standin", *arguments)

    def _plan_daemons(self) -> None:
        for index in range(self.spec.daemons):
            self._plan_daemon(index)

    def _plan_daemon(self, index: int) -> fleet_spec.Daemon:
        name = f"e{index + 1}"
        callers, peers, operators, via_proxy, platform = fleet_spec.reserve_ports(5)
        centre = self.spec.data_centres[index % len(self.spec.data_centres)]
        proxied = self.spec.proxied or bool(self.spec.delay_ms)
        daemon = fleet_spec.Daemon(
            name=name,
            host=f"127.0.1.{index + 1}",
            data_centre=centre,
            callers_port=callers,
            peers_port=peers,
            operators_port=operators,
            advertised_peers_port=via_proxy if proxied else peers,
            settings_file=self.folder / f"{name}.ini",
        )
        if proxied:
            self._add_routes(daemon, platform)
        self.daemons[name] = daemon
        self._write_settings(daemon, platform if proxied else self.platform_port)
        return daemon

    def _add_routes(self, daemon: fleet_spec.Daemon, platform_port: int) -> None:
        delays = {
            f"127.0.1.{number + 1}": self.spec.delay_ms.get(
                (self.spec.data_centres[number % len(self.spec.data_centres)], daemon.data_centre),
                0.0,
            )
            for number in range(self.spec.daemons + 4)
        }
        self._routes.append(
            {
                "name": f"peers-{daemon.name}",
                "listen": daemon.advertised_peers_port,
                "to": daemon.peers_port,
                "to_host": daemon.host,
                "delay_ms_by_source": delays,
            }
        )
        self._routes.append(
            {
                "name": f"platform-{daemon.name}",
                "listen": platform_port,
                "to": self.platform_port,
            }
        )

    def _write_settings(self, daemon: fleet_spec.Daemon, platform_port: int) -> None:
        parser = configparser.ConfigParser(interpolation=None)
        url = f"http://127.0.0.1:{platform_port}"
        proxied = daemon.advertised_peers_port != daemon.peers_port
        parser.read_dict(
            {
                "instance": {
                    "name": daemon.name,
                    "data_centre": daemon.data_centre,
                    "region": "loopback",
                    "host": daemon.host,
                    "advertised_host": "127.0.0.1" if proxied else daemon.host,
                    "callers_port": str(daemon.callers_port),
                    "peers_port": str(daemon.peers_port),
                    "advertised_peers_port": str(daemon.advertised_peers_port),
                    "operators_port": str(daemon.operators_port),
                    "cluster_key": CLUSTER_KEY,
                    "operators_token": TOKEN,
                },
                "platform": {"store_url": url, "instances_url": url, "instances_poll_ms": "300"},
                "policy": {"address_lifetime_ms": "600"},
            }
        )
        parser.read_dict(self.spec.settings)
        with daemon.settings_file.open("w") as stream:
            parser.write(stream)

    def start_daemon(self, name: str) -> None:
        """Start a daemon, also again after it stopped."""
        self.launch(name, "daemon", str(self.daemons[name].settings_file))

    def catalog(
        self, snapshots: list[dict[str, typing.Any]] | None = None
    ) -> dict[str, typing.Any]:
        """Make the catalogue of the fleet."""
        return {
            "services": {
                service.name: {
                    "slots": service.slots,
                    "connections": service.connections,
                    "data_centre": self.centre_of(index),
                }
                for index, service in enumerate(self.spec.services)
            },
            "groups": self.spec.groups,
            "snapshots": snapshots or [{"name": "s1", "shards": {}}],
        }

    async def register(self, target: str, status: str = "passing") -> None:
        """Put a target on the instance list; ``critical`` means leaving."""
        each = self.targets[target]
        await self._list(each.service, each.name, "127.0.0.1", each.port, each.data_centre, status)

    async def register_daemon(self, name: str) -> None:
        """Put a daemon on the instance list."""
        each = self.daemons[name]
        proxied = each.advertised_peers_port != each.peers_port
        host = "127.0.0.1" if proxied else each.host
        await self._list(
            "turmericlug", name, host, each.advertised_peers_port, each.data_centre, "passing"
        )

    async def _list(
        self, service: str, name: str, host: str, port: int, centre: str, status: str
    ) -> None:
        entry = {"ID": name, "Service": service, "Address": host, "Port": port}
        plain = {"Node": name, "Datacenter": centre, "Service": entry, "Check": {"Status": status}}
        url = f"http://127.0.0.1:{self.platform_port}/v1/catalog/register"
        async with self.http.put(url, json=plain) as response:
            response.raise_for_status()

    async def unregister(self, name: str) -> None:
        """Take an instance off the list."""
        url = f"http://127.0.0.1:{self.platform_port}/v1/catalog/deregister"
        async with self.http.put(url, json={"Node": name, "ServiceID": name}) as response:
            response.raise_for_status()

    async def wait_responding(self, url: str) -> None:
        """Wait until something answers under an address."""
        end_s = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < end_s:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with self.http.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.03)
        raise fleet_spec.FleetError(f"{url} does not answer")

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon serves callers; tells the end of its log if it does not."""
        daemon = self.daemons[name]
        try:
            await self.wait_responding(f"http://{daemon.host}:{daemon.callers_port}/v1/ready")
        except fleet_spec.FleetError as error:
            ended = self.processes[name].poll()
            last = (self.folder / f"{name}.log").read_text()[-1500:]
            raise fleet_spec.FleetError(f"{error}; exit code {ended}; log: {last}") from error

    async def wait_all_alive(self, name: str) -> None:
        """Wait until a daemon holds every daemon for alive."""
        end_s = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < end_s:
            states = await self.members(name)
            if sum(state == "alive" for state in states.values()) == len(self.daemons):
                return
            await asyncio.sleep(0.03)
        raise fleet_spec.FleetError(f"{name} does not see all others")

    async def members(self, name: str) -> dict[str, str]:
        """Return what a daemon believes of each instance."""
        _, status = await self.call_operators_api(name, "GET", "/v1/status?own")
        return status["instances"][0]["members"]

    async def query(
        self, name: str, headers: dict[str, str] | None = None, **fields: typing.Any
    ) -> tuple[int, dict[str, typing.Any]]:
        """Run a query through a daemon; returns the status and the answer."""
        daemon = self.daemons[name]
        url = f"http://{daemon.host}:{daemon.callers_port}/v1/query"
        plain = {"caller": "tests", **fields}
        async with self.http.post(url, json=plain, headers=headers) as response:
            return response.status, await response.json()

    async def call_operators_api(
        self, name: str, method: str, path: str, plain: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Call a daemon's operators' port."""
        daemon = self.daemons[name]
        url = f"http://{daemon.host}:{daemon.operators_port}{path}"
        headers = {"Authorization": f"Bearer {TOKEN}"}
        async with self.http.request(method, url, json=plain, headers=headers) as response:
            return response.status, await response.json()

    async def control(self, where: str, **fields: typing.Any) -> None:
        """Change how a target (by name), the ``platform`` or a ``proxy/ROUTE`` behaves."""
        if where == "platform":
            url = f"http://127.0.0.1:{self.platform_port}/control"
        elif where.startswith("proxy/"):
            url = f"http://127.0.0.1:{self.proxy_port}/control/{where.removeprefix('proxy/')}"
        else:
            url = f"http://127.0.0.1:{self.targets[where].port}/control"
        async with self.http.post(url, json=fields) as response:
            response.raise_for_status()

    async def stats(self, where: str) -> dict[str, typing.Any]:
        """Read a stand-in's own numbers."""
        port = self.platform_port if where == "platform" else self.targets[where].port
        async with self.http.get(f"http://127.0.0.1:{port}/control") as response:
            return await response.json()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        os.kill(self.processes[name].pid, number)

    async def wait_exit(self, name: str, limit_s: float = 60.0) -> int:
        """Wait for a process to end; returns its exit code."""
        process = self.processes[name]
        end_s = time.monotonic() + limit_s
        while process.poll() is None:
            if time.monotonic() > end_s:
                raise fleet_spec.FleetError(f"{name} does not stop")
            await asyncio.sleep(0.02)
        return process.returncode

    def journal(self) -> list[dict[str, typing.Any]]:
        """Read what all targets wrote to their journals."""
        lines = []
        for path in sorted(self.folder.glob("*.journal")):
            # A killed process may leave half a line at the end.
            lines += [line for line in path.read_text().splitlines() if line.endswith("}")]
        return [json.loads(line) for line in lines]

    def log(self, name: str) -> list[dict[str, typing.Any]]:
        """Read a daemon's log."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def stop(self) -> None:
        """End every process: daemons gracefully, what does not follow by force."""
        for name, process in self.processes.items():
            if process.poll() is None:
                if name not in self.daemons:
                    continue
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        for name in self.daemons:
            if name in self.processes:
                with contextlib.suppress(fleet_spec.FleetError):
                    await self.wait_exit(name, 10)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


_LAUNCHER = {
    "daemon": "from turmericlug import daemon; daemon.run()",
    "standin": "from turmericlug_lab import standin; standin.run()",
}


@contextlib.asynccontextmanager
async def running(spec: fleet_spec.FleetSpec, folder: pathlib.Path) -> abc.AsyncIterator[Fleet]:
    """Run a fleet for the length of the block."""
    timeout = aiohttp.ClientTimeout(total=60)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        fleet = Fleet(spec, folder, http)
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.stop()
