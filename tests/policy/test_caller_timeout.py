"""How much of a caller's time was gone before its request was sent."""

from __future__ import annotations

import math

import pytest

from turmericlug.policy import caller_timeout


@pytest.mark.parametrize(
    ("stated_ms", "left_ms", "spent_ms"),
    [
        pytest.param([800.0] * 6, 800.0, 0.0, id="sent at once"),
        pytest.param([800.0] * 6, 786.0, 14.0, id="addresses were looked up"),
        pytest.param([800.0, 793.0, 786.0, 800.0, 793.0, 800.0], 793.0, 7.0, id="connected"),
        pytest.param([786.0] * 3 + [800.0] * 3, 786.0, 14.0, id="the largest that many state"),
        pytest.param([800.0] * 2, 786.0, 0.0, id="too few"),
        pytest.param([], 786.0, 0.0, id="nothing stated yet"),
        pytest.param([600.0] * 6 + [5000.0], 586.0, 14.0, id="one with a time of its own"),
        pytest.param([800.0 - 3 * n for n in range(60)], 700.0, 0.0, id="each has its own time"),
        pytest.param([800.0] * 6, 485.0, 0.0, id="refused before"),
        pytest.param([800.0] * 6, 900.0, 0.0, id="more than the others"),
        pytest.param([math.inf] * 6, 786.0, 0.0, id="nobody states a time"),
        pytest.param([800.0] * 6, math.inf, 0.0, id="states none itself"),
        pytest.param([800.0] * 20 + [600.0] * 64, 586.0, 14.0, id="callers changed their time"),
    ],
)
def test_what_is_gone(stated_ms, left_ms, spent_ms):
    stated = caller_timeout.RemainingTimes()
    for each in stated_ms:
        stated.add(each)
    assert stated.spent_ms(left_ms, 84.0) == spent_ms


@pytest.mark.parametrize(
    ("stated_ms", "left_ms", "spent_ms"),
    [([], 786.0, 14.0), ([793.0] * 2, 793.0, 7.0), ([786.0] * 3, 786.0, 0.0), ([], 900.0, 0.0)],
    ids=["first caller", "few", "callers have said so", "more than the guess"],
)
def test_a_guess_until_callers_have_said_what_they_have(stated_ms, left_ms, spent_ms):
    stated = caller_timeout.RemainingTimes()
    for each in stated_ms:
        stated.add(each)
    assert stated.spent_ms(left_ms, 84.0, guess_ms=800.0) == spent_ms


def test_the_latest_are_kept():
    stated = caller_timeout.RemainingTimes()
    for number in range(1000):
        stated.add(number)
    assert len(stated._latest) == len(stated._counts) == caller_timeout.KEPT
