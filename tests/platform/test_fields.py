"""Tests of optional fields: a malformed field is treated as absent."""

from __future__ import annotations

import json

import hypothesis
import pytest
import standin_platform
from hypothesis import strategies

from turmericlug.decoding import fields
from turmericlug.direct import load
from turmericlug.entry import source
from turmericlug.platform import decode
from turmericlug.platform import names
from turmericlug.platform import optional_fields

MALFORMED = [
    None,
    -1,
    2.5,
    True,
    "x",
    {},
    [],
    {"a": []},
    [["r"]],
    1e300,
    10**400,
    float("nan"),
    "9" * 400,
]
JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.floats() | strategies.text(max_size=5),
    lambda values: strategies.lists(values, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=3), values, max_size=3),
)


def decode_with(route=None, service=None, **changes):
    data = standin_platform.configuration(
        1, [standin_platform.route("r", "/r/", Service="s", **(route or {}))], ["s"]
    )
    data["Services"][0] |= service or {}
    decoded = decode.decode_change("op/config", json.dumps(data | changes).encode(), 1)
    assert isinstance(decoded, source.Written), decoded
    return decoded


def fixed_id(value):
    """Return a parameter id that is the same in each process; the order within a set is not."""
    return str(sorted(value)) if isinstance(value, set) else str(value)


@pytest.mark.parametrize(
    ("value", "regions", "ignored"),
    [
        (None, None, 0),
        ([], None, 0),
        (["a"], {"a"}, 0),
        (["a", "b", "a"], {"a", "b"}, 0),
        (["a", 5, None, [], ""], {"a"}, 0),
        ([5], set(), 0),
        ("a", set(), 1),
        ({"a": 1}, set(), 1),
        (7, set(), 1),
        (["a"] * 65, set(), 1),
    ],
    ids=fixed_id,
)
def test_malformed_region_list_allows_no_region(value, regions, ignored):
    """Guards against requests that leave their allowed regions because the list is malformed."""
    decoded = decode_with(route={"AllowedRegions": value})
    assert decoded.value.routes[0].regions == regions
    assert decoded.value.routes[0].goal_ms == 200
    assert len(decoded.ignored) == ignored


@pytest.mark.parametrize("value", MALFORMED, ids=str)
def test_malformed_rate_is_treated_as_absent(value):
    configuration = decode_with(service={"WarmupPerS": value}).value
    assert configuration.services["s"].cold_rate_per_s in (0.0, 2.5)
    assert configuration.services["s"].max_connections == 26


def test_report_of_ignored_fields_is_limited():
    data = standin_platform.configuration(1, [], [f"s{number}" for number in range(50)])
    for item in data["Services"]:
        item["WarmupPerS"] = "x" * 1000
    decoded = decode.decode_change("op/config", json.dumps(data).encode(), 1)
    assert len(decoded.value.services) == 50
    assert 1 <= len(decoded.ignored) <= 5
    assert max(map(len, decoded.ignored)) <= 100


def test_organisations_are_restricted_by_api_key():
    organisations = [
        {"Name": "o", "ApiKeys": ["k1", "k2"], "AllowedRegions": ["a"]},
        {"Name": "p", "ApiKeys": ["k3"], "AllowedRegions": []},
        {"Name": "q", "ApiKeys": ["k4"], "AllowedRegions": "a"},
    ]
    configuration = decode_with(Tenants=organisations).value
    regions_by_key = {
        key: organisation.regions
        for key, organisation in configuration.organisations.by_key.items()
    }
    assert regions_by_key == {b"k1": {"a"}, b"k2": {"a"}, b"k3": None, b"k4": set()}


@pytest.mark.parametrize(
    "organisations",
    [
        "x",
        7,
        {"a": 1},
        ["x"],
        [{"ApiKeys": 5, "AllowedRegions": ["a"]}],
        [{"ApiKeys": [5], "AllowedRegions": ["a"]}],
    ],
    ids=str,
)
def test_malformed_organisations_leave_the_rest_of_the_configuration(organisations):
    """
    Guards against a malformed organisation or API key that makes the whole configuration
    unreadable, so that the older configuration stays in force.
    """
    decoded = decode_with(Tenants=organisations)
    assert decoded.value.routes[0].name == "r"
    assert decoded.value.organisations.by_key == {}
    assert not decoded.value.organisations.is_complete
    assert len(decoded.ignored) == 1


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,0,8", load.Load(3, 0, 8, 1.0)),
        (b"3, 1, 8, 250", load.Load(3, 1, 8, 2.5)),
        (b"0,0,1,10", load.Load(0, 0, 1, 0.1)),
        (b"", None),
        (b"3,0", None),
        (b"3,0,8,100,1", None),
        (b"-1,0,8", None),
        (b"1.5,0,8", None),
        (b"nan,0,8", None),
        (b"1,0,0", None),
        (b"1,0,2,0", None),
        (b"1,0,2,999999", None),
        (b"9" * 300 + b",0,2", None),
        (b"1,0,two", None),
        ("1,0,²".encode(), None),
    ],
)
def test_reads_load_report(value, expected):
    assert names.read_load(value) == expected


@hypothesis.given(strategies.binary(max_size=40))
def test_any_load_report_is_valid_or_ignored(value):
    reported = names.read_load(value)
    assert reported is None or (reported.slots > 0 and reported.slowdown > 0)


@hypothesis.given(JSON_VALUES, JSON_VALUES, JSON_VALUES)
def test_malformed_optional_fields_leave_the_rest_of_the_configuration(
    regions, rate, organisations
):
    route = {"AllowedRegions": regions}
    data = standin_platform.configuration(
        1, [standin_platform.route("r", "/r/", Service="s", **route)], ["s"]
    )
    data["Services"][0]["WarmupPerS"] = rate
    data["Tenants"] = [{"Name": "o", "ApiKeys": ["k"], "AllowedRegions": organisations}]
    decoded = decode.decode_change("op/config", json.dumps(data).encode(), 1)
    assert isinstance(decoded, source.Written)
    assert decoded.value.match("h.example", "/r/1") is not None


@pytest.mark.parametrize("content", [b"{}", b"", b"\xff\xfe", b"[1,2]", b"null", b"x" * 2000])
def test_evacuation_is_recognised_by_its_key_alone(content):
    """Guards against an evacuation that is rejected because its value is not a JSON object."""
    decoded = decode.decode_change("op/evacuate/dc-2", content, 7)
    assert decoded.value == source.Evacuation("dc-2")


def test_field_error_states_the_expected_format():
    with pytest.raises(fields.FieldError, match="list of 64"):
        optional_fields.read_regions("montreal")
