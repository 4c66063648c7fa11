"""How requests ended, by organisation: the busiest ones separately, the others summed."""

from __future__ import annotations

import collections
from collections import abc

import attrs

from turmericlug.policy import heavy_hitters

SHOWN = 20
MONITORED = 5 * SHOWN
"""Five times as many as are shown, so that the counts of those shown are nearly complete: one is
replaced only while it has less than a hundredth of all requests."""
MAX_REASONS = 32
"""Reasons that are counted separately for one organisation."""
OTHER_REASONS = "refused.other"
SERVED = "served"


@attrs.define
class OrganisationCounts:
    """Counts of all requests since the start, in bounded memory; their sum is exact."""

    rest: collections.Counter[str] = attrs.field(factory=collections.Counter)
    """The counts of organisations that are not monitored any more."""
    _monitored: heavy_hitters.HeavyHitters[str] = attrs.field(
        factory=lambda: heavy_hitters.HeavyHitters(MONITORED)
    )
    _counts: dict[str, collections.Counter[str]] = attrs.field(factory=dict)

    def add(self, organisation: str, outcome: str, reason: str = "") -> None:
        """
        Count a request.

        :param outcome: ``answered``, ``partial``, ``refused``, ``failed`` or the like
        :param reason: the reason of a refusal; details after a comma or colon are not counted
        """
        dropped = self._monitored.add(organisation)
        if dropped is not None:
            self.rest += self._counts.pop(dropped, collections.Counter())
        counts = self._counts.setdefault(organisation, collections.Counter())
        name = SERVED if outcome in ("answered", "partial") else outcome
        if outcome == "refused":
            name = f"refused.{reason.partition(',')[0].partition(':')[0]}"
        counts[name if name in counts or len(counts) < MAX_REASONS else OTHER_REASONS] += 1

    def busiest(self) -> dict[str, collections.Counter[str]]:
        """Return the counts of the busiest organisations, in order."""
        return {name: self._counts[name] for name in self._monitored.most_frequent(SHOWN)}

    def others(self) -> collections.Counter[str]:
        """Return the summed counts of all other organisations."""
        shown = self.busiest()
        total = collections.Counter(self.rest)
        for name, counts in self._counts.items():
            if name not in shown:
                total += counts
        return total

    def of(self, organisation: str) -> abc.Mapping[str, int]:
        """Return the counts of one organisation; empty if it is not monitored."""
        return self._counts.get(organisation, collections.Counter())
