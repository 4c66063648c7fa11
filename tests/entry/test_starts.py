"""Replicas that start again under their name, with clocks that are set forward and back."""

from __future__ import annotations

import itertools

import hypothesis
import pytest
import scripted
from hypothesis import stateful
from hypothesis import strategies

from turmericlug.direct import budget
from turmericlug.direct import replicas as replicas_module
from turmericlug.entry import source
from turmericlug.entry import starts as starts_module
from turmericlug.entry import view as view_module

HEARTBEAT_S = 1.2
KEY = "r/a"


class Pool:
    closed = False

    def close(self):
        self.closed = True

    def trim(self):
        pass


class Following:
    """A view that is told each write and removal of one key as the source carries them out."""

    def __init__(self):
        self.now_s = 100.0
        self.revision = 0
        tables = [
            replicas_module.Replicas(lambda entry: Pool(), scripted.PLACE, budget.Allowance())
            for _ in range(2)
        ]
        self.view = view_module.View("own", *tables, lambda: self.now_s)
        self.latest = None

    def write(self, born_ms, port=1, draining=False):
        self.revision += 1
        entry = scripted.entry("a", draining=draining, born_ms=born_ms, port=port)
        self.latest = source.Written(KEY, entry, self.revision)
        self.view.apply_changes(source.Changes((self.latest,), self.revision))

    def remove(self):
        self.revision += 1
        self.latest = None
        removed = source.Removed(KEY, self.revision)
        self.view.apply_changes(source.Changes((removed,), self.revision))

    def read_all(self):
        entries = () if self.latest is None else (self.latest,)
        self.view.apply_snapshot(source.Snapshot(entries, self.revision))

    def wait(self, seconds):
        self.now_s += seconds
        self.view.expire_held()

    @property
    def replica(self):
        """The replica that requests may be sent to; ``None`` if there is none."""
        known = next(iter(self.view.replicas.all()), None)
        return None if known is None or known.leaving else known


def following(*born_ms):
    """Return a view of a replica that has started several times."""
    followed = Following()
    for start_ms in born_ms:
        followed.write(start_ms)
        followed.wait(view_module.ENTRY_HOLD_S + 0.1)
    return followed


STARTS = [
    pytest.param((5000, 4000), id="set back once"),
    pytest.param((5000, 4000, 3000), id="set back twice"),
    pytest.param((1000, 5000, 4000), id="ahead, then right"),
    pytest.param((5000, 5001), id="set back by nearly the time between the starts"),
]


@pytest.mark.parametrize("born_ms", STARTS)
@pytest.mark.parametrize("by_snapshot", [False, True], ids=["by changes", "by a snapshot"])
def test_drain_of_a_replica_whose_clock_was_set_back(born_ms, by_snapshot):
    """
    Guards against requests to a draining replica until it ends: its clock was set back between two
    starts, and all entries of the later one, its notice to drain among them, were ignored.
    """
    followed = following(*born_ms)
    assert followed.replica.entry.born_ms == born_ms[-1]
    followed.write(born_ms[-1], draining=True)
    if by_snapshot:
        followed.read_all()
    assert followed.replica is None


def test_replica_at_another_address_after_its_clock_was_set_back():
    """Guards against a replica that is never used: the address of its earlier start is kept."""
    followed = following(5000)
    followed.write(4000, port=2)
    followed.wait(view_module.ENTRY_HOLD_S + 0.1)
    assert followed.replica.entry.port == 2


@pytest.mark.parametrize("known_ms", [(5000,), (4000, 5000)], ids=["unknown start", "known start"])
def test_drain_soon_after_a_start_with_an_earlier_time(known_ms):
    """
    Guards against requests to a draining replica while it is not certain which start is the latest:
    the one that drains is likely to serve the address of the other.
    """
    followed = following(*known_ms)
    followed.write(4000)
    followed.wait(0.1)
    followed.write(4000, draining=True)
    assert followed.replica is None
    followed.wait(view_module.ENTRY_HOLD_S)
    assert followed.replica is None


