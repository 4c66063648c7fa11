"""Which requests an instance that leaves still takes, given that it exits at a known time."""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class Limits:
    """Times until which a leaving instance takes requests of one kind that it may cut off."""

    until_s: float = math.inf
    """For requests that will probably be answered before the exit, or of which nothing is known."""
    long_until_s: float = math.inf
    """For requests that usually take longer than until the exit."""
    exits_at_s: float = math.inf


def takes(limits: Limits, deadline_s: float, usual_s: float | None, now_s: float) -> bool:
    """
    Decide whether to take a request.

    One with a deadline before the exit is always taken: there is time to answer it, and if it were
    refused, it would be answered late after a retry.

    :param usual_s: how long such requests take at most, usually; ``None`` if that is not known
    """
    if deadline_s <= limits.exits_at_s:
        return True
    is_long = usual_s is not None and now_s + usual_s > limits.exits_at_s
    return now_s < (min(limits.until_s, limits.long_until_s) if is_long else limits.until_s)
