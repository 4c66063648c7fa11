"""What cold replicas get from all instances together."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.policy import warm_up

OVERAGE, SLACK = 1.5, 5
"""What replicas bear: this many times the stated rate, and so many requests more in a second."""


def arrivals(instances, rate_per_s, demand_per_s, seed, burst_at_s=1.0, cold_s=6.0):
    """Play instances that know of each other and all want to send; returns the times of sends."""
    rng = random.Random(seed)
    shares = [
        warm_up.Share(rate_per_s, instances, warm_up.phase_of(f"e-{number}", f"i-{seed}"))
        for number in range(instances)
    ]
    learned_s = [rng.uniform(0, 1.2) for _ in range(instances)]
    last_s = [float("-inf")] * instances
    steady = [rng.uniform(0, cold_s) for _ in range(int(demand_per_s * cold_s))]
    together = [burst_at_s + rng.uniform(0, 0.2) for _ in range(2 * instances)]
    sent = []
    for now_s in sorted(steady + together):
        number = rng.randrange(instances)
        if now_s >= learned_s[number] and shares[number].allows(
            learned_s[number], last_s[number], now_s
        ):
            last_s[number] = now_s
            sent.append(now_s)
    return sent


def most_in_a_second(sent):
    return max((sum(first <= each < first + 1 for each in sent) for first in sent), default=0)


@pytest.mark.parametrize("instances", [2, 7, 87, 195])
@pytest.mark.parametrize("rate_per_s", [1.0, 4.0, 20.0, 100.0])
@pytest.mark.parametrize("seed", range(8))
def test_replicas_that_return_together_under_a_peak_bear_what_they_get(instances, rate_per_s, seed):
    """Every instance sent to each replica of a data centre that came back cold."""
    sent = arrivals(instances, rate_per_s, demand_per_s=400.0, seed=seed)
    assert most_in_a_second(sent) <= rate_per_s * OVERAGE + SLACK


@pytest.mark.parametrize("instances", [7, 87, 195])
@pytest.mark.parametrize("seed", range(8))
def test_a_burst_after_a_quiet_spell_does_not_arrive_at_once(instances, seed):
    """What instances had not sent while it was quiet arrived at a cold replica in one second."""
    sent = arrivals(instances, 8.0, 0.0, seed, burst_at_s=25.0, cold_s=30.0)
    assert most_in_a_second(sent) <= 8.0 * OVERAGE + SLACK


@pytest.mark.parametrize(("instances", "rate_per_s"), [(2, 4.0), (7, 20.0), (87, 20.0)])
def test_a_cold_replica_is_used(instances, rate_per_s):
    sent = arrivals(instances, rate_per_s, demand_per_s=2000.0, seed=3)
    assert len(sent) >= 6 * rate_per_s * 0.25


@pytest.mark.parametrize(
    ("share", "allowed"),
    [(warm_up.UNLIMITED, True), (warm_up.Share(5.0, senders=0), False)],
    ids=["no rate is stated", "not among the senders"],
)
def test_without_a_share(share, allowed):
    assert share.allows(0.0, 0.0, 0.1) is allowed


@hypothesis.given(
    rate_per_s=strategies.floats(0.5, 1000),
    senders=strategies.integers(1, 200),
    phase=strategies.floats(0, 1),
    pauses_s=strategies.lists(strategies.floats(0, 3), min_size=2, max_size=60),
)
def test_unused_slots_are_lost(rate_per_s, senders, phase, pauses_s):
    """Kept for later, what instances did not use arrived in one burst after a pause."""
    share = warm_up.Share(rate_per_s, senders, phase)
    period_s = senders / (warm_up.NOMINAL_SHARE * rate_per_s)
    now_s, last_s, sent = 10.0, float("-inf"), []
    for pause_s in pauses_s:
        now_s += pause_s
        if share.allows(10.0, last_s, now_s):
            last_s = now_s
            sent.append(now_s)
    for first in sent:
        window = [each for each in sent if first <= each < first + period_s]
        assert len(window) <= 2
