"""
When to send a second time and when to answer with what is there: pure functions.

The load pattern: replicas pause for 200 to 300 ms each few seconds, so that more than half of all
queries over 20 shards meet a pause. Waiting for it misses the goal; sending the part to the other
replica early costs one extra send for each part that is late.
"""

from __future__ import annotations

HEDGE_FACTOR = 1.1
"""Multiple of the usual slow part (85th percentile) at which a part counts as late."""
HEDGE_AT_LEAST_MS = 8.0
"""A turn of a busy event loop: below it, lateness is our own."""
HEDGE_LATEST_SHARE = 0.36
"""Share of the goal after which a second send would come back too late to help."""
SECOND_FACTOR = 2.0
"""Multiple of its usual time that a second send is given before the query answers without it."""
PARTIAL_SHARE = 0.94
"""Share of the goal at which a query answers with the parts it has, at the latest."""
PARTIAL_MARGIN_MS = 6.0
PARTIAL_MARGIN_PER_SHARD_MS = 0.03
"""What an answer needs from its decision to the caller's last byte, besides half a round trip and
the lag of the event loop: the merge, and more packets the more shards are named."""
LAG_FACTOR = 2.0
"""Turns of the event loop that an answer waits for: the one that decides, the one that writes."""
UNKNOWN_LAG_MS = 5.0
"""Lag of an event loop that has not been watched for long enough."""
MIN_GOAL_SHARE = 0.15
"""Share of the goal that a query needs at least: less has none of its parts answered."""
LATE_ANSWER_SHARE = 0.5
"""Share of the goal for which a query that is late in any case waits for all its parts."""
STUCK_AFTER_S = 0.7
"""Longer than the pauses of replicas (300 ms) and a slow part together: what is silent beyond it is
a dead connection or replica, not a pause."""

TIMER_EARLY_S = 0.001
"""The event loop's timers count milliseconds and fire up to half of one early."""


def has_passed(deadline_s: float, now_s: float) -> bool:
    """Whether a deadline has passed, as far as the event loop's timers can tell."""
    return now_s >= deadline_s - TIMER_EARLY_S


def hedge_after_ms(slow_ms: float | None, goal_ms: float) -> float:
    """
    Return the age at which a part is sent to a second replica.

    :param slow_ms: 85th percentile of recent parts; ``None`` before there are enough
    """
    latest_ms = HEDGE_LATEST_SHARE * goal_ms
    if slow_ms is None:
        return latest_ms
    return min(max(HEDGE_FACTOR * slow_ms, HEDGE_AT_LEAST_MS), latest_ms)


def hedge_by_ms(late_ms: float, left_ms: float, second_ms: float) -> float:
    """
    Return the age at which a late part is sent to a second replica.

    As late as leaves the second send twice its usual time: most late parts come by themselves until
    then, and the second sends of an early hedge are load and bytes between regions for nothing.

    :param late_ms: the age at which the part counts as late
    :param left_ms: what was left until the query's answer when the part was sent
    :param second_ms: the usual time of the second replica
    """
    return max(late_ms, left_ms - SECOND_FACTOR * second_ms)


def answer_after_ms(goal_ms: float, way_back_ms: float, shards: int, lag_ms: float | None) -> float:
    """
    Return the age at which a query with enough parts answers without the others.

    A missing shard of 90 costs the caller little, a late answer nearly all.

    :param way_back_ms: half a round trip to the caller
    :param shards: how many the answer is made of
    :param lag_ms: how late a slow turn of the event loop is; ``None`` before that is known
    """
    lag_ms = UNKNOWN_LAG_MS if lag_ms is None else lag_ms
    margin_ms = PARTIAL_MARGIN_MS + PARTIAL_MARGIN_PER_SHARD_MS * shards + LAG_FACTOR * lag_ms
    latest_ms = goal_ms - way_back_ms - margin_ms
    return max(min(PARTIAL_SHARE * goal_ms, latest_ms), goal_ms / 2)
