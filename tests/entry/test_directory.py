"""Which instances callers are told."""

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
    ids=["own data centre", "region", "a second choice", "elsewhere", "the only one", "none"],
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
        "second choice in an allowed region",
        "own region alone",
        "an allowed region alone",
        "allowed by both routes",
        "allowed by one of them",
        "none runs in an allowed region",
        "one route is not bound",
    ],
)
def test_callers_of_bound_routes_are_told_their_own_or_an_allowed_region(
    instances, regions, expected
):
    """Callers whose data centre was short of instances were told those of every region."""
    found = make_directory(*instances)
    bound = tuple(
        routes.Route(
            f"r{number}", "h", f"/{number}/", True, 1.0, 1.0, 1, 1, regions=each and frozenset(each)
        )
        for number, each in enumerate(regions)
    )
    found.view.configuration = routes.Configuration(1, bound, {}, messages.Limits())
    assert found.addresses("r", "d", "H") == expected
    assert len(found.addresses("r", "d", "another host")) == len(instances)


@pytest.mark.parametrize(
    ("instances", "expected"),
    [
        (["r/d/1", "r/d/2", "r/d/3"], ["r/d/2", "r/d/3"]),
        (["r/d/1", "r/d/2", "r/e/3"], ["r/d/2", "r/e/3"]),
        (["r/d/1"], ["r/d/1"]),
    ],
    ids=["others", "a second choice", "nobody else"],
)
def test_an_instance_that_leaves_does_not_send_callers_to_itself(instances, expected):
    """
    An instance is stopped and answers callers that ask where to connect until its end, itself among
    the addresses. They come again and again, and are refused late in its grace period.
    """
    found = make_directory(*instances)
    found.own_name = "r/d/1"
    assert "r/d/1" in found.addresses("r", "d")
    found.leaving = lambda: True
    assert found.addresses("r", "d") == expected


def test_at_most_so_many():
    instances = [f"r/d/{number:03d}" for number in range(200)]
    assert len(make_directory(*instances).addresses("r", "d")) == directory.MOST
