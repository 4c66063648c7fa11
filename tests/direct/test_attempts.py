"""First attempt, hedges and retries against scripted replicas."""

from __future__ import annotations

import asyncio

import pytest
import scripted

from turmericlug.direct import attempts
from turmericlug.direct import replica as replica_module
from turmericlug.direct import sending
from turmericlug.http1 import client

GOOD = scripted.response(body=b"good")
FAILED = scripted.response(500, body=b"failed")
OTHER_REQUEST = scripted.response(headers=[(b"request-id", b"other")])
OTHER_REQUEST = client.Response(200, b"", ((b"request-id", b"other"), (b"signed", b"x")), b"", True)
RESET = client.ExchangeError("connection reset")
REFUSED = client.ConnectError("refused")
MISDIRECTED = client.Response(421, b"", (), b"", True)


def run_attempts(scripts, slack=100.0, **changes):
    """Return the outcome and the number of requests that reached each replica."""

    async def main():
        sender = scripted.make_sender({"s": scripts}, slack)
        call = scripted.make_call(**changes)
        outcome = await attempts.get_answer(sender, call, "s")
        await sender.tasks.close()
        return outcome

    outcome = asyncio.run(main())
    return outcome, [len(script.requests) for script in scripts.values()]


def two_replicas(first, second):
    return {"a": scripted.ScriptedReplica(*first), "b": scripted.ScriptedReplica(*second)}


@pytest.mark.parametrize(
    ("first", "idempotent", "expected", "sent"),
    [
        ([GOOD], True, sending.Answered, [1, 0]),
        ([RESET], True, sending.Answered, [1, 1]),
        ([FAILED], True, sending.Answered, [1, 1]),
        ([OTHER_REQUEST], True, sending.Answered, [1, 1]),
        ([scripted.SHED], True, sending.Answered, [1, 1]),
        ([MISDIRECTED], True, sending.Answered, [1, 1]),
        ([REFUSED], True, sending.Answered, [0, 1]),
        ([5.0, GOOD], True, sending.Answered, [1, 1]),
        ([GOOD], False, sending.Answered, [1, 0]),
        ([scripted.SHED], False, sending.Answered, [1, 1]),
        ([MISDIRECTED], False, sending.Answered, [1, 1]),
        ([REFUSED], False, sending.Answered, [0, 1]),
        ([RESET], False, sending.Unknown, [1, 0]),
        ([OTHER_REQUEST], False, sending.Unknown, [1, 0]),
        ([FAILED], False, sending.Failed, [1, 0]),
        ([0.2, GOOD], False, sending.Answered, [1, 0]),
    ],
)
def test_which_requests_are_retried(first, idempotent, expected, sent):
    """
    Guards against running a non-idempotent request twice: a replica loses its response to a request
    for a voucher, and a retry issues a second voucher. Such a request is retried only if the first
    replica certainly did not run it. An idempotent request is retried, and hedged if it is late.
    """
    outcome, requests = run_attempts(two_replicas(first, [GOOD]), idempotent=idempotent)
    assert isinstance(outcome, expected)
    assert requests == sent


@pytest.mark.parametrize(
    ("first", "second", "reason"),
    [
        ([scripted.SHED], [scripted.SHED], "shed"),
        ([REFUSED], [REFUSED], "connect: refused"),
        ([MISDIRECTED], [REFUSED], "connect: refused"),
    ],
)
def test_not_run_is_reported_only_when_certain(first, second, reason):
    outcome, _ = run_attempts(two_replicas(first, second))
    assert outcome == sending.NotRun(reason, sent=outcome.sent)


@pytest.mark.parametrize(
    ("first", "second"),
    [([RESET], [scripted.SHED]), ([5.0], [scripted.SHED]), ([RESET], [REFUSED])],
)
def test_a_request_that_may_have_run_is_never_reported_as_not_run(first, second):
    """
    Guards against a false "not run": the first replica loses its response and the second one
    refuses. Only the second attempt did not run, and a caller that starts anew would pay twice.
    """
    outcome, _ = run_attempts(two_replicas(first, second), deadline_ms=300.0)
    assert isinstance(outcome, sending.Unknown)


