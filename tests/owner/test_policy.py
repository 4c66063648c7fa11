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
    ("ahead", "slots", "service_ms", "wait_ms"),
    [(0, 4, 10, 0), (3, 4, 10, 0), (4, 4, 10, 2.5), (11, 4, 10, 20), (3, 0, 10, 40)],
)
def test_predicted_wait(ahead, slots, service_ms, wait_ms):
    assert policy.predicted_wait_ms(ahead, slots, service_ms) == wait_ms


@pytest.mark.parametrize(
    ("remaining_ms", "wait_ms", "admitted"), [(30, 20, True), (29, 20, False), (10, 0, True)]
)
def test_admits(remaining_ms, wait_ms, admitted):
    assert policy.admits(remaining_ms, wait_ms, 10) is admitted


@pytest.mark.parametrize(
    ("wait_ms", "remaining_ms", "share"),
    [(0, 100, 0), (10, 100, 0), (22.5, 100, 0.5), (35, 100, 1), (0, 0, 1)],
)
def test_refuse_share(wait_ms, remaining_ms, share):
    assert policy.refuse_share(wait_ms, 0, remaining_ms) == pytest.approx(share, abs=0.01)


@pytest.mark.parametrize(
    ("loads", "chosen"),
    [
        ([Load(2, 2), Load(2, 2)], None),
        ([Load(1, 2), Load(0, 2)], 1),
        ([Load(1, 2, 9), Load(1, 2, 3)], 1),
        ([Load(1, 1.9), Load(1, 2)], 1),
        ([Load(0, 2, suspected=True), Load(1, 2)], 1),
        ([Load(0, 2, suspected=True), Load(2, 2)], 0),
    ],
)
def test_choose(loads, chosen):
    found = policy.choose(loads)
    assert found is (None if chosen is None else loads[chosen])


def test_budget_keeps_to_its_share():
    budget = policy.Budget(0.05)
    spent = 0
    for _ in range(10000):
        budget.earn()
        spent += budget.spend()
    assert 490 <= spent <= 502


def test_budget_of_zero_allows_nothing():
    budget = policy.Budget(0.0)
    assert not budget.spend()


def test_hedge_clock_balances_at_one_in_six():
    clock, rng = policy.HedgeClock(), random.Random(1)
    for _ in range(1000):
        clock.learn(won=rng.random() < 0.5)
    assert clock.factor < 1.2
    for _ in range(1000):
        clock.learn(won=rng.random() < 0.02)
    assert clock.factor == clock.most


def test_come_back_spreads():
    rng = random.Random(1)
    times = [policy.come_back_ms(100, rng) for _ in range(1000)]
    assert min(times) >= 50 and max(times) <= 151
    assert len(set(times)) > 80


def test_percentile_needs_enough_times():
    times = policy.DurationWindow()
    for number in range(19):
        times.add(number)
    assert times.percentile_ms(95) is None
    for number in range(200):
        times.add(number)
    assert 180 <= times.percentile_ms(95) <= 195


@pytest.mark.parametrize("limit", [1.0, 1.5, 2.0, 7.0])
def test_limit_moves_within_bounds(limit):
    assert policy.lowered_limit(limit) >= 1.0
    assert limit < policy.raised_limit(limit, 8.0) <= 8.0
    assert policy.raised_limit(limit, limit) == limit
