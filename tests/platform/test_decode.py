"""The platform's values as the product's types."""

from __future__ import annotations

import json

import pytest
import standin_platform

from turmericlug.direct import routes
from turmericlug.http1 import messages
from turmericlug.platform import decode

SPLIT = [{"Service": "a", "Weight": 3}, {"Service": "b", "Weight": 1}]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"Service": "a"}, {"services": (routes.Share("a", 1.0),), "shards": ()}),
        (
            {"TrafficSplit": SPLIT},
            {"services": (routes.Share("a", 3.0), routes.Share("b", 1.0))},
        ),
        (
            {"Gather": ["a", "b"], "TopK": 5, "MinCoverage": 0.75},
            {"shards": ("a", "b"), "top_records": 5, "min_coverage": 0.75, "services": ()},
        ),
        ({"RouteType": "non_idempotent"}, {"idempotent": False}),
        ({"RouteType": "something new"}, {"idempotent": False}),
        ({"RouteType": None}, {"idempotent": False}),
        ({"GoalMs": None}, {"goal_ms": 2000}),
        ({"Priority": 0}, {"priority": 0}),
    ],
)
def test_routes(changes, expected):
    plain = standin_platform.configuration(9, [standin_platform.route("r", "/x/", **changes)], "a")
    found = decode.configuration(plain)
    (route,) = found.routes
    assert found.version == 9
    assert {key: getattr(route, key) for key in expected} == expected


def test_services_and_limits():
    found = decode.configuration(standin_platform.configuration(1, [], ["a"]))
    assert found.services == {"a": routes.Service("a", "/health", 26)}
    assert found.limits == messages.Limits(16384, 262144, 3.0, 15.0)


@pytest.mark.parametrize(("state", "draining"), [("ready", False), ("draining", True)])
def test_replicas(state, draining):
    replica = standin_platform.Replica("i-1", "s")
    replica.address = ("10.0.0.7", 8080)
    content = json.dumps(replica.entry(state)).encode()
    assert decode.value("servers/i-1", content) == routes.ReplicaEntry(
        "i-1", "s", "10.0.0.7", 8080, "dc-1", 2, draining, 0
    )


def test_keys_of_others_are_not_read():
    assert decode.value("somebody/else", b"whatever") is None