SHED = scripted.SHED


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("scripts", "allowed", "expected", "sent"),
    [
        ([[SHED, GOOD], [SHED]], 2, sending.Answered, [2, 1]),
        ([[SHED], [SHED, SHED, GOOD]], 2, sending.Answered, [3, 3]),
        ([[SHED], [SHED], [GOOD]], 2, sending.NotRun, None),
        ([[SHED, SHED, GOOD], [MISDIRECTED]], 2, sending.Answered, [3, 1]),
        ([[SHED, RESET], [SHED]], 1, sending.Unknown, [2, 0]),
    ],
    ids=["once", "twice", "no third replica", "one misdirected", "may have run at last"],
)
def test_retries_after_every_replica_shed(scripts, allowed, expected, sent, idempotent):
    """
    Guards against failing early under short overload. Each replica of a shard sheds six of ten
    requests for some seconds. Both shed one part of twenty, and the query failed after 6 ms of the
    caller's 800 ms; the caller retried once, with twenty new parts, and failed again.
    """
    scripts = {
        name: scripted.ScriptedReplica(*script)
        for name, script in zip("abc", scripts, strict=False)
    }
    outcome, requests = run_attempts(scripts, max_attempts=allowed, idempotent=idempotent)
    assert isinstance(outcome, expected)
    assert sent is None or requests == sent
    assert sum(count > 0 for count in requests) <= allowed


def test_a_request_that_is_always_shed_is_refused():
    outcome, requests = run_attempts(two_replicas([SHED], [SHED]))
    assert outcome == sending.NotRun("shed", sent=True)
    assert sum(requests) == 2 * (1 + attempts.MAX_DELAYED_RETRIES)


def test_retries_stay_within_the_budget():
    outcome, requests = run_attempts(two_replicas([SHED], [SHED]), slack=2.0 / 0.8)
    assert outcome == sending.NotRun("shed", sent=True)
    assert sum(requests) == 3


def test_no_replica():
    outcome, _ = run_attempts({})
    assert outcome == sending.NotRun("no_replica", sent=False)


def test_no_more_replicas_than_the_route_allows():
    scripts = {name: scripted.ScriptedReplica(RESET) for name in "abcd"}
    _, requests = run_attempts(scripts, max_attempts=3)
    assert sum(map(bool, requests)) == 3
    assert sum(requests) == 3 + attempts.MAX_SAME_REPLICA_RETRIES


@pytest.mark.parametrize(
    ("first", "second", "changes", "requests"),
    [
        ([RESET, GOOD], [RESET], {}, [2, 1]),
        ([RESET], [RESET, GOOD], {}, [2, 2]),
        ([FAILED, GOOD], [FAILED], {}, [2, 1]),
        ([RESET], [RESET], {}, [2, 2]),
        ([RESET, GOOD], [RESET], {"idempotent": False}, [1, 0]),
        ([RESET, GOOD], [RESET], {"max_attempts": 1}, [1, 0]),
        ([RESET, GOOD], [5.0], {"deadline_ms": 300.0}, [1, 1]),
    ],
    ids=[
        "resets",
        "resets twice",
        "fails",
        "always resets",
        "not idempotent",
        "one replica only",
        "waits for the second",
    ],
)
def test_retries_a_failed_replica_when_no_other_is_allowed(first, second, changes, requests):
    """
    Guards against giving up on a shard after one failure of each replica. Half of all replicas lost
    some of their responses; a query over ninety shards lacked the shards for which both replicas
    did, and failed for missing shards with most of its time left.
    """
    outcome, sent = run_attempts(two_replicas(first, second), **changes)
    assert sent == requests
    assert isinstance(outcome, sending.Answered) == (
        GOOD in [*first, *second] and sum(requests) > 2
    )


