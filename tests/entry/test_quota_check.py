"""Callers' requests and their organisations' quotas: refusals, refunds and cost."""

from __future__ import annotations

import asyncio
import collections
import random

import attrs
import pytest
import quota_fleet
import scripted

from turmericlug.direct import organisations as organisations_module
from turmericlug.direct import routes
from turmericlug.entry import callers as callers_module
from turmericlug.entry import quotas as quotas_module
from turmericlug.entry import source
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.policy import quota_share
from turmericlug.telemetry import decisions

NAMES = attrs.evolve(scripted.NAMES, api_key=b"key", organisation=b"organisation")
LIMITED = organisations_module.Organisation("limited", rate_per_s=2.0, burst=1.0)
UNLIMITED = organisations_module.Organisation("unlimited")
ORGANISATIONS = organisations_module.Organisations({b"k": LIMITED, b"u": UNLIMITED})
CAPACITY = 11
GOOD = scripted.response(body=b"good")
HEADERS = ((b"host", b"h.example"), (b"request-id", b"q1"))


def make_handler(replica, idempotent=True):
    """Return a handler whose instance is the holder of all organisations."""
    sender = scripted.make_sender({"s": {"a": replica}})
    sender.names = NAMES
    view = view_module.View("own", sender.replicas, sender.replicas, lambda: 0.0)
    services = (routes.WeightedService("s", 1.0),)
    route = routes.Route("r", "h.example", "/x/", idempotent, 2000, 100, 1, 2, services)
    public = attrs.evolve(route, name="p", prefix="/public/", is_public=True)
    view.configuration = routes.Configuration(
        3, (route, public), {}, messages.Limits(), ORGANISATIONS
    )
    view.instances["own"] = source.EntryInstance("own", "127.0.0.1:1", "dc", "r")
    quotas = quotas_module.Quotas(quota_fleet.RULE, "own", view, sender.counters, random.Random(1))
    quotas._holder._started_s -= 60
    return callers_module.RequestHandler(view, sender, lambda: 0.0, quotas), quotas, sender


async def send(handler, *headers, target=b"/x/1"):
    now_s = asyncio.get_running_loop().time()
    request = messages.Request(b"GET", target, HEADERS + headers, b"", now_s, now_s)
    return await handler.handle(request)


def used(quotas):
    return {status.organisation: status.admitted for status in quotas.status()}


def test_a_request_beyond_the_quota_is_refused_and_not_sent():
    """A 429 promises that nothing has run and will run."""

    async def main():
        replica = scripted.ScriptedReplica(GOOD)
        handler, quotas, sender = make_handler(replica)
        statuses, sent_by_status = [], collections.Counter()
        for _ in range(20):
            before = len(replica.requests)
            statuses.append((await send(handler, (b"key", b"k"))).status)
            sent_by_status[statuses[-1]] += len(replica.requests) - before
        return statuses, sent_by_status, used(quotas), sender.counters.totals

    statuses, sent_by_status, counted, totals = asyncio.run(main())
    admitted = statuses.count(200)
    assert set(statuses) == {200, 429}
    assert CAPACITY <= admitted <= CAPACITY + 2
    assert sent_by_status[429] == 0
    assert counted == {"limited": admitted}
    assert totals["entry.refused.over_quota"] == totals["entry.refused"] == 20 - admitted


@pytest.mark.parametrize(("time_left", "is_stated"), [(b"6000", True), (b"300", False)])
def test_retry_after_is_a_third_of_the_remaining_time_at_most(time_left, is_stated):
    """A caller that retries after its deadline, or finds no token, is refused twice."""

    async def main():
        handler, *_ = make_handler(scripted.ScriptedReplica(GOOD))
        handler._quota_check._quotas.refund = lambda organisation: None
        for _ in range(CAPACITY):
            await send(handler, (b"key", b"k"))
        return await send(handler, (b"key", b"k"), (b"time-left", time_left))

    answer = asyncio.run(main())
    delays_s = [float(value) for name, value in answer.headers if name == b"retry-after"]
    assert (answer.status, bool(delays_s)) == (429, is_stated)
    assert all(0.2 <= delay_s <= 2.0 / 3 for delay_s in delays_s)


