"""Taking out the entries of instances that are missed."""

from __future__ import annotations

import asyncio
import collections
from collections import abc

from turmericlug.entry import relay
from turmericlug.entry import source as source_module
from turmericlug.entry import view as view_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

CHECK_INTERVAL_S = 0.5
"""Adds to the 3 s of silence for which callers are told an instance that has ended."""
MAX_BATCH = 16
"""Entries taken out by one call: half of what a source may have to take."""
MAX_REMEMBERED = 256
"""Entries taken out lately: a copy from which the source returns is some seconds old."""


async def deregister_silent(
    source: source_module.Source,
    view: view_module.View,
    relayed: relay.RelayedSource,
    counters: counters_module.Counters,
) -> None:
    """
    Look for ever for instances that have fallen silent, and take out their entries.

    An instance that lives all the same (only its connection here was lost) sees that as news and
    registers again. An entry that was taken out and is shown again, as the source has returned from
    a copy, is taken out again.
    """
    loop = asyncio.get_running_loop()
    taken_out: collections.OrderedDict[str, source_module.Written] = collections.OrderedDict()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if view.source_unreachable or view.source_age_s() > relay.MAX_AGE_S:
            # Cut off, or just awake: it is this instance that is missing.
            continue
        missed = relayed.silent_instances(loop.time())
        entries = [*view.entries(missed), *_reappeared(view, taken_out)][:MAX_BATCH]
        if not entries:
            continue
        names = [each.value.name for each in entries]
        try:
            removed = await source.remove(entries)
        except (source_module.SourceError, source_module.LeaseEndedError) as error:
            decisions.log("instance.not_taken_out", names=names, reason=str(error))
            continue
        counters.add("instance.missed", len(entries) if removed else 0)
        decisions.log("instance.missed", names=names, taken_out=removed)
        for name, entry in zip(names, entries, strict=True):
            relayed.attendance.forget(name)
            taken_out[name] = entry
            if len(taken_out) > MAX_REMEMBERED:
                taken_out.popitem(last=False)


def _reappeared(
    view: view_module.View, taken_out: abc.Mapping[str, source_module.Written]
) -> list[source_module.Written]:
    """Return the entries that are shown in a later era as they were when they were taken out."""
    return [
        each
        for each in view.entries(taken_out)
        if each.era > taken_out[each.value.name].era
        and (each.revision, each.value)
        == (taken_out[each.value.name].revision, taken_out[each.value.name].value)
    ]
