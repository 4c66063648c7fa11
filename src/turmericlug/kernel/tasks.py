"""Background tasks of a service: kept from being collected, reported when they fail."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from collections import abc

Work = abc.Coroutine[typing.Any, typing.Any, typing.Any]


class Tasks:
    """The tasks that one service started and has to end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, work: Work) -> asyncio.Task[typing.Any]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Each daemon sets a handler that writes the failure to its own log.
            task.get_loop().call_exception_handler(
                {"message": "task failed", "exception": task.exception()}
            )

    async def finish(self) -> None:
        """Wait for all tasks to end by themselves."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def background(*works: Work) -> abc.AsyncIterator[Tasks]:
    """Run coroutines for the length of the block."""
    tasks = Tasks()
    for work in works:
        tasks.start(work)
    try:
        yield tasks
    finally:
        await tasks.close()
