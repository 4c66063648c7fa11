"""Tests of decoding the platform's values."""

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

TRAFFIC_SPLIT = [{"Service": "a", "Weight": 3}, {"Service": "b", "Weight": 1}]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"Service": "a"}, {"services": (routes.WeightedService("a", 1.0),), "shards": ()}),
        (
            {"TrafficSplit": TRAFFIC_SPLIT},
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
def test_decodes_route(changes, expected):
    data = standin_platform.configuration(9, [standin_platform.route("r", "/x/", **changes)], "a")
    found = decode.decode_configuration(data, [])
    (route,) = found.routes
    assert found.version == 9
    assert {key: getattr(route, key) for key in expected} == expected


def test_decodes_services_and_limits():
    found = decode.decode_configuration(standin_platform.configuration(1, [], ["a"]), [])
    assert found.services == {"a": routes.Service("a", "/health", 26)}
    assert found.limits == messages.Limits(16384, 262144, 3.0, 15.0)


@pytest.mark.parametrize(("state", "draining"), [("ready", False), ("draining", True)])
def test_decodes_replica(state, draining):
    replica = standin_platform.Replica("i-1", "s")
    replica.address = ("10.0.0.7", 8080)
    content = json.dumps(replica.entry(state)).encode()
    assert decode.decode_value("servers/i-1", content, []) == routes.ReplicaEntry(
        "i-1", "s", "10.0.0.7", 8080, "dc-1", 2, draining, 0, replica.born_ms, 1
    )


VALID = {
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
HUGE_NUMBER = "9" * 5000
MALFORMED = [
    *(
        {key: value for key, value in VALID.items() if key != left}
        for left in VALID
        if left != "born"
    ),
    *(VALID | {key: None} for key in VALID),
    *(VALID | {key: [VALID[key]]} for key in VALID),
    *(VALID | {key: {"value": VALID[key]}} for key in VALID),
    *(VALID | {key: str(VALID[key])} for key in ("Slots", "WarmupLeftMs", "Sequence", "born")),
    *(VALID | {key: True} for key in VALID),
    *(VALID | {key: 7} for key in ("Service", "Address", "Zone", "Version", "State")),
    *(VALID | {key: -1} for key in ("Slots", "WarmupLeftMs", "Sequence", "born")),
    *(VALID | {key: 1.5} for key in ("Slots", "Sequence", "born")),
    *(VALID | {"WarmupLeftMs": value} for value in (math.nan, math.inf)),
    *(VALID | {"State": value} for value in ("", "READY", "resting")),
    *(VALID | {"Slots": 0}, VALID | {"Service": ""}, VALID | {"Zone": ""}),
    *(
        VALID | {"Address": value}
        for value in (
            "",
            "10.0.0.7",
            "10.0.0.7:",
            "10.0.0.7:-1",
            "10.0.0.7:0",
            "10.0.0.7:65536",
            "10.0.0.7:\u0661",
            f"10.0.0.7:{HUGE_NUMBER}",
            "10.0.0:80",
            "replica.example:80",
            "10.0.0.7:80:90",
            ":80",
            "\x00:80",
        )
    ),
]


@pytest.mark.parametrize("data", MALFORMED, ids=str)
def test_malformed_replica_entry_is_rejected(data):
    """
    Guards against an entry written by another writer under a replica's key, with fields that are
    missing, of another type or out of range. With defaults in their place, requests would go to an
    address that no replica has; an uncaught error would end the decoding of all other entries.
    """
    content = json.dumps(data).encode()
    found = decode.decode_change("servers/i-1", content, 5)
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
        b'{"Slots":' + HUGE_NUMBER.encode() + b"}",
        b'{"Service":"s"',
    ],
    ids=lambda content: str(content[:20]),
)
@pytest.mark.parametrize("key", ["servers/i-1", "op/config", "turmericlug/instances/e-1"])
def test_undecodable_bytes_are_rejected(key, content):
    assert isinstance(decode.decode_change(key, content, 5), source.Unreadable)


@pytest.mark.parametrize("instance", ["", "i 1", "i\r\nx-other: 1", "i\u00e9", "i\x7f"])
def test_instance_name_invalid_in_a_header_is_rejected(instance):
    """
    Guards against header injection: the instance name in a replica's key holds a line break, and
    the name is sent to the replica as a header with each request.
    """
    content = json.dumps(VALID).encode()
    assert isinstance(decode.decode_change(f"servers/{instance}", content, 5), source.Unreadable)


@pytest.mark.parametrize("text", ["?", "abc", "aGk", "aGk=x", "\u00e9"])
def test_value_that_is_not_base64_is_rejected(text):
    assert isinstance(decode.decode_change("servers/i-1", text, 5), source.Unreadable)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.sampled_from([*VALID, "other"]), inner, max_size=4),
    max_leaves=6,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(list(VALID)), JSON, max_size=3),
    strategies.sets(strategies.sampled_from(list(VALID)), max_size=2),
)
def test_accepted_replica_entry_has_valid_fields(changes, left_out):
    data = {key: each for key, each in (VALID | changes).items() if key not in left_out}
    found = decode.decode_change("servers/i-1", json.dumps(data).encode(), 5)
    if isinstance(found, source.Unreadable):
        assert changes or left_out
        return
    entry = found.value
    assert left_out <= {"born"}
    assert entry.service == data["Service"] and entry.data_centre == data["Zone"]
    assert f"{entry.host}:{entry.port}" == data["Address"]
    assert entry.slots >= 1 and entry.warmup_left_ms >= 0
    assert entry.born_ms is None or entry.born_ms >= 0


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.binary(max_size=60)
    | JSON.map(lambda data: json.dumps(data).encode())
    | strategies.text(max_size=40),
    strategies.sampled_from(["op/config", "servers/i-1", "turmericlug/instances/e-1", "other"]),
)
def test_decoding_any_value_raises_nothing(content, key):
    found = decode.decode_change(key, content, 5)
    assert found is None or found.key == key


def test_unknown_keys_are_not_decoded():
    assert decode.decode_value("somebody/else", b"whatever", []) is None
