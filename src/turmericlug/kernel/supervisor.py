"""Restarts the tasks that run as long as their service, each on its own, with backoff."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import abc

import attrs

from turmericlug.kernel import failures
from turmericlug.kernel import tasks as tasks_module
from turmericlug.policy import backoff

RESTART_MIN_S = 0.2
RESTART_MAX_S = 10.0
"""Bounds of the delay, doubled after each failure, before a task is restarted. A follower reads the
whole store at each restart."""
MIN_JITTER = 0.5
"""All instances may fail by the same value at the same time and must not restart together."""
STABLE_S = 30.0
"""The delay starts over after an attempt of this length."""

RUNNING = "running"
WAITING = "waiting"
"""It has failed and is restarted after a delay."""
CLOSED = "closed"


async def _nothing() -> None:
    return None


@attrs.frozen
class Job:
    """A task that is restarted when it ends."""

    name: str
    run: abc.Callable[[], tasks_module.AnyCoroutine]
    """Returns the coroutine of one attempt."""
    on_close: abc.Callable[[], abc.Awaitable[None]] = _nothing
    """Called once when the job is closed, after its last attempt."""


@attrs.define
class Status:
    """The state of a job."""

    effect: str
    """What it means that the job does not run."""
    state: str = RUNNING
    restarts: int = 0
    """Restarts since the start of the process."""
    failures_in_a_row: int = 0
    """Failures since the last attempt that ran for ``STABLE_S``."""
    last_failure: failures.Failure | None = None
    started_s: float = 0.0
    """When the last attempt began."""


OnFailure = abc.Callable[[failures.Failure, int, float], None]
"""Receives a failure, the number of restarts before it, and the delay of the next one in s."""


class Supervisor:
    """
    The jobs of one process.

    It never gives up: the end of the process would end the requests in flight, and where all
    instances fail by the same value, all of them.
    """

    def __init__(
        self,
        effects: abc.Mapping[str, str],
        on_failure: OnFailure,
        rng: random.Random | None = None,
        sleep: abc.Callable[[float], abc.Awaitable[None]] = asyncio.sleep,
        now_s: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Create a supervisor without jobs.

        :param effects: all jobs by name, with what it means that one does not run
        """
        self._effects = effects
        self._on_failure = on_failure
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._now_s = now_s
        self._statuses: dict[str, Status] = {}

    @contextlib.asynccontextmanager
    async def background(self, *jobs: Job) -> abc.AsyncIterator[tasks_module.Tasks]:
        """Run jobs in the background until the block ends."""
        running = tasks_module.Tasks()
        for job in jobs:
            self._statuses[job.name] = Status(self._effects[job.name], started_s=self._now_s())
            running.start(self._run(job, self._statuses[job.name]))
        try:
            yield running
        finally:
            await running.close()

    def statuses(self) -> dict[str, Status]:
        """Return the states of all jobs that were started and are not closed."""
        for status in self._statuses.values():
            self._note_stable(status)
        return {name: status for name, status in self._statuses.items() if status.state != CLOSED}

    async def _run(self, job: Job, status: Status) -> None:
        try:
            while True:
                status.state, status.started_s = RUNNING, self._now_s()
                failure = await _attempt(job)
                self._note_stable(status)
                status.state = WAITING
                status.last_failure = failure
                status.failures_in_a_row += 1
                delay_s = self._next_delay_s(status)
                self._on_failure(failure, status.restarts, delay_s)
                await self._sleep(delay_s)
                status.restarts += 1
        finally:
            status.state = CLOSED
            await job.on_close()

    def _note_stable(self, status: Status) -> None:
        if status.state == RUNNING and self._now_s() - status.started_s >= STABLE_S:
            status.failures_in_a_row = 0

    def _next_delay_s(self, status: Status) -> float:
        delay_s = backoff.delay(RESTART_MIN_S, RESTART_MAX_S, status.failures_in_a_row)
        return delay_s * self._rng.uniform(MIN_JITTER, 1.0)


async def _attempt(job: Job) -> failures.Failure:
    """Run a job until it ends, and return why it has."""
    try:
        await job.run()
    except asyncio.CancelledError as error:
        if is_closing():
            raise
        return failures.of_error(job.name, error)
    except Exception as error:
        return failures.of_error(job.name, error)
    return failures.Failure(job.name, "returned", "")


def is_closing() -> bool:
    """
    Whether the current task was asked to end.

    A task also receives a cancellation if a future that it awaits was cancelled by others.
    """
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0
