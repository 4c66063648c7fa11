"""
The one client of the platform's store: its calls, and its items as the product's news.

Two connections: questions for changes wait on one, everything else goes over the other. The store
answers nothing further on a connection on which an answer was lost, so that a call without an
answer ends its connection.
"""

from __future__ import annotations

import asyncio
import base64
import json
import typing
import urllib.parse
from collections import abc

import attrs

from turmericlug.entry import source
from turmericlug.http1 import client
from turmericlug.platform import decode
from turmericlug.platform import names
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

CALL_TIMEOUT_S = 1.2
"""Three hundred times the usual answer of 4 ms: a slow store (240 ms were seen) still answers."""
WATCH_SLACK_S = 0.8
_CONNECT_TIMEOUT_S = 0.6
MOST_KEYS = 32
"""Keys that the store takes in one call."""
_REASONS = {429: "rate", 503: "busy"}
_ERA_HEADER = b"store-era"
_ERA_DIGITS = 18
"""Fits into the 64 bits with which instances tell each other."""


class _ChangedError(Exception):
    """A key has another revision than the call expected."""


@attrs.define
class _Lane:
    """One kept connection, used by one call at a time."""

    connection: client.Connection | None = None
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    failed: bool = False
    """Whether the last call got no usable answer."""

    @property
    def was_lost(self) -> bool:
        """Whether the other side may have been away since the last call."""
        return self.failed or (self.connection is not None and self.connection.closed)


@attrs.frozen
class _Answer:
    """What a call was answered, and the era that the answer is of."""

    era: int
    body: typing.Any


