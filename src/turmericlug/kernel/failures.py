"""Unexpected errors of tasks and event loop callbacks: what failed, why, and where."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import traceback
import types
import typing
from collections import abc

import attrs

MAX_REASON_LENGTH = 500
TASK_FAILED = "task.failed"
RECORDING_FAILED = "recording.failed"
_LOOP_MODULES = ("asyncio", "uvloop")


@attrs.frozen
class Failure:
    """An unexpected error, as it is logged and counted."""

    name: str
    """The task, or the function of the callback."""
    reason: str
    """Type and message of the exception."""
    place: str
    """File and line that raised it; empty if there is no traceback."""
    event: str = TASK_FAILED
    """Under which it is logged and counted."""


def of_context(context: dict[str, typing.Any]) -> Failure:
    """Return the failure that an event loop passes to its exception handler."""
    error = context.get("exception")
    if step := context.get("step"):
        return attrs.evolve(of_error(step, error), event=RECORDING_FAILED)
    task = context.get("task") or context.get("future")
    if error is None:
        return Failure(_task_name(task) or "loop", _shorten(str(context.get("message"))), "")
    return of_error(_task_name(task) or _callback_name(error), error)


def report(error: BaseException) -> None:
    """Log and count an unexpected error after which the current task goes on."""
    asyncio.get_running_loop().call_exception_handler(
        {"message": "task failed", "exception": error, "task": asyncio.current_task()}
    )


@contextlib.contextmanager
def reported() -> abc.Iterator[None]:
    """Report an unexpected error of the block, and go on after it."""
    try:
        yield
    except Exception as error:
        report(error)


Parameters = typing.ParamSpec("Parameters")
Recorded = typing.TypeVar("Recorded")


def try_record(
    step: str,
    record: abc.Callable[Parameters, Recorded],
    *args: Parameters.args,
    **kwargs: Parameters.kwargs,
) -> Recorded | None:
    """
    Record an outcome by calling a function; report its error and go on.

    The outcome is known by then, and whoever waits for it must be told of it.

    :param step: name of what is recorded, for the log and the counter
    :returns: the result of the function; ``None`` if it failed
    """
    try:
        return record(*args, **kwargs)
    except Exception as error:
        report_recording(step, error)
        return None


def report_recording(step: str, error: Exception) -> None:
    """Log and count an error in recording an outcome."""
    asyncio.get_running_loop().call_exception_handler(
        {"message": "recording failed", "exception": error, "step": step}
    )


def of_error(name: str, error: BaseException) -> Failure:
    """Return the failure of a named task."""
    return Failure(name, _shorten(f"{type(error).__name__}: {error}"), _innermost_place(error))


def _shorten(reason: str) -> str:
    return reason[:MAX_REASON_LENGTH]


def _task_name(task: asyncio.Future[typing.Any] | None) -> str:
    """
    Return the name of the task's coroutine function.

    The names of most tasks contain a number, and would give each its own metric.
    """
    if not isinstance(task, asyncio.Task):
        return ""
    return getattr(task.get_coro(), "__qualname__", "")


def _callback_name(error: BaseException) -> str:
    """Return the outermost function that is not part of the event loop."""
    for frame, _ in traceback.walk_tb(error.__traceback__):
        if not frame.f_globals.get("__name__", "").startswith(_LOOP_MODULES):
            return frame.f_code.co_qualname
    return "callback"


def _innermost_place(error: BaseException) -> str:
    frames: list[tuple[types.FrameType, int]] = list(traceback.walk_tb(error.__traceback__))
    if not frames:
        return ""
    frame, line = frames[-1]
    path = pathlib.PurePath(frame.f_code.co_filename)
    return f"{'/'.join(path.parts[-2:])}:{line}"
