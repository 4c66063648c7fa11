"""Stand-in for the platform's store: keys, leases that expire, watches and conditional writes."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
import urllib.parse

from lib import http_messages

JSON = {"Content-Type": "application/json"}
MAX_ITEMS = 500
ANSWER_S = 0.004
"""Time that each answer takes, as the sheets say of the platform's store."""


class Store:
    """A store without disruptions."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 100
        self.leases: dict[int, tuple[float, float]] = {}
        """Duration and end of each lease."""
        self.renewed_s: dict[int, float] = {}
        """When each lease was renewed last."""
        self._lease_ids = itertools.count(7000)
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self._expiry = asyncio.create_task(self._expire_leases())

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write a key, as the operator or a replica does."""
        self._put(key, json.dumps(value).encode(), lease)

    def _put(self, key: str, content: bytes, lease: int) -> None:
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": base64.b64encode(content).decode(), "Lease": lease}
        item |= {"Revision": self.revision, "Created": created}
        self.items[key] = item
        self._publish(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"Key": key, "Revision": self.revision, "Tombstone": True})

    def _publish(self, event: dict) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease in [lease for lease, (_, end_s) in self.leases.items() if now_s >= end_s]:
                self._end_lease(lease)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await http_messages.read(reader)) is not None:
                status, body = await self._answer(message)
                await asyncio.sleep(ANSWER_S)
                writer.write(http_messages.response(status, JSON, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, message: http_messages.Message) -> tuple[int, object]:
        path, _, query = message.start[1].partition("?")
        call, _, argument = path.removeprefix("/turmericlug/").partition("/")
        values = {key: value[0] for key, value in urllib.parse.parse_qs(query).items()}
        body = json.loads(message.body or b"{}")
        match call:
            case "kv-range":
                return self._range(values.get("Prefix", ""), values.get("after", ""))
            case "kv-watch":
                return await self._watch(
                    values.get("Prefix", ""), int(values["after"]), int(values["WaitMs"]) / 1000
                )
            case "kv-lease":
                lease, duration_s = next(self._lease_ids), body["TtlMs"] / 1000
                self.leases[lease] = (duration_s, time.monotonic() + duration_s)
                return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
            case "kv-keep":
                if int(argument) not in self.leases:
                    return 404, {}
                duration_s, _ = self.leases[int(argument)]
                self.renewed_s[int(argument)] = time.monotonic()
                self.leases[int(argument)] = (duration_s, time.monotonic() + duration_s)
                return 200, {"TtlMs": round(duration_s * 1000)}
            case "kv-lease-end":
                self._end_lease(int(argument))
                return 200, {}
            case "kv-txn":
                return self._transact(body)
        return 400, {}

    def _range(self, prefix: str, after: str) -> tuple[int, object]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:MAX_ITEMS]]
        return 200, {"items": items, "HasMore": len(keys) > MAX_ITEMS, "AsOf": self.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, object]:
        end_s = time.monotonic() + wait_s
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, object]:
        expected = {row["Key"]: row["Revision"] for row in body["ExpectedRev"]}
        current = {key: self.items[key]["Revision"] for key in expected if key in self.items}
        if any(current.get(key, 0) != revision for key, revision in expected.items()):
            return 412, {"items": [self.items[key] for key in current]}
        if any(put["Lease"] and put["Lease"] not in self.leases for put in body["Puts"]):
            return 404, {}
        for key in body["Remove"]:
            self.remove(key)
        for put in body["Puts"]:
            self._put(put["Key"], base64.b64decode(put["Value"]), put["Lease"])
        return 200, {"Revision": self.revision}
