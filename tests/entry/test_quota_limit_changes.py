"""Changes of a quota in a fleet, beside losses of the holder of its tokens."""

from __future__ import annotations

import asyncio

import pytest
import quota_fleet

RESTORED = quota_fleet.organisation(16.0, 80.0)
LOWERED = quota_fleet.organisation(1.6, 8.0)
LOAD_PER_S, DURATION_S = 75.0, 10.0
LOWERED_AFTER_S, RESTORED_AFTER_S = 2.0, 3.2
LOWERED_S = RESTORED_AFTER_S - LOWERED_AFTER_S
OWED = (
    RESTORED.burst + RESTORED.rate_per_s * (DURATION_S - LOWERED_S) + LOWERED.rate_per_s * LOWERED_S
)
"""Requests within the quotas in force."""


async def no_loss(fleet):
    pass


async def holder_dies(fleet):
    fleet.stop(fleet.holders()[0])


async def holder_leaves(fleet):
    holder = fleet.holders()[0]
    fleet.quotas[holder].leave()
    await asyncio.sleep(0.3)
    fleet.set_listed([name for name in fleet.listed if name != holder])


async def holder_restarts(fleet):
    holder = fleet.holders()[0]
    fleet.stop(holder)
    await asyncio.sleep(0.3)
    fleet.start(holder, is_young=True)


async def standby_dies(fleet):
    fleet.stop(fleet.holders()[1])


def play(loss, lost_after_s, seed=1):
    async def main():
        fleet = quota_fleet.Fleet(6, RESTORED, seed=seed)
        fleet.start_all()
        askers = [name for name in fleet.names if name not in fleet.holders()]
        load = asyncio.create_task(fleet.load(LOAD_PER_S, DURATION_S, askers))

        async def lose():
            await asyncio.sleep(lost_after_s)
            await loss(fleet)

        losing = asyncio.create_task(lose())
        await asyncio.sleep(LOWERED_AFTER_S)
        fleet.configure(LOWERED)
        await asyncio.sleep(LOWERED_S)
        fleet.configure(RESTORED)
        await asyncio.gather(load, losing)
        return fleet

    return quota_fleet.run(main)


@pytest.mark.parametrize(
    "loss",
    [no_loss, holder_dies, holder_leaves, holder_restarts, standby_dies],
    ids=lambda f: f.__name__,
)
@pytest.mark.parametrize("lost_after_s", [1.0, 1.9, 2.2, 2.6, 3.1, 3.3])
@pytest.mark.parametrize("seed", range(2))
def test_a_restored_quota_grants_its_burst_once(loss, lost_after_s, seed):
    """A quota is lowered by mistake and restored, and the holder that knows its use is lost."""
    fleet = play(loss, lost_after_s, seed)
    assert fleet.most_in_a_window() <= fleet.bound()
    assert len(fleet.admitted_s) >= 0.8 * OWED
