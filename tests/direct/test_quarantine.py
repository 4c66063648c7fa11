"""What counts as the end of a replica under a request, and what is withheld after it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import threading
import time

import pytest
import scripted
import uvloop

from turmericlug.direct import answering
from turmericlug.direct import obtaining
from turmericlug.direct import quarantine
from turmericlug.direct import sending
from turmericlug.direct import trial
from turmericlug.http1 import client
from turmericlug.policy import poison

CLOSED = client.ConnectionLostError("connection closed")
GOOD = scripted.response(body=bytes(16))
SHARDS = [f"s{number}" for number in range(6)]
Q = b"fingerprint"


def play(scripts, scenario, **changes):
    """Run a scenario with a sender over scripted replicas and a call."""

    async def main():
        sender = scripted.make_sender(scripts)
        sender.replicas.on_lost = sender.quarantine.on_replica_lost
        call = scripted.make_call(**changes)
        call.fingerprint = Q
        async with asyncio.timeout(10):
            found = await scenario(sender, call)
        await sender.tasks.close()
        return found

    return asyncio.run(main())


def two(first, second):
    return {"s": {"a": first, "b": second}}


def query(make):
    """Return six shards of two replicas each, and the settings of a query over them."""
    scripts = {shard: {f"{shard}-{number}": make() for number in (0, 1)} for shard in SHARDS}
    return scripts, {
        "shards": tuple(SHARDS),
        "services": (),
        "min_coverage": 0.5,
        "top_records": 2,
        "goal_ms": 200.0,
    }


def reached(scripts):
    return sum(len(each.requests) for replicas in scripts.values() for each in replicas.values())


@pytest.mark.parametrize(
    ("replica", "leaving", "gone", "ends"),
    [
        pytest.param(scripted.Ending(), False, False, 1, id="refuses connections"),
        pytest.param(scripted.Ending(takes_connections=True), False, False, 0, id="reset link"),
        pytest.param(scripted.Ending(takes_connections=True), False, True, 1, id="entry lost"),
        pytest.param(scripted.Ending(takes_connections=True), True, True, 0, id="planned end"),
        pytest.param(
            scripted.Scripted(client.ExchangeError("unreadable response: x")),
            False,
            True,
            0,
            id="garbled answer",
        ),
        pytest.param(
            scripted.Scripted(client.ConnectRefusedError("x")), False, True, 0, id="never sent"
        ),
        pytest.param(scripted.Scripted(scripted.SHED), False, True, 0, id="shed"),
    ],
)
def test_what_counts_as_an_end(replica, leaving, gone, ends):
    """
    Links reset connections, answers are garbled, replicas leave as planned. Taken for ends, they
    would hold back requests that have done nothing.
    """

    async def scenario(sender, call):
        await obtaining.obtain(sender, call, "s")
        if gone:
            sender.replicas.put(scripted.entry("a", "s", draining=leaving))
            sender.replicas.remove("a")
        record = sender.quarantine.table.records.get(Q)
        return len(record.ends) if record else 0

    replica.script = list(replica.script)
    replica.requests.clear()
    found = play({"s": {"a": replica}}, scenario, max_attempts=1)
    assert found == ends


def test_a_replica_that_starts_again_under_its_name_has_ended():
    async def scenario(sender, call):
        sender.replicas.put(scripted.entry("a", "s", born_ms=1))
        await obtaining.obtain(sender, call, "s")
        sender.replicas.put(scripted.entry("a", "s", born_ms=2))
        return list(sender.quarantine.table.records[Q].ends)

    assert play({"s": {"a": scripted.Ending(takes_connections=True)}}, scenario) == ["a@1"]


def test_silence_and_a_lost_entry_are_an_end():
    """A machine goes dark under a request: its connections stay open, and its entry lapses."""

    async def scenario(sender, call):
        await obtaining.obtain(sender, call, "s")
        sender.replicas.remove("a")
        return len(sender.quarantine.table.records[Q].ends)

    found = play({"s": {"a": scripted.Scripted(30.0)}}, scenario, max_attempts=1, deadline_ms=50.0)
    assert found == 1


def test_a_query_that_ends_replicas_is_not_repeated_at_all_shards():
    """
    A query goes to six shards and ends a replica of each. Repeated at the other replica of each, it
    would end the whole service; after the third end nothing more is sent.
    """
    scripts, changes = query(scripted.Ending)

    async def scenario(sender, call):
        return await answering.all_shards(sender, call)

    ending = play(scripts, scenario, **changes)
    assert (ending.outcome, ending.answer.status) == ("failed", 502)
    assert reached(scripts) <= len(SHARDS) + poison.CRASHES_TO_SUSPECT - 1


STALL_S = 0.15
"""Longer than the age at which a part of the query is hedged."""


def stall_at(sender, part):
    """Block the event loop once, while a part of a query begins."""
    begin, begun = sender.replicas.extra_sends, []

    def extra_sends(service):
        begun.append(service)
        if len(begun) == part:
            time.sleep(STALL_S)
        return begin(service)

    sender.replicas.extra_sends = extra_sends


@pytest.mark.parametrize("part", range(1, len(SHARDS) + 1))
def test_a_stalled_process_does_not_hedge_parts_that_have_ended(part):
    """Hedges fell due in the stall and reached further replicas before the ends were known."""
    scripts, changes = query(scripted.Ending)

    async def scenario(sender, call):
        stall_at(sender, part)
        return await answering.all_shards(sender, call)

    ending = play(scripts, scenario, **changes)
    assert ending.outcome == "failed"
    assert reached(scripts) <= len(SHARDS) + poison.CRASHES_TO_SUSPECT - 1


class WiredConnection(scripted.Connection):
    """A connection on which the answer comes in whatever the event loop does."""

    async def exchange(self, request):
        receiving, sending_end = socket.socketpair()
        receiving.setblocking(False)
        threading.Timer(0.05, sending_end.send, [b"x"]).start()
        await asyncio.get_running_loop().sock_recv(receiving, 1)
        receiving.close()
        sending_end.close()
        return await super().exchange(request)


class Wired(scripted.Scripted):
    """A replica that answers by a socket."""

    async def connect(self):
        return WiredConnection(self)


@contextlib.contextmanager
def stalled_while_reading():
    """Block the event loop once, as it handles what it has read."""
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


def test_a_stall_of_this_process_is_no_reason_to_hedge(monkeypatch):
    """
    All parts were hedged whose answers had come in while the process stood still: the event loop of
    the programs runs timers before it reads.
    """
    monkeypatch.setattr(asyncio.events, "new_event_loop", uvloop.new_event_loop)
    scripts, changes = query(lambda: Wired(GOOD))

    async def scenario(sender, call):
        with stalled_while_reading():
            await answering.all_shards(sender, call)
        return call.hedges

    assert play(scripts, scenario, **changes) == 0


def stall_often(sender, rng):
    """Block the event loop up to seven times, while parts of a query begin and between them."""
    begin, begun = sender.replicas.extra_sends, itertools.count(1)
    stalled = set(rng.sample(range(1, 2 * len(SHARDS) + 1), rng.randint(1, 3)))

    def extra_sends(service):
        if next(begun) in stalled:
            time.sleep(rng.uniform(0.02, 0.2))
        return begin(service)

    sender.replicas.extra_sends = extra_sends
    for _ in range(4):
        loop = asyncio.get_running_loop()
        loop.call_later(rng.uniform(0.0, 0.2), time.sleep, rng.uniform(0.01, 0.13))


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_process_that_stalls_again_and_again_does_not_hedge_parts_that_have_ended(seed):
    """Hedges fell due in one of several stalls and reached replicas before the ends were known."""
    scripts, changes = query(scripted.Ending)

    async def scenario(sender, call):
        stall_often(sender, random.Random(seed))
        return await answering.all_shards(sender, call)

    play(scripts, scenario, **changes)
    assert reached(scripts) <= len(SHARDS) + poison.CRASHES_TO_SUSPECT - 1


class EndingSlowly(scripted.Ending):
    """A replica that ends under a request, and whose machine is slow to refuse connections."""

    async def connect(self):
        if self.requests:
            await asyncio.sleep(0.06)
        return await super().connect()


def test_a_part_is_not_hedged_while_the_end_of_its_replica_is_found_out():
    """The hedge went to a further replica before the end of the first was known."""
    scripts, changes = query(EndingSlowly)
    changes["goal_ms"] = 120.0

    async def scenario(sender, call):
        await answering.all_shards(sender, call)
        return call.hedges

    assert play(scripts, scenario, **changes) == 0


def test_a_query_beside_lost_replicas_is_answered_in_full():
    """
    A rack is lost: one replica of each of four shards ends with a query under way. The parts of the
    other shards come a moment later, so that the query is none that ends replicas, and goes on to
    the other replica of each shard.
    """
    scripts, changes = query(lambda: scripted.Scripted(0.02, GOOD))
    for shard in SHARDS[:4]:
        scripts[shard][f"{shard}-0"] = scripted.Ending()

    async def scenario(sender, call):
        return await answering.all_shards(sender, call)

    ending = play(scripts, scenario, **changes)
    assert (ending.outcome, ending.answer.status) == ("answered", 200)


def suspect(sender):
    for number in range(poison.CRASHES_TO_SUSPECT):
        now_s = asyncio.get_running_loop().time()
        sender.quarantine.table.record_crash(Q, f"r{number}", now_s, on_trial=False)


@pytest.mark.parametrize(
    ("make", "outcome", "status", "sent", "verdict"),
    [
        pytest.param(
            lambda: scripted.Scripted(GOOD), None, None, 1, poison.Verdict.ALLOWED, id="innocent"
        ),
        pytest.param(
            scripted.Ending, "failed", 500, 1, poison.Verdict.QUARANTINED, id="ends a replica"
        ),
        pytest.param(
            lambda: scripted.Scripted(scripted.SHED),
            "refused",
            503,
            None,
            poison.Verdict.SUSPECTED,
            id="not run",
        ),
        pytest.param(
            lambda: scripted.Scripted(client.ExchangeError("unreadable response: x")),
            "failed",
            502,
            1,
            poison.Verdict.SUSPECTED,
            id="nothing learned",
        ),
    ],
)
def test_a_suspected_query_goes_to_one_replica(make, outcome, status, sent, verdict):
    """
    Two callers come back whose queries were under way when replicas ended. One of the queries is
    the reason, and its trial costs one replica; the other one is answered and goes on as usual.
    """
    scripts, changes = query(make)

    async def scenario(sender, call):
        suspect(sender)
        return await trial.before(sender, call), sender.quarantine.verdict(Q)

    ending, found = play(scripts, scenario, **changes)
    assert found is verdict
    assert (ending and ending.outcome, ending and ending.answer.status) == (outcome, status)
    if sent is not None:
        assert reached(scripts) == sent


@pytest.mark.parametrize(
    ("first", "outcome", "status"),
    [
        (lambda: scripted.Scripted(GOOD), "answered", 200),
        (scripted.Ending, "failed", 500),
        (lambda: scripted.Scripted(scripted.SHED), "refused", 503),
    ],
    ids=["innocent", "ends a replica", "not run"],
)
def test_a_suspected_request_to_one_service(first, outcome, status):
    scripts = two(first(), first())

    async def scenario(sender, call):
        suspect(sender)
        return await trial.instead(sender, call, "s")

    ending = play(scripts, scenario)
    assert (ending.outcome, ending.answer.status) == (outcome, status)


def test_an_attempt_beside_a_trial_waits_for_its_outcome():
    """Callers of a popular query come together while it is on trial; one trial decides for all."""
    scripts, changes = query(lambda: scripted.Scripted(0.05, GOOD))

    async def scenario(sender, call):
        suspect(sender)
        other = scripted.make_call(**changes)
        other.fingerprint = Q
        return await asyncio.gather(trial.before(sender, call), trial.before(sender, other))

    assert play(scripts, scenario, **changes) == [None, None]
    assert reached(scripts) == 1


@pytest.mark.parametrize("enabled", [True, False])
def test_a_quarantined_request_gets_its_answer_at_once(enabled):
    """Nothing is sent, and the answer neither promises anything nor asks to come back."""
    scripts, changes = query(lambda: scripted.Scripted(GOOD))

    async def scenario(sender, call):
        sender.quarantine.enabled = enabled
        suspect(sender)
        sender.quarantine.table.record_crash(
            Q, "t", asyncio.get_running_loop().time(), on_trial=True
        )
        return await trial.before(sender, call)

    ending = play(scripts, scenario, **changes)
    assert reached(scripts) == 0
    if not enabled:
        assert ending is None
        return
    assert (ending.outcome, ending.answer.status, ending.answer.headers) == ("failed", 500, ())
    assert not sending.promises_not_run(ending.answer.status)


def test_what_is_under_way_is_broken_off_and_ends():
    """
    Another instance quarantines a request that waits in the queues of replicas here. Their
    connections are closed, so that they drop it, and the caller gets an answer at once.
    """
    scripts, changes = query(lambda: scripted.Scripted(5.0, GOOD))

    async def scenario(sender, call):
        now_s = asyncio.get_running_loop().time()
        told = poison.Record({f"r{n}": now_s for n in range(4)}, quarantined_s=now_s, quarantines=1)
        with sender.quarantine.in_flight(call):
            work = asyncio.create_task(answering.all_shards(sender, call))
            await asyncio.sleep(0.05)
            assert sender.quarantine.learn(Q, told)
            ending = await work
        return ending, asyncio.get_running_loop().time() - now_s

    ending, took_s = play(scripts, scenario, **changes)
    assert (ending.outcome, ending.answer.status) == ("failed", 502)
    assert took_s < 1.0
    assert sum(each.cancelled for group in scripts.values() for each in group.values()) == 6


def test_the_unsettled_are_bounded_and_forgotten():
    async def scenario(sender, call):
        (replica,) = sender.replicas.of("s")
        for number in range(3 * quarantine.MOST_UNSETTLED):
            call.fingerprint = b"%d" % number
            await sender.quarantine.record_outcome(call, replica, sending.Unknown(sending.SILENT))
        kept = sum(len(each) for each in sender.quarantine._unsettled.values())
        sender.quarantine._now_s = lambda: 1e9
        sender.quarantine.expire()
        return kept, len(sender.quarantine._unsettled)

    found = play({"s": {"a": scripted.Scripted(GOOD)}}, scenario)
    assert found == (quarantine.MOST_UNSETTLED, 0)
