"""Handling of callers' requests: validation, routing, slow start, draining and disconnects."""

from __future__ import annotations

import asyncio
import collections
import random

import pytest
import quota_fleet
import scripted

from turmericlug.direct import answering
from turmericlug.direct import routes
from turmericlug.direct import weighted_round_robin
from turmericlug.entry import callers as callers_module
from turmericlug.entry import source
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.policy import slow_start

HOST, ID = (b"host", b"h.example"), (b"request-id", b"q1")


def handle_one(headers, target=b"/x/1", age_s=0.0, configured=True, draining=False, script=None):
    async def main():
        replica = scripted.ScriptedReplica(*(script or [scripted.response(body=b"good")]))
        sender = scripted.make_sender({"s": {"a": replica}})
        view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
        if configured:
            route = routes.Route(
                "r", "h.example", "/x/", True, 2000, 100, 1, 2, (routes.WeightedService("s", 1.0),)
            )
            view.configuration = routes.Configuration(3, (route,), {}, messages.Limits())
        handler = callers_module.RequestHandler(view, sender, lambda: age_s)
        now_s = asyncio.get_running_loop().time()
        if draining:
            handler.start_draining(now_s - 0.1, now_s - 0.1, now_s + 1.0)
        answer = await handler.handle(
            messages.Request(b"GET", target, tuple(headers), b"", now_s, now_s)
        )
        return answer, replica.requests

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("headers", "options", "status"),
    [
        ([HOST, ID], {}, 200),
        ([(b"host", b"H.example:8104"), ID], {}, 200),
        ([HOST, ID], {"target": b"http://h.example/x/1"}, 200),
        ([HOST, ID, (b"time-left", b"500")], {}, 200),
        ([HOST, ID, (b"time-left", b"soon")], {}, 200),
        ([HOST, ID, (b"time-left", b"nan")], {}, 200),
        ([HOST, ID, (b"time-left", b"inf")], {}, 200),
        ([HOST, ID, (b"time-left", b"1")], {}, 503),
        ([HOST, ID, (b"time-left", b"-5")], {}, 503),
        ([ID], {}, 400),
        ([HOST, HOST, ID], {}, 400),
        ([HOST], {}, 400),
        ([HOST, ID], {"target": b"/y/1"}, 404),
        ([(b"host", b"other"), ID], {}, 404),
        ([HOST, ID], {"target": b"/y/1", "age_s": 10.0}, 503),
        ([HOST, ID], {"configured": False}, 503),
        ([HOST, ID], {"draining": True}, 503),
        ([HOST, ID, (b"time-left", b"1500")], {"draining": True}, 503),
        ([HOST, ID, (b"time-left", b"800")], {"draining": True}, 200),
    ],
)
def test_status(headers, options, status):
    answer, requests = handle_one(headers, **options)
    assert answer.status == status
    assert bool(requests) == (status == 200)
    assert (b"retry-after" in dict(answer.headers)) == (status == 503)


@pytest.mark.parametrize(
    ("header", "forwarded"),
    [
        ((b"x-own", b"1"), True),
        ((b"connection", b"close"), False),
        ((b"expected", b"somebody"), False),
        ((b"time-left", b"77777"), False),
    ],
)
def test_forwarded_headers(header, forwarded):
    """
    Hop-by-hop headers and the expected-instance header of a caller's request are not forwarded.
    A replica must refuse a request whose expected-instance header names another instance.
    """
    _, (request,) = handle_one([HOST, ID, header])
    assert (b"%s: %s\r\n" % header in request) == forwarded


def make_handler(replica, idempotent):
    sender = scripted.make_sender({"s": {"a": replica}})
    view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
    services = (routes.WeightedService("s", 1.0),)
    route = routes.Route("r", "h.example", "/x/", idempotent, 2000, 100, 1, 2, services)
    view.configuration = routes.Configuration(3, (route,), {}, messages.Limits())
    return callers_module.RequestHandler(view, sender, lambda: 0.0), sender


def make_request():
    now_s = asyncio.get_running_loop().time()
    return messages.Request(b"GET", b"/x/1", (HOST, ID), b"", now_s, now_s)


