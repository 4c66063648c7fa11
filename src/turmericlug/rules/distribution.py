"""Distributes changes to every instance: a broadcast tree with confirmations, gossip as repair."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing
from collections import abc

from turmericlug.decoding import fields
from turmericlug.kernel import tasks
from turmericlug.membership import detector as detector_module
from turmericlug.membership import freshness as freshness_module
from turmericlug.membership import members as members_module
from turmericlug.rules import configuration
from turmericlug.rules import documents as documents_module
from turmericlug.rules import repository as repository_module
from turmericlug.storage import store as store_module
from turmericlug.telemetry import events
from turmericlug.wire import codec
from turmericlug.wire import link as link_module
from turmericlug.wire import server as server_module

TREE_FANOUT = 8
"""Children per node of the tree; 4,700 instances make four levels."""
BROADCAST_TIMEOUT_S = 1.5
PULL_TIMEOUT_S = 1.0
READERS_PER_DATA_CENTRE = 2
"""Instances per data centre that regularly read the store's head; the others learn from peers."""
FALLBACK_READERS = 2
"""Expected number of other instances per data centre that read when their evidence is stale."""
CONFIRM_TIMEOUT_S = 3.0
_MAX_REVISION_DIGITS = len(str(documents_module.MAX_REVISION))
_CHILD_TIMEOUT_SHARE = 0.6
"""Share of its own timeout that a node of the tree passes on to its children."""


async def _skip_list_read() -> None:
    return None


async def _assume_none_running(revision: int, timeout_s: float) -> bool:
    return True


