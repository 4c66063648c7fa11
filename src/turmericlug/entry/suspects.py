"""
Gossip between instances about requests that crash replicas.

The load pattern: the caller of a request that crashes replicas repeats it at any instance within a
round trip. An instance that observes a relevant crash reports it at once: to all others if they are
few, else to some, which forward it. A periodic exchange of all withheld requests supplies reports
that were lost, and those that an instance missed before it started or while it was cut off. If no
request is withheld, nothing is sent but one query after each start. Nothing is kept in the store:
it would be of little use after an outage of all instances, and each change would be a call.
"""

from __future__ import annotations

import asyncio
import collections
import random

from turmericlug.direct import quarantine as quarantine_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.kernel import tasks as tasks_module
from turmericlug.policy import gossip
from turmericlug.policy import poison
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions
from turmericlug.wire import suspects_codec

PATH = b"/suspects"
FIRST_CRASH_DELAY_S = 0.2
"""Delay of the report of a first crash: in the meantime the shard's other replica answers nearly
all requests that the crashed one had in flight, and these need not be reported."""
SYNC_INTERVAL_S = 2.0
STARTUP_RETRY_S = 0.2
"""Pause after an unanswered query of an instance that has just started."""
STARTUP_SYNC_S = 5.0
"""Time after which an instance without an answer assumes that the others know of no requests."""
EXCHANGE_TIMEOUT_S = 0.5
MESSAGE_LIMIT = 64
"""Requests in one message, which then takes about 5 KB."""


def handler(
    quarantine: quarantine_module.Quarantine, suspect_gossip: SuspectGossip
) -> messages.Handler:
    """Return the HTTP handler of reports by other instances."""

    async def handle(request: messages.Request) -> messages.Response:
        now_s = asyncio.get_running_loop().time()
        try:
            report = suspects_codec.decode(request.body, now_s)
        except suspects_codec.MessageError as error:
            decisions.log("poison.unreadable", reason=str(error))
            return messages.Response(400)
        suspect_gossip.merge_report(report.records)
        table = quarantine.table
        withheld = dict(table.withheld(now_s)) if report.wants_all else {}
        answer = suspects_codec.Suspects(withheld | table.corrections(report.records, now_s))
        return messages.Response(200, body=suspects_codec.encode(answer, now_s))

    return handle


class SuspectGossip:
    """Reports withheld requests to other instances and merges their reports."""

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        peers: replicas_module.Replicas,
        counters: counters_module.Counters,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """
        Subscribe to the updates of a quarantine.

        :param peers: the other instances, each as a replica of a service named like its data centre
        :param data_centre: of this instance; peers in it are queried first after the start
        """
        self._quarantine = quarantine
        self._peers = peers
        self._counters = counters
        self._data_centre = data_centre
        self._rng = rng
        self._pending: collections.OrderedDict[poison.Fingerprint, float]
        self._pending = collections.OrderedDict()
        """Requests to report, with the time at which the report is due."""
        self._published: set[poison.Fingerprint] = set()
        """Requests that this instance has reported, or reports as soon as it can."""
        self._wake = asyncio.Event()
        quarantine.on_update = self.schedule

    def schedule(self, fingerprint: poison.Fingerprint) -> None:
        """Schedule a report: at once for a request that is or was withheld, else after a delay."""
        now_s = asyncio.get_running_loop().time()
        urgent = (
            fingerprint in self._published
            or self._quarantine.verdict(fingerprint) is not poison.Verdict.ALLOWED
        )
        if urgent:
            # The verdict may change before the report is sent.
            self._published.add(fingerprint)
        due_s = now_s if urgent else now_s + FIRST_CRASH_DELAY_S
        self._pending[fingerprint] = min(due_s, self._pending.get(fingerprint, due_s))
        self._wake.set()

    def merge_report(self, records: dict[poison.Fingerprint, poison.Record]) -> None:
        """
        Merge the records of another instance.

        A change is forwarded if there are many instances, or if this one has reported the request.
        """
        forward = gossip.must_forward(len(self._peers))
        for fingerprint, record in records.items():
            if self._quarantine.merge_report(fingerprint, record) and (
                forward or fingerprint in self._published
            ):
                self._published.add(fingerprint)
                self.schedule(fingerprint)

    async def run_broadcast(self) -> None:
        """Send reports as they fall due, until cancelled."""
        loop = asyncio.get_running_loop()
        async with tasks_module.background() as running:
            while True:
                await self._wait_until_due(loop)
                due = self._take_due(loop.time())
                if not due:
                    continue
                self._published.update(due)
                for peer in self._recipients():
                    running.start(self._exchange(peer, due, wants_all=False))

    async def _wait_until_due(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait until a report is due, or a new one is scheduled."""
        self._wake.clear()
        due_s = min(self._pending.values(), default=None)
        timeout_s = None if due_s is None else max(due_s - loop.time(), 0.0)
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _take_due(self, now_s: float) -> dict[poison.Fingerprint, poison.Record]:
        due = [fingerprint for fingerprint, due_s in self._pending.items() if due_s <= now_s][
            :MESSAGE_LIMIT
        ]
        for fingerprint in due:
            del self._pending[fingerprint]
        table = self._quarantine.table
        return {
            fingerprint: table.records[fingerprint]
            for fingerprint in due
            if fingerprint in table.records
            and (fingerprint in self._published or table.records[fingerprint].recent_crashes(now_s))
        }

    def _recipients(self) -> list[replica_module.Replica]:
        return list(gossip.recipients(list(self._peers.all()), self._rng))

    async def run_sync(self) -> None:
        """Query withheld requests after the start, then exchange them until cancelled."""
        await self._initial_sync()
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S * self._rng.uniform(0.75, 1.25))
            self._quarantine.expire()
            self._published &= self._quarantine.table.records.keys()
            withheld = dict(self._quarantine.table.withheld(asyncio.get_running_loop().time()))
            peers = list(self._peers.all())
            if withheld and peers:
                await self._exchange(self._rng.choice(peers), withheld, wants_all=True)

    async def _initial_sync(self) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + STARTUP_SYNC_S
        while loop.time() < until_s:
            nearby = self._peers.of(self._data_centre)
            peers = nearby or list(self._peers.all())
            if peers and await self._exchange(self._rng.choice(peers), {}, wants_all=True):
                return
            await asyncio.sleep(STARTUP_RETRY_S)

    async def _exchange(
        self,
        peer: replica_module.Replica,
        records: dict[poison.Fingerprint, poison.Record],
        wants_all: bool,
    ) -> bool:
        """Send a report to one instance and merge its answer; false if there was none."""
        now_s = asyncio.get_running_loop().time()
        content = suspects_codec.encode(suspects_codec.Suspects(records, wants_all), now_s)
        request = client.request_bytes(b"POST", PATH, [(b"host", b"instance")], content)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                async with peer.pool.connection(0) as connection:
                    response = await connection.exchange(request)
            reply = suspects_codec.decode(response.body, asyncio.get_running_loop().time())
        except (client.ConnectError, client.ExchangeError, suspects_codec.MessageError) as error:
            return self._record_failure(peer, str(error))
        except TimeoutError:
            return self._record_failure(peer, "silent")
        self._counters.add("poison.exchanges")
        self.merge_report(reply.records)
        return True

    def _record_failure(self, peer: replica_module.Replica, reason: str) -> bool:
        self._counters.add("poison.not_told")
        decisions.log("poison.not_told", peer=peer.entry.instance, reason=reason[:100])
        return False
