"""The catalogue document: services and their limits, groups, snapshots and their shards."""

from __future__ import annotations

import typing

import attrs

from turmericlug.decoding import fields
from turmericlug.decoding import json_values

MAX_CONNECTIONS = 1_000_000
"""Of one replica; no system gives a process more."""


class CatalogError(Exception):
    """Invalid catalogue document; ``problems`` lists every reason."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


@attrs.frozen
class Service:
    """One index or application, with the limits of each of its replicas."""

    name: str
    slots: int
    connections: int
    data_centre: str = ""
    """Data centre of its replicas, from which its owner is chosen; empty: any."""


@attrs.frozen
class Snapshot:
    """One version of all indexes, with the shards of each service."""

    name: str
    shards: dict[str, tuple[str, ...]]

    def shards_of(self, service: str) -> tuple[str, ...]:
        """Return the shards of a service; an unpartitioned one has a single shard of its name."""
        return self.shards.get(service, (service,))


@attrs.frozen
class Catalog:
    """The services, groups and snapshots by which a coordinator plans a query."""

    services: dict[str, Service]
    groups: dict[str, tuple[str, ...]]
    snapshots: tuple[Snapshot, ...]
    """Oldest first; queries are pinned to the last one."""

    def members_of(self, name: str) -> tuple[str, ...]:
        """Return the services of a group, or the service of that name; none if unknown."""
        if name in self.groups:
            return self.groups[name]
        return (name,) if name in self.services else ()


EMPTY = Catalog({}, {}, ())


def parse(text: str) -> Catalog:
    """
    Parse and validate a catalogue from its JSON text.

    :raises CatalogError: with every problem found
    """
    try:
        document = json_values.parse(text.encode())
    except (UnicodeEncodeError, fields.FieldError) as error:
        raise CatalogError([f"not JSON: {error}"]) from error
    if not isinstance(document, dict):
        raise CatalogError(["the catalogue must be a JSON object"])
    problems = [
        f"{key}: unknown key" for key in document if key not in ("services", "groups", "snapshots")
    ]
    services = _parse_services(document.get("services", {}), problems)
    groups = _parse_groups(document.get("groups", {}), services, problems)
    snapshots = _parse_snapshots(document.get("snapshots", []), services, problems)
    if problems:
        raise CatalogError(problems)
    return Catalog(services, groups, snapshots)


def _parse_services(items: typing.Any, problems: list[str]) -> dict[str, Service]:
    parsed: dict[str, Service] = {}
    if not isinstance(items, dict):
        problems.append("services: must be an object")
        return parsed
    for name, limits in items.items():
        if not isinstance(limits, dict) or set(limits) - {"data_centre"} != {
            "slots",
            "connections",
        }:
            reason = "must have slots and connections, may have data_centre, and no other key"
            problems.append(f"services.{name}: {reason}")
            continue
        slots, connections = limits["slots"], limits["connections"]
        data_centre = limits.get("data_centre", "")
        if not all(_is_count(limit) for limit in (slots, connections)):
            reason = f"slots and connections must be integers above 0, at most {MAX_CONNECTIONS}"
            problems.append(f"services.{name}: {reason}")
        elif connections < 2 * slots:
            problems.append(f"services.{name}: connections must be at least twice slots")
        elif not (_is_text(name) and _is_text(data_centre)):
            problems.append(f"services.{name!a}: name and data_centre must be strings of Unicode")
        else:
            parsed[name] = Service(name, slots, connections, data_centre)
    return parsed


def _parse_groups(
    items: typing.Any, services: dict[str, Service], problems: list[str]
) -> dict[str, tuple[str, ...]]:
    parsed: dict[str, tuple[str, ...]] = {}
    if not isinstance(items, dict):
        problems.append("groups: must be an object")
        return parsed
    for name, members in items.items():
        if name in services:
            problems.append(f"groups.{name}: is also the name of a service")
        elif not _is_text(name) or not _are_strings(members) or not members:
            problems.append(f"groups.{name}: must be a non-empty list of services")
        elif unknown := [member for member in members if member not in services]:
            problems.append(f"groups.{name}: unknown service {unknown[0]}")
        else:
            parsed[name] = tuple(members)
    return parsed


def _parse_snapshots(
    items: typing.Any, services: dict[str, Service], problems: list[str]
) -> tuple[Snapshot, ...]:
    parsed: dict[str, Snapshot] = {}
    if not isinstance(items, list):
        problems.append("snapshots: must be a list")
        return ()
    for item in items:
        if not isinstance(item, dict) or not _is_text(item.get("name")):
            problems.append("snapshots: each must be an object with a string as name")
            continue
        name, shards = item["name"], item.get("shards", {})
        if name in parsed:
            problems.append(f"snapshots.{name}: the name is used twice")
        if not isinstance(shards, dict):
            problems.append(f"snapshots.{name}: shards must be an object")
            continue
        for service, names in shards.items():
            if service not in services:
                problems.append(f"snapshots.{name}: unknown service {service}")
            elif not _are_strings(names) or not names or len(set(names)) != len(names):
                problems.append(
                    f"snapshots.{name}.{service}: must be a non-empty list of distinct shards"
                )
        if not problems:
            parsed[name] = Snapshot(
                name, {service: tuple(names) for service, names in shards.items()}
            )
    return tuple(parsed.values())


def _are_strings(items: typing.Any) -> typing.TypeGuard[list[str]]:
    return isinstance(items, list) and all(_is_text(item) for item in items)


def _is_text(value: typing.Any) -> bool:
    try:
        fields.read_any_text(value)
    except fields.FieldError:
        return False
    return True


def _is_count(value: typing.Any) -> bool:
    return type(value) is int and 0 < value <= MAX_CONNECTIONS
