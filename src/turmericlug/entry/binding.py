"""
Listening at an address, at once or as soon as it can be bound.

A port may still belong to the previous process of the same instance while that drains, or to
another program. Neither is a reason to end: what does not need the port goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import abc

import attrs

from turmericlug.http1 import server
from turmericlug.kernel import tasks
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5
"""Bounds both the time without a listener once the port is free, and the rate of log lines."""
RETRY_JITTER = 0.2


@attrs.define
class Binding:
    """A listening address and what has become of binding it."""

    name: str
    address: tuple[str, int]
    http_server: server.Server
    counters: counters_module.Counters
    listener: asyncio.Server | None = None
    failures: int = 0
    _began_s: float = attrs.field(factory=lambda: asyncio.get_running_loop().time())

    @property
    def is_bound(self) -> bool:
        """Whether connections to the address are accepted."""
        return self.listener is not None

    async def bind(self, early: socket.socket | None = None) -> None:
        """
        Try to listen, and log a failure.

        :param early: socket that already listens at the address
        """
        try:
            self.listener = await server.listen(self.http_server, *self.address, early)
        except (OSError, UnicodeError) as error:
            # UnicodeError: the host is not a valid name.
            if early is not None:
                early.close()
            self.failures += 1
            self.counters.add(f"listener.bind_failed.{self.name}")
            decisions.log(
                "listener.not_bound", **self._description(), error=str(error), attempt=self.failures
            )
            return
        if self.failures:
            after_ms = round((asyncio.get_running_loop().time() - self._began_s) * 1000)
            decisions.log("listener.bound", **self._description(), after_ms=after_ms)

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

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.listener is not None:
            self.listener.close()
        self.http_server.close()


def retry_delay_s(failures: int, rng: random.Random | None = None) -> float:
    """Return how long to wait after a number of failures."""
    delay_s = min(FIRST_RETRY_S * 2.0 ** min(failures - 1, 10), MAX_RETRY_S)
    return delay_s * (rng or random).uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)


@contextlib.asynccontextmanager
async def listening(
    binding: Binding, is_wanted: abc.Callable[[], bool], early: socket.socket | None = None
) -> abc.AsyncIterator[Binding]:
    """
    Listen for the duration of the context; if binding fails, try again in the background.

    :param is_wanted: whether a late bind still makes sense
    :param early: socket that already listens; used if it is bound to the address
    """
    if early is not None and early.getsockname() != binding.address:
        decisions.log("instance.listened_elsewhere", address=early.getsockname()[0])
        early.close()
        early = None
    await binding.bind(early)
    retries = () if binding.is_bound else (binding.bind_later(is_wanted),)
    async with tasks.background(*retries):
        try:
            yield binding
        finally:
            binding.close()
