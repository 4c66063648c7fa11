"""A link and a server over real sockets: handshake, reply matching, silence, reconnection."""

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
    (port,) = fleet_spec.reserve_ports(1)
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


def test_wrong_key_is_rejected_with_its_reason():
    async def main():
        async with pair({"ping": reply_pong}, key="another-key-of-sixteen") as (link, counters):
            with pytest.raises(link_module.LinkError) as caught:
                await link.ask(ping, 0.5)
            assert not caught.value.sent
            assert counters.totals["peer.rejected.wrong_key"] >= 2

    asyncio.run(main())


def test_timed_out_request_may_have_been_sent_and_late_reply_is_dropped():
    async def reply_late(request):
        await asyncio.sleep(0.2)
        reply_pong(request)

    async def main():
        async with pair({"status": reply_late}) as (link, counters):
            with pytest.raises(link_module.LinkError) as caught:
                await link.ask(lambda envelope: setattr(envelope, "status", None), 0.1)
            assert caught.value.sent
            await asyncio.sleep(0.3)
            assert not link._open_requests

    asyncio.run(main())


def test_silence_is_reported_and_ends_with_the_next_bytes():
    """A frozen peer keeps its connection open; open requests are notified, the link is silent."""
    events = []

    async def main():
        async with pair({"status": lambda request: None}) as (link, _):
            await link._connected.wait()

            def on_reply(message):
                events.append(message)
                return False

            link.send(lambda envelope: setattr(envelope, "status", None), on_reply)
            await asyncio.sleep(0.1)
            link.check_silence(0.05)
            assert link.silent and events == [link_module.PeerSilent()]
            link._record_contact()
            assert not link.silent

    asyncio.run(main())


def test_lost_connection_is_reported_and_reopened():
    events = []

    async def main():
        async with pair({"status": lambda request: None, "ping": reply_pong}) as (link, _):
            await link._connected.wait()
            fill = lambda envelope: setattr(envelope, "status", None)  # noqa: E731
            link.send(fill, lambda message: events.append(message) or True)
            await asyncio.sleep(0.05)
            link._outbox._writer.transport.abort()
            while not events:
                await asyncio.sleep(0.001)
            assert (await link.ask(ping, 2)).which() == "pong"
            assert events == [link_module.ConnectionLost()]

    asyncio.run(main())


def test_unexpected_error_does_not_end_a_link():
    """Guards against a peer that is never reached again because one of its replies raised."""

    async def main():
        found = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: found.append(context))

        def fail(message):
            raise KeyError("bug")

        async with pair({"ping": reply_pong}) as (link, _):
            assert (await link.ask(ping, 2)).which() == "pong"
            link.send(ping, fail)
            async with asyncio.timeout(5):
                while not found:
                    await asyncio.sleep(0.005)
            assert (await link.ask(ping, 5)).which() == "pong"

    asyncio.run(main())
