"""Logs of records in the store that other programs have changed."""

from __future__ import annotations

import asyncio
import json
import time

import fake_store
import hypothesis
import pytest
from hypothesis import strategies
from records import test_ledger

from turmericlug.records import entries
from turmericlug.storage import store as store_module

NOW_S = test_ledger.NOW_S
HEAD, SEGMENT = "r/0/head", "r/0/seg/000000000000"
LINE = ["k", "a1", "f", NOW_S, ""]
ODD_LINES = {
    "no JSON": "[",
    "no list": "{}",
    "too few values": '["k"]',
    "too many values": json.dumps([*LINE, 1, 1]),
    "key a number": json.dumps([1, *LINE[1:]]),
    "key empty": json.dumps(["", *LINE[1:]]),
    "attempt a list": json.dumps(["k", [], "f", NOW_S, ""]),
    "time a text": json.dumps(["k", "a1", "f", "1", ""]),
    "time too high": json.dumps(["k", "a1", "f", 10**400, ""]),
    "outcome nothing": json.dumps(["k", "a1", "f", NOW_S, None]),
    "nested": "[" * 100_000,
    "half a surrogate pair": json.dumps(["\ud800", *LINE[1:]]),
}
ODD_HEADS = {
    "no JSON": "{",
    "empty": "",
    "a list": "[]",
    "without next": '{"base": 0}',
    "next a text": '{"base": 0, "next": "2"}',
    "next of a segment that exists": '{"base": 0, "next": 1}',
    "next too high": '{"base": 0, "next": 1000000000000000}',
    "base above next": '{"base": 9, "next": 4}',
    "nested": "[" * 100_000,
    "lost for ever": '{"base": 0, "next": 2, "doubted_until_s": 1e12}',
    "era a text": '{"base": 0, "next": 2, "era": "x"}',
}


def write(store, key, text):
    store.revision += 1
    store.values[key] = store_module.Value(key, text, store.revision)


def claim(attempt, key, created_at_s=NOW_S):
    return test_ledger.make_operation("claim", attempt, key, created_at_s=created_at_s)


async def store_with_two_claims():
    """Return a store with the claims of ``k`` and ``l`` in a segment each."""
    store = fake_store.FakeStore()
    writer = test_ledger.make_bucket(store)
    for key in "kl":
        assert (await test_ledger.ask(writer, claim("a1", key))).status == "granted"
    return store, writer


@pytest.mark.parametrize("line", ODD_LINES.values(), ids=ODD_LINES)
def test_an_odd_line_is_refused_alone(line):
    """
    A line that can't be read raised at each load, and no key of the bucket was granted again. If it
    were left out instead, the request whose claim it was would run a second time.
    """

    async def scenario():
        store, _ = await store_with_two_claims()
        write(store, SEGMENT, line)
        fresh = test_ledger.make_bucket(store)
        assert (await test_ledger.ask(fresh, claim("b", "k"))).status == "open"
        assert (await test_ledger.ask(fresh, claim("b", "l"))).status == "open"
        later = claim("b", "new", int(time.time()) + test_ledger.LATER_S)
        assert (await test_ledger.ask(fresh, later)).status == "granted"
        assert fresh._counters.totals["records.unreadable"] == 1
        other = test_ledger.make_bucket(store)
        assert (await test_ledger.ask(other, claim("c", "k"))).status == "open"
        assert (await test_ledger.ask(other, claim("c", "new"))).status == "open"

    asyncio.run(scenario())


def test_the_bound_of_lost_claims_does_not_move_with_each_load():
    """Guards against an odd line because of which no new key is ever granted."""

    async def scenario():
        store, _ = await store_with_two_claims()
        write(store, SEGMENT, "[")
        bucket = test_ledger.make_bucket(store)
        await test_ledger.ask(bucket, claim("b", "k"))
        bound_s = bucket._uncertain_until_s
        for number in range(3):
            bucket.reconcile()
            later = claim("b", f"new{number}", int(time.time()) + test_ledger.LATER_S)
            assert (await test_ledger.ask(bucket, later)).status == "granted"
        assert bucket._uncertain_until_s == bound_s

    asyncio.run(scenario())


def test_a_writer_that_knows_the_refused_entry_writes_it_again():
    """Guards against a known outcome that is lost with its line."""

    async def scenario():
        store, writer = await store_with_two_claims()
        settle = test_ledger.make_operation("settle", "a1", "l", outcome="done")
        assert (await test_ledger.ask(writer, settle)).status == "granted"
        for key in [key for key in store.values if "seg/" in key]:
            write(store, key, "[")
        write(store, HEAD, store.values[HEAD].text + " ")
        await test_ledger.ask(writer, claim("c", "x"))
        await test_ledger.ask(writer, claim("c", "y", int(time.time()) + test_ledger.LATER_S))
        fresh = test_ledger.make_bucket(store)
        assert (await test_ledger.ask(fresh, claim("b", "l"))).status == "settled"

    asyncio.run(scenario())


@pytest.mark.parametrize("head", [*ODD_HEADS.values(), None], ids=[*ODD_HEADS, "missing"])
def test_an_odd_head_loses_no_claim(head):
    """
    A head that can't be read raised at each load. One that was absent, or named a segment that
    exists, let the next write replace a segment, and its requests could run a second time.
    """

    async def scenario():
        store, _ = await store_with_two_claims()
        if head is None:
            del store.values[HEAD]
        else:
            write(store, HEAD, head)
        fresh = test_ledger.make_bucket(store)
        later_s = int(time.time()) + test_ledger.LATER_S
        assert (await test_ledger.ask(fresh, claim("b", "new", later_s))).status == "granted"
        for writer in (fresh, test_ledger.make_bucket(store)):
            for key in ("k", "l", "new"):
                assert (await test_ledger.ask(writer, claim("c", key))).status == "open"
        assert fresh._counters.totals["records.unreadable"] == 1

    asyncio.run(scenario())


VALUES = (
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers(-(10**30), 10**30)
    | strategies.text(strategies.characters(exclude_categories=()), max_size=5)
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.builds(json.dumps, strategies.lists(VALUES, max_size=7))
    | strategies.text(strategies.characters(exclude_categories=("Cs",)), max_size=30)
)
def test_any_line_is_read_or_refused(line):
    """An error of another type raises at each load of the bucket."""
    decoded, refused = entries.decode(line)
    assert len(decoded) + len(refused) == len(line.splitlines())
