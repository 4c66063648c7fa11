"""
This instance's view of the source: configuration, replicas and other instances, with their age.

The view decides how to recover from failures of the source: a configuration never reverts to an
older version; entries that disappear while the source is unreachable or shortly after are held for
a time before they are removed; a restarted replica is a new replica, and an entry that may be of an
earlier start is held back until it is certain (``starts``).
"""

from __future__ import annotations

import math
from collections import abc

import attrs

from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import capacities
from turmericlug.entry import differences
from turmericlug.entry import sliding_maximum
from turmericlug.entry import source
from turmericlug.entry import starts
from turmericlug.telemetry import decisions

ENTRY_HOLD_S = 2.2
"""How long entries are held. Entries whose leases expired while the source was unreachable are
written again within 2 s of its return, and a replica that is alive writes its entry again within a
heartbeat of 1.2 s if another process has written it."""
CONFIRMING_WRITES = 3
"""Entries that show a start of a replica to be the latest where the source has not been reachable
for all of ``ENTRY_HOLD_S``: late writes of an ended start don't go on."""
MASS_REMOVAL_SHARE = 0.25
MASS_REMOVAL_MIN = 5
"""Removals of this share of the replica entries at once, and at least this many, are treated as an
expiry of leases in an outage that this instance has not noticed, not as replicas that ended."""
INSTANCE_COUNT_WINDOW_S = 15.0
"""A removed instance still counts for this long among those that share connections and budgets,
because its connections and sends remain for a while."""