@pytest.mark.parametrize(
    ("starts_ms", "next_ms", "reported"),
    [((5000,), 4000, 1), ((5000,), 6000, 1), ((4000, 5000), 4000, 0)],
    ids=["clock set back", "clock right", "late write"],
)
@pytest.mark.parametrize("draining", [False, True], ids=["ready", "draining"])
def test_end_is_reported_with_the_first_entry_of_the_next_start(
    starts_ms, next_ms, reported, draining
):
    """
    Guards against a request that crashes one replica after the other: that a replica has ended and
    started again was seen only once its start was certain, if its clock had been set back.
    """
    followed = following(*starts_ms)
    lost = []
    followed.view.replicas.on_lost = lost.append
    followed.write(next_ms, draining=draining)
    assert len(lost) == reported
    assert all(replica.entry.born_ms == starts_ms[-1] for replica in lost)


@pytest.mark.parametrize("draining", [False, True], ids=["ready", "draining"])
@pytest.mark.parametrize(
    ("starts_ms", "late_ms"),
    [((1000, 5000), 1000), ((5000,), 1000), ((5000, 1000), 5000), ((9, 5000, 1000), 5000)],
    ids=["known", "unknown", "known, of a clock ahead", "the one before, of a clock ahead"],
)
def test_late_write_while_the_replica_is_alive(starts_ms, late_ms, draining):
    """
    Guards against requests to the address of a start that has ended: its last write took effect
    after the next start, whose clock may be ahead or behind.
    """
    followed = following(*starts_ms)
    followed.write(late_ms, port=7, draining=draining)
    assert followed.replica is None or followed.replica.entry.port == 1
    followed.wait(HEARTBEAT_S)
    assert followed.replica is None or followed.replica.entry.port == 1
    followed.write(starts_ms[-1])
    assert followed.replica.entry.born_ms == starts_ms[-1]
    followed.wait(view_module.ENTRY_HOLD_S + 0.1)
    assert followed.replica.entry.born_ms == starts_ms[-1]
    assert followed.replica.entry.port == 1


def test_late_write_after_the_removal():
    """Guards against a replica that is gone and comes back by a late write that is removed too."""
    followed = following(1000, 5000)
    followed.remove()
    followed.write(1000)
    assert followed.replica is None
    followed.remove()
    followed.wait(view_module.ENTRY_HOLD_S + 0.1)
    assert followed.replica is None


def test_nothing_is_confirmed_while_the_source_is_unreachable():
    """
    Guards against taking the silence of an unreachable source for that of a replica: its next entry
    can't arrive.
    """
    followed = following(1000, 5000)
    followed.write(1000, port=7)
    followed.view.record_source_failure("timeout")
    followed.wait(60.0)
    followed.view.record_source_answer()
    followed.wait(0.1)
    assert followed.replica.entry.born_ms == 5000
    followed.write(5000)
    followed.wait(view_module.ENTRY_HOLD_S + 0.1)
    assert followed.replica.entry.born_ms == 5000


def test_entries_without_a_start_time():
    """Guards against ignoring the entries of replicas that don't state when they started."""
    followed = following(5000)
    followed.write(None, port=3)
    assert followed.replica.entry.port == 3
    followed.write(None, port=3, draining=True)
    assert followed.replica is None


def test_removal_of_an_entry_that_is_held_back_is_relayed():
    """
    Guards against a replica that only the instances use that ask this one: it is not known here
    yet, and its removal, learnt from a snapshot, is not handed on to them.
    """
    followed = following(5000)
    followed.remove()
    followed.write(4000)
    assert followed.replica is None
    assert not followed.view.changes_in(source.Snapshot((followed.latest,), 9)).changes
    found = followed.view.changes_in(source.Snapshot((), 9))
    assert found.changes == (source.Removed(KEY, 9),)


def test_number_of_replaced_starts_is_limited(monkeypatch):
    """Guards against memory that grows with each start of each replica."""
    monkeypatch.setattr(starts_module, "MAX_REMEMBERED_STARTS", 3)
    starts = starts_module.Starts(lambda: 0.0)
    for number in range(9):
        known = None
        for born_ms in range(20):
            entry = scripted.entry(f"i{number}", born_ms=born_ms)
            written = source.Written(f"r/i{number}", entry, born_ms)
            starts.record(written, known)
            known = written
    assert list(starts._replaced) == ["r/i6", "r/i7", "r/i8"]
    assert set(starts._replaced.values()) == {(15, 16, 17, 18)}


