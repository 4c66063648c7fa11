"""The baseline of experiments: entry instances with the simplest client-side load balancing.

Each instance calls a random replica of each service directly, with a fixed timeout, and retries on
an error. It knows nothing of queues, slots or other instances. It is a reference for measurements,
not for production.
"""

from __future__ import annotations

import asyncio
import json
import random
import typing

import aiohttp
from aiohttp import web

from turmericlug.owner import target as target_module
from turmericlug_lab import listening

_MAX_ATTEMPTS = 2


class BaselineEntry:
    """One baseline instance; ``services`` maps a service to the addresses of its replicas."""

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
        self._attempts_sent = 0

    async def handle_query(self, request: web.Request) -> web.Response:
        """Send a query to each shard and merge the results that arrive."""
        query = await request.json()
        shards = self._groups.get(query["service"], [query["service"]])
        body = json.dumps(query.get("body", {})).encode()
        shard_results = await asyncio.gather(*(self._call_service(shard, body) for shard in shards))
        results = [
            {"shard": shard, "result": result}
            for shard, result in zip(shards, shard_results, strict=True)
            if result is not None
        ]
        coverage = {"answered": len(results), "total": len(shards), "missing": []}
        outcome = "complete" if len(results) == len(shards) else "partial"
        if not results:
            outcome = "failed"
        merged = {"outcome": outcome, "coverage": coverage, "results": results}
        return web.json_response(merged, status=200 if results else 504)

    async def _call_service(self, service: str, body: bytes) -> typing.Any:
        for _ in range(_MAX_ATTEMPTS):
            self._attempts_sent += 1
            headers = {
                target_module.ATTEMPT_HEADER: f"{self._name}.{self._attempts_sent}",
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


async def serve(config: dict[str, typing.Any]) -> None:
    """
    Serve one instance until cancelled.

    :param config: host, port, name, services, groups, timeout_ms, connections (limit per replica)
    """
    connector = aiohttp.TCPConnector(limit=0, limit_per_host=config["connections"])
    async with aiohttp.ClientSession(connector=connector) as session:
        entry = BaselineEntry(
            session, config["services"], config["groups"], config["name"], config["timeout_ms"]
        )

        async def handle_ready(request: web.Request) -> web.Response:
            return web.json_response({"ready": True})

        application = web.Application()
        application.router.add_post("/v1/query", entry.handle_query)
        application.router.add_get("/v1/ready", handle_ready)
        async with listening.serving("callers", application, config["host"], config["port"]):
            await asyncio.Event().wait()
