"""News passed on between instances, and the way around a relay that fails."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import math
import random

import attrs
import pytest
import scripted

from turmericlug.direct import budget
from turmericlug.direct import placement
from turmericlug.direct import pool as pool_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import routes
from turmericlug.entry import journal as journal_module
from turmericlug.entry import relay
from turmericlug.entry import relay_codec
from turmericlug.entry import source as source_module
from turmericlug.http1 import client
from turmericlug.http1 import messages
from turmericlug.http1 import server
from turmericlug.policy import attendance
from turmericlug.telemetry import counters

PLACE = placement.Place("own", "dc", {"dc": "r"})


def at(revision, era=0):
    return source_module.Position(era, revision)


def replica(name, revision):
    return source_module.Written(f"r/{name}", scripted.entry(name), revision, name.encode())


def decode(key, content, revision):
    if content == b"?":
        return source_module.Unreadable(key, revision, "no entry", content)
    if not key.startswith("r/"):
        return None
    return source_module.Written(key, scripted.entry(content.decode()), revision, content)


class Source:
    """The store: counts what it is asked."""

    def __init__(self):
        self.asked = 0
        self.away = False

    async def changes(self, after, wait_s):
        self.asked += 1
        if self.away:
            raise source_module.SourceError("unreachable")
        return source_module.Changes((), after.revision, era=after.era)


def names_in_order(count, *relays):
    """
    Return names of other instances.

    :param relays: those of them that are asked first, in order; -1 is the instance itself
    """
    candidates = itertools.permutations(map(str, range(60)), count)
    for names in candidates:
        expected = [names[each] if each >= 0 else "own" for each in relays]
        if placement.usual("news", ["own", *names], len(relays)) == expected:
            return names
    raise AssertionError("no such names")


@contextlib.asynccontextmanager
async def relayed(*handlers, relays=None):
    """
    Run instances that follow the store for their data centre; yields a source that asks them.

    :param relays: which of them is asked first, which next; -1 is the instance itself
    """
    names = names_in_order(len(handlers), *(relays or range(len(handlers))))
    loop = asyncio.get_running_loop()

    def make_pool(entry):
        return pool_module.Pool(
            lambda: client.connect(entry.host, entry.port), lambda: 3, loop.time
        )

    peers = replicas_module.Replicas(make_pool, PLACE, budget.Allowance())
    source = Source()
    async with contextlib.AsyncExitStack() as stack:
        for name, handler in zip(names, handlers, strict=True):
            entrance = server.Server(handler, messages.Limits, 10)
            listener = await server.listen(entrance, "127.0.0.1", 0)
            stack.callback(entrance.close)
            stack.callback(listener.close)
            host, port = listener.sockets[0].getsockname()
            peers.put(routes.ReplicaEntry(name, "dc", host, port, "dc", 1, False, 0))
        yield make_source(source, peers), source


def make_source(source, peers):
    return relay.RelayedSource(
        source,
        decode,
        PLACE,
        peers,
        counters.Counters(),
        attendance.Attendance(),
        random.Random(1),
    )


def tell(journal, age_s=0.5, heard=None):
    """Return the handler of a relay that heard from the store so long ago."""
    return relay.handler(journal, lambda: age_s, heard or attendance.Attendance())


def question(after=5, wait_ms=1000, name="x"):
    target = relay.PATH + f"0.{after}/{wait_ms}/{name}".encode()
    return messages.Request(b"GET", target, (), b"", 0.0, 0.0, 0.0, 0.0)


def journal_with(*changes):
    journal = journal_module.Journal()
    journal.restart(at(10))
    journal.add(source_module.Changes(changes, 12))
    return journal


def test_changes_come_through_the_relay():
    async def main():
        journal = journal_with(replica("a", 11), source_module.Removed("r/b", 12))
        async with relayed(tell(journal)) as (source, store):
            found = await source.changes(at(10), 5.0)
            assert found == source_module.Changes(
                (replica("a", 11), source_module.Removed("r/b", 12)), 12, 0.5
            )
            assert store.asked == 0

    asyncio.run(main())


@pytest.mark.parametrize(
    ("era", "after", "asked"),
    [(2, at(10, 1), 0), (2, at(11, 1), 1), (1, at(10, 2), 1)],
    ids=["known here", "asker knows more", "relay is behind"],
)
def test_changes_over_a_return_from_a_copy_come_from_who_knows_them(era, after, asked):
    """Guards against changes that are missed where the asker or the relay knows another era."""

    async def main():
        journal = journal_module.Journal()
        journal.restart(at(10, 1))
        if era > 1:
            journal.add(source_module.Changes((), 8, era=era))
        async with relayed(tell(journal)) as (source, store):
            found = await source.changes(after, 0.01)
            assert store.asked == asked
            assert found.position == (after if asked else at(8, 2))

    asyncio.run(main())


def test_a_value_that_cannot_be_read_is_passed_on_as_such():
    """
    Somebody writes bytes under a replica's key that nobody can read. A relay that fails by it sends
    all instances of its data centre to the store, and the replicas beside it go unheard.
    """
    spoilt = source_module.Unreadable("r/a", 11, "no entry", b"?")

    async def main():
        journal = journal_with(spoilt, replica("b", 12))
        async with relayed(tell(journal)) as (source, store):
            found = await source.changes(at(10), 5.0)
            assert found == source_module.Changes((spoilt, replica("b", 12)), 12, 0.5)
            assert store.asked == 0

    asyncio.run(main())


def test_a_large_configuration_is_told_in_few_bytes():
    """
    A relay on a link of 7 Mbit/s tells a configuration of 60 KB to fourteen instances. For most of
    a second nothing else got through: its own queries' batches were all taken for lost and sent
    again from a machine of half a core, one part at a time.
    """
    shards = [f"service-{number:03}" for number in range(90)]
    content = json.dumps([{"prefix": f"/r{each}/", "shards": shards} for each in range(40)])
    told = source_module.Written("r/config", scripted.entry(content), 11, content.encode())

    async def main():
        sizes = []

        async def handler(request):
            answer = await tell(journal_with(told))(request)
            sizes.append(len(answer.body))
            return answer

        async with relayed(handler) as (source, _):
            assert await source.changes(at(10), 5.0) == source_module.Changes((told,), 12, 0.5)
        assert sizes[0] < 0.1 * len(content)

    asyncio.run(main())


async def silent(request):
    await asyncio.sleep(30)


async def garbage(request):
    return messages.Answer(200, body=b"\xff" * 40)


async def failing(request):
    return messages.Answer(500)


async def stale(request):
    return await tell(journal_with(replica("a", 11)), 9.0)(request)


async def forgetful(request):
    return await tell(journal_module.Journal(), 0.0)(request)


@pytest.fixture
def short_waits(monkeypatch):
    monkeypatch.setattr(relay, "WAIT_S", 0.05)
    monkeypatch.setattr(relay, "TIMEOUT_SLACK_S", 0.1)


@pytest.mark.parametrize(
    ("handler", "failed"),
    [(silent, 2), (garbage, 2), (failing, 2), (stale, 0), (forgetful, 0)],
)
@pytest.mark.parametrize("relays", [1, 2])
def test_relays_that_fail_are_passed_by(handler, failed, relays, short_waits):
    """
    The instances that follow the store for others are frozen, cut off from the store, or new.
    Whoever relies on them alone goes on with old routes and sends to replicas that have left.
    """

    async def main():
        async with relayed(*[handler] * relays) as (source, store):
            for _ in range(4):
                assert await source.changes(at(10), 5.0) == source_module.Changes((), 10)
            assert store.asked == 4
            assert source.counters.totals["relay.failed"] == failed * relays

    asyncio.run(main())


@pytest.mark.parametrize("first", [silent, garbage, failing, stale])
def test_the_second_relay_stands_by(first, short_waits):
    """
    The instance that follows the store for its data centre dies. Each of the 32 others asked the
    store itself, a call for each change, until the dead one's lease had lapsed.
    """

    async def main():
        second = tell(journal_with(replica("a", 11)))
        async with relayed(first, second) as (source, store):
            for _ in range(4):
                found = await source.changes(at(10), 5.0)
                assert found == source_module.Changes((replica("a", 11),), 12, 0.5)
            assert store.asked == 0

    asyncio.run(main())


def test_the_second_relay_asks_the_first_and_then_the_store(short_waits):
    async def main():
        told = tell(journal_with(replica("a", 11)))
        async with relayed(told, told, relays=(0, -1)) as (source, store):
            assert (await source.changes(at(10), 5.0)).changes == (replica("a", 11),)
            assert not source.serves_peers()
        async with relayed(stale, told, relays=(0, -1)) as (source, store):
            await source.changes(at(10), 5.0)
            assert store.asked == 1
            assert source.serves_peers()

    asyncio.run(main())


def test_the_store_is_left_alone_while_it_is_away_for_all(monkeypatch):
    """
    The store is down. The relays say that their news are old, and each of 195 instances asked the
    store itself three times a second for as long as it was away. The relays are asked all the
    while, so that its return is known at once.
    """
    now_s = [100.0]

    async def main():
        asked = []

        async def handler(request):
            asked.append(1)
            return await stale(request)

        async with relayed(handler) as (source, store):
            monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now_s[0], raising=False)
            store.away = True
            for _ in range(50):
                with pytest.raises(source_module.SourceError):
                    await source.changes(at(10), 5.0)
                now_s[0] += 0.1
            assert len(asked) == 50
            # After 0, 0.5, 1.5 and 3.5 s, each give or take a quarter of the pause.
            assert 3 <= store.asked <= 5
            store.away = False
            now_s[0] += relay.BACKOFF_MAX_S * 1.25
            await source.changes(at(10), 5.0)
            await source.changes(at(10), 5.0)

    asyncio.run(main())


def test_a_relay_that_never_heard_from_the_store_says_that_it_knows_nothing():
    """A new instance is asked for news before its first reading; it has no age to tell."""
    answer = asyncio.run(tell(journal_module.Journal(), math.inf)(question()))
    assert answer.status == 200
    assert relay_codec.decode(answer.body, decode).lost


@pytest.mark.parametrize(
    "target", [b"", b"x/1000/a", b"5", b"5/1000", b"5/1000/", b"5/x/a"], ids=repr
)
def test_a_question_of_another_form_is_none(target):
    heard = attendance.Attendance()
    request = attrs.evolve(question(), target=relay.PATH + target)
    answer = asyncio.run(tell(journal_with(replica("a", 11)), 0.5, heard)(request))
    assert answer.status == 404
    assert not heard.is_asked(0.0, but="")


@pytest.mark.parametrize("data_centres", [[], ["beside"], ["beside", "far"]])
def test_an_instance_alone_in_its_data_centre_asks_the_store(data_centres):
    async def main():
        peers = replicas_module.Replicas(lambda entry: None, PLACE, budget.Allowance())
        for each in data_centres:
            peers.put(routes.ReplicaEntry(f"e-{each}", each, "h", 1, each, 1, False, 0))
        store = Source()
        source = make_source(store, peers)
        assert source.relays() == []
        assert source.serves_peers()
        await source.changes(at(10), 5.0)
        assert store.asked == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ("age_s", "wait_ms", "waited_s"),
    [
        (0.0, 1000, relay.WAIT_S),
        (0.0, 9000, relay.WAIT_S),
        (0.0, 0, 0.0),
        (1.2, 1000, 0.4),
        (1.59, 1000, 0.01),
        (1.6, 1000, 0.0),
        (60.0, 1000, 0.0),
    ],
)
def test_news_are_told_before_they_are_too_old(age_s, wait_ms, waited_s, monkeypatch):
    """
    A relay is cut off from the store, and the next configuration is written. The others wait for a
    second with it again while its news are just young enough, and ask the store 3 s after the cut,
    when the configuration should have been in force.
    """
    waits_s = []

    async def since(journal, after, wait_s):
        waits_s.append(wait_s)
        return source_module.Changes((), after.revision, era=after.era)

    monkeypatch.setattr(journal_module.Journal, "since", since)
    asyncio.run(tell(journal_module.Journal(), age_s)(question(wait_ms=wait_ms)))
    assert waits_s == [pytest.approx(waited_s)]


@pytest.mark.parametrize(
    ("relays", "heard", "missed"),
    [
        ((-1, 0), {"0": 0.0, "1": 9.0, "2": 9.0}, {"0"}),
        ((-1, 0), {"0": 9.0, "1": 9.0, "2": 9.0}, set()),
        ((-1, 0), {"0": 0.0, "1": 0.0, "2": 9.0}, set()),
        ((0, -1), {"0": 0.0, "1": 9.0}, {"0"}),
        ((0, -1), {"0": 0.0, "1": 0.0}, set()),
        ((0, -1), {"0": 9.0, "1": 0.0}, set()),
        ((0, 1), {"0": 0.0, "1": 9.0}, set()),
    ],
    ids=[
        "one is silent",
        "none is",
        "most are",
        "the first relay is, and others ask",
        "it is for this one alone",
        "another one is",
        "no relay",
    ],
)
def test_who_is_missed(relays, heard, missed):
    """
    An instance loses power. Callers are told its address until its lease lapses, unless the one
    that it asked for news takes its entry out.
    """
    names = names_in_order(3, *relays)
    peers = replicas_module.Replicas(lambda entry: None, PLACE, budget.Allowance())
    for name in names:
        peers.put(routes.ReplicaEntry(name, "dc", "h", 1, "dc", 1, False, 0))
    source = make_source(None, peers)
    for place, at_s in heard.items():
        source.attendance.heard(names[int(place)], at_s)
    assert source.silent_instances(10.0) == [names[int(each)] for each in sorted(missed)]
