"""Decisions about quotas: the holder's bucket and what an instance admits."""

from __future__ import annotations

import math
import random

import attrs
import pytest

from turmericlug.policy import quota
from turmericlug.policy import quota_bucket
from turmericlug.policy import quota_share

RULE = quota.Rule(window_s=5.0, overage=0.1, slack=20.0)
LIMIT = quota.Limit(RULE, rate_per_s=5.0, burst=10.0)
REFILL_PER_S = 5.25
FULL = 20.0
A, B = ("a", 1), ("b", 2)


def report(used, **fields):
    return quota.Report("o", used, **{"used_in_window": used} | fields)


def bucket(**fields):
    return quota_bucket.Bucket(LIMIT, 0.0, **fields)


def test_what_is_reported_and_what_is_held_is_deducted():
    """What is deducted twice, or not at all, adds up to a quota that is never or always spent."""
    holder = bucket()
    holder.report(A, 1, report(3), 0.0)
    assert holder.level == FULL - 3
    notice = holder.report(A, 2, report(4, waiting=2), 0.0)
    assert (notice.granted, holder.level) == (2, FULL - 6)
    holder.report(A, 3, report(6), 0.0)
    assert holder.level == FULL - 6
    holder.report(A, 4, report(5), 0.0)
    assert holder.level == FULL - 5, "a refunded token has not come back"


@pytest.mark.parametrize("sequence", [1, 2])
def test_a_repeated_or_late_message_changes_nothing(sequence):
    """A message that is delivered twice would be granted its tokens twice."""
    holder = bucket()
    holder.report(A, 2, report(3, waiting=1), 0.0)
    level = holder.level
    assert holder.report(A, sequence, report(1, waiting=1), 0.0).granted == 0
    assert holder.level == level


def test_tokens_of_a_lost_answer_come_back():
    """An instance without the answer does not know of its tokens: they would be lost for long."""
    holder = bucket()
    granted = holder.report(A, 1, report(0, waiting=1, wanted=3), 0.0).granted
    assert granted == 4
    holder.report(A, 2, report(0), 0.0)
    assert (holder.level, holder.leased) == (FULL, 0)


def test_tokens_of_a_lost_instance_come_back():
    """The tokens that an instance held when it lost power would be missing at the others."""
    holder = bucket()
    holder.report(A, 1, report(1, waiting=0, wanted=3), 0.0)
    assert holder.leased == 3
    holder.advance(quota_bucket.OPEN_LEASE_S + quota_bucket.LEASE_GRACE_S + 0.01)
    assert (holder.leased, holder.level) == (0, FULL)


def test_leased_tokens_and_level_never_exceed_the_capacity():
    """A bucket that refills beside its leases admits leases and capacity in one window."""
    holder = bucket()
    holder.report(A, 1, report(0, wanted=4), 0.0)
    holder.advance(1.0)
    assert (holder.leased, holder.level) == (3, FULL - 3)


def test_requests_from_before_the_window_do_not_count():
    """An instance that was cut off for a minute reports hundreds of requests: refused for long."""
    holder = bucket()
    holder.report(A, 1, report(1), 0.0)
    holder.report(A, 2, report(500, used_in_window=4), 60.0)
    assert holder.level == FULL - 4


def test_an_excess_is_forgotten_after_a_window():
    """A bucket with hundreds of requests of debt refuses long after the rule has forgotten them."""
    holder = bucket()
    holder.report(A, 1, report(500), 0.0)
    holder.advance(RULE.window_s + 0.2)
    assert holder.level >= 1


def test_limited_begins_and_ends_with_hysteresis():
    """With one threshold all instances are notified several times a second."""
    holder = bucket()
    holder.report(A, 1, report(16), 0.0)
    assert holder.is_limited
    states = []
    for step in range(1, 9):
        holder.advance(step * 0.25)
        states.append((round(holder.level, 1), holder.is_limited))
    assert [is_limited for level, is_limited in states if level < RULE.slack / 2] == [True] * 4
    assert not states[-1][1]


def test_every_instance_that_was_told_open_is_told_limited_once():
    """One that is passed over admits a window's requests without asking."""
    holder = bucket()
    holder.report(A, 1, report(1), 0.0)
    holder.report(B, 1, report(16), 0.1)
    assert holder.take_unaware(0.1) == ["a"]
    assert holder.take_unaware(0.1) == []


@pytest.mark.parametrize(
    ("rate_per_s", "burst", "slack"), [(0.01, 0.0, 20.0), (5.0, 0.0, 0.0), (1000.0, 1000.0, 1.0)]
)
def test_a_spent_bucket_always_opens_again(rate_per_s, burst, slack):
    """A threshold that no level reaches would leave an organisation limited for ever."""
    limit = quota.Limit(quota.Rule(5.0, 0.1, slack), rate_per_s, burst)
    holder = quota_bucket.Bucket(limit, 0.0)
    holder.report(A, 1, report(int(limit.capacity)), 0.0)
    holder.advance(2 * limit.capacity / rate_per_s)
    if slack:
        assert not holder.is_limited
    assert holder.report(A, 2, report(int(limit.capacity), waiting=1), 1e9).granted == 1


