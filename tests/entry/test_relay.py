"""Changes relayed between instances, and the fallback when a relay fails."""

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
from turmericlug.policy import liveness
from turmericlug.telemetry import counters

PLACE = placement.Place("own", "dc", {"dc": "r"})


def at(revision, era=0):
    return source_module.Position(era, revision)


def replica(name, revision):
    return source_module.Written(f"r/{name}", scripted.entry(name), revision, name.encode())


def decode(key, content, revision):
    if content == b"?":
        return source_module.Unreadable(key, revision, "no_entry")
    if not key.startswith("r/"):
        return None
    return source_module.Written(key, scripted.entry(content.decode()), revision, content)


class Source:
    """The store; counts the requests for changes."""

    def __init__(self):
        self.asked = 0
        self.waits_s = []
        self.unreachable = False

    async def changes(self, after, wait_s):
        self.asked += 1
        self.waits_s.append(wait_s)
        if self.unreachable:
            raise source_module.SourceError("unreachable")
        return source_module.Changes((), after.revision, era=after.era)


def names_in_order(count, *relays):
    """
    Return names of other instances.

    :param relays: the indexes of the relays among them, in order; -1 is the instance itself
    """
    candidates = itertools.permutations(map(str, range(60)), count)
    for names in candidates:
        expected = [names[index] if index >= 0 else "own" for index in relays]
        if placement.preferred("news", ["own", *names], len(relays)) == expected:
            return names
    raise AssertionError("no such names")


