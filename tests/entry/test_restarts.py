"""The follower and the registration across restarts after unexpected errors."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

import pytest
from entry import test_follower

from turmericlug.entry import follower
from turmericlug.entry import journal as journal_module
from turmericlug.entry import long_running
from turmericlug.entry import source as source_module
from turmericlug.kernel import supervisor as supervisor_module
from turmericlug.telemetry import counters

no_pauses = test_follower.no_pauses


class Delays:
    """Records the delays of a supervisor, which then take no time."""

    def __init__(self, max_count=math.inf):
        self.delays_s = []
        self.max_count = max_count

    async def sleep(self, delay_s):
        self.delays_s.append(delay_s)
        await asyncio.sleep(0 if len(self.delays_s) < self.max_count else 3600)


@contextlib.asynccontextmanager
async def supervised(name, run, delays, on_close=None):
    supervisor = supervisor_module.Supervisor(
        long_running.EFFECTS, lambda *_: None, random.Random(1), delays.sleep
    )
    extra = {} if on_close is None else {"on_close": on_close}
    async with (
        asyncio.timeout(10),
        supervisor.background(supervisor_module.Job(name, run, **extra)) as running,
    ):
        yield running


@contextlib.asynccontextmanager
async def following(source, view, journal, delays):
    def run():
        return follower.follow(
            source, source.changes, view, journal, counters.Counters(), random.Random(1)
        )

    async with supervised(long_running.FOLLOWER, run, delays) as running:
        yield running


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


def fail_on(view, method, matches, times=math.inf):
    """Let a method of the view raise while it applies what matches, part of the way through."""
    apply, left = getattr(view, method), [times]

    def fail(argument):
        if matches(argument) and left[0] > 0:
            left[0] -= 1
            raise RuntimeError("odd value")
        return apply(argument)

    setattr(view, method, fail)


def snapshot(revision, *replicas):
    written = tuple(test_follower.replica_entry(name, at) for name, at in replicas)
    return source_module.Snapshot((test_follower.configured(revision), *written), revision)


@pytest.mark.parametrize("method", ["_apply", "_delete"])
def test_follower_reads_all_again_after_a_failed_application(method):
    """
    Guards against a follower that ends for good by a value that it can't apply, or goes on with
    half of an answer applied: an entry that the source has removed stays in use here, or at the
    instances that use this one as a relay.
    """
    source = test_follower.Source(
        [snapshot(4, ("a", 1), ("b", 2), ("c", 3)), snapshot(9, ("c", 3))],
        [
            source_module.Changes(
                (
                    source_module.Removed("r/a", 7),
                    source_module.Removed("r/b", 8),
                    test_follower.configured(9),
                ),
                9,
            )
        ],
    )
    view, journal = test_follower.make_view(), journal_module.Journal()
    if method == "_apply":
        fail_on(view, "_apply", lambda written: written.revision == 9, times=1)
    else:
        delete, failed = view._delete, []

        def fail_at_b(key, revision):
            if key == "r/b" and not failed:
                failed.append(key)
                raise RuntimeError("odd value")
            delete(key, revision)

        view._delete = fail_at_b

    async def main():
        async with following(source, view, journal, Delays()):
            await until(lambda: len(source.asked_after) == 2)
            with pytest.raises(source_module.HistoryLostError):
                await journal.since(source_module.Position(0, 4), 0.0)
            return await journal.since(source_module.Position(0, 9), 0.0)

    assert asyncio.run(main()).revision == 9
    assert source.stale_allowed == [True, False]
    assert source.asked_after == [4, 9]
    assert view.configuration.version == 9
    # Removed at once or held for a while, as after an outage, but not forgotten.
    assert set(view._known) - set(view._held) == {"config", "r/c"}
    assert not view.source_unreachable


def test_poisoned_snapshot_is_not_read_in_a_tight_loop():
    """
    Guards against instances that all read the whole store again and again, without a pause, as long
    as it holds a value that they can't apply; and against one that looks current meanwhile.
    """
    attempts = 50
    source = test_follower.Source([snapshot(4)] + [snapshot(9)] * attempts, [])
    source.steps["changes"] = [source_module.HistoryLostError()]
    view, delays = test_follower.make_view(), Delays(attempts)
    fail_on(view, "apply_snapshot", lambda snapshot: snapshot.revision == 9)

    async def main():
        async with following(source, view, journal_module.Journal(), delays):
            await until(lambda: len(delays.delays_s) == attempts)
            applied_s = view._last_answer_s
            # Another task hears from the source; the view is no more recent for it.
            view.record_source_answer()
            assert (view._last_answer_s, view.source_unreachable) == (applied_s, True)

    asyncio.run(main())
    assert len(source.stale_allowed) == 1 + attempts
    assert view.configuration.version == 4
    least_s = supervisor_module.RESTART_MAX_S * supervisor_module.MIN_JITTER
    assert all(delay_s >= least_s for delay_s in delays.delays_s[6:])


def staying_registered(source, view, registration, serves_peers=lambda: False):
    return follower.stay_registered(
        source,
        view,
        test_follower.OWN,
        lambda: True,
        serves_peers,
        lambda: math.inf,
        random.Random(1),
        registration,
    )


@pytest.mark.parametrize("is_known", [True, False], ids=["entry known", "entry not seen yet"])
def test_restarted_registration_keeps_the_entry(is_known):
    """
    Guards against an instance that deregisters itself on the way down of a failed attempt, so that
    its callers are sent elsewhere, or that opens a lease for each attempt.
    """
    source = test_follower.Source(keeps=[1, RuntimeError("odd answer"), 1, 1])
    view, registration = test_follower.make_view(), follower.Registration()

    async def main():
        delays = Delays()
        async with supervised(
            long_running.REGISTRATION,
            lambda: staying_registered(source, view, registration),
            delays,
            lambda: follower.end_registration(source, registration),
        ):
            await until(lambda: source.registered)
            if is_known:
                entry = test_follower.own_entry(lease=1)
                view.apply_snapshot(source_module.Snapshot((entry,), 3))
            await until(lambda: not source.steps["keep"])
            assert (len(delays.delays_s), source.ended) == (1, [])

    asyncio.run(main())
    assert source.registered == ([1] if is_known else [1, 2])
    assert source.ended == source.registered[-1:]


def test_instance_that_stops_between_two_attempts_is_deregistered():
    """Guards against callers that are given the address of an ended instance."""
    source = test_follower.Source(keeps=[RuntimeError("odd answer")])
    registration, delays = follower.Registration(), Delays(max_count=1)

    async def main():
        async with supervised(
            long_running.REGISTRATION,
            lambda: staying_registered(source, test_follower.make_view(), registration),
            delays,
            lambda: follower.end_registration(source, registration),
        ):
            await until(lambda: delays.delays_s)
            assert source.ended == []

    asyncio.run(main())
    assert source.ended == [1]
