"""Tests of decoding the platform's values."""

from __future__ import annotations

import json
import math

import attrs
import hypothesis
import pytest
import standin_platform
from hypothesis import strategies

from turmericlug.direct import routes
from turmericlug.entry import source
from turmericlug.http1 import messages
from turmericlug.platform import configuration as configuration_module
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
    configuration = configuration_module.decode(data, [])
    (route,) = configuration.routes
    assert configuration.version == 9
    assert {key: getattr(route, key) for key in expected} == expected


def test_decodes_services_and_limits():
    configuration = configuration_module.decode(standin_platform.configuration(1, [], ["a"]), [])
    assert configuration.services == {"a": routes.Service("a", "/health", 26)}
    assert configuration.limits == messages.Limits(16384, 262144, 3.0, 15.0)


@pytest.mark.parametrize(("state", "draining"), [("ready", False), ("draining", True)])
def test_decodes_replica(state, draining):
    replica = standin_platform.Replica("i-1", "s")
    replica.address = ("10.0.0.7", 8080)
    content = json.dumps(replica.entry(state)).encode()
    assert decode.decode_value("servers/i-1", content, []) == routes.ReplicaEntry(
        "i-1", "s", "10.0.0.7", 8080, "dc-1", 2, draining, 0, replica.born_ms, 1
    )


VALID_ENTRY = {
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
MALFORMED_ENTRIES = [
    *(
        {key: value for key, value in VALID_ENTRY.items() if key != omitted}
        for omitted in VALID_ENTRY
        if omitted != "born"
    ),
    *(VALID_ENTRY | {key: None} for key in VALID_ENTRY),
    *(VALID_ENTRY | {key: [VALID_ENTRY[key]]} for key in VALID_ENTRY),
    *(VALID_ENTRY | {key: {"value": VALID_ENTRY[key]}} for key in VALID_ENTRY),
    *(
        VALID_ENTRY | {key: str(VALID_ENTRY[key])}
        for key in ("Slots", "WarmupLeftMs", "Sequence", "born")
    ),
    *(VALID_ENTRY | {key: True} for key in VALID_ENTRY),
    *(VALID_ENTRY | {key: 7} for key in ("Service", "Address", "Zone", "Version", "State")),
    *(VALID_ENTRY | {key: -1} for key in ("Slots", "WarmupLeftMs", "Sequence", "born")),
    *(VALID_ENTRY | {key: 1.5} for key in ("Slots", "Sequence", "born")),
    *(VALID_ENTRY | {"WarmupLeftMs": value} for value in (math.nan, math.inf, 10**400)),
    *(VALID_ENTRY | {"State": value} for value in ("", "READY", "resting")),
    *(VALID_ENTRY | {"Slots": 0}, VALID_ENTRY | {"Service": ""}, VALID_ENTRY | {"Zone": ""}),
    *(
        VALID_ENTRY | {"Address": value}
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


@pytest.mark.parametrize("data", MALFORMED_ENTRIES, ids=str)
def test_malformed_replica_entry_is_rejected(data):
    """
    Guards against an entry that another program wrote under a replica's key, with fields that are
    missing, of another type or out of range. With defaults in their place, requests would go to an
    address that no replica has; an uncaught error would end the decoding of all other entries.
    """
    content = json.dumps(data).encode()
    decoded = decode.decode_change("servers/i-1", content, 5)
    assert isinstance(decoded, source.Unreadable)
    assert (decoded.key, decoded.revision, decoded.content) == ("servers/i-1", 5, b"")
    assert decoded.reason


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
    content = json.dumps(VALID_ENTRY).encode()
    assert isinstance(decode.decode_change(f"servers/{instance}", content, 5), source.Unreadable)


@pytest.mark.parametrize("text", ["?", "abc", "aGk", "aGk=x", "\u00e9"])
def test_value_that_is_not_base64_is_rejected(text):
    assert isinstance(decode.decode_change("servers/i-1", text, 5), source.Unreadable)


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda values: strategies.lists(values, max_size=3)
    | strategies.dictionaries(strategies.sampled_from([*VALID_ENTRY, "other"]), values, max_size=4),
    max_leaves=6,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(list(VALID_ENTRY)), JSON_VALUES, max_size=3),
    strategies.sets(strategies.sampled_from(list(VALID_ENTRY)), max_size=2),
)
def test_accepted_replica_entry_has_valid_fields(changes, omitted):
    data = {key: value for key, value in (VALID_ENTRY | changes).items() if key not in omitted}
    decoded = decode.decode_change("servers/i-1", json.dumps(data).encode(), 5)
    if isinstance(decoded, source.Unreadable):
        assert changes or omitted
        return
    entry = decoded.value
    assert omitted <= {"born"}
    assert entry.service == data["Service"] and entry.data_centre == data["Zone"]
    assert f"{entry.host}:{entry.port}" == data["Address"]
    assert entry.slots >= 1 and entry.warmup_left_ms >= 0
    assert entry.born_ms is None or entry.born_ms >= 0


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.binary(max_size=60)
    | JSON_VALUES.map(lambda data: json.dumps(data).encode())
    | strategies.text(max_size=40),
    strategies.sampled_from(["op/config", "servers/i-1", "turmericlug/instances/e-1", "other"]),
)
def test_decoding_any_value_raises_nothing(content, key):
    decoded = decode.decode_change(key, content, 5)
    assert decoded is None or decoded.key == key


