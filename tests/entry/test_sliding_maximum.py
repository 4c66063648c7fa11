"""The largest value of late."""

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
def test_as_all_values_of_the_window_would_tell(steps):
    """Whatever is noted and asked, in any rhythm, the answer is that of the plain definition."""
    maximum, noted, now_s = sliding_maximum.SlidingMaximum(WINDOW_S), [], 0.0
    for pause_s, value in steps:
        now_s += pause_s
        if value is not None:
            noted.append((now_s, value))
            maximum.add(now_s, value)
        plain = max((each for at_s, each in noted if at_s > now_s - WINDOW_S), default=0)
        assert maximum.get(now_s) == plain


@pytest.mark.parametrize(
    ("values", "held"),
    [
        pytest.param(range(1, 301), 1, id="all start together"),
        pytest.param([300] * 300, 1, id="entries are written again"),
        pytest.param([*range(1, 301), *range(299, 289, -1)], 11, id="some leave"),
    ],
)
def test_how_many_are_held(values, held):
    """
    Three hundred instances start, and for fifteen seconds each is slow to answer its callers: for
    every replica that it looks at it scans the three hundred counts noted since.
    """
    maximum = sliding_maximum.SlidingMaximum(WINDOW_S)
    for value in values:
        maximum.add(0.0, value)
    assert len(maximum) == held
    assert maximum.get(1.0) == 300
