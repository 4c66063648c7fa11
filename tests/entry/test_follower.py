"""Watching the source through its faults, and staying registered in it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random

import attrs
import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import follower
from turmericlug.entry import journal as journal_module
from turmericlug.entry import relay
from turmericlug.entry import source as source_module
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.policy import liveness
from turmericlug.telemetry import counters

OWN = source_module.EntryInstance("own", "10.0.0.1:80", "dc", "r")


def configured(version):
    configuration = routes.Configuration(version, (), {}, messages.Limits())
    return source_module.Written("config", configuration, version)


class Source:
    """
    Plays scripted steps for each kind of call.

    Without a step left, a registration succeeds and any other call blocks.
    """

    era = 0

    def __init__(self, snapshots=(), replies=(), keeps=(), registrations=()):
        self.steps = {
            "read": list(snapshots),
            "changes": list(replies),
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

    async def open_lease(self, ttl_s):
        self.leases_opened += 1
        return self.leases_opened

    async def register(self, instance, lease):
        if self.steps["register"]:
            await self._step("register")
        self.registered.append(lease)

    async def renew_lease(self, lease):
        self.kept.append(lease)
        await self._step("keep")

    async def end_lease(self, lease):
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


def stay_registered(
    source,
    view,
    may_serve=lambda: True,
    serves_peers=lambda: False,
    source_asked_s=lambda: math.inf,
):
    return follower.stay_registered(
        source, view, OWN, may_serve, serves_peers, source_asked_s, random.Random(1)
    )


async def while_running(work, until):
    task = asyncio.create_task(work)
    async with asyncio.timeout(10):
        while not until():
            await asyncio.sleep(0.002)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@pytest.mark.parametrize(
    ("snapshots", "replies", "version", "asked_after"),
    [
        ([4], [], 4, [4]),
        ([4], [5, 7], 7, [4, 5, 7]),
        ([source_module.SourceError("busy"), 4], [], 4, [4]),
        ([4], [source_module.SourceError("timeout"), 6], 6, [4, 4, 6]),
        ([4, 9], [source_module.HistoryLostError(), 10], 10, [4, 9, 10]),
        ([4, source_module.SourceError("busy"), 3], [source_module.HistoryLostError()], 4, [4, 3]),
    ],
    ids=["read", "changes", "busy at first", "connection cut", "history lost", "stale snapshot"],
)
def test_follow_recovers_from_source_faults(snapshots, replies, version, asked_after):
    """
    Guards against a view that misses a configuration or reverts to an older one when the store is
    unreachable, drops its history or answers with a stale snapshot, in any order.
    """
    source = Source(
        [
            (
                source_module.Snapshot((configured(snapshot),), snapshot)
                if isinstance(snapshot, int)
                else snapshot
            )
            for snapshot in snapshots
        ],
        [
            source_module.Changes((configured(reply),), reply) if isinstance(reply, int) else reply
            for reply in replies
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
    # Only while nothing is known yet: with a later stale snapshot, replicas would count as removed.
    is_read = [isinstance(snapshot, int) for snapshot in snapshots]
    assert source.stale_allowed == [not any(is_read[:n]) for n in range(len(source.stale_allowed))]


@pytest.mark.parametrize(
    ("keeps", "registered"),
    [
        ([1], [1]),
        ([1, source_module.LeaseEndedError(), 1], [1, 2]),
        ([source_module.SourceError("timeout"), 1], [1]),
        ([source_module.SourceError("busy"), source_module.LeaseEndedError(), 1], [1, 2]),
    ],
    ids=["kept", "ended", "no answer", "ended while unreachable"],
)
def test_stay_registered_recovers_from_lease_faults(keeps, registered):
    """
    Guards against an instance that gets no requests until it is restarted: its lease expires while
    the store is unreachable, although the instance keeps running, and it does not register again.
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
def test_failed_registration_is_retried(failures):
    """
    Guards against a ready instance that no caller is told of: the store opened its lease at the
    start and refused the next call, and the instance kept renewing the lease without an entry.
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
    ids=["valid", "expired", "lease not known", "at another address"],
)
def test_entry_of_previous_run_is_adopted(entry, keeps, kept, registered):
    """
    Guards against a burst of calls to the store after a power failure of two seconds: each instance
    opened a lease and wrote its entry, two calls each within a second, although its former entry
    and lease were still valid.
    """
    source, view = Source(keeps=keeps), make_view()
    view.apply_snapshot(source_module.Snapshot((entry,), 3))

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
def test_lease_renewal_interval(serves_peers, answers, pause_s, monkeypatch):
    """
    Each renewal costs the store a call. Only a relay needs frequent ones, as the age of its replies
    counts from its last answer from the store.
    """
    monkeypatch.undo()
    source, now_s = Source(), [0.0]
    attempted_s = []

    async def renew_lease(lease):
        attempted_s.append(now_s[0])
        if len(attempted_s) == 4:
            raise asyncio.CancelledError
        if not answers:
            raise source_module.SourceError("busy")

    async def sleep(duration_s):
        now_s[0] += duration_s

    async def main():
        source.renew_lease = renew_lease
        monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now_s[0], raising=False)
        monkeypatch.setattr(follower.asyncio, "sleep", sleep)
        with pytest.raises(asyncio.CancelledError):
            await stay_registered(source, make_view(), serves_peers=lambda: serves_peers)

    asyncio.run(main())
    pauses_s = [after - before for before, after in itertools.pairwise(attempted_s)]
    assert all(0.8 * pause_s <= actual_s <= 1.2 * pause_s + 0.001 for actual_s in pauses_s)


def test_entry_removed_by_others_is_written_again():
    source, view = Source(keeps=[1] * 50), make_view()

    async def main():
        def until():
            if len(source.registered) == 1:
                view.own_entry_removed = True
            return len(source.registered) >= 2

        await while_running(stay_registered(source, view), until)

    asyncio.run(main())


def test_not_registered_before_ready_to_serve():
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
    ("restored_entry", "kept", "registered"),
    [
        (own_entry(lease=1), [1, 1], [1]),
        (own_entry(lease=9), [1, 2], [1, 2]),
        (None, [1, 2], [1, 2]),
    ],
    ids=["entry valid", "under another lease", "entry lost"],
)
def test_registration_is_revalidated_after_restore(restored_entry, kept, registered):
    """Guards against renewing a lease whose number now belongs to another instance."""
    source, view = Source(keeps=[1]), make_view()
    view.apply_snapshot(source_module.Snapshot((), 5, 1))
    source.era = 1

    async def main():
        task = asyncio.create_task(stay_registered(source, view))
        async with asyncio.timeout(5):
            while source.kept != kept[:1]:
                await asyncio.sleep(0.001)
            source.era = 2
            written = () if restored_entry is None else (attrs.evolve(restored_entry, era=2),)
            view.apply_snapshot(source_module.Snapshot(written, 4, 2))
            source.steps["keep"] = [1, 1]
            while source.kept[-1:] != kept[-1:] or len(source.kept) < len(kept):
                await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
    assert (source.kept[:2], source.registered) == (kept, registered)


def test_entry_written_during_restore_is_written_again():
    """Guards against an entry under a lease number that the source has assigned again."""

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


def test_journal_continues_after_lost_history():
    """
    Guards against a full read by every instance when the store loses its history: the relay took a
    new snapshot and restarted its journal, so that each other instance had to take one as well.
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


