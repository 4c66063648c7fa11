"""The replicas of all services, as an instance keeps them."""

from __future__ import annotations

import asyncio
import collections
import random

import attrs
import pytest

from turmericlug.direct import budget
from turmericlug.direct import placement
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes

PLACE = placement.Place("e-1", "near", {"near": "here", "beside": "here", "far": "there"})
NOW_S = 100.0
ROUTE = routes.Route("r", "h", "/", True, 2000.0, 168.0, 1, 2)


@attrs.define
class Pool:
    """Counts the connections opened ahead."""

    most: int = 4
    open_count: int = 0
    waiting: int = 0
    has_idle: bool = True

    def limit(self):
        return self.most

    async def warm(self):
        self.open_count += 1

    def trim(self):
        pass


def entry(instance, data_centre, service="s", draining=False):
    return routes.ReplicaEntry(instance, service, "127.0.0.1", 1, data_centre, 2, draining, 0)


def known(entries, pools):
    replicas = replicas_module.Replicas(
        lambda each: pools.setdefault(each.instance, Pool()), PLACE, budget.Allowance()
    )
    for each in entries:
        replicas.put(each)
    return replicas


ALL = [entry("n", "near"), entry("b", "beside"), entry("f", "far")]


@pytest.mark.parametrize(
    ("open_ones", "places", "chosen"),
    [
        ({"b"}, {"a": "far", "b": "far"}, "b"),
        ({"a"}, {"a": "far", "b": "far"}, "a"),
        ({"b"}, {"a": "near", "b": "far"}, "a"),
        (set(), {"a": "near", "b": "far"}, "a"),
    ],
    ids=["the second", "the first", "near without one", "none at all"],
)
def test_of_equal_replicas_one_with_an_idle_connection_goes_first(open_ones, places, chosen):
    """
    The second sends of late parts alternated between two far replicas, and each waited a round trip
    and a handshake for its connection: most of the time that was left.
    """
    pools = {name: Pool() for name in places}
    for name, pool in pools.items():
        pool.has_idle = name in open_ones
    replicas = known([entry(name, place) for name, place in places.items()], pools)
    route = routes.Route("r", "h", "/", True, 1000.0, 150.0, 1, 2)
    assert replicas.choose("s", route, (), 0.0).entry.instance == chosen


@pytest.mark.parametrize(
    ("entries", "far", "pools", "warmed"),
    [
        pytest.param(ALL, True, {}, {"n", "b", "f"}, id="few instances"),
        pytest.param(ALL, False, {}, {"n", "b"}, id="many instances"),
        pytest.param([entry("f", "far")], True, {}, set(), id="none near: handed over"),
        pytest.param(ALL, True, {"f": Pool(most=1)}, {"n", "b"}, id="one connection each"),
        pytest.param(ALL, True, {"n": Pool(open_count=1)}, {"b", "f"}, id="one is open"),
        pytest.param([entry("n", "near", draining=True)], True, {}, set(), id="leaves"),
        pytest.param([entry("n", "near", "other")], True, {}, set(), id="not sent to from here"),
    ],
)
def test_connections_ahead_of_need(entries, far, pools, warmed):
    """
    Replicas close connections that rest, and an instance opens them again for a hedge that hardly
    comes. With hundreds of instances that is most of all new connections, each of which holds a
    slot of its replica for some milliseconds.
    """
    pools = {name: attrs.evolve(pool) for name, pool in pools.items()}
    before = {name: pool.open_count for name, pool in pools.items()}
    replicas = known(entries, pools)
    asyncio.run(replicas.warm(NOW_S, lambda service: service == "s", far))
    opened = {name for name, pool in pools.items() if pool.open_count > before.get(name, 0)}
    assert opened == warmed


def test_set_aside_replicas_are_not_connected_to():
    pools = {}
    replicas = known(ALL, pools)
    for _ in range(replica_module.FAILURES_TO_EJECT):
        next(each for each in replicas.all() if each.entry.instance == "n").record_failure(NOW_S)
    asyncio.run(replicas.warm(NOW_S, lambda service: True, far=False))
    assert (pools["n"].open_count, pools["b"].open_count) == (0, 1)


INSTANCES, PER_S, LENGTH_S = 12, 34.0, 9.0
"""A shard's requests a second from all instances, while one of its two replicas sheds."""


@pytest.mark.parametrize("shed_share", [0.3, 0.6, 0.9, 1.0])
@pytest.mark.parametrize("shedding", ["near", "far"])
def test_a_replica_that_sheds_does_not_use_up_the_extra_sends(shed_share, shedding):
    """
    One replica of each shard sheds six of ten requests for nine seconds, and the other takes them.
    Tried again by every instance after each short pause, it uses up the extra sends that all may
    make in ten seconds within three; from then on whatever it sheds fails.
    """
    rng = random.Random(f"{shed_share} {shedding}")
    all_known = [
        known([entry("n", "near"), entry("f", "far")], collections.defaultdict(Pool))
        for _ in range(INSTANCES)
    ]
    for replicas in all_known:
        for data_centre, usual_ms in (("near", 12.0), ("far", 36.0)):
            for _ in range(20):
                replicas.latencies(ROUTE.name, data_centre).add(usual_ms)
    failed = 0
    requests = int(PER_S * LENGTH_S)
    for number in range(requests):
        now_s = NOW_S + number / PER_S
        replicas = rng.choice(all_known)
        extras = replicas.retry_budget("s")
        extras.count_request(now_s)
        first = replicas.choose("s", ROUTE, (), now_s)
        if first.entry.data_centre != shedding or rng.random() > shed_share:
            first.record_success(12.0, 12.0, now_s)
            continue
        first.record_shed(now_s)
        failed += not extras.try_spend(now_s, 1 / INSTANCES)
    assert failed <= requests * 0.01


def test_a_replica_that_has_shed_is_used_again():
    replicas = known([entry("n", "near"), entry("f", "far")], {})
    near = replicas.of("s")[0]
    for _ in range(20):
        near.record_shed(NOW_S)
    assert replicas.choose("s", ROUTE, (), NOW_S + 1).entry.instance == "f"
    assert replicas.choose("s", ROUTE, (), NOW_S + 20).entry.instance == "n"
    for _ in range(20):
        near.record_success(12.0, 12.0, NOW_S + 1)
    assert replicas.choose("s", ROUTE, (), NOW_S + 1).entry.instance == "n"
