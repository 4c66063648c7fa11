"""What an instance believes, as news come in any order."""

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
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages


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
def test_a_configuration_never_goes_back(versions, final):
    """
    A slow reading arrives after a newer version came by another way. Taken over, callers would be
    handled by rules that they have already seen replaced.
    """
    view, _ = make_view()
    for revision, version in enumerate(versions):
        view.take_snapshot(source.Snapshot((configured(version, revision + 1),), revision + 1))
    assert view.configuration.version == final


def evacuated(data_centre, revision):
    return source.Written(f"v/{data_centre}", source.Evacuation(data_centre), revision)


@pytest.mark.parametrize("away", [True, False], ids=["source away", "in calm"])
def test_an_evacuation_is_in_force_until_its_key_goes(away):
    """
    Entries that vanish beside an outage are held for their return. An evacuation that was taken
    back stayed in force as long.
    """
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((evacuated("a", 1), evacuated("b", 2)), 2))
    assert set(view.replicas.evacuated) == {"a", "b"}
    clock.now_s += 4
    view.take_changes(source.Changes((evacuated("a", 3),), 3))
    assert view.replicas.evacuated["a"] == clock.now_s - 4
    if away:
        view.source_lost("timeout")
    view.take_changes(source.Changes((source.Removed("v/a", 4),), 4))
    assert set(view.replicas.evacuated) == {"b"}
    view.take_changes(source.Changes((source.Removed("v/b", 5), evacuated("b", 6)), 6))
    assert set(view.replicas.evacuated) == {"b"}
    view.take_snapshot(source.Snapshot((), 9))
    assert not view.replicas.evacuated


def test_an_evacuation_in_lost_history_is_passed_on():
    """Instances that ask another one for news never heard of what a fresh reading had brought."""
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((evacuated("a", 1),), 1))
    found = view.changes_in(source.Snapshot((evacuated("b", 3),), 3))
    assert found.changes == (evacuated("b", 3), source.Removed("v/a", 3))


def test_a_removed_replica_is_gone_at_once_in_calm():
    view, _ = make_view()
    view.take_snapshot(source.Snapshot(tuple(replica(f"i{n}", 1) for n in range(8)), 1))
    view.take_changes(source.Changes((source.Removed("r/i0", 2),), 2))
    assert "i0" not in view.replicas.instances()


def test_a_removal_older_than_the_entry_is_passed_over():
    """
    A first reading is followed from its oldest page, so that the news repeat what a newer page has
    shown already: a replica's entry lapsed and was written again. Taken for gone, the replica gets
    no requests until its entry changes again, which may be never.
    """
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 7),), 3))
    view.take_changes(source.Changes((replica("a", 4), source.Removed("r/a", 5)), 5))
    assert "a" in view.replicas.instances()
    view.take_changes(source.Changes((source.Removed("r/a", 8),), 8))
    assert "a" not in view.replicas.instances()


@pytest.mark.parametrize("away", [True, False], ids=["store away", "lapse not noticed"])
def test_entries_that_lapse_with_the_store_are_kept_for_their_return(away):
    """
    The store is down and leases run out; when it is back, all replicas seem gone and register again
    within two seconds. Taken for gone at once, every query is refused for these two seconds.
    """
    view, clock = make_view()
    written = tuple(replica(f"i{n}", 1) for n in range(8))
    view.take_snapshot(source.Snapshot(written, 1))
    if away:
        view.source_lost("timeout")
        clock.now_s += 5
        view.source_regained()
    removed = tuple(source.Removed(each.key, 2) for each in written)
    view.take_changes(source.Changes(removed, 2))
    view.expire_held()
    assert len(view.replicas) == 8
    back = tuple(replica(f"i{n}", 3) for n in range(6))
    view.take_changes(source.Changes(back, 3))
    clock.now_s += view_module.RETURN_HOLD_S + 0.1
    view.expire_held()
    assert view.replicas.instances() == {f"i{n}" for n in range(6)}
    assert not any(each.leaving for each in view.replicas.all())


