from __future__ import annotations

import pytest

from turmericlug.rules import model
from turmericlug.rules import parser

RULES = """
[rule nurses]
when_service = nurse-portal
when_caller = nurse-*, school-*
when_header_x_ward = a?
then_priority = 7

[rule night]
when_data_centre = brest
when_priority = 0, 1
then_refuse = closed

[rule rest]
then_retries = 0
"""


def request(**changes):
    fields = {
        "service": "nurse-portal",
        "caller": "nurse-4",
        "data_centre": "brest",
        "priority": 5,
        "headers": {"x-ward": "a1"},
    } | changes
    return model.Request(**fields)


@pytest.mark.parametrize(
    ("changes", "rule"),
    [
        ({}, "nurses"),
        ({"caller": "school-1"}, "nurses"),
        ({"caller": "clerk"}, "rest"),
        ({"headers": {}}, "rest"),
        ({"headers": {"x-ward": "b1"}}, "rest"),
        ({"service": "workshop", "priority": 1}, "night"),
        ({"service": "workshop", "priority": 1, "data_centre": "lorient"}, "rest"),
    ],
)
def test_first_matching_rule_applies(changes, rule):
    document = model.Document(1, tuple(parser.parse(RULES)), ())
    assert document.match(request(**changes)).rule == rule
    steps = document.explain(request(**changes))
    assert steps[-1] == (rule, "")
    assert all(reason for _, reason in steps[:-1])


def test_no_matching_rule_gives_default_treatment():
    assert model.EMPTY.match(request()) == model.Treatment()
