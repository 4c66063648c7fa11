"""Real entry instances that reach the stand-in store and each other through proxies."""

from __future__ import annotations

import contextlib
import functools
import itertools
import json
import signal

import attrs
import entry_process
import standin_organisations
import standin_platform

from turmericlug.http1 import client
from turmericlug_lab import fleet_spec
from turmericlug_lab import standin_proxy

REGIONS = {"dc-1": "r-1", "dc-2": "r-2"}
SHARDS = ["s0", "s1", "s2"]


@attrs.define
class World:
    """A store, replicas, and instances that reach the store and each other through proxies."""

    store: standin_platform.Store
    replicas: list[standin_platform.Replica]
    instances: list[entry_process.Instance] = attrs.field(factory=list)
    proxy: standin_proxy.Proxy | None = None
    chunks: list[bytes] = attrs.field(factory=list)
    """What instances have sent to each other."""
    version: int = 0

    def configure(self, *quoted, **keys):
        """
        Write a version of the configuration.

        :param quoted: organisations with quotas
        :param keys: the keys of each further organisation
        """
        self.version += 1
        routes = [
            standin_platform.route("all", "/all/", Gather=SHARDS, TopK=2, MinCoverage=0.6),
            standin_platform.route("one", "/one/", Service="one"),
            standin_platform.route("public", "/public/", Service="one", Public=True),
        ]
        organisations = [
            *quoted,
            *(standin_organisations.Organisation(name, held) for name, held in keys.items()),
        ]
        configuration = standin_platform.configuration(
            self.version, routes, [*SHARDS, "one"], organisations or None
        )
        self.store.put("op/config", configuration)

    async def until_applied(self):
        """Wait until all instances have the newest configuration and count each other."""
        expected = (self.version, len(self.instances))
        for instance in self.instances:
            await entry_process.until(functools.partial(_has, instance, *expected))


async def _has(instance, version, instance_count):
    try:
        page = await entry_process.ask(instance.ports[3], b"/status", b"s")
    except client.ConnectError:
        # An instance becomes ready before it listens on its metrics address.
        return False
    status = json.loads(page.body)
    known = (status["configuration_version"], status["instances_counted"])
    return known == (version, instance_count)


async def _start_replicas(stack, data_centre):
    replicas = []
    for service, number in itertools.product([*SHARDS, "one"], range(2)):
        body = bytes(15) + bytes([len(replicas)])
        replica = standin_platform.Replica(
            f"i-{service}-{number}", service, body, data_centre=data_centre
        )
        listening = standin_platform.listening(replica.handle)
        replica.address = await stack.enter_async_context(listening)
        replicas.append(replica)
    return replicas


@contextlib.asynccontextmanager
async def running(tmp_path, data_centres, replicas_in, sections="", grace_s=3.0, **keys):
    """
    Run an instance in each of the data centres, and all replicas in one.

    :param sections: further sections of the settings
    :param grace_s: grace period of each instance
    :param keys: the keys of each organisation in the first configuration
    """
    async with contextlib.AsyncExitStack() as stack:
        store = standin_platform.Store()
        world = World(store, await _start_replicas(stack, replicas_in))
        for replica in world.replicas:
            store.put(f"servers/{replica.instance}", replica.entry())
        address = await stack.enter_async_context(standin_platform.listening(store.handle))
        proxy_routes = []
        for number, data_centre in enumerate(data_centres, 1):
            name = f"e-{number}"
            store_port, peers_port = fleet_spec.reserve_ports(2)
            instance = entry_process.make(tmp_path, name, store_port, REGIONS, data_centre, grace_s)
            instance.settings.write_text(instance.settings.read_text() + sections)
            world.instances.append(instance)
            proxy_routes += [
                standin_proxy.Route(f"store/{name}", store_port, address[1]),
                standin_proxy.Route(
                    f"peer/{name}", peers_port, instance.ports[4], observe=world.chunks.append
                ),
            ]
        world.proxy = standin_proxy.Proxy("127.0.0.1", proxy_routes)
        store.rewrite_value = functools.partial(standin_platform.advertise_proxy, world.proxy)
        await world.proxy.start()
        stack.callback(world.proxy.close)
        world.configure(**keys)
        for instance in world.instances:
            await instance.start()
            stack.push_async_callback(_kill, instance)
        for instance in world.instances:
            await entry_process.until(lambda instance=instance: entry_process.ready(instance))
        yield world


async def _kill(instance):
    instance.signal(signal.SIGKILL)
    await instance.process.wait()
