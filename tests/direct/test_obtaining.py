"""First send, hedge and repeat against scripted replicas."""

from __future__ import annotations

import asyncio

import pytest
import scripted

from turmericlug.direct import obtaining
from turmericlug.direct import replica as replica_module
from turmericlug.direct import sending
from turmericlug.http1 import client

GOOD = scripted.response(body=b"good")
FAILED = scripted.response(500, body=b"failed")
FOREIGN = scripted.response(headers=[(b"request-id", b"other")])
FOREIGN = client.Response(200, b"", ((b"request-id", b"other"), (b"signed", b"x")), b"", True)
RESET = client.ExchangeError("connection reset")
REFUSED = client.ConnectError("refused")
MOVED = client.Response(421, b"", (), b"", True)


def obtain(scripts, slack=100.0, **changes):
    """Return the outcome and how many requests reached each replica."""

    async def main():
        sender = scripted.make_sender({"s": scripts}, slack)
        call = scripted.make_call(**changes)
        outcome = await obtaining.obtain(sender, call, "s")
        await sender.tasks.close()
        return outcome

    outcome = asyncio.run(main())
    return outcome, [len(script.requests) for script in scripts.values()]


def two(first, second):
    return {"a": scripted.Scripted(*first), "b": scripted.Scripted(*second)}


@pytest.mark.parametrize(
    ("first", "idempotent", "expected", "sent"),
    [
        ([GOOD], True, sending.Answered, [1, 0]),
        ([RESET], True, sending.Answered, [1, 1]),
        ([FAILED], True, sending.Answered, [1, 1]),
        ([FOREIGN], True, sending.Answered, [1, 1]),
        ([scripted.SHED], True, sending.Answered, [1, 1]),
        ([MOVED], True, sending.Answered, [1, 1]),
        ([REFUSED], True, sending.Answered, [0, 1]),
        ([5.0, GOOD], True, sending.Answered, [1, 1]),
        ([GOOD], False, sending.Answered, [1, 0]),
        ([scripted.SHED], False, sending.Answered, [1, 1]),
        ([MOVED], False, sending.Answered, [1, 1]),
        ([REFUSED], False, sending.Answered, [0, 1]),
        ([RESET], False, sending.Unknown, [1, 0]),
        ([FOREIGN], False, sending.Unknown, [1, 0]),
        ([FAILED], False, sending.Failed, [1, 0]),
        ([0.2, GOOD], False, sending.Answered, [1, 0]),
    ],
)
def test_what_is_sent_again(first, idempotent, expected, sent):
    """
    A voucher is requested once and a replica loses its answer: sent again, it is issued twice.
    So a request that must not run twice goes to a second replica only when the first one certainly
    did not run it; any other goes on to the next replica, early when the first one is late.
    """
    outcome, requests = obtain(two(first, [GOOD]), idempotent=idempotent)
    assert isinstance(outcome, expected)
    assert requests == sent


@pytest.mark.parametrize(
    ("first", "second", "reason"),
    [
        ([scripted.SHED], [scripted.SHED], "shed"),
        ([REFUSED], [REFUSED], "connect: refused"),
        ([MOVED], [REFUSED], "connect: refused"),
    ],
)
def test_not_run_is_said_only_when_true(first, second, reason):
    outcome, _ = obtain(two(first, second))
    assert outcome == sending.NotRun(reason, sent=outcome.sent)


@pytest.mark.parametrize(
    ("first", "second"),
    [([RESET], [scripted.SHED]), ([5.0], [scripted.SHED]), ([RESET], [REFUSED])],
)
def test_after_a_run_that_may_have_begun_nothing_is_promised(first, second):
    """
    The first replica loses its answer, the second one refuses. "Not run" would be true of the
    second send only; a caller that believes it pays twice.
    """
    outcome, _ = obtain(two(first, second), deadline_ms=300.0)
    assert isinstance(outcome, sending.Unknown)


SHED = scripted.SHED


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("scripts", "allowed", "expected", "sent"),
    [
        ([[SHED, GOOD], [SHED]], 2, sending.Answered, [2, 1]),
        ([[SHED], [SHED, SHED, GOOD]], 2, sending.Answered, [3, 3]),
        ([[SHED], [SHED], [GOOD]], 2, sending.NotRun, None),
        ([[SHED, SHED, GOOD], [MOVED]], 2, sending.Answered, [3, 1]),
        ([[SHED, RESET], [SHED]], 1, sending.Unknown, [2, 0]),
    ],
    ids=["once", "twice", "no third replica", "one is gone", "may have run in the end"],
)
def test_replicas_that_all_shed_are_tried_again(scripts, allowed, expected, sent, idempotent):
    """
    Each replica of a shard sheds six of ten requests for some seconds. A query is refused by both
    in one part of twenty and fails after 6 ms of the 800 that its caller gives it; the caller comes
    back once, with twenty new parts, and fails again.
    """
    scripts = {
        name: scripted.Scripted(*script) for name, script in zip("abc", scripts, strict=False)
    }
    outcome, requests = obtain(scripts, max_attempts=allowed, idempotent=idempotent)
    assert isinstance(outcome, expected)
    assert sent is None or requests == sent
    assert sum(count > 0 for count in requests) <= allowed


