"""Rules: conditions on a request, the treatment they give, and the document that orders them."""

from __future__ import annotations

import fnmatch
import json
import typing
from collections import abc

import attrs

PREFER_LATENCY, PREFER_COVERAGE = "latency", "coverage"
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
RECENT_EDITS = 64


@attrs.frozen
class Request:
    """What rules may look at."""

    service: str
    caller: str
    data_centre: str
    priority: int
    headers: dict[str, str]


@attrs.frozen
class Treatment:
    """How a request is served; ``rule`` is empty when no rule matched."""

    rule: str = ""
    deadline_ms: int | None = None
    answer_by_ms: int | None = None
    min_coverage: float = 0.0
    prefer: str = PREFER_COVERAGE
    priority: int | None = None
    hedge: bool = True
    retries: int = 1
    rate_per_s: float | None = None
    refuse: str = ""
    come_back_ms: int = 1000


@attrs.frozen
class Rule:
    """When every condition holds, then the treatment applies."""

    name: str
    when: dict[str, tuple[str, ...]]
    then: Treatment

    def mismatch(self, request: Request) -> str:
        """Return the first condition that does not hold, or an empty text when all hold."""
        for key, patterns in self.when.items():
            value = _value(request, key)
            if value is None or not any(fnmatch.fnmatchcase(value, each) for each in patterns):
                return f"{key} is {value!r}, not {', '.join(patterns)}"
        return ""


def _value(request: Request, key: str) -> str | None:
    if key.startswith("header_"):
        return request.headers.get(key[len("header_") :].replace("_", "-"))
    return str(getattr(request, key))


@attrs.frozen
class Edit:
    """One accepted change, kept for conflicts, lost answers and the history."""

    edit: str
    revision: int
    operator: str
    operation: str
    rule: str
    at_s: int


@attrs.frozen
class Document:
    """All rules in order, at one revision."""

    revision: int
    rules: tuple[Rule, ...]
    edits: tuple[Edit, ...]

    def match(self, request: Request) -> Treatment:
        """Return the treatment of the first rule that matches."""
        for rule in self.rules:
            if not rule.mismatch(request):
                return rule.then
        return Treatment()

    def explain(self, request: Request) -> list[tuple[str, str]]:
        """Return each rule up to the one that matches, with why it does not; empty: it does."""
        found = []
        for rule in self.rules:
            found.append((rule.name, rule.mismatch(request)))
            if not found[-1][1]:
                break
        return found


EMPTY = Document(0, (), ())


def covers(earlier: Rule, later: Rule) -> bool:
    """Whether every request that ``later`` matches is matched by ``earlier`` as well."""
    for key, patterns in earlier.when.items():
        narrower = later.when.get(key)
        if narrower is None:
            if "*" in patterns and not key.startswith("header_"):
                continue
            return False
        if not all(any(_includes(wide, one) for wide in patterns) for one in narrower):
            return False
    return True


def _includes(wide: str, narrow: str) -> bool:
    if wide in ("*", narrow):
        return True
    # A pattern as the narrow side would need language inclusion; equality is enough for it.
    return not _is_pattern(narrow) and fnmatch.fnmatchcase(narrow, wide)


def _is_pattern(text: str) -> bool:
    return any(mark in text for mark in "*?[")


def to_json(document: Document) -> str:
    """Turn a document into the text kept in the store."""
    return json.dumps(
        {
            "revision": document.revision,
            "rules": [rule_to_dict(rule) for rule in document.rules],
            "edits": [attrs.asdict(edit) for edit in document.edits],
        }
    )


def rule_to_dict(rule: Rule) -> dict[str, typing.Any]:
    """Turn a rule into plain values, leaving out what is as by default."""
    default = Treatment()
    then = {
        field.name: getattr(rule.then, field.name)
        for field in attrs.fields(Treatment)
        if field.name != "rule" and getattr(rule.then, field.name) != getattr(default, field.name)
    }
    when = {key: list(patterns) for key, patterns in rule.when.items()}
    return {"name": rule.name, "when": when, "then": then}


def from_json(text: str) -> Document:
    """Read a document as the store holds it."""
    plain = json.loads(text)
    rules = tuple(rule_from_dict(item) for item in plain["rules"])
    return Document(plain["revision"], rules, tuple(Edit(**item) for item in plain["edits"]))


def rule_from_dict(item: abc.Mapping[str, typing.Any]) -> Rule:
    """Read a rule from plain values that were checked before."""
    when = {key: tuple(patterns) for key, patterns in item["when"].items()}
    return Rule(item["name"], when, Treatment(rule=item["name"], **item["then"]))
