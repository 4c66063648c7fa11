"""Organisations whose callers share the deployment, and the API keys that identify them."""

from __future__ import annotations

from collections import abc

import attrs

NO_PRIORITY = -1
"""Stands for an organisation without a priority of its own in messages between instances."""
RANKS_PER_PRIORITY = 256
"""Ranks within one priority of an organisation: route priorities are sent as 8-bit numbers."""


@attrs.frozen
class Organisation:
    """An organisation as the operators configure it."""

    name: str
    priority: int | None = None
    """0 is the most urgent; takes precedence over the route's. ``None``: the route's decides."""
    rate_per_s: float = 0.0
    """Quota of all instances together, in requests per second; 0: unlimited."""
    burst: float = 0.0
    """Requests that may exceed the rate at once."""
    regions: frozenset[str] | None = None
    """Requests go only to replicas and instances in these regions; ``None`` stands for all."""


@attrs.frozen
class Organisations:
    """All organisations of one configuration."""

    by_key: abc.Mapping[bytes, Organisation] = attrs.field(factory=dict, repr=False)
    """The organisation that holds each API key. Not printed, as API keys are secret."""
    is_complete: bool = True
    """Whether every entry could be read; otherwise an unknown API key may be valid."""

    @property
    def by_name(self) -> dict[str, Organisation]:
        """The organisations that hold at least one API key, by name."""
        return {organisation.name: organisation for organisation in self.by_key.values()}


def rank(organisation: Organisation | None, route_priority: int) -> int:
    """
    Return the position of a request in any queue; lower ranks go first.

    The organisation's priority decides, and among equal ones the route's.
    """
    if organisation is None:
        return route_priority
    priority = organisation.priority if organisation.priority is not None else route_priority
    return priority * RANKS_PER_PRIORITY + min(route_priority, RANKS_PER_PRIORITY - 1)