class Store:
    """Implements ``news.Source`` on the platform's store."""

    def __init__(self, host: str, port: int, counters: counters_module.Counters) -> None:
        self._host = host
        self._port = port
        self._counters = counters
        self._calls = _Lane()
        self._watch = _Lane()
        self.era = 0
        """The latest that an answer was of; 0: none told one."""

    async def read_all(self, may_be_stale: bool) -> source.Snapshot:
        """
        Read every key, page by page; changes since the oldest page are followed from there.

        Stale pages lag by different times, so that any of them may be the oldest. Of a store that
        has returned from a copy they may show what it lost: then what operators wrote is read anew.

        :raises SourceError: no answer
        """
        snapshot = await self._read("", may_be_stale)
        if not (may_be_stale and snapshot.era):
            return snapshot
        operators = await self._read(names.OPERATORS_PREFIX, may_be_stale=False)
        if operators.position < snapshot.position:
            return await self._read("", may_be_stale=False)
        others = [
            each for each in snapshot.written if not each.key.startswith(names.OPERATORS_PREFIX)
        ]
        return attrs.evolve(snapshot, written=(*others, *operators.written))

    async def _read(self, prefix: str, may_be_stale: bool) -> source.Snapshot:
        written: list[source.Written | source.Unreadable] = []
        positions: set[source.Position] = set()
        query = {"Prefix": prefix} | ({"Serializable": "1"} if may_be_stale else {})
        while True:
            answer = await self._get("kv-range", query)
            page = answer.body
            positions.add(source.Position(answer.era, page["AsOf"]))
            if len({each.era for each in positions}) > 1:
                raise source.SourceError("returned_from_copy")
            for item in page["items"]:
                query["after"] = item["Key"]
                change = _written(item, answer.era)
                if change is not None:
                    written.append(change)
            if not page.get("HasMore"):
                return source.Snapshot(tuple(written), min(positions).revision, answer.era)

    async def changes(self, after: source.Position, wait_s: float) -> source.Changes:
        """
        Wait for changes.

        :raises HistoryLostError: the changes since then are not known any more, or the store has
            returned from a copy, whose revisions stand for other changes
        :raises SourceError: no answer
        """
        if after.era < self.era:
            raise source.HistoryLostError
        if self._watch.was_lost:
            # The store may have been away. Its era comes with the answer, which is not waited for.
            wait_s = 0.0
        query = {"Prefix": "", "after": str(after.revision), "WaitMs": str(int(wait_s * 1000))}
        try:
            answer = await self._get("kv-watch", query, self._watch, wait_s + WATCH_SLACK_S)
            self._watch.failed = False
        except source.SourceError:
            self._watch.failed = True
            if self.era != after.era:
                raise source.HistoryLostError from None
            raise
        if answer.era != after.era:
            raise source.HistoryLostError
        changes: list[source.Change] = []
        for event in answer.body["events"]:
            if event.get("Tombstone"):
                changes.append(source.Removed(event["Key"], event["Revision"], answer.era))
                continue
            change = _written(event, answer.era)
            if change is not None:
                changes.append(change)
        return source.Changes(tuple(changes), answer.body["AsOf"], era=answer.era)

    async def lease(self, ttl_s: float) -> int:
        """Open a lease."""
        answer = await self._call(b"POST", "kv-lease", {"TtlMs": int(ttl_s * 1000)})
        return answer.body["Lease"]

    async def keep(self, lease: int) -> None:
        """
        Renew a lease.

        :raises LeaseEndedError: it has ended
        """
        await self._call(b"POST", f"kv-keep/{lease}", {})

    async def end(self, lease: int) -> None:
        """End a lease."""
        await self._call(b"DELETE", f"kv-lease-end/{lease}", None)

    async def register(self, instance: source.EntryInstance, lease: int) -> None:
        """
        Write an instance's entry under its lease.

        :raises LeaseEndedError: the lease has ended
        """
        value = base64.b64encode(decode.instance_value(instance)).decode()
        put = {"Key": names.INSTANCES_PREFIX + instance.name, "Value": value, "Lease": lease}
        await self._call(b"POST", "kv-txn", {"ExpectedRev": [], "Puts": [put], "Remove": []})

    async def remove(self, written: abc.Sequence[source.Written]) -> bool:
        """
        Remove keys, all or none.

        :returns: false when one of them has been written since
        :raises SourceError: no answer, or too many keys for one call
        """
        if len(written) > MOST_KEYS:
            raise source.SourceError("too_many_keys")
        body = {
            "ExpectedRev": [{"Key": each.key, "Revision": each.revision} for each in written],
            "Puts": [],
            "Remove": [each.key for each in written],
        }
        try:
            await self._call(b"POST", "kv-txn", body)
        except _ChangedError:
            return False
        return True

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        lane: _Lane | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Answer:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._call(b"GET", target, None, lane, timeout_s)

    async def _call(
        self,
        method: bytes,
        path: str,
        body: typing.Any,
        lane: _Lane | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Answer:
        lane = lane or self._calls
        operation = path.partition("?")[0].partition("/")[0]
        self._counters.add(f"source.call.{operation}")
        async with lane.lock:
            response = await self._exchange(lane, method, path, body, timeout_s)
        era = self._era_of(response)
        if response.status == 200:
            return _Answer(era, _parsed(response.body))
        if response.status == 410:
            raise source.HistoryLostError
        if response.status == 404:
            raise source.LeaseEndedError
        if response.status == 412:
            raise _ChangedError
        raise source.SourceError(_REASONS.get(response.status, f"status_{response.status}"))

    def _era_of(self, response: client.Response) -> int:
        """
        Return the era that an answer is of: the latest known one where it tells none.

        :raises SourceError: the answer was given before the store returned from a copy
        """
        told = response.header(_ERA_HEADER) or b""
        if not (told.isdigit() and len(told) <= _ERA_DIGITS):
            return self.era
        era = int(told)
        if era < self.era:
            raise source.SourceError("older_era")
        if era > self.era:
            if self.era:
                self._counters.add("source.returned_from_copy")
                decisions.log("source.returned_from_copy", era=era, before=self.era)
            self.era = era
            # A question that still waits there asks for changes after a revision of another era.
            self._drop(self._watch)
        return era

    async def _exchange(
        self, lane: _Lane, method: bytes, path: str, body: typing.Any, timeout_s: float
    ) -> client.Response:
        content = b"" if body is None else json.dumps(body).encode()
        headers = [(b"host", f"{self._host}:{self._port}".encode())]
        if content:
            headers.append((b"content-type", b"application/json"))
        request = client.request_bytes(method, b"/turmericlug/" + path.encode(), headers, content)
        try:
            async with asyncio.timeout(timeout_s):
                if lane.connection is None or lane.connection.closed:
                    lane.connection = await client.connect(
                        self._host, self._port, _CONNECT_TIMEOUT_S
                    )
                return await lane.connection.exchange(request)
        except TimeoutError:
            self._drop(lane)
            raise source.SourceError("timeout") from None
        except client.ConnectError:
            raise source.SourceError("unreachable") from None
        except client.ExchangeError:
            self._drop(lane)
            raise source.SourceError("cut") from None

    def _drop(self, lane: _Lane) -> None:
        if lane.connection is not None:
            lane.connection.close()
            lane.connection = None

    def close(self) -> None:
        """Close both connections."""
        self._drop(self._calls)
        self._drop(self._watch)


def _written(item: dict[str, typing.Any], era: int) -> source.Written | source.Unreadable | None:
    change = decode.change(item["Key"], item["Value"], item["Revision"])
    if isinstance(change, source.Written):
        return attrs.evolve(change, lease=item.get("Lease") or 0, era=era)
    return change and attrs.evolve(change, era=era)


def _parsed(body: bytes) -> typing.Any:
    try:
        return json.loads(body) if body else {}
    except ValueError:
        raise source.SourceError("unreadable") from None
