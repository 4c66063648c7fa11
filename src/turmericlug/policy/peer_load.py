"""
Which of a few instances gets a batch, by the load that they report: pure decisions.

The load pattern: one of a shard's two owners is slow, because its machine is small, lent out or
busy with a configuration, and every query waits for it until its batches count as lost. Reports of
load arrive with answers, up to a second old and at every instance at another time. If all instances
turned to the owner that looked better, they would overload it and return together.

So work is divided in proportion: a report changes an owner's part, more so the further the reports
are apart, but as long as none is hot, each keeps some and goes on reporting. Only a hot one gets
nothing. When its report is a second old, it gets a single batch, whose answer tells if it is still
hot. If all instances gave it its whole part at once, it would be hot again before the first answer.
"""

from __future__ import annotations

import random
from collections import abc

import attrs

from turmericlug.policy import capacity as capacity_module

MAX_AGE_S = 1.0
"""An older report counts as none: a pause of an instance lasts a fraction of a second."""
LAG_FACTOR = 2.0
"""A batch and its answer each wait for an iteration of the event loop."""
ACTIVE_MS = 1.5
"""Work left of a batch or query in progress, on one core: its parts mostly wait for replicas."""
QUEUED_MS = 1.0
"""Work for a waiting part, on one core: its send and its answer, with a reserve."""
HOT_MS = 40.0
"""Delay from which an instance is hot: more than a third of the tightest goal, 107 ms, of which the
replicas and the way to them take the larger part."""
COOL_MS = 20.0
"""Delay below which it is no longer hot. The gap is larger than what a single batch adds."""
SMOOTHING = 0.5
"""Weight of a new report: about the last three count, so that one late tick decides nothing."""
DAMPING_MS = 20.0
"""Delay that leaves an instance a quarter of its part. Small differences, which the next report may
reverse, hardly matter."""
MIN_REPORTS = 2
"""Instances of a data centre that must be known to tell whether it is hot; one may be an
exception."""


def delay_ms(lag_ms: float, active: int, queued: int, capacity: float) -> float:
    """
    Return the delay that an instance adds to a batch, by its report.

    :param capacity: its published capacity; its lag shows if that is wrong
    """
    bounded = min(max(capacity, capacity_module.MINIMUM), capacity_module.MAXIMUM)
    return LAG_FACTOR * lag_ms + (ACTIVE_MS * active + QUEUED_MS * queued) / bounded


@attrs.frozen
class Signal:
    """What the reports of an instance say, at the time of the last one."""

    delay_ms: float
    is_hot: bool
    at_s: float

    def is_fresh(self, now_s: float) -> bool:
        """Whether it counts."""
        return now_s - self.at_s <= MAX_AGE_S

    def updated(self, delay_ms: float, now_s: float) -> Signal:
        """Return the signal with another report."""
        if not self.is_fresh(now_s):
            return first_signal(delay_ms, now_s)
        smoothed_ms = self.delay_ms + SMOOTHING * (delay_ms - self.delay_ms)
        return Signal(smoothed_ms, smoothed_ms >= (COOL_MS if self.is_hot else HOT_MS), now_s)


def first_signal(delay_ms: float, now_s: float) -> Signal:
    """Return the signal of a single report."""
    return Signal(delay_ms, delay_ms >= HOT_MS, now_s)


@attrs.frozen
class Candidate:
    """An instance that may get a batch."""

    name: str
    weight: float
    signal: Signal | None = None
    """``None`` if there is no fresh one."""
    on_trial: bool = False
    """Whether its last report, which is too old, was hot, and a batch to it is in flight."""

    @property
    def is_hot(self) -> bool:
        """Whether it is known to be hot, or has yet to show that it is not."""
        return self.on_trial or (self.signal is not None and self.signal.is_hot)


def choose(candidates: abc.Sequence[Candidate], rng: random.Random) -> Candidate:
    """
    Choose the instance that gets a batch.

    Hot instances are passed over unless all are hot. Among more than two, two are drawn by weight;
    of two with reports, the one with less delay gets the larger part. Without reports, and if all
    are hot, the weights alone decide.
    """
    cool = [candidate for candidate in candidates if not candidate.is_hot]
    if not cool:
        return _draw(candidates, [candidate.weight for candidate in candidates], rng)
    while len(cool) > 2:
        cool = _draw_two(cool, rng)
    parts = [candidate.weight for candidate in cool]
    signals = [candidate.signal for candidate in cool if candidate.signal is not None]
    if len(signals) == len(cool):
        parts = [
            part * (DAMPING_MS / (DAMPING_MS + signal.delay_ms)) ** 2
            for part, signal in zip(parts, signals, strict=True)
        ]
    return _draw(cool, parts, rng)


def _draw_two(candidates: abc.Sequence[Candidate], rng: random.Random) -> list[Candidate]:
    first = _draw(candidates, [candidate.weight for candidate in candidates], rng)
    others = [candidate for candidate in candidates if candidate is not first]
    return [first, _draw(others, [candidate.weight for candidate in others], rng)]


def _draw(
    candidates: abc.Sequence[Candidate], parts: abc.Sequence[float], rng: random.Random
) -> Candidate:
    return rng.choices(candidates, parts)[0]


def is_hot(signals: abc.Collection[Signal]) -> bool | None:
    """Return whether most of a data centre's instances are hot; ``None`` if too few are known."""
    if len(signals) < MIN_REPORTS:
        return None
    return sum(signal.is_hot for signal in signals) > len(signals) / 2