@pytest.mark.parametrize("relayed", [False, True], ids=["by a reading", "by an instance"])
def test_what_a_copy_has_not_is_held_until_it_is_written_again(relayed):
    """Guards against replicas that get nothing as the copy is older than their entries."""
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 5), replica("b", 9)), 9, 1))
    clock.now_s += 60
    if relayed:
        view.take_changes(source.Changes((source.Removed("r/b", 7, 2),), 7, era=2))
    else:
        view.take_snapshot(source.Snapshot((attrs.evolve(replica("a", 5), era=2),), 7, 2))
    view.expire_held()
    assert view.replicas.instances() == {"a", "b"}
    again = attrs.evolve(replica("b", 8), era=2)
    view.take_changes(source.Changes((again,), 8, era=2))
    clock.now_s += view_module.RETURN_HOLD_S + 0.1
    view.expire_held()
    assert view.replicas.instances() == {"a", "b"}


@pytest.mark.parametrize("revision", [4, 9, 12], ids=["lower", "the same", "higher"])
@pytest.mark.parametrize("returns", [1, 2])
def test_what_is_written_after_a_return_from_a_copy_counts(revision, returns):
    """Guards against changes that are dropped since their revisions were seen before the return."""
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((configured(3, 9), replica("a", 8)), 9, 1))
    era = 1 + returns
    for each in range(2, era + 1):
        view.take_snapshot(source.Snapshot((attrs.evolve(configured(2, 3), era=each),), 3, each))
    written = (configured(4, revision), replica("a", revision, draining=True))
    changes = tuple(attrs.evolve(each, era=era) for each in written)
    view.take_changes(source.Changes(changes, revision, era=era))
    assert view.configuration.version == 4
    assert all(each.leaving for each in view.replicas.all())
    clock.now_s += 60
    view.take_changes(source.Changes((source.Removed("r/a", revision + 1, era),), 13, era=era))
    assert not view.replicas.instances()


def test_an_evacuation_that_a_copy_has_not_is_held_until_it_is_written_again():
    """Guards against requests to an evacuated data centre as the copy is older than its key."""
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((evacuated("a", 8), evacuated("b", 9)), 9, 1))
    view.take_snapshot(source.Snapshot((), 7, 2))
    assert set(view.replicas.evacuated) == {"a", "b"}
    view.take_changes(source.Changes((attrs.evolve(evacuated("a", 8), era=2),), 8, era=2))
    clock.now_s += view_module.RETURN_HOLD_S + 0.1
    view.expire_held()
    assert set(view.replicas.evacuated) == {"a"}
    view.take_changes(source.Changes((source.Removed("v/a", 9, 2),), 9, era=2))
    assert not view.replicas.evacuated


@pytest.mark.parametrize(
    ("again", "leaving"),
    [
        ({}, True),
        ({"sequence": 3}, True),
        ({"sequence": 5}, False),
        ({"sequence": 1, "born_ms": 2000}, False),
    ],
    ids=["nothing", "older word", "newer word", "another start"],
)
def test_a_draining_replica_is_not_ready_again_by_an_older_entry(again, leaving):
    """Guards against requests to a leaving replica as a copy holds what it said before."""
    view, _ = make_view()
    said = replica("a", 9, draining=True, born_ms=1000, sequence=4)
    view.take_snapshot(source.Snapshot((said,), 9, 1))
    older = replica("a", 5, born_ms=1000, sequence=2)
    view.take_snapshot(source.Snapshot((attrs.evolve(older, era=2),), 7, 2))
    if again:
        written = replica("a", 8, **({"born_ms": 1000} | again))
        view.take_changes(source.Changes((attrs.evolve(written, era=2),), 8, era=2))
    assert [each.leaving for each in view.replicas.all()] == [leaving]
    view.take_changes(source.Changes((source.Removed("r/a", 9, 2),), 9, era=2))
    assert not view.replicas.instances() or view._held


def test_only_what_differs_is_passed_on_after_a_return_from_a_copy():
    """Guards against a return that has every relay tell all entries to its whole data centre."""
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 5), replica("b", 9), replica("c", 3)), 9, 1))
    shown = [attrs.evolve(each, era=2) for each in (replica("a", 5), replica("b", 7))]
    found = view.changes_in(source.Snapshot(tuple(shown), 7, 2))
    assert [(each.key, type(each)) for each in found.changes] == [
        ("r/b", source.Written),
        ("r/c", source.Removed),
    ]
    assert found.position == source.Position(2, 7)


