"""Following the source through its faults, and staying registered there."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random

import attrs
import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import follower
from turmericlug.entry import journal as journal_module
from turmericlug.entry import source as source_module
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.telemetry import counters

OWN = source_module.EntryInstance("own", "10.0.0.1:80", "dc", "r")


def configured(version):
    configuration = routes.Configuration(version, (), {}, messages.Limits())
    return source_module.Written("config", configuration, version)


class Source:
    """Plays steps for each reading and each question; the last one for ever."""

    era = 0

    def __init__(self, readings=(), questions=(), keeps=(), registrations=()):
        self.steps = {
            "read": list(readings),
            "changes": list(questions),
            "keep": list(keeps),
            "register": list(registrations),
        }
        self.asked_after = []
        self.stale_allowed = []
        self.registered = []
        self.kept = []
        self.leases_opened = 0
        self.ended = []

    async def _step(self, kind):
        steps = self.steps[kind]
        step = steps.pop(0) if steps else None
        if isinstance(step, Exception):
            raise step
        if step is None:
            await asyncio.sleep(3600)
        return step

    async def read_all(self, may_be_stale):
        self.stale_allowed.append(may_be_stale)
        return await self._step("read")

    async def changes(self, after, wait_s):
        self.asked_after.append(after.revision)
        return await self._step("changes")

    async def lease(self, ttl_s):
        self.leases_opened += 1
        return self.leases_opened

    async def register(self, instance, lease):
        if self.steps["register"]:
            await self._step("register")
        self.registered.append(lease)

    async def keep(self, lease):
        self.kept.append(lease)
        await self._step("keep")

    async def end(self, lease):
        self.ended.append(lease)


def make_view():
    def make_pool(entry):
        return pool_module.Pool(None, lambda: 1, lambda: 0.0)

    replicas = replicas_module.Replicas(make_pool, scripted.PLACE, budget.Allowance())
    return view_module.View("own", replicas, replicas, lambda: 0.0)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(follower, "RETRY_MIN_S", 0.0)
    monkeypatch.setattr(follower, "CHANGES_INTERVAL_S", 0.0)
    monkeypatch.setattr(follower, "RETRY_MAX_S", 0.0)
    monkeypatch.setattr(follower, "RENEWAL_INTERVAL_S", 0.001)
    monkeypatch.setattr(follower, "RENEWAL_RETRY_S", 0.001)


def stay_registered(source, view, may_serve=lambda: True, serves_peers=lambda: False):
    return follower.stay_registered(source, view, OWN, may_serve, serves_peers, random.Random(1))


async def while_running(work, until):
    task = asyncio.create_task(work)
    async with asyncio.timeout(10):
        while not until():
            await asyncio.sleep(0.002)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@pytest.mark.parametrize(
    ("readings", "questions", "version", "asked_after"),
    [
        ([4], [], 4, [4]),
        ([4], [5, 7], 7, [4, 5, 7]),
        ([source_module.SourceError("busy"), 4], [], 4, [4]),
        ([4], [source_module.SourceError("timeout"), 6], 6, [4, 4, 6]),
        ([4, 9], [source_module.HistoryLostError(), 10], 10, [4, 9, 10]),
        ([4, source_module.SourceError("busy"), 3], [source_module.HistoryLostError()], 4, [4, 3]),
    ],
    ids=["read", "changes", "busy at first", "cut", "history lost", "stale reading"],
)
def test_following(readings, questions, version, asked_after):
    """
    The store is away, drops its history or answers from the past, in any order.
    Callers must see each new configuration, and none go back.
    """
    source = Source(
        [
            source_module.Snapshot((configured(each),), each) if isinstance(each, int) else each
            for each in readings
        ],
        [
            source_module.Changes((configured(each),), each) if isinstance(each, int) else each
            for each in questions
        ],
    )
    view = make_view()

    async def main():
        work = follower.follow(
            source,
            source.changes,
            view,
            journal_module.Journal(),
            counters.Counters(),
            random.Random(1),
        )
        await while_running(work, lambda: len(source.asked_after) == len(asked_after))

    asyncio.run(main())
    assert view.configuration.version == version
    assert source.asked_after == asked_after
    # Only while nothing is known yet: a later stale reading would take replicas for gone.
    known = [isinstance(each, int) for each in readings]
    assert source.stale_allowed == [not any(known[:n]) for n in range(len(source.stale_allowed))]


@pytest.mark.parametrize(
    ("keeps", "registered"),
    [
        ([1], [1]),
        ([1, source_module.LeaseEndedError(), 1], [1, 2]),
        ([source_module.SourceError("timeout"), 1], [1]),
        ([source_module.SourceError("busy"), source_module.LeaseEndedError(), 1], [1, 2]),
    ],
    ids=["kept", "ended", "no answer", "ended while away"],
)
def test_staying_registered(keeps, registered):
    """
    The lease of an instance ends although the instance runs on, as the store was away for longer.
    Not registered again, it serves nobody for the rest of its life.
    """
    source, view = Source(keeps=keeps), make_view()

    async def main():
        work = stay_registered(source, view)
        await while_running(work, lambda: not source.steps["keep"])

    asyncio.run(main())
    assert source.registered == registered
    assert source.ended == registered[-1:]


def own_entry(instance=OWN, lease=7):
    return source_module.Written("own", instance, 3, lease=lease)


@pytest.mark.parametrize("failures", [1, 3])
def test_an_entry_that_could_not_be_written_is_written_later(failures):
    """
    The store opens a lease for an instance that has just started and refuses its next call. The
    instance renewed the lease for the rest of its life: ready, and told to no caller.
    """
    source = Source(
        keeps=[1, 1], registrations=[source_module.SourceError("busy")] * failures + [1]
    )

    async def main():
        work = stay_registered(source, make_view())
        await while_running(work, lambda: not source.steps["keep"])

    asyncio.run(main())
    assert source.registered == [1]
    assert source.leases_opened == 1


@pytest.mark.parametrize(
    ("entry", "keeps", "kept", "registered"),
    [
        (own_entry(), [1, 1], [7, 7], []),
        (own_entry(), [source_module.LeaseEndedError(), 1], [7, 1], [1]),
        (own_entry(lease=0), [1], [1], [1]),
        (own_entry(source_module.EntryInstance("own", "10.0.0.2:80", "dc", "r")), [1], [1], [1]),
    ],
    ids=["stands", "lapsed", "lease not known", "at another address"],
)
def test_an_entry_that_has_outlived_the_start_is_taken_over(entry, keeps, kept, registered):
    """
    All instances lose power for two seconds. Each opens a lease and writes its entry anew, two
    calls each within a second, although what they wrote before still stands.
    """
    source, view = Source(keeps=keeps), make_view()
    view.take_snapshot(source_module.Snapshot((entry,), 3))

    async def main():
        await while_running(stay_registered(source, view), lambda: not source.steps["keep"])

    asyncio.run(main())
    assert source.kept == kept
    assert source.registered == registered


@pytest.mark.parametrize(
    ("serves_peers", "answers", "pause_s"),
    [
        (False, True, follower.RENEWAL_INTERVAL_S),
        (True, True, follower.RELAY_RENEWAL_INTERVAL_S),
        (False, False, follower.RENEWAL_RETRY_S),
        (True, False, follower.RELAY_RENEWAL_INTERVAL_S),
    ],
)
def test_how_often_a_lease_is_renewed(serves_peers, answers, pause_s, monkeypatch):
    """
    Each renewal is a call. Only what a relay tells is as old as its own last word with the store.
    """
    monkeypatch.undo()
    source, now_s = Source(), [0.0]
    tried_s = []

    async def keep(lease):
        tried_s.append(now_s[0])
        if len(tried_s) == 4:
            raise asyncio.CancelledError
        if not answers:
            raise source_module.SourceError("busy")

    async def sleep(duration_s):
        now_s[0] += duration_s

    async def main():
        source.keep = keep
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now_s[0], raising=False)
        monkeypatch.setattr(follower.asyncio, "sleep", sleep)
        with pytest.raises(asyncio.CancelledError):
            await stay_registered(source, make_view(), serves_peers=lambda: serves_peers)

    asyncio.run(main())
    pauses_s = [after - before for before, after in itertools.pairwise(tried_s)]
    assert all(0.8 * pause_s <= each <= 1.2 * pause_s + 0.001 for each in pauses_s)


def test_an_entry_removed_from_outside_is_written_again():
    source, view = Source(keeps=[1] * 50), make_view()

    async def main():
        def until():
            if len(source.registered) == 1:
                view.own_entry_removed = True
            return len(source.registered) >= 2

        await while_running(stay_registered(source, view), until)

    asyncio.run(main())


def test_not_registered_before_it_may_serve():
    source, view, ready = Source(keeps=[1]), make_view(), []

    async def main():
        work = stay_registered(source, view, lambda: bool(ready))
        task = asyncio.create_task(work)
        await asyncio.sleep(0.1)
        assert not source.registered
        ready.append(1)
        while not source.registered:
            await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("shown", "kept", "registered"),
    [
        (own_entry(lease=1), [1, 1], [1]),
        (own_entry(lease=9), [1, 2], [1, 2]),
        (None, [1, 2], [1, 2]),
    ],
    ids=["entry stands", "under another lease", "entry lost"],
)
def test_a_registration_is_checked_when_the_source_has_returned_from_a_copy(
    shown, kept, registered
):
    """Guards against a lease that is renewed although its number is another instance's by now."""
    source, view = Source(keeps=[1]), make_view()
    view.take_snapshot(source_module.Snapshot((), 5, 1))
    source.era = 1

    async def main():
        task = asyncio.create_task(stay_registered(source, view))
        async with asyncio.timeout(5):
            while source.kept != kept[:1]:
                await asyncio.sleep(0.001)
            source.era = 2
            written = () if shown is None else (attrs.evolve(shown, era=2),)
            view.take_snapshot(source_module.Snapshot(written, 4, 2))
            source.steps["keep"] = [1, 1]
            while source.kept[-1:] != kept[-1:] or len(source.kept) < len(kept):
                await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert (source.kept[:2], source.registered) == (kept, registered)