class Distribution:
    """Keeps the configuration of this instance current and distributes changes."""

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
        self._poll_interval_s = freshness_ms / 3000
        self._freshness_ms = freshness_ms
        self._pulling: set[str] = set()
        self._tasks = tasks.Tasks()
        self.store_reachable = False
        self.wait_for_older_queries: abc.Callable[[int, float], abc.Awaitable[bool]] = (
            _assume_none_running
        )
        self.refresh_instance_list: abc.Callable[[], abc.Awaitable[None]] = _skip_list_read
        self._head_changed = asyncio.Event()
        config.freshness.on_gap.append(self._on_gap)

    async def run(self) -> None:
        """Poll the store until cancelled, while this instance is one that reads it."""
        while True:
            if self._should_read_store():
                await self.refresh()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._poll_interval_s):
                    await self._head_changed.wait()
            self._head_changed.clear()

    def _on_gap(self) -> None:
        if self._should_read_store():
            self._config.freshness.track_renewal(self._tasks.start(self.refresh()))

    async def run_watch(self) -> None:
        """Watch the head key while this instance is a reader, until cancelled."""
        while True:
            if self.is_reader():
                watch = self._tasks.start(self._watch())
                while self.is_reader() and not watch.done():
                    await asyncio.sleep(self._poll_interval_s)
                watch.cancel()
            await asyncio.sleep(self._poll_interval_s)

    async def _watch(self) -> None:
        with contextlib.suppress(store_module.StoreError):
            async for _ in self._store.watch(self._repository.head_key):
                self._head_changed.set()

    def is_reader(self) -> bool:
        """Whether this instance is a regular reader of its data centre."""
        return self._is_reader_among(self._serving_in_own_data_centre())

    def _serving_in_own_data_centre(self) -> list[members_module.Member]:
        members = self._detector.members
        own_data_centre = members.own.data_centre
        return [member for member in members.serving() if member.data_centre == own_data_centre]

    def _is_reader_among(self, local_members: list[members_module.Member]) -> bool:
        own = self._detector.members.own
        ranked = members_module.rank_owners("store-reader", own.data_centre, local_members)
        return own.instance in [member.instance for member in ranked[:READERS_PER_DATA_CENTRE]]

    def _should_read_store(self) -> bool:
        """Whether this instance reads the store: regularly, or as a fallback on stale evidence."""
        local_members = self._serving_in_own_data_centre()
        if self._is_reader_among(local_members):
            return True
        # Fallback readers stand in for regular readers that failed or cannot reach the store. The
        # random draw keeps all instances from calling the store at once during its outage.
        if self._config.freshness.age_ms() <= self._freshness_ms:
            return False
        return random.random() < FALLBACK_READERS / max(len(local_members), 1)

    async def refresh(self) -> bool:
        """
        Read the head, and the documents if they differ; return whether the store answered.

        What can't be read is logged, and what is in force stays in force: nothing says that there
        is anything newer.
        """
        began_at_s = time.monotonic()
        revisions = self._config.freshness.in_force
        try:
            head = await self._repository.read_head()
            if not head.rules or head.revisions != self._config.freshness.in_force:
                contents = await self._repository.read()
                head = contents.head
                for document in contents.documents:
                    key = self._repository.key_of(document.name)
                    self._config.apply(document, key, from_store=True)
            revisions = head.revisions
        except repository_module.UnreadableError as error:
            self._config.refuse(error.value.key, error.value, error.value.revision, error.error)
        except repository_module.RepositoryError:
            self.store_reachable = False
            return False
        self.store_reachable = True
        self._config.freshness.record_store_read(began_at_s, revisions)
        return True

    def pull_from(self, peer: str) -> None:
        """Fetch documents from a peer that has newer ones, unless a fetch is in flight."""
        if peer not in self._pulling:
            self._pulling.add(peer)
            self._config.freshness.track_renewal(self._tasks.start(self._pull(peer)))

    async def _pull(self, peer: str) -> None:
        try:
            link = self._detector.mesh.link(peer)
            if link is None:
                return
            in_force = self._config.freshness.in_force

            def fill(envelope: typing.Any) -> None:
                envelope.documents = [f"rules>{in_force.rules}", f"catalog>{in_force.catalog}"]

            reply = await link.ask(fill, PULL_TIMEOUT_S)
            if reply.which() == "documentsReply":
                self._apply_all(reply.documentsReply, peer)
        except link_module.LinkError as error:
            events.emit("rules.pull_failed", peer=peer, reason=error.reason)
        finally:
            self._pulling.discard(peer)

    def _apply_all(self, documents: typing.Any, peer: str) -> None:
        for document in documents:
            try:
                name, revision, text = document.name, document.revision, document.text
            except ValueError as error:
                problem = fields.FieldError(str(error), "text")
                unreadable = configuration.DocumentText("", document.revision, "")
                self._config.refuse(peer, unreadable, document.revision, problem)
                continue
            self._config.apply(configuration.DocumentText(name, revision, text), peer)

    def on_documents(self, request: server_module.Request) -> None:
        """Reply with the documents that are newer than those of the requesting peer."""
        known = _read_known(request.message.documents)
        newer = [
            {"name": document.name, "revision": document.revision, "text": document.text}
            for document in self._config.documents()
            if document.revision > known.get(document.name, 0)
        ]
        request.reply(lambda envelope: setattr(envelope, "documentsReply", newer))

    async def broadcast(
        self, instances: list[str], document_names: set[str], timeout_s: float
    ) -> list[str]:
        """
        Broadcast the documents in force to a set of instances along a tree.

        :param instances: names of the receivers, without this instance
        :param document_names: documents to send; an instance that lacks another one fetches it
        :param timeout_s: timeout of each child; deeper levels get less, so that a node still
            replies to its parent in time when one of its own children is dead
        :returns: the instances that did not confirm
        """
        subtrees = [
            instances[start::TREE_FANOUT] for start in range(min(TREE_FANOUT, len(instances)))
        ]
        results = await asyncio.gather(
            *(
                self._broadcast_to_subtree(subtree, document_names, timeout_s)
                for subtree in subtrees
            )
        )
        return [instance for unconfirmed in results for instance in unconfirmed]

    async def _broadcast_to_subtree(
        self, subtree: list[str], document_names: set[str], timeout_s: float
    ) -> list[str]:
        """Send via the first instance that replies; those tried before it stay unconfirmed."""
        unconfirmed = []
        while subtree:
            child, subtree = subtree[0], subtree[1:]
            reply = await self._broadcast_to_child(child, subtree, document_names, timeout_s)
            if reply is not None:
                return unconfirmed + list(reply.unconfirmed)
            unconfirmed.append(child)
        return unconfirmed

    async def _broadcast_to_child(
        self, child: str, descendants: list[str], document_names: set[str], timeout_s: float
    ) -> typing.Any | None:
        link = self._detector.mesh.link(child)
        if link is None:
            return None
        try:
            reply = await link.ask(
                self._broadcast_filler(descendants, document_names, timeout_s), timeout_s
            )
        except link_module.LinkError:
            return None
        return reply.spreadReply if reply.which() == "spreadReply" else None

    def _broadcast_filler(
        self, descendants: list[str], document_names: set[str], timeout_s: float
    ) -> abc.Callable[[typing.Any], None]:
        def fill(envelope: typing.Any) -> None:
            message = envelope.init("spread")
            message.stamp = self._detector.stamp()
            message.documents = [
                {"name": document.name, "revision": document.revision, "text": document.text}
                for document in self._config.documents()
                if document.name in document_names
            ]
            message.members = descendants
            message.remainingMs = int(timeout_s * 1000)

        return fill

    async def on_spread(self, request: server_module.Request) -> None:
        """
        Apply a parent's broadcast, forward it, and reply with the instances that did not confirm.

        Queries in flight keep the rules that they began with. This instance therefore confirms only
        once the queries under older rules have ended, and not at all if that takes too long.
        """
        message = request.message.spread
        self._apply_all(message.documents, request.peer)
        announced = freshness_module.Revisions(
            message.stamp.rulesRevision, message.stamp.catalogRevision
        )
        if not self._config.freshness.in_force.covers(announced):
            await self._pull(request.peer)
        timeout_s = message.remainingMs / 1000 * _CHILD_TIMEOUT_SHARE
        unconfirmed, older_queries_ended = await asyncio.gather(
            self.broadcast(
                list(message.members), {document.name for document in message.documents}, timeout_s
            ),
            self.wait_for_older_queries(self._config.rules.revision, timeout_s),
        )
        if not older_queries_ended or not self._config.freshness.in_force.covers(announced):
            unconfirmed = [*unconfirmed, self._detector.members.own.instance]
        request.reply(lambda envelope: codec.fill(envelope, "spreadReply", unconfirmed=unconfirmed))

    def other_instances(self) -> set[str]:
        """Return the others that may serve callers: not dead, or listed and not leaving."""
        members = self._detector.members
        peers = {member.instance for member in members.peers()}
        return (peers | set(self._detector.listed)) - {members.own.instance}

    async def distribute(
        self, document_names: set[str], timeout_s: float = CONFIRM_TIMEOUT_S
    ) -> list[str]:
        """
        Bring the configuration into force on every instance.

        An instance that is frozen or partitioned does not confirm, and may serve callers by the
        older revision until it detects its own state. It is therefore returned, and the change is
        not reported as accepted. An instance that the platform no longer lists and that peers
        consider dead is left out.

        :param document_names: documents that changed
        :returns: the instances that had not confirmed at the timeout
        """
        deadline_s = time.monotonic() + timeout_s
        await self.refresh_instance_list()
        pending = self.other_instances()
        own = self._detector.members.own.instance
        while True:
            unconfirmed, older_queries_ended = await asyncio.gather(
                self.broadcast(sorted(pending), document_names, BROADCAST_TIMEOUT_S),
                self.wait_for_older_queries(self._config.rules.revision, BROADCAST_TIMEOUT_S),
            )
            pending = set(unconfirmed) & self.other_instances()
            if (older_queries_ended and not pending) or time.monotonic() > deadline_s:
                return sorted(pending | (set() if older_queries_ended else {own}))
            await asyncio.sleep(0.2)

    async def close(self) -> None:
        """Cancel the fetches and the watch."""
        await self._tasks.close()


def _read_known(entries: typing.Any) -> dict[str, int]:
    """Read the revisions that a peer has; it is sent the documents of which it states none."""
    known = {}
    for entry in entries:
        name, _, revision = entry.partition(">")
        if revision.isascii() and revision.isdigit() and len(revision) <= _MAX_REVISION_DIGITS:
            known[name] = int(revision)
    return known