@pytest.mark.parametrize(
    ("is_young", "is_standby", "level"),
    [(False, False, 20.0), (False, True, 5.15), (True, False, 4.35), (True, True, 4.35)],
)
def test_the_level_of_a_new_bucket(is_young, is_standby, level):
    """After a loss of power a full bucket admits the burst a second time in one window."""
    assert bucket(is_young=is_young, is_standby=is_standby).level == pytest.approx(level)


@pytest.mark.parametrize("rate_per_s", [0.1, 1.0, 20.0, 100.0])
@pytest.mark.parametrize("burst", [0.0, 10.0, 200.0])
def test_what_all_holders_begin_with_fits_in_the_bound(rate_per_s, burst):
    """A standby and a restarted holder grant their tokens in the window of a full bucket."""
    limit = quota.Limit(RULE, rate_per_s, burst)
    full = limit.capacity + limit.refill_per_s * RULE.window_s
    bound = (rate_per_s * RULE.window_s + burst) * (1 + RULE.overage) + RULE.slack
    on_the_way = RULE.slack / 8
    assert full + limit.standby_level + limit.young_level + on_the_way <= bound + 1e-9


def test_a_standby_begins_with_its_tokens_once_in_a_window():
    """A link that is cut again and again gives a standby new tokens each time."""
    standby, granted = bucket(is_standby=True), 0
    standby.set_share(0.0, 0.0)
    for number in range(40):
        now_s = number * 0.1
        granted += standby.report(A, number + 1, report(granted, waiting=2), now_s).granted
    assert granted == math.floor(LIMIT.standby_level)
    standby.advance(now_s + RULE.window_s + 0.1)
    assert standby.level == pytest.approx(LIMIT.standby_level)


def test_tokens_that_were_withheld_are_added():
    """A lease that is renewed late costs a busy caller the tokens of the time between."""
    holder = bucket()
    holder.report(A, 1, report(20), 0.0)
    holder.set_share(1 / 3, 0.0)
    holder.advance(0.3)
    assert holder.level == pytest.approx(REFILL_PER_S * 0.1)
    holder.add_withheld(0.3)
    assert holder.level == pytest.approx(REFILL_PER_S * 0.3)
    holder.add_withheld(0.3)
    assert holder.level == pytest.approx(REFILL_PER_S * 0.3)


def test_a_new_holder_takes_over_the_level():
    """
    The first reports to a new holder state what the old one has stated. If the requests of the
    window were deducted as well, the organisation would be refused for seconds.
    """
    holder = bucket()
    known = {"known_level": 2.0, "known_age_s": 1.0, "known_origin": 7}
    holder.report(A, 1, report(40, used_in_window=30, unreported=1, **known), 0.0)
    assert holder.level == pytest.approx(2.0 + REFILL_PER_S - 1)
    holder.report(B, 1, report(50, used_in_window=30), 0.0)
    assert holder.level == pytest.approx(2.0 + REFILL_PER_S - 1)


def test_a_new_holder_deducts_what_it_has_granted_from_an_older_level():
    """An instance that reports late lowers the level by nothing that was granted meanwhile."""
    holder = bucket(origin=8)
    first = {"known_level": 15.0, "known_age_s": 0.0, "known_origin": 7}
    assert holder.report(A, 1, report(0, waiting=12, **first), 0.0).granted == 12
    second = {"known_level": 4.0, "known_age_s": 0.4, "known_origin": 7}
    holder.report(B, 1, report(30, used_in_window=9, **second), 0.2)
    assert holder.level == pytest.approx(4.0 + REFILL_PER_S * 0.4 - 12)


def test_what_another_holder_has_granted_meanwhile_is_not_deducted():
    """A holder that was frozen would refuse what is within the quota for seconds."""
    holder = bucket(origin=7)
    holder.report(A, 1, report(5), 0.0)
    other = {"known_level": 0.0, "known_age_s": 0.1, "known_origin": 8}
    holder.report(A, 2, report(20, unreported=2, **other), 1.0)
    assert holder.level == FULL - 5 + min(REFILL_PER_S, 5) - 2


def test_a_new_holder_does_not_take_over_what_it_has_stated_itself():
    """Its own notices come back with later reports, which would undo what it has deducted."""
    holder = bucket(origin=7)
    holder.report(A, 1, report(15), 0.0)
    known = {"known_level": 19.0, "known_age_s": 0.0, "known_origin": 7}
    holder.report(B, 1, report(2, **known), 0.0)
    assert holder.level == FULL - 17


def test_without_a_known_level_the_requests_of_the_window_are_deducted():
    """A new bucket that starts full lets a caller spend its burst again."""
    holder = bucket()
    holder.report(A, 1, report(90, used_in_window=12), 0.0)
    assert holder.level == FULL - 12


