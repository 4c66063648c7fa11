from __future__ import annotations

import json

import pytest

from turmericlug.query import outcome

COMPLETE = outcome.Coverage(1, 1, ())
PARTIAL = outcome.Coverage(1, 2, (outcome.Missing("b", "late"),))
RESULTS = [("a", b'{"size": 27}')]


@pytest.mark.parametrize(
    ("result", "name", "fields"),
    [
        (
            outcome.Answer("s", COMPLETE, RESULTS, 3, "r"),
            "complete",
            {"snapshot": "s", "rule": "r"},
        ),
        (outcome.Answer("s", PARTIAL, RESULTS, 3, "r"), "partial", {"rules_revision": 3}),
        (outcome.Refused("busy", 50), "refused", {"ran": "no", "come_back_ms": 50}),
        (outcome.Failed("late"), "failed", {"ran": "maybe", "reason": "late"}),
    ],
)
def test_json_form_of_each_outcome(result, name, fields):
    payload = json.loads(outcome.to_json(result, "e1", "q1"))
    assert payload["outcome"] == outcome.name_of(result) == name
    assert payload | fields == payload
    if name == "partial":
        assert payload["coverage"]["missing"] == [{"shard": "b", "reason": "late"}]
    if "results" in payload:
        assert payload["results"] == [{"shard": "a", "result": {"size": 27}}]
