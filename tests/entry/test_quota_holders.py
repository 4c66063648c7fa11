"""Several holders of one organisation's tokens at a time: what all of them grant together."""

from __future__ import annotations

import asyncio

import pytest
import quota_fleet

TROUBLE_AFTER_S = 5.0
DURATION_S = 14.0


async def repeat(count, begin, end, lasts_s, pause_s):
    for _ in range(count):
        await begin()
        await asyncio.sleep(lasts_s)
        await end()
        await asyncio.sleep(pause_s)


def cut(select, count, lasts_s, pause_s):
    """Cut some links several times."""

    async def disturb(fleet):
        async def begin():
            select(fleet)

        async def end():
            fleet.cut.clear()

        await repeat(count, begin, end, lasts_s, pause_s)

    return disturb


def all_links(fleet):
    for name in fleet.names:
        fleet.cut_off([name])


def holder_from_standby(fleet):
    fleet.cut.add(frozenset(fleet.holders()))


def holder_from_all(fleet):
    fleet.cut_off(fleet.holders()[:1])


def holder_from_standby_and_one(fleet):
    holder_from_standby(fleet)
    other = next(name for name in fleet.names if name not in fleet.holders())
    fleet.cut.add(frozenset((fleet.holders()[0], other)))


def kill(index, count, lasts_s=0.6, pause_s=0.8):
    """Kill the holder or the standby several times, and start it again."""

    async def disturb(fleet):
        name = fleet.holders()[index]

        async def begin():
            fleet.stop(name)

        async def end():
            fleet.start(name, is_young=True)

        await repeat(count, begin, end, lasts_s, pause_s)

    return disturb


def freeze(index, count, lasts_s, pause_s):
    """Freeze the holder or the standby several times."""

    async def disturb(fleet):
        async def begin():
            fleet.frozen.add(fleet.holders()[index])

        async def end():
            fleet.frozen.clear()

        await repeat(count, begin, end, lasts_s, pause_s)

    return disturb


async def lose_power_while_cut(fleet):
    """Start all at once, the holder without its links."""
    for name in list(fleet.quotas):
        fleet.stop(name)
    fleet.connected.clear()
    fleet.start_all(is_young=True)
    holder_from_all(fleet)
    await asyncio.sleep(4)
    fleet.cut.clear()


TROUBLE = {
    "all links cut": cut(all_links, 1, 4.0, 0.0),
    "all links cut, briefly": cut(all_links, 6, 0.4, 0.5),
    "holder and standby cut": cut(holder_from_standby, 1, 4.0, 0.0),
    "holder and standby cut, briefly": cut(holder_from_standby, 5, 0.5, 0.7),
    "holder cut off": cut(holder_from_all, 1, 4.0, 0.0),
    "holder cut off, briefly": cut(holder_from_all, 4, 1.0, 0.5),
    "holder cut from standby and one more": cut(holder_from_standby_and_one, 1, 4.0, 0.0),
    "holder killed": kill(0, 3),
    "standby killed": kill(1, 3),
    "holder frozen": freeze(0, 2, 2.0, 1.0),
    "standby frozen": freeze(1, 3, 0.5, 0.7),
    "power lost, holder cut off": lose_power_while_cut,
}


def play(disturb, organisation, load_per_s, size, seed, latency_s):
    async def main():
        fleet = quota_fleet.Fleet(size, organisation, latency_s, seed)
        fleet.start_all()
        load = asyncio.create_task(fleet.load(load_per_s, DURATION_S))
        await asyncio.sleep(TROUBLE_AFTER_S)
        await disturb(fleet)
        await load
        return fleet

    return quota_fleet.run(main)


