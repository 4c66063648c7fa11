"""
Decide when to hedge and when to answer with the parts received: pure functions.

Load pattern: replicas pause for 200 to 300 ms every few seconds, so more than half of all queries
over 20 shards meet a pause. Waiting for its end misses the goal. Sending the part early to the
other replica costs one extra attempt for each late part.
"""

from __future__ import annotations

HEDGE_FACTOR = 1.1
"""Multiple of the 85th percentile of part latencies at which a part counts as late."""
HEDGE_MIN_MS = 8.0
"""One iteration of a busy event loop: a shorter delay is caused by this process."""
HEDGE_MAX_GOAL_SHARE = 0.36
"""Share of the goal after which a second attempt would finish too late to help."""
SECOND_ATTEMPT_FACTOR = 2.0
"""Multiple of its usual latency that a second attempt gets before the query answers without it."""
PARTIAL_GOAL_SHARE = 0.94
"""Share of the goal by which a query answers with the parts it has."""
PARTIAL_MARGIN_MS = 6.0
PARTIAL_MARGIN_PER_SHARD_MS = 0.03
"""Time from the decision to answer until the caller has the last byte, besides half a round trip
and the lag of the event loop: merging, and more packets the more shards the response names."""
LOOP_LAG_FACTOR = 2.0
"""Event loop iterations that a response waits for: one decides to answer, one writes it."""
DEFAULT_LOOP_LAG_MS = 5.0
"""Lag that is assumed until the event loop has been measured for long enough."""
MIN_GOAL_SHARE = 0.15
"""Minimum share of the goal that a query needs: with less, none of its parts is answered."""
LATE_ANSWER_SHARE = 0.5
"""Share of the goal for which a query that can't meet its goal anyway waits for all its parts."""
STUCK_AFTER_S = 0.7
"""Longer than a replica's pause (300 ms) and a slow part together: an attempt without a response by
then has a dead connection or replica."""

TIMER_EARLY_S = 0.001
"""The event loop's timers have a resolution of 1 ms and fire up to 0.5 ms early."""


def has_passed(deadline_s: float, now_s: float) -> bool:
    """Whether a deadline has passed, within the resolution of the event loop's timers."""
    return now_s >= deadline_s - TIMER_EARLY_S


def hedge_after_ms(slow_ms: float | None, goal_ms: float) -> float:
    """
    Return the age at which a part counts as late and may be sent to a second replica.

    :param slow_ms: 85th percentile of recent part latencies; ``None`` if there are too few
    """
    latest_ms = HEDGE_MAX_GOAL_SHARE * goal_ms
    if slow_ms is None:
        return latest_ms
    return min(max(HEDGE_FACTOR * slow_ms, HEDGE_MIN_MS), latest_ms)


def deferred_hedge_ms(late_after_ms: float, left_ms: float, second_attempt_ms: float) -> float:
    """
    Return the age at which a late part of a query is sent to a second replica.

    The hedge is deferred as long as the second attempt still gets twice its usual latency. Most
    late parts are answered by then, and hedging them early would only add load and traffic between
    regions.

    :param late_after_ms: age at which the part counts as late
    :param left_ms: time from sending the part until the query answers
    :param second_attempt_ms: usual latency of the second replica
    """
    return max(late_after_ms, left_ms - SECOND_ATTEMPT_FACTOR * second_attempt_ms)


def answer_after_ms(
    goal_ms: float, response_latency_ms: float, shards: int, lag_ms: float | None
) -> float:
    """
    Return the age at which a query that has enough parts answers without the others.

    One missing shard of 90 costs the caller little; a late response costs it nearly everything.

    :param response_latency_ms: half a round trip to the caller
    :param shards: number of shards that the query covers
    :param lag_ms: delay of a slow event loop iteration; ``None`` if it is not known yet
    """
    lag_ms = DEFAULT_LOOP_LAG_MS if lag_ms is None else lag_ms
    margin_ms = PARTIAL_MARGIN_MS + PARTIAL_MARGIN_PER_SHARD_MS * shards + LOOP_LAG_FACTOR * lag_ms
    latest_ms = goal_ms - response_latency_ms - margin_ms
    return max(min(PARTIAL_GOAL_SHARE * goal_ms, latest_ms), goal_ms / 2)
