"""Fault injection for the soak test, from outside the instances."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import attrs
import testbed as testbed_module

from turmericlug.http1 import client
from turmericlug.http1 import messages


@attrs.define
class FaultInjector:
    """Injects the faults of one seed, one after the other and overlapping."""

    testbed: testbed_module.Testbed
    max_pause_s: float = 1.2
    """Longest pause between the beginnings of two faults, with three instances."""

    async def run(self, duration_s):
        """Inject faults for the given time, then wait until the last one is over."""
        loop = asyncio.get_running_loop()
        rng = self.testbed.rng
        end_s = loop.time() + duration_s
        faults = self.faults()
        # Each instance has about as many faults at a time as with three instances.
        pause_s = self.max_pause_s * 3 / self.testbed.instance_count
        running = set()
        while loop.time() < end_s:
            running.add(asyncio.create_task(rng.choice(faults)()))
            await asyncio.sleep(rng.uniform(0.1, 1.0) * pause_s)
        await asyncio.gather(*running)

    def faults(self):
        """Return the faults to choose from; each is a coroutine function."""
        return (
            self._kill_instance, self._freeze_instance, self._restart_instance, self._store_outage,
            self._expire_leases, self._forget_history, self._replica_fault, self._drain_replica,
            self._new_configuration, self._delay_connections, self._refuse_connections,
            self._cut_one_way, self._hang_connections, self._restart_replica,
            self._malformed_entries, self._lethal_request, self._restore_store,
            self._restore_store,
        )  # fmt: skip

    def _pick_instance(self):
        """Pick an undisturbed instance, or ``None`` if it would be the last one."""
        undisturbed = [instance for instance in self.testbed.instances if not instance.disturbed]
        if len(undisturbed) < 2:
            return None
        chosen = self.testbed.rng.choice(undisturbed)
        chosen.disturbed = True
        return chosen

    async def _kill_instance(self):
        instance = self._pick_instance()
        if instance is not None:
            instance.signal(signal.SIGKILL)
            await instance.process.wait()
            await instance.start()

    async def _freeze_instance(self):
        instance = self._pick_instance()
        if instance is not None:
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(self.testbed.rng.uniform(0.1, 2.0))
            instance.signal(signal.SIGCONT)
            instance.disturbed = False

    async def _restart_instance(self):
        instance = self._pick_instance()
        if instance is not None:
            instance.signal(signal.SIGTERM)
            await instance.process.wait()
            await instance.start()

    async def _disturb_connections(self, min_s, max_s, **changes):
        """Change up to three proxy routes to the store, to replicas or between instances."""
        rng, proxy = self.testbed.rng, self.testbed.proxy
        defaults = {"mode": "pass", "one_way": "", "delay_ms": 0.0}
        prefix = rng.choice(("store/", "replica/", "peer/"))
        names = [name for name in sorted(proxy.routes) if name.startswith(prefix)]
        names = rng.sample(names, rng.randint(1, min(3, len(names))))
        for name in names:
            proxy.update_route(name, changes)
        await asyncio.sleep(rng.uniform(min_s, max_s))
        for name in names:
            proxy.update_route(name, defaults)

    async def _delay_connections(self):
        await self._disturb_connections(
            0.5, 3.0, delay_ms=self.testbed.rng.choice((20.0, 150.0, 600.0))
        )

    async def _refuse_connections(self):
        await self._disturb_connections(0.1, 1.5, mode="refuse")

    async def _cut_one_way(self):
        await self._disturb_connections(0.3, 3.0, one_way=self.testbed.rng.choice(("up", "down")))

    async def _hang_connections(self):
        await self._disturb_connections(0.3, 4.0, mode="hang")

    async def _store_outage(self):
        self.testbed.store.fault = self.testbed.rng.choice(("busy", "silent", "lost"))
        await asyncio.sleep(self.testbed.rng.uniform(0.2, 3.0))
        self.testbed.store.fault = None

    async def _expire_leases(self):
        testbed = self.testbed
        expired = [replica for replica in testbed.replicas if testbed.rng.random() < 0.8]
        for replica in expired:
            testbed.store.remove(f"servers/{replica.instance}")
        for lease in list(testbed.store.leases):
            testbed.store.end_lease(lease)
        await asyncio.sleep(testbed.rng.uniform(0.2, 1.5))
        testbed.publish_replicas(expired)

    async def _restore_store(self):
        """Restore the store from an earlier backup after a short outage, once or twice."""
        rng, testbed = self.testbed.rng, self.testbed
        for _ in range(rng.randint(1, 2)):
            testbed.store.fault = "silent"
            await asyncio.sleep(rng.uniform(0.05, 0.6))
            testbed.store.cut_on_restore = rng.random() < 0.8
            lost = testbed.restore_store(rng.randint(0, 30))
            testbed.store.fault = None
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            testbed.rewrite_lost(lost)

    async def _forget_history(self):
        self.testbed.store.forget_history()

    async def _new_configuration(self):
        self.testbed.publish_configuration()

    async def _drain_replica(self):
        replica = self.testbed.rng.choice(self.testbed.replicas)
        self.testbed.publish_replicas([replica], "draining")
        await asyncio.sleep(self.testbed.rng.uniform(0.5, 2.0))
        self.testbed.publish_replicas([replica])

    async def _restart_replica(self):
        """Crash and restart a replica; an entry of its previous run is written late."""
        replica = self.testbed.rng.choice(self.testbed.replicas)
        stale_entry = replica.entry("draining")
        replica.script = _crash
        await asyncio.sleep(self.testbed.rng.uniform(0.1, 0.6))
        replica.restart()
        replica.script = None
        self.testbed.publish_replicas([replica])
        await asyncio.sleep(self.testbed.rng.uniform(0.0, 0.6))
        self.testbed.store.put(f"servers/{replica.instance}", stale_entry)
        await asyncio.sleep(self.testbed.rng.uniform(0.1, 0.6))
        self.testbed.publish_replicas([replica])

    async def _malformed_entries(self):
        """Write entries that describe no replica, under a new key, a replica's key or both."""
        rng, store = self.testbed.rng, self.testbed.store
        replica = rng.choice(self.testbed.replicas)
        keys = ["servers/i-foreign", f"servers/{replica.instance}"]
        for key in rng.sample(keys, rng.randint(1, 2)):
            store.put(key, rng.choice(MALFORMED_ENTRIES))
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        store.remove("servers/i-foreign")
        self.testbed.publish_replicas([replica])

    async def _lethal_request(self):
        """Send a request that crashes every replica that runs it."""
        instance = self.testbed.rng.choice(self.testbed.instances)
        with contextlib.suppress(client.ConnectError, client.ExchangeError, TimeoutError):
            async with asyncio.timeout(2.0):
                await self.testbed.ask(instance, b"/all/lethal")

    async def _replica_fault(self):
        replica = self.testbed.rng.choice(self.testbed.replicas)
        replica.script = self.testbed.rng.choice(
            (
                _shed,
                _fail,
                _lose_response(replica),
                _respond_to_another_request,
                _respond_slowly,
                _respond_twice,
            )
        )
        await asyncio.sleep(self.testbed.rng.uniform(0.3, 2.0))
        replica.script = None


