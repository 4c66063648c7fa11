"""Operators' edits: each is applied to the newest document, or reported as a conflict."""

from __future__ import annotations

import dataclasses

import attrs

from turmericlug.rules import model

ADD, MOVE, REPLACE, RETIRE = "add", "move", "replace", "retire"


@attrs.frozen
class Change:
    """One edit as requested by an operator."""

    edit: str
    """Identifier chosen by the client; an edit sent twice takes effect once."""
    operator: str
    operation: str
    name: str
    base: int
    """Revision that the operator based the edit on; 0: the newest."""
    rule: model.Rule | None = None
    before: str = ""
    after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The edit applies; ``document`` contains it."""

    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyStored:
    """The document contains the edit: an earlier attempt took effect but its reply was lost."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """An edit stored after the base revision changed the same rule, or the anchor rule."""

    operator: str
    operation: str
    rule: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Inapplicable:
    """The edit cannot be applied to this document."""

    reason: str


Outcome = Applied | AlreadyStored | Conflict | Inapplicable


def apply(document: model.Document, change: Change, at_s: int) -> Outcome:
    """
    Apply one edit to a document.

    :param document: the newest document
    :param change: the edit
    :param at_s: wall-clock time recorded in the history
    """
    for edit in document.edits:
        if edit.edit == change.edit:
            return AlreadyStored(edit.revision)
    conflict = _find_conflict(document, change)
    if conflict is not None:
        return conflict
    rules = _edit_rules(list(document.rules), change)
    if isinstance(rules, Inapplicable):
        return rules
    revision = document.revision + 1
    stored = model.Edit(change.edit, revision, change.operator, change.operation, change.name, at_s)
    edits = (*document.edits, stored)[-model.EDIT_HISTORY_LENGTH :]
    return Applied(model.Document(revision, tuple(rules), edits))


def _find_conflict(document: model.Document, change: Change) -> Conflict | Inapplicable | None:
    if not change.base or change.base >= document.revision:
        return None
    oldest_revision = document.edits[0].revision if document.edits else document.revision
    if change.base < oldest_revision - 1:
        return Inapplicable(
            f"base revision {change.base} is too old to edit from; list the rules again"
        )
    affected_rules = {change.name, change.before, change.after} - {""}
    for edit in document.edits:
        if edit.revision > change.base and edit.rule in affected_rules:
            return Conflict(edit.operator, edit.operation, edit.rule, edit.revision)
    return None


def _edit_rules(rules: list[model.Rule], change: Change) -> list[model.Rule] | Inapplicable:
    names = [rule.name for rule in rules]
    if change.operation == ADD:
        if change.name in names:
            return Inapplicable(f"{change.name} already exists; use replace")
        if change.rule is None:
            return Inapplicable("add needs a rule")
        return _insert(rules, change.rule, change)
    if change.name not in names:
        return Inapplicable(f"there is no rule {change.name}")
    index = names.index(change.name)
    if change.operation == REPLACE:
        if change.rule is None:
            return Inapplicable("replace needs a rule")
        return [*rules[:index], change.rule, *rules[index + 1 :]]
    rule = rules.pop(index)
    if change.operation == RETIRE:
        return rules
    if change.operation == MOVE:
        if not change.before and not change.after:
            return Inapplicable("move needs either before or after")
        return _insert(rules, rule, change)
    return Inapplicable(f"unknown operation {change.operation}")


def _insert(
    rules: list[model.Rule], rule: model.Rule, change: Change
) -> list[model.Rule] | Inapplicable:
    if change.before and change.after:
        return Inapplicable("before and after exclude each other; give one")
    names = [existing.name for existing in rules]
    anchor = change.before or change.after
    if anchor and anchor not in names:
        return Inapplicable(f"there is no rule {anchor}")
    index = len(rules)
    if anchor:
        index = names.index(anchor) + (1 if change.after else 0)
    return [*rules[:index], rule, *rules[index:]]
