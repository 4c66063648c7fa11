"""Who sends to a replica."""

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
def test_work_is_spread(names):
    """No instance owns more than its part: the slowest machine would decide every answer."""
    groups = placement.owners_by_group(names)
    counts = collections.Counter(name for owners in groups for name in owners)
    assert all(len(set(owners)) == min(placement.OWNERS_PER_GROUP, len(names)) for owners in groups)
    assert max(counts.values()) - min(counts.get(name, 0) for name in names) <= 1


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(NAMES, strategies.randoms(use_true_random=False))
def test_every_instance_finds_the_same_owners(names, rng):
    shuffled = list(names)
    rng.shuffle(shuffled)
    assert placement.owners_by_group(shuffled) == placement.owners_by_group(names)


def test_a_lost_instance_moves_few_groups():
    names = [f"front-{number}" for number in range(12)]
    before = placement.owners_by_group(names)
    for lost in names:
        after = placement.owners_by_group([name for name in names if name != lost])
        assert len(after) == len(before)
        assert sum(not set(a) & set(b) for a, b in zip(before, after, strict=True)) <= 1


def test_the_replica_that_every_instance_may_send_a_part_to():
    """
    One of the data centre that it is handed to comes first, whichever instance works it out; which
    of several it is changes from request to request, so that all get their share.
    """
    places = {"a": "here", "b": "there", "c": "elsewhere"}
    ids = [b"q%d" % each for each in range(60)]
    assert {placement.common_replica(each, places, "here") for each in ids} == {"a"}
    del places["a"]
    found = [placement.common_replica(each, places, "here") for each in ids]
    assert 20 < found.count("b") < 40
    turned = dict(reversed(places.items()))
    assert [placement.common_replica(each, turned, "here") for each in ids] == found
