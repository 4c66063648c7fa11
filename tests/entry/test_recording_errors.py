"""An error in recording an outcome: the outcome is told, the error reported, no slot is lost."""

from __future__ import annotations

import asyncio
import contextlib

import handover_helpers
import pytest
import scripted

from turmericlug.direct import answering
from turmericlug.direct import attempts
from turmericlug.direct import overload
from turmericlug.direct import peer_loads
from turmericlug.direct import peers as peers_module
from turmericlug.direct import quarantine
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.direct import sender as sender_module
from turmericlug.direct import sending
from turmericlug.entry import admission as admission_module
from turmericlug.entry import batches
from turmericlug.entry import callers as callers_module
from turmericlug.entry import organisation_counts
from turmericlug.entry import quota_check
from turmericlug.entry import view as view_module
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.kernel import failures
from turmericlug.policy import concurrency
from turmericlug.policy import slow_start
from turmericlug.telemetry import counters as counters_module

SHARDS = ("x", "y", "z")
LOST = client.ConnectionLostError("connection closed")


def fail(*args, **kwargs):
    raise RuntimeError("cannot be recorded")


async def fail_later(*args, **kwargs):
    fail()


def return_failing(*args, **kwargs):
    return fail


@contextlib.contextmanager
def reported_failures():
    """Yield the failures that are reported to the running event loop."""
    reported = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: reported.append(failures.of_context(context)))
    yield reported
    loop.set_exception_handler(None)


def assert_idle(sender):
    for replica in sender.replicas.all():
        assert not replica.attempts
        assert replica.pool.open_count == len(replica.pool._idle)
        assert not replica.pool.waiting


ATTEMPT_STEPS = [
    (overload.Hooks, "observe_part", fail),
    (overload.Hooks, "observe_part", return_failing),
    (sender_module.Sender, "count_attempt", fail),
    (sender_module.Sender, "count_request", fail),
    (quarantine.Quarantine, "record_answer", fail),
    (quarantine.Quarantine, "record_outcome", fail_later),
    (replicas_module.Replicas, "latencies", fail),
    (replica_module.Replica, "record_success", fail),
    (replica_module.Replica, "record_failure", fail),
    (counters_module.Counters, "time_ms", fail),
]


def break_step(monkeypatch, sender, owner, name, replacement):
    """Replace a function of a class, or of the sender's hooks."""
    if owner is overload.Hooks:
        setattr(sender.overload, name, replacement)
    else:
        monkeypatch.setattr(owner, name, replacement)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([scripted.response(body=b"good")], sending.Answered),
        ([scripted.response(500)], sending.Failed),
        ([scripted.SHED], sending.NotRun),
        ([LOST], sending.Unknown),
    ],
    ids=["answered", "failed", "shed", "lost"],
)
@pytest.mark.parametrize(
    ("owner", "name", "replacement"),
    ATTEMPT_STEPS,
    ids=lambda value: getattr(value, "__name__", value),
)
def test_attempt_has_its_outcome(monkeypatch, owner, name, replacement, script, expected):
    """Guards against an error in the statistics of a replica instead of the replica's answer."""

    async def main():
        sender = scripted.make_sender({"s": {"a": scripted.ScriptedReplica(*script)}})
        call = scripted.make_call(max_attempts=1, idempotent=False)
        with reported_failures() as reported:
            with monkeypatch.context() as patched:
                if name != "latencies":
                    break_step(patched, sender, owner, name, replacement)
                else:
                    sender.replicas.latencies(call.route.name, "dc").add(1.0)
                    patched.setattr(replicas_module.RecentLatencies, "add", fail)
                outcome = await attempts.get_answer(sender, call, "s")
                await sender.tasks.finish()
        assert isinstance(outcome, expected)
        assert_idle(sender)
        return reported

    reported = asyncio.run(main())
    assert all(failure.event == failures.RECORDING_FAILED for failure in reported)
    records_it = {
        "record_success": expected is sending.Answered,
        "latencies": expected is sending.Answered,
        "time_ms": expected is sending.Answered,
        "record_failure": expected in (sending.Failed, sending.Unknown),
        "record_answer": expected in (sending.Answered, sending.Failed),
    }.get(name, True)
    assert bool(reported) == records_it


@pytest.mark.parametrize(
    ("connects", "expected"),
    [
        (True, sending.INTERNAL_ERROR),
        (False, sending.NotRun(sending.INTERNAL_ERROR.reason, sent=False)),
    ],
)
def test_unexpected_error_in_an_attempt_is_an_outcome(connects, expected):
    """Guards against an attempt that leaves open whether the request ran."""

    class Replica(scripted.ScriptedReplica):
        async def connect(self):
            return await super().connect() if connects else fail()

    async def main():
        sender = scripted.make_sender({"s": {"a": Replica(RuntimeError("odd"))}})
        call = scripted.make_call(max_attempts=1, idempotent=False)
        with reported_failures() as reported:
            outcome = await attempts.get_answer(sender, call, "s")
        assert outcome == expected
        assert reported
        assert_idle(sender)

    asyncio.run(main())


