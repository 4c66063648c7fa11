from __future__ import annotations

import json

import pytest

from turmericlug.catalog import catalog

GOOD = {
    "services": {"a": {"slots": 2, "connections": 25}, "b": {"slots": 6, "connections": 100}},
    "groups": {"both": ["a", "b"]},
    "snapshots": [{"name": "s1"}, {"name": "s2", "shards": {"a": ["a.0", "a.1"]}}],
}


def test_reads_what_is_right():
    found = catalog.parse(json.dumps(GOOD))
    assert found.members_of("both") == ("a", "b")
    assert found.members_of("a") == ("a",)
    assert found.members_of("c") == ()
    assert found.snapshots[-1].shards_of("a") == ("a.0", "a.1")
    assert found.snapshots[-1].shards_of("b") == ("b",)


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ({"extra": 1}, "extra: unknown"),
        ({"services": []}, "services: must be an object"),
        ({"services": {"a": {"slots": 2}}}, "services.a: needs slots"),
        ({"services": {"a": {"slots": 0, "connections": 2}}}, "whole numbers above 0"),
        ({"services": {"a": {"slots": 2, "connections": 3}}}, "at least twice the slots"),
        ({"groups": {"a": ["b"]}}, "groups.a: is also a service"),
        ({"groups": {"g": ["x"]}}, "groups.g: unknown service x"),
        ({"groups": {"g": []}}, "groups.g: must list services"),
        ({"snapshots": [{"name": "s"}, {"name": "s"}]}, "snapshots.s: stands twice"),
        ({"snapshots": [{"name": "s", "shards": {"x": ["1"]}}]}, "unknown service x"),
        ({"snapshots": [{"name": "s", "shards": {"a": ["1", "1"]}}]}, "must list distinct shards"),
        ({"snapshots": [{}]}, "snapshots: each needs a name"),
    ],
)
def test_problems(change, problem):
    with pytest.raises(catalog.CatalogError) as caught:
        catalog.parse(json.dumps(GOOD | change))
    assert any(problem in each for each in caught.value.problems)


@pytest.mark.parametrize("text", ["", "[]", "{", "3"])
def test_not_a_catalogue(text):
    with pytest.raises(catalog.CatalogError):
        catalog.parse(text)
