"""The micro-kernel: opens services in order, closes them in reverse, names each one."""

from __future__ import annotations

import contextlib
import typing
from collections import abc

ServiceFactory = abc.Callable[["Kernel"], contextlib.AbstractAsyncContextManager[typing.Any]]


class UnknownServiceError(LookupError):
    """A service was asked for by a name under which nothing is running."""


class Kernel:
    """Registry of the running services of one daemon."""

    def __init__(self) -> None:
        self._services: dict[str, typing.Any] = {}
        self._stack = contextlib.AsyncExitStack()

    async def open(self, name: str, factory: ServiceFactory) -> typing.Any:
        """
        Start a service and register what its context manager yields.

        :param name: the name other services find it under
        :param factory: makes the context manager that owns the service's life
        """
        service = await self._stack.enter_async_context(factory(self))
        self._services[name] = service
        return service

    def provide(self, name: str, value: typing.Any) -> None:
        """Register a ready-made value that needs no start or stop."""
        self._services[name] = value

    def find(self, name: str) -> typing.Any:
        """
        Find a running service.

        :raises UnknownServiceError: nothing runs under that name
        """
        try:
            return self._services[name]
        except KeyError:
            raise UnknownServiceError(name) from None

    async def close(self) -> None:
        """Stop every service, the newest first."""
        await self._stack.aclose()
