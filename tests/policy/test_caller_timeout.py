"""Estimate of the time that a caller had spent before it sent its request."""

from __future__ import annotations

import math

import pytest

from turmericlug.policy import caller_timeout


@pytest.mark.parametrize(
    ("stated_ms", "remaining_ms", "spent_ms"),
    [
        pytest.param([800.0] * 6, 800.0, 0.0, id="sent at once"),
        pytest.param([800.0] * 6, 786.0, 14.0, id="addresses were looked up"),
        pytest.param([800.0, 793.0, 786.0, 800.0, 793.0, 800.0], 793.0, 7.0, id="connected"),
        pytest.param([786.0] * 3 + [800.0] * 3, 786.0, 14.0, id="the largest frequent value"),
        pytest.param([800.0] * 2, 786.0, 0.0, id="too few samples"),
        pytest.param([], 786.0, 0.0, id="no samples yet"),
        pytest.param([600.0] * 6 + [5000.0], 586.0, 14.0, id="one caller with its own timeout"),
        pytest.param(
            [800.0 - 3 * n for n in range(60)], 700.0, 0.0, id="each caller has its own timeout"
        ),
        pytest.param([800.0] * 6, 485.0, 0.0, id="refused before"),
        pytest.param([800.0] * 6, 900.0, 0.0, id="more than the others"),
        pytest.param([math.inf] * 6, 786.0, 0.0, id="no request states a time"),
        pytest.param([800.0] * 6, math.inf, 0.0, id="the request itself states none"),
        pytest.param([800.0] * 20 + [600.0] * 64, 586.0, 14.0, id="callers changed their timeout"),
    ],
)
def test_spent_time(stated_ms, remaining_ms, spent_ms):
    times = caller_timeout.RemainingTimes()
    for sample_ms in stated_ms:
        times.add(sample_ms)
    assert times.spent_ms(remaining_ms, 84.0) == spent_ms


@pytest.mark.parametrize(
    ("stated_ms", "remaining_ms", "spent_ms"),
    [([], 786.0, 14.0), ([793.0] * 2, 793.0, 7.0), ([786.0] * 3, 786.0, 0.0), ([], 900.0, 0.0)],
    ids=["first caller", "few samples", "enough samples", "more than the default"],
)
def test_the_default_is_used_until_there_are_enough_samples(stated_ms, remaining_ms, spent_ms):
    times = caller_timeout.RemainingTimes()
    for sample_ms in stated_ms:
        times.add(sample_ms)
    assert times.spent_ms(remaining_ms, 84.0, default_ms=800.0) == spent_ms


def test_only_the_latest_samples_are_kept():
    times = caller_timeout.RemainingTimes()
    for number in range(1000):
        times.add(number)
    assert len(times._latest) == len(times._counts) == caller_timeout.MAX_SAMPLES
