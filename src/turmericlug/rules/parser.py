"""Parses rules from the INI text that operators write; gives line and reason of each problem."""

from __future__ import annotations

import configparser
import fnmatch
import re
import typing
from collections import abc

import attrs

from turmericlug.catalog import catalog as catalog_module
from turmericlug.rules import model

_SECTION = "rule "
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}\Z")
_CONDITIONS = ("service", "caller", "data_centre", "priority")


@attrs.frozen
class Problem:
    """One reason why rules are rejected."""

    line: int
    reason: str


class RulesError(Exception):
    """Invalid rules; ``problems`` lists every reason."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__(
            "\n".join(f"line {problem.line}: {problem.reason}" for problem in problems)
        )
        self.problems = problems


def parse(text: str) -> list[model.Rule]:
    """
    Parse rules from INI text: one section ``[rule NAME]`` each, keys ``when_*`` and ``then_*``.

    :raises RulesError: with every problem found
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0", comment_prefixes=("#", ";")
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        line = getattr(error, "lineno", None) or _first_error_line(error)
        raise RulesError([Problem(line, str(error).splitlines()[0])]) from error
    lines = _LineIndex(text)
    problems: list[Problem] = []
    rules = [_parse_rule(parser, name, lines, problems) for name in parser.sections()]
    if not rules:
        problems.append(Problem(1, "no rule found; a rule begins with a line [rule NAME]"))
    if problems:
        raise RulesError(problems)
    return rules


def _first_error_line(error: configparser.Error) -> int:
    errors = getattr(error, "errors", None)
    return errors[0][0] if errors else 1


class _LineIndex:
    """Finds the line of a section or key, which configparser does not record."""

    def __init__(self, text: str) -> None:
        self._sections: dict[str, int] = {}
        self._keys: dict[tuple[str, str], int] = {}
        section = ""
        for number, line in enumerate(text.splitlines(), 1):
            if line.startswith("["):
                section = line.strip()[1:-1]
                self._sections[section] = number
            elif "=" in line:
                self._keys.setdefault((section, line.split("=")[0].strip().lower()), number)

    def line_of(self, section: str, key: str = "") -> int:
        return self._keys.get((section, key)) or self._sections.get(section, 1)


def _parse_rule(
    parser: configparser.ConfigParser, section: str, lines: _LineIndex, problems: list[Problem]
) -> model.Rule:
    name = section.removeprefix(_SECTION).strip()
    if not section.startswith(_SECTION) or not _NAME.match(name):
        reason = (
            f"[{section}]: expected [rule NAME], with a name of lower-case letters, digits and '-'"
        )
        problems.append(Problem(lines.line_of(section), reason))
    when: dict[str, tuple[str, ...]] = {}
    then: dict[str, typing.Any] = {}
    for key, raw in parser[section].items():
        try:
            if key.startswith("when_"):
                when[key.removeprefix("when_")] = _parse_condition(key.removeprefix("when_"), raw)
            elif key.startswith("then_"):
                then[key.removeprefix("then_")] = _parse_action(key.removeprefix("then_"), raw)
            else:
                raise ValueError("unknown key; keys begin with when_ or then_")
        except ValueError as error:
            problems.append(Problem(lines.line_of(section, key), f"{key}: {error}"))
    if not then:
        problems.append(
            Problem(lines.line_of(section), f"{name}: has no then_ key, so it has no effect")
        )
    treatment = model.Treatment(rule=name, **then) if not problems else model.Treatment()
    _check_contradictions(treatment, lines.line_of(section), problems)
    return model.Rule(name, when, treatment)


def _parse_condition(key: str, raw: str) -> tuple[str, ...]:
    if key not in _CONDITIONS and not key.startswith("header_"):
        raise ValueError(f"unknown condition; known: {', '.join(_CONDITIONS)}, header_NAME")
    patterns = tuple(part.strip() for part in raw.split(",") if part.strip())
    if not patterns:
        raise ValueError("must not be empty: an empty condition never matches")
    if key == "priority":
        for pattern in patterns:
            _integer(0, model.MAX_PRIORITY)(pattern)
    return patterns


def _parse_action(key: str, raw: str) -> typing.Any:
    if key not in _ACTIONS:
        raise ValueError(f"unknown action; known: {', '.join(_ACTIONS)}")
    return _ACTIONS[key](raw)


