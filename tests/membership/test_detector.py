"""What a detector takes from the gossip of its peers."""

from __future__ import annotations

import types

import attrs
import pytest

from turmericlug.membership import detector as detector_module
from turmericlug.membership import freshness as freshness_module
from turmericlug.membership import members
from turmericlug.telemetry import counters as counters_module

OWN = members.Member("me", members.ALIVE, 1, "127.0.0.1", 1, 2, "dc")


@pytest.mark.parametrize("name", ["me", "peer"])
def test_incarnation_that_can_not_be_raised_is_ignored(name):
    """An incarnation of 2^64 - 1, once raised by one, no longer fits into any message."""
    view, counters = members.Members(OWN), counters_module.Counters()
    mesh = types.SimpleNamespace(members=view)
    detector = detector_module.Detector(
        mesh, freshness_module.Freshness(3000), counters, 100, 100, 500
    )
    odd = attrs.evolve(OWN, instance=name, incarnation=2**64 - 1)
    sound = attrs.evolve(OWN, instance="other")
    detector._merge_updates(_received([odd, sound]))
    view.announce(ready=True)
    assert view.own.incarnation == 2
    assert sorted(view.by_instance) == ["me", "other"]
    assert counters.totals["membership.unreadable"] == 1


def _received(gossiped):
    """Return members as they arrive in a message."""
    return [types.SimpleNamespace(**item) for item in members.to_wire(gossiped)]
