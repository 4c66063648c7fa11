"""Optional fields: read strictly, or ignored."""

from __future__ import annotations

import json

import hypothesis
import pytest
import standin_platform
from hypothesis import strategies

from turmericlug.direct import load
from turmericlug.entry import source
from turmericlug.platform import decode
from turmericlug.platform import fields
from turmericlug.platform import names

DAMAGED = [None, -1, 2.5, True, "x", {}, [], {"a": []}, [["r"]], 1e300, float("nan"), "9" * 400]
anything = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.floats() | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3),
)


def configured(route=None, service=None, **changes):
    plain = standin_platform.configuration(
        1, [standin_platform.route("r", "/r/", Service="s", **(route or {}))], ["s"]
    )
    plain["Services"][0] |= service or {}
    found = decode.change("op/config", json.dumps(plain | changes).encode(), 1)
    assert isinstance(found, source.Written), found
    return found


@pytest.mark.parametrize(
    ("told", "regions", "ignored"),
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
    ids=str,
)
def test_regions_of_a_route_never_widen(told, regions, ignored):
    """A list that can't be read leaves no region, instead of letting requests leave theirs."""
    found = configured(route={"AllowedRegions": told})
    assert found.value.routes[0].regions == regions
    assert found.value.routes[0].goal_ms == 200
    assert len(found.ignored) == ignored


@pytest.mark.parametrize("told", DAMAGED, ids=str)
def test_a_rate_that_can_not_be_read_counts_as_absent(told):
    found = configured(service={"WarmupPerS": told}).value
    assert found.services["s"].cold_rate_per_s in (0.0, 2.5)
    assert found.services["s"].max_connections == 26


def test_many_damaged_fields_are_told_in_a_few_words():
    plain = standin_platform.configuration(1, [], [f"s{number}" for number in range(50)])
    for item in plain["Services"]:
        item["WarmupPerS"] = "x" * 1000
    found = decode.change("op/config", json.dumps(plain).encode(), 1)
    assert len(found.value.services) == 50
    assert 1 <= len(found.ignored) <= 5
    assert max(map(len, found.ignored)) <= 100


def test_organisations_are_bound_by_their_keys():
    organisations = [
        {"Name": "o", "ApiKeys": ["k1", "k2"], "AllowedRegions": ["a"]},
        {"Name": "p", "ApiKeys": ["k3"], "AllowedRegions": []},
        {"Name": "q", "ApiKeys": ["k4"], "AllowedRegions": "a"},
    ]
    found = configured(Tenants=organisations).value
    assert found.key_regions == {b"k1": {"a"}, b"k2": {"a"}, b"k4": set()}


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
def test_organisations_that_can_not_be_read_leave_the_rest_of_the_configuration(organisations):
    """One damaged key made the whole configuration unreadable: the older one stayed in force."""
    found = configured(Tenants=organisations)
    assert found.value.routes[0].name == "r"
    assert found.value.key_regions == {}
    assert len(found.ignored) == 1


@pytest.mark.parametrize(
    ("told", "expected"),
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
def test_told_load(told, expected):
    assert names.read_load(told) == expected


@hypothesis.given(strategies.binary(max_size=40))
def test_any_told_load_is_read_or_ignored(told):
    found = names.read_load(told)
    assert found is None or (found.slots > 0 and found.slowdown > 0)


@hypothesis.given(anything, anything, anything)
def test_any_optional_field_leaves_the_rest_of_the_configuration(regions, rate, organisations):
    route = {"AllowedRegions": regions}
    plain = standin_platform.configuration(
        1, [standin_platform.route("r", "/r/", Service="s", **route)], ["s"]
    )
    plain["Services"][0]["WarmupPerS"] = rate
    plain["Tenants"] = [{"Name": "o", "ApiKeys": ["k"], "AllowedRegions": organisations}]
    found = decode.change("op/config", json.dumps(plain).encode(), 1)
    assert isinstance(found, source.Written)
    assert found.value.match("h.example", "/r/1") is not None


@pytest.mark.parametrize("content", [b"{}", b"", b"\xff\xfe", b"[1,2]", b"null", b"x" * 2000])
def test_an_evacuation_is_told_by_its_key_whatever_its_value(content):
    """An evacuation whose value was not an object would have been taken for unreadable."""
    found = decode.change("op/evacuate/dc-2", content, 7)
    assert found.value == source.Evacuation("dc-2")


def test_the_form_of_a_damaged_field_is_told():
    with pytest.raises(fields.FieldError, match="list of 64"):
        fields.regions("montreal")
