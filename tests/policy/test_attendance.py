"""Who is missed, and when it is this instance that is missing."""

from __future__ import annotations

import pytest

from turmericlug.policy import attendance as attendance_module

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
    attendance = attendance_module.Attendance()
    for name in NAMES:
        attendance.heard(name, 0.0)
    for name in NAMES[:present]:
        attendance.heard(name, 3.0)
    expected = NAMES[present:] if missed else []
    assert attendance.silent(NAMES, 4.0) == expected
    assert attendance.silent(NAMES, 3.0) == []


def test_one_alone_can_be_missed():
    attendance = attendance_module.Attendance()
    attendance.heard("a", 0.0)
    assert attendance.silent(["a"], 3.5) == ["a"]


@pytest.mark.parametrize("never_heard", ["b", "c"])
def test_whoever_never_asked_is_not_missed(never_heard):
    """An instance that follows the store itself asks nobody."""
    attendance = attendance_module.Attendance()
    attendance.heard("a", 0.0)
    assert attendance.silent([never_heard], 20.0) == []


def test_whoever_was_taken_out_is_missed_once():
    attendance = attendance_module.Attendance()
    attendance.heard("a", 0.0)
    attendance.forget("a")
    assert attendance.silent(["a"], 5.0) == []


@pytest.mark.parametrize(
    ("heard", "asked"),
    [({}, False), ({"first": 9.0}, False), ({"a": 9.0}, True), ({"a": 6.0}, False)],
)
def test_whether_others_ask(heard, asked):
    attendance = attendance_module.Attendance()
    for name, at_s in heard.items():
        attendance.heard(name, at_s)
    assert attendance.is_asked(10.0, but="first") is asked
