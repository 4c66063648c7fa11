"""
Directory of the entry instances that a caller should connect to.

Where the machines of instances differ, a caller's answer names them by capacity, and while the
caller's data centre is hot, also some of the next data centre (``policy/balance.py``).
"""

from __future__ import annotations

import time
from collections import abc

import attrs

from turmericlug.direct import placement
from turmericlug.entry import source
from turmericlug.entry import view as view_module
from turmericlug.policy import balance
from turmericlug.policy import capacity
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

LIFETIME_S = 2.0
"""Time for which callers cache the addresses; a draining instance serves several times as long."""
MIN_ADDRESSES = 2
"""With two addresses, a caller can fail over when one instance fails."""
MAX_ADDRESSES = 64

MAX_CACHED_SETS = 16
"""Sets of instances whose duty cycles are kept: one for each data centre, and a change in each."""

Capacities = tuple[tuple[str, float], ...]
Instances = list[source.EntryInstance]


@attrs.define
class Directory:
    """Selects the addresses for a caller from the instances in the view."""

    view: view_module.View
    own_name: str = ""
    is_draining: abc.Callable[[], bool] = lambda: False
    """Whether this instance is draining; it then omits itself, as the other instances do."""
    lifetime_s: float = LIFETIME_S
    counters: counters_module.Counters = attrs.field(factory=counters_module.Counters)
    is_hot: abc.Callable[[str], bool | None] = lambda data_centre: None
    """Whether the instances of a data centre are hot; ``None`` if their load is not known."""
    time_of_day_s: abc.Callable[[], float] = time.time
    _cycles: dict[Capacities, dict[str, float]] = attrs.field(factory=dict)
    """The duty cycles of the latest sets of instances."""
    _spills: dict[str, balance.Spill] = attrs.field(factory=dict)

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
                break
        else:
            candidates = anywhere
        if not self.view.capacities.are_uneven:
            return _addresses(candidates)
        named = self._named_by_capacity(candidates)
        if candidates is same_data_centre:
            elsewhere = [
                instance for instance in same_region if instance.data_centre != data_centre
            ]
            named = named + self._spilled(data_centre, len(named), elsewhere)
        return _addresses(named)

    def _named_by_capacity(self, candidates: Instances) -> Instances:
        """Return the candidates that are to be named now; the same at all instances."""
        capacities = {instance.name: instance.capacity for instance in candidates}
        if not capacity.are_uneven(capacities.values()):
            return candidates
        key = tuple(sorted(capacities.items()))
        if key not in self._cycles:
            if len(self._cycles) >= MAX_CACHED_SETS:
                self._cycles.clear()
            cycles = self._cycles[key] = balance.duty_cycles(capacities, MAX_ADDRESSES)
            decisions.log(
                "directory.weighted",
                instances=len(cycles),
                always=sum(part >= 1.0 for part in cycles.values()),
                never=sum(part <= 0.0 for part in cycles.values()),
            )
        names = set(balance.named_at(self._cycles[key], self.time_of_day_s()))
        if len(names) < len(candidates):
            self.counters.add("directory.omitted", len(candidates) - len(names))
        return [instance for instance in candidates if instance.name in names]

    def _spilled(self, data_centre: str, named: int, elsewhere: Instances) -> Instances:
        """
        Return instances of the next data centre of the region to add while this one is hot.

        Another region is further than the tightest goals allow: a round trip there takes a quarter
        of them, and the parts of a query take another.
        """
        others = {instance.data_centre for instance in elsewhere}
        cool = [other for other in sorted(others) if not self.is_hot(other)]
        spill = self._spills.setdefault(data_centre, balance.Spill())
        before = spill.share
        spill.update(self.time_of_day_s(), bool(cool and self.is_hot(data_centre)))
        if bool(before) != bool(spill.share):
            decisions.log("directory.spill", data_centre=data_centre, starts=bool(spill.share))
        count = spill.addresses(named)
        if not (count and others):
            return []
        # If the others have become hot too, what was added leaves as gradually as it came.
        (next_data_centre,) = placement.preferred(data_centre, cool or others, 1)
        by_name = {
            instance.name: instance
            for instance in elsewhere
            if instance.data_centre == next_data_centre
        }
        weights = self.view.capacities.weights(by_name)
        names = placement.preferred(data_centre, by_name, count, weights)
        self.counters.add("directory.spilled", len(names))
        return [by_name[name] for name in names]

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
