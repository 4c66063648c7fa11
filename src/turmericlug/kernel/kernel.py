"""The service container: starts services in order, stops them in reverse, finds them by name."""

from __future__ import annotations

import contextlib
import typing
from collections import abc

ServiceFactory = abc.Callable[["Kernel"], contextlib.AbstractAsyncContextManager[typing.Any]]


class UnknownServiceError(LookupError):
    """No service is registered under the requested name."""


class Kernel:
    """Registry of the running services of one daemon."""

    def __init__(self) -> None:
        self._services: dict[str, typing.Any] = {}
        self._stack = contextlib.AsyncExitStack()

    async def open(self, name: str, factory: ServiceFactory) -> typing.Any:
        """
        Start a service and register what its context manager yields.

        :param name: the name by which other services find it
        :param factory: creates the context manager that starts and stops the service
        """
        service = await self._stack.enter_async_context(factory(self))
        self._services[name] = service
        return service

    def provide(self, name: str, value: typing.Any) -> None:
        """Register a value that needs no start or stop."""
        self._services[name] = value

    def find(self, name: str) -> typing.Any:
        """
        Return a registered service or value.

        :raises UnknownServiceError: nothing is registered under that name
        """
        try:
            return self._services[name]
        except KeyError:
            raise UnknownServiceError(name) from None

    async def close(self) -> None:
        """Stop every service, in reverse order of start."""
        await self._stack.aclose()
