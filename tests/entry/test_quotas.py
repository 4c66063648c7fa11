"""Messages about quotas between instances, and what an instance keeps of them."""

from __future__ import annotations

import asyncio
import math

import attrs
import quota_fleet

from turmericlug.direct import organisations as organisations_module
from turmericlug.entry import quota_peers
from turmericlug.entry import quota_service
from turmericlug.http1 import messages
from turmericlug.policy import quota
from turmericlug.policy import quota_bucket
from turmericlug.policy import quota_share
from turmericlug.wire import quota_codec

ORGANISATION = quota_fleet.organisation()


def play(scenario, size=3, organisation=ORGANISATION):
    async def main():
        fleet = quota_fleet.Fleet(size, organisation)
        fleet.start_all()
        return await scenario(fleet)

    return quota_fleet.run(main)


def other_than_holders(fleet):
    return next(name for name in fleet.names if name not in fleet.holders())


def message(*reports, sequence=1):
    return quota_codec.Message("e9", 9, sequence, reports)


def test_the_holder_admits_without_messages():
    """A message of an instance to itself would cost its own requests a round trip."""

    async def scenario(fleet):
        for _ in range(30):
            await fleet.request(fleet.holders()[0])
        await asyncio.sleep(1)
        # The notice that the organisation has become limited is the only one, to two instances,
        # and the holder asks its standby twice a second.
        return len(fleet.admitted_s), len(fleet.refused), fleet.messages

    admitted, refused, sent = play(scenario)
    assert (admitted, refused) == (20, 10)
    assert sent <= 4


def test_an_organisation_without_a_limit_at_the_holder_is_admitted():
    """The holder has a newer configuration without the limit: its own version decides."""

    async def scenario(fleet):
        fleet.configure(quota_fleet.organisation(0.0, 0.0, "none"))
        (notice,) = (
            fleet.quotas["e0"].handle(message(quota.Report("none", 5, 5, waiting=3, wanted=2)))
        ).notices
        return notice

    notice = play(scenario)
    assert (notice.granted, notice.limited_s, notice.level) == (5, 0.0, math.inf)
    assert notice.is_known


def test_instances_that_know_no_quotas_do_not_count_as_lost():
    """During an upgrade a holder of the old version answers 404; callers would be refused."""

    async def scenario(fleet):
        async def not_found(request):
            return messages.Response(404)

        name = other_than_holders(fleet)
        for peer in fleet.views[name].peers.values():
            peer.exchange = not_found
        for _ in range(60):
            await fleet.request(name)
            await asyncio.sleep(0.1)
        return len(fleet.admitted_s)

    assert play(scenario) == 60


def test_unreadable_messages_are_rejected():
    """An exception in the handler would end the connection, which also carries batches."""

    async def scenario(fleet):
        handle = quota_service.handler(fleet.quotas["e0"])
        request = messages.Request(b"POST", quota_peers.PATH, (), b"\xff" * 40, 0.0)
        return (await handle(request)).status

    assert play(scenario) == 400


def test_several_waiting_requests_share_one_message():
    """A burst at one instance would send a message for each request."""

    async def scenario(fleet):
        await fleet.load(40, 4)
        name = other_than_holders(fleet)
        await asyncio.sleep(quota_bucket.MAX_REFUSE_S)
        before = fleet.messages
        decided = await asyncio.gather(*(fleet.request(name) for _ in range(10)))
        return decided, fleet.messages - before

    decided, sent = play(scenario)
    assert decided.count(quota_share.ADMITTED) >= 3
    assert sent <= 3


def test_a_caller_that_leaves_while_it_waits_costs_no_token():
    """The token granted to it would be lost to the organisation."""

    async def scenario(fleet):
        await fleet.load(40, 3)
        await asyncio.sleep(quota_bucket.MAX_REFUSE_S)
        name = other_than_holders(fleet)
        own = fleet.quotas[name]
        before = own._shares.known["org"].used
        task = asyncio.create_task(own.ask(ORGANISATION, asyncio.get_running_loop().time() + 1))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.5)
        return own._shares.known["org"].used - before, own._waiters

    assert play(scenario) == (0, {})


