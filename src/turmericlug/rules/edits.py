"""Operators' edits: each rebased on the newest document, or in conflict with a named other."""

from __future__ import annotations

import dataclasses

import attrs

from turmericlug.rules import model

ADD, MOVE, REPLACE, RETIRE = "add", "move", "replace", "retire"


@attrs.frozen
class Change:
    """One edit as asked for."""

    edit: str
    """Identifier chosen by the asker; the same one asked twice takes effect once."""
    operator: str
    operation: str
    name: str
    base: int
    """Revision that the operator looked at; 0: the newest."""
    rule: model.Rule | None = None
    before: str = ""
    after: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The edit fits: the document that holds it."""

    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyStored:
    """The edit is in the document: an earlier try took effect though its answer was lost."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another operator touched the same rule since the base."""

    operator: str
    operation: str
    rule: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Impossible:
    """The edit makes no sense in this document."""

    reason: str


Outcome = Applied | AlreadyStored | Conflict | Impossible


def apply(document: model.Document, change: Change, at_s: int) -> Outcome:
    """
    Put one edit on top of a document.

    :param document: the newest one
    :param change: the edit
    :param at_s: wall-clock time, for the history
    """
    for edit in document.edits:
        if edit.edit == change.edit:
            return AlreadyStored(edit.revision)
    conflict = _conflict(document, change)
    if conflict is not None:
        return conflict
    rules = _edited(list(document.rules), change)
    if isinstance(rules, Impossible):
        return rules
    revision = document.revision + 1
    entry = model.Edit(change.edit, revision, change.operator, change.operation, change.name, at_s)
    edits = (*document.edits, entry)[-model.RECENT_EDITS :]
    return Applied(model.Document(revision, tuple(rules), edits))


def _conflict(document: model.Document, change: Change) -> Conflict | Impossible | None:
    if not change.base or change.base >= document.revision:
        return None
    oldest = document.edits[0].revision if document.edits else document.revision
    if change.base < oldest - 1:
        return Impossible(f"revision {change.base} is too old to edit from; list the rules again")
    touched = {change.name, change.before, change.after} - {""}
    for edit in document.edits:
        if edit.revision > change.base and edit.rule in touched:
            return Conflict(edit.operator, edit.operation, edit.rule, edit.revision)
    return None


def _edited(rules: list[model.Rule], change: Change) -> list[model.Rule] | Impossible:
    names = [rule.name for rule in rules]
    if change.operation == ADD:
        if change.name in names:
            return Impossible(f"{change.name} exists; replace it instead")
        if change.rule is None:
            return Impossible("add needs a rule")
        return _inserted(rules, change.rule, change)
    if change.name not in names:
        return Impossible(f"there is no rule {change.name}")
    index = names.index(change.name)
    if change.operation == REPLACE:
        if change.rule is None:
            return Impossible("replace needs a rule")
        return [*rules[:index], change.rule, *rules[index + 1 :]]
    rule = rules.pop(index)
    if change.operation == RETIRE:
        return rules
    if change.operation == MOVE:
        if not change.before and not change.after:
            return Impossible("move needs before or after")
        return _inserted(rules, rule, change)
    return Impossible(f"unknown operation {change.operation}")


def _inserted(
    rules: list[model.Rule], rule: model.Rule, change: Change
) -> list[model.Rule] | Impossible:
    if change.before and change.after:
        return Impossible("name either before or after, not both")
    names = [each.name for each in rules]
    anchor = change.before or change.after
    if anchor and anchor not in names:
        return Impossible(f"there is no rule {anchor}")
    index = len(rules)
    if anchor:
        index = names.index(anchor) + (1 if change.after else 0)
    return [*rules[:index], rule, *rules[index:]]