@pytest.mark.parametrize(
    ("replies", "is_current"),
    [
        ([None], True),
        ([source_module.SourceError("refused")] * 1000, False),
    ],
    ids=["waits for changes", "no request for changes succeeds"],
)
def test_a_renewal_shows_the_view_up_to_date_only_while_changes_are_awaited(
    replies, is_current, monkeypatch
):
    """
    Guards against 401 for a new API key and 404 for a new route from an instance that renews its
    lease while its requests for changes fail.
    """
    monkeypatch.setattr(follower, "CHANGES_ANSWER_S", 0.02)
    monkeypatch.setattr(follower, "RETRY_MIN_S", 0.01)
    monkeypatch.setattr(follower, "RETRY_MAX_S", 0.01)

    async def main():
        loop = asyncio.get_running_loop()
        view = make_view()
        view._now_s = loop.time
        source = Source([source_module.Snapshot((configured(1),), 1)], replies, ["kept"] * 1000)
        journal = journal_module.Journal()
        relayed = relay.RelayedSource(
            source,
            lambda *_: None,
            placement.Place(OWN.name, OWN.data_centre, {OWN.data_centre: OWN.region}),
            view.peers,
            counters.Counters(),
            liveness.PeerLiveness(),
        )
        following = follower.follow(
            source, relayed.changes, view, journal, counters.Counters(), random.Random(1)
        )
        work = asyncio.gather(
            following, stay_registered(source, view, source_asked_s=relayed.source_asked_s)
        )
        await asyncio.sleep(0.2)
        age_s, renewals = view.source_age_s(), len(source.kept)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        return age_s, renewals

    age_s, renewals = asyncio.run(main())
    assert renewals > 1
    assert (age_s < 0.1) == is_current


