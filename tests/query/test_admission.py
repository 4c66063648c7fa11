from __future__ import annotations

import random

import pytest

from turmericlug.query import admission


@pytest.mark.parametrize(
    ("wait_ms", "refused_range"),
    [(0, (0, 0)), (100, (0, 0)), (225, (400, 600)), (400, (1000, 1000))],
)
def test_share_of_refused_queries_grows_with_the_predicted_wait(wait_ms, refused_range):
    checks = admission.Admission(random.Random(1))
    checks.record_wait("a", 5, "c", wait_ms)
    checks.record_wait("b", 5, "c", 0.0)
    refused_count = sum(
        bool(checks.overload_retry_after_ms(("a", "b"), 5, "c", 1000)) for _ in range(1000)
    )
    assert refused_range[0] <= refused_count <= refused_range[1]


def test_a_caller_with_a_long_wait_affects_no_other_caller_or_priority():
    checks = admission.Admission(random.Random(1))
    checks.record_wait("a", 5, "storm", 900)
    assert checks.overload_retry_after_ms(("a",), 5, "storm", 1000)
    assert not checks.overload_retry_after_ms(("a",), 5, "calm", 1000)
    assert not checks.overload_retry_after_ms(("a",), 6, "storm", 1000)


def test_each_instance_applies_its_share_of_a_rate(monkeypatch):
    checks = admission.Admission(random.Random(1))
    now_s = [0.0]
    monkeypatch.setattr(admission.time, "monotonic", lambda: now_s[0])
    admitted_count = 0
    for _ in range(1000):
        now_s[0] += 0.01
        admitted_count += not checks.rate_limit_retry_after_ms("r", 30.0, 3)
    assert 98 <= admitted_count <= 111
    assert 0 < checks.rate_limit_retry_after_ms("r", 30.0, 3) <= 100


def test_rates_of_rules_that_have_gone_are_forgotten(monkeypatch):
    """Guards against a list of all rules that have ever had a rate, over a year of edits."""
    monkeypatch.setattr(admission, "_MAX_BUCKETS", 3, raising=False)
    now_s = [0.0]
    monkeypatch.setattr(admission.time, "monotonic", lambda: now_s[0])
    checks = admission.Admission(random.Random(1))
    for number in range(10):
        now_s[0] += 1.0
        checks.rate_limit_retry_after_ms("stays", 0.001, 1)
        checks.rate_limit_retry_after_ms(f"gone-{number}", 1.0, 1)
    assert len(checks._buckets) <= 3
    assert checks.rate_limit_retry_after_ms("stays", 0.001, 1)
