"""Faults around the starts of processes, and values from outside that no process may end on."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket

import attrs
import faults as faults_module
import odd_store
from integration import test_outside_values

HELD_PORTS = (0, 3, 4)
"""Indices of the ports for callers, metrics and peers."""
MANY_DIGITS = test_outside_values.MANY_DIGITS
LONG_TEXT = "x" * 700_000
ODD_FIELDS = (
    {"Slots": MANY_DIGITS}, {"Slots": -1}, {"Slots": 2**70}, {"Slots": 1e308}, {"Slots": True},
    {"Sequence": MANY_DIGITS}, {"Sequence": 2**70}, {"Sequence": "1"},
    {"born": MANY_DIGITS}, {"born": 2**70}, {"born": -1}, {"born": []},
    {"WarmupLeftMs": MANY_DIGITS}, {"WarmupLeftMs": float("nan")},
    {"Address": "127.0.0.1:65536"}, {"Address": "127.0.0.1:0"}, {"Address": "127.0.0.1:-1"},
    {"Address": f"127.0.0.1:{MANY_DIGITS}"}, {"Address": "127.0.0.1"}, {"Address": "\ud800:80"},
    {"Address": "127.0.0.1:\u0668\u0660"}, {"Address": "127.0.0.1\x00:80"},
    {"Zone": "\ud800"}, {"Zone": LONG_TEXT}, {"Service": "\ud800"}, {"Version": "\ud800"},
    {"Version": LONG_TEXT}, {"Service": LONG_TEXT}, {"State": "\ud800"}, {"Unknown": "\ud800"},
)  # fmt: skip
"""Fields of an entry at whose address a replica answers."""
ODD_ROUTES = (
    {"TrafficSplit": [{"Service": "s0", "Weight": MANY_DIGITS}]}, {"TimeoutMs": "soon"},
    {"TimeoutMs": MANY_DIGITS}, {"TimeoutMs": -1}, {"Priority": [1]}, {"Priority": MANY_DIGITS},
    {"MaxAttempts": MANY_DIGITS}, {"MaxAttempts": 1.5}, {"Prefix": 3}, {"Prefix": LONG_TEXT},
    {"Gather": [["s0"]]}, {"Service": "\ud800"}, {"Name": "\ud800"}, {"Host": "\ud800"},
    {"GoalMs": MANY_DIGITS}, {"Gather": ["s0"], "TopK": MANY_DIGITS, "MinCoverage": MANY_DIGITS},
)  # fmt: skip
"""Fields of a route that is added to an otherwise good configuration."""
ODD_CONFIGURATION_FIELDS = (
    {"Version": "5"}, {"Version": MANY_DIGITS}, {"Limits": {"MaxHeaderBytes": "many"}},
    {"Services": [{"Name": "s0", "MaxConns": MANY_DIGITS}]}, {"Tenants": [{"Name": "\ud800"}]},
    {"Tenants": [3]}, {"Routes": {}},
)  # fmt: skip
ODD_INSTANCES = tuple(
    content
    for key, content in test_outside_values.VALUES.values()
    if key.startswith("turmericlug/instances/")
)
ODD_NAMES = ("odd", "\ud800", "x" * 3000, "a/b", "\x00", "")


@attrs.define
class ProcessFaultInjector(faults_module.FaultInjector):
    """Injects faults that have ended processes or their tasks, beside others that restart them."""

    max_pause_s: float = 0.6
    """Half of the other profile's: most of these faults last only for a start."""

    def faults(self):
        """Return the faults to choose from; each is a coroutine function."""
        return (
            self._hang_up, self._hang_up, self._hang_up_at_start, self._stop_at_start,
            self._rewrite_settings, self._restart_during_rewrite, self._restart_beside,
            self._hold_ports, self._hold_ports, self._kill_several, self._kill_all,
            self._odd_replica_fields, self._odd_replica, self._odd_instance, self._odd_evacuation,
            self._odd_configuration, self._odd_answers, self._odd_answers, self._odd_era,
            self._cut_answers, self._kill_instance, self._freeze_instance, self._freeze_at_start,
            self._restart_instance, self._store_outage, self._expire_leases, self._forget_history,
            self._new_configuration, self._refuse_connections, self._hang_connections,
            self._cut_one_way, self._restore_store,
        )  # fmt: skip

    async def _send_hangups(self, instance):
        """Send SIGHUP once or many times to a process that listens."""
        rng, run = self.testbed.rng, instance.runs[-1]
        count, gap_s = rng.choice((1, 1, 2, 10, 40)), rng.choice((0.0, 0.001, 0.02, 0.05))
        delay_s = rng.uniform(0.0, 0.6)
        if await instance.wait_until_listening(run):
            await asyncio.sleep(delay_s)
            for _ in range(count):
                instance.signal_run(run, signal.SIGHUP)
                await asyncio.sleep(gap_s)

    async def _hang_up(self):
        instance = self._pick_instance()
        if instance is not None:
            instance.disturbed = False
            await self._send_hangups(instance)

    async def _hang_up_at_start(self):
        instance = self._pick_instance()
        if instance is not None:
            await self._kill_and_start(instance)
            await self._send_hangups(instance)

    async def _kill_and_start(self, instance):
        instance.signal(signal.SIGKILL)
        await instance.process.wait()
        await instance.start()

    async def _stop_at_start(self):
        instance = self._pick_instance()
        if instance is not None:
            delay_s = self.testbed.rng.choice((0.0, 0.02, 0.1, 0.3))
            await self._kill_and_start(instance)
            instance.disturbed = True
            run = await instance.stop_listening_run(delay_s)
            await run.process.wait()
            await instance.start()

    async def _freeze_at_start(self):
        instance = self._pick_instance()
        if instance is not None:
            before_s, frozen_s = self.testbed.rng.uniform(0.0, 0.4), self.testbed.rng.uniform(0, 2)
            await self._kill_and_start(instance)
            instance.disturbed = True
            await asyncio.sleep(before_s)
            instance.signal(signal.SIGSTOP)
            await asyncio.sleep(frozen_s)
            instance.signal(signal.SIGCONT)
            instance.disturbed = False

    async def _restart_beside(self):
        """Start a process while the one before it drains, with the same addresses."""
        instance = self._pick_instance()
        if instance is not None:
            delay_s = self.testbed.rng.choice((0.0, 0.05, 0.3))
            leaving = await instance.stop_listening_run()
            await asyncio.sleep(delay_s)
            await instance.start(beside=True)
            instance.disturbed = True
            await leaving.process.wait()
            instance.disturbed = False

    async def _hold_ports(self):
        """Keep another socket on one to three ports while a process starts."""
        rng, instance = self.testbed.rng, self._pick_instance()
        if instance is None:
            return
        indices = rng.sample(HELD_PORTS, rng.randint(1, len(HELD_PORTS)))
        held_s = rng.uniform(0.1, 1.5)
        instance.signal(signal.SIGKILL)
        await instance.process.wait()
        with contextlib.ExitStack() as stack:
            for index in indices:
                with contextlib.suppress(OSError):
                    stack.enter_context(_holding(instance.ports[index]))
            await instance.start()
            instance.disturbed = True
            await asyncio.sleep(held_s)
        instance.disturbed = False

    async def _kill_several(self):
        """Kill several instances within the same second."""
        rng = self.testbed.rng
        chosen = rng.sample(self.testbed.instances, rng.randint(2, len(self.testbed.instances)))
        delays_s = [rng.uniform(0.0, 1.0) for _ in chosen]

        async def kill_late(instance, delay_s):
            await asyncio.sleep(delay_s)
            await self._kill_and_start(instance)

        await asyncio.gather(*map(kill_late, chosen, delays_s))

    async def _kill_all(self):
        await asyncio.gather(*map(self._kill_and_start, self.testbed.instances))

    async def _rewrite_settings(self):
        instance = self._pick_instance()
        if instance is not None:
            instance.disturbed = False
            await self._write_settings_slowly(instance)

    async def _restart_during_rewrite(self):
        instance = self._pick_instance()
        if instance is not None:
            rewrite = asyncio.create_task(self._write_settings_slowly(instance))
            await asyncio.sleep(0)
            await self._kill_and_start(instance)
            await rewrite

    async def _write_settings_slowly(self, instance):
        """Rewrite the settings file in place with another policy; a part is there meanwhile."""
        rng = self.testbed.rng
        good = instance.good_settings.replace("[policy]\n", "[policy]\nextra_slack = {}\n")
        good = good.format(rng.randint(50, 60))
        partial = rng.choice(("", good[: rng.randint(0, 100)], "\0" * 200, None))
        hangups, between_s = rng.choice((0, 0, 1, 3)), rng.uniform(0.0, 0.5)
        with instance.rewriting_settings():
            if partial is None:
                instance.settings.unlink(missing_ok=True)
            else:
                instance.settings.write_text(partial)
            run = instance.runs[-1]
            if hangups and await instance.wait_until_listening(run):
                for _ in range(hangups):
                    instance.signal_run(run, signal.SIGHUP)
            await asyncio.sleep(between_s)
            instance.settings.write_text(good)
        if hangups:
            await self._send_hangups(instance)

    async def _odd_replica_fields(self):
        """Write entries with odd fields for replicas that answer, under their own keys."""
        rng = self.testbed.rng
        replicas = rng.sample(self.testbed.replicas, rng.randint(1, 3))
        for replica in replicas:
            entry = replica.entry() | {"Zone": replica.zone} | rng.choice(ODD_FIELDS)
            self.testbed.store.put(f"servers/{replica.instance}", entry)
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        self.testbed.publish_replicas(replicas)

    async def _odd_replica(self):
        """Write an odd entry under a key of its own; it may name the address of a replica."""
        rng, store = self.testbed.rng, self.testbed.store
        key = f"servers/{rng.choice(ODD_NAMES)}"
        replica = rng.choice(self.testbed.replicas)
        entry = replica.entry() | {"Zone": replica.zone} | rng.choice(({}, *ODD_FIELDS))
        store.put(key, rng.choice((entry, entry, test_outside_values.DEEP_JSON)))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        store.remove(key)

    async def _odd_instance(self):
        rng, store = self.testbed.rng, self.testbed.store
        key = f"turmericlug/instances/{rng.choice(ODD_NAMES)}"
        store.put(key, rng.choice(ODD_INSTANCES))
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        store.remove(key)

    async def _odd_evacuation(self):
        key = f"op/evacuate/{self.testbed.rng.choice(ODD_NAMES)}"
        self.testbed.store.put(key, test_outside_values.DEEP_JSON)
        await asyncio.sleep(self.testbed.rng.uniform(0.1, 2.0))
        self.testbed.store.remove(key)

    async def _odd_configuration(self):
        """Write an odd configuration, otherwise equal to the present one; then a good one."""
        rng, testbed = self.testbed.rng, self.testbed
        present = testbed.configuration
        testbed.version += 1
        route = present["Routes"][0] | {"Name": "odd", "Prefix": "/odd/"} | rng.choice(ODD_ROUTES)
        odd = (
            present
            | {"Version": testbed.version}
            | rng.choice(
                ({"Routes": [*present["Routes"], route]}, rng.choice(ODD_CONFIGURATION_FIELDS))
            )
        )
        testbed.store.put("op/config", rng.choice((odd, odd, odd, test_outside_values.DEEP_JSON)))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        testbed.publish_configuration()

    async def _odd_answers(self):
        rng, store = self.testbed.rng, self.testbed.store
        store.odd_answers += [store.draw_odd_answer(rng) for _ in range(rng.randint(1, 6))]
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        store.odd_answers.clear()

    async def _odd_era(self):
        store = self.testbed.store
        store.era_header = self.testbed.rng.choice(odd_store.ERA_HEADERS)
        await asyncio.sleep(self.testbed.rng.uniform(0.1, 1.0))
        store.era_header = None

    async def _cut_answers(self):
        """Close the connections to the store, or to replicas, in the middle of answers."""
        rng, proxy = self.testbed.rng, self.testbed.proxy
        prefix = rng.choice(("store/", "store/", "replica/", "peer/"))
        names = [name for name in sorted(proxy.routes) if name.startswith(prefix)]
        names = rng.sample(names, rng.randint(1, min(3, len(names))))
        for name in names:
            proxy.update_route(name, {"truncate_after": rng.choice((0, 5, 20, 60, 130, 400, 2000))})
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        for name in names:
            proxy.update_route(name, {"truncate_after": -1})


@contextlib.contextmanager
def _holding(port):
    """Keep a socket that listens on a port, and that never accepts."""
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind(("127.0.0.1", port))
        holder.listen()
        yield
