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
    sends = budget.RetryBudget(ALLOWANCE)
    for _ in range(requests):
        sends.count_request(100.0)
    spent = sum(sends.try_spend(100.0, 1 / instances) for _ in range(200))
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
    shares = [budget.RetryBudget(ALLOWANCE) for _ in range(instances)]
    now_s, requests, extras = 1000.0, [], []
    for wanted, pause_s in steps:
        now_s += pause_s
        for share in shares:
            share.count_request(now_s)
            requests.append(now_s)
            extras += [now_s for _ in range(wanted) if share.try_spend(now_s, 1 / instances)]
    for end_s in extras:
        in_window = sum(end_s - 10.0 < each <= end_s for each in extras)
        asked = sum(end_s - 10.5 < each <= end_s for each in requests)
        assert in_window <= ALLOWANCE.ratio * asked + ALLOWANCE.slack


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 30), strategies.floats(0.0, 3.0)), max_size=40
    ),
    strategies.integers(1, 8),
    strategies.integers(13, 60),
)
def test_owners_and_all_others_together_keep_to_the_allowance(steps, owners, instances):
    """
    A shard's replicas turn slow. Its owners send again as often as they may, and so does every
    other instance whose batch was lost. Together they must not exceed what all may send.
    """
    allowance = budget.Allowance(ratio=0.2, slack=430.0, window_s=10.0)
    shares = [budget.slack_share(instances, owners, n < owners) for n in range(instances)]
    sends = [budget.RetryBudget(allowance) for _ in range(instances)]
    now_s, extras = 1000.0, []
    for wanted, pause_s in steps:
        now_s += pause_s
        for each, share in zip(sends, shares, strict=True):
            extras += [now_s for _ in range(wanted) if each.try_spend(now_s, share)]
    for end_s in extras:
        assert sum(end_s - 10.0 < each <= end_s for each in extras) <= allowance.slack


def test_an_owner_among_many_has_extra_sends_to_make():
    """
    Of 195 instances four send to a shard, 24 times a second, and one of its replicas crashes while
    the other is slow: a third of the parts have to be sent again. With an even part of 430 extra
    sends an owner could do that for 11 of 20 in ten seconds, and the queries went without the rest.
    """
    allowance = budget.Allowance(ratio=0.2, slack=430.0, window_s=10.0)
    owner = budget.RetryBudget(allowance)
    share = budget.slack_share(195, owners=4, is_owner=True)
    late = allowed = 0
    for number in range(600):
        now_s = number / 6
        owner.count_request(now_s)
        if number % 3 == 0:
            late += 1
            allowed += owner.try_spend(now_s, share)
    assert allowed == late


@pytest.mark.parametrize(
    ("ratio", "slack", "more"),
    [
        pytest.param(0.2, 50.0, 0, id="as before"),
        pytest.param(0.2, 100.0, 40, id="more"),
        pytest.param(0.1, 10.0, 0, id="less than was spent"),
    ],
)
def test_another_allowance_counts_what_was_spent(ratio, slack, more):
    sends = budget.RetryBudget(ALLOWANCE)
    assert sum(sends.try_spend(100.0, 1) for _ in range(200)) == 40
    sends.set_allowance(budget.Allowance(ratio, slack, 10.0))
    assert sum(sends.try_spend(100.0, 1) for _ in range(200)) == more
