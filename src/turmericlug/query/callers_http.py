"""HTTP interface for callers: queries, instance addresses, liveness and readiness."""

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
from turmericlug.http1 import request_budget
from turmericlug.kernel import failures
from turmericlug.kernel import tasks
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.owner import reply_budget
from turmericlug.query import coordinator as coordinator_module
from turmericlug.query import outcome as outcome_module
from turmericlug.records import records as records_module
from turmericlug.rules import configuration
from turmericlug.rules import model
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events

CALLER_HEADER = "Turmericlug-Caller"
DATA_CENTRE_HEADER = "Turmericlug-Data-Centre"
DEADLINE_MS_HEADER = "Turmericlug-Deadline-Ms"
PRIORITY_HEADER = "Turmericlug-Priority"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MOVE_TO_HEADER = "Turmericlug-Move-To"
_QUERY_FIELDS = {
    "service",
    "body",
    "caller",
    "data_centre",
    "deadline_ms",
    "priority",
    "repeatable",
    "idempotency_key",
}
_CALLER_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,63}\Z")
NO_MEMORY = "memory"
"""Reason of a request that is refused unread for want of memory."""
_MAX_LINE_BYTES = 8190
_READ_BUFFER_BYTES = 16 * 1024
"""Received and not read yet from one connection, at which it pauses."""
_MAX_ADDRESSES = 16
LEAVING = "leaving"
"""Reason for refusing a request: this instance has left, and its address is not valid any more."""
_WRITE_BYTES = 64 * 1024
"""Written at once of an answer; the rest waits until the caller has taken most of it."""
_FLUSH_INTERVAL_S = 0.01
_TAKE_TIMEOUT_S = 10.0
"""Time without progress after which a caller counts as gone. Its answer holds memory that further
answers need."""


class BadRequestError(Exception):
    """An invalid request; ``reason`` names a counter, ``detail`` tells the caller what to fix."""

    def __init__(self, reason: str, detail: str, status: int = 400) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.status = status


