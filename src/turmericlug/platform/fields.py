"""Optional fields of the platform's values: a malformed field is treated as absent."""

from __future__ import annotations

import typing
from collections import abc

from turmericlug.policy import capacity

MAX_REGIONS = 64
"""Regions that one route or organisation may be restricted to."""
MAX_RATE_PER_S = 1e6
"""Requests per second; no replica plausibly has a higher limit."""
MAX_TEXT_LENGTH = 4096
"""Characters of a name, a host or a path prefix."""
MAX_LOAD = 1_000_000
"""Requests or slots of one replica; a load report with a higher value is ignored."""
MAX_SLOWDOWN_PERCENT = 100_000
LOAD_VALUE_COUNTS = (3, 4)
"""Number of values in a load report: without and with the slowdown of the machine."""


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


def read_optional(
    item: abc.Mapping[str, typing.Any],
    name: str,
    read: abc.Callable[[typing.Any], T],
    default: T,
    ignored: list[str],
) -> T:
    """
    Read a field, or return its default when it is absent or malformed.

    :param ignored: receives the name of a malformed field, with the error
    """
    value = item.get(name)
    if value is None:
        return default
    try:
        return read(value)
    except FieldError as error:
        ignored.append(f"{name}: {error}")
        return default


def read_regions(value: typing.Any) -> frozenset[str] | None:
    """
    Read a list of regions; return ``None`` for an empty list, which allows all regions.

    Malformed names are dropped. If only malformed names were listed, no region is allowed.

    :raises FieldError: not a list, or longer than ``MAX_REGIONS``
    """
    if not isinstance(value, list) or len(value) > MAX_REGIONS:
        raise FieldError(f"not a list of {MAX_REGIONS} regions at most")
    if not value:
        return None
    return frozenset(name for name in value if isinstance(name, str) and name and is_unicode(name))


def read_allowed_regions(
    item: abc.Mapping[str, typing.Any], ignored: list[str]
) -> frozenset[str] | None:
    """Return the allowed regions, ``None`` for all; a malformed list allows no region."""
    ignored_before = len(ignored)
    regions = read_optional(item, "AllowedRegions", read_regions, None, ignored)
    return regions if len(ignored) == ignored_before else frozenset()


def read_rate_per_s(value: typing.Any) -> float:
    """
    Read a rate in requests per second.

    :raises FieldError: not a number from 0 to ``MAX_RATE_PER_S``
    """
    if isinstance(value, bool) or not isinstance(value, _NUMBER_TYPES):
        raise FieldError("not a number")
    if not 0 <= value <= MAX_RATE_PER_S:
        raise FieldError(f"not from 0 to {MAX_RATE_PER_S:.0f}")
    return float(value)


def read_capacity(value: typing.Any) -> float:
    """
    Read the capacity that an instance publishes.

    :raises FieldError: not a number within the bounds of a capacity
    """
    if isinstance(value, bool) or not isinstance(value, _NUMBER_TYPES):
        raise FieldError("not a number")
    if not capacity.MINIMUM <= value <= capacity.MAXIMUM:
        raise FieldError(f"not from {capacity.MINIMUM} to {capacity.MAXIMUM}")
    return float(value)


def read_load_values(report: bytes) -> tuple[int, ...]:
    """
    Read a load report: running requests, waiting requests, slots and the machine's slowdown in %.

    :raises FieldError: wrong number of values, or a value out of bounds
    """
    texts = report.split(b",")
    if len(texts) not in LOAD_VALUE_COUNTS:
        raise FieldError(f"{len(texts)} values; expected one of {LOAD_VALUE_COUNTS}")
    values = tuple(_read_integer(text.strip()) for text in texts)
    maxima = (MAX_LOAD, MAX_LOAD, MAX_LOAD, MAX_SLOWDOWN_PERCENT)
    if any(value > maximum for value, maximum in zip(values, maxima, strict=False)):
        raise FieldError("a value exceeds its maximum")
    if not values[2] or not all(values[3:]):
        raise FieldError("slots or slowdown is 0")
    return values


def _read_integer(text: bytes) -> int:
    if not (text.isdigit() and len(text) <= len(str(MAX_LOAD))):
        raise FieldError("a value is not an integer, or has too many digits")
    return int(text)
