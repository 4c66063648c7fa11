"""Decode the configuration documents; any field may have been written by other programs."""

from __future__ import annotations

import typing
from collections import abc

from turmericlug.decoding import fields
from turmericlug.decoding import json_values
from turmericlug.rules import model

MAX_REVISION = (1 << 63) - 1
"""Instances send revisions to each other as 64-bit numbers."""
_CONDITIONS = ("service", "caller", "data_centre", "priority")
_HEADER_CONDITION = "header_"

Object = dict[str, typing.Any]


def parse_object(text: str) -> Object:
    """
    Parse a JSON object.

    :raises FieldError: not JSON, too large or deep, or not an object
    """
    return _read_object(json_values.parse(text.encode()))


def read_revision(item: Object, name: str) -> int:
    """
    Read the revision of a document.

    :raises FieldError: absent, not an integer, or out of bounds
    """
    return fields.read_integer_field(item, name, 0, MAX_REVISION)


def parse_rules(text: str) -> model.Document:
    """
    Parse a document of rules.

    A malformed rule refuses the document as a whole: without it, requests would get the treatment
    of a later rule, which nobody has written for them.

    :raises FieldError: a field is malformed or unknown
    """
    item = parse_object(text)
    return model.Document(
        read_revision(item, "revision"),
        _read_each(item, "rules", _read_rule),
        _read_each(item, "edits", _read_edit),
    )


def _read_object(value: typing.Any) -> Object:
    if not isinstance(value, dict):
        raise fields.FieldError("not an object")
    return value


def _read_each(
    item: Object, name: str, read: abc.Callable[[Object], fields.T]
) -> tuple[fields.T, ...]:
    """Read each object of a list; an error names the index."""
    values = fields.read_field(item, name, fields.read_list)
    decoded: list[fields.T] = []
    try:
        for value in values:
            decoded.append(read(_read_object(value)))
    except fields.FieldError as error:
        raise error.within(f"{name}[{len(decoded)}]") from None
    return tuple(decoded)


def _read_rule(item: Object) -> model.Rule:
    name = fields.read_name_field(item, "name")
    when = fields.read_field(item, "when", _read_conditions)
    return model.Rule(
        name, when, fields.read_field(item, "then", lambda then: _read_treatment(name, then))
    )


def _read_conditions(value: typing.Any) -> dict[str, tuple[str, ...]]:
    for key in _read_object(value):
        if key not in _CONDITIONS and not key.startswith(_HEADER_CONDITION):
            raise fields.FieldError("unknown condition", "unknown", key)
        fields.read_any_text(key)
    return {key: fields.read_field(value, key, _read_patterns) for key in value}


def _read_patterns(value: typing.Any) -> tuple[str, ...]:
    patterns = fields.read_list(value)
    fields.check_texts(patterns)
    return tuple(patterns)


def _read_treatment(rule: str, value: typing.Any) -> model.Treatment:
    values = {}
    for key in _read_object(value):
        if key not in _TREATMENT:
            raise fields.FieldError("unknown action", "unknown", key)
        values[key] = fields.read_field(value, key, _TREATMENT[key])
    return model.Treatment(rule=rule, **values)


def _integer(minimum: int, maximum: int) -> abc.Callable[[typing.Any], int]:
    return lambda value: fields.read_integer(value, minimum, maximum)


def _number(minimum: float, maximum: float) -> abc.Callable[[typing.Any], float]:
    return lambda value: fields.read_number(value, minimum, maximum)


def _or_none(
    read: abc.Callable[[typing.Any], fields.T],
) -> abc.Callable[[typing.Any], fields.T | None]:
    return lambda value: None if value is None else read(value)


def _read_preference(value: typing.Any) -> str:
    if fields.read_string(value) not in (model.PREFER_LATENCY, model.PREFER_COVERAGE):
        raise fields.FieldError("neither latency nor coverage", "range")
    return value


def _read_yes_no(value: typing.Any) -> bool:
    if not isinstance(value, bool):
        raise fields.FieldError("neither true nor false")
    return value


_TREATMENT: dict[str, abc.Callable[[typing.Any], typing.Any]] = {
    "deadline_ms": _or_none(_integer(*model.DEADLINE_MS)),
    "answer_by_ms": _or_none(_integer(*model.DEADLINE_MS)),
    "min_coverage": _number(*model.COVERAGE),
    "prefer": _read_preference,
    "priority": _or_none(_integer(0, model.MAX_PRIORITY)),
    "hedge": _read_yes_no,
    "retries": _integer(*model.RETRIES),
    "rate_per_s": _or_none(_number(*model.RATE_PER_S)),
    "refuse": fields.read_any_text,
    "come_back_ms": _integer(*model.COME_BACK_MS),
}


def _read_edit(item: Object) -> model.Edit:
    return model.Edit(
        edit=fields.read_text_field(item, "edit"),
        revision=read_revision(item, "revision"),
        operator=fields.read_text_field(item, "operator"),
        operation=fields.read_text_field(item, "operation"),
        rule=fields.read_text_field(item, "rule"),
        at_s=fields.read_integer_field(item, "at_s", 0, MAX_REVISION),
    )
