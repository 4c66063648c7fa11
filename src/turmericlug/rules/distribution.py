"""How a change reaches every instance: a tree of confirmations, with gossip to repair it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing
from collections import abc

from turmericlug.kernel import tasks
from turmericlug.membership import detector as detector_module
from turmericlug.membership import freshness as freshness_module
from turmericlug.membership import members as members_module
from turmericlug.rules import configuration
from turmericlug.rules import repository as repository_module
from turmericlug.storage import store as store_module
from turmericlug.telemetry import events
from turmericlug.wire import codec
from turmericlug.wire import link as link_module
from turmericlug.wire import server as server_module

TREE_WIDTH = 8
"""Children per node: 4,700 instances are four levels deep."""
SPREAD_WAIT_S = 1.5
PULL_TIMEOUT_S = 1.0
READERS_PER_DATA_CENTRE = 2
"""Instances of a data centre that read the store's head; the others hear from peers."""
STAND_INS = 2
"""Further ones that read, of a whole data centre, when evidence has grown old."""
ACCEPT_WAIT_S = 3.0
_DEEPER_SHARE = 0.6
"""What a branch of the tree leaves its own branches of the time it was given."""


async def _no_list() -> None:
    return None


async def _none_running(revision: int, timeout_s: float) -> bool:
    return True


