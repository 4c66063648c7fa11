"""Stand-in for the platform: a store (etcd v3 JSON gateway) and a list (Consul catalogue)."""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import json
import time
import typing
from collections import abc

import attrs
from aiohttp import web


@attrs.define
class Behaviour:
    """How the platform acts; a control call changes it while it runs."""

    store_delay_ms: float = 1.0
    store_down: bool = False
    store_hangs: bool = False
    lose_answers: int = 0
    """This many writes take effect and their answers are lost."""
    list_lag_ms: float = 0.0
    lose_writes: int = 0
    """Set once: the store returns from a copy without so many of its latest writes, and gives their
    revisions out again."""


ERA_HEADER = "Store-Era"
"""Tells in every answer how often the store has returned from a copy."""
_COPIES = 100
"""Writes back to which the store can return."""


@attrs.frozen
class _Entry:
    value: str
    mod_revision: int
    create_revision: int


class Store:
    """Keys with revisions, in memory; keys and values stay base64 as the protocol has them."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.calls: collections.Counter[str] = collections.Counter()
        self._entries: dict[bytes, _Entry] = {}
        self._copies: collections.deque[tuple[int, dict[bytes, _Entry]]] = collections.deque(
            maxlen=_COPIES
        )
        self._revision = 0
        self._era = 1
        self._watches: set[tuple[bytes, bytes, asyncio.Queue[dict[str, typing.Any]]]] = set()

    def routes(self, application: web.Application) -> None:
        """Add the store's routes."""
        router = application.router
        router.add_post("/v3/kv/range", self._guarded(self._range))
        router.add_post("/v3/kv/txn", self._guarded(self._txn))
        router.add_post("/v3/kv/deleterange", self._guarded(self._delete))
        router.add_post("/v3/watch", self._watch)

    def _guarded(
        self, action: abc.Callable[[dict[str, typing.Any]], dict[str, typing.Any]]
    ) -> abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]:
        async def handle(request: web.Request) -> web.StreamResponse:
            kind = action.__name__.strip("_")
            self.calls[kind] += 1
            body = await request.json()
            await asyncio.sleep(self.behaviour.store_delay_ms / 1000)
            while self.behaviour.store_hangs:
                await asyncio.sleep(0.05)
            if self.behaviour.store_down:
                return self._unavailable()
            if self.behaviour.lose_writes > 0:
                self._return_from_copy()
            answer = action(body)
            if kind == "txn" and self.behaviour.lose_answers > 0:
                self.behaviour.lose_answers -= 1
                self.calls["lost"] += 1
                if request.transport is not None:
                    request.transport.abort()
            plain = {"header": {"revision": str(self._revision)}, **answer}
            return web.json_response(plain, headers=self._headers())

        return handle

    def _headers(self) -> dict[str, str]:
        return {ERA_HEADER: str(self._era)}

    def _unavailable(self) -> web.Response:
        plain = {"error": "unavailable", "code": 14}
        return web.json_response(plain, status=503, headers=self._headers())

    def _keep_copy(self) -> None:
        self._copies.append((self._revision, dict(self._entries)))

    def _return_from_copy(self) -> None:
        for _ in range(min(self.behaviour.lose_writes, len(self._copies))):
            self._revision, self._entries = self._copies.pop()
        self.behaviour.lose_writes = 0
        self._era += 1

    def _selected(self, body: dict[str, typing.Any]) -> list[tuple[bytes, _Entry]]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body["range_end"]) if "range_end" in body else key + b"\0"
        return [(k, self._entries[k]) for k in sorted(self._entries) if key <= k < end]

    def _range(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        found = [_plain(key, entry) for key, entry in self._selected(body)]
        return {"kvs": found, "count": str(len(found))}

    def _txn(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        for compare in body.get("compare", []):
            entry = self._entries.get(base64.b64decode(compare["key"]))
            if compare["target"] == "VALUE":
                same = entry is not None and entry.value == compare["value"]
            else:
                same = (entry.mod_revision if entry else 0) == int(compare["mod_revision"])
            if not same:
                return {"succeeded": False}
        self._keep_copy()
        self._revision += 1
        for operation in body.get("success", []):
            put = operation["request_put"]
            key = base64.b64decode(put["key"])
            old = self._entries.get(key)
            created = old.create_revision if old else self._revision
            self._entries[key] = _Entry(put["value"], self._revision, created)
            self._notify(key)
        return {"succeeded": True}

    def _delete(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        selected = self._selected(body)
        self._keep_copy()
        self._revision += 1
        for key, _ in selected:
            del self._entries[key]
        return {"deleted": str(len(selected))}

    def _notify(self, key: bytes) -> None:
        for start, end, queue in self._watches:
            if start <= key < end:
                queue.put_nowait({"type": "PUT", "kv": _plain(key, self._entries[key])})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["watch"] += 1
        if self.behaviour.store_down or self.behaviour.store_hangs:
            return self._unavailable()
        era = self._era
        create = (await request.json())["create_request"]
        key = base64.b64decode(create["key"])
        end = base64.b64decode(create["range_end"]) if "range_end" in create else key + b"\0"
        queue: asyncio.Queue[dict[str, typing.Any]] = asyncio.Queue()
        watch = (key, end, queue)
        self._watches.add(watch)
        headers = {"Content-Type": "application/json"} | self._headers()
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        try:
            await response.write(json.dumps({"result": {"created": True}}).encode() + b"\n")
            while era == self._era and not (
                self.behaviour.store_down or self.behaviour.store_hangs
            ):
                try:
                    async with asyncio.timeout(0.05):
                        event = await queue.get()
                except TimeoutError:
                    continue
                await response.write(json.dumps({"result": {"events": [event]}}).encode() + b"\n")
        finally:
            self._watches.discard(watch)
        if request.transport is not None:
            request.transport.abort()
        return response


def _plain(key: bytes, entry: _Entry) -> dict[str, typing.Any]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": entry.value,
        "mod_revision": str(entry.mod_revision),
        "create_revision": str(entry.create_revision),
    }


class InstanceList:
    """Registered instances; a change shows only after the lag."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self._registered: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._shown: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._pending: list[tuple[float, tuple[str, str], dict[str, typing.Any] | None]] = []
        self._index = 0

    def routes(self, application: web.Application) -> None:
        """Add the list's routes."""
        application.router.add_put("/v1/catalog/register", self._register)
        application.router.add_put("/v1/catalog/deregister", self._deregister)
        application.router.add_get("/v1/health/service/{service}", self._health)

    async def _register(self, request: web.Request) -> web.Response:
        plain = await request.json()
        service = plain["Service"]
        name = (service["Service"], service["ID"])
        self._index += 1
        old = self._registered.get(name)
        same = old is not None and old["Service"]["Port"] == service["Port"]
        created = old["Service"]["CreateIndex"] if same and old else self._index
        status = plain.get("Check", {}).get("Status", "passing")
        entry = {
            "Node": {"Node": plain["Node"], "Datacenter": plain["Datacenter"]},
            "Service": {**service, "CreateIndex": created, "ModifyIndex": self._index},
            "Checks": [{"Status": status}],
        }
        self._registered[name] = entry
        self._later(name, entry)
        return web.json_response(True)

    async def _deregister(self, request: web.Request) -> web.Response:
        plain = await request.json()
        for name in [each for each in self._registered if each[1] == plain["ServiceID"]]:
            del self._registered[name]
            self._later(name, None)
        return web.json_response(True)

    def _later(self, name: tuple[str, str], entry: dict[str, typing.Any] | None) -> None:
        due_s = time.monotonic() + self.behaviour.list_lag_ms / 1000
        self._pending.append((due_s, name, entry))

    async def _health(self, request: web.Request) -> web.Response:
        now_s = time.monotonic()
        due = [each for each in self._pending if each[0] <= now_s]
        self._pending = [each for each in self._pending if each[0] > now_s]
        for _, name, entry in due:
            if entry is None:
                self._shown.pop(name, None)
            else:
                self._shown[name] = entry
        service = request.match_info["service"]
        return web.json_response([e for n, e in self._shown.items() if n[0] == service])


async def serve(host: str, port: int) -> None:
    """Serve the platform until cancelled."""
    behaviour = Behaviour()
    store, instances = Store(behaviour), InstanceList(behaviour)

    async def control(request: web.Request) -> web.Response:
        for key, value in (await request.json()).items():
            setattr(behaviour, key, value)
        return web.json_response({})

    async def report(request: web.Request) -> web.Response:
        return web.json_response(dict(store.calls))

    application = web.Application(client_max_size=1 << 22)
    store.routes(application)
    instances.routes(application)
    application.router.add_post("/control", control)
    application.router.add_get("/control", report)
    runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        await asyncio.Event().wait()
    finally:
        with contextlib.suppress(Exception):
            await runner.cleanup()