@pytest.mark.parametrize(
    ("idempotent", "draining_s", "exits_in_s", "status"),
    [
        (False, 2.9, 1.0, 200),
        (False, 3.1, 1.0, 503),
        (False, 3.1, 3.0, 200),
        (True, 3.1, 1.0, 200),
        (True, 3.9, 1.0, 200),
        (True, 4.1, 1.0, 503),
        (True, 4.1, 3.0, 200),
    ],
)
def test_what_a_draining_instance_refuses(idempotent, draining_s, exits_in_s, status):
    """
    Guards against requests that are cut off at the exit and can't be repeated, and against refusals
    of requests that are answered in time.
    """

    async def main():
        replica = scripted.ScriptedReplica(scripted.response(body=b"good"))
        handler, _ = make_handler(replica, idempotent)
        now_s = asyncio.get_running_loop().time()
        began_s = now_s - draining_s
        handler.start_draining(began_s + 3.0, began_s + 4.0, now_s + exits_in_s)
        return (await handler.handle(make_request())).status, len(replica.requests)

    assert asyncio.run(main()) == (status, int(status == 200))


@pytest.mark.parametrize("idempotent", [False, True], ids=["not idempotent", "idempotent"])
@pytest.mark.parametrize(
    ("replica", "sent", "status"),
    [(scripted.SlowToConnect, 0, 503), (scripted.ScriptedReplica, 1, 502)],
    ids=["waiting for a connection", "in flight"],
)
def test_requests_in_flight_at_the_exit_are_answered(replica, sent, status, idempotent):
    """
    Guards against connections that end without an answer when a leaving instance exits, and against
    a request that is refused as not run and sent after that.
    """

    async def main():
        slow = replica(0.5, scripted.response(body=b"good"))
        handler, sender = make_handler(slow, idempotent)
        task = asyncio.create_task(handler.handle(make_request()))
        await asyncio.sleep(0.05)
        handler.end_requests()
        async with asyncio.timeout(0.1):
            answer = await task
        await asyncio.sleep(0.2)
        await sender.tasks.finish()
        return answer.status, len(slow.requests)

    assert asyncio.run(main()) == (status, sent)


@pytest.mark.parametrize(
    ("replica", "idempotent", "sent", "cancelled"),
    [
        (scripted.SlowToConnect, False, 0, 0),
        (scripted.SlowToConnect, True, 0, 0),
        (scripted.ScriptedReplica, False, 1, 0),
        (scripted.ScriptedReplica, True, 1, 1),
    ],
    ids=[
        "waiting, not idempotent",
        "waiting, idempotent",
        "in flight, not idempotent",
        "in flight, idempotent",
    ],
)
def test_caller_disconnects(replica, idempotent, sent, cancelled):
    """
    A caller disconnects while its request waits for a connection. Written half a second later, the
    request would run without a recipient for its answer. A request that is in flight and not
    idempotent is left to finish.
    """

    async def main():
        slow = replica(0.2, scripted.response(body=b"good"))
        handler, sender = make_handler(slow, idempotent)
        task = asyncio.create_task(handler.handle(make_request()))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await sender.tasks.finish()
        return len(slow.requests), slow.cancelled

    assert asyncio.run(main()) == (sent, cancelled)


def test_weighted_services_get_their_shares():
    """
    A route is split 3 to 1. With a random choice, a few hundred requests miss the shares by several
    percentage points, which looks like a broken traffic split to the operator.
    """
    split = (routes.WeightedService("a", 3.0), routes.WeightedService("b", 1.0))
    route = routes.Route("r", "h", "/", True, 1000, 100, 1, 2, split)
    balancer, rng = weighted_round_robin.WeightedRoundRobin(), random.Random(1)
    counts = collections.Counter(balancer.pick(route, rng) for _ in range(400))
    assert abs(counts["a"] - 300) <= 1


