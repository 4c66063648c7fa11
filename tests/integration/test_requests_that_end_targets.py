"""A request that ends the targets that run it, before a fleet of instances."""

from __future__ import annotations

import asyncio

from integration import conftest

LETHAL = "lethal"
AWAY_S = 0.5
SPREAD_S = 1.0
MOST_AFTER = 3
"""Attempts that may reach targets once the time to spread is over."""


def ends(fleet):
    """Return which targets' journals tell of an end."""
    return [line for line in fleet.journal() if line.get("event") == "ended"]


def test_a_request_that_ends_targets_is_held_back_by_all_instances(play):
    """
    One query ends each target that runs it, and its caller repeats it at any instance. Each owner
    retried it at the next target of its services, until none was left; now all owners together try
    it a few times and then answer without sending it.
    """

    async def scenario(fleet):
        for target in fleet.targets:
            await fleet.control(target, lethal=LETHAL, away_s=AWAY_S)
        names = list(fleet.daemons)
        query = {"service": "devis", "body": {"mark": LETHAL}}
        await fleet.query(names[0], **query)
        while len(ends(fleet)) < 3:
            await fleet.query(names[1], **query)
            await asyncio.sleep(0.1)
        await asyncio.sleep(SPREAD_S + 2 * AWAY_S)
        before = len(ends(fleet))
        reached = 0
        for number in range(12):
            status, answer = await fleet.query(names[number % len(names)], **query)
            assert status != 200
            reached += len(ends(fleet)) > before
            before = len(ends(fleet))
            await asyncio.sleep(0.2)
        assert reached <= MOST_AFTER
        await asyncio.sleep(2 * AWAY_S)
        status, answer = await fleet.query(names[0], service="devis", body={"mark": "other"})
        assert (status, answer["outcome"]) == (200, "complete")
        conftest.check_honest(fleet, [("other", status, answer)])

    play(scenario)
