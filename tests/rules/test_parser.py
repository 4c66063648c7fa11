from __future__ import annotations

import pytest

from turmericlug.catalog import catalog
from turmericlug.rules import documents
from turmericlug.rules import model
from turmericlug.rules import parser

CATALOG = catalog.Catalog({"permis": catalog.Service("permis", 1, 2)}, {}, ())


@pytest.mark.parametrize(
    ("given", "problem"),
    [
        ("", "line 1: no rule found"),
        ("[rule A]\nthen_hedge = no", "line 1: [rule A]"),
        ("[regel a]\nthen_hedge = no", "line 1: [regel a]"),
        ("[rule a]\n", "line 1: a: has no then_ key"),
        ("[rule a]\nhedge = no", "line 2: hedge: unknown key"),
        ("[rule a]\nthen_hedge = maybe", "line 2: then_hedge: 'maybe'"),
        ("[rule a]\nthen_retries = 4", "line 2: then_retries"),
        ("[rule a]\nthen_min_coverage = 1.5", "line 2: then_min_coverage"),
        ("[rule a]\n\nwhen_priority = 12\nthen_hedge = no", "line 3: when_priority"),
        ("[rule a]\nwhen_caller =\nthen_hedge = no", "line 2: when_caller: must not be empty"),
        ("[rule a]\nthen_prefer = latency", "line 1: a: prefer = latency requires answer_by_ms"),
        (
            "[rule a]\nthen_answer_by_ms = 9\nthen_deadline_ms = 8\n",
            "line 1: a: answer_by_ms is above deadline_ms",
        ),
        ("[rule a]\nthen_refuse = x\nthen_deadline_ms = 8\n", "line 1: a: has refuse"),
        ("[rule a]\nthen_hedge = no\n[rule a]\nthen_hedge = no\n", "line 3"),
        ("[rule a]\nthen_hedge = no\nthen_hedge = yes\n", "line 3"),
    ],
)
def test_problem_gives_line_and_reason(given, problem):
    with pytest.raises(parser.RulesError) as caught:
        parser.parse(given)
    assert str(caught.value).startswith(problem)


def test_every_problem_is_reported():
    with pytest.raises(parser.RulesError) as caught:
        parser.parse("[rule a]\nthen_x = 1\nwhen_y = 2\n[rule b]\nthen_retries = 9\n")
    assert [problem.line for problem in caught.value.problems[:2]] == [2, 3]
    assert any(problem.line == 5 for problem in caught.value.problems)


@pytest.mark.parametrize(
    ("earlier", "later", "shadowed"),
    [
        ("", "when_caller = a", True),
        ("when_caller = *", "when_caller = a", True),
        ("when_caller = *", "", True),
        ("when_caller = a*", "when_caller = ab, ac", True),
        ("when_caller = a*", "when_caller = ab, b", False),
        ("when_caller = a", "", False),
        ("when_caller = a", "when_caller = a\nwhen_priority = 3", True),
        ("when_caller = a\nwhen_priority = 3", "when_caller = a", False),
        ("when_header_x = *", "", False),
    ],
)
def test_shadowed_rule_is_rejected(earlier, later, shadowed):
    rules = parser.parse(
        f"[rule first]\n{earlier}\nthen_hedge = no\n[rule second]\n{later}\nthen_hedge = no\n"
    )
    if shadowed:
        with pytest.raises(parser.RulesError, match="second: can never match, first before"):
            parser.check_reachability(rules, CATALOG)
    else:
        parser.check_reachability(rules, CATALOG)


@pytest.mark.parametrize(("name", "known"), [("permis", True), ("per*", True), ("devis", False)])
def test_rule_for_unknown_service_is_rejected(name, known):
    rules = parser.parse(f"[rule a]\nwhen_service = {name}\nthen_hedge = no\n")
    if known:
        parser.check_reachability(rules, CATALOG)
    else:
        with pytest.raises(parser.RulesError, match="no service or group"):
            parser.check_reachability(rules, CATALOG)


def test_rule_round_trips_through_json():
    given = (
        "[rule a]\nwhen_service = devis, permis\nwhen_header_x_kind = q*\n"
        "then_answer_by_ms = 80\nthen_min_coverage = 0.9\nthen_prefer = latency\n"
        "then_rate_per_s = 2.5\nthen_retries = 0\nthen_hedge = no\nthen_priority = 9\n"
    )
    document = model.Document(
        3, tuple(parser.parse(given)), (model.Edit("e", 3, "o", "add", "a", 1),)
    )
    assert documents.parse_rules(model.to_json(document)) == document
