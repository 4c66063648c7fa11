"""The testbed of a soak test: a store, replicas and instances, each behind its own proxy."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import pathlib
import random

import attrs
import entry_process
import odd_store as odd_store_module
import organisations as organisations_module
import processes as processes_module
import standin_organisations
import standin_platform

from turmericlug.http1 import client
from turmericlug_lab import fleet_spec
from turmericlug_lab import standin_proxy

SHARDS = tuple(f"s{number}" for number in range(6))
BILLS_SERVICE = "bills"
REPLICAS_PER_SERVICE = 3
"""One more than a route's attempts, so that a part sent to too many replicas is noticed."""
MAX_ATTEMPTS = 2
TOP_RECORDS, MIN_COVERAGE = 4, 0.5
REPLICA_RESTART_S = 0.5
REGIONS = {"dc-0": "r-0", "dc-1": "r-1"}


@attrs.define
class Testbed:
    """The stand-ins and instances of one seed."""

    rng: random.Random
    folder: pathlib.Path
    instance_count: int
    organisations: organisations_module.Organisations
    store: odd_store_module.OddStore = attrs.field(factory=odd_store_module.OddStore)
    replicas: list[standin_platform.Replica] = attrs.field(factory=list)
    instances: list[processes_module.Instance] = attrs.field(factory=list)
    proxy: standin_proxy.Proxy | None = None
    """Its routes are ``store/INSTANCE``, ``replica/REPLICA`` and ``peer/INSTANCE``."""
    listens_early: bool = False
    """Whether instances listen for callers before they are loaded, as in a deployment."""
    version: int = 0
    configuration: dict = attrs.field(factory=dict)
    """The configuration of that version in the operator's format."""
    peer_chunks: list[bytes] = attrs.field(factory=list)
    """What instances have sent to each other."""
    crashes: list[tuple[float, bytes]] = attrs.field(factory=list)
    """When replicas crashed on the lethal request, and the id of the attempt."""
    _restarts: set[asyncio.Task] = attrs.field(factory=set)

    @contextlib.asynccontextmanager
    async def running(self):
        """Run everything for the duration of the context; processes are killed by id."""
        async with contextlib.AsyncExitStack() as stack:
            address = await stack.enter_async_context(standin_platform.listening(self.store.handle))
            proxy_routes = await self._start_replicas(stack)
            for number in range(self.instance_count):
                proxy_routes += self._add_instance(
                    f"e-{number}", f"dc-{number % len(REGIONS)}", address[1]
                )
            self.proxy = standin_proxy.Proxy("127.0.0.1", proxy_routes)
            self.store.rewrite_value = functools.partial(
                standin_platform.advertise_proxy, self.proxy
            )
            await self.proxy.start()
            stack.callback(self.proxy.close)
            self.publish_replicas()
            self.publish_configuration()
            for instance in self.instances:
                stack.push_async_callback(instance.kill_all)
                await instance.start()
            await self.wait_until_ready()
            yield

    def _add_instance(self, name, data_centre, store_port):
        """Create an instance, not started; return the proxy routes to the store and to it."""
        store_proxy_port, peer_proxy_port = fleet_spec.reserve_ports(2)
        instance = processes_module.make(self.folder, name, store_proxy_port, REGIONS, data_centre)
        if self.listens_early:
            instance.arguments = ("--listen-early", f"127.0.0.1:{instance.ports[0]}")
        with instance.settings.open("a") as settings:
            settings.write(organisations_module.SETTINGS)
        instance.good_settings = instance.settings.read_text()
        self.instances.append(instance)
        return [
            standin_proxy.Route(f"store/{name}", store_proxy_port, store_port),
            standin_proxy.Route(
                f"peer/{name}", peer_proxy_port, instance.ports[4], observe=self.peer_chunks.append
            ),
        ]

    async def _start_replicas(self, stack):
        proxy_routes = []
        for service in (*SHARDS, BILLS_SERVICE):
            for number in range(REPLICAS_PER_SERVICE):
                name = f"i-{service}-{number}"
                body = self.rng.randbytes(16 * 6)
                replica = standin_platform.Replica(name, service, body, 0.004)
                host, port = await stack.enter_async_context(
                    standin_platform.listening(replica.handle)
                )
                (proxy_port,) = fleet_spec.reserve_ports(1)
                proxy_routes.append(standin_proxy.Route(f"replica/{name}", proxy_port, port))
                replica.address = (host, proxy_port)
                replica.on_crash = self._handle_crash
                replica.zone = f"dc-{(number + len(self.replicas)) % len(REGIONS)}"
                self.replicas.append(replica)
        return proxy_routes

    def _handle_crash(self, replica, request_id):
        now_s = asyncio.get_running_loop().time()
        self.crashes.append((now_s, request_id))
        restart = asyncio.create_task(self._restart_replica(replica))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_replica(self, replica):
        """Restart a crashed replica under the same name."""
        proxy_route = f"replica/{replica.instance}"
        self.proxy.update_route(proxy_route, {"mode": "refuse"})
        await asyncio.sleep(REPLICA_RESTART_S)
        self.proxy.update_route(proxy_route, {"mode": "pass"})
        replica.restart()
        self.publish_replicas([replica])

    def publish_replicas(self, replicas=None, state="ready"):
        """Write the entries of replicas, by default of all, as the replicas would."""
        for replica in self.replicas if replicas is None else replicas:
            entry = replica.entry(state) | {"Zone": replica.zone}
            self.store.put(f"servers/{replica.instance}", entry)

    def publish_configuration(self, rng=None):
        """Write the next version; its route ``/vVERSION/`` replaces that of the previous one."""
        self.version += (rng or self.rng).randint(1, 3)
        query_fields = {"Gather": list(SHARDS), "TopK": TOP_RECORDS, "MinCoverage": MIN_COVERAGE}
        routes = [
            standin_platform.route("all", "/all/", MaxAttempts=MAX_ATTEMPTS, **query_fields),
            standin_platform.route(
                "bills",
                "/bills/",
                Service=BILLS_SERVICE,
                RouteType="non_idempotent",
                MaxAttempts=MAX_ATTEMPTS,
            ),
            standin_platform.route("public", "/public/", Service="s0", Public=True),
            standin_platform.route(f"v{self.version}", f"/v{self.version}/", Service="s0"),
        ]
        services = [*SHARDS, BILLS_SERVICE]
        self.configuration = standin_platform.configuration(
            self.version, routes, services, self.organisations.listed
        )
        self.store.put("op/config", self.configuration)

    def restore_store(self, changes):
        """Restore the store from an earlier backup; return what it has lost."""
        lost = self.store.restore_backup(changes)
        if "op/config" in lost:
            self.organisations.lose_configuration(asyncio.get_running_loop().time())
        return lost

    def rewrite_lost(self, lost):
        """Write the current state of all operator and replica keys that the store has lost."""
        if "op/config" in lost:
            self.store.put("op/config", self.configuration)
            self.organisations.certain_s = asyncio.get_running_loop().time()
        for key in lost.keys() - {"op/config"}:
            if key.startswith("op/"):
                self.store.rewrite_lost({key: lost[key]})
        self.publish_replicas(
            [replica for replica in self.replicas if f"servers/{replica.instance}" in lost]
        )

    async def ask(self, instance, target, key=None):
        """Send a GET request with a key, by default one that is always valid."""
        request_id = b"probe-%d" % next(_probe_numbers)
        key = key or self.organisations.steady_key
        self.organisations.names[request_id] = self.organisations.holders.get(key, set())
        headers = [(standin_organisations.KEY_HEADER, key.encode())]
        return await entry_process.ask(instance.ports[0], target, request_id, headers)

    def known_crashes(self):
        """
        Return the ids of the attempts on which replicas crashed and which instances can know.

        What all instances lose at once is lost (docs/requests-that-end-replicas.md).
        """
        lost_s = processes_module.last_common_loss_s(self.instances)
        return [request_id for at_s, request_id in self.crashes if at_s >= lost_s]

    async def wait_until_ready(self):
        """Wait until every instance reports that it is ready."""
        async with asyncio.timeout(30 + self.instance_count):
            for instance in self.instances:
                while not await _is_ready(instance):
                    await asyncio.sleep(0.05)


async def _is_ready(instance):
    with contextlib.suppress(client.ConnectError, client.ExchangeError, TimeoutError):
        async with asyncio.timeout(1.0):
            return await entry_process.ready(instance)
    return False


_probe_numbers = itertools.count()
