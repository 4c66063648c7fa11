"""Optional fields of the platform's values: a malformed field is treated as absent."""

from __future__ import annotations

import math
import typing
from collections import abc

MAX_REGIONS = 64
"""Regions that one route or organisation may be restricted to."""
MAX_RATE_PER_S = 1e6
"""Requests per second; a higher rate is no plausible limit of a replica."""
MAX_LOAD = 1_000_000
"""Requests or slots of one replica; a load report with a higher figure is ignored."""
MAX_SLOWDOWN_PERCENT = 100_000
LOAD_FIGURE_COUNTS = (3, 4)
"""Figures that a load report may have: without and with the slowdown of the machine."""


class FieldError(ValueError):
    """A field does not have the published format; the message says how."""


T = typing.TypeVar("T")


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
    data = item.get(name)
    if data is None:
        return default
    try:
        return read(data)
    except FieldError as error:
        ignored.append(f"{name}: {error}")
        return default


def read_regions(data: typing.Any) -> frozenset[str] | None:
    """
    Read a list of regions; an empty list allows all regions and gives ``None``.

    Malformed names are dropped. If no name is left, no region is allowed, rather than all.

    :raises FieldError: not a list, or longer than ``MAX_REGIONS``
    """
    if not isinstance(data, list) or len(data) > MAX_REGIONS:
        raise FieldError(f"not a list of {MAX_REGIONS} regions at most")
    return frozenset(each for each in data if isinstance(each, str) and each) if data else None


def read_objects(data: typing.Any) -> list[dict[str, typing.Any]]:
    """
    Read a list of JSON objects.

    :raises FieldError: not a list, or an entry is not an object
    """
    if not isinstance(data, list) or not all(isinstance(each, dict) for each in data):
        raise FieldError("not a list of objects")
    return data


def read_api_keys(data: typing.Any) -> list[bytes]:
    """
    Read a list of the API keys that callers send.

    :raises FieldError: not a list, or an entry is not a string
    """
    if not isinstance(data, list) or not all(isinstance(each, str) for each in data):
        raise FieldError("not a list of strings")
    return [each.encode() for each in data]


def read_rate_per_s(data: typing.Any) -> float:
    """
    Read a rate in requests per second.

    :raises FieldError: not a number from 0 to ``MAX_RATE_PER_S``
    """
    if isinstance(data, bool) or not isinstance(data, int | float):
        raise FieldError("not a number")
    if not (math.isfinite(data) and 0 <= data <= MAX_RATE_PER_S):
        raise FieldError(f"not from 0 to {MAX_RATE_PER_S:.0f}")
    return float(data)


def read_load_figures(data: bytes) -> tuple[int, ...]:
    """
    Read a load report: running requests, waiting requests, slots and the machine's slowdown in %.

    :raises FieldError: wrong number of figures, or a figure out of bounds
    """
    parts = data.split(b",")
    if len(parts) not in LOAD_FIGURE_COUNTS:
        raise FieldError(f"{len(parts)} figures; expected one of {LOAD_FIGURE_COUNTS}")
    figures = tuple(_read_integer(part.strip()) for part in parts)
    bounds = (MAX_LOAD, MAX_LOAD, MAX_LOAD, MAX_SLOWDOWN_PERCENT)
    if any(figure > maximum for figure, maximum in zip(figures, bounds, strict=False)):
        raise FieldError("a figure exceeds its limit")
    if not figures[2] or not all(figures[3:]):
        raise FieldError("slots or slowdown is 0")
    return figures


def _read_integer(part: bytes) -> int:
    if not (part.isdigit() and len(part) <= len(str(MAX_LOAD))):
        raise FieldError("a figure is not an integer, or has too many digits")
    return int(part)