class CallersHttp:
    """Request handlers of the callers' port."""

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
        self._shielded_tasks = tasks.Tasks()
        self._refuses_queries = False
        self.requests = request_budget.of_memory(settings.limits.requests_mb, 1.0)
        """The memory for the bodies of requests."""
        self.unanswered = 0
        """Queries whose callers have not taken the whole answer yet."""

    def refuse_queries(self) -> None:
        """Refuse queries that come on connections that are still open."""
        self._refuses_queries = True

    def application(self) -> web.Application:
        """Build the application with its routes."""
        max_bytes = self._settings.limits.max_body_bytes
        application = web.Application(client_max_size=max_bytes, middlewares=[self._convert_errors])
        application.router.add_post("/v1/query", self._query)
        application.router.add_get("/v1/addresses", self._addresses)
        application.router.add_get("/v1/live", self._live)
        application.router.add_get("/v1/ready", self._ready)
        return application

    @web.middleware
    async def _convert_errors(
        self,
        request: web.Request,
        handler: abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        try:
            return await handler(request)
        except BadRequestError as error:
            return self._reject(error.status, error.reason, error.detail)
        except web.HTTPRequestEntityTooLarge:
            max_bytes = self._settings.limits.max_body_bytes
            return self._reject(413, "too_large", f"the body has more than {max_bytes} bytes")
        except web.HTTPException as error:
            return self._reject(error.status, f"http_{error.status}", error.reason)

    def _reject(self, status: int, reason: str, detail: str) -> web.Response:
        self._counters.add(f"query.bad_request.{reason}")
        payload = {"outcome": "rejected", "ran": "no", "reason": reason, "detail": detail}
        return web.json_response(payload, status=status)

    async def _query(self, request: web.Request) -> web.StreamResponse:
        with self._reserving() as reserve:
            body = await self._read_body(request, reserve)
            self.unanswered += 1
            try:
                return await self._answer_query(request, body)
            finally:
                self.unanswered -= 1

    async def _answer_query(self, request: web.Request, body: bytes) -> web.StreamResponse:
        with reply_budget.held(self._coordinator.replies) as held:
            query = self._parse_query(request, body, held)
            query_id = self._coordinator.new_id()
            if self._refuses_queries:
                return await self._refuse_leaving(request, query.service, query_id)
            run = self._coordinator.run(query, query_id)
            if query.idempotency_key:
                # A caller that disconnects cancels its query, unless the query runs at most once:
                # its outcome has to be recorded for the retry that follows.
                outcome = await asyncio.shield(self._shielded_tasks.start(run))
            else:
                outcome = await run
            status, headers = self._status(outcome)
            body = outcome_module.to_json(outcome, self._settings.instance.name, query_id)
            del outcome
            return await self._write(request, status, headers, body)

    async def _refuse_leaving(
        self, request: web.Request, service: str, query_id: str
    ) -> web.StreamResponse:
        self._counters.add(f"query.refused.{LEAVING}")
        events.emit("query.refused", request=query_id, service=service, reason=LEAVING)
        outcome = outcome_module.Refused(LEAVING, 0)
        status, headers = self._status(outcome)
        body = outcome_module.to_json(outcome, self._settings.instance.name, query_id)
        return await self._write(request, status, headers, body, closes=True)

    @contextlib.contextmanager
    def _reserving(self) -> abc.Iterator[abc.Callable[[int], bool]]:
        """Provide a function that holds bytes of a request until the end of the block."""
        held_bytes = 0

        def reserve(size_bytes: int) -> bool:
            nonlocal held_bytes
            if not self.requests.reserve(size_bytes):
                return False
            held_bytes += size_bytes
            return True

        try:
            yield reserve
        finally:
            self.requests.release(held_bytes)

    async def _read_body(self, request: web.Request, reserve: abc.Callable[[int], bool]) -> bytes:
        """
        Read the body of a request.

        :raises BadRequestError: it is too long or too slow, or there is no memory for it
        """
        max_bytes = self._settings.limits.max_body_bytes
        pieces: list[bytes] = []
        size_bytes = 0
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_TAKE_TIMEOUT_S) as timeout:
                while piece := await request.content.readany():
                    timeout.reschedule(loop.time() + _TAKE_TIMEOUT_S)
                    size_bytes += len(piece)
                    if size_bytes > max_bytes:
                        raise web.HTTPRequestEntityTooLarge(max_bytes, size_bytes)
                    if not reserve(len(piece)):
                        detail = "the requests in progress take all the memory for them"
                        raise BadRequestError(NO_MEMORY, detail, 503)
                    pieces.append(piece)
            return b"".join(pieces)
        except TimeoutError as error:
            detail = f"nothing of the body came for {_TAKE_TIMEOUT_S} s"
            raise BadRequestError("body_too_slow", detail, 408) from error

    async def _write(
        self,
        request: web.Request,
        status: int,
        headers: dict[str, str],
        body: bytes,
        closes: bool = False,
    ) -> web.StreamResponse:
        """
        Write a response; close the connection if its caller takes nothing for too long.

        :param closes: whether the connection ends with the response in any case
        """
        response: web.StreamResponse
        if len(body) <= _WRITE_BYTES:
            response = web.Response(status=status, headers=headers, body=body)
            body = b""
        else:
            response = web.StreamResponse(status=status, headers=headers)
            response.content_length = len(body)
        if closes:
            response.force_close()
        view = memoryview(body)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_TAKE_TIMEOUT_S) as timeout:
                await response.prepare(request)
                for start in range(0, len(view), _WRITE_BYTES):
                    await response.write(view[start : start + _WRITE_BYTES])
                    timeout.reschedule(loop.time() + _TAKE_TIMEOUT_S)
                await response.write_eof()
                timeout.reschedule(loop.time() + _TAKE_TIMEOUT_S)
                await _flush(request)
        except TimeoutError:
            self._counters.add("query.answer_not_taken")
            if request.transport is not None:
                request.transport.abort()
        except ConnectionError:
            pass  # the caller has left
        return response

    def _status(self, outcome: outcome_module.Outcome) -> tuple[int, dict[str, str]]:
        """Return the status and the headers of a response."""
        status, headers = 200, {"Content-Type": "application/json; charset=utf-8"}
        if isinstance(outcome, outcome_module.Refused):
            status = 429 if outcome.reason == "rate_limit" else 503
        elif isinstance(outcome, outcome_module.Failed):
            status = 504
        retry_after_ms = getattr(outcome, "retry_after_ms", 0)
        if retry_after_ms:
            headers["Retry-After"] = str(math.ceil(retry_after_ms / 1000))
        move_to = failures.try_record("address", self._move_to_address)
        if move_to:
            headers[MOVE_TO_HEADER] = move_to
        return status, headers

    def _move_to_address(self) -> str:
        """Return another instance's address if this one is draining, an empty string otherwise."""
        if self._members.own.state != members_module.LEAVING:
            return ""
        members = self._ranked_members()
        return f"{members[0].host}:{members[0].callers_port}" if members else ""

    def _parse_query(
        self, request: web.Request, body: bytes, held: reply_budget.Held
    ) -> coordinator_module.Query:
        """
        Parse and check a request.

        :raises BadRequestError: on the first error; nothing runs then
        """
        payload = _parse_object(body)
        headers = request.headers
        key = _read_string(payload, "idempotency_key", headers.get(IDEMPOTENCY_KEY_HEADER, ""))
        repeatable = payload.get("repeatable", not key)
        if not isinstance(repeatable, bool):
            raise BadRequestError("malformed", "repeatable must be true or false")
        if key and repeatable:
            raise BadRequestError(
                "contradiction", "a request with an idempotency key must not be repeatable"
            )
        if not key and not repeatable:
            detail = (
                "a request that is not repeatable needs an idempotency key "
                f"({IDEMPOTENCY_KEY_HEADER})"
            )
            raise BadRequestError("idempotency_key_missing", detail)
        service = self._read_service(payload, bool(key))
        deadline_ms = self._read_deadline_ms(payload, headers.get(DEADLINE_MS_HEADER))
        priority = _read_integer(payload.get("priority", headers.get(PRIORITY_HEADER)), "priority")
        if priority is not None and not 0 <= priority <= model.MAX_PRIORITY:
            raise BadRequestError("malformed", f"priority must be 0 to {model.MAX_PRIORITY}")
        return coordinator_module.Query(
            service=service,
            body=json.dumps(payload.get("body", {}), separators=(",", ":")).encode(),
            caller=_check_name(
                _read_string(payload, "caller", headers.get(CALLER_HEADER, "")), "caller"
            ),
            data_centre=_read_string(payload, "data_centre", headers.get(DATA_CENTRE_HEADER, "")),
            deadline_ms=deadline_ms,
            priority=priority,
            headers={name.lower(): value for name, value in headers.items()},
            repeatable=repeatable,
            held=held,
            idempotency_key=key,
            key_created_at_s=self._key_created_at_s(key) if key else 0,
        )

    def _key_created_at_s(self, key: str) -> int:
        try:
            return records_module.created_at_s(key, self._settings.policy.record_retention_s)
        except records_module.InvalidKeyError as error:
            detail = "the idempotency key must be <Unix time in s>-<name> and recently created"
            raise BadRequestError(str(error), detail) from error

    def _read_service(self, payload: dict[str, typing.Any], runs_once: bool) -> str:
        name = payload.get("service")
        if not isinstance(name, str) or not name:
            raise BadRequestError("malformed", "service must be the name of a service or group")
        catalog = self._config.catalog
        services = catalog.members_of(name)
        if not services and self._config.freshness.is_current():
            raise BadRequestError("unknown_service", f"no service or group {name!r}", 404)
        shards = sum(
            len(catalog.snapshots[-1].shards_of(service))
            for service in services
            if catalog.snapshots
        )
        if runs_once and shards > 1:
            detail = f"{name} has {shards} shards; a request that runs at most once must have one"
            raise BadRequestError("several_shards", detail)
        return name

    def _read_deadline_ms(self, payload: dict[str, typing.Any], header: str | None) -> int:
        limits = self._settings.limits
        deadline_ms = _read_integer(payload.get("deadline_ms", header), "deadline_ms")
        if deadline_ms is None:
            return limits.default_deadline_ms
        if deadline_ms <= 0:
            raise BadRequestError("deadline_passed", "the deadline has passed")
        if deadline_ms > limits.max_deadline_ms:
            detail = f"the deadline must be at most {limits.max_deadline_ms} ms"
            raise BadRequestError("deadline_too_long", detail)
        return deadline_ms

    def _ranked_members(self) -> list[members_module.Member]:
        """Return the instances, neither draining nor suspected, in a shuffle weighted by load."""
        alive = [
            member for member in self._members.serving() if member.state == members_module.ALIVE
        ]
        return sorted(alive, key=self._draw_sort_key, reverse=True)

    def _draw_sort_key(self, member: members_module.Member) -> float:
        """
        Draw the sort key of a weighted shuffle: the lower the load, the likelier to come first.

        A plain sort by load would send every caller to the least loaded instance until its next
        report. A weighted shuffle spreads the callers and still avoids loaded instances.
        """
        weight = 1000 / (250 + member.load_permille)
        return self._rng.random() ** (1 / weight)

    async def _addresses(self, request: web.Request) -> web.Response:
        data_centre = request.query.get("data_centre", "")
        members = self._ranked_members()
        members.sort(key=lambda member: member.data_centre != data_centre)
        members = members[:_MAX_ADDRESSES]
        addresses = [
            {
                "instance": member.instance,
                "host": member.host,
                "port": member.callers_port,
                "data_centre": member.data_centre,
            }
            for member in members
        ]
        lifetime_ms = self._settings.policy.address_lifetime_ms
        return web.json_response({"addresses": addresses, "lifetime_ms": lifetime_ms})

    async def _live(self, request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _ready(self, request: web.Request) -> web.Response:
        current = self._config.freshness.is_current()
        draining = self._members.own.state == members_module.LEAVING
        ready = current and self._members.own.ready and not draining
        payload = {"ready": ready, "current": current, "leaving": draining}
        return web.json_response(payload, status=200 if ready else 503)

    async def finish(self) -> None:
        """Wait for the at-most-once requests whose callers have disconnected."""
        await self._shielded_tasks.finish()


def _parse_object(body: bytes) -> dict[str, typing.Any]:
    try:
        payload = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("malformed", f"the body is not JSON: {error}") from error
    if not isinstance(payload, dict):
        raise BadRequestError("malformed", "the body must be a JSON object")
    unknown = sorted(set(payload) - _QUERY_FIELDS)
    if unknown:
        raise BadRequestError("malformed", f"unknown field {unknown[0]!r}")
    return payload


def _read_string(payload: dict[str, typing.Any], field: str, default: str) -> str:
    value = payload.get(field, default)
    if not isinstance(value, str):
        raise BadRequestError("malformed", f"{field} must be a string")
    return value


def _check_name(value: str, field: str) -> str:
    if not _CALLER_NAME.match(value):
        detail = f"{field} must be 1 to 64 letters, digits, '.', '_', '@' or '-' ({CALLER_HEADER})"
        raise BadRequestError("caller_missing", detail)
    return value


def _read_integer(value: typing.Any, field: str) -> int | None:
    if value is None:
        return None
    if isinstance(value, str) and re.fullmatch(r"-?[0-9]{1,9}", value):
        return int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise BadRequestError("malformed", f"{field} must be an integer")
    return value


async def _flush(request: web.Request) -> None:
    """Wait until the operating system has taken what is written; an exit discards the rest."""
    while request.transport is not None and request.transport.get_write_buffer_size():
        await asyncio.sleep(_FLUSH_INTERVAL_S)


@contextlib.asynccontextmanager
async def serving(
    application: web.Application, host: str, port: int
) -> abc.AsyncIterator[web.AppRunner]:
    """Serve an application until the end of the block."""
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=1.0,
        max_line_size=_MAX_LINE_BYTES,
        read_bufsize=_READ_BUFFER_BYTES,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        yield runner
    finally:
        await runner.cleanup()
