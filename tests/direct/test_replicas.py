"""The replicas of all services, as an instance keeps them."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from turmericlug.direct import budget
from turmericlug.direct import placement
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes

PLACE = placement.Place("e-1", "near", {"near": "here", "beside": "here", "far": "there"})
NOW_S = 100.0


@attrs.define
class Pool:
    """Counts the connections opened ahead."""

    most: int = 4
    open_count: int = 0
    waiting: int = 0

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
    for _ in range(replicas_module.FAILURES_TO_EJECT):
        next(each for each in replicas.all() if each.entry.instance == "n").failed(NOW_S)
    asyncio.run(replicas.warm(NOW_S, lambda service: True, far=False))
    assert (pools["n"].open_count, pools["b"].open_count) == (0, 1)
