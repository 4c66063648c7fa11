"""A link and a server over real sockets: handshake, matching, silence, replayed numbers."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import link as link_module
from turmericlug.wire import server as server_module
from turmericlug_lab import fleet_spec

KEY = "a-key-of-sixteen-characters"


@contextlib.asynccontextmanager
async def pair(handlers, key=KEY):
    counters = counters_module.Counters()
    server = server_module.Server(KEY, "server", counters)
    server.handlers = handlers
    (port,) = fleet_spec.free_ports(1)
    link = link_module.Link(("127.0.0.1", port), key, "client", counters)
    async with server_module.listening(server, "127.0.0.1", port), link_module.opened(link):
        yield link, counters


def reply_pong(request):
    request.reply(lambda envelope: envelope.init("pong"))


def ping(envelope):
    envelope.init("ping")


def test_ask_and_unknown_requests():
    async def main():
        async with pair({"ping": reply_pong}) as (link, _):
            assert (await link.ask(ping, 2)).which() == "pong"
            with pytest.raises(link_module.LinkError, match="unknown_request"):
                await link.ask(lambda envelope: setattr(envelope, "status", None), 2)

    asyncio.run(main())


def test_wrong_key_is_refused_with_its_reason():
    async def main():
        async with pair({"ping": reply_pong}, key="another-key-of-sixteen") as (link, counters):
            with pytest.raises(link_module.LinkError) as caught:
                await link.ask(ping, 0.5)
            assert not caught.value.sent
            assert counters.totals["peer.rejected.wrong_key"] >= 2

    asyncio.run(main())


def test_timeout_may_have_been_sent_and_late_reply_is_dropped():
    async def late(request):
        await asyncio.sleep(0.2)
        reply_pong(request)

    async def main():
        async with pair({"status": late}) as (link, counters):
            with pytest.raises(link_module.LinkError) as caught:
                await link.ask(lambda envelope: setattr(envelope, "status", None), 0.1)
            assert caught.value.sent
            await asyncio.sleep(0.3)
            assert not link._open

    asyncio.run(main())


def test_silence_is_told_and_ends_with_the_next_word():
    """The peer's process is frozen: open requests hear of it, and new ones see it silent."""
    notes = []

    async def main():
        async with pair({"status": lambda request: None}) as (link, _):
            await link._up.wait()

            def on_reply(message):
                notes.append(message)
                return False

            link.send(lambda envelope: setattr(envelope, "status", None), on_reply)
            await asyncio.sleep(0.1)
            link.check_silence(0.05)
            assert link.silent and notes == [link_module.PeerSilent()]
            link._heard()
            assert not link.silent

    asyncio.run(main())


def test_lost_connection_is_told_and_made_again():
    notes = []

    async def main():
        async with pair({"status": lambda request: None, "ping": reply_pong}) as (link, _):
            await link._up.wait()
            fill = lambda envelope: setattr(envelope, "status", None)  # noqa: E731
            link.send(fill, lambda message: notes.append(message) or True)
            await asyncio.sleep(0.05)
            link._outbox._writer.transport.abort()
            while not notes:
                await asyncio.sleep(0.001)
            assert (await link.ask(ping, 2)).which() == "pong"
            assert notes == [link_module.ConnectionLost()]

    asyncio.run(main())
