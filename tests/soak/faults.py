"""The faults of a soak, brought about from outside the instances."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import attrs
import world as world_module

from turmericlug.http1 import client
from turmericlug.http1 import messages


@attrs.define
class Faults:
    """Brings about faults of one seed in series and overlapping."""

    world: world_module.World

    async def play(self, length_s):
        """Bring about faults until the time is over, and wait for the last of them to end."""
        loop = asyncio.get_running_loop()
        rng = self.world.rng
        end_s = loop.time() + length_s
        kinds = (
            self._kill, self._freeze, self._stop, self._store_away, self._lapse,
            self._forget_history, self._replica_trouble, self._drain, self._new_version,
            self._delay, self._reset, self._cut_one_way, self._silence,
            self._start_again, self._foreign_entries, self._lethal,
            self._return_from_copy, self._return_from_copy,
        )  # fmt: skip
        # One fault at a time for each three instances: some are left to serve.
        pause_s = 1.2 * 3 / self.world.instances_count
        running = set()
        while loop.time() < end_s:
            running.add(asyncio.create_task(rng.choice(kinds)()))
            await asyncio.sleep(rng.uniform(0.1, 1.0) * pause_s)
        await asyncio.gather(*running)

    def _pick(self):
        """Return an instance that nothing is happening to; one is always left."""
        free = [each for each in self.world.instances if not each.leaving]
        if len(free) < 2:
            return None
        chosen = self.world.rng.choice(free)
        chosen.leaving = True
        return chosen

    async def _kill(self):
        instance = self._pick()
        if instance is not None:
            instance.signal(signal.SIGKILL)
            await instance.process.wait()
            await instance.start()

    async def _freeze(self):
        instance = self._pick()
        if instance is not None:
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(self.world.rng.uniform(0.1, 2.0))
            instance.signal(signal.SIGCONT)
            instance.leaving = False

    async def _stop(self):
        instance = self._pick()
        if instance is not None:
            instance.signal(signal.SIGTERM)
            await instance.process.wait()
            await instance.start()

    async def _link(self, least_s, most_s, **fields):
        """
        Change some connections for a while.

        Those of instances to the store, those to replicas, or those between instances.
        """
        rng, links = self.world.rng, self.world.links
        plain = {"mode": "pass", "one_way": "", "delay_ms": 0.0}
        ends = rng.choice(("store/", "replica/", "peer/"))
        names = [name for name in sorted(links.routes) if name.startswith(ends)]
        names = rng.sample(names, rng.randint(1, min(3, len(names))))
        for name in names:
            links.update_route(name, fields)
        await asyncio.sleep(rng.uniform(least_s, most_s))
        for name in names:
            links.update_route(name, plain)

    async def _delay(self):
        await self._link(0.5, 3.0, delay_ms=self.world.rng.choice((20.0, 150.0, 600.0)))

    async def _reset(self):
        await self._link(0.1, 1.5, mode="refuse")

    async def _cut_one_way(self):
        await self._link(0.3, 3.0, one_way=self.world.rng.choice(("up", "down")))

    async def _silence(self):
        await self._link(0.3, 4.0, mode="hang")

    async def _store_away(self):
        self.world.store.fault = self.world.rng.choice(("busy", "silent", "lost"))
        await asyncio.sleep(self.world.rng.uniform(0.2, 3.0))
        self.world.store.fault = None

    async def _lapse(self):
        world = self.world
        lapsed = [replica for replica in world.replicas if world.rng.random() < 0.8]
        for replica in lapsed:
            world.store.remove(f"servers/{replica.instance}")
        for lease in list(world.store.leases):
            world.store.end_lease(lease)
        await asyncio.sleep(world.rng.uniform(0.2, 1.5))
        world.write_replicas(lapsed)

    async def _return_from_copy(self):
        """Let the store be away for a moment and come back with what it held before, or twice."""
        rng, world = self.world.rng, self.world
        for _ in range(rng.randint(1, 2)):
            world.store.fault = "silent"
            await asyncio.sleep(rng.uniform(0.05, 0.6))
            world.store.cut_on_restore = rng.random() < 0.8
            lost = world.store.restore_backup(rng.randint(0, 30))
            world.store.fault = None
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            world.write_again(lost)

    async def _forget_history(self):
        self.world.store.forget_history()

    async def _new_version(self):
        self.world.configure()

    async def _drain(self):
        replica = self.world.rng.choice(self.world.replicas)
        self.world.write_replicas([replica], "draining")
        await asyncio.sleep(self.world.rng.uniform(0.5, 2.0))
        self.world.write_replicas([replica])

    async def _start_again(self):
        """Crash a replica and start it under its name; a write of its former self comes late."""
        replica = self.world.rng.choice(self.world.replicas)
        former = replica.entry("draining")
        replica.script = _cut
        await asyncio.sleep(self.world.rng.uniform(0.1, 0.6))
        replica.start_again()
        replica.script = None
        self.world.write_replicas([replica])
        await asyncio.sleep(self.world.rng.uniform(0.0, 0.6))
        self.world.store.put(f"servers/{replica.instance}", former)
        await asyncio.sleep(self.world.rng.uniform(0.1, 0.6))
        self.world.write_replicas([replica])

    async def _foreign_entries(self):
        """Let somebody write what names no replica, under new keys and under a replica's own."""
        rng, store = self.world.rng, self.world.store
        replica = rng.choice(self.world.replicas)
        keys = ["servers/i-foreign", f"servers/{replica.instance}"]
        for key in rng.sample(keys, rng.randint(1, 2)):
            store.put(key, rng.choice(FOREIGN_VALUES))
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        store.remove("servers/i-foreign")
        self.world.write_replicas([replica])

    async def _lethal(self):
        """Let a caller come with a request that ends the replicas that run it."""
        instance = self.world.rng.choice(self.world.instances)
        with contextlib.suppress(client.ConnectError, client.ExchangeError, TimeoutError):
            async with asyncio.timeout(2.0):
                await world_module.ask(instance.ports[0], b"/all/lethal")

    async def _replica_trouble(self):
        replica = self.world.rng.choice(self.world.replicas)
        replica.script = self.world.rng.choice(
            (_shed, _fail, _lose(replica), _foreign, _slow, _extra)
        )
        await asyncio.sleep(self.world.rng.uniform(0.3, 2.0))
        replica.script = None


