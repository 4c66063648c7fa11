"""Watch the source (one full read, then changes) and keep this instance registered there."""

from __future__ import annotations

import asyncio
import math
import random
from collections import abc

import attrs

from turmericlug.direct import placement
from turmericlug.entry import journal as journal_module
from turmericlug.entry import source as source_module
from turmericlug.entry import view as view_module
from turmericlug.kernel import supervisor
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

CHANGES_WAIT_S = 3.0
"""How long one request for changes waits. A silent connection is detected after this time, which
matches the time within which a configuration has to be in force (3 to 4 s)."""
CHANGES_ANSWER_S = 0.3
"""A request for changes that waits longer than this has reached the source, and there are none.
With a new connection between two regions it takes two round trips of 24 ms."""
CHANGES_INTERVAL_S = 0.25
CHANGES_INTERVAL_MANY_S = 0.6
"""Minimum time between two requests for changes; the longer one applies where there are many
instances and the time limit is 5 s. Without a pause each change costs one call per instance, and
many replicas that start at once cause hundreds of changes."""
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
"""Delay after a failure: short compared with the time within which a configuration has to be in
force, and random so that instances that lost the source together do not reconnect together."""
LEASE_S = 8.0
"""Time for which callers are still given the address of an instance that has ended, if no other
instance in its data centre can deregister it. The lease outlasts a source outage of 5 s; otherwise
all instances would have to register again after one."""
RENEWAL_INTERVAL_S = 2.6
"""About a third of the lease, so that one renewal may fail."""
RELAY_RENEWAL_INTERVAL_S = 0.8
"""Renewal interval of a relay. The age of the changes that a relay passes on counts from its last
answer from the source, and other instances reject them from 1.6 s (``relay.MAX_AGE_S``) on."""
RENEWAL_RETRY_S = 1.3
"""Interval after a failed call: four more attempts fit into a lease. A shorter one only adds load
from all instances on a source that is unreachable."""
CHECK_INTERVAL_S = 0.2
"""How often an instance checks whether its entry has been removed."""


RequestChanges = abc.Callable[[source_module.Position, float], abc.Awaitable[source_module.Changes]]


async def follow(
    source: source_module.Source,
    request_changes: RequestChanges,
    view: view_module.View,
    journal: journal_module.Journal,
    counters: counters_module.Counters,
    rng: random.Random,
) -> None:
    """
    Keep the view up to date until cancelled.

    The first snapshot may be stale: the following request for changes brings the rest at once, and
    a stale read costs the source a tenth of a fresh one. Later snapshots have to be fresh, because
    entries missing from them are treated as removed.

    If it ends by an error, the next call starts with a fresh snapshot. Until it has applied one,
    the view counts as one whose source is unreachable: an answer that can't be applied doesn't make
    the view more recent.

    :param request_changes: requests the changes after a position, from the source or a relay
    :param journal: receives all changes, to serve them to other instances
    """
    try:
        await _follow(source, request_changes, view, journal, counters, rng)
    except (Exception, asyncio.CancelledError):
        if not supervisor.is_closing():
            # Some changes may be applied to the view and missing from the journal.
            journal.discard()
            view.record_follower_failure()
        raise


async def _follow(
    source: source_module.Source,
    request_changes: RequestChanges,
    view: view_module.View,
    journal: journal_module.Journal,
    counters: counters_module.Counters,
    rng: random.Random,
) -> None:
    position: source_module.Position | None = None
    while True:
        try:
            if position is None:
                stale_allowed = not view.has_snapshot
                snapshot = await source.read_all(may_be_stale=stale_allowed)
                decisions.log(
                    "source.read",
                    era=snapshot.era,
                    revision=snapshot.revision,
                    entries=len(snapshot.entries),
                    stale_allowed=stale_allowed,
                )
                _report_unreadable(snapshot.entries, counters)
                _update_journal(snapshot, view, journal)
                view.apply_snapshot(snapshot)
                view.record_applied()
                position = snapshot.position
            changes = await request_changes(position, CHANGES_WAIT_S)
            _report_unreadable(changes.changes, counters)
            view.apply_changes(changes)
            journal.add(changes)
            view.record_applied(changes.age_s)
            position = max(changes.position, position)
            many_instances = not placement.all_send_directly(view.instance_count())
            await asyncio.sleep(CHANGES_INTERVAL_MANY_S if many_instances else CHANGES_INTERVAL_S)
        except source_module.HistoryLostError:
            if position is not None:
                decisions.log("source.history_lost", after=position.revision, era=position.era)
            counters.add("source.history_lost")
            position = None
        except source_module.SourceError as error:
            counters.add(f"source.error.{error.reason}")
            view.record_source_failure(error.reason)
            await asyncio.sleep(rng.uniform(RETRY_MIN_S, RETRY_MAX_S))


