"""Distribution of a route's requests over its services by weight."""

from __future__ import annotations

import random

import attrs

from turmericlug.direct import routes

MAX_KNOWN = 1024
"""Lists of weighted services that are kept; each change of a weight begins a new one."""


@attrs.define
class WeightedRoundRobin:
    """Distributes the requests of a route over its services in proportion to their weights."""

    _deficits: dict[tuple[routes.WeightedService, ...], list[float]] = attrs.field(factory=dict)

    def pick(self, route: routes.Route, rng: random.Random) -> str:
        """
        Return the service that is furthest behind its share.

        With a random choice, the shares of a few hundred requests are off by several percentage
        points.
        """
        services = route.services
        if len(services) == 1:
            return services[0].service
        total = sum(weighted.weight for weighted in services)
        deficits = self._deficits.get(services)
        if deficits is None:
            if len(self._deficits) >= MAX_KNOWN:
                del self._deficits[next(iter(self._deficits))]
            # Random initial deficits keep all instances from choosing the same service first.
            deficits = self._deficits[services] = [
                rng.random() * weighted.weight / total for weighted in services
            ]
        for index, weighted in enumerate(services):
            deficits[index] += weighted.weight / total
        chosen = max(range(len(services)), key=lambda index: deficits[index])
        deficits[chosen] -= 1.0
        return services[chosen].service
