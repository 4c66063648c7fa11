"""
The configured routes and services: which services may answer a request, and under what limits.

A route matches a host and a path prefix. The routes of a host are sorted by descending prefix
length, so that the first match decides, as with the operators' own rules.
"""

from __future__ import annotations

import attrs

from turmericlug.direct import organisations as organisations_module
from turmericlug.http1 import messages


@attrs.frozen
class WeightedService:
    """A service of a route and its weight in the distribution of the route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests with a certain host and path prefix are handled."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    """The longest time that a caller waits for an answer."""
    goal_ms: float
    """The latency goal: answers within this time have the most value for callers."""
    priority: int
    """0 is the most urgent."""
    max_attempts: int
    """Replicas to which one request may be sent; for a query over shards the limit is per shard."""
    services: tuple[WeightedService, ...] = ()
    """One of these answers the request; empty for a query over shards."""
    shards: tuple[str, ...] = ()
    """The services that each hold a part of the answer; empty for other routes."""
    top_records: int = 0
    """Maximum number of records in the answer of a query over shards."""
    min_coverage: float = 0.0
    """Fraction of the shards that an answer has to cover."""
    regions: frozenset[str] | None = None
    """Requests go only to replicas and instances in these regions; ``None`` stands for all."""
    is_public: bool = False
    """Whether callers need no API key."""

    def restricted_to(self, regions: frozenset[str] | None) -> Route:
        """
        Return this route with its regions intersected with others.

        :param regions: regions that another setting allows; ``None`` stands for all
        """
        if regions is None:
            return self
        common_regions = regions if self.regions is None else self.regions & regions
        return attrs.evolve(self, regions=common_regions)


@attrs.frozen
class Service:
    """A service and the limits that apply to each of its replicas."""

    name: str
    health_path: str
    max_connections: int
    """Connections that one replica accepts from all callers together."""
    cold_rate_per_s: float = 0.0
    """Requests per second that a cold replica can take from all instances together; 0: no limit."""


@attrs.define
class Configuration:
    """One version of the configured routes and services."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: messages.Limits
    organisations: organisations_module.Organisations | None = None
    """The organisations whose callers are served; ``None``: callers are not told apart."""
    shards: frozenset[str] = attrs.field(init=False, default=frozenset())
    """All services that are a shard of any route."""
    _by_host: dict[str, list[Route]] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        # Routes with the same shards have the same tuple where they were decoded together.
        by_identity = {id(route.shards): route.shards for route in self.routes}
        self.shards = frozenset().union(*by_identity.values())
        for route in self.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def regions_of(self, host: str) -> frozenset[str] | None:
        """
        Return the regions that all restricted routes of a host allow.

        If the routes have no region in common, return the regions of all of them.

        :returns: ``None`` if no route of the host is restricted to regions
        """
        route_regions = [route.regions for route in self._by_host.get(host.lower(), ())]
        restricted = [regions for regions in route_regions if regions is not None]
        return (
            frozenset.intersection(*restricted) or frozenset.union(*restricted)
            if restricted
            else None
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches, or ``None``."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


@attrs.frozen
class ReplicaEntry:
    """What a replica registers about itself; each start of a replica is a separate instance."""

    instance: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    warmup_left_ms: float
    """Remaining warm-up time when the entry was written."""
    born_ms: int | None = None
    """Start time in milliseconds since 1970, if the entry contains it. Another time under the same
    instance name means that the replica has restarted and has lost its earlier state. As clocks may
    be set back between two starts, the later time need not be that of the later start."""
    sequence: int = 0
    """Number of the entry among those written since the start."""