class Distribution:
    """Keeps this instance's configuration the newest, and hands changes on."""

    def __init__(
        self,
        config: configuration.Configuration,
        repository: repository_module.Repository,
        store: store_module.Store,
        detector: detector_module.Detector,
        freshness_ms: int,
    ) -> None:
        self._config = config
        self._repository = repository
        self._store = store
        self._detector = detector
        self._poll_s = freshness_ms / 3000
        self._limit_ms = freshness_ms
        self._pulling: set[str] = set()
        self._tasks = tasks.Tasks()
        self.store_reachable = False
        self.older_ended: abc.Callable[[int, float], abc.Awaitable[bool]] = _none_running
        self.read_list: abc.Callable[[], abc.Awaitable[None]] = _no_list
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Follow the store until cancelled, when it is this instance's turn to read it."""
        while True:
            if self._reads_the_store():
                await self.refresh()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._poll_s):
                    await self._wake.wait()
            self._wake.clear()

    async def run_watch(self) -> None:
        """Wake the reader at every change of the head, while we are one, until cancelled."""
        while True:
            if self.is_reader():
                watch = self._tasks.start(self._watch())
                while self.is_reader() and not watch.done():
                    await asyncio.sleep(self._poll_s)
                watch.cancel()
            await asyncio.sleep(self._poll_s)

    async def _watch(self) -> None:
        with contextlib.suppress(store_module.StoreError):
            async for _ in self._store.watch(self._repository.head_key):
                self._wake.set()

    def is_reader(self) -> bool:
        """Whether we are among the first of our data centre."""
        return self._rank_among(self._local())

    def _local(self) -> list[members_module.Member]:
        members = self._detector.members
        centre = members.own.data_centre
        return [each for each in members.serving() if each.data_centre == centre]

    def _rank_among(self, local: list[members_module.Member]) -> bool:
        own = self._detector.members.own
        ranked = members_module.rank_owners("store-reader", own.data_centre, local)
        return own.instance in [each.instance for each in ranked[:READERS_PER_DATA_CENTRE]]

    def _reads_the_store(self) -> bool:
        """Whether we are among the first of our data centre, or have no news from them."""
        local = self._local()
        if self._rank_among(local):
            return True
        # Readers that are cut off from the store, or gone, must not leave us uninformed; in an
        # outage of the store the draw keeps all the others from calling it at once.
        if self._config.freshness.age_ms() <= self._limit_ms:
            return False
        return random.random() < STAND_INS / max(len(local), 1)

    async def refresh(self) -> bool:
        """Read the store once, and what is newer there; tells whether the store answered."""
        began_at_s = time.monotonic()
        try:
            head = await self._repository.read_head()
            if not head.rules or head.revisions != self._config.freshness.held:
                contents = await self._repository.read()
                head = contents.head
                for text in contents.texts:
                    self._config.apply(text)
        except repository_module.RepositoryError:
            self.store_reachable = False
            return False
        self.store_reachable = True
        self._config.freshness.record_store_read(began_at_s, head.revisions)
        return True

    def pull_from(self, peer: str) -> None:
        """Fetch documents from a peer that has newer ones, unless that is under way."""
        if peer not in self._pulling:
            self._pulling.add(peer)
            self._tasks.start(self._pull(peer))

    async def _pull(self, peer: str) -> None:
        try:
            link = self._detector.mesh.link(peer)
            if link is None:
                return
            held = self._config.freshness.held

            def fill(envelope: typing.Any) -> None:
                envelope.documents = [f"rules>{held.rules}", f"catalog>{held.catalog}"]

            reply = await link.ask(fill, PULL_TIMEOUT_S)
            if reply.which() == "documentsReply":
                self._apply_all(reply.documentsReply)
        except link_module.LinkError as error:
            events.emit("rules.pull_failed", peer=peer, reason=error.reason)
        finally:
            self._pulling.discard(peer)

    def _apply_all(self, documents: typing.Any) -> None:
        for document in documents:
            self._config.apply(configuration.Text(document.name, document.revision, document.text))

    def on_documents(self, request: server_module.Request) -> None:
        """Hand our documents to a peer that is behind."""
        held = dict(entry.split(">") for entry in request.message.documents)
        newer = [
            {"name": text.name, "revision": text.revision, "text": text.text}
            for text in self._config.texts()
            if text.revision > int(held.get(text.name, 0))
        ]
        request.reply(lambda envelope: setattr(envelope, "documentsReply", newer))

    async def spread(self, instances: list[str], only: set[str], wait_s: float) -> list[str]:
        """
        Bring what we have in force to a set of instances, as a tree.

        :param instances: names, without ours
        :param only: names of the documents to send; who lacks another one fetches it
        :param wait_s: how long each branch may take; deeper ones get less, so that a parent still
            hears of its children when one of theirs is dead
        :returns: those that did not confirm
        """
        groups = [instances[start::TREE_WIDTH] for start in range(min(TREE_WIDTH, len(instances)))]
        found = await asyncio.gather(*(self._spread_group(group, only, wait_s) for group in groups))
        return [instance for group in found for instance in group]

    async def _spread_group(self, group: list[str], only: set[str], wait_s: float) -> list[str]:
        """Hand a group to its first member that answers; the dead ones stay unconfirmed."""
        unconfirmed = []
        while group:
            head, group = group[0], group[1:]
            reply = await self._spread_one(head, group, only, wait_s)
            if reply is not None:
                return unconfirmed + list(reply.unconfirmed)
            unconfirmed.append(head)
        return unconfirmed

    async def _spread_one(
        self, head: str, group: list[str], only: set[str], wait_s: float
    ) -> typing.Any | None:
        link = self._detector.mesh.link(head)
        if link is None:
            return None
        try:
            reply = await link.ask(self._spread_filler(group, only, wait_s), wait_s)
        except link_module.LinkError:
            return None
        return reply.spreadReply if reply.which() == "spreadReply" else None

    def _spread_filler(
        self, members: list[str], only: set[str], wait_s: float
    ) -> abc.Callable[[typing.Any], None]:
        def fill(envelope: typing.Any) -> None:
            message = envelope.init("spread")
            message.stamp = self._detector.stamp()
            message.documents = [
                {"name": text.name, "revision": text.revision, "text": text.text}
                for text in self._config.texts()
                if text.name in only
            ]
            message.members = members
            message.remainingMs = int(wait_s * 1000)

        return fill

    async def on_spread(self, request: server_module.Request) -> None:
        """
        Put what the parent sent in force, hand it on, report who did not confirm.

        Queries that began under older rules would still be answered by them; so we confirm only
        when they have ended, and stay unconfirmed if that takes too long.
        """
        message = request.message.spread
        self._apply_all(message.documents)
        wanted = freshness_module.Revisions(
            message.stamp.rulesRevision, message.stamp.catalogRevision
        )
        if not self._config.freshness.held.covers(wanted):
            await self._pull(request.peer)
        wait_s = message.remainingMs / 1000 * _DEEPER_SHARE
        unconfirmed, ended = await asyncio.gather(
            self.spread(list(message.members), {each.name for each in message.documents}, wait_s),
            self.older_ended(self._config.rules.revision, wait_s),
        )
        if not ended or not self._config.freshness.held.covers(wanted):
            unconfirmed = [*unconfirmed, self._detector.members.own.instance]
        request.reply(lambda envelope: codec.fill(envelope, "spreadReply", unconfirmed=unconfirmed))

    def everyone(self) -> set[str]:
        """Return all others that may be answering callers: alive for us, or listed as live."""
        members = self._detector.members
        known = {member.instance for member in members.peers()}
        return (known | set(self._detector.listed)) - {members.own.instance}

    async def confirm(self, only: set[str], wait_s: float = ACCEPT_WAIT_S) -> list[str]:
        """
        Bring the configuration in force everywhere.

        An instance that is frozen or cut off does not confirm, and may answer callers by the older
        revision until it notices; so it is named, and nothing is called accepted meanwhile. One
        that the platform no longer lists and peers hold for dead is gone.

        :param only: names of the documents that changed
        :returns: who had not confirmed when the time was up
        """
        end_s = time.monotonic() + wait_s
        await self.read_list()
        waiting = self.everyone()
        own = self._detector.members.own.instance
        while True:
            unconfirmed, ended = await asyncio.gather(
                self.spread(sorted(waiting), only, SPREAD_WAIT_S),
                self.older_ended(self._config.rules.revision, SPREAD_WAIT_S),
            )
            waiting = set(unconfirmed) & self.everyone()
            if (ended and not waiting) or time.monotonic() > end_s:
                return sorted(waiting | (set() if ended else {own}))
            await asyncio.sleep(0.2)

    async def close(self) -> None:
        """End what is under way."""
        await self._tasks.close()
