"""Crashes of replicas that have a request, which is then withheld from other replicas."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import threading
import time

import attrs
import pytest
import scripted
import uvloop

from turmericlug.direct import answering
from turmericlug.direct import attempts
from turmericlug.direct import quarantine
from turmericlug.direct import sending
from turmericlug.direct import trial
from turmericlug.http1 import client
from turmericlug.policy import poison

CLOSED = client.ConnectionLostError("connection closed")
GOOD = scripted.response(body=bytes(16))
SHARDS = [f"s{number}" for number in range(6)]
FINGERPRINT = b"fingerprint"


def run_scenario(scripts, scenario, **changes):
    """Run a scenario with a call and a sender to scripted replicas."""

    async def main():
        sender = scripted.make_sender(scripts)
        sender.replicas.on_lost = sender.quarantine.on_replica_lost
        call = scripted.make_call(**changes)
        call.fingerprint = FINGERPRINT
        async with asyncio.timeout(10):
            result = await scenario(sender, call)
        await sender.tasks.close()
        return result

    return asyncio.run(main())


def two_replicas(first, second):
    return {"s": {"a": first, "b": second}}


def query(make_replica):
    """Return six shards of two replicas each, and the arguments of a query over them."""
    scripts = {
        shard: {f"{shard}-{number}": make_replica() for number in (0, 1)} for shard in SHARDS
    }
    return scripts, {
        "shards": tuple(SHARDS),
        "services": (),
        "min_coverage": 0.5,
        "top_records": 2,
        "goal_ms": 200.0,
    }


def count_requests(scripts):
    return sum(
        len(script.requests) for replicas in scripts.values() for script in replicas.values()
    )


@pytest.mark.parametrize(
    ("replica", "draining", "removed", "crashes"),
    [
        pytest.param(scripted.CrashingReplica(), False, False, 1, id="refuses connections"),
        pytest.param(
            scripted.CrashingReplica(accepts_connections=True),
            False,
            False,
            0,
            id="reset connection",
        ),
        pytest.param(
            scripted.CrashingReplica(accepts_connections=True), False, True, 1, id="entry lost"
        ),
        pytest.param(
            scripted.CrashingReplica(accepts_connections=True), True, True, 0, id="planned shutdown"
        ),
        pytest.param(
            scripted.ScriptedReplica(client.ExchangeError("unreadable response: x")),
            False,
            True,
            0,
            id="corrupt response",
        ),
        pytest.param(
            scripted.ScriptedReplica(client.ConnectRefusedError("x")),
            False,
            True,
            0,
            id="never sent",
        ),
        pytest.param(scripted.ScriptedReplica(scripted.SHED), False, True, 0, id="shed"),
    ],
)
def test_what_counts_as_a_crash(replica, draining, removed, crashes):
    """
    Networks reset connections, responses are corrupt, replicas shut down as planned. If these
    counted as crashes, harmless requests would be withheld.
    """

    async def scenario(sender, call):
        await attempts.get_answer(sender, call, "s")
        if removed:
            sender.replicas.put(scripted.entry("a", "s", draining=draining))
            sender.replicas.remove("a")
        record = sender.quarantine.table.records.get(FINGERPRINT)
        return len(record.crashes) if record else 0

    replica.script = list(replica.script)
    replica.requests.clear()
    crash_count = run_scenario({"s": {"a": replica}}, scenario, max_attempts=1)
    assert crash_count == crashes


def test_a_replica_that_restarts_under_its_name_has_crashed():
    async def scenario(sender, call):
        sender.replicas.put(scripted.entry("a", "s", born_ms=1))
        await attempts.get_answer(sender, call, "s")
        sender.replicas.put(scripted.entry("a", "s", born_ms=2))
        return list(sender.quarantine.table.records[FINGERPRINT].crashes)

    assert run_scenario(
        {"s": {"a": scripted.CrashingReplica(accepts_connections=True)}}, scenario
    ) == ["a@1"]


def test_silence_and_a_lost_entry_are_a_crash():
    """A machine fails silently during a request: connections stay open, and the entry expires."""

    async def scenario(sender, call):
        await attempts.get_answer(sender, call, "s")
        sender.replicas.remove("a")
        return len(sender.quarantine.table.records[FINGERPRINT].crashes)

    crash_count = run_scenario(
        {"s": {"a": scripted.ScriptedReplica(30.0)}}, scenario, max_attempts=1, deadline_ms=50.0
    )
    assert crash_count == 1


def test_a_query_that_crashes_replicas_is_not_retried_at_all_shards():
    """
    A query goes to six shards and crashes a replica of each. If it were retried at the other
    replica of each, it would take down the whole service; after the third crash nothing more is
    sent.
    """
    scripts, changes = query(scripted.CrashingReplica)

    async def scenario(sender, call):
        return await answering.query_shards(sender, call)

    result = run_scenario(scripts, scenario, **changes)
    assert (result.outcome, result.answer.status) == ("failed", 502)
    assert count_requests(scripts) <= len(SHARDS) + poison.CRASHES_TO_SUSPECT - 1


STALL_S = 0.15
"""Longer than the hedge delay of the query's parts."""