def test_a_request_that_runs_out_of_time_does_not_count_as_beyond_the_quota():
    """A caller that gets 429 while the holder is silent gives up below its quota."""

    async def scenario(fleet):
        await fleet.load(40, 3)
        await asyncio.sleep(quota_bucket.MAX_REFUSE_S)
        name = other_than_holders(fleet)
        fleet.frozen.add(fleet.holders()[0])
        deadline_s = asyncio.get_running_loop().time() + 0.05
        return await fleet.quotas[name].ask(ORGANISATION, deadline_s)

    assert play(scenario).is_cut_off


def test_idle_organisations_are_forgotten():
    """Memory would grow with all organisations that ever sent a request."""

    async def scenario(fleet):
        many = [quota_fleet.organisation(name=f"o{number}") for number in range(200)]
        by_key = organisations_module.Organisations(
            {organisation.name.encode(): organisation for organisation in many}
        )
        configuration = attrs.evolve(fleet.configuration, organisations=by_key)
        for view in fleet.views.values():
            view.configuration = configuration
        own = fleet.quotas["e0"]
        for organisation in many:
            own.try_admit(organisation, own.now_s())
        await asyncio.sleep(0.5)
        active = len(own.status())
        await asyncio.sleep(60)
        own.try_admit(many[0], own.now_s())
        kept = [
            own._waiters,
            own._due,
            own._leases,
            own.refusals._refusals,
            own._peers._down_until_s,
        ]
        held = [len(other._holder._held) for other in fleet.quotas.values()]
        return active, len(own.status()), kept, sum(held)

    active, left, kept, held = play(scenario)
    assert (active, left) == (200, 1)
    assert not any(kept)
    assert held <= 1


def test_totals_never_go_back():
    """An organisation that comes back would be credited with what it has used before."""

    async def scenario(fleet):
        name = other_than_holders(fleet)
        totals = []
        for _ in range(3):
            for _ in range(4):
                await fleet.request(name)
            totals.append(fleet.quotas[name]._shares.known["org"].used)
            await asyncio.sleep(60)
        return totals

    totals = play(scenario)
    assert totals == sorted(totals) and totals[0] < totals[-1]


def test_what_operators_see():
    """An operator is asked why a caller is refused, and by whom the limit is enforced."""

    async def scenario(fleet):
        await fleet.load(40, 5)
        holder = fleet.holders()[0]
        return holder, fleet.quotas[holder].status(), len(fleet.admitted_s)

    holder, (status,), admitted = play(scenario)
    assert (status.organisation, status.holder, status.state) == ("org", holder, "limited")
    assert (status.limit_per_s, status.burst) == (5.0, 10.0)
    assert 2.0 < status.fleet_rate_per_s < 15.0
    assert status.refused > 0 and 0 < status.admitted < admitted
    assert status.age_s is not None and status.level is not None


def test_notices_reach_thousands_of_instances_through_others(monkeypatch):
    """The holder would send thousands of messages at once, for each organisation."""
    monkeypatch.setattr(quota_peers, "MAX_TOLD_DIRECTLY", 10)

    async def scenario(fleet):
        holder = fleet.holders()[0]
        for _ in range(17):
            await fleet.request(holder)
        direct = len(fleet.quotas[holder]._peers._tasks)
        await asyncio.sleep(0.6)
        now_s = asyncio.get_running_loop().time()
        told = [
            name
            for name, other in fleet.quotas.items()
            if "org" in other._shares.known and other._shares.known["org"].is_limited(now_s)
        ]
        return direct, len(told)

    direct, told = play(scenario, size=60)
    assert direct <= 8
    assert told >= 57