@pytest.mark.parametrize(
    ("changed", "is_standby", "level"),
    [
        (LIMIT, False, 10.0),
        (attrs.evolve(LIMIT, burst=40.0), False, 40.0),
        (attrs.evolve(LIMIT, burst=0.0), False, 10.0),
        (attrs.evolve(LIMIT, burst=0.0), True, 4.75),
        (LIMIT, True, 5.15),
    ],
)
def test_changes_of_the_limit(changed, is_standby, level):
    """A raised burst that counts later refuses what is owed; a lowered one is to bind at once."""
    holder = bucket()
    holder.report(A, 1, report(10), 0.0)
    holder.set_limit(changed, 0.0)
    holder.set_role(is_standby, 0.0)
    assert holder.level == pytest.approx(level)


def test_idle_instances_are_forgotten():
    """An instance has a new number after each start, so that the holder would grow with them."""
    holder = bucket()
    for start in range(50):
        holder.report(("a", start), 1, report(1), 0.0)
    assert not holder.forget_idle(1.0)
    assert holder.forget_idle(60.0)
    assert not holder._accounts


def admit(share, now_s, count, instances=1):
    rng = random.Random(1)
    return [share.try_admit(now_s, rng, instances) for _ in range(count)]


def test_an_open_organisation_is_admitted_without_asking():
    """Each request of a caller far below its limit would cost a round trip."""
    share = quota_share.Share(LIMIT, 0.0)
    assert admit(share, 0.0, 3) == [quota_share.ADMITTED] * 3
    assert share.report("o", 0, 0.0) == report(3, unreported=3)


def test_an_instance_admits_few_requests_before_the_holder_has_answered():
    """An instance that was frozen would admit all that has queued up meanwhile."""
    share = quota_share.Share(LIMIT, 0.0)
    assert admit(share, 0.0, 6) == [quota_share.ADMITTED] * 5 + [quota_share.MUST_ASK]


def test_leased_tokens_expire_by_the_instances_own_clock():
    """A frozen instance would use tokens that the holder has given to others meanwhile."""
    share = quota_share.Share(LIMIT, 0.0)
    asked = share.report("o", 0, 0.0)
    share.on_reply(asked, quota.Notice("o", 3, 1.0, limited_s=5.0), 0.0, 0.1)
    assert admit(share, 0.9, 1) == [quota_share.ADMITTED]
    assert admit(share, 1.1, 1) == [quota_share.MUST_ASK]


def test_a_lease_that_has_ended_before_its_answer_is_not_used():
    """The answer took longer than the lease, so that the holder has taken the tokens back."""
    share = quota_share.Share(LIMIT, 0.0)
    share.on_reply(share.report("o", 0, 0.0), quota.Notice("o", 3, 1.0), 0.0, 1.5)
    assert share.held == 0


def test_refusals_state_when_a_token_comes():
    """Callers that come back together, or too early, are refused again."""
    share = quota_share.Share(LIMIT, 0.0)
    share.on_reply(share.report("o", 1, 0.0), quota.Notice("o", refuse_s=0.8), 0.0, 0.0)
    decisions = admit(share, 0.0, 50)
    delays_s = [decision.retry_after_s for decision in decisions]
    assert 0.8 <= min(delays_s) < max(delays_s) <= 1.2
    assert len(set(delays_s)) > 40


def test_a_changed_limit_ends_a_refusal():
    """An operator raises a limit for a caller that is refused, and it goes on for two seconds."""
    share = quota_share.Share(LIMIT, 0.0)
    share.on_reply(share.report("o", 1, 0.0), quota.Notice("o", limited_s=9, refuse_s=2), 0.0, 0.0)
    assert isinstance(admit(share, 0.1, 1)[0], quota_share.OverQuota)
    share.set_limit(attrs.evolve(LIMIT, burst=40.0))
    assert admit(share, 0.1, 1) == [quota_share.MUST_ASK]


@pytest.mark.parametrize(
    ("rate_per_s", "was_limited", "admitted"),
    [(0.1, False, 3), (0.1, True, 0), (100.0, False, 21), (100.0, True, 1)],
)
def test_the_share_of_an_instance_without_a_holder(rate_per_s, was_limited, admitted):
    """
    Small organisations would be refused wherever both holders are cut off. The shares of one that
    was limited add up with what the holders grant on the other side.
    """
    share = quota_share.Share(quota.Limit(RULE, rate_per_s, 0.0), 0.0)
    if was_limited:
        share.on_notice(quota.Notice("o", limited_s=60.0), 0.0)
    share.begin_cut_off(0.0)
    decisions = [admit(share, at_s / 10, 1, instances=50)[0] for at_s in range(101)]
    assert decisions.count(quota_share.ADMITTED) == admitted
    assert all(decision.is_cut_off for decision in decisions if decision != quota_share.ADMITTED)


def test_holders_are_spread_and_stable():
    """One instance would hold all organisations, or each loss of an instance move most of them."""
    names = [f"e{number}" for number in range(76)]
    organisations = [f"o{number}" for number in range(500)]
    first = {name: quota.holders(name, names)[0] for name in organisations}
    assert max(list(first.values()).count(name) for name in names) <= 20
    lost = first["o0"]
    left = [name for name in names if name != lost]
    for name in organisations:
        if first[name] == lost:
            assert quota.holders(name, left)[0] == quota.holders(name, names)[1]
        else:
            assert quota.holders(name, left)[0] == first[name]
