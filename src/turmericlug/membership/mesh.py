"""Links to peers, opened on first use and closed when idle or when the peer is dead."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import abc

from turmericlug.kernel import tasks
from turmericlug.membership import members as members_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import link as link_module
from turmericlug.wire import memory as memory_module

_CHECKS_PER_SILENCE_LIMIT = 3
_IDLE_LIMIT_S = 30.0
"""Links without requests for this long are closed, to bound the number of open links."""


class Mesh:
    """The links of this instance, by peer."""

    def __init__(
        self,
        members: members_module.Members,
        key: str,
        counters: counters_module.Counters,
        silence_ms: int,
        source_host: str = "",
    ) -> None:
        self.members = members
        self.held = memory_module.Memory()
        """What is held of messages to and from all peers."""
        self._source_host = source_host
        self._key = key
        self._counters = counters
        self._silence_limit_s = silence_ms / 1000
        self._tasks = tasks.Tasks()
        self._links: dict[str, tuple[link_module.Link, asyncio.Task[None]]] = {}

    def link(self, instance: str) -> link_module.Link | None:
        """Return the link to an instance; ``None`` if it is unknown or dead."""
        member = self.members.by_instance.get(instance)
        if member is None or member.state == members_module.DEAD:
            return None
        address = (member.host, member.peers_port)
        entry = self._links.get(instance)
        if entry is not None and entry[0].address == address:
            return entry[0]
        self._close(instance)
        link = self._new_link(address)
        self._links[instance] = (link, self._tasks.start(link.run()))
        return link

    @contextlib.asynccontextmanager
    async def temporary_link(self, address: tuple[str, int]) -> abc.AsyncIterator[link_module.Link]:
        """Open a link within the block to an address whose instance is not a known member."""
        link = self._new_link(address)
        async with link_module.opened(link):
            yield link

    def _new_link(self, address: tuple[str, int]) -> link_module.Link:
        own = self.members.own
        return link_module.Link(
            address, self._key, own.instance, self._counters, self._source_host, self.held
        )

    async def monitor_links(self) -> None:
        """Detect silent peers and close idle links and links to dead peers, until cancelled."""
        interval_s = self._silence_limit_s / _CHECKS_PER_SILENCE_LIMIT
        while True:
            sleep_began_at_s = time.monotonic()
            await asyncio.sleep(interval_s)
            # If the event loop was blocked, replies may wait unread in the sockets. Treating the
            # peers as silent would move their parts to other owners and run them twice.
            lag_s = time.monotonic() - sleep_began_at_s - interval_s
            self._counters.time_ms("instance.loop_lag_ms", lag_s * 1000)
            if lag_s > interval_s:
                for link, _ in self._links.values():
                    link.last_received_at_s = time.monotonic()
                continue
            for instance, (link, _) in list(self._links.items()):
                link.check_silence(self._silence_limit_s)
                member = self.members.by_instance.get(instance)
                gone = member is None or member.state == members_module.DEAD
                if gone or link.idle_s() > _IDLE_LIMIT_S:
                    self._close(instance)

    def _close(self, instance: str) -> None:
        entry = self._links.pop(instance, None)
        if entry is not None:
            entry[1].cancel()

    async def close(self) -> None:
        """Close every link."""
        self._links.clear()
        await self._tasks.close()


@contextlib.asynccontextmanager
async def running(
    mesh: Mesh, monitor: contextlib.AbstractAsyncContextManager[tasks.Tasks]
) -> abc.AsyncIterator[Mesh]:
    """
    Monitor the links within the block, then close them.

    :param monitor: runs ``monitor_links`` in the background
    """
    async with monitor:
        try:
            yield mesh
        finally:
            await mesh.close()