def stall_at(sender, part):
    """Block the event loop once, while a part of a query starts."""
    retry_budget, services = sender.replicas.retry_budget, []

    def stalling_retry_budget(service):
        services.append(service)
        if len(services) == part:
            time.sleep(STALL_S)
        return retry_budget(service)

    sender.replicas.retry_budget = stalling_retry_budget


@pytest.mark.parametrize("part", range(1, len(SHARDS) + 1))
def test_a_stalled_process_does_not_hedge_parts_of_crashed_replicas(part):
    """Hedges fell due during the stall and reached further replicas before crashes were known."""
    scripts, changes = query(scripted.CrashingReplica)

    async def scenario(sender, call):
        stall_at(sender, part)
        return await answering.query_shards(sender, call)

    result = run_scenario(scripts, scenario, **changes)
    assert result.outcome == "failed"
    assert count_requests(scripts) <= len(SHARDS) + poison.CRASHES_TO_SUSPECT - 1


class SocketConnection(scripted.Connection):
    """A connection that receives its response even while the event loop is blocked."""

    async def exchange(self, request):
        receiving, sending_end = socket.socketpair()
        receiving.setblocking(False)
        threading.Timer(0.05, sending_end.send, [b"x"]).start()
        await asyncio.get_running_loop().sock_recv(receiving, 1)
        receiving.close()
        sending_end.close()
        return await super().exchange(request)


class SocketReplica(scripted.ScriptedReplica):
    """A replica whose responses arrive on a socket."""

    async def connect(self):
        return SocketConnection(self)


@contextlib.contextmanager
def stalled_while_reading():
    """Block the event loop once, while it handles received data."""
    loop = asyncio.get_running_loop()
    receiving, sending_end = socket.socketpair()

    def stall():
        loop.remove_reader(receiving)
        time.sleep(STALL_S)

    loop.add_reader(receiving, stall)
    threading.Timer(0.02, sending_end.send, [b"x"]).start()
    yield
    receiving.close()
    sending_end.close()


def test_a_stall_of_this_process_causes_no_hedge(monkeypatch):
    """
    All parts whose responses arrived while the process was stalled were hedged: the event loop in
    production runs timers before it reads.
    """
    monkeypatch.setattr(asyncio.events, "new_event_loop", uvloop.new_event_loop)
    scripts, changes = query(lambda: SocketReplica(GOOD))

    async def scenario(sender, call):
        with stalled_while_reading():
            await answering.query_shards(sender, call)
        return call.hedges

    assert run_scenario(scripts, scenario, **changes) == 0


def stall_often(sender, rng):
    """Block the event loop up to seven times, while parts of a query start and in between."""
    retry_budget, call_numbers = sender.replicas.retry_budget, itertools.count(1)
    stalled_calls = set(rng.sample(range(1, 2 * len(SHARDS) + 1), rng.randint(1, 3)))

    def stalling_retry_budget(service):
        if next(call_numbers) in stalled_calls:
            time.sleep(rng.uniform(0.02, 0.2))
        return retry_budget(service)

    sender.replicas.retry_budget = stalling_retry_budget
    for _ in range(4):
        loop = asyncio.get_running_loop()
        loop.call_later(rng.uniform(0.0, 0.2), time.sleep, rng.uniform(0.01, 0.13))


