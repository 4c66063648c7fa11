"""Starts and stops a fleet of real processes on loopback: stand-ins, proxy and daemons."""

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

OPERATORS_TOKEN = "operators-token-of-the-stand-in-fleet"
CLUSTER_KEY = "cluster-key-of-the-stand-in-fleet"
_START_TIMEOUT_S = 30.0


class Fleet:
    """The processes of a fleet by name, and requests to them."""

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
        self._proxy_routes: list[dict[str, typing.Any]] = []

    def launch(self, name: str, program: str, *arguments: str) -> None:
        """Start a program of this project; its output is appended to ``NAME.log`` in the folder."""
        command = [sys.executable, "-P", "-c", _LAUNCHER[program], *arguments]
        with (self.folder / f"{name}.log").open("ab") as log_file:
            process = subprocess.Popen(
                command,
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.processes[name] = process

    async def start(self) -> None:
        """Start all processes, wait until every daemon is ready and load the catalogue."""
        self.launch("platform", "standin", "platform", "--port", str(self.platform_port))
        self._prepare_targets()
        self._start_target_processes()
        await self.wait_responding(f"http://127.0.0.1:{self.platform_port}/control")
        self._prepare_daemons()
        if self._proxy_routes:
            path = self.folder / "proxy.json"
            path.write_text(json.dumps(self._proxy_routes))
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
        first_daemon = next(iter(self.daemons))
        status, answer = await self.call_operators_api(
            first_daemon, "PUT", "/v1/catalog", self.catalog()
        )
        if status not in (200, 202):
            raise fleet_spec.FleetError(f"the first daemon refused the catalogue: {answer}")

    def _prepare_targets(self) -> None:
        count = sum(service.replicas for service in self.spec.services)
        ports = iter(fleet_spec.reserve_ports(count))
        for index, service in enumerate(self.spec.services):
            for replica_index in range(service.replicas):
                name = f"{service.name}-r{replica_index}"
                process_name = f"targets-{(index + replica_index) % self.spec.target_processes}"
                data_centre = self.data_centre_of(index)
                self.targets[name] = fleet_spec.Target(
                    name, service.name, next(ports), data_centre, process_name
                )

    def data_centre_of(self, service_index: int) -> str:
        """Return the data centre of a service's replicas; data centres are assigned round-robin."""
        return self.spec.data_centres[service_index % len(self.spec.data_centres)]

    def _start_target_processes(self) -> None:
        specs_by_process = collections.defaultdict(list)
        services = {service.name: service for service in self.spec.services}
        for target in self.targets.values():
            service = services[target.service]
            replica_spec = attrs.asdict(service)
            del replica_spec["replicas"]
            replica_spec |= {"name": target.name, "service": service.name, "port": target.port}
            specs_by_process[target.process].append(replica_spec)
        for process_name, specs in specs_by_process.items():
            (self.folder / f"{process_name}.json").write_text(json.dumps(specs))
            self.start_target_process(process_name)

    def start_target_process(self, process_name: str) -> None:
        """Start, or restart after a kill, one process of stand-in targets."""
        arguments = ["targets", str(self.folder / f"{process_name}.json")]
        arguments += ["--seed", str(self.spec.seed)]
        if self.spec.journal:
            arguments += ["--journal", str(self.folder / f"{process_name}.journal")]
        self.launch(process_name, "standin", *arguments)

    def _prepare_daemons(self) -> None:
        for index in range(self.spec.daemons):
            self._prepare_daemon(index)

    def _prepare_daemon(self, index: int) -> fleet_spec.Daemon:
        name = f"e{index + 1}"
        callers_port, peers_port, operators_port, peers_proxy_port, platform_proxy_port = (
            fleet_spec.reserve_ports(5)
        )
        data_centre = self.spec.data_centres[index % len(self.spec.data_centres)]
        proxied = self.spec.proxied or bool(self.spec.delay_ms)
        daemon = fleet_spec.Daemon(
            name=name,
            host=f"127.0.1.{index + 1}",
            data_centre=data_centre,
            callers_port=callers_port,
            peers_port=peers_port,
            operators_port=operators_port,
            advertised_peers_port=peers_proxy_port if proxied else peers_port,
            settings_file=self.folder / f"{name}.ini",
        )
        if proxied:
            self._add_proxy_routes(daemon, platform_proxy_port)
        self.daemons[name] = daemon
        self._write_settings(daemon, platform_proxy_port if proxied else self.platform_port)
        return daemon

    def _add_proxy_routes(self, daemon: fleet_spec.Daemon, platform_proxy_port: int) -> None:
        delays = {
            f"127.0.1.{index + 1}": self.spec.delay_ms.get(
                (self.spec.data_centres[index % len(self.spec.data_centres)], daemon.data_centre),
                0.0,
            )
            for index in range(self.spec.daemons + 4)
        }
        self._proxy_routes.append(
            {
                "name": f"peers-{daemon.name}",
                "listen": daemon.advertised_peers_port,
                "to": daemon.peers_port,
                "to_host": daemon.host,
                "delay_ms_by_source": delays,
            }
        )
        self._proxy_routes.append(
            {
                "name": f"platform-{daemon.name}",
                "listen": platform_proxy_port,
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
                    "operators_token": OPERATORS_TOKEN,
                },
                "platform": {"store_url": url, "instances_url": url, "instances_poll_ms": "300"},
                "policy": {"address_lifetime_ms": "600"},
            }
        )
        parser.read_dict(self.spec.settings)
        with daemon.settings_file.open("w") as stream:
            parser.write(stream)

    def start_daemon(self, name: str) -> None:
        """Start, or restart, a daemon."""
        self.launch(name, "daemon", str(self.daemons[name].settings_file))

    def catalog(
        self, snapshots: list[dict[str, typing.Any]] | None = None
    ) -> dict[str, typing.Any]:
        """Return the fleet's catalogue."""
        return {
            "services": {
                service.name: {
                    "slots": service.slots,
                    "connections": service.connections,
                    "data_centre": self.data_centre_of(index),
                }
                for index, service in enumerate(self.spec.services)
            },
            "groups": self.spec.groups,
            "snapshots": snapshots or [{"name": "s1", "shards": {}}],
        }

    async def register(self, target: str, status: str = "passing") -> None:
        """Register a target on the instance list; status ``critical`` marks it as leaving."""
        replica = self.targets[target]
        await self._put_registration(
            replica.service, replica.name, "127.0.0.1", replica.port, replica.data_centre, status
        )

    async def register_daemon(self, name: str) -> None:
        """Register a daemon on the instance list."""
        daemon = self.daemons[name]
        proxied = daemon.advertised_peers_port != daemon.peers_port
        host = "127.0.0.1" if proxied else daemon.host
        await self._put_registration(
            "turmericlug", name, host, daemon.advertised_peers_port, daemon.data_centre, "passing"
        )

    async def _put_registration(
        self, service: str, name: str, host: str, port: int, data_centre: str, status: str
    ) -> None:
        service_entry = {"ID": name, "Service": service, "Address": host, "Port": port}
        registration = {
            "Node": name,
            "Datacenter": data_centre,
            "Service": service_entry,
            "Check": {"Status": status},
        }
        url = f"http://127.0.0.1:{self.platform_port}/v1/catalog/register"
        async with self.http.put(url, json=registration) as response:
            response.raise_for_status()

    async def unregister(self, name: str) -> None:
        """Remove an instance from the instance list."""
        url = f"http://127.0.0.1:{self.platform_port}/v1/catalog/deregister"
        async with self.http.put(url, json={"Node": name, "ServiceID": name}) as response:
            response.raise_for_status()

    async def wait_responding(self, url: str) -> None:
        """Wait until a URL responds with status 200."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with self.http.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.03)
        raise fleet_spec.FleetError(f"{url} did not respond with 200 within the start timeout")

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon serves callers; otherwise raise an error with the end of its log."""
        daemon = self.daemons[name]
        try:
            await self.wait_responding(f"http://{daemon.host}:{daemon.callers_port}/v1/ready")
        except fleet_spec.FleetError as error:
            exit_code = self.processes[name].poll()
            log_tail = (self.folder / f"{name}.log").read_text()[-1500:]
            raise fleet_spec.FleetError(
                f"{error}; exit code {exit_code}; log: {log_tail}"
            ) from error

    async def wait_all_alive(self, name: str) -> None:
        """Wait until a daemon considers every daemon alive."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            states = await self.members(name)
            if sum(state == "alive" for state in states.values()) == len(self.daemons):
                return
            await asyncio.sleep(0.03)
        raise fleet_spec.FleetError(f"{name} did not see all daemons alive in the start timeout")

    async def members(self, name: str) -> dict[str, str]:
        """Return the state of each instance as a daemon sees it."""
        _, status = await self.call_operators_api(name, "GET", "/v1/status?own")
        return status["instances"][0]["members"]

    async def query(
        self,
        name: str,
        headers: dict[str, str] | None = None,
        on_headers: abc.Callable[[abc.Mapping[str, str]], None] = lambda headers: None,
        **fields: typing.Any,
    ) -> tuple[int, dict[str, typing.Any]]:
        """
        Send a query to a daemon; return the status and the answer.

        :param on_headers: called with the headers of the answer
        """
        daemon = self.daemons[name]
        url = f"http://{daemon.host}:{daemon.callers_port}/v1/query"
        body = {"caller": "tests", **fields}
        async with self.http.post(url, json=body, headers=headers) as response:
            on_headers(response.headers)
            return response.status, await response.json()

    async def call_operators_api(
        self, name: str, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send a request to a daemon's operators' port; return the status and the answer."""
        daemon = self.daemons[name]
        url = f"http://{daemon.host}:{daemon.operators_port}{path}"
        headers = {"Authorization": f"Bearer {OPERATORS_TOKEN}"}
        async with self.http.request(method, url, json=body, headers=headers) as response:
            return response.status, await response.json()

    async def control(self, component: str, **fields: typing.Any) -> None:
        """Change the behaviour of a target (by name), the ``platform`` or a ``proxy/ROUTE``."""
        if component == "platform":
            url = f"http://127.0.0.1:{self.platform_port}/control"
        elif component.startswith("proxy/"):
            url = f"http://127.0.0.1:{self.proxy_port}/control/{component.removeprefix('proxy/')}"
        else:
            url = f"http://127.0.0.1:{self.targets[component].port}/control"
        async with self.http.post(url, json=fields) as response:
            response.raise_for_status()

    async def stats(self, component: str) -> dict[str, typing.Any]:
        """Return the statistics of a target (by name) or of the ``platform``."""
        port = self.platform_port if component == "platform" else self.targets[component].port
        async with self.http.get(f"http://127.0.0.1:{port}/control") as response:
            return await response.json()

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        os.kill(self.processes[name].pid, signal_number)

    async def wait_exit(self, name: str, timeout_s: float = 60.0) -> int:
        """Wait for a process to exit; return its exit code."""
        process = self.processes[name]
        deadline_s = time.monotonic() + timeout_s
        while process.poll() is None:
            if time.monotonic() > deadline_s:
                raise fleet_spec.FleetError(f"{name} did not exit within the timeout")
            await asyncio.sleep(0.02)
        return process.returncode

    def journal(self) -> list[dict[str, typing.Any]]:
        """Return the entries of all targets' journals."""
        lines = []
        for path in sorted(self.folder.glob("*.journal")):
            # A killed process may leave a partial last line.
            lines += [line for line in path.read_text().splitlines() if line.endswith("}")]
        return [json.loads(line) for line in lines]

    def log(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the JSON lines of a daemon's log."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def stop(self) -> None:
        """Resume and terminate the daemons, then kill what is still running."""
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
    """Run a fleet for the duration of the ``with`` block."""
    timeout = aiohttp.ClientTimeout(total=60)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
        fleet = Fleet(spec, folder, http)
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.stop()
