"""The view of an instance, as snapshots and changes arrive in any order."""

from __future__ import annotations

import attrs
import hypothesis
import pytest
import scripted
from hypothesis import stateful
from hypothesis import strategies

from turmericlug.direct import budget
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import source
from turmericlug.entry import starts as starts_module
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages

HEARTBEAT_S = 1.2


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class NoPool:
    limit = None
    waiting = 0
    has_idle = True
    closed = False

    def close(self):
        self.closed = True

    def trim(self):
        pass


def make_view():
    clock = Clock()
    replicas, peers = (
        replicas_module.Replicas(lambda entry: NoPool(), scripted.PLACE, budget.Allowance())
        for _ in range(2)
    )
    return view_module.View("own", replicas, peers, clock), clock


def configured(version, revision):
    configuration = routes.Configuration(version, (), {}, messages.Limits())
    return source.Written("config", configuration, revision)


def replica(instance, revision, draining=False, born_ms=None, port=1, sequence=0):
    entry = scripted.entry(
        instance, draining=draining, born_ms=born_ms, port=port, sequence=sequence
    )
    return source.Written(f"r/{instance}", entry, revision)


def unreadable(key, revision):
    return source.Unreadable(key, revision, "no entry")


def instance(name, revision):
    return source.Written(f"e/{name}", source.EntryInstance(name, name, "dc", "r"), revision)


@pytest.mark.parametrize(("versions", "final"), [([1, 2], 2), ([2, 1], 2), ([5, 5, 3, 9, 8], 9)])
def test_configuration_never_reverts(versions, final):
    """
    Guards against a slow snapshot that arrives after a newer version was received another way: with
    it applied, callers are served under rules that they have already seen replaced.
    """
    view, _ = make_view()
    for revision, version in enumerate(versions):
        view.apply_snapshot(source.Snapshot((configured(version, revision + 1),), revision + 1))
    assert view.configuration.version == final


def evacuated(data_centre, revision):
    return source.Written(f"v/{data_centre}", source.Evacuation(data_centre), revision)


@pytest.mark.parametrize(
    "unreachable", [True, False], ids=["source unreachable", "normal operation"]
)
def test_evacuation_lasts_until_its_key_is_removed(unreachable):
    """
    Guards against an evacuation that outlasts its withdrawal: entries that disappear around an
    outage are held for a time, and a withdrawn evacuation stayed in force for as long.
    """
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((evacuated("a", 1), evacuated("b", 2)), 2))
    assert set(view.replicas.evacuated) == {"a", "b"}
    clock.now_s += 4
    view.apply_changes(source.Changes((evacuated("a", 3),), 3))
    assert view.replicas.evacuated["a"] == clock.now_s - 4
    if unreachable:
        view.record_source_failure("timeout")
    view.apply_changes(source.Changes((source.Removed("v/a", 4),), 4))
    assert set(view.replicas.evacuated) == {"b"}
    view.apply_changes(source.Changes((source.Removed("v/b", 5), evacuated("b", 6)), 6))
    assert set(view.replicas.evacuated) == {"b"}
    view.apply_snapshot(source.Snapshot((), 9))
    assert not view.replicas.evacuated


def test_evacuation_in_lost_history_is_relayed():
    """
    Guards against changes that only the relay knows: after lost history it learnt them from a fresh
    snapshot, and the instances that it serves never received them.
    """
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((evacuated("a", 1),), 1))
    found = view.changes_in(source.Snapshot((evacuated("b", 3),), 3))
    assert found.changes == (evacuated("b", 3), source.Removed("v/a", 3))


def test_removed_replica_is_dropped_at_once_in_normal_operation():
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot(tuple(replica(f"i{n}", 1) for n in range(8)), 1))
    view.apply_changes(source.Changes((source.Removed("r/i0", 2),), 2))
    assert "i0" not in view.replicas.instances()


def test_removal_older_than_the_entry_is_ignored():
    """
    Guards against a replica that gets no requests until its entry changes again, which may be
    never. Changes are requested from the oldest page of the first snapshot, so they repeat what a
    newer page has already shown: here, that the entry expired and was written again.
    """
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 7),), 3))
    view.apply_changes(source.Changes((replica("a", 4), source.Removed("r/a", 5)), 5))
    assert "a" in view.replicas.instances()
    view.apply_changes(source.Changes((source.Removed("r/a", 8),), 8))
    assert "a" not in view.replicas.instances()


