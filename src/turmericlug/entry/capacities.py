"""The published capacities of all instances, as this instance knows them."""

from __future__ import annotations

import collections
from collections import abc

from turmericlug.entry import sliding_maximum
from turmericlug.policy import capacity as capacity_module
from turmericlug.telemetry import decisions


class Capacities:
    """The capacity of each instance, and what follows from them for placement and budgets."""

    def __init__(self, own_name: str, now_s: abc.Callable[[], float], window_s: float) -> None:
        """
        Start with this instance alone.

        :param window_s: time for which a removed instance still counts in shares
        """
        self._own_name = own_name
        self._now_s = now_s
        self._published: dict[str, float] = {own_name: capacity_module.DEFAULT}
        self._counts = collections.Counter(self._published.values())
        """Number of instances by capacity; machines are of few kinds."""
        self._totals = sliding_maximum.SlidingMaximum(window_s)
        self._uneven = sliding_maximum.SlidingMaximum(window_s)
        self.are_uneven = False
        """Whether instances differ so much that work is weighted."""

    def set_own(self, capacity: float) -> None:
        """Set the capacity of this instance, whatever an entry of an earlier start says."""
        self._set(self._own_name, capacity)

    def put(self, name: str, capacity: float) -> None:
        """Record the published capacity of another instance."""
        if name != self._own_name:
            self._set(name, capacity)

    def remove(self, name: str) -> None:
        """Remove another instance."""
        if name != self._own_name and name in self._published:
            self._record()
            self._forget(name)
            self._update()

    def of(self, name: str) -> float:
        """Return the capacity of an instance."""
        return self._published.get(name, capacity_module.DEFAULT)

    def weights(self, names: abc.Iterable[str]) -> dict[str, float]:
        """Return the weights for the placement of work among the named instances."""
        return capacity_module.weights({name: self.of(name) for name in names})

    def own_share(self) -> float | None:
        """
        Return this instance's share of the capacity of all instances.

        Instances that were removed recently still count, since they may go on for a while.

        :returns: ``None`` if work has not been weighted recently
        """
        now_s = self._now_s()
        if not (self.are_uneven or self._uneven.get(now_s)):
            return None
        total = max(self._total(), self._totals.get(now_s))
        return self._published[self._own_name] / total

    def _set(self, name: str, capacity: float) -> None:
        if self._published.get(name) != capacity:
            self._record()
            self._forget(name)
            self._published[name] = capacity
            self._counts[capacity] += 1
            self._update()

    def _forget(self, name: str) -> None:
        capacity = self._published.pop(name, None)
        if capacity is not None:
            self._counts[capacity] -= 1
            if not self._counts[capacity]:
                del self._counts[capacity]

    def _total(self) -> float:
        return sum(capacity * count for capacity, count in self._counts.items())

    def _update(self) -> None:
        were_uneven = self.are_uneven
        self.are_uneven = capacity_module.are_uneven(self._counts)
        self._record()
        if self.are_uneven != were_uneven:
            decisions.log(
                "capacity.weighted" if self.are_uneven else "capacity.not_weighted",
                smallest=min(self._counts),
                largest=max(self._counts),
                instances=len(self._published),
            )

    def _record(self) -> None:
        now_s = self._now_s()
        self._totals.add(now_s, self._total())
        self._uneven.add(now_s, int(self.are_uneven))