@pytest.mark.parametrize("disturb", TROUBLE.values(), ids=TROUBLE.keys())
@pytest.mark.parametrize(("rate_per_s", "burst"), [(0.5, 0.0), (2.0, 3.0), (20.0, 5.0)])
@pytest.mark.parametrize("size", [3, 6])
@pytest.mark.parametrize(("seed", "latency_s"), [(0, 0.001), (1, 0.025)])
def test_all_holders_together_stay_within_the_bound(
    disturb, rate_per_s, burst, size, seed, latency_s
):
    """Holders that can't reach each other, or follow one another, each grant the whole quota."""
    organisation = quota_fleet.organisation(rate_per_s, burst)
    fleet = play(disturb, organisation, 10 * rate_per_s + 40, size, seed, latency_s)
    assert fleet.most_in_a_window() <= fleet.bound()
    assert len(fleet.admitted_s) >= 0.8 * (rate_per_s * DURATION_S + burst)


@pytest.mark.parametrize(("rate_per_s", "burst"), [(0.5, 0.0), (1.0, 1.0), (2.0, 2.0), (5.0, 60.0)])
@pytest.mark.parametrize("size", [3, 9])
@pytest.mark.parametrize("is_young", [False, True])
def test_callers_that_begin_at_the_same_moment(rate_per_s, burst, size, is_young):
    """Each instance admits several requests before the holder has answered to any of them."""

    async def call(fleet, name):
        for _ in range(6):
            await fleet.request(name)
            await asyncio.sleep(0.1)

    async def main():
        fleet = quota_fleet.Fleet(size, quota_fleet.organisation(rate_per_s, burst))
        fleet.start_all(is_young)
        await asyncio.sleep(0)
        await asyncio.gather(*(call(fleet, fleet.names[n % size]) for n in range(60)))
        return fleet

    fleet = quota_fleet.run(main)
    assert fleet.most_in_a_window() <= fleet.bound()


@pytest.mark.parametrize("size", [3, 6])
def test_a_leaving_holder_that_stays_listed_serves_the_quota(size):
    """
    A holder that leaves while the store is lost stays listed. It asked for no lease and for no
    pledges, and refused a third of an organisation's requests within the quota.
    """

    async def main():
        fleet = quota_fleet.Fleet(size, quota_fleet.organisation(5.0, 0.0))
        fleet.start_all()
        load = asyncio.create_task(fleet.load(5.0, 40.0))
        await asyncio.sleep(20.0)
        fleet.quotas[fleet.holders()[0]].leave()
        admitted = len(fleet.admitted_s)
        await asyncio.sleep(12.0)
        admitted = len(fleet.admitted_s) - admitted
        await load
        return fleet, admitted

    fleet, admitted = quota_fleet.run(main)
    assert admitted >= 0.85 * 5.0 * 12.0
    assert fleet.most_in_a_window() <= fleet.bound()


def test_a_holder_that_begins_with_little_tells_all():
    """Instances that have not asked yet would go on admitting requests without asking."""

    async def main():
        fleet = quota_fleet.Fleet(9, quota_fleet.organisation(5.0, 0.0))
        fleet.start_all(is_young=True)
        await fleet.request(fleet.holders()[0])
        await asyncio.sleep(0.3)
        now_s = asyncio.get_running_loop().time()
        return [
            "org" in other._shares.known and other._shares.known["org"].is_limited(now_s)
            for other in fleet.quotas.values()
        ]

    assert quota_fleet.run(main) == [True] * 9


@pytest.mark.parametrize("size", [3, 9])
@pytest.mark.parametrize(("rate_per_s", "burst"), [(0.5, 0.0), (10.0, 3.0)])
def test_instances_that_know_nobody(size, rate_per_s, burst):
    """The store is lost before any instance is listed: each takes itself for the only one."""

    async def main():
        fleet = quota_fleet.Fleet(size, quota_fleet.organisation(rate_per_s, burst))
        names, fleet.listed = fleet.listed, []
        fleet.start_all(is_young=True)
        load = asyncio.create_task(fleet.load(10 * rate_per_s + 40, DURATION_S))
        await asyncio.sleep(DURATION_S / 2)
        fleet.while_unknown = len(fleet.admitted_s)
        fleet.set_listed(names)
        await load
        return fleet

    fleet = quota_fleet.run(main)
    assert fleet.while_unknown >= size
    assert fleet.most_in_a_window() <= fleet.bound()
    assert len(fleet.admitted_s) - fleet.while_unknown >= 0.8 * rate_per_s * DURATION_S / 2
