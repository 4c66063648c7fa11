"""Following the source: one reading, then changes; and this instance's own entry there."""

from __future__ import annotations

import asyncio
import random
from collections import abc

import attrs

from turmericlug.direct import placement
from turmericlug.entry import journal as journal_module
from turmericlug.entry import source as source_module
from turmericlug.entry import view as view_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

CHANGES_WAIT_S = 3.0
"""How long one question for changes waits. A connection that went silent is found out after it,
about as soon as a configuration has to be in force (3 to 4 s)."""
CHANGES_INTERVAL_S = 0.25
CHANGES_INTERVAL_MANY_S = 0.6
"""Least time between two questions, and where instances are many and bounds are 5 s. Each change
otherwise costs a call of every instance, of which many replicas starting at once make hundreds."""
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
"""Pause after a failure: short against the bound of a configuration, and drawn at random so that
instances that lost the source together do not return together."""
LEASE_S = 8.0
"""An instance that ends while nobody in its data centre can take its entry out is told to callers
for this long. It outlasts an outage of 5 s, after which all would have to register anew."""
RENEWAL_INTERVAL_S = 2.6
"""A third of the lease: one renewal may fail."""
RELAY_RENEWAL_INTERVAL_S = 0.8
"""Of an instance that others rely on: what it tells them is as old as its last word with the
source, and not trusted from 1.6 s on."""
RENEWAL_RETRY_S = 1.3
"""After a call that failed: four more tries fit into a lease. Sooner, all instances ask a source
that is away for nothing."""
CHECK_INTERVAL_S = 0.2
"""How soon an instance whose entry was taken out finds that out."""


async def follow(
    source: source_module.Source,
    changes_of: abc.Callable[[source_module.Position, float], abc.Awaitable[source_module.Changes]],
    view: view_module.View,
    journal: journal_module.Journal,
    counters: counters_module.Counters,
    rng: random.Random,
) -> None:
    """
    Keep the view up to date for ever.

    The first reading may be stale: the question for changes since then brings the rest at once, and
    it costs the source a tenth. A later one has to be fresh, as what is missing in it is taken for
    gone.

    :param changes_of: asks for the changes after a position, the source or an instance near by
    :param journal: told of all news, for passing them on
    """
    position: source_module.Position | None = None
    known = False
    while True:
        try:
            if position is None:
                stale_allowed = not known
                snapshot = await source.read_all(may_be_stale=stale_allowed)
                known = True
                view.source_regained()
                decisions.log(
                    "source.read",
                    era=snapshot.era,
                    revision=snapshot.revision,
                    entries=len(snapshot.written),
                    stale_allowed=stale_allowed,
                )
                _report_unreadable(snapshot.written, counters)
                _update_journal(snapshot, view, journal)
                view.take_snapshot(snapshot)
                position = snapshot.position
            changes = await changes_of(position, CHANGES_WAIT_S)
            view.source_regained(changes.age_s)
            _report_unreadable(changes.changes, counters)
            view.take_changes(changes)
            journal.add(changes)
            position = max(changes.position, position)
            many = not placement.everyone_sends(view.instances_count())
            await asyncio.sleep(CHANGES_INTERVAL_MANY_S if many else CHANGES_INTERVAL_S)
        except source_module.HistoryLostError:
            if position is not None:
                decisions.log("source.history_lost", after=position.revision, era=position.era)
            counters.add("source.history_lost")
            position = None
        except source_module.SourceError as error:
            counters.add(f"source.error.{error.reason}")
            view.source_lost(error.reason)
            await asyncio.sleep(rng.uniform(RETRY_MIN_S, RETRY_MAX_S))


def _update_journal(
    snapshot: source_module.Snapshot, view: view_module.View, journal: journal_module.Journal
) -> None:
    """
    Let the journal go on over a reading after lost history.

    Begun anew, it sent every instance that asked for what was before to the source, for a whole
    fresh reading each.
    """
    if journal.position is None:
        journal.restart(snapshot.position)
    else:
        journal.add(view.changes_in(snapshot))


def _report_unreadable(
    changes: abc.Iterable[source_module.Change], counters: counters_module.Counters
) -> None:
    for each in changes:
        if isinstance(each, source_module.Unreadable):
            counters.add("source.unreadable")
            decisions.log(
                "source.unreadable", key=each.key, revision=each.revision, reason=each.reason
            )
        elif isinstance(each, source_module.Written) and each.ignored:
            counters.add("source.fields_ignored", len(each.ignored))
            decisions.log(
                "source.fields_ignored", key=each.key, revision=each.revision, fields=each.ignored
            )