def test_nothing_is_taken_for_gone_while_the_store_is_away():
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 1), replica("b", 1)), 1))
    view.source_lost("timeout")
    view.take_changes(source.Changes((source.Removed("r/a", 2),), 2))
    clock.now_s += 60
    view.expire_held()
    assert "a" in view.replicas.instances()


def test_the_time_to_return_counts_from_the_return():
    """
    Entries lapse early in a long outage of which this instance hears through an open question.
    Counted from the lapse, the time to return is over before the store is back, and every replica
    is taken for gone in the moment in which they all register again.
    """
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 1),), 1))
    view.source_lost("timeout")
    view.take_changes(source.Changes((source.Removed("r/a", 2),), 2))
    clock.now_s += 30
    view.source_regained()
    view.expire_held()
    assert "a" in view.replicas.instances()
    clock.now_s += view_module.RETURN_HOLD_S + 0.1
    view.expire_held()
    assert "a" not in view.replicas.instances()


def test_a_draining_replica_gets_nothing_new():
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 1), replica("b", 1)), 1))
    view.take_changes(source.Changes((replica("a", 2, draining=True),), 2))
    route = routes.Route("r", "h", "/", True, 1000, 100, 1, 2)
    assert view.replicas.choose("s", route, (), clock.now_s).entry.instance == "b"


def learnt(view, instance):
    """Teach a view all that it can learn of a replica, and return what it learnt it of."""
    (known,) = (each for each in view.replicas.all() if each.entry.instance == instance)
    known.pace, known.trouble, known.failures, known.ejections = 9.0, 0.9, 3, 2
    known.ejected_until_s = known.full_until_s = known.elsewhere_until_s = 1e9
    return known


@pytest.mark.parametrize("way", ["change", "snapshot"])
@pytest.mark.parametrize("draining", [True, False])
def test_a_replica_that_starts_again_under_its_name_is_another_one(way, draining):
    """
    A replica was slow, failed and was draining, crashed, and starts again under its old name. Held
    for the one before, it is passed over for seconds, its requests go out on connections that are
    dead, and it is taken to drain though it serves.
    """
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 1, draining, born_ms=1000),), 1))
    former = learnt(view, "a")
    again = replica("a", 2, born_ms=2500)
    if way == "change":
        view.take_changes(source.Changes((again,), 2))
    else:
        view.take_snapshot(source.Snapshot((again,), 2))
    (known,) = view.replicas.all()
    assert known is not former
    assert (known.pace, known.trouble, known.failures, known.ejections) == (1.0, 0.0, 0, 0)
    assert not known.set_aside(clock.now_s) and not known.leaving
    assert former.pool.closed and not known.pool.closed


def test_an_older_start_is_known_behind_an_unreadable_entry():
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 3, born_ms=2500),), 3))
    older = replica("a", 5, born_ms=1000)
    view.take_changes(source.Changes((unreadable("r/a", 4), older), 5))
    assert not view.replicas.instances()


@pytest.mark.parametrize("gone", [False, True], ids=["still there", "gone meanwhile"])
def test_an_older_start_that_is_told_late_changes_nothing(gone):
    """
    The last write of a process that crashed got no answer and is carried out seconds later, behind
    the first one of its next start. Taken over, the replica is looked for at its old address.
    """
    view, clock = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 3, born_ms=2500, port=2),), 3))
    if gone:
        view.take_changes(source.Changes((source.Removed("r/a", 4),), 4))
        assert not view.replicas.instances()
    view.take_changes(source.Changes((replica("a", 5, born_ms=1000),), 5))
    assert [each.entry.port for each in view.replicas.all()] == ([] if gone else [2])
    view.take_changes(source.Changes((replica("a", 6, draining=True, born_ms=2500, port=2),), 6))
    (known,) = view.replicas.all()
    assert known.leaving
    assert known.entry.port == 2


def test_starts_are_remembered_within_bounds(monkeypatch):
    monkeypatch.setattr(view_module, "MAX_REMEMBERED_STARTS", 3)
    view, _ = make_view()
    for number in range(9):
        name, revision = f"i{number}", 10 * number
        view.take_changes(source.Changes((replica(name, revision + 1, born_ms=5),), revision + 1))
        gone = source.Removed(f"r/{name}", revision + 2)
        view.take_changes(source.Changes((gone,), revision + 2))
    assert list(view._born_ms) == ["r/i6", "r/i7", "r/i8"]


