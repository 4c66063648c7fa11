"""Tests of the choice between replicas and of prewarmed connections."""

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
    """Stand-in pool that counts prewarmed connections."""

    max_connections: int = 4
    open_count: int = 0
    waiting: int = 0
    has_idle: bool = True

    def limit(self):
        return self.max_connections

    async def warm(self):
        self.open_count += 1

    def trim(self):
        pass


def entry(instance, data_centre, service="s", draining=False):
    return routes.ReplicaEntry(instance, service, "127.0.0.1", 1, data_centre, 2, draining, 0)


def make_replicas(entries, pools):
    replicas = replicas_module.Replicas(
        lambda entry: pools.setdefault(entry.instance, Pool()), PLACE, budget.Allowance()
    )
    for entry in entries:
        replicas.put(entry)
    return replicas


ALL_ENTRIES = [entry("n", "near"), entry("b", "beside"), entry("f", "far")]


@pytest.mark.parametrize(
    ("connected", "data_centres", "chosen"),
    [
        ({"b"}, {"a": "far", "b": "far"}, "b"),
        ({"a"}, {"a": "far", "b": "far"}, "a"),
        ({"b"}, {"a": "near", "b": "far"}, "a"),
        (set(), {"a": "near", "b": "far"}, "a"),
    ],
    ids=["second has one", "first has one", "near has none", "none has one"],
)
def test_a_replica_with_an_idle_connection_is_preferred(connected, data_centres, chosen):
    """
    Guards against hedges that alternate between two far replicas. Each of them waited a round trip
    and a handshake for a new connection, which was most of the time left until the deadline.
    """
    pools = {name: Pool() for name in data_centres}
    for name, pool in pools.items():
        pool.has_idle = name in connected
    replicas = make_replicas(
        [entry(name, data_centre) for name, data_centre in data_centres.items()], pools
    )
    route = routes.Route("r", "h", "/", True, 1000.0, 150.0, 1, 2)
    assert replicas.choose("s", route, (), 0.0).entry.instance == chosen


@pytest.mark.parametrize(
    ("entries", "far", "pools", "warmed"),
    [
        pytest.param(ALL_ENTRIES, True, {}, {"n", "b", "f"}, id="few instances"),
        pytest.param(ALL_ENTRIES, False, {}, {"n", "b"}, id="many instances"),
        pytest.param(
            [entry("f", "far")], True, {}, set(), id="no near replica: parts are handed over"
        ),
        pytest.param(
            ALL_ENTRIES,
            True,
            {"f": Pool(max_connections=1)},
            {"n", "b"},
            id="only one connection allowed",
        ),
        pytest.param(
            ALL_ENTRIES, True, {"n": Pool(open_count=1)}, {"b", "f"}, id="connection already open"
        ),
        pytest.param([entry("n", "near", draining=True)], True, {}, set(), id="draining"),
        pytest.param(
            [entry("n", "near", "other")], True, {}, set(), id="service not sent to directly"
        ),
    ],
)
def test_prewarmed_connections(entries, far, pools, warmed):
    """
    Guards against needless connections. Replicas close idle connections, and an instance reopens
    them for hedges that it hardly ever sends. With hundreds of instances these are most of the new
    connections, and each occupies a slot of its replica for some milliseconds.
    """
    pools = {name: attrs.evolve(pool) for name, pool in pools.items()}
    before = {name: pool.open_count for name, pool in pools.items()}
    replicas = make_replicas(entries, pools)
    asyncio.run(replicas.warm(NOW_S, lambda service: service == "s", far))
    opened = {name for name, pool in pools.items() if pool.open_count > before.get(name, 0)}
    assert opened == warmed


def test_no_connection_is_prewarmed_to_an_ejected_replica():
    pools = {}
    replicas = make_replicas(ALL_ENTRIES, pools)
    for _ in range(replica_module.FAILURES_TO_EJECT):
        next(replica for replica in replicas.all() if replica.entry.instance == "n").record_failure(
            NOW_S
        )
    asyncio.run(replicas.warm(NOW_S, lambda service: True, far=False))
    assert (pools["n"].open_count, pools["b"].open_count) == (0, 1)


INSTANCES, REQUESTS_PER_S, DURATION_S = 12, 34.0, 9.0
"""Load of a shard from all instances, and the time for which one of its two replicas sheds."""


@pytest.mark.parametrize("shed_share", [0.3, 0.6, 0.9, 1.0])
@pytest.mark.parametrize("shedding", ["near", "far"])
def test_a_shedding_replica_does_not_exhaust_the_retry_budget(shed_share, shedding):
    """
    One replica of each shard sheds six of ten requests for nine seconds, and the other one takes
    these. If every instance tried the first again after each short backoff, the retry budget of all
    instances for ten seconds would be exhausted within three, and from then on each request that it
    sheds would fail.
    """
    rng = random.Random(f"{shed_share} {shedding}")
    replicas_of_instances = [
        make_replicas([entry("n", "near"), entry("f", "far")], collections.defaultdict(Pool))
        for _ in range(INSTANCES)
    ]
    for replicas in replicas_of_instances:
        for data_centre, latency_ms in (("near", 12.0), ("far", 36.0)):
            for _ in range(20):
                replicas.latencies(ROUTE.name, data_centre).add(latency_ms)
    failed = 0
    requests = int(REQUESTS_PER_S * DURATION_S)
    for number in range(requests):
        now_s = NOW_S + number / REQUESTS_PER_S
        replicas = rng.choice(replicas_of_instances)
        retries = replicas.retry_budget("s")
        retries.count_request(now_s)
        first = replicas.choose("s", ROUTE, (), now_s)
        if first.entry.data_centre != shedding or rng.random() > shed_share:
            first.record_success(12.0, 12.0, now_s)
            continue
        first.record_shed(now_s)
        failed += not retries.try_spend(now_s, 1 / INSTANCES)
    assert failed <= requests * 0.01


def test_a_replica_is_used_again_after_shedding():
    replicas = make_replicas([entry("n", "near"), entry("f", "far")], {})
    near = replicas.of("s")[0]
    for _ in range(20):
        near.record_shed(NOW_S)
    assert replicas.choose("s", ROUTE, (), NOW_S + 1).entry.instance == "f"
    assert replicas.choose("s", ROUTE, (), NOW_S + 20).entry.instance == "n"
    for _ in range(20):
        near.record_success(12.0, 12.0, NOW_S + 1)
    assert replicas.choose("s", ROUTE, (), NOW_S + 1).entry.instance == "n"