@attrs.define
class _Registration:
    """How this instance's entry stands in the source."""

    lease: int | None = None
    written: bool = False
    """Whether the entry was written under the lease, as far as is known."""
    era: int = 0
    """In which the source last showed that."""

    def reset(self) -> None:
        """Count on nothing that was acknowledged."""
        self.lease = None
        self.written = False

    def is_older_than(self, era: int) -> bool:
        """Whether an entry was last shown in an era before one."""
        return self.lease is not None and era > self.era


async def stay_registered(
    source: source_module.Source,
    view: view_module.View,
    own: source_module.EntryInstance,
    may_serve: abc.Callable[[], bool],
    tells_others: abc.Callable[[], bool],
    rng: random.Random,
) -> None:
    """
    Keep this instance's entry in the source while it may serve, and take it out at the end.

    The entry can vanish without a failed renewal (its lease was ended, or another instance missed
    this one); the view sees that as news. An entry that has outlived this instance's last start is
    taken over with its lease, for a renewal instead of two writes.

    :param tells_others: whether others rely on how lately this instance has heard from the source
    """
    loop = asyncio.get_running_loop()
    while not may_serve():
        await asyncio.sleep(0.05)
    lease = view.lease_of(own)
    standing = _Registration(lease, lease is not None, view.era)
    try:
        while True:
            tried_s = loop.time()
            worked = await _renew(source, view, own, standing)
            jitter = rng.uniform(0.8, 1.2)
            while not (view.own_entry_removed or standing.is_older_than(view.era)):
                every_s = RENEWAL_RETRY_S if not worked else RENEWAL_INTERVAL_S
                every_s = min(every_s, RELAY_RENEWAL_INTERVAL_S) if tells_others() else every_s
                left_s = tried_s + every_s * jitter - loop.time()
                if left_s <= 0:
                    break
                await asyncio.sleep(min(left_s, CHECK_INTERVAL_S))
    finally:
        if standing.lease is not None:
            await _end_lease(source, standing.lease)


async def _renew(
    source: source_module.Source,
    view: view_module.View,
    own: source_module.EntryInstance,
    standing: _Registration,
) -> bool:
    """Renew the lease, or open one and write the entry, as is due; false when that failed."""
    _revalidate(source, view, own, standing)
    while True:
        try:
            if standing.lease is None:
                standing.lease = await source.lease(LEASE_S)
                standing.era = max(source.era, view.era)
                standing.written = False
            if standing.written:
                await source.keep(standing.lease)
            else:
                await source.register(own, standing.lease)
                if source.era > standing.era:
                    # The number of the lease may be another instance's by now.
                    standing.reset()
                    continue
                standing.written = True
                decisions.log("instance.registered", lease=standing.lease)
            view.source_regained()
            return True
        except source_module.LeaseEndedError:
            decisions.log("instance.lease_ended", lease=standing.lease)
            standing.lease = None
        except source_module.SourceError as error:
            view.source_lost(error.reason)
            return False


async def stay_unregistered(
    source: source_module.Source, view: view_module.View, name: str
) -> None:
    """Take an ended entry out again if the source returns from a copy that still has it."""
    ended_era = source.era
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        entries = [each for each in view.entries([name]) if each.era > ended_era]
        if not entries:
            continue
        try:
            await source.remove(entries)
            ended_era = entries[0].era
            decisions.log("instance.unregistered_again", era=ended_era)
        except (source_module.SourceError, source_module.LeaseEndedError) as error:
            decisions.log("instance.unregister_failed", reason=str(error))


def _revalidate(
    source: source_module.Source,
    view: view_module.View,
    own: source_module.EntryInstance,
    standing: _Registration,
) -> None:
    """
    Check what was acknowledged before the source returned from a copy against what it shows now.

    The entry and the lease may be lost, and the lease's number given to another instance.
    """
    if view.own_entry_removed:
        view.own_entry_removed = standing.written = False
    if not standing.is_older_than(view.era) or source.era > view.era:
        return
    if view.lease_of(own) == standing.lease:
        standing.era = view.era
        return
    decisions.log("instance.registration_lost", lease=standing.lease, era=view.era)
    standing.reset()


async def _end_lease(source: source_module.Source, lease: int) -> None:
    try:
        async with asyncio.timeout(1.0):
            await source.end(lease)
        decisions.log("instance.unregistered", lease=lease)
    except (source_module.SourceError, source_module.LeaseEndedError, TimeoutError) as error:
        decisions.log("instance.unregister_failed", reason=str(error) or "timeout")