@pytest.mark.parametrize("seed", range(1, 9))
def test_repeated_stalls_do_not_hedge_parts_of_crashed_replicas(seed):
    """Hedges fell due in one of several stalls and reached replicas before crashes were known."""
    scripts, changes = query(scripted.CrashingReplica)

    async def scenario(sender, call):
        stall_often(sender, random.Random(seed))
        return await answering.query_shards(sender, call)

    run_scenario(scripts, scenario, **changes)
    assert count_requests(scripts) <= len(SHARDS) + poison.CRASHES_TO_SUSPECT - 1


class SlowToRefuse(scripted.CrashingReplica):
    """A replica that crashes on a request, and whose machine is slow to refuse connections."""

    async def connect(self):
        if self.requests:
            await asyncio.sleep(0.06)
        return await super().connect()


def test_a_part_is_not_hedged_while_its_replica_is_probed():
    """The hedge went to another replica before the crash of the first was known."""
    scripts, changes = query(SlowToRefuse)
    changes["goal_ms"] = 120.0

    async def scenario(sender, call):
        await answering.query_shards(sender, call)
        return call.hedges

    assert run_scenario(scripts, scenario, **changes) == 0


def test_a_query_in_flight_at_lost_replicas_is_answered_in_full():
    """
    A rack is lost: one replica of each of four shards crashes with a query in flight. The parts of
    the other shards are answered a moment later, so that the query is not suspected, and is retried
    at the other replica of each shard.
    """
    scripts, changes = query(lambda: scripted.ScriptedReplica(0.02, GOOD))
    for shard in SHARDS[:4]:
        scripts[shard][f"{shard}-0"] = scripted.CrashingReplica()

    async def scenario(sender, call):
        return await answering.query_shards(sender, call)

    result = run_scenario(scripts, scenario, **changes)
    assert (result.outcome, result.answer.status) == ("answered", 200)


def make_suspected(sender):
    for number in range(poison.CRASHES_TO_SUSPECT):
        now_s = asyncio.get_running_loop().time()
        sender.quarantine.table.record_crash(FINGERPRINT, f"r{number}", now_s, on_trial=False)


@pytest.mark.parametrize(
    ("make_replica", "outcome", "status", "sent", "verdict"),
    [
        pytest.param(
            lambda: scripted.ScriptedReplica(GOOD),
            None,
            None,
            1,
            poison.Verdict.ALLOWED,
            id="harmless",
        ),
        pytest.param(
            scripted.CrashingReplica,
            "failed",
            500,
            1,
            poison.Verdict.QUARANTINED,
            id="crashes a replica",
        ),
        pytest.param(
            lambda: scripted.ScriptedReplica(scripted.SHED),
            "refused",
            503,
            None,
            poison.Verdict.SUSPECTED,
            id="not run",
        ),
        pytest.param(
            lambda: scripted.ScriptedReplica(client.ExchangeError("unreadable response: x")),
            "failed",
            502,
            1,
            poison.Verdict.SUSPECTED,
            id="inconclusive",
        ),
    ],
)
def test_a_suspected_query_is_sent_to_one_replica(make_replica, outcome, status, sent, verdict):
    """
    Two callers repeat queries that were in flight when replicas crashed. One of the queries is the
    cause, and its trial costs one replica; the other is answered and proceeds as usual.
    """
    scripts, changes = query(make_replica)

    async def scenario(sender, call):
        make_suspected(sender)
        return await trial.try_query(sender, call), sender.quarantine.verdict(FINGERPRINT)

    result, actual_verdict = run_scenario(scripts, scenario, **changes)
    assert actual_verdict is verdict
    assert (result and result.outcome, result and result.answer.status) == (outcome, status)
    if sent is not None:
        assert count_requests(scripts) == sent


@pytest.mark.parametrize(
    ("first", "outcome", "status"),
    [
        (lambda: scripted.ScriptedReplica(GOOD), "answered", 200),
        (scripted.CrashingReplica, "failed", 500),
        (lambda: scripted.ScriptedReplica(scripted.SHED), "refused", 503),
    ],
    ids=["harmless", "crashes a replica", "not run"],
)
def test_a_suspected_request_to_one_service(first, outcome, status):
    scripts = two_replicas(first(), first())

    async def scenario(sender, call):
        make_suspected(sender)
        return await trial.try_request(sender, call, "s")

    result = run_scenario(scripts, scenario)
    assert (result.outcome, result.answer.status) == (outcome, status)


