from __future__ import annotations

import pytest

from turmericlug.membership import freshness


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s

    def run(self, fresh, duration_s):
        for _ in range(int(duration_s * 10)):
            self.now_s += 0.1
            fresh.tick()


def make(rules=1):
    clock = Clock()
    fresh = freshness.Freshness(3000, clock)
    fresh.in_force = freshness.Revisions(rules, 1)
    return fresh, clock


def test_without_configuration_is_not_current():
    fresh, clock = make(0)
    fresh.record_store_read(clock.now_s, freshness.Revisions(0, 0))
    assert not fresh.is_current()


def test_evidence_from_the_store_ages():
    fresh, clock = make()
    fresh.record_store_read(clock.now_s, freshness.Revisions(1, 1))
    clock.run(fresh, 2.5)
    assert fresh.is_current()
    assert 2400 <= fresh.age_ms() <= 2600
    clock.run(fresh, 1)
    assert not fresh.is_current()


def test_evidence_from_a_peer_keeps_its_age():
    fresh, clock = make()
    fresh.record_peer_reply(clock.now_s, freshness.Revisions(1, 1), 2000)
    assert fresh.age_ms() == 2000


@pytest.mark.parametrize("newer", [freshness.Revisions(2, 1), freshness.Revisions(1, 2)])
def test_a_known_newer_revision_stops_serving(newer):
    fresh, clock = make()
    fresh.record_store_read(clock.now_s, freshness.Revisions(1, 1))
    fresh.record_peer_reply(clock.now_s, newer, 0)
    assert not fresh.is_current()
    fresh.in_force = newer
    assert fresh.is_current()


def test_a_peer_with_older_revisions_is_no_evidence_from_the_store():
    fresh, clock = make(2)
    fresh.record_peer_reply(clock.now_s, freshness.Revisions(1, 1), 0)
    assert fresh.age_ms() > 10**6
    assert fresh.is_current()


def test_a_gap_discards_all_evidence():
    """A process frozen for two seconds must not serve on evidence from before the freeze."""
    fresh, clock = make()
    fresh.record_store_read(clock.now_s, freshness.Revisions(1, 1))
    clock.now_s += 2.0
    assert not fresh.is_current()
    fresh.record_peer_reply(clock.now_s, freshness.Revisions(1, 1), 100)
    assert fresh.is_current()
