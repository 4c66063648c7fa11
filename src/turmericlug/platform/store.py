"""
Client of the platform's key-value store, which decodes its items.

The client keeps two connections: one for watches, which wait for changes, and one for all other
calls. After a lost response the store sends no further responses on that connection, so a call
without a response closes its connection.
"""

from __future__ import annotations

import asyncio
import base64
import json
import types
import typing
import urllib.parse
from collections import abc

import attrs

from turmericlug.decoding import fields
from turmericlug.decoding import json_values
from turmericlug.entry import source
from turmericlug.http1 import client
from turmericlug.kernel import slices
from turmericlug.platform import answers
from turmericlug.platform import decode
from turmericlug.platform import names
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

CALL_TIMEOUT_S = 1.2
"""300 times the usual response time of 4 ms, and well above the 240 ms that a slow store took."""
WATCH_TIMEOUT_SLACK_S = 0.8
_CONNECT_TIMEOUT_S = 0.6
MAX_KEYS_PER_CALL = 32
"""Keys that the store accepts in one call."""
_STATUS_REASONS = {429: "rate", 503: "busy"}
_ERA_HEADER = b"store-era"
_NO_KEYS_PREFIX = names.INSTANCES_PREFIX + "?"
"""A prefix of no key, to read as little as possible."""
_MAX_ERA_DIGITS = 18
"""An era of this length fits into the 64-bit field of the protocol between instances."""
MAX_PAGES = 4096
"""Two million items; a read of more does not end."""

Errors = abc.Mapping[int, type[Exception]]
"""The errors of a call by the status of its response; any other status is a ``SourceError``."""
_NO_ERRORS: Errors = types.MappingProxyType({})


class _RevisionMismatchError(Exception):
    """A key has another revision than the transaction expects."""


_LEASE_ERRORS: Errors = types.MappingProxyType({404: source.LeaseEndedError})
_T = typing.TypeVar("_T")


@attrs.define
class _Channel:
    """A persistent connection, used by one call at a time."""

    connection: client.Connection | None = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    failed: bool = False
    """Whether the last call got no usable response."""

    @property
    def interrupted(self) -> bool:
        """Whether the store may have been unreachable since the last call."""
        return self.failed or (self.connection is not None and self.connection.closed)


@attrs.frozen
class _Result:
    """The decoded body of a response, and the store's era that the response belongs to."""

    era: int
    body: typing.Any


