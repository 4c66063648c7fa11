"""Selection of the addresses that callers may connect to."""

from __future__ import annotations

import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import directory
from turmericlug.entry import source
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages


def make_directory(*instances, capacities=None):
    replicas = replicas_module.Replicas(lambda entry: None, scripted.PLACE, budget.Allowance())
    view = view_module.View("own", replicas, replicas, lambda: 0.0)
    for name in instances:
        region, data_centre, _ = name.split("/")
        capacity = (capacities or {}).get(name, 1.0)
        view.instances[name] = source.EntryInstance(
            name, name, data_centre, region, capacity=capacity
        )
        view.capacities.put(name, capacity)
    return directory.Directory(view)


@pytest.mark.parametrize(
    ("instances", "expected"),
    [
        (["r/d/1", "r/d/2", "r/e/3", "q/f/4"], ["r/d/1", "r/d/2"]),
        (["r/d/1", "r/e/3", "q/f/4"], ["r/d/1", "r/e/3"]),
        (["r/d/1", "q/f/4"], ["q/f/4", "r/d/1"]),
        (["q/f/4", "q/f/5"], ["q/f/4", "q/f/5"]),
        (["q/f/4"], ["q/f/4"]),
        ([], []),
    ],
    ids=["own data centre", "own region", "failover", "other region", "only one", "none"],
)
def test_addresses(instances, expected):
    assert make_directory(*instances).addresses("r", "d") == expected


@pytest.mark.parametrize(
    ("instances", "regions", "expected"),
    [
        (["r/d/1", "q/f/4", "p/g/5"], [{"q"}], ["q/f/4", "r/d/1"]),
        (["r/d/1", "q/f/4", "p/g/5"], [{"r"}], ["r/d/1"]),
        (["q/f/4", "p/g/5"], [{"q"}], ["q/f/4"]),
        (["q/f/4", "p/g/5"], [{"q"}, {"q", "p"}], ["q/f/4"]),
        (["q/f/4", "p/g/5"], [{"q"}, {"p"}], ["p/g/5", "q/f/4"]),
        (["q/f/4", "p/g/5"], [{"r"}], ["p/g/5", "q/f/4"]),
        (["q/f/4", "p/g/5"], [None, {"p"}], ["p/g/5"]),
    ],
    ids=[
        "failover in an allowed region",
        "only the own region",
        "only an allowed region",
        "allowed by both routes",
        "allowed by one of them",
        "no instance in an allowed region",
        "one route is not restricted",
    ],
)
def test_restricted_hosts_get_instances_of_their_own_or_an_allowed_region(
    instances, regions, expected
):
    """
    Guards against disregarding a route's regions. Callers whose data centre had too few instances
    got the addresses of instances in every region.
    """
    tested = make_directory(*instances)
    restricted = tuple(
        routes.Route(
            f"r{number}",
            "h",
            f"/{number}/",
            True,
            1.0,
            1.0,
            1,
            1,
            regions=allowed and frozenset(allowed),
        )
        for number, allowed in enumerate(regions)
    )
    tested.view.configuration = routes.Configuration(1, restricted, {}, messages.Limits())
    assert tested.addresses("r", "d", "H") == expected
    assert len(tested.addresses("r", "d", "another host")) == len(instances)


@pytest.mark.parametrize(
    ("instances", "expected"),
    [
        (["r/d/1", "r/d/2", "r/d/3"], ["r/d/2", "r/d/3"]),
        (["r/d/1", "r/d/2", "r/e/3"], ["r/d/2", "r/e/3"]),
        (["r/d/1"], ["r/d/1"]),
    ],
    ids=["others in its data centre", "failover", "no other instance"],
)
def test_a_draining_instance_omits_itself(instances, expected):
    """
    A draining instance serves the directory until it exits. If it lists itself, callers keep
    connecting to it and are refused late in its grace period.
    """
    tested = make_directory(*instances)
    tested.own_name = "r/d/1"
    assert "r/d/1" in tested.addresses("r", "d")
    tested.is_draining = lambda: True
    assert tested.addresses("r", "d") == expected


NAMES = [f"r/{data_centre}/{number:02d}" for data_centre in "de" for number in range(12)]
"""Two data centres; every third instance has a large machine."""
UNLIKE = {name: 2.0 if number % 3 == 0 else 0.5 for number, name in enumerate(NAMES)}


