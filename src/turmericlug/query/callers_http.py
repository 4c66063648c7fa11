"""The callers' HTTP interface: queries, entry addresses, liveness and readiness."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import re
import typing
from collections import abc

from aiohttp import web

from turmericlug.config import settings as settings_module
from turmericlug.kernel import tasks
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.query import coordinator as coordinator_module
from turmericlug.query import outcome as outcome_module
from turmericlug.records import records as records_module
from turmericlug.rules import configuration
from turmericlug.rules import model
from turmericlug.telemetry import counters as counters_module

CALLER = "Turmericlug-Caller"
DATA_CENTRE = "Turmericlug-Data-Centre"
DEADLINE_MS = "Turmericlug-Deadline-Ms"
PRIORITY = "Turmericlug-Priority"
IDEMPOTENCY_KEY = "Idempotency-Key"
MOVE_TO = "Turmericlug-Move-To"
_FIELDS = {
    "service",
    "body",
    "caller",
    "data_centre",
    "deadline_ms",
    "priority",
    "repeatable",
    "idempotency_key",
}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,63}\Z")
_MOST_HEADERS_BYTES = 8190
_MOST_ADDRESSES = 16


class BadRequestError(Exception):
    """A request that can't become a query; ``reason`` is a counter, ``detail`` for people."""

    def __init__(self, reason: str, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.status = status


class CallersHttp:
    """Handlers of the callers' port."""

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        mesh: mesh_module.Mesh,
        coordinator: coordinator_module.Coordinator,
        counters: counters_module.Counters,
    ) -> None:
        self._settings = settings
        self._config = config
        self._members = mesh.members
        self._coordinator = coordinator
        self._counters = counters
        self._rng = random.Random(settings.instance.name)
        self._shielded = tasks.Tasks()

    def application(self) -> web.Application:
        """Build the routes."""
        limit = self._settings.limits.max_body_bytes
        application = web.Application(client_max_size=limit, middlewares=[self._errors])
        application.router.add_post("/v1/query", self._query)
        application.router.add_get("/v1/addresses", self._addresses)
        application.router.add_get("/v1/live", self._live)
        application.router.add_get("/v1/ready", self._ready)
        return application

    @web.middleware
    async def _errors(
        self,
        request: web.Request,
        handler: abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except BadRequestError as error:
            return self._rejected(error.status, error.reason, error.detail)
        except web.HTTPRequestEntityTooLarge:
            limit = self._settings.limits.max_body_bytes
            return self._rejected(413, "too_large", f"the body has more than {limit} bytes")
        except web.HTTPException as error:
            return self._rejected(error.status, f"http_{error.status}", error.reason)

    def _rejected(self, status: int, reason: str, detail: str) -> web.Response:
        self._counters.add(f"query.bad_request.{reason}")
        text = {"outcome": "rejected", "ran": "no", "reason": reason, "detail": detail}
        return web.json_response(text, status=status)

    async def _query(self, request: web.Request) -> web.StreamResponse:
        query = self._checked(request, await request.read())
        query_id = self._coordinator.new_id()
        work = self._coordinator.run(query, query_id)
        if query.idempotency_key:
            # A caller that hangs up cancels its query, but not one that may run only once: its
            # outcome has to be recorded for the repeat that follows.
            outcome = await asyncio.shield(self._shielded.start(work))
        else:
            outcome = await work
        return self._response(outcome, query_id)

    def _response(self, outcome: outcome_module.Outcome, query_id: str) -> web.Response:
        status, headers = 200, {}
        if isinstance(outcome, outcome_module.Refused):
            status = 429 if outcome.reason == "rate_limit" else 503
        elif isinstance(outcome, outcome_module.Failed):
            status = 504
        come_back_ms = getattr(outcome, "come_back_ms", 0)
        if come_back_ms:
            headers["Retry-After"] = str(math.ceil(come_back_ms / 1000))
        move_to = self._move_to()
        if move_to:
            headers[MOVE_TO] = move_to
        text = outcome_module.to_json(outcome, self._settings.instance.name, query_id)
        return web.Response(
            text=text, status=status, headers=headers, content_type="application/json"
        )

    def _move_to(self) -> str:
        """Name another entry to callers of a leaving instance; empty if they may stay."""
        if self._members.own.state != members_module.LEAVING:
            return ""
        entries = self._entries()
        return f"{entries[0].host}:{entries[0].callers_port}" if entries else ""

    def _checked(self, request: web.Request, raw: bytes) -> coordinator_module.Query:
        """
        Turn a request into a query.

        :raises BadRequestError: on the first thing that is wrong; nothing runs then
        """
        plain = _parsed(raw)
        headers = request.headers
        key = _text(plain, "idempotency_key", headers.get(IDEMPOTENCY_KEY, ""))
        repeatable = plain.get("repeatable", not key)
        if not isinstance(repeatable, bool):
            raise BadRequestError("malformed", "repeatable must be true or false")
        if key and repeatable:
            raise BadRequestError("contradiction", "a request with a key is not repeatable")
        if not key and not repeatable:
            detail = f"what may not be repeated needs an idempotency key ({IDEMPOTENCY_KEY})"
            raise BadRequestError("idempotency_key_missing", detail)
        service = self._service(plain, bool(key))
        deadline_ms = self._deadline_ms(plain, headers.get(DEADLINE_MS))
        priority = _whole(plain.get("priority", headers.get(PRIORITY)), "priority")
        if priority is not None and not 0 <= priority <= model.MAX_PRIORITY:
            raise BadRequestError("malformed", f"priority must be 0 to {model.MAX_PRIORITY}")
        return coordinator_module.Query(
            service=service,
            body=json.dumps(plain.get("body", {}), separators=(",", ":")).encode(),
            caller=_name(_text(plain, "caller", headers.get(CALLER, "")), "caller"),
            data_centre=_text(plain, "data_centre", headers.get(DATA_CENTRE, "")),
            deadline_ms=deadline_ms,
            priority=priority,
            headers={name.lower(): value for name, value in headers.items()},
            repeatable=repeatable,
            idempotency_key=key,
            key_created_at_s=self._created_at_s(key) if key else 0,
        )

    def _created_at_s(self, key: str) -> int:
        try:
            return records_module.created_at_s(key, self._settings.policy.record_retention_s)
        except records_module.InvalidKeyError as error:
            detail = "a key is <unix second of its making>-<name of your choice>, and lately made"
            raise BadRequestError(str(error), detail) from error

    def _service(self, plain: dict[str, typing.Any], once: bool) -> str:
        name = plain.get("service")
        if not isinstance(name, str) or not name:
            raise BadRequestError("malformed", "service must name a service or a group")
        catalog = self._config.catalog
        members = catalog.members_of(name)
        if not members and self._config.freshness.is_current():
            raise BadRequestError("unknown_service", f"no service or group {name!r}", 404)
        shards = sum(
            len(catalog.snapshots[-1].shards_of(each)) for each in members if catalog.snapshots
        )
        if once and shards > 1:
            detail = f"{name} has {shards} shards; a request that runs once goes to one"
            raise BadRequestError("several_shards", detail)
        return name

    def _deadline_ms(self, plain: dict[str, typing.Any], header: str | None) -> int:
        limits = self._settings.limits
        deadline_ms = _whole(plain.get("deadline_ms", header), "deadline_ms")
        if deadline_ms is None:
            return limits.default_deadline_ms
        if deadline_ms <= 0:
            raise BadRequestError("deadline_passed", "the deadline has passed")
        if deadline_ms > limits.max_deadline_ms:
            detail = f"the deadline is above {limits.max_deadline_ms} ms"
            raise BadRequestError("deadline_too_long", detail)
        return deadline_ms

    def _entries(self) -> list[members_module.Member]:
        """Rank the entries by load, leaving and suspected ones left out."""
        alive = [each for each in self._members.serving() if each.state == members_module.ALIVE]
        return sorted(alive, key=self._draw, reverse=True)

    def _draw(self, member: members_module.Member) -> float:
        """
        Draw a place in a weighted shuffle: the less load, the likelier to come first.

        A plain sort by load sends every caller to the one least loaded instance until its next
        report; drawn by weight, callers spread and still avoid the loaded ones.
        """
        weight = 1000 / (250 + member.load_permille)
        return self._rng.random() ** (1 / weight)

    async def _addresses(self, request: web.Request) -> web.Response:
        centre = request.query.get("data_centre", "")
        entries = self._entries()
        entries.sort(key=lambda each: each.data_centre != centre)
        entries = entries[:_MOST_ADDRESSES]
        addresses = [
            {
                "instance": each.instance,
                "host": each.host,
                "port": each.callers_port,
                "data_centre": each.data_centre,
            }
            for each in entries
        ]
        lifetime_ms = self._settings.policy.address_lifetime_ms
        return web.json_response({"addresses": addresses, "lifetime_ms": lifetime_ms})

    async def _live(self, request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _ready(self, request: web.Request) -> web.Response:
        current = self._config.freshness.is_current()
        leaving = self._members.own.state == members_module.LEAVING
        ready = current and self._members.own.ready and not leaving
        text = {"ready": ready, "current": current, "leaving": leaving}
        return web.json_response(text, status=200 if ready else 503)

    async def finish(self) -> None:
        """Wait for the requests that outlive their callers."""
        await self._shielded.finish()


def _parsed(raw: bytes) -> dict[str, typing.Any]:
    try:
        plain = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("malformed", f"the body is not JSON: {error}") from error
    if not isinstance(plain, dict):
        raise BadRequestError("malformed", "the body must be a JSON object")
    unknown = sorted(set(plain) - _FIELDS)
    if unknown:
        raise BadRequestError("malformed", f"unknown field {unknown[0]!r}")
    return plain


def _text(plain: dict[str, typing.Any], key: str, default: str) -> str:
    value = plain.get(key, default)
    if not isinstance(value, str):
        raise BadRequestError("malformed", f"{key} must be a text")
    return value


def _name(value: str, key: str) -> str:
    if not _NAME.match(value):
        detail = f"{key} must be 1 to 64 letters, digits, '.', '_', '@' or '-' ({CALLER})"
        raise BadRequestError("caller_missing", detail)
    return value


def _whole(value: typing.Any, key: str) -> int | None:
    if value is None:
        return None
    if isinstance(value, str) and re.fullmatch(r"-?[0-9]{1,9}", value):
        return int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise BadRequestError("malformed", f"{key} must be a whole number")
    return value


@contextlib.asynccontextmanager
async def serving(
    application: web.Application, host: str, port: int
) -> abc.AsyncIterator[web.AppRunner]:
    """Serve an application for the length of the block."""
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=1.0,
        max_line_size=_MOST_HEADERS_BYTES,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        yield runner
    finally:
        await runner.cleanup()
