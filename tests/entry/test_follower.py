"""Following the source through its faults, and staying registered there."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import follower
from turmericlug.entry import news
from turmericlug.entry import relay
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.telemetry import counters

OWN = news.EntryInstance("own", "10.0.0.1:80", "dc", "r")


def configured(version):
    configuration = routes.Configuration(version, (), {}, messages.Limits())
    return news.Written("config", configuration, version)


class Source:
    """Plays steps for each reading and each question; the last one for ever."""

    def __init__(self, readings=(), questions=(), keeps=()):
        self.steps = {"read": list(readings), "changes": list(questions), "keep": list(keeps)}
        self.asked_after = []
        self.stale_allowed = []
        self.registered = []
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
        self.asked_after.append(after)
        return await self._step("changes")

    async def lease(self, ttl_s):
        return len(self.registered) + 1

    async def register(self, instance, lease):
        self.registered.append(lease)

    async def keep(self, lease):
        await self._step("keep")

    async def end(self, lease):
        self.ended.append(lease)


def make_view():
    replicas = replicas_module.Replicas(lambda entry: None, scripted.PLACE, budget.Allowance())
    return view_module.View("own", replicas, replicas, lambda: 0.0)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(follower, "RETRY_LEAST_S", 0.0)
    monkeypatch.setattr(follower, "PAUSE_S", 0.0)
    monkeypatch.setattr(follower, "RETRY_MOST_S", 0.0)
    monkeypatch.setattr(follower, "KEEP_EVERY_S", 0.001)


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
        ([news.SourceError("busy"), 4], [], 4, [4]),
        ([4], [news.SourceError("timeout"), 6], 6, [4, 4, 6]),
        ([4, 9], [news.HistoryLostError(), 10], 10, [4, 9, 10]),
        ([4, news.SourceError("busy"), 3], [news.HistoryLostError()], 4, [4, 3]),
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
            news.Snapshot((configured(each),), each) if isinstance(each, int) else each
            for each in readings
        ],
        [
            news.Changes((configured(each),), each) if isinstance(each, int) else each
            for each in questions
        ],
    )
    view = make_view()

    async def main():
        work = follower.follow(
            source, source.changes, view, relay.Journal(), counters.Counters(), random.Random(1)
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
        ([1, news.LeaseEndedError(), 1], [1, 2]),
        ([news.SourceError("timeout"), 1], [1]),
        ([news.SourceError("busy"), news.LeaseEndedError(), 1], [1, 2]),
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
        work = follower.stay_registered(source, view, OWN, lambda: True, random.Random(1))
        await while_running(work, lambda: not source.steps["keep"])

    asyncio.run(main())
    assert source.registered == registered
    assert source.ended == registered[-1:]


def test_an_entry_removed_from_outside_is_written_again():
    source, view = Source(keeps=[1] * 50), make_view()

    async def main():
        def until():
            if len(source.registered) == 1:
                view.own_entry_removed = True
            return len(source.registered) >= 2

        await while_running(
            follower.stay_registered(source, view, OWN, lambda: True, random.Random(1)), until
        )

    asyncio.run(main())


def test_not_registered_before_it_may_serve():
    source, view, ready = Source(keeps=[1]), make_view(), []

    async def main():
        work = follower.stay_registered(source, view, OWN, lambda: bool(ready), random.Random(1))
        task = asyncio.create_task(work)
        await asyncio.sleep(0.1)
        assert not source.registered
        ready.append(1)
        while not source.registered:
            await asyncio.sleep(0.005)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(main())