MALFORMED_ENTRIES = (
    b"\xff\xfe",
    b"[]",
    b"{}",
    {"Service": "bills", "Address": "127.0.0.1:1", "State": "ready"},
    {"Service": ["bills"], "Address": 7, "Zone": None, "Slots": "2", "State": "resting"},
)


async def _crash(request):
    raise ConnectionResetError("the replica has crashed")


async def _shed(request):
    return messages.Response(503, ((b"x-not-executed", b"1"),))


async def _fail(request):
    request_id = request.header(b"x-request-id") or b""
    return messages.Response(500, ((b"x-request-id", request_id), (b"x-server-stamp", b"i.1.f")))


async def _respond_to_another_request(request):
    headers = ((b"x-request-id", b"other"), (b"x-server-stamp", b"i.1.other"))
    return messages.Response(200, headers, b"f" * 16)


async def _respond_slowly(request):
    await asyncio.sleep(0.25)


async def _respond_twice(request):
    """Send a response that is followed by the bytes of a second one."""
    headers = ((b"x-request-id", b"other"), (b"x-server-stamp", b"i.1.other"))
    return messages.Response(
        200, headers, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", close=True
    )


def _lose_response(replica):
    async def lose_response(request):
        """Run the request, but respond without a stamp and with another request id."""
        replica.runs.append(request.header(b"x-request-id") or b"")
        return messages.Response(200, ((b"x-request-id", b"lost"),))

    return lose_response
