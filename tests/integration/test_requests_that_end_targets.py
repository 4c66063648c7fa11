"""A request that crashes every target that runs it, sent to a fleet of instances."""

from __future__ import annotations

import asyncio

from integration import conftest

CRASH_MARKER = "lethal"
AWAY_S = 0.5
PROPAGATION_S = 1.0
"""Time for every instance to learn what the others have observed."""
MAX_LATER_ATTEMPTS = 3
"""Attempts that may reach targets after ``PROPAGATION_S``."""


def crashes(fleet):
    """Return the crashes that the targets' journals record."""
    return [entry for entry in fleet.journal() if entry.get("event") == "ended"]


def test_a_request_that_ends_targets_is_held_back_by_all_instances(run_scenario):
    """
    One query crashes each target that runs it, and its caller repeats it at any instance. Each
    owner used to retry it at the next target of its services until none was left; now all owners
    together must try it a few times and then answer without sending it.
    """

    async def scenario(fleet):
        for target in fleet.targets:
            await fleet.control(target, lethal=CRASH_MARKER, away_s=AWAY_S)
        daemon_names = list(fleet.daemons)
        query = {"service": "devis", "body": {"mark": CRASH_MARKER}}
        await fleet.query(daemon_names[0], **query)
        while len(crashes(fleet)) < 3:
            await fleet.query(daemon_names[1], **query)
            await asyncio.sleep(0.1)
        await asyncio.sleep(PROPAGATION_S + 2 * AWAY_S)
        crashes_before = len(crashes(fleet))
        attempts_run = 0
        for number in range(12):
            status, answer = await fleet.query(daemon_names[number % len(daemon_names)], **query)
            assert status != 200
            attempts_run += len(crashes(fleet)) > crashes_before
            crashes_before = len(crashes(fleet))
            await asyncio.sleep(0.2)
        assert attempts_run <= MAX_LATER_ATTEMPTS
        await asyncio.sleep(2 * AWAY_S)
        status, answer = await fleet.query(daemon_names[0], service="devis", body={"mark": "other"})
        assert (status, answer["outcome"]) == (200, "complete")
        conftest.check_answers(fleet, [("other", status, answer)])

    run_scenario(scenario)
