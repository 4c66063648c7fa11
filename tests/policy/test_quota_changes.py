"""Changes of an organisation's limit, at the holder of its tokens."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from turmericlug.policy import quota
from turmericlug.policy import quota_bucket
from turmericlug.policy import quota_usage

RULE = quota.Rule(window_s=5.0, overage=0.1, slack=20.0)
LIMIT = quota.Limit(RULE, rate_per_s=16.0, burst=80.0)
TENTH = attrs.evolve(LIMIT, rate_per_s=1.6, burst=8.0)
HALF = attrs.evolve(LIMIT, rate_per_s=8.0, burst=40.0)
SMALL_BURST = attrs.evolve(LIMIT, burst=8.0)
SMALL_RATE = attrs.evolve(LIMIT, rate_per_s=1.6)
SLOW = attrs.evolve(LIMIT, rate_per_s=2.0, burst=100.0)
A = ("a", 1)
STEP_S = 0.05
DURATION_S = 16.0


def play(changes, asks_per_s=75.0, first=LIMIT, began_s=0.0):
    """
    Return the times at which a caller that asks for too much gets its tokens.

    :param changes: times and limits
    """
    bucket = quota_bucket.Bucket(first, 0.0)
    granted_s, asked, sequence, changes = [], 0.0, 0, sorted(changes, key=lambda each: each[0])
    for step in range(int(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        while changes and changes[0][0] <= now_s:
            bucket.set_limit(changes.pop(0)[1], now_s)
        if now_s < began_s:
            continue
        asked += asks_per_s * STEP_S
        waiting, asked = int(asked), asked % 1
        recent = sum(at_s > now_s - RULE.window_s for at_s in granted_s)
        report = quota.Report("o", len(granted_s), recent, waiting=waiting)
        sequence += 1
        granted_s += [now_s] * bucket.report(A, sequence, report, now_s).granted
    return granted_s


def most_in_a_window(times):
    return max(sum(0 <= other - at_s < RULE.window_s for other in times) for at_s in times)


def bound(limit):
    """What the bucket gives from full to empty in a window, well within the rule."""
    return limit.capacity + limit.refill_per_s * RULE.window_s + 1


SEQUENCES = {
    "lowered and restored": [(2.0, TENTH), (3.2, LIMIT)],
    "restored at once": [(2.0, TENTH), (2.05, LIMIT)],
    "restored late": [(2.0, TENTH), (6.0, LIMIT)],
    "lowered before it is spent": [(0.5, TENTH), (1.5, LIMIT)],
    "restored in two steps": [(2.0, TENTH), (2.6, HALF), (3.2, LIMIT)],
    "lowered in two steps": [(2.0, HALF), (2.6, TENTH), (3.2, LIMIT)],
    "half of it, twice": [(2.0, HALF), (2.6, LIMIT), (3.2, HALF), (3.8, LIMIT)],
    "in quick succession": [(1 + n / 3, (TENTH, LIMIT)[n % 2]) for n in range(12)],
    "for longer": [(1 + n * 0.9, (TENTH, LIMIT)[n % 2]) for n in range(16)],
    "the burst only": [(2.0, SMALL_BURST), (3.2, LIMIT)],
    "the rate only": [(2.0, SMALL_RATE), (3.2, LIMIT)],
}


@pytest.mark.parametrize("changes", SEQUENCES.values(), ids=SEQUENCES.keys())
@pytest.mark.parametrize("began_s", [0.0, 1.0, 1.7])
def test_a_limit_that_is_lowered_and_restored_grants_its_burst_once(changes, began_s):
    """The tokens of a spent burst are granted again when the limit is restored."""
    assert most_in_a_window(play(changes, began_s=began_s)) <= bound(LIMIT)


@pytest.mark.parametrize("first", [TENTH, HALF, SLOW])
def test_a_limit_that_is_raised_lowered_and_raised_grants_its_burst_once(first):
    """The same with a limit that was raised shortly before."""
    granted_s = play([(1.0, LIMIT), (3.0, first), (4.0, LIMIT)], first=first)
    assert most_in_a_window(granted_s) <= max(bound(LIMIT), bound(first))


@pytest.mark.parametrize("name", [name for name in SEQUENCES if name != "the rate only"])
def test_a_restored_limit_gives_what_it_would_have_given(name):
    """A caller within its restored quota is refused for what it has used under the same quota."""
    changes = SEQUENCES[name]
    end_s = changes[-1][0]
    unchanged = sum(at_s <= end_s + 1 for at_s in play([]))
    changed = sum(at_s <= end_s + 1 for at_s in play(changes))
    # What was not given more than a window ago is not given any more.
    forgotten_s = max(end_s - changes[0][0] - RULE.window_s, 0)
    assert changed >= 0.95 * (unchanged - LIMIT.refill_per_s * forgotten_s)


def test_a_raised_burst_counts_at_once():
    """An operator raises the burst of a caller that has spent it, and it is refused for seconds."""
    larger = attrs.evolve(LIMIT, burst=200.0)
    granted_s = play([(8.0, larger)])
    assert sum(8.0 <= at_s < 8.0 + 2.0 for at_s in granted_s) >= 0.97 * 120


@pytest.mark.parametrize("reports_before", [0, 1, 2])
def test_a_new_holder_counts_what_was_used_under_the_last(reports_before):
    """The holder is lost between the two changes, and its successor grants the burst again."""
    bucket = quota_bucket.Bucket(TENTH, 0.0, origin=2)
    known = {"known_level": 0.0, "known_age_s": 0.1, "known_origin": 1}
    reports = [quota.Report("o", 60, 60, **known), quota.Report("o", 40, 40, **known)]
    for number, report in enumerate(reports):
        if number == reports_before:
            bucket.set_limit(LIMIT, 0.5)
        bucket.report((f"e{number}", 1), 1, report, 0.1 + number / 2)
    bucket.set_limit(LIMIT, 0.9)
    assert bucket.level <= LIMIT.refill_per_s


@pytest.mark.parametrize("options", [{"is_young": True}, {"is_standby": True}])
@pytest.mark.parametrize("raised_after_s", [0.0, 1.0, 4.0])
def test_a_holder_that_does_not_know_the_use_grants_no_raised_burst(options, raised_after_s):
    """All instances lose power while a quota is lowered, and the burst may have been spent."""
    bucket = quota_bucket.Bucket(TENTH, 0.0, **options)
    bucket.set_limit(LIMIT, raised_after_s)
    if options.get("is_standby"):
        assert bucket.level <= LIMIT.standby_level
    else:
        assert bucket.level <= LIMIT.young_level + LIMIT.refill_per_s * raised_after_s + 1e-9
    assert bucket.level >= TENTH.young_level


@settings(derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0.0, 2.0), strategies.integers(-3, 20)), max_size=40
    )
)
def test_recent_use_is_that_of_a_bucket_with_the_limit(uses):
    """A use that is forgotten is granted again, one that is counted twice is refused."""
    use = quota_usage.RecentUse(RULE.window_s)
    now_s, level = 0.0, LIMIT.capacity
    for pause_s, tokens in uses:
        now_s += pause_s
        level = min(level + LIMIT.refill_per_s * pause_s, LIMIT.capacity) - tokens
        level = min(level, LIMIT.capacity)
        use.add(now_s, tokens)
        known = use.level(LIMIT.capacity, LIMIT.refill_per_s, now_s)
        slot = LIMIT.refill_per_s * RULE.window_s / quota_usage.SLOTS_PER_WINDOW
        assert known >= level - 1e-6
        if now_s <= RULE.window_s:
            assert known <= level + slot + 1e-6
    assert len(use._slots) <= quota_usage.SLOTS_PER_WINDOW + 2
