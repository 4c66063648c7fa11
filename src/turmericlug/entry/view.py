"""
What this instance believes: configuration, replicas, other instances, each with its age.

Decisions of recovery are here: a configuration never goes back; entries that vanish while the
source is away or just back are not taken for gone at once; a replica that was started again is
another one, and its older self never comes back.
"""

from __future__ import annotations

import collections
import math
from collections import abc

from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import differences
from turmericlug.entry import sliding_maximum
from turmericlug.entry import source
from turmericlug.telemetry import decisions

RETURN_HOLD_S = 2.2
"""Entries whose leases lapsed while the source was away are back within 2 s of its return."""
MASS_REMOVAL_SHARE = 0.25
MASS_REMOVAL_MIN = 5
"""So many entries gone at once are a lapse of leases that this instance has not noticed otherwise,
not so many replicas that ended in the same moment."""
MAX_REMEMBERED_STARTS = 4096
"""Starts of replicas that are gone: some minutes of a large deployment's, 100 bytes each."""
INSTANCE_COUNT_WINDOW_S = 15.0
"""An instance that is gone counts for this long among those that share connections and budgets: its
connections and sends still do."""


class View:
    """The beliefs, changed by news only."""

    def __init__(
        self,
        own_name: str,
        replicas: replicas_module.Replicas,
        peers: replicas_module.Replicas,
        now_s: abc.Callable[[], float],
    ) -> None:
        self.configuration: routes.Configuration | None = None
        self.replicas = replicas
        self.peers = peers
        """The other instances, as replicas of a service that takes parts in their data centre."""
        self.instances: dict[str, source.EntryInstance] = {}
        self.own_entry_removed = False
        self.on_instances: abc.Callable[[], None] = lambda: None
        """Called when an instance has come or gone."""
        self.on_configuration: abc.Callable[[], None] = lambda: None
        """Called when a new configuration is in force."""
        self._own_name = own_name
        self._now_s = now_s
        self._known: dict[str, source.Written | source.Unreadable] = {}
        self._held: dict[str, float] = {}
        """When entries vanished that may come back, by key."""
        self._unreachable_since_s: float | None = None
        self._recovered_s = float("-inf")
        self.era = 0
        """Of the source, as of the latest news; 0: none was told yet."""
        self._era_changed_s = float("-inf")
        self._last_answer_s = float("-inf")
        self._instance_counts = sliding_maximum.SlidingMaximum(INSTANCE_COUNT_WINDOW_S)
        self._born_ms: collections.OrderedDict[str, int] = collections.OrderedDict()
        """The latest start of replicas that are gone, by key."""

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.configuration is not None

    @property
    def source_unreachable(self) -> bool:
        """Whether the source did not answer when it was last asked."""
        return self._unreachable_since_s is not None

    def source_lost(self, reason: str) -> None:
        """Take note that the source does not answer."""
        if self._unreachable_since_s is None:
            self._unreachable_since_s = self._now_s()
            decisions.log("source.lost", reason=reason)

    def source_regained(self, age_s: float = 0.0) -> None:
        """
        Take note that the source answers.

        :param age_s: how long ago it did, where another instance has passed its answer on
        """
        self._last_answer_s = max(self._last_answer_s, self._now_s() - age_s)
        if self._unreachable_since_s is None:
            return
        now_s = self._now_s()
        decisions.log("source.regained", away_ms=round((now_s - self._unreachable_since_s) * 1000))
        self._unreachable_since_s = None
        self._recovered_s = now_s

    def source_age_s(self) -> float:
        """Return how old the last answer of the source is."""
        return self._now_s() - self._last_answer_s

    def instances_count(self) -> int:
        """Return how many instances share connections and budgets, the largest of late."""
        return max(len(self.instances), 1, self._instance_counts.get(self._now_s()))

    def entries(self, names: abc.Collection[str]) -> list[source.Written]:
        """Return the entries of some instances, as the source has them."""
        return [
            each
            for each in self._known.values()
            if isinstance(each, source.Written)
            and isinstance(each.value, source.EntryInstance)
            and each.value.name in names
        ]

    def lease_of(self, instance: source.EntryInstance) -> int | None:
        """Return the lease under which just this entry stands, if the source has told."""
        for each in self.entries([instance.name]):
            if each.value == instance and each.lease:
                return each.lease
        return None

    def changes_in(self, snapshot: source.Snapshot) -> source.Changes:
        """Return what a fresh reading tells that was not known, as changes."""
        return differences.between(self._known, snapshot)

    def _record_count(self) -> None:
        self._instance_counts.add(self._now_s(), len(self.instances))

    def take_snapshot(self, snapshot: source.Snapshot) -> None:
        """Take over a whole reading: what is missing in it has been removed."""
        self._update_era(snapshot.era)
        present = {written.key for written in snapshot.written}
        missing = [key for key in self._known if key not in present]
        differences.log_outdated(self._known, snapshot.written, snapshot.revision)
        for written in snapshot.written:
            self._apply(written)
        self._handle_removed([key for key in missing if key not in self._held], snapshot.revision)

    def take_changes(self, changes: source.Changes) -> None:
        """Take over what has changed, in order."""
        removed = []
        self._update_era(changes.era)
        differences.log_outdated(self._known, changes.changes, changes.revision)
        for change in changes.changes:
            if isinstance(change, source.Removed):
                if self._is_newer_removal(change):
                    removed.append(change.key)
                continue
            if change.key in removed:
                removed.remove(change.key)
            self._apply(change)
        self._handle_removed(removed, changes.revision)

    def _is_newer_removal(self, removed: source.Removed) -> bool:
        """Whether a removal is not of an entry that has been written again since."""
        known = self._known.get(removed.key)
        return known is not None and removed.position > known.position

    def _update_era(self, era: int) -> None:
        """
        Take note of the era that news are of.

        In a new one, what is missing has been lost by the source perhaps, not removed: the operator
        and the replicas write it again.
        """
        if 0 < self.era < era:
            self._era_changed_s = self._recovered_s = self._now_s()
            decisions.log("view.era", era=era, before=self.era)
        self.era = max(self.era, era)

    def _apply(self, written: source.Written | source.Unreadable) -> None:
        known = self._known.get(written.key)
        if self._is_from_older_start(written, known):
            return
        if known is not None and known.position >= written.position:
            written = known
        if isinstance(written, source.Unreadable):
            self._mark_unreadable(written)
            return
        self._known[written.key] = written
        self._held.pop(written.key, None)
        self._activate(written)

    def _is_from_older_start(
        self,
        written: source.Written | source.Unreadable,
        known: source.Written | source.Unreadable | None,
    ) -> bool:
        """
        Whether an entry tells of a start of its replica before the one that is known.

        A write that got no answer may be carried out seconds later, behind that of the next start.
        Taken over, it would bring back an address and a state of a process that has ended.
        """
        born_ms = _born_ms(written)
        newest_ms = _born_ms(known) if _is_replica(known) else self._born_ms.get(written.key)
        return born_ms is not None and newest_ms is not None and born_ms < newest_ms

    def _mark_unreadable(self, unreadable: source.Unreadable) -> None:
        """
        Use nothing any more that a key named until its value became unreadable.

        But the configuration: the last that could be read stays in force.
        """
        known = self._known.get(unreadable.key)
        if isinstance(known, source.Written):
            if isinstance(known.value, routes.Configuration):
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
                if written.value.name != self._own_name:
                    self.peers.put(_as_replica(written.value))
                    self.on_instances()
                self._record_count()
            case source.Evacuation():
                self._evacuate(written.value.data_centre, written.revision)

    def _evacuate(self, data_centre: str, revision: int) -> None:
        if data_centre in self.replicas.evacuated:
            return
        self.replicas.evacuate(data_centre, self._now_s())
        decisions.log(
            "view.evacuated",
            data_centre=data_centre,
            replicas=sum(each.entry.data_centre == data_centre for each in self.replicas.all()),
            revision=revision,
        )

    def _apply_configuration(self, configuration: routes.Configuration, revision: int) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            # A reading that was on its way while a newer version arrived must not bring back the
            # older one: callers have seen the newer one in force.
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
        hold = self._unreachable_since_s is not None or now_s - self._recovered_s < RETURN_HOLD_S
        lost = now_s - self._era_changed_s < RETURN_HOLD_S
        kept = sum(map(_is_replica, self._known.values()))
        if len(keys) >= max(MASS_REMOVAL_MIN, MASS_REMOVAL_SHARE * kept):
            hold = True
        for key in keys:
            written = self._known.get(key)
            if written is None:
                continue
            if isinstance(written, source.Unreadable):
                del self._known[key]
                continue
            if self._is_own(written):
                # Not known any more, lest its lease be taken for that of an entry that stands.
                del self._known[key]
                self.own_entry_removed = True
                continue
            if lost or hold and not isinstance(written.value, source.Evacuation):
                self._hold(key, written, revision)
            else:
                self._delete(key, revision)

    def _hold(self, key: str, written: source.Written, revision: int) -> None:
        self._held[key] = self._now_s()
        if isinstance(written.value, routes.ReplicaEntry):
            decisions.log("view.replica_held", replica=written.value.instance, revision=revision)

    def _delete(self, key: str, revision: int) -> None:
        written = self._known.pop(key)
        self._held.pop(key, None)
        match written.value:
            case routes.ReplicaEntry():
                self._remember_start(key, written.value)
                self.replicas.remove(written.value.instance)
                decisions.log(
                    "view.replica_gone", replica=written.value.instance, revision=revision
                )
            case source.EntryInstance():
                # Before it goes: the memory is of how many there were until now.
                self._record_count()
                self.instances.pop(written.value.name, None)
                self.peers.remove(written.value.name)
                self.on_instances()
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

    def _remember_start(self, key: str, entry: routes.ReplicaEntry) -> None:
        if entry.born_ms is None:
            return
        self._born_ms[key] = entry.born_ms
        self._born_ms.move_to_end(key)
        if len(self._born_ms) > MAX_REMEMBERED_STARTS:
            self._born_ms.popitem(last=False)

    def expire_held(self) -> None:
        """
        Take for gone what had its time to come back while the source was there.

        The time counts from the source's return, not from the lapse: entries lapse early in an
        outage, and would be taken for gone in the moment in which they are written again.
        """
        if self._unreachable_since_s is not None:
            return
        now_s = self._now_s()
        due = [
            key
            for key, gone_s in self._held.items()
            if now_s >= max(gone_s, self._recovered_s) + RETURN_HOLD_S
        ]
        for key in due:
            self._delete(key, self._known[key].revision)


def _is_replica(written: source.Written | source.Unreadable | None) -> bool:
    return isinstance(written, source.Written) and isinstance(written.value, routes.ReplicaEntry)


def _born_ms(written: source.Written | source.Unreadable | None) -> int | None:
    if isinstance(written, source.Written) and isinstance(written.value, routes.ReplicaEntry):
        return written.value.born_ms
    return None


def rounded_age_s(age_s: float) -> float | None:
    """Return an age as it is told in logs and answers, ``None`` where nothing was heard yet."""
    return round(age_s, 3) if math.isfinite(age_s) else None


def _as_replica(instance: source.EntryInstance) -> routes.ReplicaEntry:
    host, _, port = instance.peers_address.rpartition(":")
    return routes.ReplicaEntry(
        instance=instance.name,
        service=instance.data_centre,
        host=host,
        port=int(port or 0),
        data_centre=instance.data_centre,
        slots=1,
        draining=False,
        warmup_left_ms=0,
    )
