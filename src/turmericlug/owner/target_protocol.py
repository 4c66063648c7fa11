"""
Connection to a target whose replies may have no end.

The HTTP library parses all that it receives, also replies that nobody has asked for, and keeps them
until they are asked for. Such replies don't pause the connection, and those that are left when it
is closed stay, as they refer to each other, until the next full garbage collection.
"""

from __future__ import annotations

import asyncio
import functools
import typing
from collections import abc

import aiohttp
from aiohttp import client_proto

MAX_INTERIM_REPLIES = 16
"""Interim replies (1xx) to one request."""
MAX_HEAD_BYTES = 128 * 1024
"""Received for one request outside of a body: some times the largest head."""
_SLICE_BYTES = 16 * 1024
"""Parsed at once, after which replies without end are noticed."""


OnUnasked = abc.Callable[[typing.Any], None]
"""Receives the address of a target that has sent more than it was asked for."""


class Protocol(client_proto.ResponseHandler):
    """A connection that is closed when the target sends more replies than it was asked for."""

    def __init__(self, loop: asyncio.AbstractEventLoop, on_unasked: OnUnasked) -> None:
        super().__init__(loop)
        self._on_unasked = on_unasked
        self._interim_replies = 0
        self._head_bytes = 0
        self._is_answered = False
        self._is_aborted = False

    def set_response_params(self, **parameters: typing.Any) -> None:
        """Expect the reply to a request."""
        self._interim_replies = self._head_bytes = 0
        self._is_answered = False
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in slices; discard the rest once the connection is closed."""
        if len(data) <= _SLICE_BYTES:
            self._parse(data)
            return
        view = memoryview(data)
        for start in range(0, len(view), _SLICE_BYTES):
            if self._is_aborted or self.transport is None:
                return
            self._parse(bytes(view[start : start + _SLICE_BYTES]))

    def _parse(self, data: bytes) -> None:
        if self._is_aborted:
            return
        super().data_received(data)
        if self._exception is not None:
            drop_tracebacks(self._exception)
        if self._payload is None or self._payload.is_eof():
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._abort()

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Pass on a reply that was asked for; close the connection at any other."""
        status = data[0].code
        is_interim = 100 <= status < 200 and status != 101
        if self._is_answered or self._interim_replies >= MAX_INTERIM_REPLIES:
            self._abort()
            return
        if is_interim:
            self._interim_replies += 1
        else:
            self._is_answered = True
        super().feed_data(data, size)

    def _abort(self) -> None:
        if self._is_aborted:
            return
        self._is_aborted = True
        self.force_close()
        if self.transport is not None:
            self._on_unasked(self.transport.get_extra_info("peername"))
            self.transport.abort()


def drop_tracebacks(error: BaseException | type[BaseException]) -> None:
    """
    Remove the tracebacks of an expected error and its causes.

    Their frames hold what was received and the connection, which holds the error: all of it would
    stay until the next full garbage collection.
    """
    seen: set[int] = set()
    pending = [error]
    while pending:
        each = pending.pop()
        if not isinstance(each, BaseException) or id(each) in seen:
            continue
        seen.add(id(each))
        each.__traceback__ = None
        pending += [cause for cause in (each.__cause__, each.__context__) if cause is not None]


class Connector(aiohttp.TCPConnector):
    """Connections to targets."""

    def __init__(self, on_unasked: OnUnasked, **options: typing.Any) -> None:
        super().__init__(**options)
        self._factory = functools.partial(Protocol, self._loop, on_unasked)