def test_an_attempt_during_a_trial_waits_for_its_outcome():
    """A popular query is on trial while further callers send it; one trial decides for all."""
    scripts, changes = query(lambda: scripted.ScriptedReplica(0.05, GOOD))

    async def scenario(sender, call):
        make_suspected(sender)
        other = scripted.make_call(**changes)
        other.fingerprint = FINGERPRINT
        return await asyncio.gather(trial.try_query(sender, call), trial.try_query(sender, other))

    assert run_scenario(scripts, scenario, **changes) == [None, None]
    assert count_requests(scripts) == 1


@pytest.mark.parametrize("enabled", [True, False])
def test_a_quarantined_request_is_answered_at_once(enabled):
    """Nothing is sent; the answer neither says that the request did not run nor invites a retry."""
    scripts, changes = query(lambda: scripted.ScriptedReplica(GOOD))

    async def scenario(sender, call):
        sender.quarantine.enabled = enabled
        make_suspected(sender)
        sender.quarantine.table.record_crash(
            FINGERPRINT, "t", asyncio.get_running_loop().time(), on_trial=True
        )
        return await trial.try_query(sender, call)

    result = run_scenario(scripts, scenario, **changes)
    assert count_requests(scripts) == 0
    if not enabled:
        assert result is None
        return
    assert (result.outcome, result.answer.status, result.answer.headers) == ("failed", 500, ())
    assert not sending.guarantees_not_run(result.answer.status)


def test_calls_in_flight_of_a_quarantined_request_are_aborted():
    """
    Another instance quarantines a request that is queued at replicas to which this one sent it. The
    connections are closed, so that the replicas drop it, and the caller gets an answer at once.
    """
    scripts, changes = query(lambda: scripted.ScriptedReplica(5.0, GOOD))

    async def scenario(sender, call):
        now_s = asyncio.get_running_loop().time()
        reported = poison.Record(
            {f"r{n}": now_s for n in range(4)}, quarantined_s=now_s, quarantines=1
        )
        with sender.quarantine.in_flight(call):
            task = asyncio.create_task(answering.query_shards(sender, call))
            await asyncio.sleep(0.05)
            assert sender.quarantine.merge_report(FINGERPRINT, reported)
            result = await task
        return result, asyncio.get_running_loop().time() - now_s

    result, duration_s = run_scenario(scripts, scenario, **changes)
    assert (result.outcome, result.answer.status) == ("failed", 502)
    assert duration_s < 1.0
    assert (
        sum(script.cancelled for replicas in scripts.values() for script in replicas.values()) == 6
    )


def test_unresolved_requests_are_bounded_and_expire():
    async def scenario(sender, call):
        (replica,) = sender.replicas.of("s")
        for number in range(3 * quarantine.MAX_UNRESOLVED):
            call.fingerprint = b"%d" % number
            await sender.quarantine.record_outcome(
                call, replica, sending.Unknown(sending.NO_RESPONSE)
            )
        kept = sum(len(requests) for requests in sender.quarantine._unresolved.values())
        sender.quarantine._now_s = lambda: 1e9
        sender.quarantine.expire()
        return kept, len(sender.quarantine._unresolved)

    counts = run_scenario({"s": {"a": scripted.ScriptedReplica(GOOD)}}, scenario)
    assert counts == (quarantine.MAX_UNRESOLVED, 0)


def test_replicas_that_are_lost_in_silence_are_forgotten():
    """Guards against an entry for each lost replica that stays for good."""

    async def scenario(sender, call):
        watching = sender.quarantine
        now_s = [asyncio.get_running_loop().time()]
        watching._now_s = lambda: now_s[0]
        [replica] = sender.replicas.of("s")
        for number in range(100):
            now_s[0] += 1.0
            replica.entry = attrs.evolve(replica.entry, instance=f"lost-{number}")
            await watching.record_outcome(call, replica, sending.Unknown(sending.NO_RESPONSE))
            watching.expire()
        kept = len(watching._unresolved)
        now_s[0] += 2 * quarantine.UNRESOLVED_TTL_S
        watching.expire()
        return kept, len(watching._unresolved)

    kept, left = run_scenario({"s": {"a": scripted.ScriptedReplica([])}}, scenario)
    assert kept <= quarantine.UNRESOLVED_TTL_S + 1
    assert not left