@pytest.mark.parametrize("first", [[RESET], [5.0]])
def test_an_exhausted_budget_prevents_retries_and_hedges(first):
    outcome, requests = run_attempts(two_replicas(first, [GOOD]), slack=0.0, deadline_ms=250.0)
    assert isinstance(outcome, sending.Unknown)
    assert requests == [1, 0]


def test_the_time_left_header_holds_the_remaining_time():
    scripts = two_replicas([RESET], [GOOD])
    run_attempts(scripts, deadline_ms=500.0)
    for script in scripts.values():
        (request,) = script.requests
        left_ms = int(request.split(b"time-left: ")[1].split(b"\r")[0])
        assert left_ms <= 500
    assert b"expected: a" in scripts["a"].requests[0]


def test_an_abandoned_call_cancels_its_attempts():
    """
    Guards against work that is no longer needed: the caller disconnects while a late part has two
    attempts in flight. Both connections close, so that the replicas can stop.
    """
    scripts = two_replicas([30.0], [30.0])

    async def main():
        sender = scripted.make_sender({"s": scripts})
        call = scripted.make_call()
        task = asyncio.create_task(attempts.get_answer(sender, call, "s"))
        while not all(script.requests for script in scripts.values()):
            await asyncio.sleep(0.005)
        task.cancel()
        call.abandon()
        await asyncio.gather(task, return_exceptions=True)
        await sender.tasks.finish()

    asyncio.run(main())
    assert [script.cancelled for script in scripts.values()] == [1, 1]


def test_no_hedge_when_every_replica_is_late():
    """
    Guards against hedging into overload. After an outage all callers return at once and every
    replica is late with many requests; hedging each part doubles the queues that cause the delay.
    """

    async def main():
        scripts = two_replicas([0.3, GOOD], [0.3, GOOD])
        sender = scripted.make_sender({"s": scripts})
        loop = asyncio.get_running_loop()
        for replica in sender.replicas.all():
            replica.attempts.add(replica_module.Attempt(loop.time() - 1.0, 0.05))
        outcome = await attempts.get_answer(sender, scripted.make_call(), "s")
        await sender.tasks.close()
        assert isinstance(outcome, sending.Answered)
        assert sum(len(script.requests) for script in scripts.values()) == 1
        assert sender.counters.totals["direct.hedge_denied.all_late"] == 1

    asyncio.run(main())


def test_hedges_count_towards_the_attempts_of_the_route():
    """
    The first replica does not respond and the hedge at the second one fails. With two attempts
    allowed, a further hedge would reach a third replica.
    """
    scripts = {
        "a": scripted.ScriptedReplica(30.0),
        "b": scripted.ScriptedReplica(RESET),
        "c": scripted.ScriptedReplica(GOOD),
        "d": scripted.ScriptedReplica(GOOD),
    }
    _, requests = run_attempts(scripts, max_attempts=2, deadline_ms=400.0)
    assert requests == [1, 1, 0, 0]


@pytest.mark.parametrize(
    ("age_s", "sent"),
    [
        pytest.param(1.0, 1, id="soon after"),
        pytest.param(replica_module.MISDIRECTED_PAUSE_S + 1, 2, id="long after"),
    ],
)
def test_a_misdirected_replica_gets_no_more_requests(age_s, sent):
    """
    Guards against repeated misdirected requests. A replica stops while the store is unavailable,
    and a replica of another service takes over its address. No instance learns of this from the
    store, so all keep sending there: each request is rejected, uses up an attempt and adds load to
    a service that it is not meant for.
    """

    async def main():
        replica_gone = scripted.ScriptedReplica(MISDIRECTED)
        sender = scripted.make_sender({"s": {"a": replica_gone}})
        first = await attempts.get_answer(sender, scripted.make_call(), "s")
        (replica,) = sender.replicas.all()
        replica.misdirected_until_s -= age_s
        second = await attempts.get_answer(sender, scripted.make_call(), "s")
        await sender.tasks.close()
        return first, second, len(replica_gone.requests)

    first, second, requests = asyncio.run(main())
    assert first == sending.NotRun("misdirected", sent=True)
    assert isinstance(second, sending.NotRun)
    assert requests == sent
