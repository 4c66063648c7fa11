"""The maximum over a sliding window."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.entry import sliding_maximum

WINDOW_S = 15.0
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 9.0), strategies.one_of(strategies.none(), strategies.integers(0, 9))
    )
)


@hypothesis.settings(derandomize=True)
@hypothesis.given(_STEPS)
def test_equals_the_maximum_of_all_values_in_the_window(steps):
    """For any sequence and timing of calls, the result equals the plain definition's."""
    maximum, added, now_s = sliding_maximum.SlidingMaximum(WINDOW_S), [], 0.0
    for pause_s, value in steps:
        now_s += pause_s
        if value is not None:
            added.append((now_s, value))
            maximum.add(now_s, value)
        expected = max(
            (added_value for at_s, added_value in added if at_s > now_s - WINDOW_S), default=0
        )
        assert maximum.get(now_s) == expected


@pytest.mark.parametrize(
    ("values", "held"),
    [
        pytest.param(range(1, 301), 1, id="all start together"),
        pytest.param([300] * 300, 1, id="entries are written again"),
        pytest.param([*range(1, 301), *range(299, 289, -1)], 11, id="some leave"),
    ],
)
def test_number_of_values_held(values, held):
    """
    Guards against slow answers for fifteen seconds after three hundred instances start: each
    instance scanned the three hundred recorded counts for every replica it considered.
    """
    maximum = sliding_maximum.SlidingMaximum(WINDOW_S)
    for value in values:
        maximum.add(0.0, value)
    assert len(maximum) == held
    assert maximum.get(1.0) == 300