def test_an_entry_that_becomes_unreadable_names_no_replica():
    """
    Somebody overwrites a replica's good entry. What it said before is no longer said: the replica
    gets nothing until its own next entry, and the others are used as before.
    """
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((replica("a", 1), replica("b", 2)), 2))
    view.take_changes(source.Changes((unreadable("r/a", 3),), 3))
    assert view.replicas.instances() == {"b"}
    view.take_changes(source.Changes((replica("a", 2), unreadable("r/c", 4)), 4))
    assert view.replicas.instances() == {"b"}, "what came before it does not bring it back"
    view.take_changes(source.Changes((replica("a", 5), replica("c", 6)), 6))
    assert view.replicas.instances() == {"a", "b", "c"}


def test_an_unreadable_entry_that_is_removed_leaves_nothing():
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((unreadable("r/a", 1), replica("b", 2)), 2))
    view.take_changes(source.Changes((source.Removed("r/a", 3),), 3))
    view.take_snapshot(source.Snapshot((replica("a", 2), replica("b", 2)), 4))
    assert view.replicas.instances() == {"a", "b"}


def test_a_configuration_that_becomes_unreadable_stays_in_force():
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((configured(4, 1),), 1))
    view.take_changes(source.Changes((unreadable("config", 2),), 2))
    assert view.configuration.version == 4
    view.take_changes(source.Changes((configured(5, 3),), 3))
    assert view.configuration.version == 5


def test_instances_with_unreadable_entries():
    """Another's is told to callers no more; the own is written again."""
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((instance("own", 1), instance("x", 1)), 1))
    view.take_changes(source.Changes((unreadable("e/own", 2), unreadable("e/x", 3)), 3))
    assert view.own_entry_removed
    assert set(view.instances) == {"own"}


def test_the_own_entry_is_missed_but_not_forgotten():
    """
    The platform ends an instance's lease while the instance runs on. Unnoticed, callers would not
    be told of it any more, though it serves.
    """
    view, _ = make_view()
    view.take_snapshot(source.Snapshot((instance("own", 1), instance("x", 1)), 1))
    view.take_changes(source.Changes((source.Removed("e/own", 2), source.Removed("e/x", 3)), 3))
    assert view.own_entry_removed
    assert set(view.instances) == {"own"}


def test_instances_that_left_count_for_a_while():
    view, clock = make_view()
    """
    The platform takes entries of running instances away. Counted out at once, the others take over
    their part of the budget of extra sends, while they go on using it themselves.
    """
    view.take_snapshot(source.Snapshot(tuple(instance(f"x{n}", 1) for n in range(7)), 1))
    clock.now_s += 60
    for number in range(5):
        view.take_changes(source.Changes((source.Removed(f"e/x{number}", 2 + number),), 2 + number))
    assert (len(view.instances), view.instances_count()) == (2, 7)
    clock.now_s += view_module.INSTANCE_COUNT_WINDOW_S + 1
    assert view.instances_count() == 2