@pytest.mark.parametrize("failure_every_s", [0.6, 1.25], ids=["often", "each heartbeat"])
def test_restarted_replica_is_used_while_the_source_fails_again_and_again(failure_every_s):
    """
    The next start of a replica whose clock was set back got no requests for as long as single calls
    of the source failed, since each failure began the hold time anew.
    """
    followed = following(1000, 2000)
    followed.write(1500, port=2)
    next_failure_s = next_write_s = followed.now_s
    began_s = followed.now_s
    while followed.now_s < began_s + 3 * HEARTBEAT_S:
        followed.wait(0.05)
        if followed.now_s >= next_write_s:
            next_write_s += HEARTBEAT_S
            followed.write(1500, port=2)
        if followed.now_s >= next_failure_s:
            next_failure_s += failure_every_s
            followed.view.record_applied()
            followed.view.record_source_failure("rate")
            followed.view.record_source_answer()
    assert followed.replica.entry.port == 2


@pytest.mark.parametrize("in_one_answer", [True, False])
def test_removal_and_the_next_start_remove_the_known_one(in_one_answer):
    """A removal was undone by a start that was held back, if one answer told of both."""
    followed = following(1000, 2000)
    revision = followed.revision
    changes = (
        source.Removed(KEY, revision + 1),
        source.Written(KEY, scripted.entry("a", born_ms=1500, port=2), revision + 2),
    )
    for answer in (changes,) if in_one_answer else [(change,) for change in changes]:
        followed.view.apply_changes(source.Changes(answer, answer[-1].revision))
    assert followed.replica is None
    followed.wait(view_module.ENTRY_HOLD_S + 0.1)
    assert followed.replica.entry.port == 2


class Restarting(stateful.RuleBasedStateMachine):
    """One replica that starts again and again, with late writes of the starts before."""

    def __init__(self):
        super().__init__()
        self.followed = Following()
        self.ids = itertools.count(1)
        self.born_ms = 100_000
        self.port = next(self.ids)
        self.draining = False
        self.ended = []
        """Start time and port of the starts that may still have a write in flight."""
        self.silent_s = 0.0
        """Time since the entry of the latest start was written, if another one has replaced it."""
        self.write()

    def write(self):
        self.silent_s = 0.0
        self.followed.write(self.born_ms, self.port, self.draining)

    def pass_time(self, seconds):
        """Let time pass; a replica whose entry was replaced writes it again with a heartbeat."""
        while seconds > 0:
            step_s = min(seconds, 0.2)
            seconds -= step_s
            self.followed.wait(step_s)
            self.silent_s += step_s
            is_replaced = self.followed.latest.value.born_ms != self.born_ms
            if is_replaced and self.silent_s >= HEARTBEAT_S:
                self.write()

    @stateful.rule(step_ms=strategies.integers(-50_000, 50_000), moves=strategies.booleans())
    def restart(self, step_ms, moves):
        self.ended = [*self.ended, (self.born_ms, self.port)][-3:]
        self.born_ms = max(self.born_ms // 1000 + step_ms // 1000, 1) * 1000 + next(self.ids)
        if moves:
            self.port = next(self.ids)
        self.draining = False
        self.write()

    @stateful.precondition(lambda self: self.ended)
    @stateful.rule()
    def late_write(self):
        """The last write of an ended start takes effect."""
        born_ms, port = self.ended.pop()
        if born_ms != self.born_ms:
            self.silent_s = 0.0
            self.followed.write(born_ms, port)

    @stateful.rule()
    def drain(self):
        self.draining = True
        self.write()

    @stateful.rule()
    def read_all(self):
        self.followed.read_all()

    @stateful.rule(seconds=strategies.floats(0.1, 6.0))
    def wait(self, seconds):
        self.pass_time(seconds)

    @stateful.rule()
    def settle(self):
        """After a heartbeat and the hold time the view has the entry of the latest start."""
        self.pass_time(HEARTBEAT_S + 0.4)
        self.pass_time(view_module.ENTRY_HOLD_S + 0.2)
        (known,) = self.followed.view.replicas.all()
        found = (known.entry.born_ms, known.entry.port, known.leaving)
        assert found == (self.born_ms, self.port, self.draining)

    def teardown(self):
        self.settle()


TestRestarting = Restarting.TestCase
TestRestarting.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)
