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


def make_directory(*instances):
    replicas = replicas_module.Replicas(lambda entry: None, scripted.PLACE, budget.Allowance())
    view = view_module.View("own", replicas, replicas, lambda: 0.0)
    for name in instances:
        region, data_centre, _ = name.split("/")
        view.instances[name] = source.EntryInstance(name, name, data_centre, region)
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


def test_the_number_of_addresses_is_limited():
    instances = [f"r/d/{number:03d}" for number in range(200)]
    assert len(make_directory(*instances).addresses("r", "d")) == directory.MAX_ADDRESSES