@pytest.mark.parametrize(
    "unreachable", [True, False], ids=["store unreachable", "expiry not noticed"]
)
def test_entries_that_expire_in_an_outage_are_held(unreachable):
    """
    Guards against two seconds in which every query is refused: leases expire while the store is
    down, so that all replicas appear to be removed when it returns, and register again within two
    seconds.
    """
    view, clock = make_view()
    written = tuple(replica(f"i{n}", 1) for n in range(8))
    view.apply_snapshot(source.Snapshot(written, 1))
    if unreachable:
        view.record_source_failure("timeout")
        clock.now_s += 5
        view.record_source_answer()
    removed = tuple(source.Removed(entry.key, 2) for entry in written)
    view.apply_changes(source.Changes(removed, 2))
    view.expire_held()
    assert len(view.replicas) == 8
    rewritten = tuple(replica(f"i{n}", 3) for n in range(6))
    view.apply_changes(source.Changes(rewritten, 3))
    clock.now_s += view_module.ENTRY_HOLD_S + 0.1
    view.expire_held()
    assert view.replicas.instances() == {f"i{n}" for n in range(6)}
    assert not any(known.leaving for known in view.replicas.all())


@pytest.mark.parametrize("relayed", [False, True], ids=["by a snapshot", "by a relay"])
def test_replica_missing_from_a_copy_is_held_until_rewritten(relayed):
    """Guards against replicas that get no requests because the copy is older than their entries."""
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 5), replica("b", 9)), 9, 1))
    clock.now_s += 60
    if relayed:
        view.apply_changes(source.Changes((source.Removed("r/b", 7, 2),), 7, era=2))
    else:
        view.apply_snapshot(source.Snapshot((attrs.evolve(replica("a", 5), era=2),), 7, 2))
    view.expire_held()
    assert view.replicas.instances() == {"a", "b"}
    rewritten = attrs.evolve(replica("b", 8), era=2)
    view.apply_changes(source.Changes((rewritten,), 8, era=2))
    clock.now_s += view_module.ENTRY_HOLD_S + 0.1
    view.expire_held()
    assert view.replicas.instances() == {"a", "b"}


@pytest.mark.parametrize("revision", [4, 9, 12], ids=["lower", "the same", "higher"])
@pytest.mark.parametrize("returns", [1, 2])
def test_writes_after_a_restore_are_applied(revision, returns):
    """Guards against dropping changes whose revisions were already seen before the restore."""
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((configured(3, 9), replica("a", 8)), 9, 1))
    era = 1 + returns
    for restored_era in range(2, era + 1):
        view.apply_snapshot(
            source.Snapshot((attrs.evolve(configured(2, 3), era=restored_era),), 3, restored_era)
        )
    written = (configured(4, revision), replica("a", revision, draining=True))
    changes = tuple(attrs.evolve(entry, era=era) for entry in written)
    view.apply_changes(source.Changes(changes, revision, era=era))
    assert view.configuration.version == 4
    assert all(known.leaving for known in view.replicas.all())
    clock.now_s += 60
    view.apply_changes(source.Changes((source.Removed("r/a", revision + 1, era),), 13, era=era))
    assert not view.replicas.instances()


def test_evacuation_missing_from_a_copy_is_held_until_rewritten():
    """Guards against requests to an evacuated data centre whose key is missing in an older copy."""
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((evacuated("a", 8), evacuated("b", 9)), 9, 1))
    view.apply_snapshot(source.Snapshot((), 7, 2))
    assert set(view.replicas.evacuated) == {"a", "b"}
    view.apply_changes(source.Changes((attrs.evolve(evacuated("a", 8), era=2),), 8, era=2))
    clock.now_s += view_module.ENTRY_HOLD_S + 0.1
    view.expire_held()
    assert set(view.replicas.evacuated) == {"a"}
    view.apply_changes(source.Changes((source.Removed("v/a", 9, 2),), 9, era=2))
    assert not view.replicas.evacuated


