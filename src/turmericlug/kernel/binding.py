"""
Listening at an address, at once or as soon as it can be bound.

A port may still belong to the previous process of the same instance while that drains, or to
another program. Neither is a reason to end: what does not need the port goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing
from collections import abc

import attrs

from turmericlug.kernel import tasks
from turmericlug.policy import backoff
from turmericlug.telemetry import counters as counters_module

OpenListener = abc.Callable[[], abc.Awaitable[typing.Any]]
"""Binds an address and returns its listener; raises ``OSError`` if that fails."""

FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5
"""Bounds both the time without a listener once the port is free, and the rate of log lines."""
RETRY_JITTER = 0.2


@attrs.define
class Binding:
    """A listening address and what has become of binding it."""

    name: str
    address: tuple[str, int]
    open_listener: OpenListener
    counters: counters_module.Counters
    log: abc.Callable[..., None]
    """Called with the name of an event and its fields."""
    listener: typing.Any = None
    failures: int = 0
    _began_s: float = attrs.field(factory=lambda: asyncio.get_running_loop().time())

    @property
    def is_bound(self) -> bool:
        """Whether connections to the address are accepted."""
        return self.listener is not None

    async def bind(self) -> None:
        """Try to listen, and log a failure."""
        try:
            self.listener = await self.open_listener()
        except (OSError, UnicodeError) as error:
            # UnicodeError: the host is not a valid name.
            self.failures += 1
            self.counters.add(f"listener.bind_failed.{self.name}")
            self.log(
                "listener.not_bound", **self._description(), error=str(error), attempt=self.failures
            )
            return
        if self.failures:
            after_ms = round((asyncio.get_running_loop().time() - self._began_s) * 1000)
            self.log("listener.bound", **self._description(), after_ms=after_ms)

    async def bind_later(self, is_wanted: abc.Callable[[], bool]) -> None:
        """
        Try again until the address is bound.

        :param is_wanted: whether to go on
        """
        while not self.is_bound:
            await asyncio.sleep(retry_delay_s(self.failures))
            if not is_wanted():
                return
            await self.bind()

    def _description(self) -> dict[str, str]:
        return {"listener": self.name, "address": f"{self.address[0]}:{self.address[1]}"}


def retry_delay_s(failures: int, rng: random.Random | None = None) -> float:
    """Return how long to wait after a number of failures."""
    delay_s = backoff.delay(FIRST_RETRY_S, MAX_RETRY_S, failures)
    return delay_s * (rng or random).uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)


@contextlib.asynccontextmanager
async def listening(
    binding: Binding, is_wanted: abc.Callable[[], bool]
) -> abc.AsyncIterator[Binding]:
    """
    Bind now or, while that fails, in the background until the end of the block.

    Closing the listener is up to the caller.

    :param is_wanted: whether a late bind still makes sense
    """
    await binding.bind()
    retries = () if binding.is_bound else (binding.bind_later(is_wanted),)
    async with tasks.background(*retries):
        yield binding
