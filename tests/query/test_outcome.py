from __future__ import annotations

import json

import pytest

from turmericlug.query import outcome

WHOLE = outcome.Coverage(1, 1, ())
PART = outcome.Coverage(1, 2, (outcome.Missing("b", "late"),))
ROWS = [("a", b'{"size": 27}')]


@pytest.mark.parametrize(
    ("found", "name", "fields"),
    [
        (outcome.Answer("s", WHOLE, ROWS, 3, "r"), "complete", {"snapshot": "s", "rule": "r"}),
        (outcome.Answer("s", PART, ROWS, 3, "r"), "partial", {"rules_revision": 3}),
        (outcome.Refused("busy", 50), "refused", {"ran": "no", "come_back_ms": 50}),
        (outcome.Failed("late"), "failed", {"ran": "maybe", "reason": "late"}),
    ],
)
def test_json(found, name, fields):
    plain = json.loads(outcome.to_json(found, "e1", "q1"))
    assert plain["outcome"] == outcome.name_of(found) == name
    assert plain | fields == plain
    if name == "partial":
        assert plain["coverage"]["missing"] == [{"shard": "b", "reason": "late"}]
    if "results" in plain:
        assert plain["results"] == [{"shard": "a", "result": {"size": 27}}]
