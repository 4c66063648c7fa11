"""Tests of the choice of the instances that send to a replica."""

from __future__ import annotations

import collections

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.direct import placement

NAMES = strategies.sets(strategies.integers(0, 400).map(str), min_size=1, max_size=60)


@pytest.mark.parametrize(
    ("data_centre", "expected"),
    [("a", placement.SAME_DATA_CENTRE), ("b", placement.SAME_REGION), ("c", placement.OTHER_REGION),
     ("unknown", placement.OTHER_REGION)],
)  # fmt: skip
def test_distance(data_centre, expected):
    place = placement.Place("e", "a", {"a": "r", "b": "r", "c": "s"})
    assert place.distance(data_centre) == expected


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(NAMES)
def test_groups_are_spread_evenly(names):
    """Guards against overloaded owners: a query is as slow as the slowest of its owners."""
    groups = placement.owners_by_group(names)
    counts = collections.Counter(name for owners in groups for name in owners)
    assert all(len(set(owners)) == min(placement.OWNERS_PER_GROUP, len(names)) for owners in groups)
    assert max(counts.values()) - min(counts.get(name, 0) for name in names) <= 1


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(NAMES, strategies.randoms(use_true_random=False))
def test_owners_do_not_depend_on_the_order_of_instances(names, rng):
    shuffled = list(names)
    rng.shuffle(shuffled)
    assert placement.owners_by_group(shuffled) == placement.owners_by_group(names)


def test_a_lost_instance_moves_few_groups():
    names = [f"front-{number}" for number in range(12)]
    before = placement.owners_by_group(names)
    for lost in names:
        after = placement.owners_by_group([name for name in names if name != lost])
        assert len(after) == len(before)
        assert sum(not set(old) & set(new) for old, new in zip(before, after, strict=True)) <= 1


def test_common_replica():
    """
    Replicas in the data centre that the part is handed to come first, and all instances compute the
    same result. Among several replicas the choice varies by request, so that they get equal shares.
    """
    data_centres = {"a": "here", "b": "there", "c": "elsewhere"}
    ids = [b"q%d" % number for number in range(60)]
    assert {placement.common_replica(request_id, data_centres, "here") for request_id in ids} == {
        "a"
    }
    del data_centres["a"]
    chosen = [placement.common_replica(request_id, data_centres, "here") for request_id in ids]
    assert 20 < chosen.count("b") < 40
    reordered = dict(reversed(data_centres.items()))
    assert [placement.common_replica(request_id, reordered, "here") for request_id in ids] == chosen