class Store:
    """Implements ``source.Source`` with the platform's store."""

    def __init__(self, host: str, port: int, counters: counters_module.Counters) -> None:
        self._host = host
        self._port = port
        self._counters = counters
        self._call_channel = _Channel()
        self._watch_channel = _Channel()
        self._has_lost_position = False
        """Whether the last watch returned a position that can't follow the previous one."""
        self.era = 0
        """The latest era of the responses; 0 if none stated one."""
        self._era_is_confirmed = False
        """Whether a second response has stated this era."""

    async def read_all(self, may_be_stale: bool) -> source.Snapshot:
        """
        Read all keys, page by page; changes continue from the revision of the oldest page.

        Stale pages lag by different amounts, so any of them can be the oldest. After the store was
        restored from a backup, stale pages may still show writes that were lost. The operators'
        keys are therefore read again without staleness. If their position is older than the
        snapshot's, all keys are read again without staleness.

        :raises SourceError: no usable response
        """
        snapshot = await self._read_pages("", may_be_stale)
        if not (may_be_stale and snapshot.era):
            return snapshot
        operators_snapshot = await self._read_pages(names.OPERATORS_PREFIX, may_be_stale=False)
        if operators_snapshot.position < snapshot.position:
            return await self._read_pages("", may_be_stale=False)
        other_entries = [
            entry for entry in snapshot.entries if not entry.key.startswith(names.OPERATORS_PREFIX)
        ]
        return attrs.evolve(snapshot, entries=(*other_entries, *operators_snapshot.entries))

    async def _read_pages(self, prefix: str, may_be_stale: bool) -> source.Snapshot:
        entries: list[source.Written | source.Unreadable] = []
        positions: set[source.Position] = set()
        last_keys: set[str] = set()
        query = {"Prefix": prefix} | ({"Serializable": "1"} if may_be_stale else {})
        while True:
            result = await self._get("kv-range", query)
            page = self._read("kv-range", answers.read_page, result)
            positions.add(source.Position(result.era, page.revision))
            if len({position.era for position in positions}) > 1:
                raise source.SourceError("returned_from_copy")
            entries += page.entries
            if not page.has_more:
                return source.Snapshot(tuple(entries), min(positions).revision, result.era)
            if not page.last_key or page.last_key in last_keys or len(last_keys) >= MAX_PAGES:
                self._log_malformed("kv-range", "HasMore", "range", "the pages make no progress")
                raise source.SourceError("malformed")
            last_keys.add(page.last_key)
            query["after"] = page.last_key

    async def changes(self, after: source.Position, wait_s: float) -> source.Changes:
        """
        Wait for changes.

        :raises HistoryLostError: the store no longer has the changes since ``after``, or it was
            restored from a backup, after which the same revisions denote other changes
        :raises SourceError: no usable response
        """
        if after.era < self.era:
            raise source.HistoryLostError
        if self._watch_channel.interrupted:
            # The store may have been restored meanwhile, and only a response states its era: the
            # watch returns at once instead of waiting for a change.
            wait_s = 0.0
        query = {"Prefix": "", "after": str(after.revision), "WaitMs": str(int(wait_s * 1000))}
        try:
            result = await self._get(
                "kv-watch",
                query,
                self._watch_channel,
                wait_s + WATCH_TIMEOUT_SLACK_S,
                {410: source.HistoryLostError},
            )
            steps = answers.reading_events(result.body, result.era)
            try:
                changes = await slices.in_turns(steps)
            except fields.FieldError as error:
                raise self._malformed("kv-watch", error) from None
            self._watch_channel.failed = False
        except source.SourceError:
            self._watch_channel.failed = True
            if self.era != after.era:
                raise source.HistoryLostError from None
            raise
        if result.era != after.era:
            raise source.HistoryLostError
        self._check_progress(after, changes.position)
        return changes

    def _check_progress(self, after: source.Position, position: source.Position) -> None:
        """
        Check that a watch has returned a position that can follow the one that it continues from.

        If twice in a row it can't, the earlier position is not one of this store: the first answer
        with a malformed revision was the one that stated it.

        :raises HistoryLostError: everything has to be read again
        :raises SourceError: the same changes are to be requested once more
        """
        if position.can_follow(after):
            self._has_lost_position = False
            return
        self._log_malformed(
            "kv-watch", "AsOf", "range", f"{position.revision} after {after.revision}"
        )
        if self._has_lost_position:
            self._has_lost_position = False
            raise source.HistoryLostError
        self._has_lost_position = True
        raise source.SourceError("malformed")

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease."""
        result = await self._call(b"POST", "kv-lease", {"TtlMs": int(ttl_s * 1000)})
        return self._read("kv-lease", lambda body, era: answers.read_lease(body), result)

    async def renew_lease(self, lease: int) -> None:
        """
        Renew a lease.

        :raises LeaseEndedError: the lease has ended
        """
        await self._call(b"POST", f"kv-keep/{lease}", {}, errors=_LEASE_ERRORS)

    async def end_lease(self, lease: int) -> None:
        """End a lease."""
        await self._call(b"DELETE", f"kv-lease-end/{lease}", None, errors=_LEASE_ERRORS)

    async def register(self, instance: source.EntryInstance, lease: int) -> None:
        """
        Write an instance's entry, attached to its lease.

        :raises LeaseEndedError: the lease has ended
        """
        value = base64.b64encode(decode.encode_instance(instance)).decode()
        put = {"Key": names.INSTANCES_PREFIX + instance.name, "Value": value, "Lease": lease}
        body = {"ExpectedRev": [], "Puts": [put], "Remove": []}
        await self._write(body, _LEASE_ERRORS)

    async def remove(self, written: abc.Sequence[source.Written]) -> bool:
        """
        Remove keys, all or none.

        :returns: false if one of them has been written again since
        :raises SourceError: no usable response, or more than ``MAX_KEYS_PER_CALL`` keys
        """
        if len(written) > MAX_KEYS_PER_CALL:
            raise source.SourceError("too_many_keys")
        body = {
            "ExpectedRev": [{"Key": entry.key, "Revision": entry.revision} for entry in written],
            "Puts": [],
            "Remove": [entry.key for entry in written],
        }
        try:
            await self._write(body, {412: _RevisionMismatchError})
        except _RevisionMismatchError:
            return False
        return True

    async def _write(self, body: typing.Any, errors: Errors) -> None:
        result = await self._call(b"POST", "kv-txn", body, errors=errors)
        self._read("kv-txn", lambda body, era: answers.read_written_revision(body), result)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        channel: _Channel | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        errors: Errors = _NO_ERRORS,
    ) -> _Result:
        # A key that is not valid Unicode can be the last one of a page.
        target = f"{path}?{urllib.parse.urlencode(query, errors='surrogatepass')}"
        return await self._call(b"GET", target, None, channel, timeout_s, errors)

    async def _call(
        self,
        method: bytes,
        path: str,
        body: typing.Any,
        channel: _Channel | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        errors: Errors = _NO_ERRORS,
    ) -> _Result:
        channel = channel or self._call_channel
        operation = path.partition("?")[0].partition("/")[0]
        self._counters.add(f"source.call.{operation}")
        async with channel.lock:
            response = await self._exchange(channel, method, path, body, timeout_s)
        era = await self._settle_era(response)
        if response.status in errors:
            raise errors[response.status]
        if response.status != 200:
            status = response.status
            raise source.SourceError(_STATUS_REASONS.get(status, f"status_{status}"))
        try:
            return _Result(era, json_values.parse(response.body) if response.body else {})
        except fields.FieldError as error:
            self._log_malformed(operation, "", error.reason, str(error))
            raise source.SourceError("unreadable") from None

    def _read(
        self, operation: str, read: abc.Callable[[typing.Any, int], _T], result: _Result
    ) -> _T:
        """
        Read the body of an answer.

        :raises SourceError: a field is malformed
        """
        try:
            return read(result.body, result.era)
        except fields.FieldError as error:
            raise self._malformed(operation, error) from None

    def _malformed(self, operation: str, error: fields.FieldError) -> source.SourceError:
        self._log_malformed(operation, error.field, error.reason, str(error))
        return source.SourceError("malformed")

    def _log_malformed(self, operation: str, field: str, reason: str, problem: str) -> None:
        self._counters.add(f"source.malformed.{operation}")
        decisions.log(
            "source.malformed", call=operation, field=field, reason=reason, problem=problem
        )

    async def _settle_era(self, response: client.Response) -> int:
        """
        Return a response's era, or the latest known era if the response states none.

        A later era becomes the known one if a second response states it, or a still later one. So
        does an earlier one where the known one is of a single response: it would hide all others
        for good.

        :raises SourceError: the response is from before the store was restored from a backup, or
            states an era that no other one does
        """
        era = _stated_era(response)
        if era is None:
            return self.era
        if era == self.era:
            self._era_is_confirmed = True
        elif not self.era:
            self.era = era
        elif era > self.era or not self._era_is_confirmed:
            before, second = self.era, await self._ask_era()
            if second is None or second < era:
                self._log_malformed("era", "", "range", f"{era}, which no second response states")
                raise source.SourceError("odd_era")
            if era < before <= second:
                raise source.SourceError("older_era")
            self._adopt_era(era)
            if era < before:
                # What has been read states the other era.
                raise source.SourceError("older_era")
        if era < self.era:
            raise source.SourceError("older_era")
        return era

    async def _ask_era(self) -> int | None:
        """Return the era that a response on a new connection states."""
        self._counters.add("source.call.kv-range")
        channel = _Channel()
        path = "kv-range?" + urllib.parse.urlencode({"Prefix": _NO_KEYS_PREFIX})
        try:
            return _stated_era(await self._exchange(channel, b"GET", path, None, CALL_TIMEOUT_S))
        finally:
            self._close_channel(channel)

    def _adopt_era(self, era: int) -> None:
        if era == self.era:
            return
        if era > self.era:
            self._counters.add("source.returned_from_copy")
            decisions.log("source.returned_from_copy", era=era, before=self.era)
        elif self._era_is_confirmed:
            # Another call has found a later one meanwhile.
            return
        self.era, self._era_is_confirmed = era, True
        # A pending watch waits for changes after a revision of the earlier era: it is ended.
        self._close_channel(self._watch_channel)

    async def _exchange(
        self, channel: _Channel, method: bytes, path: str, body: typing.Any, timeout_s: float
    ) -> client.Response:
        content = b"" if body is None else json.dumps(body).encode()
        headers = [(b"host", f"{self._host}:{self._port}".encode())]
        if content:
            headers.append((b"content-type", b"application/json"))
        request = client.request_bytes(method, b"/turmericlug/" + path.encode(), headers, content)
        try:
            async with asyncio.timeout(timeout_s):
                if channel.connection is None or channel.connection.closed:
                    channel.connection = await client.connect(
                        self._host, self._port, _CONNECT_TIMEOUT_S
                    )
                return await channel.connection.exchange(request)
        except TimeoutError:
            self._close_channel(channel)
            raise source.SourceError("timeout") from None
        except client.ConnectError:
            raise source.SourceError("unreachable") from None
        except client.ExchangeError:
            self._close_channel(channel)
            raise source.SourceError("cut") from None

    def _close_channel(self, channel: _Channel) -> None:
        if channel.connection is not None:
            channel.connection.close()
            channel.connection = None

    def close(self) -> None:
        """Close both connections."""
        self._close_channel(self._call_channel)
        self._close_channel(self._watch_channel)


def _stated_era(response: client.Response) -> int | None:
    """Return the era that a response states, ``None`` if it is absent or malformed."""
    header_value = response.header(_ERA_HEADER) or b""
    if not (header_value.isdigit() and len(header_value) <= _MAX_ERA_DIGITS):
        return None
    return int(header_value)