class Following(stateful.RuleBasedStateMachine):
    """
    The store's true content and a view that follows it, with outages, lost history, and returns
    from a copy whose revisions are given out again.
    """

    def __init__(self):
        super().__init__()
        self.view, self.clock = make_view()
        self.revision = 0
        self.content = {}
        self.born_ms = {}
        self.pending = []
        self.highest = 0
        self.synced = False
        self.era = 1
        self.copies = []
        self.said = 0
        self.learnt = set()
        """The starts of replicas that the view was told of, by number and time."""
        self.owed = {}
        """What others than the system wrote since the copy, and write again; ``None``: removed."""

    def _keep_copy(self):
        self.copies.append((self.revision, dict(self.content)))

    def _write(self, written):
        self._keep_copy()
        self.revision += 1
        key = written(self.revision).key
        self.content[key] = attrs.evolve(written(self.revision), era=self.era)
        self.pending.append(self.content[key])
        self.owed.pop(key, None)

    @stateful.rule(
        number=strategies.integers(0, 5),
        draining=strategies.booleans(),
        again=strategies.booleans(),
    )
    def write_replica(self, number, draining, again):
        self.born_ms[number] = born_ms = self.born_ms.get(number, 1000) + 700 * again
        self.said += 1
        said = self.said
        self._write(
            lambda revision: replica(f"i{number}", revision, draining, born_ms, sequence=said)
        )

    @stateful.rule(number=strategies.integers(0, 5))
    def spoil_replica(self, number):
        if f"r/i{number}" in self.content:
            self._write(lambda revision: unreadable(f"r/i{number}", revision))

    @stateful.rule(number=strategies.integers(0, 5))
    def write_of_an_older_start_is_carried_out(self, number):
        """It stands in the store until the newer start's next entry; the view takes no note."""
        # The view can tell an older start only from one that it has learnt of, or will before it.
        newest = self.content.get(f"r/i{number}")
        learnt = (number, self.born_ms.get(number)) in self.learnt
        if isinstance(newest, source.Written) or newest and learnt:
            self._keep_copy()
            self.revision += 1
            older = replica(f"i{number}", self.revision, born_ms=self.born_ms[number] - 700)
            self.pending.append(attrs.evolve(older, era=self.era))

    @stateful.rule(step=strategies.integers(1, 3))
    def write_configuration(self, step):
        version = self.highest + step
        self.highest = version
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
        self.owed.pop(key, None)

    @stateful.rule(
        changes=strategies.integers(0, 6), again=strategies.booleans(), read=strategies.booleans()
    )
    def return_from_copy(self, changes, again, read):
        """Lose the latest changes; their revisions are given out again."""
        before = self.content
        for _ in range(min(changes, len(self.copies))):
            self.revision, self.content = self.copies.pop()
        for key in before.keys() | self.content.keys():
            if before.get(key) != self.content.get(key):
                self.owed.setdefault(key, before.get(key))
        self.content = {
            key: attrs.evolve(each, era=self.era + 1) for key, each in self.content.items()
        }
        self.era += 1
        self.pending, self.synced = [], False
        if again:
            self.write_again()
        if read:
            self.read_anew()

    @stateful.rule()
    def write_again(self):
        """The operator and the replicas write again what the copy had not."""
        for key, each in list(self.owed.items()):
            if each is not None:
                self._write(lambda revision, each=each: attrs.evolve(each, revision=revision))
            elif key in self.content:
                self._remove(key)
        self.owed = {}

    @stateful.rule()
    def deliver_changes(self):
        if self.synced:
            self.view.source_regained()
            changes = source.Changes(tuple(self.pending), self.revision, era=self.era)
            self.view.take_changes(changes)
            self._learn(self.pending)
            self.pending = []

    def _learn(self, changes):
        for each in changes:
            if isinstance(each, source.Written) and each.key.startswith("r/"):
                self.learnt.add((int(each.key[3:]), each.value.born_ms))

    @stateful.rule()
    def read_anew(self):
        self.view.source_regained()
        written = tuple(self.content.values())
        self.view.take_snapshot(source.Snapshot(written, self.revision, self.era))
        self._learn(written)
        self.pending, self.synced = [], True

    @stateful.rule()
    def lose_the_store(self):
        self.view.source_lost("timeout")

    @stateful.rule(seconds=strategies.floats(0.1, 5.0))
    def wait(self, seconds):
        self.clock.now_s += seconds
        self.view.expire_held()

    @stateful.invariant()
    def versions_only_rise(self):
        now = self.view.configuration.version if self.view.configuration else 0
        assert now >= getattr(self, "seen", 0)
        self.seen = now

    @stateful.invariant()
    def settles_on_the_truth(self):
        if (
            self.pending
            or self.owed
            or not self.synced
            or self.view._unreachable_since_s is not None
        ):
            return
        if self.view._held:
            return
        assert self.view.configuration is None or self.view.configuration.version == self.highest
        expected = {
            key[2:]
            for key, each in self.content.items()
            if key.startswith("r/") and isinstance(each, source.Written)
        }
        assert self.view.replicas.instances() == expected
        for each in self.view.replicas.all():
            told = self.content[f"r/{each.entry.instance}"].value
            assert (each.leaving, each.entry.born_ms) == (told.draining, told.born_ms)


TestFollowing = Following.TestCase
TestFollowing.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
