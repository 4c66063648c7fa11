"""The share of extra sends."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.direct import budget

ALLOWANCE = budget.Allowance(ratio=0.2, slack=50.0, window_s=10.0)


@pytest.mark.parametrize(
    ("requests", "instances", "allowed"),
    [(0, 1, 40), (100, 1, 56), (0, 10, 4), (100, 10, 20)],
)
def test_allowed_in_one_window(requests, instances, allowed):
    sends = budget.ExtraSends(ALLOWANCE)
    for _ in range(requests):
        sends.count_request(100.0)
    spent = sum(sends.spend(100.0, instances) for _ in range(200))
    assert spent == allowed


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 6), strategies.floats(0.0, 3.0)), max_size=80
    ),
    strategies.integers(1, 9),
)
def test_no_window_exceeds_the_allowance_of_all_instances(steps, instances):
    """
    Replicas turn slow and every instance sends again whenever it may, at any times.
    In no window of ten seconds may all of them together exceed the shared allowance, or the extra
    load keeps the replicas slow.
    """
    shares = [budget.ExtraSends(ALLOWANCE) for _ in range(instances)]
    now_s, requests, extras = 1000.0, [], []
    for wanted, pause_s in steps:
        now_s += pause_s
        for share in shares:
            share.count_request(now_s)
            requests.append(now_s)
            extras += [now_s for _ in range(wanted) if share.spend(now_s, instances)]
    for end_s in extras:
        in_window = sum(end_s - 10.0 < each <= end_s for each in extras)
        asked = sum(end_s - 10.5 < each <= end_s for each in requests)
        assert in_window <= ALLOWANCE.ratio * asked + ALLOWANCE.slack


@pytest.mark.parametrize(
    ("ratio", "slack", "more"),
    [
        pytest.param(0.2, 50.0, 0, id="as before"),
        pytest.param(0.2, 100.0, 40, id="more"),
        pytest.param(0.1, 10.0, 0, id="less than was spent"),
    ],
)
def test_another_allowance_counts_what_was_spent(ratio, slack, more):
    sends = budget.ExtraSends(ALLOWANCE)
    assert sum(sends.spend(100.0, 1) for _ in range(200)) == 40
    sends.allow(budget.Allowance(ratio, slack, 10.0))
    assert sum(sends.spend(100.0, 1) for _ in range(200)) == more
