"""Taking out the entries of instances that are missed."""

from __future__ import annotations

import asyncio

from turmericlug.entry import news
from turmericlug.entry import relay
from turmericlug.entry import view as view_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

LOOK_EVERY_S = 0.5
"""Adds to the 3 s of silence for which callers are told an instance that has ended."""
MOST_AT_ONCE = 16
"""Entries taken out by one call: half of what a source may have to take."""


async def take_out_missed(
    source: news.Source,
    view: view_module.View,
    relayed: relay.RelayedSource,
    counters: counters_module.Counters,
) -> None:
    """
    Look for ever for instances that have fallen silent, and take out their entries.

    An instance that lives all the same (only its connection here was lost) sees that as news and
    registers again.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(LOOK_EVERY_S)
        if view.source_away or view.source_age_s() > relay.STALE_S:
            # Cut off, or just awake: it is this instance that is missing.
            continue
        missed = relayed.missed(loop.time())[:MOST_AT_ONCE]
        entries = view.entries(missed)
        if not entries:
            continue
        try:
            removed = await source.remove(entries)
        except (news.SourceError, news.LeaseEndedError) as error:
            decisions.log("instance.not_taken_out", names=missed, reason=str(error))
            continue
        counters.add("instance.missed", len(entries) if removed else 0)
        decisions.log("instance.missed", names=missed, taken_out=removed)
        for name in missed:
            relayed.attendance.forget(name)
