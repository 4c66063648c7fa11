"""The baseline to measure against: entry instances as a newcomer would write them.

Each instance calls a random replica of each service directly, with a fixed timeout, and retries on
an error. Nothing is known of queues, slots or other instances. It is a yardstick, not a product.
"""

from __future__ import annotations

import asyncio
import json
import random
import typing

import aiohttp
from aiohttp import web

from turmericlug.owner import target as target_module

_TRIES = 2


class Baseline:
    """One baseline instance; ``services`` maps a service to its replicas' addresses."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        services: dict[str, list[str]],
        groups: dict[str, list[str]],
        name: str,
        timeout_ms: float,
    ) -> None:
        self._session = session
        self._services = services
        self._groups = groups
        self._name = name
        self._timeout_s = timeout_ms / 1000
        self._rng = random.Random(name)
        self._count = 0

    async def query(self, request: web.Request) -> web.Response:
        """Answer a caller: ask each service, merge what came."""
        plain = await request.json()
        names = self._groups.get(plain["service"], [plain["service"]])
        body = json.dumps(plain.get("body", {})).encode()
        found = await asyncio.gather(*(self._ask(name, body) for name in names))
        results = [
            {"shard": name, "result": result}
            for name, result in zip(names, found, strict=True)
            if result is not None
        ]
        coverage = {"answered": len(results), "total": len(names), "missing": []}
        outcome = "complete" if len(results) == len(names) else "partial"
        if not results:
            outcome = "failed"
        answer = {"outcome": outcome, "coverage": coverage, "results": results}
        return web.json_response(answer, status=200 if results else 504)

    async def _ask(self, service: str, body: bytes) -> typing.Any:
        for _ in range(_TRIES):
            self._count += 1
            headers = {
                target_module.ATTEMPT_HEADER: f"{self._name}.{self._count}",
                target_module.SNAPSHOT_HEADER: "s1",
                target_module.SHARD_HEADER: service,
                target_module.DEADLINE_MS_HEADER: str(int(self._timeout_s * 1000)),
            }
            address = self._rng.choice(self._services[service])
            try:
                async with asyncio.timeout(self._timeout_s):
                    async with self._session.post(
                        f"{address}/v1/run", data=body, headers=headers
                    ) as response:
                        if response.status == 200:
                            return await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                continue
        return None


async def serve(plain: dict[str, typing.Any]) -> None:
    """Serve one instance until cancelled: host, port, name, services, groups, timeout_ms."""
    connector = aiohttp.TCPConnector(limit=0, limit_per_host=plain["connections"])
    async with aiohttp.ClientSession(connector=connector) as session:
        baseline = Baseline(
            session, plain["services"], plain["groups"], plain["name"], plain["timeout_ms"]
        )

        async def ready(request: web.Request) -> web.Response:
            return web.json_response({"ready": True})

        application = web.Application()
        application.router.add_post("/v1/query", baseline.query)
        application.router.add_get("/v1/ready", ready)
        runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, plain["host"], plain["port"]).start()
        await asyncio.Event().wait()