def test_a_caller_disconnects_as_its_query_is_admitted():
    """
    Guards against a lost answer: a query that ended in the same turn of the event loop in which the
    caller of a waiting query disconnected admitted that query, and failed with InvalidStateError.
    """
    admitted, queued = slow_start.INITIAL_LIMIT, 3

    async def main():
        shard = scripted.ScriptedReplica(0.02, *[scripted.response(body=bytes(16))] * 10)
        sender = scripted.make_sender({"s": {"a": shard}})
        view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
        route = routes.Route(
            "r", "h.example", "/x/", True, 2000, 900, 1, 2, shards=("s",), top_records=1
        )
        view.configuration = routes.Configuration(3, (route,), {}, messages.Limits())
        handler = callers_module.RequestHandler(view, sender, lambda: 0.0)
        now_s = asyncio.get_running_loop().time()
        request = messages.Request(b"GET", b"/x/1", (HOST, ID), b"", now_s, now_s)
        tasks = [asyncio.create_task(handler.handle(request)) for _ in range(admitted + 1 + queued)]
        await asyncio.sleep(0)
        assert handler._slow_start.queue_length == 1 + queued
        ending, disconnecting = tasks[0], tasks[admitted]
        ending.cancel()
        disconnecting.cancel()
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        await sender.tasks.close()
        assert handler._slow_start._active == 0
        return answers

    answers = asyncio.run(main())
    cancelled = [
        index
        for index, answer in enumerate(answers)
        if isinstance(answer, asyncio.CancelledError) or answer.status != 200
    ]
    assert cancelled == [0, admitted]


def test_a_query_that_waits_in_slow_start_is_refused_before_its_deadline():
    """While no other query ends, one that waits is held far beyond its deadline."""

    async def main():
        loop = asyncio.get_running_loop()
        sender = scripted.make_sender({"s": {"a": scripted.ScriptedReplica()}})
        view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
        route = routes.Route("r", "h.example", "/x/", True, 1000, 900, 1, 2, shards=("s",))
        view.configuration = routes.Configuration(3, (route,), {}, messages.Limits())
        handler = callers_module.RequestHandler(view, sender, lambda: 0.0)
        handler._slow_start._active = slow_start.INITIAL_LIMIT
        now_s = loop.time()
        request = messages.Request(b"GET", b"/x/1", (HOST, ID), b"", now_s, now_s)
        task = asyncio.create_task(handler.handle(request))
        await asyncio.wait([task], timeout=60.0)
        return task.done() and task.result(), loop.time() - now_s, handler._slow_start.queue_length

    refused, waited_s, queued = quota_fleet.run(main)
    assert (refused.status, refused.body, queued) == (503, b"starting", 0)
    assert waited_s <= 1.0


def test_slow_start_limits_queries_after_a_start():
    """
    After a power loss all instances restart, and all their callers retry at the same moment.
    Admitted together, all queries are late. Some queries therefore wait for admission, and one
    whose deadline would pass by then is refused at once as not run, with a Retry-After header.
    """
    admitted, queued = slow_start.INITIAL_LIMIT, 3

    async def main():
        shard = scripted.ScriptedReplica(
            0.02, *[scripted.response(body=bytes(16))] * (admitted + queued)
        )
        sender = scripted.make_sender({"s": {"a": shard}})
        view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
        route = routes.Route(
            "r", "h.example", "/x/", True, 2000, 900, 1, 2, shards=("s",), top_records=1
        )
        view.configuration = routes.Configuration(3, (route,), {}, messages.Limits())
        handler = callers_module.RequestHandler(view, sender, lambda: 0.0)
        now_s = asyncio.get_running_loop().time()

        def send_query(*headers):
            headers = (HOST, ID, *headers)
            request = messages.Request(b"GET", b"/x/1", headers, b"", now_s, now_s)
            return asyncio.create_task(handler.handle(request))

        tasks = [send_query() for _ in range(admitted + queued)]
        await asyncio.sleep(0)
        refused = send_query((b"time-left", b"%d" % (1000 * slow_start.INITIAL_DURATION_S)))
        disconnecting = send_query()
        await asyncio.sleep(0)
        assert refused.done(), "refused without a wait"
        assert not any(task.done() for task in tasks)
        assert handler._slow_start.queue_length == queued + 1
        disconnecting.cancel()
        await asyncio.sleep(0)
        assert (
            handler._slow_start.queue_length == queued
        ), "a disconnected caller's query still waits"
        answers = await asyncio.gather(*tasks)
        await sender.tasks.finish()
        return answers, refused.result(), len(shard.requests)

    answers, refused, sent = asyncio.run(main())
    assert [answer.status for answer in answers] == [200] * (admitted + queued)
    assert (refused.status, refused.body, sent) == (503, b"starting", admitted + queued)
    min_s = answering.OVERLOAD_RETRY_AFTER_MIN_S
    assert (
        min_s
        <= float(dict(refused.headers)[b"retry-after"])
        <= answering.OVERLOAD_RETRY_AFTER_MAX_S
    )