FOREIGN_VALUES = (
    b"\xff\xfe",
    b"[]",
    b"{}",
    {"Service": "bills", "Address": "127.0.0.1:1", "State": "ready"},
    {"Service": ["bills"], "Address": 7, "Zone": None, "Slots": "2", "State": "resting"},
)


async def _cut(request):
    raise ConnectionResetError("the replica has crashed")


async def _shed(request):
    return messages.Response(503, ((b"x-not-executed", b"1"),))


async def _fail(request):
    request_id = request.header(b"x-request-id") or b""
    return messages.Response(500, ((b"x-request-id", request_id), (b"x-server-stamp", b"i.1.f")))


async def _foreign(request):
    headers = ((b"x-request-id", b"other"), (b"x-server-stamp", b"i.1.other"))
    return messages.Response(200, headers, b"f" * 16)


async def _slow(request):
    await asyncio.sleep(0.25)


async def _extra(request):
    """Answer and send a second answer behind it."""
    headers = ((b"x-request-id", b"other"), (b"x-server-stamp", b"i.1.other"))
    return messages.Response(
        200, headers, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", close=True
    )


def _lose(replica):
    async def lose(request):
        """Run the request and lose the answer."""
        replica.runs.append(request.header(b"x-request-id") or b"")
        return messages.Response(200, ((b"x-request-id", b"lost"),))

    return lose
