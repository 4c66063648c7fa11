"""Directory of the entry instances that a caller should connect to."""

from __future__ import annotations

from collections import abc

import attrs

from turmericlug.entry import source
from turmericlug.entry import view as view_module

LIFETIME_S = 2.0
"""Time for which callers cache the addresses; a draining instance serves several times as long."""
MIN_ADDRESSES = 2
"""With two addresses, a caller can fail over when one instance fails."""
MAX_ADDRESSES = 64

Instances = list[source.EntryInstance]


@attrs.define
class Directory:
    """Selects the addresses for a caller from the instances in the view."""

    view: view_module.View
    own_name: str = ""
    is_draining: abc.Callable[[], bool] = lambda: False
    """Whether this instance is draining; it then omits itself, as the other instances do."""
    lifetime_s: float = LIFETIME_S

    def addresses(self, region: str, data_centre: str, host: str = "") -> list[str]:
        """
        Return the addresses of the instances that a caller may connect to.

        These are the instances of its data centre if there are enough for a failover, otherwise
        those of its region, otherwise all, since an answer from another region is late but better
        than none. If the host's routes are restricted to regions, the last choice is limited to the
        instances of these regions and of the caller's own.
        """
        all_instances = self.view.instances.values()
        others = [
            instance
            for instance in all_instances
            if not (self.is_draining() and instance.name == self.own_name)
        ]
        instances = sorted(others or all_instances, key=lambda instance: instance.name)
        same_data_centre = [
            instance for instance in instances if instance.data_centre == data_centre
        ]
        same_region = [instance for instance in instances if instance.region == region]
        anywhere = self._in_allowed_regions(instances, region, host) or instances
        for candidates in (same_data_centre, same_region):
            if len(candidates) >= MIN_ADDRESSES:
                return _addresses(candidates)
        return _addresses(anywhere)

    def _in_allowed_regions(self, instances: Instances, region: str, host: str) -> Instances:
        """Return the instances allowed to receive all requests for a host from a region."""
        configuration = self.view.configuration
        allowed = configuration.regions_of(host) if configuration is not None else None
        if allowed is None:
            return instances
        return [
            instance
            for instance in instances
            if instance.region in allowed or instance.region == region
        ]


def _addresses(instances: Instances) -> list[str]:
    return [instance.address for instance in instances[:MAX_ADDRESSES]]
