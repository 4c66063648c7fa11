"""Answers of the store with fields that are missing, of another type or out of range."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json

import pytest
import standin_platform

from turmericlug.entry import source
from turmericlug.platform import store as store_module
from turmericlug.telemetry import counters

OWN_INSTANCE = source.EntryInstance("e-1", "10.0.0.1:80", "dc-1", "region-1")
MANY_DIGITS = 10**400
AFTER = source.Position(1, 100)


@contextlib.asynccontextmanager
async def answering(*answers):
    """Connect to a store that gives these answers, each a status and a body, in turn."""
    standin, left = standin_platform.Store(), list(answers)

    async def dispatch(call, parameters, body):
        standin.parameters = parameters
        status, content = left.pop(0) if len(left) > 1 else left[0]
        return status, content

    standin._dispatch = dispatch
    metrics = counters.Counters()
    async with standin_platform.listening(standin.handle) as address:
        store = store_module.Store(*address, metrics)
        try:
            yield standin, store, metrics
        finally:
            store.close()


def item(key, **changes):
    """Return an item that holds a replica's entry, with fields replaced or (``...``) absent."""
    replica = standin_platform.Replica("i-1", "s")
    replica.address = ("10.0.0.7", 8080)
    content = json.dumps(replica.entry()).encode()
    fields = {
        "Key": key,
        "Value": base64.b64encode(content).decode(),
        "Revision": 90,
        "Lease": 7,
    } | changes
    return {name: value for name, value in fields.items() if value is not ...}


def page(*items, **changes):
    return {"items": [*items], "AsOf": 100, "HasMore": False} | changes


def watched(*events, **changes):
    return {"events": [*events], "AsOf": 100} | changes


ODD_NUMBERS = (None, "1", -1, 1.5, True, [1], {}, 2**64, MANY_DIGITS)
ODD_ANSWERS = [
    *((call, body) for call in ("range", "watch", "lease") for body in ([], [3], 7, "x", None, {})),
    *(("range", page(AsOf=value)) for value in ODD_NUMBERS),
    *(("range", page(items=value)) for value in (None, {}, 3, [3], [None], [{}], [{"Key": 3}])),
    *(("range", page(HasMore=value)) for value in (3, "false", [1])),
    *(("watch", watched(AsOf=value)) for value in ODD_NUMBERS),
    *(("watch", watched(events=value)) for value in (None, {}, 3, [3], [None], [{}], [{"Key": 3}])),
    *(("lease", {"Lease": value}) for value in (*ODD_NUMBERS, 0, "7/../8")),
]
CALLS = {
    "range": lambda store: store.read_all(may_be_stale=False),
    "watch": lambda store: store.changes(source.Position(store.era, 100), 0.01),
    "lease": lambda store: store.open_lease(8.0),
    "keep": lambda store: store.renew_lease(7),
    "register": lambda store: store.register(OWN_INSTANCE, 7),
    "remove": lambda store: store.remove([source.Written("k", OWN_INSTANCE, 1)]),
}


def error_of(call, *answers):
    """Return the error of a call, its reason, and the counters."""

    async def main():
        async with answering(*answers) as (_, store, metrics):
            store.era = 1
            try:
                await CALLS[call](store)
            except Exception as error:
                return type(error), getattr(error, "reason", None), metrics.totals
            return None, None, metrics.totals

    return asyncio.run(main())


@pytest.mark.parametrize(("call", "body"), ODD_ANSWERS, ids=lambda value: str(value)[:60])
def test_malformed_answer_is_a_source_error(call, body):
    """
    Guards against an answer with a malformed field that ends the task that has asked: the instance
    then follows the store no more, or is not registered any more.
    """
    error, reason, totals = error_of(call, (200, body))
    assert (error, reason) == (source.SourceError, "malformed")
    assert totals[f"source.malformed.kv-{call}"] == 1


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("body", [b"no json", b"[" * 200_000, b"\xff"], ids=lambda body: body[:4])
def test_answer_that_is_not_json_is_a_source_error(call, body, monkeypatch):
    """Guards against a deeply nested answer that raises RecursionError in the task that asked."""

    async def handle(self, request):
        return standin_platform.messages.Response(200, self._headers(), body)

    monkeypatch.setattr(standin_platform.Store, "handle", handle)
    assert error_of(call, (200, {}))[:2] == (source.SourceError, "unreadable")


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [404, 410, 412])
def test_status_has_its_meaning_only_in_the_calls_that_define_it(call, status):
    """
    Guards against a status out of place that ends the task that asked: an ended lease in the answer
    to a read, lost history in the answer to a renewal, another revision in either.
    """
    error, _, _ = error_of(call, (status, {}))
    expected = {
        ("watch", 410): source.HistoryLostError,
        ("keep", 404): source.LeaseEndedError,
        ("register", 404): source.LeaseEndedError,
        ("remove", 412): None,
    }
    assert error is expected.get((call, status), source.SourceError)


