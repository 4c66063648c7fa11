"""Gossip between instances about requests that crash replicas."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

import pytest
import scripted
from hypothesis import given
from hypothesis import strategies

from turmericlug.direct import budget
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import quarantine as quarantine_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import suspects
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import server
from turmericlug.kernel import tasks
from turmericlug.policy import poison
from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import suspects_codec

PLACE = placement.Place("own", "dc", {"dc": "r"})
FINGERPRINT = b"fingerprint"


class Instance:
    """An instance with its own suspect table that receives reports of others."""

    def __init__(self, name, stack):
        self.name = name
        self.stack = stack
        loop = asyncio.get_running_loop()
        self.counters = counters_module.Counters()
        self.quarantine = quarantine_module.Quarantine(self.counters, loop.time)
        self.peers = replicas_module.Replicas(self._make_pool, PLACE, budget.Allowance())
        self.gossip = suspects.SuspectGossip(
            self.quarantine, self.peers, self.counters, "dc", random.Random(name)
        )
        self.cut_off = False
        self.port = 0

    def _make_pool(self, entry):
        async def connect():
            return await client.connect(entry.host, entry.port)

        return pool_module.Pool(connect, lambda: 4, asyncio.get_running_loop().time)

    async def listen(self):
        """Serve the reports of other instances."""
        handle = suspects.handler(self.quarantine, self.gossip)

        async def handler(request):
            return messages.Response(404) if self.cut_off else await handle(request)

        http_server = server.Server(handler, messages.Limits, 100)
        listener = await server.listen(http_server, "127.0.0.1", 0)
        self.stack.callback(http_server.close)
        self.stack.callback(listener.close)
        self.port = listener.sockets[0].getsockname()[1]

    async def start(self):
        """Run the gossip with other instances."""
        loops = (self.gossip.run_broadcast(), self.gossip.run_sync())
        await self.stack.enter_async_context(tasks.background(*loops))

    def add_peers(self, others):
        """Add other instances as peers."""
        for other in others:
            if other is not self:
                self.peers.put(
                    routes.ReplicaEntry(
                        other.name, "dc", "127.0.0.1", other.port, "dc", 1, False, 0
                    )
                )

    def crash(self, replica, on_trial=False, fingerprint=FINGERPRINT):
        """Observe the crash of a replica."""
        crashed = replica_module.Replica(scripted.entry(replica), None)
        self.quarantine._record_crash(fingerprint, crashed, on_trial)

    def verdict(self):
        return self.quarantine.verdict(FINGERPRINT)


def run_scenario(count, scenario):
    """Run a scenario with a number of instances that are peers of each other."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            instances = [Instance(f"e{number}", stack) for number in range(count)]
            for instance in instances:
                await instance.listen()
            for instance in instances:
                instance.add_peers(instances)
                await instance.start()
            async with asyncio.timeout(30):
                await scenario(instances)

    asyncio.run(main())


async def until(condition, limit_s=10.0):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("count", [7, 40])
def test_crashes_observed_by_different_instances_reach_all(monkeypatch, count):
    """
    A caller repeats its request at another instance each time, and each observes one crash. The
    immediate reports must reach all instances, also if each goes to a few others only.
    """
    monkeypatch.setattr(suspects, "SYNC_INTERVAL_S", 1000.0)

    async def scenario(instances):
        for number, instance in enumerate(instances[:3]):
            instance.crash(f"r{number}")
        await until(
            lambda: all(instance.verdict() is poison.Verdict.SUSPECTED for instance in instances)
        )
        instances[-1].crash("r9", on_trial=True)
        await until(
            lambda: all(instance.verdict() is poison.Verdict.QUARANTINED for instance in instances)
        )
        assert instances[4].quarantine.lift(FINGERPRINT)
        await until(
            lambda: all(instance.verdict() is poison.Verdict.ALLOWED for instance in instances)
        )

    run_scenario(count, scenario)


def test_an_instance_that_was_cut_off_or_has_just_started_catches_up(monkeypatch):
    """
    One instance was cut off when the others were sent reports of a request, another one starts
    later. Both would send the request to replicas.
    """
    monkeypatch.setattr(suspects, "SYNC_INTERVAL_S", 0.2)

    async def scenario(instances):
        isolated = instances[-1]
        isolated.cut_off = True
        for number in range(3):
            instances[0].crash(f"r{number}")
        await until(lambda: instances[1].verdict() is poison.Verdict.SUSPECTED)
        await asyncio.sleep(0.1)
        assert isolated.verdict() is poison.Verdict.ALLOWED
        isolated.cut_off = False
        await until(lambda: isolated.verdict() is poison.Verdict.SUSPECTED)
        late = Instance("late", instances[0].stack)
        late.add_peers(instances)
        await late.start()
        await until(lambda: late.verdict() is poison.Verdict.SUSPECTED)

    run_scenario(5, scenario)


