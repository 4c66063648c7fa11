"""Restarts of tasks that should run as long as their service."""

from __future__ import annotations

import asyncio
import random

import pytest

from turmericlug.kernel import supervisor as supervisor_module

EFFECTS = {"a": "nothing works", "b": "nothing else works"}


class Clock:
    """A clock that only a supervisor's delays and the jobs move."""

    def __init__(self):
        self.now_s = 0.0
        self.delays_s = []
        self.attempts = 0

    async def sleep(self, delay_s):
        self.delays_s.append(delay_s)
        self.now_s += delay_s
        await asyncio.sleep(0)


async def run_until(jobs, done):
    """Run jobs until a condition holds; return the supervisor, its clock and its failures."""
    clock, found = Clock(), []
    supervisor = supervisor_module.Supervisor(
        EFFECTS,
        lambda *failure: found.append(failure),
        random.Random(1),
        clock.sleep,
        lambda: clock.now_s,
    )
    async with supervisor.background(*(job(clock) for job in jobs)):
        async with asyncio.timeout(10):
            while not done(clock, supervisor):
                await asyncio.sleep(0)
        statuses = {name: status.state for name, status in supervisor.statuses().items()}
    return supervisor, clock, found, statuses


def job(name, ends, on_close=None, lasts_s=0.0):
    """Return a factory of a job whose attempts end as listed, the last one never."""

    def make(clock):
        left = list(ends)

        async def attempt():
            clock.attempts += 1
            await asyncio.sleep(0)
            end = left.pop(0) if left else None
            clock.now_s += lasts_s
            if isinstance(end, BaseException):
                raise end
            if end is None:
                await asyncio.Event().wait()

        extra = {} if on_close is None else {"on_close": on_close}
        return supervisor_module.Job(name, attempt, **extra)

    return make


@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (ValueError("odd"), "ValueError: odd"),
        (RecursionError("deep"), "RecursionError: deep"),
        (asyncio.CancelledError(), "CancelledError: "),
        ("returned", "returned"),
    ],
    ids=["error", "recursion", "cancelled by others", "returned"],
)
def test_a_job_that_ends_is_restarted(end, reason):
    """Guards against a task that ends once and is never started again, however it ends."""
    _, clock, found, statuses = asyncio.run(
        run_until(
            [job("a", [end]), job("b", [])],
            lambda clock, supervisor: supervisor.statuses()["a"].restarts == 1,
        )
    )
    assert [(failure.name, failure.reason) for failure, _, _ in found] == [("a", reason)]
    assert statuses == {"a": "running", "b": "running"}
    assert len(clock.delays_s) == 1


def test_restarts_are_slowed_down_to_a_bound():
    """Guards against a task that fails by the same value again and again in a tight loop."""
    _, clock, found, _ = asyncio.run(
        run_until(
            [job("a", [ValueError("odd")] * 2000)],
            lambda clock, supervisor: len(clock.delays_s) == 2000,
        )
    )
    for number, delay_s in enumerate(clock.delays_s):
        limit_s = min(
            supervisor_module.RESTART_MIN_S * 2 ** min(number, 20), supervisor_module.RESTART_MAX_S
        )
        assert limit_s * supervisor_module.MIN_JITTER <= delay_s <= limit_s
    assert [restarts for _, restarts, _ in found] == list(range(2000))
    assert len(set(clock.delays_s[10:])) > 100


@pytest.mark.parametrize("lasts_s, starts_over", [(29.0, False), (31.0, True)])
def test_the_delay_starts_over_only_after_a_long_attempt(lasts_s, starts_over):
    """Guards against a task that runs for a moment each time and is restarted without backoff."""
    supervisor, clock, _, _ = asyncio.run(
        run_until(
            [job("a", [ValueError("odd")] * 12, lasts_s=lasts_s)],
            lambda clock, supervisor: len(clock.delays_s) == 12,
        )
    )
    assert (clock.delays_s[-1] <= supervisor_module.RESTART_MIN_S) is starts_over


def test_a_failing_job_is_shown():
    async def scenario():
        waits = asyncio.Event()

        async def sleep(delay_s):
            waits.set()
            await asyncio.Event().wait()

        supervisor = supervisor_module.Supervisor(EFFECTS, lambda *_: None, sleep=sleep)
        async with supervisor.background(job("a", [ValueError("odd")])(Clock())):
            await waits.wait()
            return supervisor.statuses()["a"]

    status = asyncio.run(scenario())
    assert (status.effect, status.failures_in_a_row) == ("nothing works", 1)
    assert status.last_failure.reason == "ValueError: odd"


@pytest.mark.parametrize("ends", [[], [ValueError("odd")] * 9999], ids=["running", "failing"])
def test_closing_ends_a_job_once(ends):
    """Guards against a lease that is ended by a failed attempt, or by none of them."""
    closed = []

    async def on_close():
        await asyncio.sleep(0)
        closed.append(True)

    def is_under_way(clock, supervisor):
        assert not closed
        return clock.attempts == (6 if ends else 1)

    supervisor, _, _, _ = asyncio.run(
        run_until([job("a", ends, on_close)], lambda *state: is_under_way(*state))
    )
    assert closed == [True]
    assert supervisor.statuses() == {}


def test_a_job_without_an_entry_in_the_table_cannot_start():
    with pytest.raises(KeyError, match="unknown"):
        asyncio.run(run_until([job("unknown", [])], lambda *_: True))