def _integer(low: int, high: int) -> abc.Callable[[str], int]:
    def parse_integer(raw: str) -> int:
        if not raw.isdigit() or not low <= int(raw) <= high:
            raise ValueError(f"{raw!r} is not an integer from {low} to {high}")
        return int(raw)

    return parse_integer


def _number(low: float, high: float) -> abc.Callable[[str], float]:
    def parse_number(raw: str) -> float:
        try:
            value = float(raw)
        except ValueError:
            value = float("nan")
        if not low <= value <= high:
            raise ValueError(f"{raw!r} is not a number from {low} to {high}")
        return value

    return parse_number


def _one_of(*choices: str) -> abc.Callable[[str], str]:
    def parse_choice(raw: str) -> str:
        if raw not in choices:
            raise ValueError(f"{raw!r} is not one of {', '.join(choices)}")
        return raw

    return parse_choice


def _parse_yes_no(raw: str) -> bool:
    return _one_of("yes", "no")(raw) == "yes"


def _parse_reason(raw: str) -> str:
    if not _NAME.match(raw):
        raise ValueError(
            f"{raw!r} is not a reason: expected up to 64 lower-case letters, digits and '-'"
        )
    return raw


_ACTIONS: dict[str, abc.Callable[[str], typing.Any]] = {
    "deadline_ms": _integer(*model.DEADLINE_MS),
    "answer_by_ms": _integer(*model.DEADLINE_MS),
    "min_coverage": _number(*model.COVERAGE),
    "prefer": _one_of(model.PREFER_LATENCY, model.PREFER_COVERAGE),
    "priority": _integer(0, model.MAX_PRIORITY),
    "hedge": _parse_yes_no,
    "retries": _integer(*model.RETRIES),
    "rate_per_s": _number(*model.RATE_PER_S),
    "refuse": _parse_reason,
    "come_back_ms": _integer(*model.COME_BACK_MS),
}


def _check_contradictions(treatment: model.Treatment, line: int, problems: list[Problem]) -> None:
    answer_by_ms, deadline_ms = treatment.answer_by_ms, treatment.deadline_ms
    if answer_by_ms and deadline_ms and answer_by_ms > deadline_ms:
        problems.append(Problem(line, f"{treatment.rule}: answer_by_ms is above deadline_ms"))
    if treatment.prefer == model.PREFER_LATENCY and not answer_by_ms:
        problems.append(Problem(line, f"{treatment.rule}: prefer = latency requires answer_by_ms"))
    if treatment.refuse and (answer_by_ms or deadline_ms or treatment.rate_per_s):
        reason = f"{treatment.rule}: has refuse, so its other actions never apply"
        problems.append(Problem(line, reason))


def check_reachability(
    rules: abc.Sequence[model.Rule],
    catalog: catalog_module.Catalog,
    lines_by_rule: abc.Mapping[str, int] | None = None,
) -> None:
    """
    Reject rules that can never match at their position.

    :param rules: in order
    :param catalog: the services and groups that rules may name
    :param lines_by_rule: line of each rule by its name, for the problems reported
    :raises RulesError: a rule is shadowed by an earlier one, has the name of an earlier one, or
        names an unknown service
    """
    problems = []
    for index, rule in enumerate(rules):
        line = (lines_by_rule or {}).get(rule.name, 1)
        for earlier in rules[:index]:
            if earlier.name == rule.name:
                problems.append(Problem(line, f"{rule.name}: the name is used twice"))
            elif model.shadows(earlier, rule):
                reason = f"{rule.name}: can never match, {earlier.name} before it takes all of it"
                problems.append(Problem(line, reason))
        names = list(catalog.services) + list(catalog.groups)
        for pattern in rule.when.get("service", ()):
            if not any(fnmatch.fnmatchcase(name, pattern) for name in names):
                reason = f"{rule.name}: can never match, no service or group is called {pattern}"
                problems.append(Problem(line, reason))
    if problems:
        raise RulesError(problems)


def line_numbers(text: str) -> dict[str, int]:
    """Return the line of each rule by its name."""
    numbers = {}
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("[rule ") and line.rstrip().endswith("]"):
            numbers[line.strip()[len("[rule ") : -1].strip()] = number
    return numbers
