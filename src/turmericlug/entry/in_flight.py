"""Requests that callers wait for, which end at the latest when the process exits."""

from __future__ import annotations

import asyncio
import contextlib
from collections import abc


class ExitingError(Exception):
    """The process exits before the request is answered."""


class InFlight:
    """The requests that are being answered."""

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        self._ended = False

    @contextlib.asynccontextmanager
    async def until_exit(self) -> abc.AsyncIterator[None]:
        """
        Run a block that is cancelled when the process exits.

        :raises ExitingError: the process exits; the block was not run if it exited before
        """
        if self._ended:
            raise ExitingError
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                try:
                    yield
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            if not timeout.expired():
                raise
            raise ExitingError from None

    def end(self) -> None:
        """Cancel all blocks and let none begin, as the process is about to exit."""
        self._ended = True
        now_s = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now_s)
