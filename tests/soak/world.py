"""What a soak plays with: a store, replicas and instances, each behind a proxy of its own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import signal

import attrs
import entry_process
import standin_platform

from turmericlug.http1 import client
from turmericlug_lab import fleet_spec
from turmericlug_lab import standin_proxy

SHARDS = tuple(f"s{number}" for number in range(6))
BILLS = "bills"
REPLICAS = 3
"""One more than a route's attempts, so that a part can reach too many."""
ATTEMPTS = 2
TOP, LEAST = 4, 0.5
REPLICA_AWAY_S = 0.5
REGIONS = {"dc-0": "r-0", "dc-1": "r-1"}


@attrs.define
class World:
    """The stand-ins and instances of one seed."""

    rng: random.Random
    folder: pathlib.Path
    instances_count: int
    store: standin_platform.Store = attrs.field(factory=standin_platform.Store)
    replicas: list[standin_platform.Replica] = attrs.field(factory=list)
    instances: list[entry_process.Instance] = attrs.field(factory=list)
    links: standin_proxy.Proxy | None = None
    """Proxied connections: ``store/INSTANCE``, ``replica/REPLICA`` and ``peer/INSTANCE``."""
    version: int = 0
    newest: dict = attrs.field(factory=dict)
    """The configuration of that version, as the operator writes it."""
    lethal_reached: list[tuple[float, bytes]] = attrs.field(factory=list)
    """When replicas ended under the request that ends them, and which attempt it was."""
    _restarts: set[asyncio.Task] = attrs.field(factory=set)

    @contextlib.asynccontextmanager
    async def running(self):
        """Start everything; ends what was started, by its process id."""
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(standin_platform.listening(self.store.handle))
            links = await self._replicas(stack)
            for number in range(self.instances_count):
                links += self._instance(f"e-{number}", f"dc-{number % 2}", address[1])
            self.store.rewrite_value = self._by_proxy
            self.links = standin_proxy.Proxy("127.0.0.1", links)
            await self.links.start()
            stack.callback(self.links.close)
            self.write_replicas()
            self.configure()
            for instance in self.instances:
                await instance.start()
                stack.push_async_callback(_end, instance)
            await self.all_ready()
            yield

    def _instance(self, name, data_centre, store_port):
        """Make an instance, not yet started, and return the links to the store and from others."""
        port, front = fleet_spec.reserve_ports(2)
        instance = entry_process.make(self.folder, name, port, REGIONS, data_centre)
        self.instances.append(instance)
        return [
            standin_proxy.Route(f"store/{name}", port, store_port),
            standin_proxy.Route(f"peer/{name}", front, instance.ports[4]),
        ]

    def _by_proxy(self, key, content):
        """Have other instances connect to an instance by way of its proxy."""
        if not key.startswith("turmericlug/instances/"):
            return content
        front = self.links.routes[f"peer/{key.rpartition('/')[2]}"].listen
        return json.dumps(json.loads(content) | {"peers_address": f"127.0.0.1:{front}"}).encode()

    async def _replicas(self, stack):
        links = []
        for service in (*SHARDS, BILLS):
            for number in range(REPLICAS):
                name = f"i-{service}-{number}"
                body = self.rng.randbytes(16 * 6)
                replica = standin_platform.Replica(name, service, body, 0.004)
                host, port = await stack.enter_async_context(
                    standin_platform.listening(replica.handle)
                )
                (front,) = fleet_spec.reserve_ports(1)
                links.append(standin_proxy.Route(f"replica/{name}", front, port))
                replica.address = (host, front)
                replica.on_lethal = self._end_replica
                replica.zone = f"dc-{(number + len(self.replicas)) % 2}"
                self.replicas.append(replica)
        return links

    def _end_replica(self, replica):
        now_s = asyncio.get_running_loop().time()
        self.lethal_reached.append((now_s, replica.runs[-1]))
        restart = asyncio.create_task(self._restart_replica(replica))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_replica(self, replica):
        """Let a replica that has ended start again under its name."""
        link = f"replica/{replica.instance}"
        self.links.update_route(link, {"mode": "refuse"})
        await asyncio.sleep(REPLICA_AWAY_S)
        self.links.update_route(link, {"mode": "pass"})
        replica.start_again()
        self.write_replicas([replica])

    def write_replicas(self, replicas=None, state="ready"):
        """Write the entries of replicas, by default of all, as they themselves would."""
        for replica in self.replicas if replicas is None else replicas:
            entry = replica.entry(state) | {"Zone": replica.zone}
            self.store.put(f"servers/{replica.instance}", entry)

    def configure(self):
        """Write the next version, which adds a route and removes the one that the last added."""
        self.version += self.rng.randint(1, 3)
        gather = {"Gather": list(SHARDS), "TopK": TOP, "MinCoverage": LEAST}
        routes = [
            standin_platform.route("all", "/all/", MaxAttempts=ATTEMPTS, **gather),
            standin_platform.route(
                "bills", "/bills/", Service=BILLS, RouteType="non_idempotent", MaxAttempts=ATTEMPTS
            ),
            standin_platform.route(f"v{self.version}", f"/v{self.version}/", Service="s0"),
        ]
        services = [*SHARDS, BILLS]
        self.newest = standin_platform.configuration(self.version, routes, services)
        self.store.put("op/config", self.newest)

    def write_again(self, lost):
        """Let the operator and the replicas write what they have to say of what the store lost."""
        if "op/config" in lost:
            self.store.put("op/config", self.newest)
        for key in lost.keys() - {"op/config"}:
            if key.startswith("op/"):
                self.store.write_again({key: lost[key]})
        self.write_replicas([each for each in self.replicas if f"servers/{each.instance}" in lost])

    async def all_ready(self):
        """Wait until every instance says that it is ready."""
        async with asyncio.timeout(30 + self.instances_count):
            for instance in self.instances:
                while not await _is_ready(instance):
                    await asyncio.sleep(0.05)


async def _end(instance):
    instance.signal(signal.SIGCONT)
    instance.signal(signal.SIGKILL)
    await instance.process.wait()


async def _is_ready(instance):
    with contextlib.suppress(client.ConnectError, client.ExchangeError, TimeoutError):
        async with asyncio.timeout(1.0):
            return (await ask(instance.ports[1], b"/turmericlug/ready")).status == 200
    return False


_numbers = itertools.count()


async def ask(port, target):
    """Ask something of an instance on a connection of its own."""
    connection = await client.connect("127.0.0.1", port)
    headers = [(b"host", b"h.example"), (b"x-request-id", b"probe-%d" % next(_numbers))]
    try:
        return await connection.exchange(client.request_bytes(b"GET", target, headers, b""))
    finally:
        connection.close()
