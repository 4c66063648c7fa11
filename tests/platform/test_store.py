"""Tests of the client of the platform's store, against the stand-in."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
import standin_platform

from turmericlug.entry import source
from turmericlug.platform import store as store_module
from turmericlug.telemetry import counters

OWN_INSTANCE = source.EntryInstance("e-1", "10.0.0.1:80", "dc-1", "region-1")


@contextlib.asynccontextmanager
async def connected():
    standin = standin_platform.Store()
    async with standin_platform.listening(standin.handle) as address:
        store = store_module.Store(*address, counters.Counters())
        try:
            yield standin, store
        finally:
            store.close()


def write_entries(standin, count):
    standin.put("op/config", standin_platform.configuration(3, [], []))
    for number in range(count):
        replica = standin_platform.Replica(f"i-{number}", "s")
        replica.address = ("127.0.0.1", 9000 + number)
        standin.put(f"servers/i-{number}", replica.entry())
    standin.put("other/key", b"not ours")


@pytest.mark.parametrize("page_size", [2, 3, 500])
def test_read_all_reads_every_page(page_size):
    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 5)
            standin.page_size = page_size
            snapshot = await store.read_all(may_be_stale=False)
            assert len(snapshot.entries) == 6
            assert snapshot.revision == standin.revision

    asyncio.run(main())


def test_stale_read_has_the_revision_of_its_oldest_page():
    """
    Guards against changes missed after a stale read. Its pages come from replicas of the store that
    lag by different amounts. A watch from the first page's revision would miss a change that is
    older than this revision but newer than the second page's, and a replica that left in between
    would continue to get requests.
    """

    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 5)
            standin.page_size = 3
            standin.lags = [1, 4]
            snapshot = await store.read_all(may_be_stale=True)
            assert snapshot.revision == standin.revision - 4
            assert standin.stale_reads == 3

    asyncio.run(main())


def test_changes_continue_from_a_snapshot():
    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 1)
            snapshot = await store.read_all(may_be_stale=False)
            pending = asyncio.create_task(store.changes(snapshot.position, 20.0))
            await asyncio.sleep(0.02)
            standin.remove("servers/i-0")
            changes = await pending
            assert changes.changes == (
                source.Removed("servers/i-0", standin.revision, standin.era),
            )
            assert (await store.changes(changes.position, 0.01)).changes == ()

    asyncio.run(main())


def test_lost_history_raises():
    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 1)
            standin.forget_history()
            with pytest.raises(source.HistoryLostError):
                await store.changes(source.Position(standin.era, 1), 0.01)

    asyncio.run(main())


async def _after_restore(standin, store, after):
    """Watch after the store was restored."""
    restore(standin)
    return await store.changes(after, 0.01)


async def _during_watch(standin, store, after):
    """Restore the store during a watch, then watch again."""
    pending = asyncio.create_task(store.changes(after, 20.0))
    await asyncio.sleep(0.05)
    restore(standin)
    with pytest.raises(source.SourceError):
        await pending
    return await store.changes(after, 0.01)


async def _without_response(standin, store, after):
    """Restore during a watch that gets no response; another call receives the new era."""
    standin.cut_on_restore = False
    pending = asyncio.create_task(store.changes(after, 20.0))
    await asyncio.sleep(0.05)
    restore(standin)
    await store.open_lease(3.0)
    async with asyncio.timeout(1.0):
        return await pending


def restore(standin, extra_writes=1):
    """Restore a backup, then write up to the revision before it, plus ``extra_writes``."""
    revision_before = standin.revision
    standin.restore_backup(2)
    while standin.revision < revision_before + extra_writes:
        standin.put("other/key", b"again")


async def _after_known_restore(standin, store, after):
    """Watch after another call has received the new era."""
    restore(standin, extra_writes=0)
    await store.open_lease(3.0)
    async with asyncio.timeout(1.0):
        return await store.changes(after, 20.0)


async def _after_reconnect(standin, store, after):
    """Watch on a new connection after the old one was closed and no call received the new era."""
    with pytest.raises(source.SourceError):
        standin.fault = "busy"
        await store.changes(after, 0.01)
    standin.fault = None
    store.close()
    restore(standin, extra_writes=0)
    async with asyncio.timeout(1.0):
        return await store.changes(after, 20.0)


@pytest.mark.parametrize(
    "watch",
    [_after_restore, _during_watch, _without_response, _after_known_restore, _after_reconnect],
)
def test_changes_do_not_continue_over_a_restore(watch):
    """Guards against missed changes: after the restore, they reuse revisions from before it."""

    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 3)
            snapshot = await store.read_all(may_be_stale=False)
            with pytest.raises(source.HistoryLostError):
                await watch(standin, store, snapshot.position)
            new_snapshot = await store.read_all(may_be_stale=False)
            assert new_snapshot.era == snapshot.era + 1
            assert {entry.era for entry in new_snapshot.entries} == {new_snapshot.era}

    asyncio.run(main())


def test_read_all_during_a_restore_fails():
    """Guards against a snapshot with pages from before and after a restore of the store."""

    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 5)
            standin.page_size = 3
            standin.on_page = lambda: restore(standin)
            with pytest.raises(source.SourceError) as error:
                await store.read_all(may_be_stale=False)
            assert error.value.reason == "returned_from_copy"

    asyncio.run(main())


def evacuate(standin):
    standin.put("op/evacuate/dc-1", b"{}")


@pytest.mark.parametrize("writes", [1, 8], ids=["behind", "past"])
def test_stale_read_from_before_a_restore_does_not_hide_operators_writes(writes):
    """Guards against starting from a stale read whose revisions were reused after a restore."""

    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 4)
            standin.remove("op/evacuate/dc-1")
            evacuate(standin)
            standin.stale_state = standin.backup()
            standin.restore_backup(4)
            for version in range(writes):
                standin.put("op/config", standin_platform.configuration(10 + version, [], []))
            snapshot = await store.read_all(may_be_stale=True)
            entries = {entry.key: entry for entry in snapshot.entries}
            assert entries["op/config"].value.version == 9 + writes
            assert "op/evacuate/dc-1" not in entries
            assert len(entries) == (5 if writes > 4 else 3)

    asyncio.run(main())


@pytest.mark.parametrize("header_value", [b"", b"-1", b"2.5", b"x", b"9" * 30], ids=repr)
def test_malformed_era_is_treated_as_the_latest(header_value):
    """Guards against a failed call because a response has no era, or a malformed one."""

    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 1)
            snapshot = await store.read_all(may_be_stale=False)
            standin.era_header = header_value
            assert (await store.read_all(may_be_stale=False)).position == snapshot.position

    asyncio.run(main())


def test_response_from_before_a_restore_is_rejected():
    """Guards against a response that was in flight while the store was restored from a backup."""

    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 1)
            await store.read_all(may_be_stale=False)
            standin.era_header = b"0"
            with pytest.raises(source.SourceError) as error:
                await store.open_lease(3.0)
            assert error.value.reason == "older_era"

    asyncio.run(main())


class OddEra:
    """Lets one response of a store state an odd era."""

    def __init__(self, standin, responses_before, value):
        self._headers, self._left, self._value = standin._headers, responses_before, value
        standin._headers = self.headers

    def headers(self):
        self._left -= 1
        if self._left != -1:
            return self._headers()
        return ((standin_platform.ERA_HEADER, self._value),)


async def read_until_it_succeeds(store):
    for _ in range(3):
        try:
            return await store.read_all(may_be_stale=True)
        except source.SourceError:
            continue
    raise AssertionError("the store can't be read")


@pytest.mark.parametrize("value", [b"2", b"7", b"9" * 18])
@pytest.mark.parametrize("responses_before", [0, 1, 2, 3, 4])
def test_an_era_that_one_response_states_is_not_believed(responses_before, value):
    """One response with an odd era made all others count as outdated, until a restart."""

    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 3)
            odd = OddEra(standin, responses_before, value)
            snapshot = await read_until_it_succeeds(store)
            assert snapshot.era == store.era == 1
            for _ in range(3):
                with contextlib.suppress(source.SourceError):
                    await store.open_lease(3.0)
            assert odd._left < 0
            assert (await store.read_all(may_be_stale=False)).position == snapshot.position
            assert store.era == 1
            restore(standin)
            with pytest.raises(source.HistoryLostError):
                await store.changes(snapshot.position, 0.01)
            assert (await store.read_all(may_be_stale=False)).era == 2

    asyncio.run(main())


def test_registration_ends_with_its_lease():
    async def main():
        async with connected() as (standin, store):
            lease = await store.open_lease(3.0)
            await store.register(OWN_INSTANCE, lease)
            (written,) = (await store.read_all(may_be_stale=False)).entries
            assert written.value == OWN_INSTANCE
            await store.renew_lease(lease)
            await store.end_lease(lease)
            assert (await store.read_all(may_be_stale=False)).entries == ()
            for call in (store.renew_lease(lease), store.register(OWN_INSTANCE, lease)):
                with pytest.raises(source.LeaseEndedError):
                    await call

    asyncio.run(main())


@pytest.mark.parametrize("written_again", [False, True])
def test_remove_fails_for_an_entry_written_since(written_again):
    """
    Guards against the removal of a running instance: another instance finds it silent, and it
    registers again just before its entry is removed. Removed regardless, it would run unlisted.
    """

    async def main():
        async with connected() as (standin, store):
            await store.register(OWN_INSTANCE, await store.open_lease(8.0))
            (entry,) = (await store.read_all(may_be_stale=False)).entries
            assert entry.lease in standin.leases
            if written_again:
                await store.register(OWN_INSTANCE, entry.lease)
            assert await store.remove([entry]) is not written_again
            assert bool(standin.items) is written_again

    asyncio.run(main())


def test_remove_rejects_more_keys_than_one_call_allows():
    async def main():
        async with connected() as (standin, store):
            entries = [
                source.Written(f"k/{number}", OWN_INSTANCE, 1)
                for number in range(store_module.MAX_KEYS_PER_CALL + 1)
            ]
            with pytest.raises(source.SourceError):
                await store.remove(entries)
            assert standin.calls == []

    asyncio.run(main())


@pytest.mark.parametrize(("fault", "reason"), [("busy", "busy"), ("lost", "timeout")])
def test_call_after_a_failed_call_succeeds(fault, reason, monkeypatch):
    """
    Guards against a client that reuses a connection after a lost response and waits forever: the
    store applies a write, but sends no further responses on that connection. The client closes it,
    and the next call opens another one.
    """
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_S", 0.1)

    async def main():
        async with connected() as (standin, store):
            lease = await store.open_lease(3.0)
            standin.fault = fault
            with pytest.raises(source.SourceError) as error:
                await store._call(b"POST", f"kv-keep/{lease}", {}, timeout_s=0.1)
            assert error.value.reason == reason
            standin.fault = None
            await store.renew_lease(lease)

    asyncio.run(main())


@pytest.mark.parametrize(
    "value", [b"no json", b"[]", b'{"Version":1}', b'{"Service":"s","Address":"nowhere"}']
)
def test_unreadable_values_do_not_affect_others(value):
    async def main():
        async with connected() as (standin, store):
            write_entries(standin, 2)
            standin.put("op/config", value)
            standin.put("servers/i-9", value)
            snapshot = await store.read_all(may_be_stale=False)
            types = {entry.key: type(entry) for entry in snapshot.entries}
            assert types == {
                "op/config": source.Unreadable,
                "servers/i-0": source.Written,
                "servers/i-1": source.Written,
                "servers/i-9": source.Unreadable,
            }
            standin.put("servers/i-1", value)
            changes = await store.changes(snapshot.position, 0.01)
            assert [type(change) for change in changes.changes] == [source.Unreadable]

    asyncio.run(main())
