"""Which replicas of a service may take work."""

from __future__ import annotations

import pytest

from turmericlug.owner import choice
from turmericlug.owner import part as part_module
from turmericlug.owner import replica as replica_module

NOW_S = 100.0


def replica(name, **fields):
    return replica_module.Replica(name, name, "dc", 2.0, **{"limit": 2.0} | fields)


def ejected(name):
    return replica(name, ejections=1, ejected_until_s=NOW_S + 5)


@pytest.mark.parametrize(
    ("replicas", "names", "slots"),
    [
        pytest.param([], [], 0.0, id="none known"),
        pytest.param([replica("a"), replica("b")], ["a", "b"], 4.0, id="all sound"),
        pytest.param([replica("a"), ejected("b")], ["a"], 2.0, id="one ejected"),
        pytest.param([ejected("a"), ejected("b")], ["a", "b"], 4.0, id="all ejected are tried"),
        pytest.param([replica("a", leaving="draining")], [], 0.0, id="one that leaves, never"),
    ],
)
def test_usable(replicas, names, slots):
    found = choice.usable(replicas, NOW_S)
    assert [each.instance for each in found] == names
    assert choice.slots(replicas, NOW_S) == slots


@pytest.mark.parametrize(
    ("replicas", "tried", "free", "again"),
    [
        pytest.param([replica("a")], set(), "a", None, id="first attempt"),
        pytest.param([replica("a"), replica("b")], {"a"}, "b", "a", id="another one is left"),
        pytest.param([replica("a")], {"a"}, None, "a", id="a retry where it was"),
        pytest.param([replica("a", in_flight=2)], set(), None, None, id="no slot is free"),
        pytest.param(
            [replica("a", absent={"s1": NOW_S - 0.1})], set(), None, None, id="lacks the snapshot"
        ),
    ],
)
def test_where_a_part_goes(replicas, tried, free, again):
    part = part_module.Part(
        number=1,
        shard="s",
        snapshot="s1",
        caller="c",
        priority=5,
        deadline_s=NOW_S + 1,
        repeatable=True,
        hedge=True,
        retries=1,
        body=b"{}",
        reply=lambda reply: None,
        attempt_prefix="q",
    )
    part.tried |= tried
    chosen = choice.free(replicas, NOW_S, part)
    assert (chosen.instance if chosen else None) == free
    chosen = choice.free_again(replicas, NOW_S, part)
    assert (chosen.instance if chosen else None) == again
