"""Detection of silent peers, and of the case that this instance itself was cut off."""

from __future__ import annotations

import pytest

from turmericlug.policy import liveness as liveness_module

NAMES = [f"e{number}" for number in range(8)]


@pytest.mark.parametrize(
    ("present", "silent"),
    [(8, 0), (7, 1), (4, 4), (3, 0), (0, 0)],
    ids=["all present", "one ends", "half end", "most are silent", "all are silent"],
)
def test_missing_peers(present, silent):
    """
    Instances lose power, and callers are given their addresses until their leases expire. After a
    freeze of this instance, however, all others seem to be silent; if their entries were removed,
    callers would be given no instance of the data centre.
    """
    liveness = liveness_module.PeerLiveness()
    for name in NAMES:
        liveness.record_contact(name, 0.0)
    for name in NAMES[:present]:
        liveness.record_contact(name, 3.0)
    expected = NAMES[present:] if silent else []
    assert liveness.find_silent(NAMES, 4.0) == expected
    assert liveness.find_silent(NAMES, 3.0) == []


def test_a_single_peer_can_be_missing():
    liveness = liveness_module.PeerLiveness()
    liveness.record_contact("a", 0.0)
    assert liveness.find_silent(["a"], 3.5) == ["a"]


@pytest.mark.parametrize("unknown", ["b", "c"])
def test_a_peer_without_contact_is_not_missing(unknown):
    """An instance that watches the store itself polls no other."""
    liveness = liveness_module.PeerLiveness()
    liveness.record_contact("a", 0.0)
    assert liveness.find_silent([unknown], 20.0) == []


def test_a_removed_peer_is_reported_missing_once():
    liveness = liveness_module.PeerLiveness()
    liveness.record_contact("a", 0.0)
    liveness.forget("a")
    assert liveness.find_silent(["a"], 5.0) == []


@pytest.mark.parametrize(
    ("contacts", "recent"),
    [({}, False), ({"first": 9.0}, False), ({"a": 9.0}, True), ({"a": 6.0}, False)],
)
def test_recent_contact(contacts, recent):
    liveness = liveness_module.PeerLiveness()
    for name, at_s in contacts.items():
        liveness.record_contact(name, at_s)
    assert liveness.has_recent_contact(10.0, excluding="first") is recent
