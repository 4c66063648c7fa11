"""Readers of single fields, by type and bounds."""

from __future__ import annotations

import typing
from collections import abc

MAX_TEXT_LENGTH = 4096
"""Characters of a name, a host or a path prefix."""


class FieldError(ValueError):
    """A field does not have the published format; the message says how."""

    def __init__(self, problem: str, reason: str = "type", field: str = "") -> None:
        """
        Describe a malformed field.

        :param reason: a short keyword, which is also the name of a counter
        :param field: path of the field; empty if it concerns the value as a whole
        """
        super().__init__(problem)
        self.reason = reason
        self.field = field

    def within(self, path: str) -> FieldError:
        """Return the error with its field qualified by the path of what contains it."""
        self.field = f"{path}.{self.field}" if self.field else path
        return self


T = typing.TypeVar("T")
_NUMBER_TYPES = (int, float)


def read_field(
    item: abc.Mapping[str, typing.Any], name: str, read: abc.Callable[[typing.Any], T]
) -> T:
    """
    Read a required field.

    :raises FieldError: absent or malformed
    """
    if name not in item:
        raise FieldError("absent", "missing", name)
    try:
        return read(item[name])
    except FieldError as error:
        raise error.within(name) from None


def read_integer(value: typing.Any, minimum: int, maximum: int) -> int:
    """
    Read an integer.

    :raises FieldError: not an integer, or not from ``minimum`` to ``maximum``
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise FieldError("not an integer")
    if not minimum <= value <= maximum:
        raise FieldError(f"not from {minimum} to {maximum}", "range")
    return value


def read_whole_number(value: typing.Any, minimum: int, maximum: int) -> int:
    """
    Read an integer, which may be written with a decimal point.

    :raises FieldError: not a whole number, or not from ``minimum`` to ``maximum``
    """
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return read_integer(value, minimum, maximum)


def read_number(value: typing.Any, minimum: float, maximum: float) -> float:
    """
    Read a number.

    :raises FieldError: not a number, or not from ``minimum`` to ``maximum``
    """
    if isinstance(value, bool) or not isinstance(value, _NUMBER_TYPES):
        raise FieldError("not a number")
    if not minimum <= value <= maximum:
        raise FieldError(f"not from {minimum:.15g} to {maximum:.15g}", "range")
    return value


def read_text(value: typing.Any) -> str:
    """
    Read a text.

    :raises FieldError: not a string, empty, too long, or not valid Unicode
    """
    if not read_any_text(value):
        raise FieldError("empty", "length")
    return value


def read_any_text(value: typing.Any) -> str:
    """
    Read a text that may be empty.

    :raises FieldError: not a string, too long, or not valid Unicode
    """
    if not isinstance(value, str):
        raise FieldError("not a string")
    if len(value) > MAX_TEXT_LENGTH:
        raise FieldError(f"longer than {MAX_TEXT_LENGTH} characters", "length")
    if not (value.isascii() or is_unicode(value)):
        raise FieldError("not valid Unicode", "text")
    return value


def read_text_field(item: abc.Mapping[str, typing.Any], name: str) -> str:
    """
    Read a required field with ``read_any_text``; faster where the text is plain ASCII.

    :raises FieldError: absent or malformed
    """
    value = item.get(name)
    if type(value) is str and value.isascii() and len(value) <= MAX_TEXT_LENGTH:
        return value
    return read_field(item, name, read_any_text)


def read_name_field(item: abc.Mapping[str, typing.Any], name: str) -> str:
    """
    Read a required field with ``read_text``; faster where the text is plain ASCII.

    :raises FieldError: absent or malformed
    """
    return read_text_field(item, name) or read_field(item, name, read_text)


def read_integer_field(
    item: abc.Mapping[str, typing.Any], name: str, minimum: int, maximum: int
) -> int:
    """
    Read a required integer.

    :raises FieldError: absent or malformed
    """
    value = item.get(name)
    if type(value) is int and minimum <= value <= maximum:
        return value
    return read_field(item, name, lambda value: read_integer(value, minimum, maximum))


def check_texts(values: list[typing.Any]) -> None:
    """
    Check each element with ``read_any_text``; faster where all of them are plain ASCII.

    :raises FieldError: an element is malformed
    """
    try:
        joined = "".join(values)
        if joined.isascii() and len(joined) <= MAX_TEXT_LENGTH:
            return
    except TypeError:
        pass
    for value in values:
        read_any_text(value)


def is_unicode(value: str) -> bool:
    """Whether a string can be encoded; JSON may hold half of a surrogate pair."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_flag(value: typing.Any) -> bool:
    """
    Read a truth value; ``None`` counts as false.

    :raises FieldError: neither true nor false
    """
    if not isinstance(value, bool | None):
        raise FieldError("neither true nor false")
    return bool(value)


def read_string(value: typing.Any) -> str:
    """
    Read a string.

    :raises FieldError: not a string
    """
    if not isinstance(value, str):
        raise FieldError("not a string")
    return value


def read_list(value: typing.Any) -> list[typing.Any]:
    """
    Read a list.

    :raises FieldError: not a list
    """
    if not isinstance(value, list):
        raise FieldError("not a list")
    return value
