"""
Telling the other instances under which requests replicas have ended.

The load pattern: the caller of a request that ends replicas comes back at any instance, within a
round trip. Whoever sees an end that matters tells it at once: to all others where they are few,
else to some, which tell it on. What such a message missed, and what an instance that was just
started or cut off does not know, comes with a regular exchange of all that is held back. While
nothing is held back nothing is sent, but for one question after each start. Nothing of it is kept
in the store: it is worth little after an outage of all instances, and each change would be a call.
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
SETTLE_S = 0.2
"""Time that a first end is kept back: nearly all requests beside it are answered by the shard's
other replica meanwhile, and need not be told."""
EXCHANGE_EVERY_S = 2.0
ASK_AGAIN_S = 0.2
"""Pause of an instance that has just started between two questions that nobody answered."""
ASKED_AT_START_S = 5.0
"""After this long without an answer the others are taken to know nothing either."""
TIMEOUT_S = 0.5
MOST_AT_ONCE = 64
"""Requests of one message: some 5 KB."""


def handler(quarantine: quarantine_module.Quarantine, teller: SuspectGossip) -> messages.Handler:
    """Return the handler of what other instances tell."""

    async def handle(request: messages.Request) -> messages.Answer:
        now_s = asyncio.get_running_loop().time()
        try:
            told = suspects_codec.decode(request.body, now_s)
        except suspects_codec.MessageError as error:
            decisions.log("poison.unreadable", reason=str(error))
            return messages.Answer(400)
        teller.learn(told.records)
        book = quarantine.table
        held = dict(book.withheld(now_s)) if told.wants_all else {}
        answer = suspects_codec.Suspects(held | book.contradicted(told.records, now_s))
        return messages.Answer(200, body=suspects_codec.encode(answer, now_s))

    return handle


class SuspectGossip:
    """Tells the other instances, and learns what they hold back."""

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        peers: replicas_module.Replicas,
        counters: counters_module.Counters,
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """
        Begin to take note of what is to be told.

        :param peers: the other instances, each as a replica of a service named like its data centre
        :param data_centre: of this instance; those in it are asked first after the start
        """
        self._quarantine = quarantine
        self._peers = peers
        self._counters = counters
        self._data_centre = data_centre
        self._rng = rng
        self._untold: collections.OrderedDict[poison.Fingerprint, float]
        self._untold = collections.OrderedDict()
        """Requests to tell of, with the time from which that is due."""
        self._told: set[poison.Fingerprint] = set()
        self._wake = asyncio.Event()
        quarantine.on_news = self.note

    def note(self, request: poison.Fingerprint) -> None:
        """Tell the others of a request: at once if it is held back or was, else a little later."""
        now_s = asyncio.get_running_loop().time()
        urgent = (
            request in self._told or self._quarantine.verdict(request) is not poison.Verdict.ALLOWED
        )
        if urgent:
            # What it says may have changed until it is told.
            self._told.add(request)
        due_s = now_s if urgent else now_s + SETTLE_S
        self._untold[request] = min(due_s, self._untold.get(request, due_s))
        self._wake.set()

    def learn(self, records: dict[poison.Fingerprint, poison.Record]) -> None:
        """
        Take over what another instance tells.

        It is told on where instances are many, and where it contradicts what was told from here.
        """
        many = gossip.must_forward(len(self._peers))
        for request, told in records.items():
            if self._quarantine.learn(request, told) and (many or request in self._told):
                self._told.add(request)
                self.note(request)

    async def run_broadcast(self) -> None:
        """Tell what is due, for ever."""
        loop = asyncio.get_running_loop()
        async with tasks_module.background() as running:
            while True:
                await self._next_due(loop)
                due = self._due(loop.time())
                if not due:
                    continue
                self._told.update(due)
                for peer in self._listeners():
                    running.start(self._exchange(peer, due, wants_all=False))

    async def _next_due(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait until something is due, or may be."""
        self._wake.clear()
        due_s = min(self._untold.values(), default=None)
        timeout_s = None if due_s is None else max(due_s - loop.time(), 0.0)
        try:
            async with asyncio.timeout(timeout_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _due(self, now_s: float) -> dict[poison.Fingerprint, poison.Record]:
        due = [each for each, due_s in self._untold.items() if due_s <= now_s][:MOST_AT_ONCE]
        for request in due:
            del self._untold[request]
        book = self._quarantine.table
        return {
            each: book.records[each]
            for each in due
            if each in book.records
            and (each in self._told or book.records[each].recent_crashes(now_s))
        }

    def _listeners(self) -> list[replica_module.Replica]:
        return list(gossip.recipients(list(self._peers.all()), self._rng))

    async def run_sync(self) -> None:
        """Learn after the start what others hold back, then exchange it regularly, for ever."""
        await self._ask_first()
        while True:
            await asyncio.sleep(EXCHANGE_EVERY_S * self._rng.uniform(0.75, 1.25))
            self._quarantine.expire()
            self._told &= self._quarantine.table.records.keys()
            held = dict(self._quarantine.table.withheld(asyncio.get_running_loop().time()))
            peers = list(self._peers.all())
            if held and peers:
                await self._exchange(self._rng.choice(peers), held, wants_all=True)

    async def _ask_first(self) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + ASKED_AT_START_S
        while loop.time() < until_s:
            near = self._peers.of(self._data_centre)
            peers = near or list(self._peers.all())
            if peers and await self._exchange(self._rng.choice(peers), {}, wants_all=True):
                return
            await asyncio.sleep(ASK_AGAIN_S)

    async def _exchange(
        self,
        peer: replica_module.Replica,
        records: dict[poison.Fingerprint, poison.Record],
        wants_all: bool,
    ) -> bool:
        """Tell one instance, and learn what it answers; false when it did not."""
        now_s = asyncio.get_running_loop().time()
        content = suspects_codec.encode(suspects_codec.Suspects(records, wants_all), now_s)
        request = client.request_bytes(b"POST", PATH, [(b"host", b"instance")], content)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with peer.pool.connection(0) as connection:
                    response = await connection.exchange(request)
            told = suspects_codec.decode(response.body, asyncio.get_running_loop().time())
        except (client.ConnectError, client.ExchangeError, suspects_codec.MessageError) as error:
            return self._failed(peer, str(error))
        except TimeoutError:
            return self._failed(peer, "silent")
        self._counters.add("poison.exchanges")
        self.learn(told.records)
        return True

    def _failed(self, peer: replica_module.Replica, reason: str) -> bool:
        self._counters.add("poison.not_told")
        decisions.log("poison.not_told", peer=peer.entry.instance, reason=reason[:100])
        return False
