from __future__ import annotations

import itertools

import pytest

from turmericlug.rules import edits
from turmericlug.rules import model

EDIT_NUMBERS = itertools.count()


def rule(name, refuse=""):
    return model.Rule(name, {"caller": (name,)}, model.Treatment(rule=name, refuse=refuse))


def document(*names):
    result = model.Document(0, (), ())
    for name in names:
        result = applied(result, "add", name)
    return result


def change(operation, name, **fields):
    fields = {
        "edit": f"{operation}-{name}-{next(EDIT_NUMBERS)}",
        "operator": "ann",
        "base": 0,
    } | fields
    if operation in ("add", "replace"):
        fields.setdefault("rule", rule(name))
    return edits.Change(operation=operation, name=name, **fields)


def applied(start, operation, name, **fields):
    outcome = edits.apply(start, change(operation, name, **fields), 1)
    assert isinstance(outcome, edits.Applied), outcome
    return outcome.document


@pytest.mark.parametrize(
    ("operation", "name", "fields", "names"),
    [
        ("add", "d", {}, "abcd"),
        ("add", "d", {"before": "a"}, "dabc"),
        ("add", "d", {"after": "a"}, "adbc"),
        ("move", "c", {"before": "a"}, "cab"),
        ("move", "a", {"after": "c"}, "bca"),
        ("retire", "b", {}, "ac"),
        ("replace", "b", {}, "abc"),
    ],
)
def test_edit_gives_expected_order(operation, name, fields, names):
    before = document("a", "b", "c")
    after = applied(before, operation, name, **fields)
    assert "".join(ordered.name for ordered in after.rules) == names
    assert after.revision == before.revision + 1


@pytest.mark.parametrize(
    ("operation", "name", "fields"),
    [
        ("add", "a", {}),
        ("add", "d", {"before": "x"}),
        ("add", "d", {"before": "a", "after": "b"}),
        ("move", "x", {"before": "a"}),
        ("move", "a", {}),
        ("move", "a", {"before": "a"}),
        ("retire", "x", {}),
        ("replace", "x", {}),
        ("paint", "a", {}),
    ],
)
def test_inapplicable_edit_is_rejected(operation, name, fields):
    outcome = edits.apply(document("a", "b", "c"), change(operation, name, **fields), 1)
    assert isinstance(outcome, edits.Inapplicable)


def test_repeated_edit_takes_effect_once():
    addition = change("add", "d", edit="e1")
    first = edits.apply(document("a"), addition, 1).document
    assert edits.apply(first, addition, 2) == edits.AlreadyStored(first.revision)


def test_edit_of_other_rule_rebases_and_of_same_rule_conflicts():
    base = document("a", "b")
    newer = applied(base, "replace", "a", rule=rule("a", "x"), operator="bob")
    other = edits.apply(newer, change("retire", "b", base=base.revision), 1)
    assert isinstance(other, edits.Applied)
    same = edits.apply(newer, change("retire", "a", base=base.revision), 1)
    assert same == edits.Conflict("bob", "replace", "a", newer.revision)
    anchor = edits.apply(newer, change("add", "c", base=base.revision, after="a"), 1)
    assert isinstance(anchor, edits.Conflict)


def test_too_old_base_revision_is_rejected():
    result = document("a")
    for number in range(model.EDIT_HISTORY_LENGTH + 2):
        result = applied(result, "replace", "a", edit=f"e{number}")
    outcome = edits.apply(result, change("retire", "a", base=1), 1)
    assert isinstance(outcome, edits.Inapplicable) and "too old" in outcome.reason
