"""Optional fields of the platform's values: each is read strictly, or counts as absent."""

from __future__ import annotations

import math
import typing
from collections import abc

MOST_REGIONS = 64
"""Regions that one route or organisation may be bound to."""
MOST_RATE_PER_S = 1e6
"""Requests a second beyond which a rate is no limit of a replica."""
MOST_LOAD = 1_000_000
"""Requests or slots of one replica beyond which its told load is not believed."""
MOST_SLOWDOWN_PERCENT = 100_000
LOAD_FIGURES = (3, 4)
"""How many figures a told load may have: without and with the state of the machine."""


class FieldError(ValueError):
    """A field does not have the published form; says which form that is."""


T = typing.TypeVar("T")


def optional(
    item: abc.Mapping[str, typing.Any],
    name: str,
    read: abc.Callable[[typing.Any], T],
    absent: T,
    ignored: list[str],
) -> T:
    """
    Read a field, or return what it is worth when absent.

    :param ignored: gets the name of a field that is there and can't be read
    """
    plain = item.get(name)
    if plain is None:
        return absent
    try:
        return read(plain)
    except FieldError as error:
        ignored.append(f"{name}: {error}")
        return absent


def regions(plain: typing.Any) -> frozenset[str] | None:
    """
    Read a list of regions; an empty one allows all.

    Names that can't be read are left out and never widen the list.

    :raises FieldError: it is no list, or a longer one than ``MOST_REGIONS``
    """
    if not isinstance(plain, list) or len(plain) > MOST_REGIONS:
        raise FieldError(f"not a list of {MOST_REGIONS} regions at most")
    return frozenset(each for each in plain if isinstance(each, str) and each) if plain else None


def tables(plain: typing.Any) -> list[dict[str, typing.Any]]:
    """
    Read a list of tables.

    :raises FieldError: it is no list, or one of its entries is no table
    """
    if not isinstance(plain, list) or not all(isinstance(each, dict) for each in plain):
        raise FieldError("not a list of tables")
    return plain


def keys(plain: typing.Any) -> list[bytes]:
    """
    Read a list of keys that callers show.

    :raises FieldError: it is no list, or one of its entries is no text
    """
    if not isinstance(plain, list) or not all(isinstance(each, str) for each in plain):
        raise FieldError("not a list of texts")
    return [each.encode() for each in plain]


def rate_per_s(plain: typing.Any) -> float:
    """
    Read requests a second.

    :raises FieldError: not a number from 0 to ``MOST_RATE_PER_S``
    """
    if isinstance(plain, bool) or not isinstance(plain, int | float):
        raise FieldError("not a number")
    if not (math.isfinite(plain) and 0 <= plain <= MOST_RATE_PER_S):
        raise FieldError(f"not from 0 to {MOST_RATE_PER_S:.0f}")
    return float(plain)


def load_figures(plain: bytes) -> tuple[int, ...]:
    """
    Read the figures of a told load: running, waiting, slots, and the machine's slow-down in %.

    :raises FieldError: too few or too many figures, or one out of its bounds
    """
    parts = plain.split(b",")
    if len(parts) not in LOAD_FIGURES:
        raise FieldError(f"{len(parts)} figures instead of {LOAD_FIGURES}")
    figures = tuple(_whole(part.strip()) for part in parts)
    bounds = (MOST_LOAD, MOST_LOAD, MOST_LOAD, MOST_SLOWDOWN_PERCENT)
    if any(figure > most for figure, most in zip(figures, bounds, strict=False)):
        raise FieldError("a figure is too large")
    if not figures[2] or not all(figures[3:]):
        raise FieldError("no slots, or a machine that does no work")
    return figures


def _whole(part: bytes) -> int:
    if not (part.isdigit() and len(part) <= len(str(MOST_LOAD))):
        raise FieldError("a figure is not a whole number")
    return int(part)