def _update_journal(
    snapshot: source_module.Snapshot, view: view_module.View, journal: journal_module.Journal
) -> None:
    """
    Continue the journal with what a new snapshot changes.

    A journal restarted after lost history cannot answer requests for earlier positions, so that
    every instance that asks for one has to take a full fresh snapshot from the source. That is
    right for a journal whose position the source has never reached.
    """
    if journal.position is None or snapshot.position < journal.position:
        journal.restart(snapshot.position)
    else:
        journal.add(view.changes_in(snapshot))


def _report_unreadable(
    changes: abc.Iterable[source_module.Change], counters: counters_module.Counters
) -> None:
    for change in changes:
        if isinstance(change, source_module.Unreadable):
            counters.add("source.unreadable")
            counters.add(f"source.unreadable.{change.reason}")
            decisions.log(
                "source.unreadable",
                key=change.key,
                field=change.field,
                reason=change.reason,
                problem=change.problem,
                revision=change.revision,
            )
        elif isinstance(change, source_module.Written) and change.ignored:
            counters.add("source.fields_ignored", len(change.ignored))
            decisions.log(
                "source.fields_ignored",
                key=change.key,
                revision=change.revision,
                fields=change.ignored,
            )


@attrs.define
class Registration:
    """The registration of this instance in the source, across restarts of the task."""

    lease: int | None = None
    written: bool = False
    """Whether the entry is known to have been written under the lease."""
    era: int = 0
    """The era in which the source last confirmed that."""

    def adopt(self, lease: int | None, era: int) -> None:
        """Continue with the lease of the own entry, if the source is known to hold one."""
        self.lease, self.written, self.era = lease, lease is not None, era

    def reset(self) -> None:
        """Discard the acknowledged lease and entry."""
        self.lease = None
        self.written = False

    def is_older_than(self, era: int) -> bool:
        """Whether the registration was last confirmed before the given era."""
        return self.lease is not None and era > self.era


async def stay_registered(
    source: source_module.Source,
    view: view_module.View,
    own: source_module.EntryInstance,
    may_serve: abc.Callable[[], bool],
    serves_peers: abc.Callable[[], bool],
    source_asked_s: abc.Callable[[], float],
    rng: random.Random,
    registration: Registration | None = None,
) -> None:
    """
    Keep this instance registered in the source while it may serve, and deregister it when it is
    cancelled. After an error the lease goes on: the instance still serves, and the next call
    continues with it.

    The entry can be removed without a failed renewal (its lease was ended, or another instance
    found this one silent); the view receives that as a change. An entry left by the previous run of
    this instance is adopted together with its lease, which takes one renewal instead of two writes.

    :param serves_peers: whether other instances use this one as a relay, and so depend on how
        recently the source has answered it
    :param source_asked_s: returns when the request for changes that is pending at the source was
        sent; infinite if none is
    :param registration: state kept between the calls
    """
    registration = registration or Registration()
    try:
        await _stay_registered(
            source, view, own, may_serve, serves_peers, source_asked_s, rng, registration
        )
    except asyncio.CancelledError:
        if supervisor.is_closing():
            await end_registration(source, registration)
        raise


