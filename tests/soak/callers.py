"""Callers that keep their connections, and what they and the replicas hold against the promises."""

from __future__ import annotations

import asyncio
import collections

import attrs
import world as world_module

from turmericlug.http1 import client

PROMISE_STATUSES = (408, 421, 429, 503)
"""Callers take these for the promise that their request did not run and never will."""
_LIMIT_S = 6.0
"""Four times the callers' deadline: an answer that takes longer is not waited for."""


@attrs.define
class Outcome:
    """What a caller saw of one request."""

    request_id: bytes
    prefix: str
    status: int | None = None


@attrs.define
class Callers:
    """All callers of one seed, with what they saw."""

    world: world_module.World
    outcomes: list[Outcome] = attrs.field(factory=list)
    broken: list[str] = attrs.field(factory=list)

    async def call(self):
        """Keep a connection, ask on it for as long as it lives, and judge every answer."""
        rng, connection, instance = self.world.rng, None, None
        while True:
            await asyncio.sleep(rng.uniform(0.0, 0.08))
            if connection is None or connection.closed:
                instance = rng.choice(self.world.instances)
                try:
                    connection = await client.connect("127.0.0.1", instance.ports[0])
                except client.ConnectError:
                    connection = None
                    continue
            prefix = rng.choice(("/all/", "/all/", "/bills/"))
            outcome = Outcome(b"q%d" % len(self.outcomes), prefix)
            self.outcomes.append(outcome)
            try:
                await self._ask(connection, outcome)
            except (client.ExchangeError, TimeoutError):
                # Only an instance that was killed or frozen may end a connection without an answer.
                if instance.process.returncode == 0:
                    self.broken.append(f"LOST {outcome.request_id!r} by a planned stop")
                connection.close()
                connection = None

    async def _ask(self, connection, outcome):
        method = b"POST" if outcome.prefix == "/bills/" else b"GET"
        headers = [
            (b"host", b"h.example"),
            (b"x-request-id", outcome.request_id),
            (b"x-deadline-ms", b"1500"),
        ]
        request = client.request_bytes(method, outcome.prefix.encode() + b"1", headers, b"")
        async with asyncio.timeout(_LIMIT_S):
            answer = await connection.exchange(request)
        outcome.status = answer.status
        if answer.status == 200 and outcome.prefix == "/all/":
            self._check_merged(outcome, answer)
        elif answer.status == 200:
            stamp = answer.header(b"x-server-stamp") or b""
            if not stamp.endswith(b"." + outcome.request_id):
                self.broken.append(f"MIXED {outcome.request_id!r} got {stamp!r}")
        elif answer.status == 404:
            self.broken.append(f"DENIED {outcome.request_id!r}")

    def _check_merged(self, outcome, answer):
        stamps = [each for each in (answer.header(b"x-part-stamps") or b"").split(b", ") if each]
        by_name = {replica.instance.encode(): replica for replica in self.world.replicas}
        parts = [by_name.get(stamp.partition(b".")[0]) for stamp in stamps]
        records = [
            each.body[start : start + 16]
            for each in parts
            if each is not None
            for start in range(0, len(each.body), 16)
        ]
        shards = world_module.SHARDS
        right = (
            all(stamp.endswith(b"." + outcome.request_id) for stamp in stamps)
            and len({each.service for each in parts if each is not None}) == len(stamps)
            and len(stamps) + int(answer.header(b"x-missing-parts") or 0) == len(shards)
            and len(stamps) >= world_module.LEAST * len(shards)
            and answer.body == b"".join(sorted(records, reverse=True)[: world_module.TOP])
        )
        if not right:
            self.broken.append(f"MIXED {outcome.request_id!r}: {stamps!r}")

    def check_runs(self):
        """Compare what callers were told with what replicas ran."""
        runs = collections.defaultdict(collections.Counter)
        reached = collections.defaultdict(set)
        for replica in self.world.replicas:
            for request_id in replica.runs:
                runs[request_id][replica.service] += 1
                reached[request_id, replica.service].add(replica.instance)
        for outcome in self.outcomes:
            self._check_run(outcome, runs[outcome.request_id])
        for (request_id, service), replicas in reached.items():
            if len(replicas) > world_module.ATTEMPTS:
                self.broken.append(f"BUDGET {request_id!r} ran on {sorted(replicas)} of {service}")

    def _check_run(self, outcome, ran):
        billed = outcome.prefix == "/bills/"
        if billed and sum(ran.values()) > 1:
            self.broken.append(f"TWICE {outcome.request_id!r}: {dict(ran)}")
        if outcome.status in PROMISE_STATUSES and ran:
            self.broken.append(f"REFUSED {outcome.request_id!r} ran: {dict(ran)}")
        allowed = {world_module.BILLS} if billed else set(world_module.SHARDS)
        if set(ran) - allowed:
            self.broken.append(f"ROUTE {outcome.request_id!r}: {dict(ran)}")

    def served_share(self, since):
        """Return the share of the requests after the given number that was served."""
        ended = [each for each in self.outcomes[since:] if each.status is not None]
        return sum(each.status == 200 for each in ended) / len(ended) if ended else 0.0
