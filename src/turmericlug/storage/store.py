"""Client of the platform's key-value store, over the HTTP/JSON gateway protocol of etcd v3."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import typing
from collections import abc

import aiohttp
import attrs

from turmericlug.storage import eras as eras_module
from turmericlug.storage import reading
from turmericlug.telemetry import counters as counters_module

_ERA_HEADER = "Store-Era"
_MAX_ERA_DIGITS = 18
"""An era of this length fits the 64-bit field of the protocol between instances."""


_MALFORMED = (ValueError, KeyError, TypeError, AttributeError, RecursionError)
"""Raised for an answer whose fields are absent, of another type or too deeply nested."""


class StoreError(Exception):
    """No usable response; ``reason`` is ``timeout``, ``unreachable`` or ``refused``."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.frozen
class Value:
    """A key and its value as read; ``revision`` is 0 for a key that does not exist."""

    key: str
    text: str
    revision: int


class Store:
    """Reads and watches keys, changes them by compare-and-swap; counts each call and error."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_ms: int,
        counters: counters_module.Counters,
        eras: eras_module.Eras | None = None,
    ) -> None:
        self.eras = eras or eras_module.Eras()
        self._session = session
        self._url = url
        self._timeout_s = timeout_ms / 1000
        self._counters = counters
        self._replies = reading.new_budget()

    async def read(self, key: str) -> Value:
        """
        Read one key, linearizably.

        :raises StoreError: no usable response
        """
        values = await self._read_range({"key": _encode(key)})
        return values[0] if values else Value(key, "", 0)

    async def read_prefix(self, prefix: str) -> list[Value]:
        """
        Read every key with a prefix, in order.

        :raises StoreError: no usable response
        """
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return await self._read_range({"key": _encode(prefix), "range_end": _encode(end)})

    async def _read_range(self, body: dict[str, typing.Any]) -> list[Value]:
        reply = await self._call("range", body)
        try:
            return [_decode_value(item) for item in reply.get("kvs", [])]
        except _MALFORMED as error:
            raise self._record_error(ValueError()) from error

    async def swap(
        self,
        expected: abc.Sequence[Value],
        puts: dict[str, str],
        deleted: tuple[str, str] | None = None,
    ) -> int:
        """
        Write all keys if each expected key is unchanged since it was read; otherwise write none.

        A store restored from a backup reuses revisions, so a key with the same revision may hold
        another value. The values are therefore compared as well.

        :param expected: values as they were read, with revision 0 for a key that must not exist
        :param deleted: first key and end of a range that is deleted in the same transaction
        :returns: the new revision of the written keys; 0: nothing was written
        :raises StoreError: no usable response; **the write may have taken effect**
        """
        compare = [comparison for value in expected for comparison in _make_comparisons(value)]
        success = [
            {"request_put": {"key": _encode(key), "value": _encode(text)}}
            for key, text in puts.items()
        ]
        if deleted is not None:
            key, end = deleted
            key_range = {"key": _encode(key), "range_end": _encode(end)}
            success.append({"request_delete_range": key_range})
        reply = await self._call("txn", {"compare": compare, "success": success})
        try:
            if not reply.get("succeeded", False):
                return 0
            return int(reply["header"]["revision"])
        except _MALFORMED as error:
            raise self._record_error(ValueError()) from error

    async def watch(self, prefix: str) -> abc.AsyncIterator[Value]:
        """
        Yield each write under a prefix until the stream ends.

        :raises StoreError: the stream could not be opened, or has ended
        """
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        body = {"create_request": {"key": _encode(prefix), "range_end": _encode(end)}}
        self._counters.add("store.call.watch")
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._timeout_s)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", json=body, timeout=timeout
            ) as response:
                self._observe_era(response)
                async for line in response.content:
                    for event in json.loads(line).get("result", {}).get("events", []):
                        yield _decode_value(event["kv"])
        except (aiohttp.ClientError, OSError, TimeoutError, *_MALFORMED) as error:
            raise self._record_error(error) from error
        raise self._record_error(ConnectionResetError())

    async def _call(self, operation: str, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        self._counters.add(f"store.call.{operation}")
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._session.post(
                    f"{self._url}/v3/kv/{operation}", json=body
                ) as response:
                    self._observe_era(response)
                    if response.status != 200:
                        raise aiohttp.ClientError(f"status {response.status}")
                    async with reading.read_json(response, self._replies) as reply:
                        return reply
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
            raise self._record_error(error) from error

    def _observe_era(self, response: aiohttp.ClientResponse) -> None:
        era = response.headers.get(_ERA_HEADER, "")
        if era.isascii() and era.isdigit() and len(era) <= _MAX_ERA_DIGITS:
            self.eras.observe(int(era))

    def _record_error(self, error: BaseException) -> StoreError:
        if isinstance(error, TimeoutError):
            reason = "timeout"
        elif isinstance(error, OSError):
            reason = "unreachable"
        else:
            reason = "refused"
        self._counters.add(f"store.error.{reason}")
        return StoreError(reason)


@contextlib.asynccontextmanager
async def connected(
    url: str,
    timeout_ms: int,
    counters: counters_module.Counters,
    eras: eras_module.Eras | None = None,
) -> abc.AsyncIterator[Store]:
    """Open a client with a small connection pool for the duration of the block."""
    connector = aiohttp.TCPConnector(limit=8)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield Store(session, url, timeout_ms, counters, eras)


def _make_comparisons(value: Value) -> list[dict[str, str]]:
    is_equal = {"key": _encode(value.key), "result": "EQUAL"}
    comparisons = [is_equal | {"target": "MOD", "mod_revision": str(value.revision)}]
    if value.revision:
        comparisons.append(is_equal | {"target": "VALUE", "value": _encode(value.text)})
    return comparisons


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode_value(item: dict[str, typing.Any]) -> Value:
    text = base64.b64decode(item.get("value", "")).decode()
    return Value(base64.b64decode(item["key"]).decode(), text, int(item["mod_revision"]))
