"""Replicas whose responses exceed a limit again and again: they get nothing until a pause ends."""

from __future__ import annotations

import asyncio

import handover_helpers
import pytest
import scripted

from turmericlug.direct import answering
from turmericlug.direct import attempts
from turmericlug.direct import oversized
from turmericlug.direct import quarantine
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sending
from turmericlug.direct import trial
from turmericlug.entry import inspection
from turmericlug.http1 import client
from turmericlug.owner import policy
from turmericlug.policy import poison

TOO_LARGE = client.ResponseLimitError("response body too large")
UNREADABLE = client.ExchangeError("unreadable response")
SOUND = scripted.response(body=b"good")
REFUSED = sending.NotRun(replicas_module.OVERSIZED, sent=False)


def make_call(**changes):
    return scripted.make_call(**({"max_attempts": 1} | changes))


async def send(sender, **changes):
    outcome = await attempts.get_answer(sender, make_call(**changes), "s")
    await sender.tasks.finish()
    return outcome


async def make_oversized(sender):
    """Send requests until the only replica is paused; return it."""
    for _ in range(replica_module.FAILURES_TO_EJECT):
        outcome = await send(sender)
        assert isinstance(outcome, sending.Unknown) and outcome.exceeded_limit
    (replica,) = sender.replicas.of("s")
    return replica


def end_pause(replica):
    replica.oversized.until_s = asyncio.get_running_loop().time()


@pytest.mark.parametrize(
    ("error", "is_paused"),
    [
        (TOO_LARGE, True),
        (UNREADABLE, False),
        (client.ConnectionLostError("connection closed"), False),
        (scripted.response(500), False),
        (scripted.SHED, False),
    ],
)
def test_only_replica_gets_nothing_while_it_is_paused(error, is_paused):
    """Guards against reading responses beyond a limit at each request, as there is no other one."""

    async def main():
        scripted_replica = scripted.ScriptedReplica(error)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        for _ in range(replica_module.FAILURES_TO_EJECT):
            await send(sender)
        sent = len(scripted_replica.requests)
        outcomes = [await send(sender) for _ in range(10)]
        assert all((outcome == REFUSED) == is_paused for outcome in outcomes)
        assert (len(scripted_replica.requests) == sent) == is_paused
        result = await answering.request_service(sender, make_call(), "s")
        if is_paused:
            assert (result.outcome, result.answer.status) == ("refused", 503)
            assert result.reason == replicas_module.OVERSIZED
            assert sender.counters.totals["direct.oversized"] == 1
        (replica,) = sender.replicas.of("s")
        state = inspection._state(replica, asyncio.get_running_loop().time())
        assert (state == "oversized") == is_paused

    asyncio.run(main())


def test_after_the_pause_requests_are_sent_one_at_a_time():
    async def main():
        scripted_replica = scripted.ScriptedReplica(TOO_LARGE)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        replica = await make_oversized(sender)
        end_pause(replica)
        sent = len(scripted_replica.requests)
        scripted_replica.script = [0.02, SOUND]
        outcomes = await asyncio.gather(*(send(sender) for _ in range(5)))
        assert [isinstance(outcome, sending.Answered) for outcome in outcomes].count(True) == 1
        assert outcomes.count(REFUSED) == 4
        assert len(scripted_replica.requests) == sent + 1
        outcomes = await asyncio.gather(*(send(sender) for _ in range(3)))
        assert all(isinstance(outcome, sending.Answered) for outcome in outcomes)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("response", "is_over"), [(SOUND, True), (scripted.response(500), True), (scripted.SHED, False)]
)
def test_a_response_within_the_limits_ends_it(response, is_over):
    async def main():
        scripted_replica = scripted.ScriptedReplica(TOO_LARGE)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        replica = await make_oversized(sender)
        end_pause(replica)
        scripted_replica.script = [response]
        await send(sender)
        assert replica.oversized.is_active != is_over

    asyncio.run(main())


@pytest.mark.parametrize("error", [TOO_LARGE, UNREADABLE, client.ConnectionLostError("closed")])
def test_request_without_a_usable_answer_begins_a_longer_pause(error):
    async def main():
        scripted_replica = scripted.ScriptedReplica(TOO_LARGE)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        replica = await make_oversized(sender)
        scripted_replica.script = [error]
        for pauses in range(1, 12):
            paused_s = replica.oversized.until_s - replica.oversized.paused_at_s
            assert paused_s == pytest.approx(policy.ejection_ms(pauses) / 1000)
            end_pause(replica)
            assert await send(sender) != REFUSED
            assert await send(sender) == REFUSED
        assert paused_s == policy.EJECTION_MAX_MS / 1000

    asyncio.run(main())


def test_responses_to_requests_from_before_the_pause_do_not_prolong_it():
    """Guards against the longest pause at once where many requests were in flight."""

    async def main():
        scripted_replica = scripted.ScriptedReplica(0.01, TOO_LARGE)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        await asyncio.gather(*(send(sender) for _ in range(3)))
        (replica,) = sender.replicas.of("s")
        assert (replica.oversized.in_a_row, replica.oversized.pauses) == (3, 1)

    asyncio.run(main())


