"""Short seeded soak tests, including every seed that has ever failed."""

from __future__ import annotations

import pytest
import soak

DURATION_S = 4.0
SEEDS = (101, 102)
REGRESSIONS = {
    3104: "a watch kept waiting in an era that was known to be superseded",
    3207: "a watch kept waiting in an era that was known to be superseded",
}
"""Seeds that once violated a guarantee, with the cause; they stay in the test for good."""
PROCESS_SEEDS = (5002, 5003, 5004)
ENDLESS_SEEDS = (6101,)


@pytest.mark.parametrize("seed", [*SEEDS, *REGRESSIONS])
def test_seeds_violate_no_guarantee(seed):
    """
    Instances are killed, frozen and stopped; the store fails, loses history and lets leases expire;
    replicas refuse requests and lose or corrupt responses. These faults overlap while callers keep
    their connections.
    """
    assert soak.run_seed(seed, DURATION_S) == []


@pytest.mark.parametrize("seed", PROCESS_SEEDS)
def test_nothing_from_outside_ends_a_process(seed):
    """
    Signals, held ports and half written settings ended processes while they started; odd values and
    answers of the store ended the tasks that read them.
    """
    assert soak.run_seed(seed, DURATION_S, profile="processes") == []


@pytest.mark.parametrize("seed", ENDLESS_SEEDS)
def test_answers_without_end_violate_no_guarantee(seed):
    """
    Replicas sent answers without end beside all other faults: instances outgrew their machine, and
    callers of sound replicas waited.
    """
    assert soak.run_seed(seed, DURATION_S, profile="endless") == []
