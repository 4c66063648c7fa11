"""Read the requests of operators and the status reports of peers, field by field."""

from __future__ import annotations

import re
import secrets
import typing

from aiohttp import web

from turmericlug.decoding import fields
from turmericlug.decoding import json_values
from turmericlug.rules import edits
from turmericlug.rules import model
from turmericlug.rules import parser as parser_module

MAX_BODY_BYTES = 1 << 20
_MAX_LIMIT_DIGITS = 4
_EDIT_ID = re.compile(r"[A-Za-z0-9._-]{1,64}\Z")


class BadRequestError(Exception):
    """A request that is refused with these problems."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


async def read_json_object(request: web.Request) -> dict[str, typing.Any]:
    """
    Read the body of a request.

    :raises BadRequestError: not a JSON object, or beyond its limits
    """
    try:
        body = json_values.parse(await request.read(), MAX_BODY_BYTES)
    except fields.FieldError as error:
        raise BadRequestError([f"the body is not valid JSON: {error}"]) from error
    if not isinstance(body, dict):
        raise BadRequestError(["the body must be a JSON object"])
    return body


def read_string(body: dict[str, typing.Any], key: str, default: str = "") -> str:
    """
    Read a text of a request.

    :raises BadRequestError: not a string
    """
    value = body.get(key, default)
    if not isinstance(value, str):
        raise BadRequestError([f"{key} must be a string"])
    return value


def _read_priority(value: typing.Any) -> int:
    return fields.read_integer(value, 0, model.MAX_PRIORITY)


def _read_headers(value: typing.Any) -> dict[str, str]:
    if not isinstance(value, dict):
        raise fields.FieldError("not an object")
    return {name.lower(): fields.read_text_field(value, name) for name in value}


def read_limit(text: str) -> int:
    """
    Read the largest number of edits to return.

    :raises BadRequestError: not a number, or too long
    """
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_LIMIT_DIGITS):
        raise BadRequestError([f"limit must be a number of up to {_MAX_LIMIT_DIGITS} digits"])
    return int(text)


def read_status(text: str) -> dict[str, typing.Any]:
    """
    Read the status that a peer has sent.

    :raises ValueError: not an object with the peer's name
    """
    status = json_values.parse(text.encode())
    if not isinstance(status, dict):
        raise fields.FieldError("not an object")
    fields.read_name_field(status, "instance")
    return status


def parse_rules(text: str) -> list[model.Rule]:
    """
    Parse rules from the text that an operator has written.

    :raises BadRequestError: with every problem found
    """
    try:
        return parser_module.parse(text)
    except parser_module.RulesError as error:
        raise BadRequestError(str(error).splitlines()) from error


def rule_names(rules: list[model.Rule]) -> set[str]:
    """Return the names of rules."""
    return {rule.name for rule in rules}


def read_change(body: dict[str, typing.Any]) -> edits.Change:
    """Parse the body of an edit request, with all checks that need no access to the store."""
    operation = read_string(body, "operation")
    if operation not in (edits.ADD, edits.MOVE, edits.REPLACE, edits.RETIRE):
        raise BadRequestError(
            [f"operation must be add, move, replace or retire, not {operation!r}"]
        )
    edit = read_string(body, "edit") or secrets.token_hex(8)
    if not _EDIT_ID.match(edit):
        raise BadRequestError(["edit must be 1 to 64 letters, digits, '.', '_' or '-'"])
    base = body.get("base", 0)
    if isinstance(base, bool) or not isinstance(base, int):
        raise BadRequestError(["base must be a revision number"])
    rule = None
    name = read_string(body, "name")
    if operation in (edits.ADD, edits.REPLACE):
        rules = parse_rules(read_string(body, "text"))
        if len(rules) != 1:
            raise BadRequestError([f"text must contain one rule, not {len(rules)}"])
        rule = rules[0]
        if name and name != rule.name:
            raise BadRequestError([f"text contains rule {rule.name}, but name is {name}"])
        name = rule.name
    return edits.Change(
        edit=edit,
        operator=read_string(body, "operator", "unnamed"),
        operation=operation,
        name=name,
        base=base,
        rule=rule,
        before=read_string(body, "before"),
        after=read_string(body, "after"),
    )


def read_rule_request(body: dict[str, typing.Any]) -> model.Request:
    """
    Read the request whose rule is asked for.

    :raises BadRequestError: a text is malformed
    :raises FieldError: another field is malformed
    """
    return model.Request(
        service=read_string(body, "service"),
        caller=read_string(body, "caller"),
        data_centre=read_string(body, "data_centre"),
        priority=fields.read_field(
            {"priority": model.DEFAULT_PRIORITY} | body, "priority", _read_priority
        ),
        headers=fields.read_field({"headers": {}} | body, "headers", _read_headers),
    )