class View:
    """The entries of the source as known here; only snapshots and changes modify them."""

    def __init__(
        self,
        own_name: str,
        replicas: replicas_module.Replicas,
        peers: replicas_module.Replicas,
        now_s: abc.Callable[[], float],
    ) -> None:
        self.configuration: routes.Configuration | None = None
        self.has_refused_configuration = False
        """Whether the newest configuration could not be read, and an older one is in force."""
        self.replicas = replicas
        self.peers = peers
        """The other instances, as replicas of a service that is named after their data centre and
        takes parts of queries."""
        self.instances: dict[str, source.EntryInstance] = {}
        self.own_entry_removed = False
        self.on_instances_changed: abc.Callable[[], None] = lambda: None
        """Called when an instance has been written or removed."""
        self.on_configuration: abc.Callable[[], None] = lambda: None
        """Called when a new configuration is in force."""
        self._own_name = own_name
        self._now_s = now_s
        self._known: dict[str, source.Written | source.Unreadable] = {}
        self._held: dict[str, float] = {}
        """When each held entry disappeared, by key."""
        self._unreachable_since_s: float | None = None
        self._recovered_s = float("-inf")
        self.era = 0
        """The latest known era of the source; 0: none yet."""
        self._era_changed_s = float("-inf")
        self._last_answer_s = float("-inf")
        self.has_snapshot = False
        """Whether a snapshot has been applied, at least in part."""
        self._follower_failed = False
        """Whether the changes of the source can't be applied."""
        self.source_failed_s = float("-inf")
        """When a request to the source failed last."""
        self.capacities = capacities.Capacities(own_name, now_s, INSTANCE_COUNT_WINDOW_S)
        self._instance_counts = sliding_maximum.SlidingMaximum(INSTANCE_COUNT_WINDOW_S)
        self._starts = starts.Starts(now_s)

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None

    @property
    def source_unreachable(self) -> bool:
        """Whether the last request to the source failed."""
        return self._unreachable_since_s is not None

    def record_source_failure(self, reason: str) -> None:
        """Record that the source does not answer."""
        self.source_failed_s = self._now_s()
        if self._unreachable_since_s is None:
            self._unreachable_since_s = self.source_failed_s
            decisions.log("source.lost", reason=reason)

    def record_follower_failure(self) -> None:
        """
        Record that what the source answers can't be applied.

        The source counts as unreachable until something has been applied again, whatever other
        calls succeed: without the changes, entries may be missing here that it holds.
        """
        self._follower_failed = True
        self.record_source_failure("follower_failed")

    def record_applied(self, age_s: float = 0.0) -> None:
        """
        Record that an answer of the source has been applied.

        :param age_s: age of the answer, if another instance has relayed it
        """
        self._follower_failed = False
        self.record_source_answer(age_s)

    def record_source_answer(self, age_s: float = 0.0) -> None:
        """
        Record that the source answers.

        :param age_s: age of the answer, if another instance has relayed it
        """
        if self._follower_failed:
            return
        self._last_answer_s = max(self._last_answer_s, self._now_s() - age_s)
        if self._unreachable_since_s is None:
            return
        now_s = self._now_s()
        decisions.log("source.regained", away_ms=round((now_s - self._unreachable_since_s) * 1000))
        self._unreachable_since_s = None
        self._recovered_s = now_s

    def source_age_s(self) -> float:
        """Return the time since the last answer of the source."""
        return self._now_s() - self._last_answer_s

    def instance_count(self) -> int:
        """Return how many instances share connections and budgets: the recent maximum."""
        return max(len(self.instances), 1, int(self._instance_counts.get(self._now_s())))

    def instance_entries(self, names: abc.Collection[str]) -> list[source.Written]:
        """Return the entries of the named instances, as the source holds them."""
        return [
            entry
            for entry in self._known.values()
            if isinstance(entry, source.Written)
            and isinstance(entry.value, source.EntryInstance)
            and entry.value.name in names
        ]

    def lease_of(self, instance: source.EntryInstance) -> int | None:
        """Return the lease of exactly this entry, if the source has reported it."""
        for entry in self.instance_entries([instance.name]):
            if entry.value == instance and entry.lease:
                return entry.lease
        return None

    def changes_in(self, snapshot: source.Snapshot) -> source.Changes:
        """Return the changes that lead from the known entries to a fresh snapshot."""
        held_back = {written.key: written for written in self._starts.held_back()}
        return differences.between({**self._known, **held_back}, snapshot)

    def _record_instance_count(self) -> None:
        self._instance_counts.add(self._now_s(), len(self.instances))

    def apply_snapshot(self, snapshot: source.Snapshot) -> None:
        """Apply a full snapshot; entries missing from it have been removed."""
        self.has_snapshot = True
        self._update_era(snapshot.era)
        present = {written.key for written in snapshot.entries}
        missing = [key for key in self._known if key not in present]
        differences.log_outdated(self._known, snapshot.entries, snapshot.revision)
        self._starts.keep_only(present)
        for written in snapshot.entries:
            self._apply(written)
        self._handle_removed([key for key in missing if key not in self._held], snapshot.revision)

    def apply_changes(self, changes: source.Changes) -> None:
        """Apply changes, in order."""
        removed = []
        self._update_era(changes.era)
        differences.log_outdated(self._known, changes.changes, changes.revision)
        for change in changes.changes:
            if isinstance(change, source.Removed):
                self._starts.record_removal(change)
                if self._is_newer_removal(change):
                    removed.append(change.key)
                continue
            self._apply(change)
            if change.key in removed and not self._starts.is_held_back(change.key):
                removed.remove(change.key)
        self._handle_removed(removed, changes.revision)

    def _is_newer_removal(self, removed: source.Removed) -> bool:
        """Whether a removal is later than the latest known write of its key."""
        known = self._known.get(removed.key)
        return known is not None and removed.position > known.position

    def _update_era(self, era: int) -> None:
        """
        Record the era of a snapshot or of changes.

        Entries missing in a new era may have been lost by the source rather than removed; the
        operator and the replicas write them again.
        """
        if 0 < self.era < era:
            self._era_changed_s = self._recovered_s = self._now_s()
            decisions.log("view.era", era=era, before=self.era)
        self.era = max(self.era, era)

    def _apply(self, written: source.Written | source.Unreadable) -> None:
        known = self._known.get(written.key)
        is_outdated = known is not None and known.position >= written.position
        if isinstance(written, source.Written) and self._starts.may_have_ended(written, known):
            if not is_outdated:
                self._hold_back(written, known)
            return
        self._accept(known if is_outdated else written)

    def _accept(self, written: source.Written | source.Unreadable) -> None:
        """Use an entry that is the latest of its key."""
        known = self._known.get(written.key)
        if written is not known:
            self._starts.record(written, known)
        if isinstance(written, source.Unreadable):
            self._mark_unreadable(written)
            return
        if written is not known and isinstance(written.value, routes.Configuration):
            self.has_refused_configuration = False
        self._known[written.key] = written
        self._held.pop(written.key, None)
        self._activate(written)

    def _hold_back(
        self, written: source.Written, known: source.Written | source.Unreadable | None
    ) -> None:
        """
        Hold back an entry that may be a late write of a start that has ended.

        If it says that the replica drains, the known one gets no more requests meanwhile: it may be
        the one that has ended. That is reported at once for a start that was not known before, as
        a request that crashes replicas is to be recognised within a second.
        """
        if self._starts.hold_back(written):
            decisions.log(
                "view.start_in_doubt",
                replica=written.value.instance,
                born_ms=written.value.born_ms,
                known_born_ms=known.value.born_ms if starts.is_replica(known) else None,
                revision=written.revision,
            )
            if starts.is_replica(known) and not self._starts.was_replaced(written):
                self.replicas.report_lost(known.value.instance)
        if written.value.draining and starts.is_replica(known):
            self.replicas.put(attrs.evolve(known.value, draining=True), self._now_s())

    def _mark_unreadable(self, unreadable: source.Unreadable) -> None:
        """
        Stop using the entry of a key whose value has become unreadable.

        The configuration is an exception: the last readable version stays in force.
        """
        known = self._known.get(unreadable.key)
        if isinstance(known, source.Written):
            if isinstance(known.value, routes.Configuration):
                self.has_refused_configuration = True
                return
            if self._is_own(known):
                self.own_entry_removed = True
                return
            self._delete(unreadable.key, unreadable.revision)
        self._known[unreadable.key] = unreadable
        self._held.pop(unreadable.key, None)

    def _is_own(self, written: source.Written) -> bool:
        value = written.value
        return isinstance(value, source.EntryInstance) and value.name == self._own_name

    def _activate(self, written: source.Written) -> None:
        match written.value:
            case routes.Configuration():
                self._apply_configuration(written.value, written.revision)
            case routes.ReplicaEntry():
                if self.replicas.put(written.value, self._now_s()):
                    entry = written.value
                    decisions.log(
                        "view.replica",
                        replica=entry.instance,
                        service=entry.service,
                        draining=entry.draining,
                        revision=written.revision,
                    )
            case source.EntryInstance():
                if self.instances.get(written.value.name) != written.value:
                    decisions.log(
                        "view.instance", name=written.value.name, revision=written.revision
                    )
                self.instances[written.value.name] = written.value
                self.capacities.put(written.value.name, written.value.capacity)
                if written.value.name != self._own_name:
                    self.peers.put(written.value.as_replica())
                self.on_instances_changed()
                self._record_instance_count()
            case source.Evacuation():
                self._evacuate(written.value.data_centre, written.revision)

    def _evacuate(self, data_centre: str, revision: int) -> None:
        if data_centre in self.replicas.evacuated:
            return
        self.replicas.evacuate(data_centre, self._now_s())
        decisions.log(
            "view.evacuated",
            data_centre=data_centre,
            replicas=sum(
                replica.entry.data_centre == data_centre for replica in self.replicas.all()
            ),
            revision=revision,
        )

    def _apply_configuration(self, configuration: routes.Configuration, revision: int) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            # A snapshot that was in transit while a newer version arrived must not restore the
            # older one: callers have already seen the newer one in force.
            return
        self.configuration = configuration
        decisions.log(
            "view.configuration",
            version=configuration.version,
            before=current.version if current else None,
            routes=len(configuration.routes),
            revision=revision,
        )
        self.on_configuration()

    def _handle_removed(self, keys: list[str], revision: int) -> None:
        if not keys:
            return
        now_s = self._now_s()
        hold = self._unreachable_since_s is not None or now_s - self._recovered_s < ENTRY_HOLD_S
        new_era = now_s - self._era_changed_s < ENTRY_HOLD_S
        replica_count = sum(map(starts.is_replica, self._known.values()))
        if len(keys) >= max(MASS_REMOVAL_MIN, MASS_REMOVAL_SHARE * replica_count):
            hold = True
        for key in keys:
            written = self._known.get(key)
            if written is None:
                continue
            if isinstance(written, source.Unreadable):
                del self._known[key]
                continue
            if self._is_own(written):
                # Drop it, so that lease_of() does not report the lease of an entry that no longer
                # exists.
                del self._known[key]
                self.own_entry_removed = True
                continue
            if new_era or hold and not isinstance(written.value, source.Evacuation):
                self._hold(key, written, revision)
            else:
                self._delete(key, revision)

    def _hold(self, key: str, written: source.Written, revision: int) -> None:
        self._held[key] = self._now_s()
        if isinstance(written.value, routes.ReplicaEntry):
            decisions.log("view.replica_held", replica=written.value.instance, revision=revision)

    def _delete(self, key: str, revision: int) -> None:
        written = self._known[key]
        match written.value:
            case routes.ReplicaEntry():
                self._starts.remember(key, written.value)
                self.replicas.remove(written.value.instance)
                decisions.log(
                    "view.replica_gone", replica=written.value.instance, revision=revision
                )
            case source.EntryInstance():
                # Record the count before the removal, so that the maximum includes this instance.
                self._record_instance_count()
                self.instances.pop(written.value.name, None)
                self.capacities.remove(written.value.name)
                self.peers.remove(written.value.name)
                self.on_instances_changed()
                decisions.log("view.instance_gone", name=written.value.name, revision=revision)
            case source.Evacuation():
                data_centre = written.value.data_centre
                age_s = self.replicas.end_evacuation(data_centre, self._now_s())
                decisions.log(
                    "view.evacuation_ended",
                    data_centre=data_centre,
                    age_s=round(age_s, 3),
                    revision=revision,
                )
        # Last, so that a removal that failed is made up for by the next snapshot.
        del self._known[key]
        self._held.pop(key, None)

    def expire_held(self) -> None:
        """
        Remove held entries whose hold time has elapsed while the source was reachable, and accept
        the entries that were held back for as long.

        The time counts from the recovery of the source, not from the expiry of the entry: entries
        expire early in an outage, and would be removed just when they are written again.
        """
        if self._unreachable_since_s is not None:
            return
        now_s = self._now_s()
        has_recovered = now_s >= self._recovered_s + ENTRY_HOLD_S
        # A start that is the only one to write is alive, however often the source fails meanwhile.
        min_writes = 1 if has_recovered else CONFIRMING_WRITES
        for written in self._starts.take_confirmed(now_s - ENTRY_HOLD_S, min_writes):
            decisions.log("view.start_confirmed", key=written.key, revision=written.revision)
            self._accept(written)
        expired = [
            key
            for key, held_since_s in self._held.items()
            if now_s >= max(held_since_s, self._recovered_s) + ENTRY_HOLD_S
        ]
        for key in expired:
            self._delete(key, self._known[key].revision)


def rounded_age_s(age_s: float) -> float | None:
    """Return an age as reported in logs and answers, ``None`` before the first answer."""
    return round(age_s, 3) if math.isfinite(age_s) else None
