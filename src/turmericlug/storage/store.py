"""Client of the platform's key-value store, by the etcd v3 HTTP/JSON gateway protocol."""

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
from turmericlug.telemetry import counters as counters_module

_ERA_HEADER = "Store-Era"
_ERA_DIGITS = 18
"""Fits into the 64 bits with which instances tell each other."""


class StoreError(Exception):
    """The store gave no usable answer; ``reason`` is ``timeout``, ``unreachable``, ``refused``."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.frozen
class Value:
    """One key as read; ``revision`` is 0 for a key that does not exist."""

    key: str
    text: str
    revision: int


class Store:
    """Reads, compare-and-swaps and watches, each counted."""

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

    async def read(self, key: str) -> Value:
        """
        Read one key, linearizably.

        :raises StoreError: no answer
        """
        found = await self._call("range", {"key": _pack(key)})
        values = _values(found)
        return values[0] if values else Value(key, "", 0)

    async def read_prefix(self, prefix: str) -> list[Value]:
        """
        Read every key that starts with a prefix, in order.

        :raises StoreError: no answer
        """
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        found = await self._call("range", {"key": _pack(prefix), "range_end": _pack(end)})
        return _values(found)

    async def swap(self, expected: abc.Sequence[Value], puts: dict[str, str]) -> int:
        """
        Write all keys if each expected key is still as it was read; else write none.

        A store that returns from a copy gives revisions out again: a key with the same revision may
        hold something else. So contents are compared as well.

        :param expected: values as they were read, with revision 0 for a key that must not exist
        :returns: the revision that the written keys have now; 0: nothing was written
        :raises StoreError: no answer; **the write may have taken effect**
        """
        compare = [each for value in expected for each in _comparisons(value)]
        success = [
            {"request_put": {"key": _pack(key), "value": _pack(text)}} for key, text in puts.items()
        ]
        answer = await self._call("txn", {"compare": compare, "success": success})
        if not answer.get("succeeded", False):
            return 0
        try:
            return int(answer["header"]["revision"])
        except (KeyError, TypeError, ValueError) as error:
            raise self._failed(ValueError()) from error

    async def delete(self, key: str) -> None:
        """
        Remove one key.

        :raises StoreError: no answer; the key may be gone
        """
        await self._call("deleterange", {"key": _pack(key)})

    async def watch(self, prefix: str) -> abc.AsyncIterator[Value]:
        """
        Yield each write below a prefix, until the stream breaks.

        :raises StoreError: the stream could not be opened or broke
        """
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        body = {"create_request": {"key": _pack(prefix), "range_end": _pack(end)}}
        self._counters.add("store.call.watch")
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._timeout_s)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", json=body, timeout=timeout
            ) as response:
                self._hear_era(response)
                async for line in response.content:
                    for event in json.loads(line).get("result", {}).get("events", []):
                        yield _value(event["kv"])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError) as error:
            raise self._failed(error) from error
        raise self._failed(ConnectionResetError())

    async def _call(self, operation: str, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        self._counters.add(f"store.call.{operation}")
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._session.post(
                    f"{self._url}/v3/kv/{operation}", json=body
                ) as response:
                    self._hear_era(response)
                    if response.status != 200:
                        raise aiohttp.ClientError(f"status {response.status}")
                    return await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            raise self._failed(error) from error

    def _hear_era(self, response: aiohttp.ClientResponse) -> None:
        told = response.headers.get(_ERA_HEADER, "")
        if told.isascii() and told.isdigit() and len(told) <= _ERA_DIGITS:
            self.eras.observe(int(told))

    def _failed(self, error: BaseException) -> StoreError:
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
    """Hold a client with its few connections for the length of the block."""
    connector = aiohttp.TCPConnector(limit=8)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield Store(session, url, timeout_ms, counters, eras)


def _comparisons(value: Value) -> list[dict[str, str]]:
    same = {"key": _pack(value.key), "result": "EQUAL"}
    found = [same | {"target": "MOD", "mod_revision": str(value.revision)}]
    if value.revision:
        found.append(same | {"target": "VALUE", "value": _pack(value.text)})
    return found


def _pack(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _values(answer: dict[str, typing.Any]) -> list[Value]:
    return [_value(item) for item in answer.get("kvs", [])]


def _value(item: dict[str, typing.Any]) -> Value:
    text = base64.b64decode(item.get("value", "")).decode()
    return Value(base64.b64decode(item["key"]).decode(), text, int(item["mod_revision"]))
