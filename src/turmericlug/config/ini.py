"""INI settings declared as attrs classes: validated as a whole, every problem reported."""

from __future__ import annotations

import configparser
import pathlib
import typing
from collections import abc

import attrs

Parser = abc.Callable[[str], typing.Any]
"""Parses the text of one key; raises ``ValueError`` with the reason if it is invalid."""


class SettingsError(Exception):
    """Unreadable or invalid settings file; ``problems`` lists every reason."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def non_empty_text(raw: str) -> str:
    """Parse a string that must not be empty."""
    if not raw:
        raise ValueError("must not be empty")
    return raw


def integer(low: int, high: int) -> Parser:
    """Return a parser of integers within bounds."""

    def parse(raw: str) -> int:
        try:
            value = int(raw)
        except ValueError:
            raise ValueError(f"{raw!r} is not an integer") from None
        if not low <= value <= high:
            raise ValueError(f"{value} is outside {low}..{high}")
        return value

    return parse


def number_up_to(high: float) -> Parser:
    """Return a parser of numbers from 0 to a bound."""

    def parse(raw: str) -> float:
        try:
            value = float(raw)
        except ValueError:
            raise ValueError(f"{raw!r} is not a number") from None
        if not 0.0 <= value <= high:
            raise ValueError(f"{value} is outside 0..{high}")
        return value

    return parse


def secret(raw: str) -> str:
    """Parse a secret of at least 16 characters."""
    if len(raw) < 16:
        raise ValueError("must have at least 16 characters")
    return raw


def base_url(raw: str) -> str:
    """Parse the base URL of an HTTP service, without its trailing slashes."""
    if not raw.startswith(("http://", "https://")):
        raise ValueError(f"{raw!r} is not an http:// or https:// URL")
    return raw.rstrip("/")


def key(parse: Parser, default: typing.Any, doc: str, empty_is_default: bool = False) -> typing.Any:
    """
    Declare a key.

    :param default: the value where the key is missing; ``None``: it is required
    :param empty_is_default: whether an empty value means the default, for keys that a template
        renders from a field that may be absent
    """
    metadata = {"parse": parse, "doc": doc, "empty_is_default": empty_is_default}
    return attrs.field(default=default, metadata=metadata)


def read(path: pathlib.Path, sections: dict[str, type]) -> dict[str, typing.Any]:
    """
    Read and validate a settings file.

    :param path: the INI file
    :param sections: the class of each section by its name, with fields declared by ``key``
    :returns: the parsed object of each section by its name
    :raises SettingsError: with every problem found
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as stream:
            parser.read_file(stream)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    problems = [f"[{name}]: unknown section" for name in parser.sections() if name not in sections]
    settings = {name: _parse_section(parser, name, cls, problems) for name, cls in sections.items()}
    if problems:
        raise SettingsError(problems)
    return settings


def _parse_section(
    parser: configparser.ConfigParser, name: str, cls: type, problems: list[str]
) -> typing.Any:
    raw_values = dict(parser[name]) if parser.has_section(name) else {}
    fields = {field.name: field for field in attrs.fields(cls)}
    problems += [f"[{name}] {key}: unknown key" for key in raw_values if key not in fields]
    values = {}
    for key, field in fields.items():
        if key not in raw_values:
            if field.default is None:
                problems.append(f"[{name}] {key}: missing ({field.metadata['doc']})")
            continue
        if not raw_values[key] and field.metadata["empty_is_default"]:
            continue
        try:
            values[key] = field.metadata["parse"](raw_values[key])
        except ValueError as error:
            problems.append(f"[{name}] {key}: {error}")
    return cls(**values) if not problems else None
