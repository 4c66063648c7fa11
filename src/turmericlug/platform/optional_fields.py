"""Optional fields of the platform's values: a malformed field is treated as absent."""

from __future__ import annotations

import typing
from collections import abc

from turmericlug.decoding import fields
from turmericlug.policy import capacity

MAX_REGIONS = 64
"""Regions that one route or organisation may be restricted to."""
MAX_RATE_PER_S = 1e6
"""Requests per second; no replica plausibly has a higher limit."""
MAX_LOAD = 1_000_000
"""Requests or slots of one replica; a load report with a higher value is ignored."""
MAX_SLOWDOWN_PERCENT = 100_000
LOAD_VALUE_COUNTS = (3, 4)
"""Number of values in a load report: without and with the slowdown of the machine."""

_NUMBER_TYPES = (int, float)


def read_optional(
    item: abc.Mapping[str, typing.Any],
    name: str,
    read: abc.Callable[[typing.Any], fields.T],
    default: fields.T,
    ignored: list[str],
) -> fields.T:
    """
    Read a field, or return its default when it is absent or malformed.

    :param ignored: receives the name of a malformed field, with the error
    """
    value = item.get(name)
    if value is None:
        return default
    try:
        return read(value)
    except fields.FieldError as error:
        ignored.append(f"{name}: {error}")
        return default


def read_regions(value: typing.Any) -> frozenset[str] | None:
    """
    Read a list of regions; return ``None`` for an empty list, which allows all regions.

    Malformed names are dropped. If only malformed names were listed, no region is allowed.

    :raises FieldError: not a list, or longer than ``MAX_REGIONS``
    """
    if not isinstance(value, list) or len(value) > MAX_REGIONS:
        raise fields.FieldError(f"not a list of {MAX_REGIONS} regions at most")
    if not value:
        return None
    return frozenset(
        name for name in value if isinstance(name, str) and name and fields.is_unicode(name)
    )


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
        raise fields.FieldError("not a number")
    if not 0 <= value <= MAX_RATE_PER_S:
        raise fields.FieldError(f"not from 0 to {MAX_RATE_PER_S:.0f}")
    return float(value)


def read_capacity(value: typing.Any) -> float:
    """
    Read the capacity that an instance publishes.

    :raises FieldError: not a number within the bounds of a capacity
    """
    if isinstance(value, bool) or not isinstance(value, _NUMBER_TYPES):
        raise fields.FieldError("not a number")
    if not capacity.MINIMUM <= value <= capacity.MAXIMUM:
        raise fields.FieldError(f"not from {capacity.MINIMUM} to {capacity.MAXIMUM}")
    return float(value)


def read_load_values(report: bytes) -> tuple[int, ...]:
    """
    Read a load report: running requests, waiting requests, slots and the machine's slowdown in %.

    :raises FieldError: wrong number of values, or a value out of bounds
    """
    texts = report.split(b",")
    if len(texts) not in LOAD_VALUE_COUNTS:
        raise fields.FieldError(f"{len(texts)} values; expected one of {LOAD_VALUE_COUNTS}")
    values = tuple(_read_integer(text.strip()) for text in texts)
    maxima = (MAX_LOAD, MAX_LOAD, MAX_LOAD, MAX_SLOWDOWN_PERCENT)
    if any(value > maximum for value, maximum in zip(values, maxima, strict=False)):
        raise fields.FieldError("a value exceeds its maximum")
    if not values[2] or not all(values[3:]):
        raise fields.FieldError("slots or slowdown is 0")
    return values


def _read_integer(text: bytes) -> int:
    if not (text.isdigit() and len(text) <= len(str(MAX_LOAD))):
        raise fields.FieldError("a value is not an integer, or has too many digits")
    return int(text)
