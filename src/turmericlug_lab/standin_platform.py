"""Stand-in for the platform: a store (etcd v3 JSON gateway) and an instance list (Consul)."""

from __future__ import annotations

import asyncio
import base64
import collections
import json
import time
import typing
from collections import abc

import attrs
from aiohttp import web

from turmericlug_lab import listening


@attrs.define
class Behaviour:
    """Delays and faults of the platform; control requests change them."""

    store_delay_ms: float = 1.0
    store_down: bool = False
    store_hangs: bool = False
    lose_answers: int = 0
    """Apply this many writes, but abort the connection instead of responding."""
    list_lag_ms: float = 0.0
    lose_writes: int = 0
    """Restore, once, a backup without this many of the latest writes; reuse their revisions."""


ERA_HEADER = "Store-Era"
"""Response header with a counter that every restore of a backup increments."""
_MAX_BACKUPS = 100
"""Number of latest writes that a restore can undo; a backup precedes each write."""


@attrs.frozen
class _Entry:
    value: str
    mod_revision: int
    create_revision: int


class Store:
    """In-memory key-value store with revisions; values stay base64-encoded as on the wire."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.calls: collections.Counter[str] = collections.Counter()
        self._entries: dict[bytes, _Entry] = {}
        self._backups: collections.deque[tuple[int, dict[bytes, _Entry]]] = collections.deque(
            maxlen=_MAX_BACKUPS
        )
        self._revision = 0
        self._era = 1
        self._watches: set[tuple[bytes, bytes, asyncio.Queue[dict[str, typing.Any]]]] = set()

    def add_routes(self, application: web.Application) -> None:
        """Add the store's routes."""
        router = application.router
        router.add_post("/v3/kv/range", self._with_faults(self._range))
        router.add_post("/v3/kv/txn", self._with_faults(self._txn))
        router.add_post("/v3/watch", self._watch)

    def _with_faults(
        self, handler: abc.Callable[[dict[str, typing.Any]], dict[str, typing.Any]]
    ) -> abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]:
        async def handle(request: web.Request) -> web.StreamResponse:
            call_name = handler.__name__.strip("_")
            self.calls[call_name] += 1
            body = await request.json()
            await asyncio.sleep(self.behaviour.store_delay_ms / 1000)
            while self.behaviour.store_hangs:
                await asyncio.sleep(0.05)
            if self.behaviour.store_down:
                return self._unavailable_response()
            if self.behaviour.lose_writes > 0:
                self._restore_backup()
            result = handler(body)
            if call_name == "txn" and self.behaviour.lose_answers > 0:
                self.behaviour.lose_answers -= 1
                self.calls["lost"] += 1
                if request.transport is not None:
                    request.transport.abort()
            payload = {"header": {"revision": str(self._revision)}, **result}
            return web.json_response(payload, headers=self._response_headers())

        return handle

    def _response_headers(self) -> dict[str, str]:
        return {ERA_HEADER: str(self._era)}

    def _unavailable_response(self) -> web.Response:
        payload = {"error": "unavailable", "code": 14}
        return web.json_response(payload, status=503, headers=self._response_headers())

    def _save_backup(self) -> None:
        self._backups.append((self._revision, dict(self._entries)))

    def _restore_backup(self) -> None:
        for _ in range(min(self.behaviour.lose_writes, len(self._backups))):
            self._revision, self._entries = self._backups.pop()
        self.behaviour.lose_writes = 0
        self._era += 1

    def _select(self, body: dict[str, typing.Any]) -> list[tuple[bytes, _Entry]]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body["range_end"]) if "range_end" in body else key + b"\0"
        return [
            (stored_key, self._entries[stored_key])
            for stored_key in sorted(self._entries)
            if key <= stored_key < end
        ]

    def _range(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        key_values = [_encode_key_value(key, entry) for key, entry in self._select(body)]
        return {"kvs": key_values, "count": str(len(key_values))}

    def _txn(self, body: dict[str, typing.Any]) -> dict[str, typing.Any]:
        for compare in body.get("compare", []):
            entry = self._entries.get(base64.b64decode(compare["key"]))
            if compare["target"] == "VALUE":
                matches = entry is not None and entry.value == compare["value"]
            else:
                matches = (entry.mod_revision if entry else 0) == int(compare["mod_revision"])
            if not matches:
                return {"succeeded": False}
        self._save_backup()
        self._revision += 1
        for operation in body.get("success", []):
            if "request_delete_range" in operation:
                for key, _ in self._select(operation["request_delete_range"]):
                    del self._entries[key]
                continue
            put = operation["request_put"]
            key = base64.b64decode(put["key"])
            previous = self._entries.get(key)
            create_revision = previous.create_revision if previous else self._revision
            self._entries[key] = _Entry(put["value"], self._revision, create_revision)
            self._notify(key)
        return {"succeeded": True}

    def _notify(self, key: bytes) -> None:
        for start, end, queue in self._watches:
            if start <= key < end:
                queue.put_nowait({"type": "PUT", "kv": _encode_key_value(key, self._entries[key])})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["watch"] += 1
        if self.behaviour.store_down or self.behaviour.store_hangs:
            return self._unavailable_response()
        era = self._era
        create = (await request.json())["create_request"]
        key = base64.b64decode(create["key"])
        end = base64.b64decode(create["range_end"]) if "range_end" in create else key + b"\0"
        queue: asyncio.Queue[dict[str, typing.Any]] = asyncio.Queue()
        watch = (key, end, queue)
        self._watches.add(watch)
        headers = {"Content-Type": "application/json"} | self._response_headers()
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


def _encode_key_value(key: bytes, entry: _Entry) -> dict[str, typing.Any]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": entry.value,
        "mod_revision": str(entry.mod_revision),
        "create_revision": str(entry.create_revision),
    }


