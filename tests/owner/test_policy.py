from __future__ import annotations

import random

import attrs
import pytest

from turmericlug.owner import policy


@attrs.define
class Load:
    in_flight: int
    limit: float
    latency_ms: float = 0.0
    suspected: bool = False


@pytest.mark.parametrize(
    ("parts_ahead", "slots", "service_ms", "wait_ms"),
    [(0, 4, 10, 0), (3, 4, 10, 0), (4, 4, 10, 2.5), (11, 4, 10, 20), (3, 0, 10, 40)],
)
def test_predicted_wait(parts_ahead, slots, service_ms, wait_ms):
    assert policy.predicted_wait_ms(parts_ahead, slots, service_ms) == wait_ms


@pytest.mark.parametrize(
    ("remaining_ms", "wait_ms", "fits"), [(30, 20, True), (29, 20, False), (10, 0, True)]
)
def test_fits_deadline(remaining_ms, wait_ms, fits):
    assert policy.fits_deadline(remaining_ms, wait_ms, 10) is fits


@pytest.mark.parametrize(
    ("wait_ms", "remaining_ms", "probability"),
    [(0, 100, 0), (10, 100, 0), (22.5, 100, 0.5), (35, 100, 1), (0, 0, 1)],
)
def test_refusal_probability(wait_ms, remaining_ms, probability):
    assert policy.refusal_probability(wait_ms, 0, remaining_ms) == pytest.approx(
        probability, abs=0.01
    )


@pytest.mark.parametrize(
    ("loads", "selected"),
    [
        ([Load(2, 2), Load(2, 2)], None),
        ([Load(1, 2), Load(0, 2)], 1),
        ([Load(1, 2, 9), Load(1, 2, 3)], 1),
        ([Load(1, 1.9), Load(1, 2)], 1),
        ([Load(0, 2, suspected=True), Load(1, 2)], 1),
        ([Load(0, 2, suspected=True), Load(2, 2)], 0),
    ],
)
def test_least_loaded(loads, selected):
    result = policy.least_loaded(loads)
    assert result is (None if selected is None else loads[selected])


def test_budget_allows_its_share_of_extra_attempts():
    budget = policy.TokenBudget(0.05)
    allowed_count = 0
    for _ in range(10000):
        budget.deposit()
        allowed_count += budget.try_spend()
    assert 490 <= allowed_count <= 502


def test_budget_with_a_share_of_zero_allows_nothing():
    budget = policy.TokenBudget(0.0)
    assert not budget.try_spend()


def test_hedge_delay_falls_while_hedges_win_and_rises_while_they_lose():
    delay, rng = policy.HedgeDelay(), random.Random(1)
    for _ in range(1000):
        delay.record_result(won=rng.random() < 0.5)
    assert delay.factor < 1.2
    for _ in range(1000):
        delay.record_result(won=rng.random() < 0.02)
    assert delay.factor == delay.max_factor


def test_retry_delays_are_spread():
    rng = random.Random(1)
    delays_ms = [policy.retry_after_ms(100, rng) for _ in range(1000)]
    assert min(delays_ms) >= 50 and max(delays_ms) <= 151
    assert len(set(delays_ms)) > 80


def test_percentile_needs_twenty_durations():
    window = policy.DurationWindow()
    for duration_ms in range(19):
        window.add(duration_ms)
    assert window.percentile_ms(95) is None
    for duration_ms in range(200):
        window.add(duration_ms)
    assert 180 <= window.percentile_ms(95) <= 195


@pytest.mark.parametrize("limit", [1.0, 1.5, 2.0, 7.0])
def test_concurrency_limit_stays_within_bounds(limit):
    assert policy.decreased_limit(limit) >= 1.0
    assert limit < policy.increased_limit(limit, 8.0) <= 8.0
    assert policy.increased_limit(limit, limit) == limit
