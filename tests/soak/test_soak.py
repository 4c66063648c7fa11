"""A short seeded soak, and every seed that ever failed."""

from __future__ import annotations

import pytest
import soak

SHORT_S = 4.0
REGRESSIONS: dict[int, str] = {}
"""Seeds that broke a promise once, with the cause."""


@pytest.mark.parametrize("seed", [101, 102])
def test_seeds_keep_every_promise(seed):
    """
    Instances are killed, frozen and stopped, the store is away, forgets and lets leases lapse,
    replicas refuse, lose and garble, all overlapping, while callers keep their connections.
    """
    assert soak.play(seed, SHORT_S) == []


@pytest.mark.parametrize("seed", sorted(REGRESSIONS))
def test_seeds_that_failed_once(seed):
    assert soak.play(seed, 8.0) == []
