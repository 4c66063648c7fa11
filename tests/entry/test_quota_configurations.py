"""Quotas among instances with different configurations, or builds, and with none."""

from __future__ import annotations

import asyncio
import itertools

import attrs
import pytest
import quota_fleet

from turmericlug.direct import organisations as organisations_module
from turmericlug.direct import routes
from turmericlug.entry import quota_peers
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.policy import quota
from turmericlug.policy import quota_share
from turmericlug.wire import quota_codec

RULE = quota_fleet.RULE
ORGANISATION = quota_fleet.organisation(8.0, 8.0)
OLDER, VERSION, NEWER = 4, 5, 6
LOAD_PER_S, DURATION_S = 40.0, 8.0
LEASE_S = 1.0


def configuration(version, organisation=ORGANISATION):
    named = {} if organisation is None else {b"key": organisation}
    return routes.Configuration(
        version, (), {}, messages.Limits(), organisations_module.Organisations(named)
    )


CONFIGURATIONS = {
    "none": None,
    "older without a limit": configuration(OLDER, quota_fleet.organisation(0.0, 0.0)),
    "older without the organisation": configuration(OLDER, None),
    "newer without the organisation": configuration(NEWER, None),
    "the same": configuration(VERSION),
}


def play(scenario, size=5, seed=1):
    async def main():
        fleet = quota_fleet.Fleet(size, ORGANISATION, seed=seed)
        fleet.configuration = configuration(VERSION)
        fleet.start_all()
        await scenario(fleet)
        return fleet

    return quota_fleet.run(main)


def askers(fleet):
    return [name for name in fleet.names if name not in fleet.holders()]


def within_quota(duration_s):
    return ORGANISATION.rate_per_s * duration_s + ORGANISATION.burst


def make_old_asker(fleet, name):
    """Let an instance send what the last build sends: no version and no limit."""
    peers = fleet.quotas[name]._peers
    make_message = peers.message

    def old_message(*arguments, **options):
        message = make_message(*arguments, **options)
        reports = tuple(attrs.evolve(r, rate_per_s=0.0, burst=0.0) for r in message.reports)
        return attrs.evolve(message, version=0, reports=reports)

    peers.message = old_message


def make_old_holder(fleet, name):
    """Let an instance answer as the last build does: no limit for what it doesn't know."""

    def answering(peer):
        async def answer(request):
            message = quota_codec.decode(request.partition(b"\r\n\r\n")[2])
            notices = [
                quota.Notice(
                    report.organisation,
                    report.waiting + report.wanted,
                    LEASE_S,
                    level=float("inf"),
                    is_known=False,
                )
                for report in message.reports
            ]
            await peer._travel(peer.sender, name)
            await peer._travel(name, peer.sender)
            content = quota_codec.encode(fleet.quotas[name]._peers.message(notices=notices))
            return client.Response(200, b"", (), content, True)

        return answer

    for view in fleet.views.values():
        peer = view.peers.get(name)
        if peer is not None:
            peer.exchange = answering(peer)


PAIRS = list(itertools.product(CONFIGURATIONS, CONFIGURATIONS))


@pytest.mark.parametrize(("holder", "standby"), PAIRS, ids=[" and ".join(pair) for pair in PAIRS])
@pytest.mark.parametrize("is_holder_lost", [False, True], ids=["", "holder lost"])
def test_configurations_of_holder_and_standby(holder, standby, is_holder_lost):
    """A holder or standby that doesn't know an organisation answers that it has no limit."""

    async def scenario(fleet):
        for name, kind in zip(fleet.holders(), (holder, standby), strict=True):
            fleet.views[name].configuration = CONFIGURATIONS[kind]
        load = asyncio.create_task(fleet.load(LOAD_PER_S, DURATION_S, askers(fleet)))
        await asyncio.sleep(2)
        if is_holder_lost:
            fleet.stop(fleet.holders()[0])
        await load

    fleet = play(scenario)
    assert fleet.most_in_a_window() <= fleet.bound()
    assert len(fleet.admitted_s) >= (0.8 if is_holder_lost else 0.97) * within_quota(DURATION_S)


@pytest.mark.parametrize("lost", [1, 2], ids=["holder", "holder and standby"])
@pytest.mark.parametrize("killed_after_s", [0.2, 1.0, 3.0, 6.0])
@pytest.mark.parametrize("without_s", [0.1, 1.5, 4.0])
def test_holders_that_restart_without_the_store(lost, killed_after_s, without_s):
    """A holder that restarts while the store is down answers that there is no limit."""
    duration_s = killed_after_s + without_s + 6.0

    async def scenario(fleet):
        names = fleet.holders()[:lost]
        load = asyncio.create_task(fleet.load(LOAD_PER_S, duration_s, askers(fleet)))
        await asyncio.sleep(killed_after_s)
        for name in names:
            fleet.stop(name)
        await asyncio.sleep(0.3)
        for name in names:
            fleet.start(name, is_young=True)
            fleet.views[name].configuration = None
        await asyncio.sleep(without_s)
        for name in names:
            fleet.views[name].configuration = fleet.configuration
        await load

    fleet = play(scenario)
    assert fleet.most_in_a_window() <= fleet.bound()
    assert len(fleet.admitted_s) >= 0.8 * within_quota(duration_s)


@pytest.mark.parametrize("kind", ["none", "newer without the organisation"])
@pytest.mark.parametrize("side", ["asker", "holder"])
def test_instances_of_the_last_build(kind, side):
    """An instance of the last build is taken to say, or is told, that there is no limit."""

    async def scenario(fleet):
        holder = fleet.holders()[0]
        fleet.views[holder].configuration = CONFIGURATIONS[kind]
        if side == "holder":
            make_old_holder(fleet, holder)
        else:
            for name in askers(fleet):
                make_old_asker(fleet, name)
        await fleet.load(LOAD_PER_S, DURATION_S, askers(fleet))

    fleet = play(scenario)
    assert fleet.most_in_a_window() <= fleet.bound()
    assert len(fleet.admitted_s) >= 0.8 * within_quota(DURATION_S)


def test_a_waiting_request_whose_organisation_loses_its_keys():
    """Requests that wait while the holder is lost are admitted without any limit."""

    async def scenario(fleet):
        name = askers(fleet)[0]
        await fleet.load(LOAD_PER_S, 3.0, [name])
        share = fleet.quotas[name]._shares.known["org"]
        while share.is_refusing(asyncio.get_running_loop().time()):
            await asyncio.sleep(0.01)
        fleet.frozen |= set(fleet.holders())
        requests = [asyncio.create_task(fleet.request(name)) for _ in range(20)]
        await asyncio.sleep(0.01)
        fleet.views[name].configuration = configuration(NEWER, None)
        fleet.decided = await asyncio.gather(*requests)

    assert play(scenario).decided.count(quota_share.ADMITTED) <= 1


def test_an_instance_that_may_not_know_an_organisation_is_asked_again():
    """An old holder that has got its configuration meanwhile would be passed over for good."""

    async def scenario(fleet):
        holder, asker = fleet.holders()[0], askers(fleet)[0]
        peers = fleet.quotas[asker]._peers
        now_s = asyncio.get_running_loop().time()
        peers.pass_over(holder, "org", now_s)
        fleet.targets = [
            peers.target("org", now_s + delay_s) for delay_s in (0.0, quota_peers.DOWN_S)
        ]
        fleet.others = {peers.target(f"o{number}", now_s) for number in range(50)}

    fleet = play(scenario)
    assert fleet.targets == fleet.holders()[::-1]
    assert fleet.holders()[0] in fleet.others