def test_requests_that_wait_for_a_connection_are_withheld():
    """Guards against one response beyond the limit after the other, as many requests wait."""

    async def main():
        scripted_replica = scripted.ScriptedReplica(TOO_LARGE)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        (replica,) = sender.replicas.of("s")
        replica.pool.limit = lambda: 1
        outcomes = await asyncio.gather(*(send(sender) for _ in range(20)))
        assert len(scripted_replica.requests) == replica_module.FAILURES_TO_EJECT
        assert outcomes.count(REFUSED) == 20 - replica_module.FAILURES_TO_EJECT
        assert sender.counters.totals["direct.withheld.replica_oversized"] == outcomes.count(
            REFUSED
        )
        assert replica.pool.waiting == 0 and not replica.attempts

    asyncio.run(main())


def test_restarted_replica_starts_anew():
    async def main():
        scripted_replica = scripted.ScriptedReplica(TOO_LARGE)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        await make_oversized(sender)
        scripted_replica.script = [SOUND]
        sender.replicas.put(scripted.entry("a", "s", born_ms=5))
        assert isinstance(await send(sender), sending.Answered)

    asyncio.run(main())


def test_hedge_and_retry_pass_over_a_paused_replica():
    async def main():
        large, slow = scripted.ScriptedReplica(TOO_LARGE), scripted.ScriptedReplica(0.3, SOUND)
        sender = scripted.make_sender({"s": {"a": large, "b": slow}})
        replica = sender.replicas.find("a")
        for _ in range(replica_module.FAILURES_TO_EJECT):
            replica.record_unusable(True, 0.0, asyncio.get_running_loop().time())
        assert isinstance(await send(sender, max_attempts=2), sending.Answered)
        slow.script = [UNREADABLE]
        assert isinstance(await send(sender, max_attempts=2), sending.Unknown)
        assert not large.requests
        assert not sender.counters.totals["direct.withheld.replica_oversized"]

    asyncio.run(main())


def test_trial_passes_over_a_paused_replica():
    async def main():
        scripted_replica = scripted.ScriptedReplica(TOO_LARGE)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        await make_oversized(sender)
        sent = len(scripted_replica.requests)
        call = make_call()
        now_s = asyncio.get_running_loop().time()
        record = poison.Record({str(number): now_s for number in range(poison.CRASHES_TO_SUSPECT)})
        sender.quarantine.table.records[call.fingerprint] = record
        assert isinstance(sender.quarantine, quarantine.Quarantine)
        result = await trial.try_request(sender, call, "s")
        assert (result.outcome, result.reason) == ("refused", replicas_module.OVERSIZED)
        assert len(scripted_replica.requests) == sent

    asyncio.run(main())


@pytest.mark.parametrize(("min_coverage", "outcome"), [(0.5, "partial"), (1.0, "refused")])
def test_shard_counts_as_without_a_replica(min_coverage, outcome):
    async def main():
        replicas = {
            "x": {"x1": scripted.ScriptedReplica(SOUND)},
            "s": {"a": scripted.ScriptedReplica(TOO_LARGE)},
        }
        sender = scripted.make_sender(replicas)
        await make_oversized(sender)
        sent = len(replicas["s"]["a"].requests)
        call = make_call(shards=("x", "s"), services=(), min_coverage=min_coverage)
        result = await answering.query_shards(sender, call)
        assert result.outcome == outcome
        assert replicas_module.OVERSIZED in result.reason
        assert len(replicas["s"]["a"].requests) == sent

    asyncio.run(main())


def test_part_of_a_batch_is_not_sent_by_the_instance_that_handed_it_over():
    """Guards against each instance sending a part that the peer has withheld."""

    async def main():
        peer_replicas = handover_helpers.scripts()
        peer_replicas["x"]["far-1"].script = [TOO_LARGE]
        replicas = handover_helpers.scripts()
        sender = handover_helpers.make_sender(replicas)
        handler = handover_helpers.peer_handler(peer_replicas)
        async with handover_helpers.peer(handler) as sender.handover:
            for _ in range(6):
                call = handover_helpers.query_call(min_coverage=0.3, max_attempts=1)
                result = await answering.query_shards(sender, call)
                assert result.outcome == "partial"
            await sender.tasks.finish()
        assert len(peer_replicas["x"]["far-1"].requests) == replica_module.FAILURES_TO_EJECT
        assert not replicas["x"]["far-1"].requests
        assert replicas_module.OVERSIZED in result.reason

    asyncio.run(main())


def test_replica_that_answers_others_is_not_paused():
    """Guards against a caller whose requests provoke large responses taking the replica."""

    async def main():
        scripted_replica = scripted.ScriptedReplica(SOUND)
        sender = scripted.make_sender({"s": {"a": scripted_replica}})
        assert isinstance(await send(sender), sending.Answered)
        scripted_replica.script = [TOO_LARGE]
        for _ in range(10):
            outcome = await send(sender)
            assert isinstance(outcome, sending.Unknown) and outcome.exceeded_limit
        (replica,) = sender.replicas.of("s")
        replica.oversized.sound_at_s -= oversized.SOUND_FOR_S
        assert await send(sender) != REFUSED
        assert await send(sender) == REFUSED

    asyncio.run(main())


def test_pauses_have_a_bound_for_any_number_of_failures():
    state = oversized.Oversized()
    for second in range(100_000):
        state.pause(second + 0.5, second + 1.0)
    assert state.pauses == 100_000
    assert state.until_s - state.paused_at_s == policy.EJECTION_MAX_MS / 1000
    assert state.reset(100_001.0) and not state.is_active
