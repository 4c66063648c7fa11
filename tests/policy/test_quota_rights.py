"""Which part of an organisation's rate each instance may grant."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from turmericlug.policy import quota
from turmericlug.policy import quota_rights

COUNT = 4
FIRST, STANDBY = 0, 1
INSTANCES = strategies.integers(0, COUNT - 1)
DELAYS_S = strategies.sampled_from([0.0, 0.0, 0.01, 0.15, 0.4])
PAUSES_S = strategies.sampled_from([0.1, 0.4, 1.5])
LEASES_S = strategies.sampled_from([quota.MIN_LEASE_S, 0.5, quota.MAX_LEASE_S])
DRIFTS = [1.0, 1.01, 0.99, 1.01]
"""Rates of the instances' clocks."""


def share(rights, now_s, number, others=COUNT - 1):
    return rights.share(now_s, number == FIRST, others, True)


class RightsMachine(stateful.RuleBasedStateMachine):
    """
    Leases and pledges that are asked for, answered late, lost and forgotten.

    Holders that add up to more than the whole exceed the quota for as long as they do.
    """

    def __init__(self):
        super().__init__()
        self.at_s = 1000.0
        self.starts = [0] * COUNT
        self.rights = [quota_rights.Rights() for _ in range(COUNT)]

    def now_s(self, number):
        return self.at_s * DRIFTS[number]

    def pass_time(self, duration_s):
        """Check several times on the way, since what was ceded ends in between."""
        steps = 12 if duration_s else 0
        for _ in range(steps):
            self.at_s += duration_s / steps
            self.parts_add_up_to_the_whole()

    @stateful.rule(duration_s=PAUSES_S)
    def wait(self, duration_s):
        self.pass_time(duration_s)

    @stateful.rule(out_s=DELAYS_S, back_s=DELAYS_S, lease_s=LEASES_S, is_lost=strategies.booleans())
    def ask_lease(self, out_s, back_s, lease_s, is_lost):
        asked_s, start = self.now_s(FIRST), self.starts[FIRST]
        self.pass_time(out_s)
        standby = (f"e{STANDBY}", self.starts[STANDBY])
        ceded = self.rights[STANDBY].cede((f"e{FIRST}", start), lease_s, self.now_s(STANDBY))
        self.pass_time(back_s)
        if ceded and not is_lost and start == self.starts[FIRST]:
            self.rights[FIRST].on_lease(asked_s, lease_s, standby)

    @stateful.rule(
        holder=strategies.sampled_from([FIRST, STANDBY]),
        reached=strategies.sets(INSTANCES),
        out_s=DELAYS_S,
        back_s=DELAYS_S,
    )
    def ask_pledges(self, holder, reached, out_s, back_s):
        asked_s, start = self.now_s(holder), self.starts[holder]
        self.pass_time(out_s)
        pledged = [
            number
            for number in reached - {holder}
            if self.rights[number].pledge(
                (f"e{holder}", start), quota_rights.PLEDGE_S, self.now_s(number)
            )
        ]
        self.pass_time(back_s)
        if start == self.starts[holder]:
            self.rights[holder].on_pledges(asked_s, len(pledged) / (COUNT - 1), 1.0)

    @stateful.rule(number=INSTANCES)
    def restart(self, number):
        self.starts[number] += 1
        self.rights[number] = quota_rights.Rights(self.now_s(number))

    @stateful.invariant()
    def parts_add_up_to_the_whole(self):
        holders = (FIRST, STANDBY)
        total = sum(share(self.rights[number], self.now_s(number), number) for number in holders)
        # A lease of the former start of the standby ends without an answer of the present one.
        assert total <= 1 + 1e-9


TestRights = RightsMachine.TestCase
TestRights.settings = settings(
    derandomize=True, max_examples=500, stateful_step_count=25, deadline=None
)


def test_a_holder_with_a_lease_grants_the_whole():
    """A busy organisation gets a part of its quota only while nothing fails."""
    rights = quota_rights.Rights()
    assert share(rights, 5.0, FIRST) == 1 / COUNT
    rights.on_lease(5.0, 0.3, ("e1", 1))
    assert (share(rights, 5.2, FIRST), share(rights, 5.31, FIRST)) == (1.0, 1 / COUNT)


def test_a_holder_whose_standby_is_lost_grants_the_parts_of_those_that_it_reaches():
    """A standby that has lost power would cost a busy organisation most of its quota."""
    rights = quota_rights.Rights()
    rights.on_pledges(5.0, 2 / 3, 1.0)
    assert share(rights, 5.5, FIRST) == pytest.approx(3 / 4)
    assert share(rights, 6.1, FIRST) == pytest.approx(1 / 4)


def test_an_only_instance_grants_the_whole():
    """A deployment of one instance has no standby to ask."""
    assert share(quota_rights.Rights(), 5.0, FIRST, others=0) == 1.0


def test_a_first_holder_that_another_one_challenges_has_no_lease():
    """While lists of instances differ, two that take themselves for the first grant the whole."""
    rights = quota_rights.Rights()
    rights.on_lease(5.0, 0.8, ("e1", 1))
    rights.on_rival(5.1)
    assert share(rights, 5.2, FIRST) == 1 / COUNT


def test_a_standby_leases_to_one_holder():
    """Two holders would both rely on it."""
    rights = quota_rights.Rights()
    assert rights.cede(("e0", 1), 0.8, 5.0)
    assert not rights.cede(("e2", 1), 0.8, 5.5)
    assert rights.cede(("e2", 1), 0.8, 5.9)


def test_a_restarted_instance_does_not_know_what_it_has_ceded():
    """It would grant, or pledge once more, what the first holder still relies on."""
    rights = quota_rights.Rights(5.0)
    rights.on_pledges(5.0, 1.0, 1.0)
    assert share(rights, 5.5, STANDBY) == 0.0
    assert not rights.pledge(("e2", 1), quota_rights.PLEDGE_S, 5.8)
    rights = quota_rights.Rights(5.0)
    assert share(rights, 5.8, FIRST) == 0.0
    assert share(rights, 5.9, FIRST) == 1 / COUNT


def test_rights_that_have_ended_are_idle():
    """Memory would grow with every organisation of which an instance was ever asked."""
    rights = quota_rights.Rights(3.0)
    rights.pledge(("e0", 1), 1.0, 5.0)
    assert (rights.is_idle(5.5), rights.is_idle(6.2)) == (False, True)
