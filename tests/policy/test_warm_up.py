"""Rate at which all instances together send to a cold replica."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.policy import warm_up

OVERAGE, SLACK = 1.5, 5
"""Load that replicas tolerate: this multiple of the stated rate plus so many requests a second."""


def simulate_arrivals(instances, rate_per_s, demand_per_s, seed, burst_at_s=1.0, cold_s=6.0):
    """Simulate instances that all have requests to send; returns the times of the sends."""
    rng = random.Random(seed)
    shares = [
        warm_up.Share(rate_per_s, instances, warm_up.phase_of(f"e-{number}", f"i-{seed}"))
        for number in range(instances)
    ]
    cold_since_s = [rng.uniform(0, 1.2) for _ in range(instances)]
    last_sent_s = [float("-inf")] * instances
    steady = [rng.uniform(0, cold_s) for _ in range(int(demand_per_s * cold_s))]
    burst = [burst_at_s + rng.uniform(0, 0.2) for _ in range(2 * instances)]
    sent_s = []
    for now_s in sorted(steady + burst):
        number = rng.randrange(instances)
        if now_s >= cold_since_s[number] and shares[number].allows(
            cold_since_s[number], last_sent_s[number], now_s
        ):
            last_sent_s[number] = now_s
            sent_s.append(now_s)
    return sent_s


def max_per_second(sent_s):
    return max(
        (sum(first <= sent_at_s < first + 1 for sent_at_s in sent_s) for first in sent_s), default=0
    )


@pytest.mark.parametrize("instances", [2, 7, 87, 195])
@pytest.mark.parametrize("rate_per_s", [1.0, 4.0, 20.0, 100.0])
@pytest.mark.parametrize("seed", range(8))
def test_cold_replicas_are_not_overloaded_at_peak(instances, rate_per_s, seed):
    """Every instance sent to each replica of a data centre that had restarted cold."""
    sent_s = simulate_arrivals(instances, rate_per_s, demand_per_s=400.0, seed=seed)
    assert max_per_second(sent_s) <= rate_per_s * OVERAGE + SLACK


@pytest.mark.parametrize("instances", [7, 87, 195])
@pytest.mark.parametrize("seed", range(8))
def test_unused_slots_of_an_idle_period_cause_no_burst(instances, seed):
    """Sends that instances had saved up while idle arrived at a cold replica in one second."""
    sent_s = simulate_arrivals(instances, 8.0, 0.0, seed, burst_at_s=25.0, cold_s=30.0)
    assert max_per_second(sent_s) <= 8.0 * OVERAGE + SLACK


@pytest.mark.parametrize(("instances", "rate_per_s"), [(2, 4.0), (7, 20.0), (87, 20.0)])
def test_a_cold_replica_receives_requests(instances, rate_per_s):
    sent_s = simulate_arrivals(instances, rate_per_s, demand_per_s=2000.0, seed=3)
    assert len(sent_s) >= 6 * rate_per_s * 0.25


@pytest.mark.parametrize(
    ("share", "allowed"),
    [(warm_up.UNLIMITED, True), (warm_up.Share(5.0, senders=0), False)],
    ids=["no rate is stated", "not among the senders"],
)
def test_unlimited_and_excluded_instances(share, allowed):
    assert share.allows(0.0, 0.0, 0.1) is allowed


@hypothesis.given(
    rate_per_s=strategies.floats(0.5, 1000),
    senders=strategies.integers(1, 200),
    phase=strategies.floats(0, 1),
    pauses_s=strategies.lists(strategies.floats(0, 3), min_size=2, max_size=60),
)
def test_unused_slots_are_lost(rate_per_s, senders, phase, pauses_s):
    """Slots that were saved for later led to a burst of requests after a pause."""
    share = warm_up.Share(rate_per_s, senders, phase)
    period_s = senders / (warm_up.RATE_UTILISATION * rate_per_s)
    now_s, last_sent_s, sent_s = 10.0, float("-inf"), []
    for pause_s in pauses_s:
        now_s += pause_s
        if share.allows(10.0, last_sent_s, now_s):
            last_sent_s = now_s
            sent_s.append(now_s)
    for first in sent_s:
        window = [sent_at_s for sent_at_s in sent_s if first <= sent_at_s < first + period_s]
        assert len(window) <= 2
