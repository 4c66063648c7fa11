"""Decode the organisations of the operators' configuration."""

from __future__ import annotations

import typing

from turmericlug.decoding import fields
from turmericlug.direct import organisations
from turmericlug.platform import optional_fields

MAX_NAME_LENGTH = 200
"""Longer names are rejected: every request to a replica carries the name in a header."""
MAX_PRIORITY = 100
"""Priorities are sent between instances as 16-bit numbers; operators use a few levels."""
MAX_BURST = 1e9


def decode(value: typing.Any, ignored: list[str]) -> organisations.Organisations | None:
    """
    Decode the list of organisations.

    An entry without a usable name is dropped, as is an API key that is empty or held by two
    organisations. A malformed quota counts as unlimited, so that a typing error refuses nobody.

    :param value: ``None`` if the deployment has no organisations
    :param ignored: receives the name of each malformed field, with the error
    """
    if value is None:
        return None
    ignored_before = len(ignored)
    by_key: dict[bytes, organisations.Organisation] = {}
    shared_keys: set[bytes] = set()
    names: set[str] = set()
    for item in _read_entries(value, ignored):
        organisation = _decode_organisation(item, names, ignored)
        if organisation is None:
            continue
        names.add(organisation.name)
        for key in _read_keys(item, ignored):
            holder = by_key.setdefault(key, organisation)
            if holder is not organisation:
                shared_keys.add(key)
                ignored.append(f"ApiKeys: {holder.name} and {organisation.name} share a key")
    for key in shared_keys:
        del by_key[key]
    return organisations.Organisations(by_key, is_complete=len(ignored) == ignored_before)


def _read_entries(value: typing.Any, ignored: list[str]) -> list[dict[str, typing.Any]]:
    if not isinstance(value, list):
        ignored.append("Tenants: not a list")
        return []
    for entry in value:
        if not isinstance(entry, dict):
            ignored.append("Tenants: an entry is not an object")
    return [entry for entry in value if isinstance(entry, dict)]


def _decode_organisation(
    item: dict[str, typing.Any], names: set[str], ignored: list[str]
) -> organisations.Organisation | None:
    name = item.get("Name")
    if not _is_header_value(name):
        ignored.append("Name: not a printable ASCII name")
        return None
    if name in names:
        ignored.append(f"Name: {name} is repeated")
        return None
    return organisations.Organisation(
        name=name,
        priority=optional_fields.read_optional(item, "Priority", _read_priority, None, ignored),
        rate_per_s=optional_fields.read_optional(
            item, "RatePerS", optional_fields.read_rate_per_s, 0.0, ignored
        ),
        burst=optional_fields.read_optional(item, "Burst", _read_burst, 0.0, ignored),
        regions=optional_fields.read_allowed_regions(item, ignored),
    )


def _is_header_value(name: typing.Any) -> bool:
    return (
        isinstance(name, str)
        and 0 < len(name) <= MAX_NAME_LENGTH
        and name.isascii()
        and name.isprintable()
        and name == name.strip()
    )


def _read_keys(item: dict[str, typing.Any], ignored: list[str]) -> list[bytes]:
    values = item.get("ApiKeys") or []
    if not isinstance(values, list):
        ignored.append("ApiKeys: not a list")
        return []
    keys = []
    for value in values:
        if isinstance(value, str) and value:
            keys.append(value.encode(errors="surrogatepass"))
        else:
            ignored.append("ApiKeys: a key is empty or not a string")
    return keys


def _read_priority(value: typing.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_PRIORITY:
        raise fields.FieldError(f"not an integer from 0 to {MAX_PRIORITY}")
    return value


def _read_burst(value: typing.Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise fields.FieldError("not a number")
    if not 0 <= value <= MAX_BURST:
        raise fields.FieldError(f"not from 0 to {MAX_BURST:.0f}")
    return float(value)
