"""Values with fields of another type, out of range or not Unicode are refused, and named."""

from __future__ import annotations

import json
import math

import pytest
import standin_platform

from turmericlug.decoding import fields
from turmericlug.entry import source
from turmericlug.platform import configuration as configuration_module
from turmericlug.platform import decode

MANY_DIGITS = 10**400
SURROGATE = "\ud800"
LONG_TEXT = "x" * (fields.MAX_TEXT_LENGTH + 1)
ROUTE = {"Name": "odd", "Host": "h.example", "Prefix": "/odd/", "Service": "one"}
ENTRY = {
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
INSTANCE = {
    "address": "10.0.0.1:80",
    "data_centre": "dc-1",
    "region": "r-1",
    "peers_address": "10.0.0.1:81",
    "capacity": 0.5,
}


def split(*shares):
    return {"TrafficSplit": [{"Service": "a", "Weight": 3}, *shares]}


NOT_TEXT = [
    *((value, "type") for value in (3, True, ["a"], {"a": 1})),
    (SURROGATE, "text"),
    (LONG_TEXT, "length"),
]
NOT_AN_AMOUNT = [
    *((value, "type") for value in ("3", True, [1], {"a": 1})),
    *((value, "range") for value in (-1, MANY_DIGITS, 1e300, math.nan, math.inf)),
]
NOT_A_COUNT = [
    (1.5, "type"),
    *((value, reason) for value, reason in NOT_AN_AMOUNT if value not in (math.inf,)),
]
ODD_ROUTES = [
    *(
        ({name: value}, reason, name)
        for name in ("Name", "Host", "Prefix", "Service")
        for value, reason in NOT_TEXT
    ),
    *(({name: ...}, "missing", name) for name in ("Name", "Host", "Prefix")),
    *(
        ({name: value}, reason, name)
        for name in ("TimeoutMs", "GoalMs", "MinCoverage")
        for value, reason in NOT_AN_AMOUNT
    ),
    *(
        ({name: value}, "type" if isinstance(value, float) and value != 1e300 else reason, name)
        for name in ("Priority", "MaxAttempts", "TopK")
        for value, reason in NOT_A_COUNT
    ),
    ({"MinCoverage": 1.1}, "range", "MinCoverage"),
    *(({"Gather": value}, "type", "Gather") for value in ("abc", 3, {"a": 1}, [3], ["a", ["s0"]])),
    ({"Gather": ["a", SURROGATE]}, "text", "Gather"),
    ({"Gather": ["a"] * (configuration_module.MAX_SHARDS + 1)}, "length", "Gather"),
    *(({"TrafficSplit": value}, "type", "TrafficSplit") for value in ("abc", 3, {"a": 1})),
    (split(3), "type", "TrafficSplit[1]"),
    (split({"Service": "b"}), "missing", "TrafficSplit[1].Weight"),
    (split({"Weight": 1}), "missing", "TrafficSplit[1].Service"),
    *(
        (split({"Service": "b", "Weight": value}), reason, "TrafficSplit[1].Weight")
        for value, reason in NOT_AN_AMOUNT
    ),
    ({"TrafficSplit": [{"Service": "a", "Weight": 0}]}, "range", "TrafficSplit"),
]


def short(value):
    return str(value)[:60]


def refusal(key, data):
    """Return the reason and the field for which a value is refused; ``None`` if it is not."""
    decoded = decode.decode_change(key, json.dumps(data).encode(), 5)
    if isinstance(decoded, source.Unreadable):
        assert decoded.problem
        return decoded.reason, decoded.field
    return None


def configuration(*routes, **changes):
    changed = {"Version": 5, "Services": [{"Name": "one"}], "Routes": [*routes]} | changes
    return {name: value for name, value in changed.items() if value is not ...}


@pytest.mark.parametrize(("changes", "reason", "field"), ODD_ROUTES, ids=short)
def test_malformed_route_refuses_the_configuration(changes, reason, field):
    """
    Guards against a field of a route that ends the task that follows the store, that breaks the
    message to an instance which helps with a query, or whose route alone is left out.
    """
    odd = {name: value for name, value in (ROUTE | changes).items() if value is not ...}
    assert refusal("op/config", configuration(ROUTE, odd)) == (reason, f"Routes[1].{field}")


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        *(({"Version": value}, ("type", "Version")) for value in ("5", None, True, [5], 5.5)),
        *(({"Version": value}, ("range", "Version")) for value in (-1, 2**63, MANY_DIGITS, 1e300)),
        ({"Version": ...}, ("missing", "Version")),
        ({"Services": ...}, ("missing", "Services")),
        ({"Routes": ...}, ("missing", "Routes")),
        ({"Services": {}}, ("type", "Services")),
        ({"Routes": None}, ("type", "Routes")),
        ({"Routes": [7]}, ("type", "Routes[0]")),
        ({"Services": [{}]}, ("missing", "Services[0].Name")),
        ({"Services": [{"Name": ["a"]}]}, ("type", "Services[0].Name")),
        *(
            ({"Services": [{"Name": "a", "MaxConns": value}]}, (reason, "Services[0].MaxConns"))
            for value, reason in (("3", "type"), (-1, "range"), (MANY_DIGITS, "range"))
        ),
        ({"Limits": [3]}, ("type", "Limits")),
        *(
            ({"Limits": {name: value}}, (reason, f"Limits.{name}"))
            for name in ("MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs")
            for value, reason in (("many", "type"), (-1, "range"), (MANY_DIGITS, "range"))
        ),
    ],
    ids=short,
)
def test_malformed_field_refuses_the_configuration(changes, expected):
    """
    Guards against a version that is never replaced as no later one is greater, and limits that fail
    with each caller.
    """
    assert refusal("op/config", configuration(ROUTE, **changes)) == expected


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"Priority": 1.0, "MaxAttempts": 3.0}, {"priority": 1, "max_attempts": 3}),
        ({"Priority": 300, "TopK": 2**32 - 1}, {"priority": 300, "top_records": 2**32 - 1}),
        ({"MaxAttempts": 0, "TimeoutMs": None}, {"max_attempts": 1, "timeout_ms": 60_000.0}),
        ({"Name": "", "Host": "h\u00e9", "Prefix": ""}, {"name": "", "host": "h\u00e9"}),
        ({"Service": "", "Gather": [], "TrafficSplit": []}, {"services": (), "shards": ()}),
        ({"AllowedRegions": [SURROGATE, "r-1"]}, {"regions": frozenset({"r-1"})}),
        ({"AllowedRegions": 3}, {"regions": frozenset()}),
        ({"Unknown": SURROGATE, "Public": 3}, {"is_public": False}),
    ],
    ids=short,
)
def test_readable_routes(changes, expected):
    """Guards against refusing configurations that have always been in force."""
    data = json.loads(json.dumps(configuration(ROUTE | changes)))
    (route,) = configuration_module.decode(data, []).routes
    assert {name: getattr(route, name) for name in expected} == expected


