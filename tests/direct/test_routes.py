"""Tests of the choice of a route and of a service."""

from __future__ import annotations

import collections
import random

import pytest

from turmericlug.direct import routes
from turmericlug.direct import weighted_round_robin
from turmericlug.http1 import messages


def make_route(name, host, prefix, **changes):
    values = {
        "idempotent": True,
        "timeout_ms": 1000.0,
        "goal_ms": 100.0,
        "priority": 1,
        "max_attempts": 2,
        "services": (routes.WeightedService("s", 1.0),),
    } | changes
    return routes.Route(name, host, prefix, **values)


CONFIGURATION = routes.Configuration(
    7,
    (
        make_route("short", "a.example", "/x/"),
        make_route("long", "A.example", "/x/y/"),
        make_route("other", "b.example", "/"),
    ),
    {},
    messages.Limits(),
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("A.EXAMPLE", "/x/y/", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x", None),
        ("a.example", "/", None),
        ("b.example", "/x/y/1", "other"),
        ("c.example", "/x/", None),
    ],
)
def test_the_longest_matching_prefix_of_the_host_wins(host, path, expected):
    matched = CONFIGURATION.match(host, path)
    assert (matched.name if matched else None) == expected


def test_changed_weights_are_not_kept_without_end():
    """Guards against memory that grows with each configuration that changes a weight."""
    round_robin, rng = weighted_round_robin.WeightedRoundRobin(), random.Random(1)
    for weight in range(1, 3 * weighted_round_robin.MAX_KNOWN):
        services = (routes.WeightedService("a", weight), routes.WeightedService("b", 1))
        round_robin.pick(make_route("r", "h", "/", services=services), rng)
    assert len(round_robin._deficits) == weighted_round_robin.MAX_KNOWN


def test_services_are_picked_by_weight():
    route = make_route(
        "r", "h", "/", services=(routes.WeightedService("a", 3), routes.WeightedService("b", 1))
    )
    round_robin, rng = weighted_round_robin.WeightedRoundRobin(), random.Random(1)
    counts = collections.Counter(round_robin.pick(route, rng) for _ in range(4000))
    assert 0.72 < counts["a"] / 4000 < 0.78