def test_an_answer_at_one_instance_clears_a_request_at_all():
    async def scenario(instances):
        call = scripted.make_call()
        call.fingerprint = FINGERPRINT
        instances[3].quarantine.record_answer(call)
        for number in range(3):
            instances[0].crash(f"r{number}")
        assert instances[0].verdict() is poison.Verdict.SUSPECTED
        await until(lambda: instances[0].verdict() is poison.Verdict.ALLOWED)
        await until(
            lambda: all(instance.verdict() is poison.Verdict.ALLOWED for instance in instances)
        )

    run_scenario(5, scenario)


def test_a_first_crash_that_is_soon_followed_by_an_answer_is_not_reported():
    """A rack is lost: hundreds of requests in flight there are answered by the other replicas."""

    async def scenario(instances):
        await until(lambda: instances[0].counters.totals["poison.exchanges"])
        instances[0].crash("r0")
        call = scripted.make_call()
        call.fingerprint = FINGERPRINT
        instances[0].quarantine.record_answer(call)
        before = instances[0].counters.totals["poison.exchanges"]
        await asyncio.sleep(2 * suspects.FIRST_CRASH_DELAY_S)
        assert instances[0].counters.totals["poison.exchanges"] == before
        assert not instances[1].quarantine.table.records

    run_scenario(3, scenario)


def exchanges(instances):
    return sum(instance.counters.totals["poison.exchanges"] for instance in instances)


@pytest.mark.parametrize("count", [7, 20])
def test_gossip_terminates(monkeypatch, count):
    """
    A query was in flight beside a poison request at many replicas that crashed, each instance
    observed other crashes of it, and its caller repeated it and was answered. The reports between
    the instances then never converged: seven of them sent 0.161 GB between regions in 90 s, and
    took 232 s of CPU time instead of 35.
    """
    monkeypatch.setattr(suspects, "SYNC_INTERVAL_S", 0.3)

    async def scenario(instances):
        await until(
            lambda: all(instance.counters.totals["poison.exchanges"] for instance in instances)
        )
        for number, instance in enumerate(instances):
            for replica in range(12):
                instance.crash(f"r{number}-{replica}")
            for request in range(10):
                instance.crash(f"r{number}", fingerprint=b"beside-%d-%d" % (number, request))
        await asyncio.sleep(0.5)
        assert {instance.verdict() for instance in instances} == {poison.Verdict.SUSPECTED}
        call = scripted.make_call()
        call.fingerprint = FINGERPRINT
        instances[0].quarantine.record_answer(call)
        await until(
            lambda: all(instance.verdict() is poison.Verdict.ALLOWED for instance in instances)
        )
        before = -1
        async with asyncio.timeout(10):
            while before != exchanges(instances):
                before = exchanges(instances)
                await asyncio.sleep(0.5)

    run_scenario(count, scenario)


def test_nothing_is_sent_while_no_request_is_withheld(monkeypatch):
    monkeypatch.setattr(suspects, "SYNC_INTERVAL_S", 0.05)

    async def scenario(instances):
        await until(
            lambda: all(instance.counters.totals["poison.exchanges"] for instance in instances)
        )
        await asyncio.sleep(0.5)
        assert [instance.counters.totals["poison.exchanges"] for instance in instances] == [1, 1, 1]

    run_scenario(3, scenario)


TIMES_S = strategies.one_of(strategies.just(-math.inf), strategies.floats(0.0, 1000.0))
RECORDS = strategies.builds(
    poison.Record,
    strategies.dictionaries(
        strategies.text(max_size=9), strategies.floats(0.0, 1000.0), max_size=8
    ),
    TIMES_S,
    TIMES_S,
    strategies.integers(0, 100),
    strategies.one_of(strategies.just(-math.inf), strategies.floats(1000.001, 1003.0)),
)


@given(
    strategies.dictionaries(strategies.binary(min_size=16, max_size=16), RECORDS),
    strategies.booleans(),
)
def test_encoding_round_trip(records, wants_all):
    message = suspects_codec.encode(suspects_codec.Suspects(records, wants_all), 1000.0)
    decoded = suspects_codec.decode(message, 1000.0)
    assert decoded.wants_all is wants_all
    assert decoded.records.keys() == records.keys()
    for fingerprint, record in records.items():
        found = decoded.records[fingerprint]
        assert found.crashes == pytest.approx(record.crashes, abs=0.001)
        assert found.quarantines == record.quarantines
        times = [
            (compared.answered_s, compared.quarantined_s, compared.trial_until_s)
            for compared in (found, record)
        ]
        assert times[0] == pytest.approx(times[1], abs=0.001)


@given(strategies.binary(max_size=200))
def test_corrupt_messages_raise_only_message_errors(content):
    try:
        suspects_codec.decode(content, 0.0)
    except suspects_codec.MessageError:
        return