@contextlib.asynccontextmanager
async def relayed(*handlers, relays=None):
    """
    Run other instances with the given handlers; yield a source that uses them as relays.

    :param relays: the indexes of the relays among them, in order; -1 is the instance itself
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
            listening_server = server.Server(handler, messages.Limits, 10)
            listener = await server.listen(listening_server, "127.0.0.1", 0)
            stack.callback(listening_server.close)
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
        liveness.PeerLiveness(),
        random.Random(1),
    )


def as_sent(changes, age_s=0.5, decoding_s=0.5):
    """Check the age of relayed changes, which includes their decoding; return them as sent."""
    assert age_s <= changes.age_s <= age_s + decoding_s
    return attrs.evolve(changes, age_s=age_s)


def relay_handler(journal, age_s=0.5, peer_liveness=None):
    """Return the handler of a relay whose last answer from the store has the given age."""
    return relay.handler(journal, lambda: age_s, peer_liveness or liveness.PeerLiveness())


def changes_request(after=5, wait_ms=1000, name="x"):
    target = relay.PATH + f"0.{after}/{wait_ms}/{name}".encode()
    return messages.Request(b"GET", target, (), b"", 0.0, 0.0, 0.0, 0.0)


def journal_with(*changes):
    journal = journal_module.Journal()
    journal.restart(at(10))
    journal.add(source_module.Changes(changes, 12))
    return journal


def test_changes_come_from_the_relay():
    async def main():
        journal = journal_with(replica("a", 11), source_module.Removed("r/b", 12))
        async with relayed(relay_handler(journal)) as (source, store):
            found = as_sent(await source.changes(at(10), 5.0))
            assert found == source_module.Changes(
                (replica("a", 11), source_module.Removed("r/b", 12)), 12, 0.5
            )
            assert store.asked == 0

    asyncio.run(main())


@pytest.mark.parametrize(
    ("era", "after", "asked"),
    [(2, at(10, 1), 0), (2, at(11, 1), 1), (1, at(10, 2), 1)],
    ids=["known here", "requester knows more", "relay is behind"],
)
def test_relay_answers_across_a_restore_only_what_it_knows(era, after, asked):
    """Guards against lost changes where the relay and the requester know different eras."""

    async def main():
        journal = journal_module.Journal()
        journal.restart(at(10, 1))
        if era > 1:
            journal.add(source_module.Changes((), 8, era=era))
        async with relayed(relay_handler(journal)) as (source, store):
            found = await source.changes(after, 0.01)
            assert store.asked == asked
            assert found.position == (after if asked else at(8, 2))

    asyncio.run(main())


def test_unreadable_value_is_relayed():
    """
    Guards against an unreadable value under a replica's key that makes the relay fail: all
    instances of its data centre turn to the store, and changes of other replicas are not relayed.
    """
    unreadable = source_module.Unreadable("r/a", 11, "no_entry")

    async def main():
        journal = journal_with(unreadable, replica("b", 12))
        async with relayed(relay_handler(journal)) as (source, store):
            found = await source.changes(at(10), 5.0)
            refused, *others = found.changes
            assert (found.revision, others) == (12, [replica("b", 12)])
            as_sent(found)
            assert attrs.evolve(refused, problem="") == unreadable
            assert store.asked == 0

    asyncio.run(main())


def test_large_configuration_is_relayed_compressed():
    """
    Guards against a relay that saturates its link: on 7 Mbit/s, sending a configuration of 60 KB to
    fourteen instances blocked all other traffic for most of a second. The batches of its own
    queries were all treated as lost and sent again, part by part, from a machine of half a core.
    """
    shards = [f"service-{number:03}" for number in range(90)]
    content = json.dumps([{"prefix": f"/r{number}/", "shards": shards} for number in range(40)])
    written = source_module.Written("r/config", scripted.entry(content), 11, content.encode())

    async def main():
        sizes = []

        async def handler(request):
            answer = await relay_handler(journal_with(written))(request)
            sizes.append(len(answer.body))
            return answer

        async with relayed(handler) as (source, _):
            found = as_sent(await source.changes(at(10), 5.0))
            assert found == source_module.Changes((written,), 12, 0.5)
        assert sizes[0] < 0.1 * len(content)

    asyncio.run(main())


async def silent(request):
    await asyncio.sleep(30)


async def garbage(request):
    return messages.Response(200, body=b"\xff" * 40)


async def failing(request):
    return messages.Response(500)


async def stale(request):
    return await relay_handler(journal_with(replica("a", 11)), 9.0)(request)


async def without_history(request):
    return await relay_handler(journal_module.Journal(), 0.0)(request)


@pytest.fixture
def short_waits(monkeypatch):
    monkeypatch.setattr(relay, "WAIT_S", 0.05)
    monkeypatch.setattr(relay, "TIMEOUT_SLACK_S", 0.1)


@pytest.mark.parametrize(
    ("handler", "failed"),
    [(silent, 2), (garbage, 2), (failing, 2), (stale, 0), (without_history, 0)],
)
@pytest.mark.parametrize("relays", [1, 2])
def test_failing_relays_are_bypassed(handler, failed, relays, short_waits):
    """
    Guards against instances that keep old routes, and send to replicas that have left, because
    their relays are frozen, cut off from the store, or newly started.
    """

    async def main():
        async with relayed(*[handler] * relays) as (source, store):
            for _ in range(4):
                assert await source.changes(at(10), 5.0) == source_module.Changes((), 10)
            assert store.asked == 4
            assert source.counters.totals["relay.failed"] == failed * relays

    asyncio.run(main())


def test_relay_whose_exchange_raises_is_bypassed():
    """Guards against a follower that fails at each attempt because of one relay's odd address."""

    async def main():
        found = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: found.append(context))

        async def connect():
            raise UnicodeError("label empty or too long")

        def make_pool(entry):
            return pool_module.Pool(connect, lambda: 3, asyncio.get_running_loop().time)

        peers = replicas_module.Replicas(make_pool, PLACE, budget.Allowance())
        (name,) = names_in_order(1, 0)
        peers.put(routes.ReplicaEntry(name, "dc", "h..example", 80, "dc", 1, False, 0))
        store = Source()
        source = make_source(store, peers)
        assert await source.changes(at(10), 5.0) == source_module.Changes((), 10)
        assert (store.asked, len(found)) == (1, 1)
        assert source.counters.totals["relay.failed"] == 1

    asyncio.run(main())


@pytest.mark.parametrize("first", [silent, garbage, failing, stale])
def test_second_relay_takes_over(first, short_waits):
    """
    Guards against a burst of calls to the store when the first relay of a data centre dies: each of
    the 32 other instances asked the store itself, one call per change, until the dead relay's lease
    had expired.
    """

    async def main():
        second = relay_handler(journal_with(replica("a", 11)))
        async with relayed(first, second) as (source, store):
            for _ in range(4):
                found = await source.changes(at(10), 5.0)
                assert as_sent(found) == source_module.Changes((replica("a", 11),), 12, 0.5)
            assert store.asked == 0

    asyncio.run(main())