ODD_ITEMS = [
    *({"Revision": value} for value in (*ODD_NUMBERS, ..., 2**64 - 1)),
    *({"Value": value} for value in (None, 3, ["e30="], {}, ...)),
]


@pytest.mark.parametrize("changes", ODD_ITEMS, ids=lambda changes: str(changes)[:40])
def test_malformed_item_costs_only_itself(changes):
    """
    Guards against one malformed item that hides all others, or one whose revision is so large that
    no later value of its key ever counts as newer.
    """

    async def main():
        odd, good = item("servers/odd", **changes), item("servers/good")
        body = page(odd, good) | watched(odd, good)
        async with answering((200, body)) as (_, store, _):
            store.era = 1
            for found in (
                (await store.read_all(may_be_stale=False)).entries,
                (await store.changes(AFTER, 0.01)).changes,
            ):
                assert [(type(entry), entry.key) for entry in found] == [
                    (source.Unreadable, "servers/odd"),
                    (source.Written, "servers/good"),
                ]
                assert (found[0].revision, found[1].lease) == (0, 7)

    asyncio.run(main())


@pytest.mark.parametrize("lease", [None, "7", -1, 2**64, MANY_DIGITS], ids=lambda v: str(v)[:9])
def test_malformed_lease_of_an_item_counts_as_unknown(lease):
    async def main():
        async with answering((200, page(item("servers/a", Lease=lease)))) as (_, store, _):
            (entry,) = (await store.read_all(may_be_stale=False)).entries
            assert (type(entry), entry.lease) == (source.Written, 0)

    asyncio.run(main())


@pytest.mark.parametrize("revision", [None, 2**64, "x"])
def test_removal_with_a_malformed_revision_counts_from_its_answer(revision):
    """Guards against a removed replica that keeps getting requests."""

    async def main():
        event = {"Key": "servers/a", "Tombstone": True, "Revision": revision}
        async with answering((200, watched(event))) as (_, store, _):
            store.era = 1
            assert (await store.changes(AFTER, 0.01)).changes == (
                source.Removed("servers/a", 100, 1),
            )

    asyncio.run(main())


def test_page_may_end_with_a_key_that_is_not_unicode():
    """Guards against a read that ends at a key with a lone surrogate, which no query can hold."""

    async def main():
        pages = page(item("servers/\ud800"), HasMore=True), page(item("servers/z"))
        async with answering(*((200, body) for body in pages)) as (standin, store, _):
            snapshot = await store.read_all(may_be_stale=False)
            assert [entry.key for entry in snapshot.entries] == ["servers/\ud800", "servers/z"]

    asyncio.run(main())


@pytest.mark.parametrize(
    "body",
    [page(HasMore=True), page(item("servers/a"), HasMore=True)],
    ids=["no items", "the same items"],
)
def test_pages_without_progress_end_the_read(body):
    """Guards against an instance that reads the same page for ever, at the store's full speed."""

    async def main():
        async with answering((200, body)) as (standin, store, metrics):
            with pytest.raises(source.SourceError):
                await store.read_all(may_be_stale=False)
            assert len(standin.calls) <= 2
            assert metrics.totals["source.malformed.kv-range"] == 1

    asyncio.run(main())


@pytest.mark.parametrize("revision", [0, 99, 100 + source.MAX_CHANGES + 1, 2**64 - 1])
def test_position_that_the_store_does_not_reach_is_given_up(revision):
    """
    Guards against waiting for ever for changes after a position that an odd answer stated. One such
    answer is asked for again; after two in a row everything is read again.
    """

    async def main():
        async with answering((200, watched(AsOf=revision))) as (_, store, _):
            store.era = 1
            with pytest.raises(source.SourceError):
                await store.changes(AFTER, 0.01)
            with pytest.raises(source.HistoryLostError):
                await store.changes(AFTER, 0.01)

    asyncio.run(main())


def test_one_odd_position_does_not_cost_a_full_read():
    async def main():
        odd, good = (200, watched(AsOf=99)), (200, watched(AsOf=101))
        async with answering(odd, good, odd, good) as (_, store, _):
            store.era = 1
            for _ in range(2):
                with pytest.raises(source.SourceError):
                    await store.changes(AFTER, 0.01)
                assert (await store.changes(AFTER, 0.01)).revision == 101

    asyncio.run(main())
