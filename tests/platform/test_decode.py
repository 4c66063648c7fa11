"""The platform's values as the product's types."""

from __future__ import annotations

import json
import math

import hypothesis
import pytest
import standin_platform
from hypothesis import strategies

from turmericlug.direct import routes
from turmericlug.entry import source
from turmericlug.http1 import messages
from turmericlug.platform import decode

SPLIT = [{"Service": "a", "Weight": 3}, {"Service": "b", "Weight": 1}]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"Service": "a"}, {"services": (routes.WeightedService("a", 1.0),), "shards": ()}),
        (
            {"TrafficSplit": SPLIT},
            {"services": (routes.WeightedService("a", 3.0), routes.WeightedService("b", 1.0))},
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
    found = decode.configuration(plain, [])
    (route,) = found.routes
    assert found.version == 9
    assert {key: getattr(route, key) for key in expected} == expected


def test_services_and_limits():
    found = decode.configuration(standin_platform.configuration(1, [], ["a"]), [])
    assert found.services == {"a": routes.Service("a", "/health", 26)}
    assert found.limits == messages.Limits(16384, 262144, 3.0, 15.0)


@pytest.mark.parametrize(("state", "draining"), [("ready", False), ("draining", True)])
def test_replicas(state, draining):
    replica = standin_platform.Replica("i-1", "s")
    replica.address = ("10.0.0.7", 8080)
    content = json.dumps(replica.entry(state)).encode()
    assert decode.value("servers/i-1", content, []) == routes.ReplicaEntry(
        "i-1", "s", "10.0.0.7", 8080, "dc-1", 2, draining, 0, replica.born_ms, 1
    )


GOOD = {
    "Service": "s",
    "Address": "10.0.0.7:8080",
    "Zone": "dc-1",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 4,
    "born": 1_790_000_000_000,
}
HUGE = "9" * 5000
FOREIGN = [
    *(
        {key: value for key, value in GOOD.items() if key != left}
        for left in GOOD
        if left != "born"
    ),
    *(GOOD | {key: None} for key in GOOD),
    *(GOOD | {key: [GOOD[key]]} for key in GOOD),
    *(GOOD | {key: {"value": GOOD[key]}} for key in GOOD),
    *(GOOD | {key: str(GOOD[key])} for key in ("Slots", "WarmupLeftMs", "Sequence", "born")),
    *(GOOD | {key: True} for key in GOOD),
    *(GOOD | {key: 7} for key in ("Service", "Address", "Zone", "Version", "State")),
    *(GOOD | {key: -1} for key in ("Slots", "WarmupLeftMs", "Sequence", "born")),
    *(GOOD | {key: 1.5} for key in ("Slots", "Sequence", "born")),
    *(GOOD | {"WarmupLeftMs": value} for value in (math.nan, math.inf)),
    *(GOOD | {"State": value} for value in ("", "READY", "resting")),
    *(GOOD | {"Slots": 0}, GOOD | {"Service": ""}, GOOD | {"Zone": ""}),
    *(
        GOOD | {"Address": value}
        for value in (
            "",
            "10.0.0.7",
            "10.0.0.7:",
            "10.0.0.7:-1",
            "10.0.0.7:0",
            "10.0.0.7:65536",
            "10.0.0.7:\u0661",
            f"10.0.0.7:{HUGE}",
            "10.0.0:80",
            "replica.example:80",
            "10.0.0.7:80:90",
            ":80",
            "\x00:80",
        )
    ),
]


@pytest.mark.parametrize("plain", FOREIGN, ids=str)
def test_an_entry_of_another_writer_names_no_replica(plain):
    """
    Somebody else writes under a replica's key, and some fields are missing, of another type or out
    of range. Read with guesses, requests go to an address that no replica has, or the reading of
    all other entries ends with an error.
    """
    content = json.dumps(plain).encode()
    found = decode.change("servers/i-1", content, 5)
    assert isinstance(found, source.Unreadable)
    assert (found.key, found.revision, found.content) == ("servers/i-1", 5, content)
    assert found.reason


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xff\xfe\x00",
        b"null",
        b"7",
        b'"ready"',
        b"[[]]",
        b"[" * 100_000,
        b'{"Slots":' + HUGE.encode() + b"}",
        b'{"Service":"s"',
    ],
    ids=lambda content: str(content[:20]),
)
@pytest.mark.parametrize("key", ["servers/i-1", "op/config", "turmericlug/instances/e-1"])
def test_bytes_that_cannot_be_read_name_nothing(key, content):
    assert isinstance(decode.change(key, content, 5), source.Unreadable)


@pytest.mark.parametrize("instance", ["", "i 1", "i\r\nx-other: 1", "i\u00e9", "i\x7f"])
def test_a_name_that_cannot_be_sent_names_no_replica(instance):
    """
    The key under which somebody writes holds a line break. It is sent to the replica as a header
    with each request, where it would begin another header.
    """
    content = json.dumps(GOOD).encode()
    assert isinstance(decode.change(f"servers/{instance}", content, 5), source.Unreadable)


@pytest.mark.parametrize("text", ["?", "abc", "aGk", "aGk=x", "\u00e9"])
def test_values_that_are_not_the_stores_text_form(text):
    assert isinstance(decode.change("servers/i-1", text, 5), source.Unreadable)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.sampled_from([*GOOD, "other"]), inner, max_size=4),
    max_leaves=6,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(list(GOOD)), JSON, max_size=3),
    strategies.sets(strategies.sampled_from(list(GOOD)), max_size=2),
)
def test_whatever_is_read_of_an_entry_can_be_used(changes, left_out):
    plain = {key: each for key, each in (GOOD | changes).items() if key not in left_out}
    found = decode.change("servers/i-1", json.dumps(plain).encode(), 5)
    if isinstance(found, source.Unreadable):
        assert changes or left_out
        return
    entry = found.value
    assert left_out <= {"born"}
    assert entry.service == plain["Service"] and entry.data_centre == plain["Zone"]
    assert f"{entry.host}:{entry.port}" == plain["Address"]
    assert entry.slots >= 1 and entry.warmup_left_ms >= 0
    assert entry.born_ms is None or entry.born_ms >= 0


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.binary(max_size=60)
    | JSON.map(lambda plain: json.dumps(plain).encode())
    | strategies.text(max_size=40),
    strategies.sampled_from(["op/config", "servers/i-1", "turmericlug/instances/e-1", "other"]),
)
def test_no_value_raises(content, key):
    found = decode.change(key, content, 5)
    assert found is None or found.key == key


def test_keys_of_others_are_not_read():
    assert decode.value("somebody/else", b"whatever", []) is None
