"""When a part is hedged, and when a query answers without it."""

from __future__ import annotations

import pytest

from turmericlug.direct import timing


@pytest.mark.parametrize(
    ("slow_ms", "goal_ms", "expected_ms"),
    [(None, 200.0, 72.0), (50.0, 300.0, 55.0), (1.0, 300.0, 8.0), (400.0, 300.0, 108.0)],
    ids=["no data", "late for a part", "minimum", "maximum"],
)
def test_hedge_age(slow_ms, goal_ms, expected_ms):
    assert timing.hedge_after_ms(slow_ms, goal_ms) == pytest.approx(expected_ms)


@pytest.mark.parametrize(
    ("goal_ms", "response_latency_ms", "shards", "lag_ms", "expected_ms"),
    [
        (300.0, 0.0, 20, 0.0, 282.0),
        (300.0, 12.0, 20, 0.0, 281.4),
        (120.0, 1.0, 20, None, 102.4),
        (165.0, 3.0, 90, 0.0, 153.3),
        (165.0, 3.0, 90, 9.0, 135.3),
        (165.0, 3.0, 90, 200.0, 82.5),
        (20.0, 0.0, 20, 5.0, 10.0),
    ],
)
def test_answer_age_leaves_time_for_the_response(
    goal_ms, response_latency_ms, shards, lag_ms, expected_ms
):
    """
    Guards against answers that just miss the goal. A query over 90 shards that waited until 15 ms
    before the goal sent a response of three packets from a machine with half a core, and one in
    nine reached the caller too late. With a responsive event loop, the same margin would leave out
    shards that still arrive in time.
    """
    age_ms = timing.answer_after_ms(goal_ms, response_latency_ms, shards, lag_ms)
    assert age_ms == pytest.approx(expected_ms)


@pytest.mark.parametrize(
    ("late_after_ms", "left_ms", "second_attempt_ms", "expected_ms"),
    [(20.0, 277.0, 67.0, 143.0), (20.0, 120.0, 39.0, 42.0), (20.0, 50.0, 39.0, 20.0)],
    ids=["ample time", "little time", "no time to defer"],
)
def test_a_hedge_is_deferred_while_a_second_attempt_still_fits(
    late_after_ms, left_ms, second_attempt_ms, expected_ms
):
    """
    Guards against needless hedges. Slightly late parts are answered without one; hedging them at
    once duplicated one attempt in eight, mostly between regions.
    """
    assert timing.deferred_hedge_ms(late_after_ms, left_ms, second_attempt_ms) == pytest.approx(
        expected_ms
    )
