"""The catalogue document: services and their limits, groups, snapshots and their shards."""

from __future__ import annotations

import json
import typing

import attrs


class CatalogError(Exception):
    """A catalogue document that can't be used; ``problems`` lists every reason."""

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
    """Where its replicas are, so that its owner is chosen there; empty: anywhere."""


@attrs.frozen
class Snapshot:
    """One version of all indexes, with the shards that each service has in it."""

    name: str
    shards: dict[str, tuple[str, ...]]

    def shards_of(self, service: str) -> tuple[str, ...]:
        """Return the shards of a service; one that is not partitioned has one shard."""
        return self.shards.get(service, (service,))


@attrs.frozen
class Catalog:
    """Everything a coordinator needs to plan a query."""

    services: dict[str, Service]
    groups: dict[str, tuple[str, ...]]
    snapshots: tuple[Snapshot, ...]
    """Oldest first; queries pin the last one."""

    def members_of(self, name: str) -> tuple[str, ...]:
        """Return the services that a service's or group's name stands for; none if unknown."""
        if name in self.groups:
            return self.groups[name]
        return (name,) if name in self.services else ()


EMPTY = Catalog({}, {}, ())


def parse(text: str) -> Catalog:
    """
    Read a catalogue from its JSON text.

    :raises CatalogError: with every problem found
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise CatalogError([f"not JSON: {error}"]) from error
    if not isinstance(document, dict):
        raise CatalogError(["must be an object"])
    problems = [
        f"{key}: unknown" for key in document if key not in ("services", "groups", "snapshots")
    ]
    services = _services(document.get("services", {}), problems)
    groups = _groups(document.get("groups", {}), services, problems)
    snapshots = _snapshots(document.get("snapshots", []), services, problems)
    if problems:
        raise CatalogError(problems)
    return Catalog(services, groups, snapshots)


def _services(items: typing.Any, problems: list[str]) -> dict[str, Service]:
    found: dict[str, Service] = {}
    if not isinstance(items, dict):
        problems.append("services: must be an object")
        return found
    for name, limits in items.items():
        if not isinstance(limits, dict) or set(limits) - {"data_centre"} != {
            "slots",
            "connections",
        }:
            reason = "needs slots and connections, may have data_centre, and nothing else"
            problems.append(f"services.{name}: {reason}")
            continue
        slots, connections = limits["slots"], limits["connections"]
        centre = limits.get("data_centre", "")
        if not all(isinstance(number, int) and number > 0 for number in (slots, connections)):
            problems.append(f"services.{name}: slots and connections must be whole numbers above 0")
        elif connections < 2 * slots:
            problems.append(f"services.{name}: connections must be at least twice the slots")
        elif not isinstance(centre, str):
            problems.append(f"services.{name}: data_centre must be a text")
        else:
            found[name] = Service(name, slots, connections, centre)
    return found


def _groups(
    items: typing.Any, services: dict[str, Service], problems: list[str]
) -> dict[str, tuple[str, ...]]:
    found: dict[str, tuple[str, ...]] = {}
    if not isinstance(items, dict):
        problems.append("groups: must be an object")
        return found
    for name, members in items.items():
        if name in services:
            problems.append(f"groups.{name}: is also a service")
        elif not isinstance(members, list) or not members:
            problems.append(f"groups.{name}: must list services")
        elif unknown := [member for member in members if member not in services]:
            problems.append(f"groups.{name}: unknown service {unknown[0]}")
        else:
            found[name] = tuple(members)
    return found


def _snapshots(
    items: typing.Any, services: dict[str, Service], problems: list[str]
) -> tuple[Snapshot, ...]:
    found: dict[str, Snapshot] = {}
    if not isinstance(items, list):
        problems.append("snapshots: must be a list")
        return ()
    for item in items:
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            problems.append("snapshots: each needs a name")
            continue
        name, shards = item["name"], item.get("shards", {})
        if name in found:
            problems.append(f"snapshots.{name}: stands twice")
        if not isinstance(shards, dict):
            problems.append(f"snapshots.{name}: shards must be an object")
            continue
        for service, names in shards.items():
            if service not in services:
                problems.append(f"snapshots.{name}: unknown service {service}")
            elif not isinstance(names, list) or not names or len(set(names)) != len(names):
                problems.append(f"snapshots.{name}.{service}: must list distinct shards")
        if not problems:
            found[name] = Snapshot(name, {key: tuple(value) for key, value in shards.items()})
    return tuple(found.values())