class InstanceList:
    """Registered instances; a change becomes visible after ``list_lag_ms``."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self._registrations: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._visible: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self._pending: list[tuple[float, tuple[str, str], dict[str, typing.Any] | None]] = []
        self._index = 0

    def add_routes(self, application: web.Application) -> None:
        """Add the list's routes."""
        application.router.add_put("/v1/catalog/register", self._register)
        application.router.add_put("/v1/catalog/deregister", self._deregister)
        application.router.add_get("/v1/health/service/{service}", self._health)

    async def _register(self, request: web.Request) -> web.Response:
        registration = await request.json()
        service = registration["Service"]
        instance_key = (service["Service"], service["ID"])
        self._index += 1
        previous = self._registrations.get(instance_key)
        same_port = previous is not None and previous["Service"]["Port"] == service["Port"]
        create_index = previous["Service"]["CreateIndex"] if same_port and previous else self._index
        status = registration.get("Check", {}).get("Status", "passing")
        entry = {
            "Node": {"Node": registration["Node"], "Datacenter": registration["Datacenter"]},
            "Service": {**service, "CreateIndex": create_index, "ModifyIndex": self._index},
            "Checks": [{"Status": status}],
        }
        self._registrations[instance_key] = entry
        self._schedule_change(instance_key, entry)
        return web.json_response(True)

    async def _deregister(self, request: web.Request) -> web.Response:
        request_body = await request.json()
        for instance_key in [
            key for key in self._registrations if key[1] == request_body["ServiceID"]
        ]:
            del self._registrations[instance_key]
            self._schedule_change(instance_key, None)
        return web.json_response(True)

    def _schedule_change(
        self, instance_key: tuple[str, str], entry: dict[str, typing.Any] | None
    ) -> None:
        due_s = time.monotonic() + self.behaviour.list_lag_ms / 1000
        self._pending.append((due_s, instance_key, entry))

    async def _health(self, request: web.Request) -> web.Response:
        now_s = time.monotonic()
        due_changes = [change for change in self._pending if change[0] <= now_s]
        self._pending = [change for change in self._pending if change[0] > now_s]
        for _, instance_key, entry in due_changes:
            if entry is None:
                self._visible.pop(instance_key, None)
            else:
                self._visible[instance_key] = entry
        service = request.match_info["service"]
        return web.json_response(
            [entry for key, entry in self._visible.items() if key[0] == service]
        )


async def serve(host: str, port: int) -> None:
    """Serve the store and the instance list until cancelled."""
    behaviour = Behaviour()
    store, instances = Store(behaviour), InstanceList(behaviour)

    async def control(request: web.Request) -> web.Response:
        for field_name, value in (await request.json()).items():
            setattr(behaviour, field_name, value)
        return web.json_response({})

    async def stats(request: web.Request) -> web.Response:
        return web.json_response(dict(store.calls))

    application = web.Application(client_max_size=1 << 22)
    store.add_routes(application)
    instances.add_routes(application)
    application.router.add_post("/control", control)
    application.router.add_get("/control", stats)
    async with listening.serving("platform", application, host, port):
        await asyncio.Event().wait()