async def _stay_registered(
    source: source_module.Source,
    view: view_module.View,
    own: source_module.EntryInstance,
    may_serve: abc.Callable[[], bool],
    serves_peers: abc.Callable[[], bool],
    source_asked_s: abc.Callable[[], float],
    rng: random.Random,
    registration: Registration,
) -> None:
    loop = asyncio.get_running_loop()
    while not may_serve():
        await asyncio.sleep(0.05)
    lease = view.lease_of(own)
    registration.adopt(lease, view.era)
    while True:
        attempted_s = loop.time()
        succeeded = await _renew(source, view, own, registration)
        if succeeded:
            _record_renewal(view, source_asked_s())
        jitter = rng.uniform(0.8, 1.2)
        while not (view.own_entry_removed or registration.is_older_than(view.era)):
            interval_s = RENEWAL_RETRY_S if not succeeded else RENEWAL_INTERVAL_S
            interval_s = min(interval_s, RELAY_RENEWAL_INTERVAL_S) if serves_peers() else interval_s
            left_s = attempted_s + interval_s * jitter - loop.time()
            if left_s <= 0:
                break
            await asyncio.sleep(min(left_s, CHECK_INTERVAL_S))


async def end_registration(source: source_module.Source, registration: Registration) -> None:
    """Deregister this instance, once."""
    lease, registration.lease = registration.lease, None
    if lease is not None:
        await _end_lease(source, lease)


async def _renew(
    source: source_module.Source,
    view: view_module.View,
    own: source_module.EntryInstance,
    registration: Registration,
) -> bool:
    """Renew the lease, or open one and write the entry, whichever is due; false on failure."""
    _revalidate(source, view, own, registration)
    while True:
        try:
            if registration.lease is None:
                registration.lease = await source.open_lease(LEASE_S)
                registration.era = max(source.era, view.era)
                registration.written = False
            if registration.written:
                await source.renew_lease(registration.lease)
            else:
                await source.register(own, registration.lease)
                if source.era > registration.era:
                    # The lease number may belong to another instance now.
                    registration.reset()
                    continue
                registration.written = True
                decisions.log("instance.registered", lease=registration.lease)
            return True
        except source_module.LeaseEndedError:
            decisions.log("instance.lease_ended", lease=registration.lease)
            registration.lease = None
        except source_module.SourceError as error:
            view.record_source_failure(error.reason)
            return False


def _record_renewal(view: view_module.View, source_asked_s: float) -> None:
    """
    Record that the source answers; only a request for changes that waits there shows the view up to
    date.

    Between failed requests for changes, or while a relay has the request, the source may know of a
    change that this instance doesn't. A request sent before the source failed to answer another
    call may be lost.
    """
    waited_s = asyncio.get_running_loop().time() - source_asked_s
    is_current = waited_s >= CHANGES_ANSWER_S and source_asked_s > view.source_failed_s
    view.record_source_answer(0.0 if is_current else math.inf)


async def stay_deregistered(
    source: source_module.Source, view: view_module.View, name: str, ended_era: int
) -> None:
    """
    Remove this instance's entry again if the source is restored from a copy that holds it.

    :param ended_era: the latest era when the instance was deregistered
    """
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        entries = [entry for entry in view.instance_entries([name]) if entry.era > ended_era]
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
    registration: Registration,
) -> None:
    """
    Check a registration from before the source was restored against its present content.

    A restored copy may lack the entry and the lease, and the source may have given the lease number
    to another instance.
    """
    if view.own_entry_removed:
        view.own_entry_removed = registration.written = False
    if not registration.is_older_than(view.era) or source.era > view.era:
        return
    if view.lease_of(own) == registration.lease:
        registration.era = view.era
        return
    decisions.log("instance.registration_lost", lease=registration.lease, era=view.era)
    registration.reset()


async def _end_lease(source: source_module.Source, lease: int) -> None:
    try:
        async with asyncio.timeout(1.0):
            await source.end_lease(lease)
        decisions.log("instance.unregistered", lease=lease)
    except (source_module.SourceError, source_module.LeaseEndedError, TimeoutError) as error:
        decisions.log("instance.unregister_failed", reason=str(error) or "timeout")
