"""Open-loop load: arrivals don't wait for answers, latency counts from the intended start."""

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

_LATE_GRACE_MS = 15.0
"""An answer this much past its deadline counts as late; the measuring process is not exact."""


class Measured:
    """What one class of callers saw."""

    def __init__(self) -> None:
        self.latency = histogram.HdrHistogram(1, floor.MAX_LATENCY_US, 3)
        self.refusal = histogram.HdrHistogram(1, floor.MAX_LATENCY_US, 3)
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.offered = 0
        self.asked = 0
        self.useful = 0
        self.late = 0
        self.shards_answered = 0
        self.shards_total = 0
        self.entries: collections.Counter[str] = collections.Counter()
        self.start_lag = histogram.HdrHistogram(1, floor.MAX_LATENCY_US, 3)

    def result(self, duration_s: float) -> dict[str, typing.Any]:
        """Return the numbers of the report."""
        return {
            "offered": self.offered,
            "asked": self.asked,
            "latency_ms": floor.report_percentiles_ms(self.latency),
            "refusal_ms": floor.report_percentiles_ms(self.refusal),
            "goodput_per_s": round(self.useful / duration_s, 2),
            "useful": self.useful,
            "late": self.late,
            "coverage": (
                round(self.shards_answered / self.shards_total, 5) if self.shards_total else 0.0
            ),
            "outcomes": dict(self.outcomes),
            "reasons": dict(self.reasons),
            "entries": dict(self.entries),
            "start_lag_ms": floor.report_percentiles_ms(self.start_lag),
        }


class Caller:
    """One caller: it asks for addresses, keeps one for its lifetime, connects there."""

    def __init__(
        self, http: aiohttp.ClientSession, entries: dict[str, str], start: str, data_centre: str
    ) -> None:
        self._http = http
        self._entries = entries
        self._name = start
        self._data_centre = data_centre
        self._until_s = 0.0
        self._asking = asyncio.Lock()

    async def entry(self, asks: bool) -> tuple[str, str]:
        """Return the instance to use and its address, asking anew when the old one has aged."""
        async with self._asking:
            if asks and time.monotonic() >= self._until_s:
                await self._ask()
        return self._name, self._entries[self._name]

    async def _ask(self) -> None:
        names = [self._name, *(name for name in self._entries if name != self._name)]
        for name in names:
            try:
                async with self._http.get(
                    f"{self._entries[name]}/v1/addresses",
                    params={"data_centre": self._data_centre},
                    timeout=aiohttp.ClientTimeout(total=0.5),
                ) as response:
                    plain = await response.json()
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                continue
            if plain["addresses"]:
                self._name = plain["addresses"][0]["instance"]
                self._until_s = time.monotonic() + plain["lifetime_ms"] / 1000
                return

    def forget(self) -> None:
        """Ask anew before the next request, as after a connection failed."""
        self._until_s = 0.0


class Generator:
    """Arrivals of one load."""

    def __init__(
        self,
        load: scenario_module.Load,
        rate_per_s: float,
        seed: int,
        callers: list[Caller],
        http: aiohttp.ClientSession,
        asks: bool,
    ) -> None:
        self.measured = Measured()
        self._load = load
        self._rate_per_s = rate_per_s
        self._rng = random.Random(f"{seed}/{load.name}")
        self._callers = callers
        self._http = http
        self._asks = asks
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, warm_up_s: float, duration_s: float) -> None:
        """Send for a warm-up and then for the measured time, and wait for the last answers."""
        began_at_s = time.monotonic()
        intended_s = began_at_s
        while True:
            intended_s += self._rng.expovariate(self._rate_per_s)
            if intended_s > began_at_s + warm_up_s + duration_s:
                break
            await asyncio.sleep(max(0.0, intended_s - time.monotonic()))
            measured = intended_s >= began_at_s + warm_up_s
            task = asyncio.create_task(self._request(intended_s, measured))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _request(self, intended_s: float, measured: bool) -> None:
        self._count += 1
        mark = f"{self._load.name}-{self._count}"
        caller = self._callers[self._count % len(self._callers)]
        self.measured.offered += measured
        self.measured.start_lag.record_value(max(1, int((time.monotonic() - intended_s) * 1e6)))
        for attempt in range(self._load.retries + 1):
            asked_at_s = time.monotonic() if attempt else intended_s
            outcome, answer = await self._ask(caller, mark)
            if measured:
                self._record(outcome, answer, asked_at_s)
            if outcome in ("complete", "partial") or attempt == self._load.retries:
                return
            pause_ms = self._load.retry_after_ms
            if pause_ms < 0:
                pause_ms = answer.get("come_back_ms", 100)
            await asyncio.sleep(pause_ms / 1000)

    async def _ask(self, caller: Caller, mark: str) -> tuple[str, dict[str, typing.Any]]:
        load = self._load
        plain: dict[str, typing.Any] = {
            "service": load.service,
            "caller": load.caller,
            "deadline_ms": load.deadline_ms,
            "body": {"mark": mark},
        }
        if load.priority is not None:
            plain["priority"] = load.priority
        if load.once:
            plain["idempotency_key"] = f"{int(time.time())}-{mark}"
        name, address = await caller.entry(self._asks)
        self.measured.entries[name] += 1
        try:
            async with self._http.post(f"{address}/v1/query", json=plain) as response:
                answer = await response.json()
                return answer["outcome"], answer
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            caller.forget()
            return "unreachable", {"reason": type(error).__name__}

    def _record(self, outcome: str, answer: dict[str, typing.Any], asked_at_s: float) -> None:
        measured = self.measured
        took_ms = (time.monotonic() - asked_at_s) * 1000
        measured.asked += 1
        measured.outcomes[outcome] += 1
        if "reason" in answer:
            measured.reasons[f"{outcome}.{answer['reason']}"] += 1
        late = took_ms > self._load.deadline_ms + _LATE_GRACE_MS
        measured.late += late
        value = max(1, min(int(took_ms * 1000), floor.MAX_LATENCY_US))
        if outcome in ("complete", "partial"):
            measured.latency.record_value(value)
            measured.shards_answered += answer["coverage"]["answered"]
            measured.shards_total += answer["coverage"]["total"]
            measured.useful += outcome == "complete" and took_ms <= self._load.deadline_ms
        else:
            measured.refusal.record_value(value)
