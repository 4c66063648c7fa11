"""The client of the platform's store against the stand-in."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
import standin_platform

from turmericlug.entry import news
from turmericlug.platform import store as store_module
from turmericlug.telemetry import counters

OWN = news.EntryInstance("e-1", "10.0.0.1:80", "dc-1", "region-1")


@contextlib.asynccontextmanager
async def connected():
    standin = standin_platform.Store()
    async with standin_platform.listening(standin.handle) as address:
        store = store_module.Store(*address, counters.Counters())
        try:
            yield standin, store
        finally:
            store.close()


def write_some(standin, count):
    standin.put("op/config", standin_platform.configuration(3, [], []))
    for number in range(count):
        replica = standin_platform.Replica(f"i-{number}", "s")
        replica.address = ("127.0.0.1", 9000 + number)
        standin.put(f"servers/i-{number}", replica.entry())
    standin.put("other/key", b"not ours")


@pytest.mark.parametrize("page", [2, 3, 500])
def test_a_reading_takes_every_page(page):
    async def main():
        async with connected() as (standin, store):
            write_some(standin, 5)
            standin.page = page
            snapshot = await store.read_all(may_be_stale=False)
            assert len(snapshot.written) == 6
            assert snapshot.revision == standin.revision

    asyncio.run(main())


def test_a_stale_reading_is_followed_from_its_oldest_page():
    """
    Pages that may be stale come from replicas of the store that lag by different times. Followed
    from the first page's revision, what had changed before it but after the second page's would
    never be learnt: a replica that left in between would go on getting requests.
    """

    async def main():
        async with connected() as (standin, store):
            write_some(standin, 5)
            standin.page = 3
            standin.lags = [1, 4]
            snapshot = await store.read_all(may_be_stale=True)
            assert snapshot.revision == standin.revision - 4
            assert standin.stale_reads == 3

    asyncio.run(main())


def test_changes_are_followed_from_a_reading():
    async def main():
        async with connected() as (standin, store):
            write_some(standin, 1)
            snapshot = await store.read_all(may_be_stale=False)
            waiting = asyncio.create_task(store.changes(snapshot.position, 20.0))
            await asyncio.sleep(0.02)
            standin.remove("servers/i-0")
            changes = await waiting
            assert changes.changes == (news.Removed("servers/i-0", standin.revision, standin.era),)
            assert (await store.changes(changes.position, 0.01)).changes == ()

    asyncio.run(main())


def test_lost_history_is_told():
    async def main():
        async with connected() as (standin, store):
            write_some(standin, 1)
            standin.forget_history()
            with pytest.raises(news.HistoryLostError):
                await store.changes(news.Position(standin.era, 1), 0.01)

    asyncio.run(main())


async def _at_once(standin, store, after):
    """Ask when the store has returned already."""
    returned(standin)
    return await store.changes(after, 0.01)


async def _while_waiting(standin, store, after):
    """Wait for changes when the store returns, and ask again."""
    waiting = asyncio.create_task(store.changes(after, 20.0))
    await asyncio.sleep(0.05)
    returned(standin)
    with pytest.raises(news.SourceError):
        await waiting
    return await store.changes(after, 0.01)


async def _silent(standin, store, after):
    """Wait on a connection that went silent, while another call hears of the return."""
    standin.cut_on_restore = False
    waiting = asyncio.create_task(store.changes(after, 20.0))
    await asyncio.sleep(0.05)
    returned(standin)
    await store.lease(3.0)
    async with asyncio.timeout(1.0):
        return await waiting


def returned(standin, past=1):
    """Return from a copy and count up to the revision that was known, or past it."""
    known = standin.revision
    standin.restore_backup(2)
    while standin.revision < known + past:
        standin.put("other/key", b"again")


async def _known(standin, store, after):
    """Ask when another call has told of the return."""
    returned(standin, past=0)
    await store.lease(3.0)
    async with asyncio.timeout(1.0):
        return await store.changes(after, 20.0)


async def _reconnected(standin, store, after):
    """Ask on a new connection, as the old one was cut, when nothing told of the return."""
    with pytest.raises(news.SourceError):
        standin.fault = "busy"
        await store.changes(after, 0.01)
    standin.fault = None
    store.close()
    returned(standin, past=0)
    async with asyncio.timeout(1.0):
        return await store.changes(after, 20.0)


@pytest.mark.parametrize("ask", [_at_once, _while_waiting, _silent, _known, _reconnected])
def test_changes_are_not_followed_over_a_return_from_a_copy(ask):
    """Guards against changes that are missed as their revisions were known before the return."""

    async def main():
        async with connected() as (standin, store):
            write_some(standin, 3)
            snapshot = await store.read_all(may_be_stale=False)
            with pytest.raises(news.HistoryLostError):
                await ask(standin, store, snapshot.position)
            again = await store.read_all(may_be_stale=False)
            assert again.era == snapshot.era + 1
            assert {each.era for each in again.written} == {again.era}

    asyncio.run(main())


def test_a_reading_over_a_return_from_a_copy_is_none():
    """Guards against a reading whose pages are of two eras."""

    async def main():
        async with connected() as (standin, store):
            write_some(standin, 5)
            standin.page = 3
            standin.on_page = lambda: returned(standin)
            with pytest.raises(news.SourceError) as error:
                await store.read_all(may_be_stale=False)
            assert error.value.reason == "returned_from_copy"

    asyncio.run(main())


def evacuate(standin):
    standin.put("op/evacuate/dc-1", b"{}")


@pytest.mark.parametrize("counted", [1, 8], ids=["behind", "past"])
def test_a_stale_reading_from_before_a_return_does_not_hide_what_operators_wrote(counted):
    """Guards against an instance that starts on revisions which were given out again."""

    async def main():
        async with connected() as (standin, store):
            write_some(standin, 4)
            standin.remove("op/evacuate/dc-1")
            evacuate(standin)
            standin.stale_copy = standin.copied()
            standin.restore_backup(4)
            for version in range(counted):
                standin.put("op/config", standin_platform.configuration(10 + version, [], []))
            snapshot = await store.read_all(may_be_stale=True)
            found = {each.key: each for each in snapshot.written}
            assert found["op/config"].value.version == 9 + counted
            assert "op/evacuate/dc-1" not in found
            assert len(found) == (5 if counted > 4 else 3)

    asyncio.run(main())


@pytest.mark.parametrize("told", [b"", b"-1", b"2.5", b"x", b"9" * 30], ids=repr)
def test_an_era_that_cannot_be_read_is_taken_for_the_latest(told):
    """Guards against answers of a store that tells its era in no or another form."""

    async def main():
        async with connected() as (standin, store):
            write_some(standin, 1)
            before = await store.read_all(may_be_stale=False)
            standin.told_era = told
            assert (await store.read_all(may_be_stale=False)).position == before.position

    asyncio.run(main())


def test_an_answer_from_before_the_return_counts_for_nothing():
    """Guards against an answer that was under way while the store returned from a copy."""

    async def main():
        async with connected() as (standin, store):
            write_some(standin, 1)
            await store.read_all(may_be_stale=False)
            standin.told_era = b"0"
            with pytest.raises(news.SourceError) as error:
                await store.lease(3.0)
            assert error.value.reason == "older_era"

    asyncio.run(main())


def test_a_registration_lives_with_its_lease():
    async def main():
        async with connected() as (standin, store):
            lease = await store.lease(3.0)
            await store.register(OWN, lease)
            (written,) = (await store.read_all(may_be_stale=False)).written
            assert written.value == OWN
            await store.keep(lease)
            await store.end(lease)
            assert (await store.read_all(may_be_stale=False)).written == ()
            for call in (store.keep(lease), store.register(OWN, lease)):
                with pytest.raises(news.LeaseEndedError):
                    await call

    asyncio.run(main())


@pytest.mark.parametrize("written_again", [False, True])
def test_an_entry_is_taken_out_unless_it_was_written_since(written_again):
    """
    An instance is missed by another, and registers again just before it is taken out. Taken out all
    the same, it would be told to nobody although it runs.
    """

    async def main():
        async with connected() as (standin, store):
            await store.register(OWN, await store.lease(8.0))
            (entry,) = (await store.read_all(may_be_stale=False)).written
            assert entry.lease in standin.leases
            if written_again:
                await store.register(OWN, entry.lease)
            assert await store.remove([entry]) is not written_again
            assert bool(standin.items) is written_again

    asyncio.run(main())


def test_no_more_keys_are_taken_out_than_one_call_may_name():
    async def main():
        async with connected() as (standin, store):
            entries = [news.Written(f"k/{n}", OWN, 1) for n in range(store_module.MOST_KEYS + 1)]
            with pytest.raises(news.SourceError):
                await store.remove(entries)
            assert standin.calls == []

    asyncio.run(main())


@pytest.mark.parametrize(("fault", "reason"), [("busy", "busy"), ("lost", "timeout")])
def test_a_store_without_answers(fault, reason, monkeypatch):
    """
    The store does a write and its answer is lost. The connection is useless from then on: a client
    that keeps it waits for ever. So it is closed, and the next call opens another one.
    """
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.1)

    async def main():
        async with connected() as (standin, store):
            lease = await store.lease(3.0)
            standin.fault = fault
            with pytest.raises(news.SourceError) as error:
                await store._call(b"POST", f"kv-keep/{lease}", {}, timeout_s=0.1)
            assert error.value.reason == reason
            standin.fault = None
            await store.keep(lease)

    asyncio.run(main())


@pytest.mark.parametrize(
    "value", [b"no json", b"[]", b'{"Version":1}', b'{"Service":"s","Address":"nowhere"}']
)
def test_values_that_cannot_be_read_leave_the_others_as_they_are(value):
    async def main():
        async with connected() as (standin, store):
            write_some(standin, 2)
            standin.put("op/config", value)
            standin.put("servers/i-9", value)
            snapshot = await store.read_all(may_be_stale=False)
            kinds = {each.key: type(each) for each in snapshot.written}
            assert kinds == {
                "op/config": news.Unreadable,
                "servers/i-0": news.Written,
                "servers/i-1": news.Written,
                "servers/i-9": news.Unreadable,
            }
            standin.put("servers/i-1", value)
            changes = await store.changes(snapshot.position, 0.01)
            assert [type(each) for each in changes.changes] == [news.Unreadable]

    asyncio.run(main())
