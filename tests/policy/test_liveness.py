"""Who is missed, and when it is this instance that is missing."""

from __future__ import annotations

import pytest

from turmericlug.policy import liveness as liveness_module

NAMES = [f"e{number}" for number in range(8)]


@pytest.mark.parametrize(
    ("present", "missed"),
    [(8, 0), (7, 1), (4, 4), (3, 0), (0, 0)],
    ids=["all there", "one ends", "half end", "most are silent", "all are silent"],
)
def test_who_is_missed(present, missed):
    """
    Instances lose power, and callers are told their addresses for as long as their leases last.
    Where this instance has just woken from a freeze, all the others seem to be silent: taken out,
    none of a data centre would be told.
    """
    attendance = liveness_module.PeerLiveness()
    for name in NAMES:
        attendance.record_contact(name, 0.0)
    for name in NAMES[:present]:
        attendance.record_contact(name, 3.0)
    expected = NAMES[present:] if missed else []
    assert attendance.find_missing(NAMES, 4.0) == expected
    assert attendance.find_missing(NAMES, 3.0) == []


def test_one_alone_can_be_missed():
    attendance = liveness_module.PeerLiveness()
    attendance.record_contact("a", 0.0)
    assert attendance.find_missing(["a"], 3.5) == ["a"]


@pytest.mark.parametrize("never_heard", ["b", "c"])
def test_whoever_never_asked_is_not_missed(never_heard):
    """An instance that follows the store itself asks nobody."""
    attendance = liveness_module.PeerLiveness()
    attendance.record_contact("a", 0.0)
    assert attendance.find_missing([never_heard], 20.0) == []


def test_whoever_was_taken_out_is_missed_once():
    attendance = liveness_module.PeerLiveness()
    attendance.record_contact("a", 0.0)
    attendance.forget("a")
    assert attendance.find_missing(["a"], 5.0) == []


@pytest.mark.parametrize(
    ("heard", "asked"),
    [({}, False), ({"first": 9.0}, False), ({"a": 9.0}, True), ({"a": 6.0}, False)],
)
def test_whether_others_ask(heard, asked):
    attendance = liveness_module.PeerLiveness()
    for name, at_s in heard.items():
        attendance.record_contact(name, at_s)
    assert attendance.has_recent_contact(10.0, but="first") is asked
