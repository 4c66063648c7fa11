"""Selection of the replica that gets the next attempt."""

from __future__ import annotations

import pytest

from turmericlug.owner import part as part_module
from turmericlug.owner import replica as replica_module
from turmericlug.owner import selection

NOW_S = 100.0


def replica(name, **fields):
    return replica_module.Replica(name, name, "dc", 2.0, **{"limit": 2.0} | fields)


def ejected(name):
    return replica(name, consecutive_ejections=1, ejected_until_s=NOW_S + 5)


@pytest.mark.parametrize(
    ("replicas", "names", "slots"),
    [
        pytest.param([], [], 0.0, id="none known"),
        pytest.param([replica("a"), replica("b")], ["a", "b"], 4.0, id="all healthy"),
        pytest.param([replica("a"), ejected("b")], ["a"], 2.0, id="one ejected"),
        pytest.param([ejected("a"), ejected("b")], ["a", "b"], 4.0, id="all ejected, all eligible"),
        pytest.param(
            [replica("a", draining_reason="draining")], [], 0.0, id="a draining one, never"
        ),
    ],
)
def test_eligible_replicas_and_their_slots(replicas, names, slots):
    eligible = selection.eligible(replicas, NOW_S)
    assert [eligible_replica.instance for eligible_replica in eligible] == names
    assert selection.total_slots(replicas, NOW_S) == slots


@pytest.mark.parametrize(
    ("replicas", "tried", "untried", "for_retry"),
    [
        pytest.param([replica("a")], set(), "a", None, id="first attempt"),
        pytest.param([replica("a"), replica("b")], {"a"}, "b", "a", id="one is untried"),
        pytest.param([replica("a")], {"a"}, None, "a", id="retry at the same replica"),
        pytest.param([replica("a", in_flight=2)], set(), None, None, id="no slot is free"),
        pytest.param(
            [replica("a", absent_snapshots={"s1": NOW_S - 0.1})],
            set(),
            None,
            None,
            id="lacks the snapshot",
        ),
    ],
)
def test_selection_for_a_first_attempt_and_for_a_retry(replicas, tried, untried, for_retry):
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
        attempt_id_prefix="q",
    )
    part.tried_replicas |= tried
    selected = selection.select_untried(replicas, NOW_S, part)
    assert (selected.instance if selected else None) == untried
    selected = selection.select_for_retry(replicas, NOW_S, part)
    assert (selected.instance if selected else None) == for_retry


def test_reports_of_absent_snapshots_are_forgotten():
    """Guards against a list of all snapshots that a replica lacked, over a year of versions."""
    reporting = replica("a")
    for number in range(100):
        reporting.record_absent(f"s{number}", NOW_S + number)
    assert list(reporting.absent_snapshots) == ["s99"]
    assert reporting.lacks_snapshot("s99", NOW_S + 99.2)
    assert not reporting.lacks_snapshot("s99", NOW_S + 99.3)
