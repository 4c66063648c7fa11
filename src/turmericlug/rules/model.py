"""Rules: conditions on a request, the treatment applied, and the document that orders them."""

from __future__ import annotations

import fnmatch
import json
import typing

import attrs

PREFER_LATENCY, PREFER_COVERAGE = "latency", "coverage"
MAX_PRIORITY = 9
DEFAULT_PRIORITY = 5
DEADLINE_MS = (1, 600_000)
COVERAGE = (0.0, 1.0)
RETRIES = (0, 3)
RATE_PER_S = (0.001, 1e6)
COME_BACK_MS = (1, 3_600_000)
"""Bounds of the actions, both included."""
EDIT_HISTORY_LENGTH = 64
"""Edits kept in the document, to detect conflicts and repeated edits."""


@attrs.frozen
class Request:
    """The properties of a request that rules can match."""

    service: str
    caller: str
    data_centre: str
    priority: int
    headers: dict[str, str]


@attrs.frozen
class Treatment:
    """How a request is served; ``rule`` is empty if no rule matched."""

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
    """A treatment, applied to requests that meet every condition."""

    name: str
    when: dict[str, tuple[str, ...]]
    then: Treatment

    def mismatch(self, request: Request) -> str:
        """Return the first condition that the request fails; empty if it meets all."""
        for key, patterns in self.when.items():
            value = _request_value(request, key)
            if value is None or not any(
                fnmatch.fnmatchcase(value, pattern) for pattern in patterns
            ):
                return f"{key} is {value!r}, not {', '.join(patterns)}"
        return ""


def _request_value(request: Request, key: str) -> str | None:
    if key.startswith("header_"):
        return request.headers.get(key[len("header_") :].replace("_", "-"))
    return str(getattr(request, key))


@attrs.frozen
class Edit:
    """One stored edit, kept to detect conflicts and repeated edits, and for the history."""

    edit: str
    """Identifier chosen by the client."""
    revision: int
    operator: str
    operation: str
    rule: str
    at_s: int


@attrs.frozen
class Document:
    """All rules in order, at one revision, with the most recent edits."""

    revision: int
    rules: tuple[Rule, ...]
    edits: tuple[Edit, ...]

    def match(self, request: Request) -> Treatment:
        """Return the treatment of the first matching rule, or the default one."""
        for rule in self.rules:
            if not rule.mismatch(request):
                return rule.then
        return Treatment()

    def explain(self, request: Request) -> list[tuple[str, str]]:
        """Return each rule up to the first match with its failed condition, empty for the match."""
        steps = []
        for rule in self.rules:
            steps.append((rule.name, rule.mismatch(request)))
            if not steps[-1][1]:
                break
        return steps


EMPTY = Document(0, (), ())


def shadows(earlier: Rule, later: Rule) -> bool:
    """Whether ``earlier`` matches every request that ``later`` matches."""
    for key, patterns in earlier.when.items():
        later_patterns = later.when.get(key)
        if later_patterns is None:
            if "*" in patterns and not key.startswith("header_"):
                continue
            return False
        if not all(
            any(_pattern_includes(pattern, later_pattern) for pattern in patterns)
            for later_pattern in later_patterns
        ):
            return False
    return True


def _pattern_includes(broad: str, narrow: str) -> bool:
    if broad in ("*", narrow):
        return True
    # Two different wildcard patterns are not compared; neither is taken to include the other.
    return not _is_pattern(narrow) and fnmatch.fnmatchcase(narrow, broad)


def _is_pattern(text: str) -> bool:
    return any(char in text for char in "*?[")


def to_json(document: Document) -> str:
    """Serialize a document for the store."""
    return json.dumps(
        {
            "revision": document.revision,
            "rules": [rule_to_dict(rule) for rule in document.rules],
            "edits": [attrs.asdict(edit) for edit in document.edits],
        }
    )


def rule_to_dict(rule: Rule) -> dict[str, typing.Any]:
    """Convert a rule to JSON types, without default values."""
    default = Treatment()
    then = {
        field.name: getattr(rule.then, field.name)
        for field in attrs.fields(Treatment)
        if field.name != "rule" and getattr(rule.then, field.name) != getattr(default, field.name)
    }
    when = {key: list(patterns) for key, patterns in rule.when.items()}
    return {"name": rule.name, "when": when, "then": then}