@pytest.mark.parametrize(
    ("next_entry", "leaving"),
    [
        ({}, True),
        ({"sequence": 3}, True),
        ({"sequence": 5}, False),
        ({"sequence": 1, "born_ms": 2000}, False),
    ],
    ids=["nothing", "older entry", "newer entry", "another start"],
)
def test_older_entry_does_not_end_draining(next_entry, leaving):
    """Guards against requests to a leaving replica because a copy holds its former entry."""
    view, _ = make_view()
    draining_entry = replica("a", 9, draining=True, born_ms=1000, sequence=4)
    view.apply_snapshot(source.Snapshot((draining_entry,), 9, 1))
    older = replica("a", 5, born_ms=1000, sequence=2)
    view.apply_snapshot(source.Snapshot((attrs.evolve(older, era=2),), 7, 2))
    if next_entry:
        written = replica("a", 8, **({"born_ms": 1000} | next_entry))
        view.apply_changes(source.Changes((attrs.evolve(written, era=2),), 8, era=2))
    assert [known.leaving for known in view.replicas.all()] == [leaving]
    view.apply_changes(source.Changes((source.Removed("r/a", 9, 2),), 9, era=2))
    assert not view.replicas.instances() or view._held


def test_only_differences_are_relayed_after_a_restore():
    """Guards against a restore that makes every relay send all entries to its whole data centre."""
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 5), replica("b", 9), replica("c", 3)), 9, 1))
    restored = [attrs.evolve(entry, era=2) for entry in (replica("a", 5), replica("b", 7))]
    found = view.changes_in(source.Snapshot(tuple(restored), 7, 2))
    assert [(change.key, type(change)) for change in found.changes] == [
        ("r/b", source.Written),
        ("r/c", source.Removed),
    ]
    assert found.position == source.Position(2, 7)


def test_nothing_is_removed_while_the_store_is_unreachable():
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 1), replica("b", 1)), 1))
    view.record_source_failure("timeout")
    view.apply_changes(source.Changes((source.Removed("r/a", 2),), 2))
    clock.now_s += 60
    view.expire_held()
    assert "a" in view.replicas.instances()


def test_hold_time_counts_from_recovery_of_the_store():
    """
    Guards against removing every replica just when all of them register again: entries expire early
    in a long outage, which this instance learns through a pending request for changes. A hold time
    that counts from the expiry is over before the store is back.
    """
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 1),), 1))
    view.record_source_failure("timeout")
    view.apply_changes(source.Changes((source.Removed("r/a", 2),), 2))
    clock.now_s += 30
    view.record_source_answer()
    view.expire_held()
    assert "a" in view.replicas.instances()
    clock.now_s += view_module.ENTRY_HOLD_S + 0.1
    view.expire_held()
    assert "a" not in view.replicas.instances()


def test_draining_replica_gets_no_new_requests():
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 1), replica("b", 1)), 1))
    view.apply_changes(source.Changes((replica("a", 2, draining=True),), 2))
    route = routes.Route("r", "h", "/", True, 1000, 100, 1, 2)
    assert view.replicas.choose("s", route, (), clock.now_s).entry.instance == "b"


def set_learnt_state(view, instance):
    """Set all learnt state of a replica in a view, and return the replica."""
    (known,) = (replica for replica in view.replicas.all() if replica.entry.instance == instance)
    known.relative_latency, known.failure_rate, known.failures, known.ejections = 9.0, 0.9, 3, 2
    known.ejected_until_s = known.shed_until_s = known.misdirected_until_s = 1e9
    return known


@pytest.mark.parametrize("delivery", ["change", "snapshot"])
@pytest.mark.parametrize("draining", [True, False])
def test_restarted_replica_keeps_no_state(delivery, draining):
    """
    Guards against a restarted replica that inherits the state of the one before. That one was slow,
    failing and draining, and crashed; the new one under the same name is then skipped for seconds,
    gets its requests on dead connections, and counts as draining although it serves.
    """
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 1, draining, born_ms=1000),), 1))
    former = set_learnt_state(view, "a")
    restarted = replica("a", 2, born_ms=2500)
    if delivery == "change":
        view.apply_changes(source.Changes((restarted,), 2))
    else:
        view.apply_snapshot(source.Snapshot((restarted,), 2))
    (known,) = view.replicas.all()
    assert known is not former
    assert (known.relative_latency, known.failure_rate, known.failures, known.ejections) == (
        1.0,
        0.0,
        0,
        0,
    )
    assert not known.is_set_aside(clock.now_s) and not known.leaving
    assert former.pool.closed and not known.pool.closed


