"""Open-loop load: arrivals don't wait for answers; latency counts from the intended start."""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing

import aiohttp
from hdrh import histogram

from turmericlug_lab import floor
from turmericlug_lab import scenario as scenario_module

_LATE_TOLERANCE_MS = 15.0
"""An answer counts as late only this long after its deadline: the generator's timing is inexact."""


class LoadMetrics:
    """Metrics of one load, as its callers see them."""

    def __init__(self) -> None:
        self.latency_us = histogram.HdrHistogram(1, floor.MAX_LATENCY_US, 3)
        self.refusal_us = histogram.HdrHistogram(1, floor.MAX_LATENCY_US, 3)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.offered = 0
        self.attempts = 0
        self.useful = 0
        self.late = 0
        self.shards_answered = 0
        self.shards_total = 0
        self.requests_by_entry: collections.Counter[str] = collections.Counter()
        self.start_lag_us = histogram.HdrHistogram(1, floor.MAX_LATENCY_US, 3)

    def summary(self, duration_s: float) -> dict[str, typing.Any]:
        """Return the metrics as the report holds them."""
        return {
            "offered": self.offered,
            "asked": self.attempts,
            "latency_ms": floor.report_percentiles_ms(self.latency_us),
            "refusal_ms": floor.report_percentiles_ms(self.refusal_us),
            "goodput_per_s": round(self.useful / duration_s, 2),
            "useful": self.useful,
            "late": self.late,
            "coverage": (
                round(self.shards_answered / self.shards_total, 5) if self.shards_total else 0.0
            ),
            "outcomes": dict(self.outcomes),
            "reasons": dict(self.reasons),
            "entries": dict(self.requests_by_entry),
            "start_lag_ms": floor.report_percentiles_ms(self.start_lag_us),
        }


class Caller:
    """A caller: resolves the entry addresses and uses the first one until it expires."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        entry_addresses: dict[str, str],
        first_entry: str,
        data_centre: str,
    ) -> None:
        self._http = http
        self._entry_addresses = entry_addresses
        self._entry = first_entry
        self._data_centre = data_centre
        self._expires_at_s = 0.0
        self._resolve_lock = asyncio.Lock()

    async def choose_entry(self, resolves_addresses: bool) -> tuple[str, str]:
        """Return the entry instance to use and its address, resolved again if it has expired."""
        async with self._resolve_lock:
            if resolves_addresses and time.monotonic() >= self._expires_at_s:
                await self._resolve()
        return self._entry, self._entry_addresses[self._entry]

    async def _resolve(self) -> None:
        candidates = [
            self._entry,
            *(candidate for candidate in self._entry_addresses if candidate != self._entry),
        ]
        for candidate in candidates:
            try:
                async with self._http.get(
                    f"{self._entry_addresses[candidate]}/v1/addresses",
                    params={"data_centre": self._data_centre},
                    timeout=aiohttp.ClientTimeout(total=0.5),
                ) as response:
                    resolved = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                continue
            if resolved["addresses"]:
                self._entry = resolved["addresses"][0]["instance"]
                self._expires_at_s = time.monotonic() + resolved["lifetime_ms"] / 1000
                return

    def expire_address(self) -> None:
        """Resolve again before the next request; called when a request has failed."""
        self._expires_at_s = 0.0


class LoadGenerator:
    """Sends the requests of one load, with exponential times between arrivals."""

    def __init__(
        self,
        load: scenario_module.Load,
        rate_per_s: float,
        seed: int,
        callers: list[Caller],
        http: aiohttp.ClientSession,
        resolves_addresses: bool,
    ) -> None:
        self.metrics = LoadMetrics()
        self._load = load
        self._rate_per_s = rate_per_s
        self._rng = random.Random(f"{seed}/{load.name}")
        self._callers = callers
        self._http = http
        self._resolves_addresses = resolves_addresses
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0

    async def run(self, warm_up_s: float, duration_s: float) -> None:
        """Send during the warm-up and the measured period, then wait for the last answers."""
        started_at_s = time.monotonic()
        intended_start_s = started_at_s
        while True:
            intended_start_s += self._rng.expovariate(self._rate_per_s)
            if intended_start_s > started_at_s + warm_up_s + duration_s:
                break
            await asyncio.sleep(max(0.0, intended_start_s - time.monotonic()))
            in_measured_period = intended_start_s >= started_at_s + warm_up_s
            task = asyncio.create_task(
                self._send_with_retries(intended_start_s, in_measured_period)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _send_with_retries(self, intended_start_s: float, in_measured_period: bool) -> None:
        self._request_count += 1
        request_id = f"{self._load.name}-{self._request_count}"
        caller = self._callers[self._request_count % len(self._callers)]
        self.metrics.offered += in_measured_period
        self.metrics.start_lag_us.record_value(
            max(1, int((time.monotonic() - intended_start_s) * 1e6))
        )
        for attempt in range(self._load.retries + 1):
            started_at_s = time.monotonic() if attempt else intended_start_s
            outcome, answer = await self._send_query(caller, request_id)
            if in_measured_period:
                self._record(outcome, answer, started_at_s)
            if outcome in ("complete", "partial") or attempt == self._load.retries:
                return
            delay_ms = self._load.retry_after_ms
            if delay_ms < 0:
                delay_ms = answer.get("come_back_ms", 100)
            await asyncio.sleep(delay_ms / 1000)

    async def _send_query(
        self, caller: Caller, request_id: str
    ) -> tuple[str, dict[str, typing.Any]]:
        load = self._load
        query: dict[str, typing.Any] = {
            "service": load.service,
            "caller": load.caller,
            "deadline_ms": load.deadline_ms,
            "body": {"mark": request_id},
        }
        if load.priority is not None:
            query["priority"] = load.priority
        if load.has_idempotency_key:
            query["idempotency_key"] = f"{int(time.time())}-{request_id}"
        entry, address = await caller.choose_entry(self._resolves_addresses)
        self.metrics.requests_by_entry[entry] += 1
        try:
            async with self._http.post(f"{address}/v1/query", json=query) as response:
                answer = await response.json()
                return answer["outcome"], answer
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            caller.expire_address()
            return "unreachable", {"reason": type(error).__name__}

    def _record(self, outcome: str, answer: dict[str, typing.Any], started_at_s: float) -> None:
        metrics = self.metrics
        latency_ms = (time.monotonic() - started_at_s) * 1000
        metrics.attempts += 1
        metrics.outcomes[outcome] += 1
        if "reason" in answer:
            metrics.reasons[f"{outcome}.{answer['reason']}"] += 1
        late = latency_ms > self._load.deadline_ms + _LATE_TOLERANCE_MS
        metrics.late += late
        latency_us = max(1, min(int(latency_ms * 1000), floor.MAX_LATENCY_US))
        if outcome in ("complete", "partial"):
            metrics.latency_us.record_value(latency_us)
            metrics.shards_answered += answer["coverage"]["answered"]
            metrics.shards_total += answer["coverage"]["total"]
            metrics.useful += outcome == "complete" and latency_ms <= self._load.deadline_ms
        else:
            metrics.refusal_us.record_value(latency_us)