def make_handler(shards, with_admission):
    replicas = {
        service: {service: scripted.ScriptedReplica(scripted.response(body=bytes(16)))}
        for service in (SHARDS if shards else ("s",))
    }
    sender = scripted.make_sender(replicas)
    view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
    services = () if shards else (routes.WeightedService("s", 1.0),)
    route = routes.Route(
        "r", "h.example", "/x/", True, 900, 100, 1, 1, services, shards=shards, is_public=True
    )
    view.configuration = routes.Configuration(3, (route,), {}, messages.Limits())
    control = admission_module.Admission(sender, lambda: True) if with_admission else None
    handler = callers_module.RequestHandler(view, sender, lambda: 0.0, admission=control)
    return handler, sender, control


def make_request():
    now_s = asyncio.get_running_loop().time()
    headers = ((b"host", b"h.example"), (b"request-id", b"q1"), (b"time-left", b"800"))
    return messages.Request(b"GET", b"/x/1", headers, b"", now_s, now_s)


@pytest.mark.parametrize("with_admission", [False, True])
@pytest.mark.parametrize("shards", [(), SHARDS])
@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (callers_module.RequestHandler, "_log_result"),
        (organisation_counts.OrganisationCounts, "add"),
        (slow_start.SlowStart, "start_waiting"),
        (concurrency.ConcurrencyLimit, "_learn"),
        (admission_module, "_answer"),
        (quota_check.QuotaCheck, "refund"),
        (counters_module.Counters, "time_ms"),
        (quarantine.Quarantine, "record_answer"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
def test_caller_gets_the_answer_and_slots_are_released(
    monkeypatch, owner, name, shards, with_admission
):
    """Guards against status 500 and lost slots after an error in counting or logging."""

    async def main():
        handler, sender, control = make_handler(shards, with_admission)
        with reported_failures(), monkeypatch.context() as patched:
            patched.setattr(owner, name, fail)
            for _ in range(3):
                answer = await handler.handle(make_request())
                assert answer.status == 200
        await sender.tasks.finish()
        assert_idle(sender)
        assert handler._slow_start._active == 0
        assert handler.sender.quarantine.calls_in_flight == 0
        if control is not None:
            assert control._queries.active == control._requests.active == 0

    asyncio.run(main())


@pytest.mark.parametrize("with_admission", [False, True])
def test_query_that_waited_is_answered_though_its_wait_is_not_logged(monkeypatch, with_admission):
    """Guards against a slot that is lost between its grant and the query."""

    async def main():
        handler, sender, control = make_handler(SHARDS, with_admission)
        limit = control._queries if with_admission else handler._slow_start
        owner = admission_module.Admission if with_admission else callers_module.RequestHandler
        with reported_failures() as reported, monkeypatch.context() as patched:
            patched.setattr(owner, "_log_wait", fail)
            if with_admission:
                limit._applies_until_s, limit._limit = float("inf"), 1.0
            else:
                patched.setattr(slow_start, "INITIAL_LIMIT", 1)
            answers = await asyncio.gather(*(handler.handle(make_request()) for _ in range(3)))
            assert [answer.status for answer in answers] == [200, 200, 200]
            assert {failure.name for failure in reported} == {"wait"}
        await sender.tasks.finish()
        assert limit._active == 0

    asyncio.run(main())


@pytest.mark.parametrize("owner", [callers_module.RequestHandler, quota_check.QuotaCheck])
def test_request_of_a_caller_that_left_ends(monkeypatch, owner):
    """Guards against attempts that go on since the end of their request could not be recorded."""

    async def main():
        handler, sender, _ = make_handler((), False)
        replica = sender.replicas.of("s")[0]
        replica.pool.connect = scripted.ScriptedReplica(30.0, scripted.response()).connect
        name = "_log_caller_left" if owner is callers_module.RequestHandler else "refund_unsent"
        with reported_failures() as reported, monkeypatch.context() as patched:
            patched.setattr(owner, name, fail)
            task = asyncio.create_task(handler.handle(make_request()))
            await asyncio.sleep(0.01)
            assert replica.attempts
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            await sender.tasks.finish()
            assert len(reported) == 1
        assert_idle(sender)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (peer_loads.PeerLoads, "record"),
        (peers_module.Peers, "record_round_trip"),
        (replica_module.Replica, "record_success"),
        (replica_module.Replica, "record_failure"),
        (quarantine.Quarantine, "record_answer"),
        (counters_module.Counters, "time_ms"),
        (batches, "_log_first_answer"),
        (batches, "_measured_load"),
    ],
    ids=lambda value: getattr(value, "__name__", value),
)
@pytest.mark.parametrize("is_lost", [False, True])
def test_batch_has_its_answer(monkeypatch, owner, name, is_lost):
    """Guards against parts that are lost, or sent once more, as their batch is not recorded."""

    async def main():
        peer_replicas = handover_helpers.scripts()
        handle = handover_helpers.peer_handler(peer_replicas)

        async def refuse(request):
            return messages.Response(503)

        sender = handover_helpers.make_sender(handover_helpers.scripts())
        with reported_failures(), monkeypatch.context() as patched:
            patched.setattr(owner, name, fail)
            handler = refuse if is_lost else handle
            async with handover_helpers.peer(handler) as sender.handover:
                call = handover_helpers.query_call(min_coverage=1.0)
                result = await answering.query_shards(sender, call)
                await sender.tasks.finish()
                for peer in sender.handover.peers._instances.all():
                    assert not peer.attempts
        assert result.outcome == "answered"
        assert (
            sum(len(r.requests) for s in peer_replicas.values() for r in s.values()) == 0
        ) == is_lost
        assert_idle(sender)

    asyncio.run(main())