def test_older_start_is_recognised_after_an_unreadable_entry():
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 3, born_ms=2500),), 3))
    older = replica("a", 5, born_ms=1000)
    view.apply_changes(source.Changes((unreadable("r/a", 4), older), 5))
    assert not view.replicas.instances()


@pytest.mark.parametrize("gone", [False, True], ids=["still there", "gone meanwhile"])
def test_late_entry_of_an_older_start_is_ignored(gone):
    """
    Guards against requests to the old address of a replica: the last write of its crashed process
    got no answer and takes effect seconds later, after the first write of its next start.
    """
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 3, born_ms=2500, port=2),), 3))
    if gone:
        view.apply_changes(source.Changes((source.Removed("r/a", 4),), 4))
        assert not view.replicas.instances()
    view.apply_changes(source.Changes((replica("a", 5, born_ms=1000),), 5))
    assert [known.entry.port for known in view.replicas.all()] == ([] if gone else [2])
    view.apply_changes(source.Changes((replica("a", 6, draining=True, born_ms=2500, port=2),), 6))
    (known,) = view.replicas.all()
    assert known.leaving
    assert known.entry.port == 2


def test_number_of_remembered_starts_is_limited(monkeypatch):
    monkeypatch.setattr(starts_module, "MAX_REMEMBERED_STARTS", 3)
    view, _ = make_view()
    for number in range(9):
        name, revision = f"i{number}", 10 * number
        view.apply_changes(source.Changes((replica(name, revision + 1, born_ms=5),), revision + 1))
        removed = source.Removed(f"r/{name}", revision + 2)
        view.apply_changes(source.Changes((removed,), revision + 2))
    assert list(view._starts._removed) == ["r/i6", "r/i7", "r/i8"]


def test_replica_with_unreadable_entry_is_removed():
    """
    The valid entry of a replica is overwritten with an unreadable value. Its former content no
    longer applies: the replica gets no requests until it writes its next entry, and the other
    replicas are used as before.
    """
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((replica("a", 1), replica("b", 2)), 2))
    view.apply_changes(source.Changes((unreadable("r/a", 3),), 3))
    assert view.replicas.instances() == {"b"}
    view.apply_changes(source.Changes((replica("a", 2), unreadable("r/c", 4)), 4))
    assert view.replicas.instances() == {"b"}, "an earlier entry must not restore the replica"
    view.apply_changes(source.Changes((replica("a", 5), replica("c", 6)), 6))
    assert view.replicas.instances() == {"a", "b", "c"}


def test_removed_unreadable_entry_leaves_no_trace():
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((unreadable("r/a", 1), replica("b", 2)), 2))
    view.apply_changes(source.Changes((source.Removed("r/a", 3),), 3))
    view.apply_snapshot(source.Snapshot((replica("a", 2), replica("b", 2)), 4))
    assert view.replicas.instances() == {"a", "b"}


def test_unreadable_configuration_keeps_the_last_in_force():
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((configured(4, 1),), 1))
    view.apply_changes(source.Changes((unreadable("config", 2),), 2))
    assert view.configuration.version == 4
    view.apply_changes(source.Changes((configured(5, 3),), 3))
    assert view.configuration.version == 5


def test_instances_with_unreadable_entries():
    """Callers are no longer given another instance's address; the own entry is written again."""
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((instance("own", 1), instance("x", 1)), 1))
    view.apply_changes(source.Changes((unreadable("e/own", 2), unreadable("e/x", 3)), 3))
    assert view.own_entry_removed
    assert set(view.instances) == {"own"}


