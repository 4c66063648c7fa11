"""
Replays of replicas that end, for one request or for other reasons, before many instances.

Requests are popular ones, which come again and again, or asked once; callers come back once.
"""

from __future__ import annotations

import fleet_model
import pytest

SECONDS = 12.0
PER_S = 80.0
POPULAR = 30
POPULAR_SHARE = 0.5
MOST_AFTER = 3
"""Attempts of the culprit that may reach replicas once the time to spread is over."""
SPREAD_S = 1.0
LETHAL_EVERY_S = 0.37


def begin(instances, seed):
    """Return a fleet with callers."""
    fleet = fleet_model.Fleet(instances, seed)
    for number in range(int(SECONDS * PER_S)):
        if fleet.rng.random() < POPULAR_SHARE:
            request = b"popular-%d" % fleet.rng.randrange(POPULAR)
        else:
            request = b"once-%d" % number
        fleet.at(fleet.rng.uniform(0.0, SECONDS), fleet.ask, request)
    return fleet


def end_all(fleet, replicas, away_s=1.0):
    for replica in replicas:
        fleet.end(replica, replica.starts, away_s)


def everything(fleet):
    return [replica for shard in fleet.shards for replica in shard]


def shard_by_shard(fleet):
    for second in range(1, 11):
        fleet.at(second, lambda n=second: end_all(fleet, fleet.shards[n % fleet_model.SHARDS]))


def rack(fleet):
    for second in (2.0, 5.0, 8.0):
        replicas = fleet.rng.sample(everything(fleet), 13)
        fleet.at(second, end_all, fleet, replicas)


def rolling(fleet):
    for number, replica in enumerate(everything(fleet)):
        fleet.at(1.0 + 0.2 * number, end_all, fleet, [replica])


def power_loss(fleet):
    for second in (3.0, 7.0):
        fleet.at(second, lambda: end_all(fleet, everything(fleet), 2.0))


def culprit(fleet):
    moment_s = 2.0
    while moment_s < SECONDS:
        fleet.at(moment_s, fleet.ask, fleet_model.LETHAL)
        moment_s += LETHAL_EVERY_S


@pytest.mark.parametrize("instances", [7, 195])
@pytest.mark.parametrize("trouble", [shard_by_shard, rack, rolling, power_loss])
def test_the_innocent_are_served_while_replicas_end_for_other_reasons(trouble, instances):
    """
    Popular queries are under way at replica after replica that ends: a shard's two at once, a rack,
    one after the other, all. Held back for it, thousands of callers would go without.
    """
    for seed in range(3):
        fleet = begin(instances, seed)
        trouble(fleet)
        fleet.run(SECONDS + 5)
        assert fleet.asked == int(SECONDS * PER_S)
        assert fleet.turned_away == 0


@pytest.mark.parametrize("instances", [7, 195])
def test_a_culprit_is_held_back_and_those_beside_it_are_served(instances):
    """
    A request that ends replicas comes each 0.37 s, at any instance, beside others that are under
    way at the replicas that end.
    """
    for seed in range(6):
        fleet = begin(instances, seed)
        culprit(fleet)
        fleet.run(SECONDS + 5)
        third_s = fleet.ends_s[2]
        after = [each for each in fleet.lethal_reached_s if each > third_s + SPREAD_S]
        assert len(after) <= MOST_AFTER
        assert fleet.turned_away == 0


@pytest.mark.parametrize("instances", [7, 195])
def test_ends_one_at_a_time_at_different_instances_add_up(instances):
    """One replica is up at a time, so that each attempt ends one, seen by a random instance."""
    fleet = fleet_model.Fleet(instances, 1, replicas=1)
    for shard in fleet.shards[1:]:
        shard[0].up = False
    fleet.shards[0][0].up = True
    for number in range(20):
        fleet.at(1.5 * number, fleet.ask, fleet_model.LETHAL)
    fleet.run(60.0)
    third_s = fleet.ends_s[2]
    after = [each for each in fleet.lethal_reached_s if each > third_s + SPREAD_S]
    assert len(after) <= MOST_AFTER
    assert len(fleet.ends_s) <= 2 + MOST_AFTER