def test_malformed_health_path_is_ignored():
    ignored = []
    services = [{"Name": "one", "HealthPath": 3}]
    decoded = configuration_module.decode(configuration(Services=services), ignored)
    assert decoded.services["one"].health_path == "/health"
    assert len(ignored) == 1


@pytest.mark.parametrize("version", [5.0, 2**63 - 1])
def test_readable_versions(version):
    assert configuration_module.decode(configuration(Version=version), []).version == version


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        *(({"Slots": value}, ("range", "Slots")) for value in (MANY_DIGITS, 2**63, 0)),
        *(({"Sequence": value}, ("range", "Sequence")) for value in (MANY_DIGITS, 2**63, -1)),
        *(({"born": value}, ("range", "born")) for value in (MANY_DIGITS, 2**63, -1)),
        *(({name: SURROGATE}, ("text", name)) for name in ("Service", "Zone", "Version")),
        *(({name: LONG_TEXT}, ("length", name)) for name in ("Service", "Zone", "Version")),
        *(({"Address": f"10.0.0.7:{port}"}, ("address", "Address")) for port in (0, 65536, -1)),
        ({"Address": SURROGATE}, ("text", "Address")),
        ({"Address": "\x00:80"}, ("address", "Address")),
        ({"other": "x" * decode.MAX_ENTRY_BYTES}, ("size", "")),
        ({"other": [[[[[[[[3]]]]]]]]}, None),
    ],
    ids=short,
)
def test_bounds_of_a_replica(changes, expected):
    """
    Guards against an entry that ends the tasks which hash its service or hand its name on, and one
    whose start is so late that no later entry of its replica ever counts.
    """
    assert refusal("servers/i-1", ENTRY | changes) == expected


@pytest.mark.parametrize(
    ("name", "changes", "expected"),
    [
        ("odd", {"data_centre": SURROGATE}, ("text", "data_centre")),
        ("odd", {"region": SURROGATE}, ("text", "region")),
        ("odd", {"peers_address": f"127.0.0.1:{MANY_DIGITS}"}, ("address", "peers_address")),
        ("odd", {"peers_address": None}, ("type", "peers_address")),
        ("odd", {"peers_address": ""}, None),
        (SURROGATE, {}, ("text", "Key")),
        ("a\r\nb", {}, ("text", "Key")),
        ("", {}, ("length", "Key")),
        ("x" * 5000, {}, ("length", "Key")),
        ("caf\u00e9 1", {}, None),
    ],
    ids=short,
)
def test_bounds_of_an_instance(name, changes, expected):
    """Guards against an instance's entry that breaks the messages to all others."""
    assert refusal(f"turmericlug/instances/{name}", INSTANCE | changes) == expected


@pytest.mark.parametrize("name", [SURROGATE, "", "x" * 5000], ids=short)
def test_evacuated_data_centre_has_a_name(name):
    assert refusal(f"op/evacuate/{name}", {})[1] == "Key"


def test_later_version_follows_a_refused_one():
    """Guards against a configuration of 400 digits that stays in force for ever."""
    data = standin_platform.configuration(MANY_DIGITS, [], ["a"])
    assert refusal("op/config", data) == ("range", "Version")


def test_routes_with_the_same_targets_are_read_as_others():
    """Guards against odd values that are taken for those of another route, which were checked."""
    gathers = [["a", "b"], ["a", "b"], ["b", "a"], ["a"], ["a", "b"]]
    data = configuration(*(ROUTE | {"Gather": gather} for gather in gathers))
    shards = [route.shards for route in configuration_module.decode(data, []).routes]
    assert shards == [tuple(gather) for gather in gathers]
    for odd in (["a", SURROGATE], ["a", 1], ["a", ["b"]], ["a", LONG_TEXT]):
        data = configuration(ROUTE | {"Gather": ["a", "b"]}, ROUTE | {"Gather": odd})
        with pytest.raises(fields.FieldError) as caught:
            configuration_module.decode(data, [])
        assert caught.value.field == "Routes[1].Gather"
    for odd in (SURROGATE, 1, ["a"], LONG_TEXT):
        data = configuration(ROUTE | {"Service": "a"}, ROUTE | {"Service": odd})
        with pytest.raises(fields.FieldError) as caught:
            configuration_module.decode(data, [])
        assert caught.value.field == "Routes[1].Service"