def test_removal_of_the_own_entry_is_noticed():
    """
    Guards against a running instance whose address callers are no longer given: the platform ended
    its lease, and the instance did not notice the removal of its entry.
    """
    view, _ = make_view()
    view.apply_snapshot(source.Snapshot((instance("own", 1), instance("x", 1)), 1))
    view.apply_changes(source.Changes((source.Removed("e/own", 2), source.Removed("e/x", 3)), 3))
    assert view.own_entry_removed
    assert set(view.instances) == {"own"}


def test_removed_instances_count_for_a_while():
    """
    Guards against a retry budget that is exceeded: the platform removes entries of instances that
    still run. If they stop counting at once, the others take over their share of the budget, while
    the removed instances continue to use it.
    """
    view, clock = make_view()
    view.apply_snapshot(source.Snapshot(tuple(instance(f"x{n}", 1) for n in range(7)), 1))
    clock.now_s += 60
    for number in range(5):
        view.apply_changes(
            source.Changes((source.Removed(f"e/x{number}", 2 + number),), 2 + number)
        )
    assert (len(view.instances), view.instance_count()) == (2, 7)
    clock.now_s += view_module.INSTANCE_COUNT_WINDOW_S + 1
    assert view.instance_count() == 2


class Following(stateful.RuleBasedStateMachine):
    """
    The actual content of the store and a view that follows it, through outages, lost history, and
    restores from a copy after which revisions are assigned again.
    """

    def __init__(self):
        super().__init__()
        self.view, self.clock = make_view()
        self.revision = 0
        self.content = {}
        self.born_ms = {}
        self.pending = []
        self.highest_version = 0
        self.synced = False
        self.era = 1
        self.copies = []
        self.entry_sequence = 0
        self.overwritten = set()
        """Replicas whose entry was overwritten by a late write of an earlier start, by number."""
        self.known_starts = set()
        """The starts of replicas that the view knows, by number and time."""
        self.lost_writes = {}
        """Writes of others since the copy, which they repeat, by key; ``None``: a removal."""

    def _keep_copy(self):
        self.copies.append((self.revision, dict(self.content)))

    def _write(self, written):
        self._keep_copy()
        self.revision += 1
        key = written(self.revision).key
        self.content[key] = attrs.evolve(written(self.revision), era=self.era)
        self.pending.append(self.content[key])
        self.lost_writes.pop(key, None)

    @stateful.rule(
        number=strategies.integers(0, 5),
        draining=strategies.booleans(),
        restarted=strategies.booleans(),
        clock_step_ms=strategies.sampled_from([0, 0, -950]),
    )
    def write_replica(self, number, draining, restarted, clock_step_ms):
        step_ms = (700 + clock_step_ms) * restarted
        self.born_ms[number] = born_ms = self.born_ms.get(number, 1_000_000) + step_ms
        self.overwritten.discard(number)
        self.entry_sequence += 1
        entry_sequence = self.entry_sequence
        self._write(
            lambda revision: replica(
                f"i{number}", revision, draining, born_ms, sequence=entry_sequence
            )
        )

    @stateful.rule(number=strategies.integers(0, 5))
    def make_replica_unreadable(self, number):
        if f"r/i{number}" in self.content:
            self._write(lambda revision: unreadable(f"r/i{number}", revision))

    @stateful.rule(number=strategies.integers(0, 5))
    def write_of_an_older_start_is_carried_out(self, number):
        """
        The store holds it until the next entry of the newer start, which follows within a
        heartbeat; the view ignores it.
        """
        # The view recognises an older start only if it already knows the newer one, or receives it
        # first.
        newest = self.content.get(f"r/i{number}")
        is_known = (number, self.born_ms.get(number)) in self.known_starts
        if isinstance(newest, source.Written) or newest and is_known:
            self._keep_copy()
            self.revision += 1
            older = replica(f"i{number}", self.revision, born_ms=self.born_ms[number] - 700)
            self.pending.append(attrs.evolve(older, era=self.era))
            self.overwritten.add(number)

    def _write_overwritten(self):
        """The replicas that are alive write their entries again with the next heartbeat."""
        for number in sorted(self.overwritten):
            newest = self.content.get(f"r/i{number}")
            if newest is not None:
                self._write(lambda revision, newest=newest: attrs.evolve(newest, revision=revision))
        self.overwritten = set()
        self.deliver_changes()

    @stateful.rule(step=strategies.integers(1, 3))
    def write_configuration(self, step):
        version = self.highest_version + step
        self.highest_version = version
        self._write(lambda revision: configured(version, revision))

    @stateful.rule(number=strategies.integers(0, 5))
    def remove_replica(self, number):
        if f"r/i{number}" in self.content:
            self._remove(f"r/i{number}")

    def _remove(self, key):
        self._keep_copy()
        self.revision += 1
        del self.content[key]
        self.pending.append(source.Removed(key, self.revision, self.era))
        self.lost_writes.pop(key, None)

    @stateful.rule(
        changes=strategies.integers(0, 6), rewrite=strategies.booleans(), read=strategies.booleans()
    )
    def return_from_copy(self, changes, rewrite, read):
        """Lose the latest changes; their revisions are assigned again."""
        before = self.content
        for _ in range(min(changes, len(self.copies))):
            self.revision, self.content = self.copies.pop()
        for key in before.keys() | self.content.keys():
            if before.get(key) != self.content.get(key):
                self.lost_writes.setdefault(key, before.get(key))
        self.content = {
            key: attrs.evolve(entry, era=self.era + 1) for key, entry in self.content.items()
        }
        self.era += 1
        self.pending, self.synced = [], False
        if rewrite:
            self.repeat_lost_writes()
        if read:
            self.read_snapshot()

    @stateful.rule()
    def repeat_lost_writes(self):
        """The operator and the replicas repeat the writes that the copy lacks."""
        for key, lost in list(self.lost_writes.items()):
            if lost is not None:
                self._write(lambda revision, lost=lost: attrs.evolve(lost, revision=revision))
            elif key in self.content:
                self._remove(key)
        self.lost_writes = {}

    @stateful.rule()
    def deliver_changes(self):
        if self.synced:
            self.view.record_source_answer()
            changes = source.Changes(tuple(self.pending), self.revision, era=self.era)
            self.view.apply_changes(changes)
            self._learn(self.pending)
            self.pending = []

    def _learn(self, changes):
        for change in changes:
            if isinstance(change, source.Written) and change.key.startswith("r/"):
                self.known_starts.add((int(change.key[3:]), change.value.born_ms))

    @stateful.rule()
    def read_snapshot(self):
        self.view.record_source_answer()
        written = tuple(self.content.values())
        self.view.apply_snapshot(source.Snapshot(written, self.revision, self.era))
        self._learn(written)
        self.pending, self.synced = [], True

    @stateful.rule()
    def store_becomes_unreachable(self):
        self.view.record_source_failure("timeout")

    @stateful.rule(seconds=strategies.floats(0.1, 5.0))
    def wait(self, seconds):
        until_s = self.clock.now_s + seconds
        self.clock.now_s = min(until_s, self.clock.now_s + HEARTBEAT_S)
        self.view.expire_held()
        if until_s > self.clock.now_s:
            self._write_overwritten()
        self.clock.now_s = until_s
        self.view.expire_held()

    @stateful.invariant()
    def versions_only_increase(self):
        now = self.view.configuration.version if self.view.configuration else 0
        assert now >= getattr(self, "seen", 0)
        self.seen = now

    @stateful.invariant()
    def converges_to_the_store(self):
        if (
            self.pending
            or self.lost_writes
            or not self.synced
            or self.view._unreachable_since_s is not None
        ):
            return
        if self.view._held:
            return
        assert (
            self.view.configuration is None
            or self.view.configuration.version == self.highest_version
        )
        expected = {
            key[2:]
            for key, entry in self.content.items()
            if key.startswith("r/") and isinstance(entry, source.Written)
        }
        # The latest start is held back if it states an earlier time than another one.
        in_doubt = {
            written.value.instance
            for written in self.view._starts.held_back()
            if written == self.content.get(written.key)
        }
        assert self.view.replicas.instances() - in_doubt == expected - in_doubt
        for replica in self.view.replicas.all():
            if replica.entry.instance in in_doubt:
                continue
            stored = self.content[f"r/{replica.entry.instance}"].value
            assert (replica.leaving, replica.entry.born_ms) == (stored.draining, stored.born_ms)


TestFollowing = Following.TestCase
TestFollowing.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
