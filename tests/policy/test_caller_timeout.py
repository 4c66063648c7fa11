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


@pytest.mark.parametrize(
    ("value", "remaining_ms"),
    [
        (None, math.inf),
        (b"", math.inf),
        (b"250", 250.0),
        (b"0.5", 0.5),
        (b"-1", 0.0),
        (b"nan", math.inf),
        (b"1_0", math.inf),
        (b"0x10", math.inf),
        (b"9" * 5000, math.inf),
    ],
)
def test_remaining_time_that_a_caller_states(value, remaining_ms):
    """A header of 1_0 was read as 10 ms, and the request failed after them."""
    assert caller_timeout.parse_remaining_ms(value) == remaining_ms
