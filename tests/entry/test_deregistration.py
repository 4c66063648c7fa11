"""Deregistering silent instances, and sparing those that still run."""

from __future__ import annotations

import asyncio
import collections
import contextlib

import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.entry import deregistration
from turmericlug.entry import relay
from turmericlug.entry import source as source_module
from turmericlug.entry import view as view_module
from turmericlug.policy import liveness
from turmericlug.telemetry import counters


class Source:
    """Removes keys, or fails to."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.calls = []

    async def remove(self, written):
        self.calls.append([entry.key for entry in written])
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def instance(name):
    return source_module.Written(
        f"i/{name}", source_module.EntryInstance(name, "10.0.0.1:80", "dc", "r", "10.0.0.1:81"), 3
    )


@pytest.mark.parametrize(
    ("silent", "age_s", "outcome", "calls", "counted"),
    [
        (["a"], 0.0, True, 1, 1),
        (["a", "unknown"], 0.0, True, 1, 1),
        (["unknown"], 0.0, True, 0, 0),
        (["a"], 2.0, True, 0, 0),
        (["a"], 0.0, False, 1, 0),
        (["a"], 0.0, source_module.SourceError("busy"), 2, 0),
    ],
    ids=["removed", "one is known", "not known", "cut off", "written since", "busy"],
)
def test_entries_of_silent_instances_are_removed(
    silent, age_s, outcome, calls, counted, monkeypatch
):
    """
    Guards against callers that are given the addresses of dead instances until their leases expire:
    after a power failure, the relay removes the entries of silent instances, unless it is cut off
    from the source itself.
    """
    monkeypatch.setattr(deregistration, "CHECK_INTERVAL_S", 0.001)
    now_s = 10.0

    def make_pool(entry):
        return pool_module.Pool(None, lambda: 1, lambda: now_s)

    peers = replicas_module.Replicas(make_pool, scripted.PLACE, budget.Allowance())
    view = view_module.View("own", peers, peers, lambda: now_s)
    view.apply_snapshot(source_module.Snapshot((instance("a"), instance("b")), 3))
    view.record_source_answer(age_s)
    totals = counters.Counters()
    source = Source(outcome)
    relayed_source = relay.RelayedSource(
        source, None, scripted.PLACE, peers, totals, liveness.PeerLiveness()
    )
    still_silent = list(silent)
    checked_s = []

    def silent_now(relayed_source, at_s):
        checked_s.append(at_s)
        return [] if counted and totals.totals["instance.missed"] else still_silent

    monkeypatch.setattr(relay.RelayedSource, "silent_instances", silent_now)

    async def main():
        task = asyncio.create_task(
            deregistration.deregister_silent(
                source, view, relayed_source, totals, collections.OrderedDict()
            )
        )
        async with asyncio.timeout(10):
            while len(source.calls) < calls or (not calls and len(checked_s) < 3 and age_s < 1):
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.02)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(main())
    assert bool(source.calls) is bool(calls)
    assert all(keys == ["i/a"] for keys in source.calls)
    assert totals.totals["instance.missed"] == counted
    assert bool(checked_s) is (age_s < relay.MAX_AGE_S)
