"""
Which instances callers are told, so that each gets work by its capacity: pure functions of time.

The load pattern: callers keep an answer for two seconds, connect to a random address of it, and
close connections to addresses that the next answer omits. They thus divide their load equally among
the addresses, while machines differ by a factor of four. A small machine gets less only by being
named less often. If it were left out by its current load, all callers would leave and return
together; it is therefore left out by the clock and its capacity alone, and all instances give the
same answer.

Load only adds addresses: while a whole data centre is hot, some of the next one join its answers, a
few at a time. Callers keep their connections, and what they open moves gradually.
"""

from __future__ import annotations

import math
from collections import abc

import attrs

PERIOD_S = 10.0
"""Time in which each instance is named for its part once. The share of an instance is bounded over
any ten seconds, and over a whole period the parts are exact."""
MAX_SHARE_FACTOR = 1.25
"""Most work of an instance, as a multiple of its share by capacity. The bound is 1.3; the rest is
for callers that learn of a change up to two seconds late. With a smaller factor, callers would
close more connections, as more instances would have to be left out at times."""
MIN_NAMED = 2
"""A caller needs a second address when an instance fails."""
SPILL_RISE_PER_S = 0.1
SPILL_FALL_PER_S = 0.05
"""A caller asks every two seconds, so that each answer moves at most a fifth of what may spill. It
returns at half that speed, as a data centre that has just cooled would otherwise be hot again."""
MAX_SPILL_RATIO = 0.5
"""Most addresses of the next data centre for each of the own. With a third of the work moved, two
data centres are as loaded as if all callers used both; more would only add distance."""
MAX_UPDATE_S = 2.0
"""Longest time that counts between two questions. After a pause, the load is not known to have
lasted."""
_BISECTIONS = 60
_ROUNDING = 1e-9


def duty_cycles(capacities: abc.Mapping[str, float], max_named: int) -> dict[str, float]:
    """
    Return the part of the time for which each instance is to be named.

    If naming the largest instances all the time, and the others never, gives none of them more than
    ``MAX_SHARE_FACTOR`` of its share, this is done for as many as possible, as no caller then has
    to close a connection. Otherwise small instances are named for a part of each period.

    :param max_named: the largest number of addresses in an answer
    """
    total = sum(capacities.values())
    by_size = sorted(capacities, key=lambda name: (-capacities[name], name))
    for count in range(min(len(by_size), max_named), MIN_NAMED - 1, -1):
        smallest = capacities[by_size[count - 1]]
        if total <= MAX_SHARE_FACTOR * smallest * count:
            named = set(by_size[:count])
            return {name: float(name in named) for name in capacities}
    if not capacities:
        return {}
    factor = _duty_per_capacity(list(capacities.values()), max_named)
    return {name: min(factor * capacity, 1.0) for name, capacity in capacities.items()}


def _duty_per_capacity(capacities: list[float], max_named: int) -> float:
    """
    Return the duty cycle per capacity; no instance is named for more than all of the time.

    The more are named, the fewer connections callers close, but the more work small instances get.
    The number named is the largest within the bound, and a whole number, so that it is the same at
    any time. If it varied from two to three, an instance that is named while there are two would
    get half as much again.
    """
    total = sum(capacities)

    def named(factor: float) -> float:
        return sum(min(factor * capacity, 1.0) for capacity in capacities)

    most = 1 / min(capacities)
    factor = _largest(lambda factor: factor * total <= MAX_SHARE_FACTOR * named(factor), most)
    count = math.floor(named(factor) + _ROUNDING)
    count = min(max(count, MIN_NAMED), max_named, len(capacities))
    return _largest(lambda factor: named(factor) <= count - _ROUNDING, most)


def _largest(is_allowed: abc.Callable[[float], bool], high: float) -> float:
    """Return the largest allowed number up to a bound, given that all smaller ones are allowed."""
    low = 0.0
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        low, high = (middle, high) if is_allowed(middle) else (low, middle)
    return high


def named_at(cycles: abc.Mapping[str, float], now_s: float) -> list[str]:
    """
    Return the instances to name at a time, which is the same at all instances.

    The parts of the period follow each other in the order of names, so that the same number is
    named at any time.

    :param now_s: the time of day, as clocks of different instances agree on no other
    """
    phase = now_s / PERIOD_S % 1.0
    named = []
    start = 0.0
    for name in sorted(cycles):
        if cycles[name] >= 1.0 or (phase - start) % 1.0 < cycles[name]:
            named.append(name)
        start += cycles[name]
    missing = min(MIN_NAMED, len(cycles)) - len(named)
    if missing > 0:
        others = sorted(cycles.keys() - set(named), key=lambda name: (-cycles[name], name))
        named += others[:missing]
    return named


@attrs.define
class Spill:
    """How much of a data centre's work may go to the next one."""

    share: float = 0.0
    """From 0 to 1."""
    _updated_s: float = -math.inf

    def update(self, now_s: float, is_hot: bool) -> None:
        """
        Move the share towards 1 while the data centre is hot, otherwise towards 0.

        :param is_hot: whether the data centre is hot and the next one is not
        """
        elapsed_s = min(max(now_s - self._updated_s, 0.0), MAX_UPDATE_S)
        if math.isinf(self._updated_s):
            elapsed_s = 0.0
        self._updated_s = now_s
        change = SPILL_RISE_PER_S if is_hot else -SPILL_FALL_PER_S
        self.share = min(max(self.share + change * elapsed_s, 0.0), 1.0)

    def addresses(self, named: int) -> int:
        """
        Return how many addresses of the next data centre to add.

        :param named: number of addresses of the own one
        """
        return math.floor(self.share * MAX_SPILL_RATIO * named)