def answers(tested, seconds, data_centre="d"):
    """Return the answers to a caller that asks each second."""
    clock = [0.0]
    tested.time_of_day_s = lambda: clock[0]
    result = []
    for second in range(seconds):
        clock[0] = float(second)
        result.append(tested.addresses("r", data_centre))
    return result


@pytest.mark.parametrize("capacities", [None, {name: 1.4 for name in NAMES[::2]}])
def test_machines_that_are_alike_are_all_named(capacities):
    """Guards against changed answers in deployments whose machines are alike."""
    tested = make_directory(*NAMES, capacities=capacities)
    tested.is_hot = lambda data_centre: data_centre == "d"
    assert answers(tested, 30) == [NAMES[:12]] * 30
    assert not tested.counters.totals


def test_instances_are_named_by_capacity():
    """Guards against small machines that are named, and connected to, as often as large ones."""
    tested = make_directory(*NAMES, capacities=UNLIKE)
    given = answers(tested, 50)
    counts = {name: sum(name in addresses for addresses in given) for name in NAMES[:12]}
    assert all(counts[name] == 50 for name in NAMES[:12:3])
    assert all(10 <= counts[name] <= 25 for name in NAMES[:12] if UNLIKE[name] == 0.5)
    assert {name for addresses in given for name in addresses} == set(NAMES[:12])
    assert tested.counters.totals["directory.omitted"] > 0
    other = make_directory(*reversed(NAMES), capacities=UNLIKE)
    assert answers(other, 50) == given


def test_a_hot_data_centre_spills_to_the_next_one_of_its_region():
    """
    Guards against callers that all stay at overloaded instances, all move at once, or are sent to
    another region.
    """
    tested = make_directory(*NAMES, "q/f/1", "q/f/2", capacities=UNLIKE)
    hot = {"d"}
    tested.is_hot = lambda data_centre: data_centre in hot
    given = answers(tested, 30)
    added = [sum(name.startswith("r/e/") for name in addresses) for addresses in given]
    own = [sum(name.startswith("r/d/") for name in addresses) for addresses in given]
    assert added[0] == 0 and added == sorted(added) and added[-1] == own[-1] // 2 > 0
    assert max(new - old for old, new in zip(added, added[1:], strict=False)) == 1
    assert not any(name.startswith("q/") for addresses in given for name in addresses)
    assert tested.counters.totals["directory.spilled"] == sum(added)
    assert answers(make_directory(*NAMES, capacities=UNLIKE), 30) == [
        [name for name in addresses if name.startswith("r/d/")] for addresses in given
    ]


@pytest.mark.parametrize(
    "heat",
    [{"d": True, "e": True}, {"d": None, "e": False}, {"d": False, "e": False}, {}],
    ids=["all hot", "load not known", "cool", "no signal"],
)
def test_nothing_spills_without_need_or_room(heat):
    """Guards against moving work by a signal that is missing, or to where it helps nobody."""
    tested = make_directory(*NAMES, capacities=UNLIKE)
    tested.is_hot = heat.get
    assert all(name.startswith("r/d/") for given in answers(tested, 30) for name in given)


@pytest.mark.parametrize("heat", [{"d": True, "e": False}, {"d": True, "e": True}, {}])
@pytest.mark.parametrize("lost", [["e"], ["d"], ["d", "e"]], ids=["the next", "the own", "both"])
def test_data_centre_that_vanishes_while_its_addresses_are_named(lost, heat):
    """
    Guards against a failed answer to every caller of a hot data centre, as the only other one of
    its region is lost while some of its instances are named.
    """
    tested = make_directory(*NAMES, capacities=UNLIKE)
    tested.is_hot = {"d": True, "e": False}.get
    assert any(name.startswith("r/e/") for name in answers(tested, 30)[-1])
    tested.is_hot = heat.get
    for name in NAMES:
        if name.split("/")[1] in lost:
            tested.view.capacities.remove(name)
            del tested.view.instances[name]
    for addresses in answers(tested, 30):
        assert not any(name.split("/")[1] in lost for name in addresses)
        assert len(addresses) >= 2 or len(lost) == 2
    back = source.EntryInstance(NAMES[12], NAMES[12], "e", "r", capacity=2.0)
    tested.view.instances[NAMES[12]] = back
    assert answers(tested, 2)


def test_the_number_of_addresses_is_limited():
    instances = [f"r/d/{number:03d}" for number in range(200)]
    assert len(make_directory(*instances).addresses("r", "d")) == directory.MAX_ADDRESSES
