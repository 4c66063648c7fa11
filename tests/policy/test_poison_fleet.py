"""
Simulations of crashing replicas behind many instances, due to one request or to other faults.

Some requests are popular and repeat again and again, the others occur once; callers retry once.
"""

from __future__ import annotations

import fleet_model
import pytest

DURATION_S = 12.0
REQUESTS_PER_S = 80.0
POPULAR = 30
POPULAR_SHARE = 0.5
MAX_LATE_ATTEMPTS = 3
"""Attempts of the poison request that may reach replicas after the propagation time."""
PROPAGATION_S = 1.0
"""Time that reports may take to reach all instances."""
POISON_INTERVAL_S = 0.37


def make_fleet(instances, seed):
    """Return a fleet with scheduled requests."""
    fleet = fleet_model.Fleet(instances, seed)
    for number in range(int(DURATION_S * REQUESTS_PER_S)):
        if fleet.rng.random() < POPULAR_SHARE:
            fingerprint = b"popular-%d" % fleet.rng.randrange(POPULAR)
        else:
            fingerprint = b"once-%d" % number
        fleet.schedule(fleet.rng.uniform(0.0, DURATION_S), fleet.submit, fingerprint)
    return fleet


def crash_all(fleet, replicas, downtime_s=1.0):
    for replica in replicas:
        fleet.crash(replica, replica.starts, downtime_s)


def all_replicas(fleet):
    return [replica for shard in fleet.shards for replica in shard]


def shard_by_shard(fleet):
    for second in range(1, 11):
        fleet.schedule(
            second, lambda n=second: crash_all(fleet, fleet.shards[n % fleet_model.SHARDS])
        )


def rack_loss(fleet):
    for second in (2.0, 5.0, 8.0):
        replicas = fleet.rng.sample(all_replicas(fleet), 13)
        fleet.schedule(second, crash_all, fleet, replicas)


def staggered(fleet):
    for number, replica in enumerate(all_replicas(fleet)):
        fleet.schedule(1.0 + 0.2 * number, crash_all, fleet, [replica])


def power_loss(fleet):
    for second in (3.0, 7.0):
        fleet.schedule(second, lambda: crash_all(fleet, all_replicas(fleet), 2.0))


def poison_request(fleet):
    sent_s = 2.0
    while sent_s < DURATION_S:
        fleet.schedule(sent_s, fleet.submit, fleet_model.POISON)
        sent_s += POISON_INTERVAL_S


@pytest.mark.parametrize("instances", [7, 195])
@pytest.mark.parametrize("fault", [shard_by_shard, rack_loss, staggered, power_loss])
def test_no_request_is_withheld_when_replicas_crash_for_other_reasons(fault, instances):
    """
    Popular queries are in flight at many replicas that crash: both of a shard at once, a rack, one
    after the other, all. If they were withheld, thousands of callers would get no answer.
    """
    for seed in range(3):
        fleet = make_fleet(instances, seed)
        fault(fleet)
        fleet.run(DURATION_S + 5)
        assert fleet.requests == int(DURATION_S * REQUESTS_PER_S)
        assert fleet.rejected == 0


@pytest.mark.parametrize("instances", [7, 195])
def test_a_poison_request_is_withheld_and_concurrent_requests_are_served(instances):
    """
    A request that crashes replicas is sent every 0.37 s, to any instance, while others are in
    flight at the replicas that crash.
    """
    for seed in range(6):
        fleet = make_fleet(instances, seed)
        poison_request(fleet)
        fleet.run(DURATION_S + 5)
        third_s = fleet.crashes_s[2]
        late = [
            reached_s for reached_s in fleet.poison_reached_s if reached_s > third_s + PROPAGATION_S
        ]
        assert len(late) <= MAX_LATE_ATTEMPTS
        assert fleet.rejected == 0


@pytest.mark.parametrize("instances", [7, 195])
def test_single_crashes_at_different_instances_are_counted_together(instances):
    """One replica is up, so that each attempt crashes one, observed by a random instance."""
    fleet = fleet_model.Fleet(instances, 1, replicas=1)
    for shard in fleet.shards[1:]:
        shard[0].up = False
    fleet.shards[0][0].up = True
    for number in range(20):
        fleet.schedule(1.5 * number, fleet.submit, fleet_model.POISON)
    fleet.run(60.0)
    third_s = fleet.crashes_s[2]
    late = [
        reached_s for reached_s in fleet.poison_reached_s if reached_s > third_s + PROPAGATION_S
    ]
    assert len(late) <= MAX_LATE_ATTEMPTS
    assert len(fleet.crashes_s) <= 2 + MAX_LATE_ATTEMPTS