@pytest.mark.parametrize(
    ("asked_s_ago", "failed_s_ago", "is_current"),
    [
        (0.5, math.inf, True),
        (0.2, math.inf, False),
        (-math.inf, math.inf, False),
        (0.5, 0.4, False),
        (0.5, 0.6, True),
    ],
    ids=["waits", "perhaps on its way", "waits at a relay", "source failed since", "failed before"],
)
def test_what_a_renewal_says_about_the_view(asked_s_ago, failed_s_ago, is_current):
    """
    Guards against a relay that states that what it knows is current although its request for
    changes waits at another relay, or on a connection that was cut.
    """

    async def main():
        now_s = asyncio.get_running_loop().time()
        view = make_view()
        view._now_s = lambda: now_s
        view.source_failed_s = now_s - failed_s_ago
        source = Source([], [], ["kept"])
        work = stay_registered(source, view, source_asked_s=lambda: now_s - asked_s_ago)
        await while_running(work, lambda: source.kept)
        return view.source_age_s()

    assert (asyncio.run(main()) < 1.0) == is_current


def test_refused_value_is_logged_and_counted_by_reason(monkeypatch):
    """Guards against refused values that no log line and no counter tell apart."""
    lines = []
    monkeypatch.setattr(
        follower.decisions, "log", lambda event, **fields: lines.append((event, fields))
    )
    refused = source_module.Unreadable("r/a", 11, "range", field="Slots", problem="below 1")
    metrics = counters.Counters()
    follower._report_unreadable([refused], metrics)
    assert lines == [
        (
            "source.unreadable",
            {
                "key": "r/a",
                "field": "Slots",
                "reason": "range",
                "problem": "below 1",
                "revision": 11,
            },
        )
    ]
    assert metrics.totals == {"source.unreadable": 1, "source.unreadable.range": 1}


@pytest.mark.parametrize("ahead, known", [(3, True), (source_module.MAX_CHANGES + 1, False)])
def test_journal_knows_no_position_that_the_source_cannot_reach(ahead, known):
    """
    Guards against an instance that waits for ever: it took its position from a malformed answer,
    and no change ever follows that.
    """

    async def main():
        journal = journal_module.Journal()
        journal.restart(source_module.Position(1, 10))
        after = source_module.Position(1, 10 + ahead)
        if not known:
            with pytest.raises(source_module.HistoryLostError):
                await journal.since(after, 0.0)
            return
        assert (await journal.since(after, 0.0)).position == after

    asyncio.run(main())


def test_journal_is_restarted_where_the_source_is_behind_it():
    """Guards against a relay that states a position for ever which the source never reaches."""
    read = (configured(1),)
    source = Source(
        [source_module.Snapshot(read, 2**64 - 1), source_module.Snapshot(read, 9)],
        [source_module.HistoryLostError()],
    )
    journal = journal_module.Journal()

    async def main():
        work = follower.follow(
            source, source.changes, make_view(), journal, counters.Counters(), random.Random(1)
        )
        await while_running(work, lambda: len(source.asked_after) == 2)

    asyncio.run(main())
    assert journal.position == source_module.Position(0, 9)
    assert source.asked_after == [2**64 - 1, 9]