SENT_AT_ONCE, CONNECTED, LOOKED_UP, BOTH = (0.0, 800), (7.0, 793), (14.0, 786), (21.0, 779)
"""Time since the caller began when it sent its request, and the remaining time it stated, in ms."""
RECORDED = (
    BOTH, LOOKED_UP, SENT_AT_ONCE, CONNECTED, SENT_AT_ONCE, SENT_AT_ONCE, LOOKED_UP, SENT_AT_ONCE,
    LOOKED_UP, SENT_AT_ONCE, SENT_AT_ONCE, SENT_AT_ONCE, BOTH, SENT_AT_ONCE, CONNECTED, LOOKED_UP,
    SENT_AT_ONCE, SENT_AT_ONCE, LOOKED_UP, SENT_AT_ONCE, SENT_AT_ONCE, CONNECTED, SENT_AT_ONCE,
)  # fmt: skip


def test_goal_counts_from_the_start_of_the_callers_timeout(monkeypatch):
    """
    Callers look up addresses and connect before they send a request, which takes 14 to 21 ms of a
    goal of 106 ms for one in four. With a goal that counted from the request's arrival, 74 of 513
    urgent queries were answered late but recorded as in time.
    """
    calls = []

    async def record_call(sender, call):
        calls.append(call)
        return answering.refusal(sender, "recorded")

    monkeypatch.setattr(answering, "query_shards", record_call)
    response_latency_s = 0.003

    async def main():
        sender = scripted.make_sender({"s": {"a": scripted.ScriptedReplica(scripted.response())}})
        view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
        route = routes.Route("r", "h.example", "/x/", True, 2000, 106, 1, 2, shards=("s",))
        view.configuration = routes.Configuration(3, (route,), {}, messages.Limits())
        handler = callers_module.RequestHandler(view, sender, lambda: 0.0)
        late_by_ms = []
        for spent_ms, stated_ms in RECORDED:
            now_s = asyncio.get_running_loop().time()
            headers = (HOST, ID, (b"time-left", b"%d" % stated_ms))
            one_way_trips = 3 if spent_ms in (CONNECTED[0], BOTH[0]) else 1
            await handler.handle(
                messages.Request(
                    b"GET",
                    b"/x/1",
                    headers,
                    b"",
                    now_s,
                    now_s - one_way_trips * response_latency_s,
                    response_latency_s,
                )
            )
            began_s = now_s - response_latency_s - spent_ms / 1000
            late_by_ms.append((calls[-1].began_s - began_s) * 1000)
            assert calls[-1].deadline_s == pytest.approx(
                now_s - response_latency_s + stated_ms / 1000
            )
        return late_by_ms

    late_by_ms = asyncio.run(main())
    assert max(late_by_ms[:5]) <= 21.0, "too few stated times yet"
    assert max(late_by_ms[5:]) < 1.0


@pytest.mark.parametrize(
    ("snapshot", "status"),
    [("arrives", 200), ("fails", 503), ("times out", 503)],
)
def test_first_requests_wait_for_the_first_snapshot(snapshot, status, monkeypatch):
    """
    An instance listens before its program is loaded, and accepts all waiting connections at once,
    30 ms before it has a configuration. If it refuses these requests, most of them fail for good,
    since most callers retry only once.
    """
    monkeypatch.setattr(callers_module, "FIRST_SNAPSHOT_TIMEOUT_S", 0.05 if status == 503 else 30.0)

    async def main():
        replica = scripted.ScriptedReplica(scripted.response(body=b"good"))
        sender = scripted.make_sender({"s": {"a": replica}})
        view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
        handler = callers_module.RequestHandler(view, sender, lambda: 0.0)
        view.on_configuration = handler.on_configured
        if snapshot == "fails":
            view.record_source_failure("unreachable")
        now_s = asyncio.get_running_loop().time()
        task = asyncio.create_task(
            handler.handle(messages.Request(b"GET", b"/x/1", (HOST, ID), b"", now_s, now_s))
        )
        await asyncio.sleep(0)
        assert task.done() == (snapshot == "fails")
        if snapshot == "arrives":
            route = routes.Route(
                "r", "h.example", "/x/", True, 2000, 100, 1, 2, (routes.WeightedService("s", 1.0),)
            )
            configuration = routes.Configuration(3, (route,), {}, messages.Limits())
            written = source.Written("config", configuration, 1)
            view.apply_snapshot(source.Snapshot((written,), 1))
        return await task

    assert asyncio.run(main()).status == status