def test_an_entry_written_while_the_source_returned_from_a_copy_is_written_again():
    """Guards against an entry under a lease number that the source gave out again."""

    class Returning(Source):
        async def register(self, instance, lease):
            await super().register(instance, lease)
            if len(self.registered) == 1:
                self.era += 1

    source = Returning(keeps=[1])

    async def main():
        await while_running(stay_registered(source, make_view()), lambda: source.kept)

    asyncio.run(main())
    assert (source.registered, source.kept) == ([1, 2], [2])


def replica_entry(name, revision):
    return source_module.Written(f"r/{name}", scripted.entry(name), revision)


def test_lost_history_is_no_matter_of_those_that_ask_this_instance():
    """
    The store forgets its history. The instance that follows it for others reads everything anew and
    began its journal anew as well: each of the others read everything for itself.
    """
    before = (configured(1), replica_entry("a", 2), replica_entry("b", 3))
    after = (configured(9), replica_entry("b", 3), replica_entry("c", 8))
    source = Source(
        [source_module.Snapshot(before, 4), source_module.Snapshot(after, 9)],
        [source_module.HistoryLostError()],
    )
    journal = journal_module.Journal()

    async def main():
        work = follower.follow(
            source, source.changes, make_view(), journal, counters.Counters(), random.Random(1)
        )
        await while_running(work, lambda: len(source.asked_after) == 2)
        return await journal.since(source_module.Position(0, 4), 0.0)

    found = asyncio.run(main())
    assert found == source_module.Changes(
        (replica_entry("c", 8), configured(9), source_module.Removed("r/a", 9)), 9
    )
