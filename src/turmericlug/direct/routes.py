"""
Routes: ordered rules that say which services may answer a request, and how.

A route matches a host and a path prefix. The rules of a host are kept longest prefix first, so that
the first match decides, as with the operators' own rules.
"""

from __future__ import annotations

import attrs

from turmericlug.http1 import messages


@attrs.frozen
class WeightedService:
    """One service of a route with the weight at which it takes the route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """What is to happen with the requests of one host below one path prefix."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    """The longest time a caller is kept waiting."""
    goal_ms: float
    """The time within which an answer is worth most to its caller."""
    priority: int
    """0 goes first."""
    max_attempts: int
    """Replicas that one request may be sent to; of a query over shards, for each shard."""
    services: tuple[WeightedService, ...] = ()
    """One of them answers; empty for a query over shards."""
    shards: tuple[str, ...] = ()
    """Services that all hold a part of the answer."""
    top_records: int = 0
    min_coverage: float = 0.0
    regions: frozenset[str] | None = None
    """The only regions whose replicas and instances may get its requests; ``None``: any."""

    def restricted_to(self, regions: frozenset[str] | None) -> Route:
        """Return this route where others may bind its requests to regions as well."""
        if regions is None:
            return self
        both = regions if self.regions is None else self.regions & regions
        return attrs.evolve(self, regions=both)


@attrs.frozen
class Service:
    """A service that replicas belong to."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one replica takes from all callers together."""
    cold_rate_per_s: float = 0.0
    """Requests a second that a cold replica bears from all instances together; 0: not limited."""


@attrs.define
class Configuration:
    """One version of all routes and services."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: messages.Limits
    key_regions: dict[bytes, frozenset[str]] = attrs.field(factory=dict)
    """Regions that organisations are bound to, by the key that their callers show."""
    shards: frozenset[str] = attrs.field(init=False, default=frozenset())
    """Every service that is a shard of a route."""
    _by_host: dict[str, list[Route]] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        self.shards = frozenset(shard for route in self.routes for shard in route.shards)
        for route in self.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def regions_of(self, host: str) -> frozenset[str] | None:
        """Return the regions that all bound routes of a host allow; ``None`` where none is."""
        found = [each.regions for each in self._by_host.get(host.lower(), ())]
        bound = [regions for regions in found if regions is not None]
        return frozenset.intersection(*bound) or frozenset.union(*bound) if bound else None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request: the first rule whose prefix begins the path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


@attrs.frozen
class ReplicaEntry:
    """What a replica says of itself; each start of a replica is an instance of its own."""

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    warmup_left_ms: float
    """How much longer it is cold, as of the entry's writing."""
    born_ms: int | None = None
    """When it was started, in milliseconds since 1970, where it says so. A later one under the same
    instance is another start, which knows nothing of before."""
    sequence: int = 0
    """Counts what it has said since its start."""