def test_what_is_shed_again_and_again_is_refused():
    outcome, requests = obtain(two([SHED], [SHED]))
    assert outcome == sending.NotRun("shed", sent=True)
    assert sum(requests) == 2 * (1 + obtaining.MOST_PAUSES)


def test_tries_again_stay_within_the_budget():
    outcome, requests = obtain(two([SHED], [SHED]), slack=2.0 / 0.8)
    assert outcome == sending.NotRun("shed", sent=True)
    assert sum(requests) == 3


def test_no_replica():
    outcome, _ = obtain({})
    assert outcome == sending.NotRun("no_replica", sent=False)


def test_no_more_replicas_than_the_route_allows():
    scripts = {name: scripted.Scripted(RESET) for name in "abcd"}
    _, requests = obtain(scripts, max_attempts=3)
    assert sum(map(bool, requests)) == 3
    assert sum(requests) == 3 + obtaining.MOST_SAME_REPLICA_RETRIES


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
        "resets for ever",
        "may run once",
        "one replica only",
        "waits for the second",
    ],
)
def test_a_part_goes_back_to_a_replica_that_failed_it(first, second, changes, requests):
    """
    Half of all replicas lose part of their answers. A query over ninety shards lacked those of
    which both replicas did so, and failed for want of coverage with most of its time left.
    """
    outcome, sent = obtain(two(first, second), **changes)
    assert sent == requests
    assert isinstance(outcome, sending.Answered) == (
        GOOD in [*first, *second] and sum(requests) > 2
    )


@pytest.mark.parametrize("first", [[RESET], [5.0]])
def test_a_spent_budget_sends_nothing_again(first):
    outcome, requests = obtain(two(first, [GOOD]), slack=0.0, deadline_ms=250.0)
    assert isinstance(outcome, sending.Unknown)
    assert requests == [1, 0]


def test_the_time_handed_on_is_what_is_left():
    scripts = two([RESET], [GOOD])
    obtain(scripts, deadline_ms=500.0)
    for script in scripts.values():
        (request,) = script.requests
        left_ms = int(request.split(b"time-left: ")[1].split(b"\r")[0])
        assert left_ms <= 500
    assert b"expected: a" in scripts["a"].requests[0]


def test_an_abandoned_call_ends_its_sends():
    """
    The caller leaves while a late part has two sends under way. Both connections close, so that
    neither replica works on for nobody.
    """
    scripts = two([30.0], [30.0])

    async def main():
        sender = scripted.make_sender({"s": scripts})
        call = scripted.make_call()
        task = asyncio.create_task(obtaining.obtain(sender, call, "s"))
        while not all(script.requests for script in scripts.values()):
            await asyncio.sleep(0.005)
        task.cancel()
        call.abandon()
        await asyncio.gather(task, return_exceptions=True)
        await sender.tasks.finish()

    asyncio.run(main())
    assert [script.cancelled for script in scripts.values()] == [1, 1]


def test_no_hedge_where_every_replica_is_late():
    """
    After an outage all callers return at once, and every replica is late with many sends.
    A second send of each part then doubles the queue that makes them late.
    """

    async def main():
        scripts = two([0.3, GOOD], [0.3, GOOD])
        sender = scripted.make_sender({"s": scripts})
        loop = asyncio.get_running_loop()
        for replica in sender.replicas.all():
            replica.sends.add(replica_module.Attempt(loop.time() - 1.0, 0.05))
        outcome = await obtaining.obtain(sender, scripted.make_call(), "s")
        await sender.tasks.close()
        assert isinstance(outcome, sending.Answered)
        assert sum(len(script.requests) for script in scripts.values()) == 1
        assert sender.counters.totals["direct.hedge_denied.all_late"] == 1

    asyncio.run(main())


def test_a_late_send_is_not_hedged_beyond_the_routes_attempts():
    """
    The first replica is silent and the second one fails. With two attempts allowed, a hedge for the
    first one would reach a third replica.
    """
    scripts = {
        "a": scripted.Scripted(30.0),
        "b": scripted.Scripted(RESET),
        "c": scripted.Scripted(GOOD),
        "d": scripted.Scripted(GOOD),
    }
    _, requests = obtain(scripts, max_attempts=2, deadline_ms=400.0)
    assert requests == [1, 1, 0, 0]


@pytest.mark.parametrize(
    ("age_s", "sent"),
    [
        pytest.param(1.0, 1, id="soon after"),
        pytest.param(replica_module.MISDIRECTED_PAUSE_S + 1, 2, id="long after"),
    ],
)
def test_an_address_that_is_anothers_gets_nothing_more(age_s, sent):
    """
    A replica has ended while the store is away, and a replica of another service has its address.
    Nobody tells, so that every instance goes on sending there: each request is turned away, uses up
    an attempt, and is one more arrival at a service that it was not meant for.
    """

    async def main():
        ended = scripted.Scripted(MOVED)
        sender = scripted.make_sender({"s": {"a": ended}})
        first = await obtaining.obtain(sender, scripted.make_call(), "s")
        (replica,) = sender.replicas.all()
        replica.misdirected_until_s -= age_s
        second = await obtaining.obtain(sender, scripted.make_call(), "s")
        await sender.tasks.close()
        return first, second, len(ended.requests)

    first, second, requests = asyncio.run(main())
    assert first == sending.NotRun("misdirected", sent=True)
    assert isinstance(second, sending.NotRun)
    assert requests == sent