def test_a_failed_relay_is_not_waited_for_again(short_waits):
    """
    Guards against an instance that waits twice for a frozen relay, and against all instances of a
    data centre that wait at the store while the standby can answer.
    """
    waits_ms = []

    async def first(request):
        waits_ms.append(int(request.target.split(b"/")[3]))
        await asyncio.sleep(30)

    async def main():
        async with relayed(first, stale) as (source, store):
            for _ in range(3):
                await source.changes(at(10), 5.0)
            return store.waits_s

    assert asyncio.run(main()) == [0.0, 0.0, 5.0]
    assert waits_ms == [50, 0]


def test_instances_wait_at_the_store_once_all_relays_are_skipped(short_waits):
    """Guards against instances that ask the store again and again while both relays are frozen."""

    async def main():
        async with relayed(silent, silent) as (source, store):
            for _ in range(4):
                await source.changes(at(10), 5.0)
            return store.waits_s

    assert asyncio.run(main()) == [0.0, 5.0, 5.0, 5.0]


def test_second_relay_asks_the_first_before_the_store(short_waits):
    async def main():
        healthy = relay_handler(journal_with(replica("a", 11)))
        async with relayed(healthy, healthy, relays=(0, -1)) as (source, store):
            assert (await source.changes(at(10), 5.0)).changes == (replica("a", 11),)
            assert not source.serves_peers()
        async with relayed(stale, healthy, relays=(0, -1)) as (source, store):
            await source.changes(at(10), 5.0)
            assert store.asked == 1
            assert source.serves_peers()

    asyncio.run(main())


def test_unreachable_store_is_asked_with_backoff(monkeypatch):
    """
    Guards against extra load on a store that is down: the relays report that their changes are too
    old, and each of 195 instances asked the store itself three times a second throughout the
    outage. The relays are still asked meanwhile, so that the return of the store is known at once.
    """
    now_s = [100.0]

    async def main():
        asked = []

        async def handler(request):
            asked.append(1)
            return await stale(request)

        async with relayed(handler) as (source, store):
            monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now_s[0], raising=False)
            store.unreachable = True
            for _ in range(50):
                with pytest.raises(source_module.SourceError):
                    await source.changes(at(10), 5.0)
                now_s[0] += 0.1
            assert len(asked) == 50
            # After 0, 0.5, 1.5 and 3.5 s, each delay with a jitter of a quarter.
            assert 3 <= store.asked <= 5
            store.unreachable = False
            now_s[0] += relay.BACKOFF_MAX_S * 1.25
            await source.changes(at(10), 5.0)
            await source.changes(at(10), 5.0)

    asyncio.run(main())


def test_relay_states_the_age_of_the_changes_that_it_sends(monkeypatch):
    """
    The source answered while a relay was encoding its changes: it stated the age of that answer
    with changes from before, and the receiver took itself for up to date.
    """

    ages_s = [1.2]
    encode_change = relay_codec._encode_change

    def encode_after_answer(change):
        ages_s.append(0.0)
        return encode_change(change)

    monkeypatch.setattr(relay_codec, "_encode_change", encode_after_answer)

    async def main():
        journal = journal_with(replica("a", 11))
        handle = relay.handler(journal, lambda: ages_s[-1], liveness.PeerLiveness())
        response = await handle(changes_request(after=10))
        return relay_codec.decode(response.body, decode).changes.age_s

    assert asyncio.run(main()) >= 1.2


def test_relay_without_a_snapshot_reports_lost_history():
    """A new instance is asked for changes before its first snapshot, and has no age to report."""
    answer = asyncio.run(relay_handler(journal_module.Journal(), math.inf)(changes_request()))
    assert answer.status == 200
    assert relay_codec.decode(answer.body, decode).history_lost


@pytest.mark.parametrize(
    "target", [b"", b"x/1000/a", b"5", b"5/1000", b"5/1000/", b"5/x/a"], ids=repr
)
def test_malformed_request_is_not_found(target):
    peer_liveness = liveness.PeerLiveness()
    request = attrs.evolve(changes_request(), target=relay.PATH + target)
    answer = asyncio.run(relay_handler(journal_with(replica("a", 11)), 0.5, peer_liveness)(request))
    assert answer.status == 404
    assert not peer_liveness.has_recent_contact(0.0, excluding="")


