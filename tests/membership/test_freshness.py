from __future__ import annotations

import asyncio

import pytest

from turmericlug.membership import freshness


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s

    def advance(self, tracker, duration_s):
        for _ in range(int(duration_s * 10)):
            self.now_s += 0.1
            tracker.tick()


def make_tracker(rules=1):
    clock = Clock()
    tracker = freshness.Freshness(3000, clock)
    tracker.in_force = freshness.Revisions(rules, 1)
    return tracker, clock


def test_without_configuration_is_not_current():
    tracker, clock = make_tracker(0)
    tracker.record_store_read(clock.now_s, freshness.Revisions(0, 0))
    assert not tracker.is_current()


def test_evidence_from_the_store_ages():
    tracker, clock = make_tracker()
    tracker.record_store_read(clock.now_s, freshness.Revisions(1, 1))
    clock.advance(tracker, 2.5)
    assert tracker.is_current()
    assert 2400 <= tracker.age_ms() <= 2600
    clock.advance(tracker, 1)
    assert not tracker.is_current()


def test_evidence_from_a_peer_keeps_its_age():
    tracker, clock = make_tracker()
    tracker.record_peer_reply(clock.now_s, freshness.Revisions(1, 1), 2000)
    assert tracker.age_ms() == 2000


@pytest.mark.parametrize("newer", [freshness.Revisions(2, 1), freshness.Revisions(1, 2)])
def test_a_known_newer_revision_stops_serving(newer):
    tracker, clock = make_tracker()
    tracker.record_store_read(clock.now_s, freshness.Revisions(1, 1))
    tracker.record_peer_reply(clock.now_s, newer, 0)
    assert not tracker.is_current()
    tracker.in_force = newer
    assert tracker.is_current()


def test_a_peer_with_older_revisions_is_no_evidence_from_the_store():
    tracker, clock = make_tracker(2)
    tracker.record_peer_reply(clock.now_s, freshness.Revisions(1, 1), 0)
    assert tracker.age_ms() > 10**6
    assert tracker.is_current()


def test_a_gap_discards_all_evidence():
    """A process frozen for two seconds must not serve on evidence from before the freeze."""
    tracker, clock = make_tracker()
    tracker.record_store_read(clock.now_s, freshness.Revisions(1, 1))
    clock.now_s += 2.0
    assert not tracker.is_current()
    tracker.record_peer_reply(clock.now_s, freshness.Revisions(1, 1), 100)
    assert tracker.is_current()


@pytest.mark.parametrize("is_from_peer", [False, True], ids=["store", "peer"])
def test_evidence_that_was_requested_before_a_gap_is_void(is_from_peer):
    """A reply that waited in the socket during a freeze must not confirm the rules from before."""
    tracker, clock = make_tracker()
    requested_at_s = clock.now_s
    clock.now_s += 2.0
    if is_from_peer:
        tracker.record_peer_reply(requested_at_s, freshness.Revisions(1, 1), 0)
    else:
        tracker.record_store_read(requested_at_s, freshness.Revisions(1, 1))
    assert not tracker.is_current()
    assert tracker.age_ms() > 10**6


@pytest.mark.parametrize(
    ("renewal", "is_current"),
    [("answered", True), ("failed", False), ("newer", False), ("none", False), ("endless", False)],
)
def test_queries_wait_only_for_a_renewal(renewal, is_current):
    """Guards against refusals in vain after a pause, and against a wait that nothing will end."""

    async def main():
        tracker, clock = make_tracker()
        tracker.record_store_read(clock.now_s, freshness.Revisions(1, 1))
        started = []

        async def renew():
            await asyncio.sleep(60 if renewal == "endless" else 0.01)
            if renewal in ("answered", "newer"):
                newest = freshness.Revisions(1 if renewal == "answered" else 2, 1)
                tracker.record_peer_reply(clock.now_s, newest, 0)

        def start():
            started.append(asyncio.create_task(renew()))
            tracker.track_renewal(started[-1])

        if renewal != "none":
            tracker.on_gap.append(start)
        clock.now_s += 2.0
        async with asyncio.timeout(10):
            result = await tracker.wait_until_current(clock.now_s + 0.2)
        for task in started:
            task.cancel()
        return result, len(started)

    assert asyncio.run(main()) == (is_current, renewal != "none")
