"""Background tasks of a service: referenced until done, and reported if they fail."""

from __future__ import annotations

import asyncio
import contextlib
import typing
from collections import abc

AnyCoroutine = abc.Coroutine[typing.Any, typing.Any, typing.Any]


class Tasks:
    """The tasks that one service has started and must end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, coroutine: AnyCoroutine) -> asyncio.Task[typing.Any]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[typing.Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Each daemon sets an exception handler that writes the failure to its log.
            task.get_loop().call_exception_handler(
                {"message": "task failed", "exception": task.exception(), "task": task}
            )

    async def finish(self) -> None:
        """Wait for all tasks to complete, without cancelling them."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def background(*coroutines: AnyCoroutine) -> abc.AsyncIterator[Tasks]:
    """Run coroutines in the background until the block ends."""
    tasks = Tasks()
    for coroutine in coroutines:
        tasks.start(coroutine)
    try:
        yield tasks
    finally:
        await tasks.close()
