"""
The capacity of an instance: one number that compares how much work instances can do.

The load pattern: machines of one deployment differ by a factor of four in processor, and by ten in
their links. If all get equal work, the small ones are overloaded while the large ones are idle,
and a query over all shards is as slow as the slowest instance that sends a part of it. Callers need
each instance to get work in proportion to the resource that it runs out of first.

The unit is a machine with one core. The other resources count by what accompanies the work of one
core in measured days, so that they only matter where they are scarcer than the processor.
"""

from __future__ import annotations

import math
from collections import abc

import attrs

DEFAULT = 1.0
"""Capacity of an instance that publishes none."""
MINIMUM, MAXIMUM = 1 / 16, 16.0
"""Bounds of a published capacity. A machine with a sixteenth of a core hardly serves, and a false
value can't attract more than sixteen times the usual work."""
LINK_MBPS_PER_CORE = 10.0
"""A core makes 2,700 sends a second of 0.3 to 0.7 kB each, 6 to 16 Mbit/s."""
BASE_MEMORY_MB = 60.0
"""Twice the memory of an instance without open requests, which takes 17 to 30 MB."""
MEMORY_MB_PER_CORE = 60.0
"""Messages of the requests that a core has in progress at its deadline of some seconds."""
BASE_DESCRIPTORS = 900
DESCRIPTORS_PER_CORE = 1000
"""Connections of callers. Those to replicas and files, the base, do not grow with the work."""
UNEVEN_RATIO = 1.5
"""Ratio of the largest to the smallest capacity from which work is weighted. With less, equal
shares exceed the smallest instance's share by capacity by less than half."""
_SIGNIFICANT_DIGITS = 3
_STEPS_PER_DOUBLING = 2


@attrs.frozen
class Resources:
    """What a machine has; 0 stands for unknown."""

    cores: float = 0.0
    """Share of a core times the core's relative speed."""
    memory_mb: float = 0.0
    link_mbps: float = 0.0
    descriptors: int = 0


def measure(resources: Resources) -> float:
    """Return the capacity of a machine, ``DEFAULT`` if its processor is unknown."""
    if not resources.cores:
        return DEFAULT
    limits = [resources.cores]
    if resources.link_mbps:
        limits.append(resources.link_mbps / LINK_MBPS_PER_CORE)
    if resources.memory_mb:
        limits.append((resources.memory_mb - BASE_MEMORY_MB) / MEMORY_MB_PER_CORE)
    if resources.descriptors:
        limits.append((resources.descriptors - BASE_DESCRIPTORS) / DESCRIPTORS_PER_CORE)
    bounded = min(max(min(limits), MINIMUM), MAXIMUM)
    return float(f"{bounded:.{_SIGNIFICANT_DIGITS}g}")


def are_uneven(capacities: abc.Collection[float]) -> bool:
    """Whether capacities differ so much that work is weighted by them."""
    return bool(capacities) and max(capacities) >= UNEVEN_RATIO * min(capacities)


def weights(capacities: abc.Mapping[str, float]) -> dict[str, float]:
    """
    Return the weight of each instance among the given ones; 1 for all if they are about equal.

    Weights are rounded to powers of the square root of two, so that machines of one kind have equal
    weights although the speed of their cores varies.
    """
    if not are_uneven(capacities.values()):
        return dict.fromkeys(capacities, 1.0)
    return {name: _round_to_step(capacity) for name, capacity in capacities.items()}


def _round_to_step(capacity: float) -> float:
    return 2.0 ** (round(_STEPS_PER_DOUBLING * math.log2(capacity)) / _STEPS_PER_DOUBLING)
