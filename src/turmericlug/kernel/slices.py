"""Long computations of the event loop in slices, between which it does other work."""

from __future__ import annotations

import asyncio
import time
import typing
import weakref
from collections import abc

SLICE_S = 0.005
"""A computation goes on in the next turn after this time; no turn is to take over 20 ms."""

T = typing.TypeVar("T")
Steps = abc.Generator[None, None, T]
"""A computation that yields after each short step and returns its result."""


def at_once(steps: Steps[T]) -> T:
    """Run a computation to its end."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


_locks: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, asyncio.Lock] = (
    weakref.WeakKeyDictionary()
)
"""Computations of one event loop follow one another: several in one turn would add up."""


async def in_turns(steps: Steps[T]) -> T:
    """Run a computation, at most ``SLICE_S`` and one step in each turn of the event loop."""
    lock = _locks.setdefault(asyncio.get_running_loop(), asyncio.Lock())
    async with lock:
        while True:
            ends_s = time.perf_counter() + SLICE_S
            while time.perf_counter() < ends_s:
                try:
                    next(steps)
                except StopIteration as end:
                    return end.value
            await asyncio.sleep(0)