@pytest.mark.parametrize("data_centres", [[], ["beside"], ["beside", "far"]])
def test_only_instance_in_its_data_centre_asks_the_store(data_centres):
    async def main():
        peers = replicas_module.Replicas(lambda entry: None, PLACE, budget.Allowance())
        for data_centre in data_centres:
            peers.put(
                routes.ReplicaEntry(
                    f"e-{data_centre}", data_centre, "h", 1, data_centre, 1, False, 0
                )
            )
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
def test_relay_replies_before_its_changes_are_too_old(age_s, wait_ms, waited_s, monkeypatch):
    """
    Guards against a configuration that takes effect too late: it is written just after a relay has
    been cut off from the store. The others waited for another full second while the relay's changes
    were still just below the age limit, and asked the store only 3 s after the relay had lost it,
    when the configuration should have been in force.
    """
    waits_s = []

    async def since(journal, after, wait_s):
        waits_s.append(wait_s)
        return source_module.Changes((), after.revision, era=after.era)

    monkeypatch.setattr(journal_module.Journal, "since", since)
    asyncio.run(relay_handler(journal_module.Journal(), age_s)(changes_request(wait_ms=wait_ms)))
    assert waits_s == [pytest.approx(waited_s)]


@pytest.mark.parametrize(
    ("relays", "contacts_s", "silent_names"),
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
        "none is silent",
        "most are silent",
        "first relay is silent, and others ask this one",
        "first relay is silent to this one only",
        "another one is silent",
        "this one is not a relay",
    ],
)
def test_silent_instances(relays, contacts_s, silent_names):
    """
    Guards against callers that are given the address of an instance without power until its lease
    expires: the relay it used has to find it silent, so that its entry is removed.
    """
    names = names_in_order(3, *relays)
    peers = replicas_module.Replicas(lambda entry: None, PLACE, budget.Allowance())
    for name in names:
        peers.put(routes.ReplicaEntry(name, "dc", "h", 1, "dc", 1, False, 0))
    source = make_source(None, peers)
    for index, at_s in contacts_s.items():
        source.peer_liveness.record_contact(names[int(index)], at_s)
    assert source.silent_instances(10.0) == [names[int(index)] for index in sorted(silent_names)]


@pytest.mark.parametrize(
    "target",
    [
        b"1.%s/0/e-2" % (b"9" * 5000),
        b"%s.1/0/e-2" % (b"9" * 5000),
        b"1.%d/0/e-2" % 2**64,
        b"1.1/%s/e-2" % (b"9" * 5000),
        b"1/0/e-2",
        b"-1.1/0/e-2",
        b"\xb2.1/0/e-2",
    ],
    ids=lambda target: str(target[:12]),
)
def test_request_with_a_malformed_position_is_rejected(target):
    """Guards against positions of thousands of digits, which Python refuses to convert."""

    async def main():
        request = messages.Request(b"GET", relay.PATH + target, (), b"", 0.0)
        response = await relay_handler(journal_with(replica("a", 11)))(request)
        assert response.status == 404

    asyncio.run(main())


def test_relay_at_a_position_that_the_source_cannot_reach_is_bypassed(short_waits):
    """Guards against instances that wait for ever for changes after the position of their relay."""

    async def main():
        journal = journal_module.Journal()
        journal.restart(at(10))
        journal.add(source_module.Changes((), 2**64 - 1))
        async with relayed(relay_handler(journal)) as (source, store):
            assert (await source.changes(at(10), 5.0)).revision == 10
            assert store.asked == 1
            assert source.counters.totals["relay.failed"] == 1

    asyncio.run(main())


def test_failures_of_relays_that_have_gone_are_forgotten():
    """Guards against an entry for each relay that failed before it ended, over a year of them."""

    async def main():
        async with relayed(*[silent] * 2) as (source, _):
            for number in range(100):
                entry = routes.ReplicaEntry(f"gone-{number}", "dc", "h", 1, "dc", 1, False, 0)
                source.peers.put(entry)
                source._record_failure(source.peers.find(entry.instance), "closed")
                source.peers.remove(entry.instance)
            return len(source._failures)

    assert asyncio.run(main()) <= 2
