from __future__ import annotations

import json

import pytest

from turmericlug.catalog import catalog

VALID = {
    "services": {"a": {"slots": 2, "connections": 25}, "b": {"slots": 6, "connections": 100}},
    "groups": {"both": ["a", "b"]},
    "snapshots": [{"name": "s1"}, {"name": "s2", "shards": {"a": ["a.0", "a.1"]}}],
}


def test_valid_catalogue():
    parsed = catalog.parse(json.dumps(VALID))
    assert parsed.members_of("both") == ("a", "b")
    assert parsed.members_of("a") == ("a",)
    assert parsed.members_of("c") == ()
    assert parsed.snapshots[-1].shards_of("a") == ("a.0", "a.1")
    assert parsed.snapshots[-1].shards_of("b") == ("b",)


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ({"extra": 1}, "extra: unknown key"),
        ({"services": []}, "services: must be an object"),
        ({"services": {"a": {"slots": 2}}}, "services.a: must have slots"),
        ({"services": {"a": {"slots": 0, "connections": 2}}}, "integers above 0"),
        ({"services": {"a": {"slots": 2, "connections": 3}}}, "at least twice slots"),
        ({"groups": {"a": ["b"]}}, "groups.a: is also the name of a service"),
        ({"groups": {"g": ["x"]}}, "groups.g: unknown service x"),
        ({"groups": {"g": []}}, "groups.g: must be a non-empty list of services"),
        ({"snapshots": [{"name": "s"}, {"name": "s"}]}, "snapshots.s: the name is used twice"),
        ({"snapshots": [{"name": "s", "shards": {"x": ["1"]}}]}, "unknown service x"),
        (
            {"snapshots": [{"name": "s", "shards": {"a": ["1", "1"]}}]},
            "must be a non-empty list of distinct shards",
        ),
        ({"groups": {"g": [["a"]]}}, "groups.g: must be a non-empty list of services"),
        (
            {"snapshots": [{"name": "s", "shards": {"a": [["1"]]}}]},
            "must be a non-empty list of distinct shards",
        ),
        ({"snapshots": [{}]}, "snapshots: each must be an object with a string as name"),
    ],
)
def test_every_problem_is_reported(change, problem):
    with pytest.raises(catalog.CatalogError) as caught:
        catalog.parse(json.dumps(VALID | change))
    assert any(problem in reported for reported in caught.value.problems)


@pytest.mark.parametrize("text", ["", "[]", "{", "3", "[" * 200_000], ids=lambda text: text[:3])
def test_text_that_is_no_catalogue_is_rejected(text):
    with pytest.raises(catalog.CatalogError):
        catalog.parse(text)
