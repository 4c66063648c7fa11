"""Which instances a caller should connect to."""

from __future__ import annotations

from collections import abc

import attrs

from turmericlug.entry import source
from turmericlug.entry import view as view_module

LIFETIME_S = 2.0
"""How long callers keep the addresses: an instance that leaves goes on serving for a multiple."""
ENOUGH = 2
"""With two addresses a caller whose instance fails has another one to go to."""
MOST = 64

Instances = list[source.EntryInstance]


@attrs.define
class Directory:
    """Tells addresses from the view; the nearest instances first."""

    view: view_module.View
    own_name: str = ""
    leaving: abc.Callable[[], bool] = lambda: False
    """Whether this instance leaves: callers are told the others then, as all others tell them."""
    lifetime_s: float = LIFETIME_S

    def addresses(self, region: str, data_centre: str, host: str = "") -> list[str]:
        """
        Return addresses for a caller.

        All instances of its data centre, if there are enough for a second choice; else those of its
        region, else of all: an answer that crosses regions is late, but none is worse. Where routes
        of the host are bound to regions, only those and the caller's own count as all.
        """
        known = self.view.instances.values()
        others = [each for each in known if not (self.leaving() and each.name == self.own_name)]
        instances = sorted(others or known, key=lambda each: each.name)
        near = [each for each in instances if each.data_centre == data_centre]
        same_region = [each for each in instances if each.region == region]
        anywhere = self._allowed(instances, region, host) or instances
        for candidates in (near, same_region):
            if len(candidates) >= ENOUGH:
                return _addresses(candidates)
        return _addresses(anywhere)

    def _allowed(self, instances: Instances, region: str, host: str) -> Instances:
        """Return the instances that may get every request of a host from a region."""
        configuration = self.view.configuration
        bound = configuration.regions_of(host) if configuration is not None else None
        if bound is None:
            return instances
        return [each for each in instances if each.region in bound or each.region == region]


def _addresses(instances: Instances) -> list[str]:
    return [each.address for each in instances[:MOST]]