INSTANCE = source.EntryInstance("e-1", "10.0.0.1:80", "dc-1", "r-1", "10.0.0.1:81", 0.516)
INSTANCE_KEY = "turmericlug/instances/e-1"


def test_instance_entry_round_trip():
    """Guards against instances that can't find their own entry because its value changes."""
    decoded = decode.decode_change(INSTANCE_KEY, decode.encode_instance(INSTANCE), 5)
    assert isinstance(decoded, source.Written)
    assert (decoded.value, decoded.ignored) == (INSTANCE, ())


@pytest.mark.parametrize(
    ("capacity", "ignored"),
    [(None, 0), *((value, 1) for value in (
        0, -1, 17, 1e300, int("9" * 400), math.nan, math.inf, True, "2", [2], {}
    ))],
    ids=lambda value: str(value)[:20],
)  # fmt: skip
def test_malformed_capacity_counts_as_the_default(capacity, ignored):
    """
    Guards against losing an instance, or all work going to it, because its capacity is malformed
    or absurd. Instances of an earlier version publish none.
    """
    item = json.loads(decode.encode_instance(INSTANCE)) | {"capacity": capacity}
    decoded = decode.decode_change(INSTANCE_KEY, json.dumps(item).encode(), 5)
    assert isinstance(decoded, source.Written)
    assert decoded.value == attrs.evolve(INSTANCE, capacity=1.0)
    assert len(decoded.ignored) == ignored


def test_unknown_keys_are_not_decoded():
    assert decode.decode_value("somebody/else", b"whatever", []) is None


REFUSED_VALUES = [
    ("servers/i-1", b"{", "syntax", ""),
    ("servers/i-1", json.dumps({"Service": "s"}).encode(), "missing", "Address"),
    ("servers/i-1", json.dumps(VALID_ENTRY | {"Slots": 0}).encode(), "range", "Slots"),
    ("op/config", b'{"Version":1}', "missing", "Services"),
]


@pytest.mark.parametrize(
    ("key", "content", "reason", "field"), REFUSED_VALUES, ids=lambda value: str(value)[:30]
)
def test_refused_value_names_its_field_and_reason(key, content, reason, field):
    """Guards against refused values of which the log does not tell which field was malformed."""
    refused = decode.decode_change(key, content, 5)
    assert (refused.reason, refused.field) == (reason, field)
    assert refused.problem