def test_an_instance_without_a_holder_does_not_claim_that_the_quota_is_spent(monkeypatch):
    """A caller that gets 429 gives up, although another instance may reach the holder."""

    async def main():
        handler, quotas, sender = make_handler(scripted.ScriptedReplica(GOOD))
        monkeypatch.setattr(quotas._peers, "target", lambda organisation, now_s: None)
        statuses = [(await send(handler, (b"key", b"k"))).status for _ in range(3)]
        return statuses, sender.counters.totals["entry.refused.no_lease"]

    assert asyncio.run(main()) == ([200, 503, 503], 2)


def test_a_request_that_no_replica_has_run_is_refunded():
    """A service that sheds all requests would use up the quotas of its callers."""

    async def main():
        handler, quotas, _ = make_handler(scripted.ScriptedReplica(scripted.SHED))
        statuses = {(await send(handler, (b"key", b"k"))).status for _ in range(30)}
        return statuses, used(quotas)

    assert asyncio.run(main()) == ({503}, {"limited": 0})


def test_a_request_refused_by_a_leaving_instance_is_refunded():
    """The caller sends it to another instance, where it would be counted again."""

    async def main():
        handler, quotas, _ = make_handler(scripted.ScriptedReplica(GOOD))
        now_s = asyncio.get_running_loop().time()
        handler.start_draining(now_s - 0.1, now_s - 0.1, now_s + 0.1)
        return (await send(handler, (b"key", b"k"))).status, used(quotas)

    assert asyncio.run(main()) == (503, {"limited": 0})


def test_a_request_that_waits_for_its_quota_at_the_exit_is_refused(monkeypatch):
    """Guards against a connection that ends without an answer while the holder is silent."""

    async def main():
        replica = scripted.ScriptedReplica(GOOD)
        handler, quotas, _ = make_handler(replica)

        async def ask(*_):
            await asyncio.sleep(10)

        monkeypatch.setattr(quotas, "try_admit", lambda *_: quota_share.MustAsk())
        monkeypatch.setattr(quotas, "ask", ask)
        task = asyncio.create_task(send(handler, (b"key", b"k")))
        await asyncio.sleep(0.01)
        handler.end_requests()
        async with asyncio.timeout(0.1):
            return (await task).status, len(replica.requests)

    assert asyncio.run(main()) == (503, 0)


@pytest.mark.parametrize(
    ("replica", "counted"), [(scripted.SlowToConnect, 0), (scripted.ScriptedReplica, 1)]
)
def test_the_request_of_a_caller_that_leaves(replica, counted):
    """One that has been sent may run, so that its refund would exceed the bound."""

    async def main():
        handler, quotas, _ = make_handler(replica(0.2, GOOD))
        task = asyncio.create_task(send(handler, (b"key", b"k")))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return used(quotas)

    assert asyncio.run(main()) == {"limited": counted}


@pytest.mark.parametrize(("headers", "target"), [([(b"key", b"u")], b"/x/1"), ([], b"/public/1")])
def test_requests_without_a_limit_take_no_extra_step(headers, target, monkeypatch):
    """Unlimited organisations and public routes would pay for a mechanism they do not use."""

    async def main():
        replica = scripted.ScriptedReplica(GOOD)
        handler, quotas, _ = make_handler(replica)
        for name in ("try_admit", "ask", "now_s"):
            monkeypatch.setattr(quotas, name, None)
        return (await send(handler, *headers, target=target)).status, quotas._shares.known

    assert asyncio.run(main()) == (200, {})


def test_refusals_send_nothing_and_are_logged_together(monkeypatch):
    """A caller that retries immediately would take the processor time and the log of all others."""
    lines = []
    monkeypatch.setattr(decisions, "log", lambda event, **fields: lines.append((event, fields)))

    async def main():
        replica = scripted.ScriptedReplica(GOOD)
        handler, quotas, _ = make_handler(replica)
        for _ in range(CAPACITY + 1):
            quotas.try_admit(LIMITED, quotas.now_s())
        now_s = quotas.now_s()
        monkeypatch.setattr(quotas, "now_s", lambda: now_s)
        answers = [await send(handler, (b"key", b"k")) for _ in range(2000)]
        assert {answer.status for answer in answers} == {429}
        return [request for request in replica.requests if request.startswith(b"GET")]

    assert asyncio.run(main()) == []
    refusals = [fields for event, fields in lines if event == "quota.refused"]
    assert len(refusals) == 1
