"""Deregister instances that have fallen silent."""

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
"""How often to look for silent instances. Callers are given the address of an ended instance for
this time on top of the 3 s of silence."""
MAX_BATCH = 16
"""Entries removed by one call: half of what the source accepts in one call."""
MAX_REMEMBERED = 256
"""Entries removed recently that are remembered, in case the source is restored from a copy that
still holds them; such a copy is some seconds old."""

RemovedEntries = collections.OrderedDict[str, source_module.Written]
"""Recently removed entries of instances, by name."""


async def deregister_silent(
    source: source_module.Source,
    view: view_module.View,
    relayed_source: relay.RelayedSource,
    counters: counters_module.Counters,
    removed_entries: RemovedEntries,
) -> None:
    """
    Remove the entries of silent instances from the source, until cancelled.

    An instance that still runs, and has only lost its connection to this one, receives the removal
    as a change and registers again. An entry that reappears because the source has been restored
    from a copy is removed again.

    :param removed_entries: the entries removed before, to which it adds
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if view.source_unreachable or view.source_age_s() > relay.MAX_AGE_S:
            # This instance itself is cut off, or has just resumed after a pause.
            continue
        silent = relayed_source.silent_instances(loop.time())
        entries = [*view.instance_entries(silent), *_reappeared(view, removed_entries)][:MAX_BATCH]
        if not entries:
            continue
        names = [entry.value.name for entry in entries]
        try:
            removed = await source.remove(entries)
        except (source_module.SourceError, source_module.LeaseEndedError) as error:
            decisions.log("instance.not_taken_out", names=names, reason=str(error))
            continue
        counters.add("instance.missed", len(entries) if removed else 0)
        decisions.log("instance.missed", names=names, taken_out=removed)
        for name, entry in zip(names, entries, strict=True):
            relayed_source.peer_liveness.forget(name)
            removed_entries[name] = entry
            if len(removed_entries) > MAX_REMEMBERED:
                removed_entries.popitem(last=False)


def _reappeared(
    view: view_module.View, removed_entries: abc.Mapping[str, source_module.Written]
) -> list[source_module.Written]:
    """Return the removed entries that a later era holds again, unchanged."""
    return [
        entry
        for entry in view.instance_entries(removed_entries)
        if entry.era > removed_entries[entry.value.name].era
        and (entry.revision, entry.value)
        == (removed_entries[entry.value.name].revision, removed_entries[entry.value.name].value)
    ]
