"""One bucket of records: verdicts, and a state machine of writers, outages and lost answers."""

from __future__ import annotations

import asyncio
import time

import fake_store
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from turmericlug.records import ledger
from turmericlug.storage import eras
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module

NOW_S = int(time.time())
LATER_S = 100
"""Farther than a test lasts."""


def operation(kind, attempt="a1", key="k", fingerprint="f", outcome="", at_s=NOW_S):
    return ledger.Operation(kind, key, attempt, fingerprint, at_s, outcome)


CLAIMED = ledger.Entry("a1", "f", NOW_S)
SETTLED = ledger.Entry("a1", "f", NOW_S, "done")
RELEASED = ledger.Entry("a1", "f", NOW_S, released=True)


@pytest.mark.parametrize(
    ("entry", "wanted", "verdict"),
    [
        (None, operation("claim"), "granted"),
        (CLAIMED, operation("claim"), "granted"),
        (CLAIMED, operation("claim", "a2"), "open"),
        (CLAIMED, operation("claim", "a2", fingerprint="g"), "mismatch"),
        (SETTLED, operation("claim", "a2"), "settled"),
        (RELEASED, operation("claim", "a2"), "granted"),
        (RELEASED, operation("claim", "a1"), "unavailable"),
        (None, operation("settle"), "mismatch"),
        (CLAIMED, operation("settle", outcome="done"), "granted"),
        (CLAIMED, operation("settle", "a2", outcome="done"), "mismatch"),
        (RELEASED, operation("settle", outcome="done"), "mismatch"),
        (CLAIMED, operation("release"), "granted"),
        (CLAIMED, operation("release", "a2"), "mismatch"),
        (None, operation("release"), "granted"),
    ],
)
def test_judge(entry, wanted, verdict):
    assert ledger.judge(entry, wanted)[0].outcome == verdict


def test_late_claim_of_a_released_attempt_does_not_revive_it():
    """A release overtakes its claim; the caller heard "not run", so the claim must fail."""
    _, entry = ledger.judge(None, operation("release"))
    verdict, changed = ledger.judge(entry, operation("claim"))
    assert (verdict.outcome, changed) == ("unavailable", None)


def bucket(store):
    return ledger.Bucket(store, "r/0/", 3600, 0, counters_module.Counters())


async def ask(writer, wanted, limit_s=0.3):
    task = asyncio.create_task(writer.run())
    try:
        async with asyncio.timeout(limit_s):
            return await writer.ask(wanted)
    except TimeoutError:
        return ledger.unavailable("store")
    finally:
        task.cancel()


def test_one_write_carries_many_records():
    async def main():
        store = fake_store.FakeStore()
        writer = bucket(store)
        asked = [writer.ask(operation("claim", f"a{n}", f"k{n}")) for n in range(100)]
        tasks = [asyncio.create_task(each) for each in asked]
        await asyncio.sleep(0)
        running = asyncio.create_task(writer.run())
        verdicts = await asyncio.gather(*tasks)
        running.cancel()
        assert {verdict.outcome for verdict in verdicts} == {"granted"}
        return store.swaps

    assert asyncio.run(main()) == 1


def test_compaction_keeps_what_counts():
    async def main():
        store = fake_store.FakeStore()
        writer = bucket(store)
        for number in range(80):
            await ask(writer, operation("claim", f"a{number}", f"k{number}"))
        await ask(writer, operation("settle", "a3", "k3", outcome="done"))
        old = operation("claim", "old", "old", at_s=NOW_S - 3000)
        await ask(writer, old)
        assert len(store.values) < 60
        fresh = bucket(store)
        for number in range(80):
            verdict = await ask(fresh, operation("claim", "other", f"k{number}"))
            assert verdict.outcome == ("settled" if number == 3 else "open")
        expired = await ask(fresh, operation("claim", "x", "x", at_s=NOW_S - 4000))
        assert expired.outcome == "expired"

    asyncio.run(main())


def test_a_writer_takes_no_other_write_for_the_one_that_it_read():
    """Guards against a request that runs twice as a head's revision was given out again."""

    async def main():
        store = fake_store.FakeStore()
        first, second = bucket(store), bucket(store)
        for number in range(2):
            await ask(first, operation("claim", f"a{number}", f"k{number}"))
        store.restore_backup(1)
        later_s = int(time.time()) + LATER_S
        granted = await ask(second, operation("claim", "b", "y", at_s=later_s))
        assert granted.outcome == "granted"
        assert (await ask(first, operation("claim", "c", "y", at_s=later_s))).outcome == "open"

    asyncio.run(main())


@pytest.mark.parametrize(
    ("last", "again", "verdict"),
    [
        ("claim", operation("claim", "b"), "open"),
        ("settle", operation("claim", "b"), "settled"),
        ("release", operation("claim", "b"), "granted"),
        ("claim", operation("claim", "b", at_s=NOW_S + LATER_S), "open"),
    ],
)
@pytest.mark.parametrize("asked", ["the same writer", "another", "one that was started"])
def test_a_lost_record_is_put_back_by_who_knows_it(last, again, verdict, asked):
    """Guards against a request that runs twice as the store lost the record of its first run."""

    async def main():
        store = fake_store.FakeStore()
        first, second = bucket(store), bucket(store)
        store.eras.on_restore += [first.reconcile, second.reconcile]
        made = operation("claim", "a", at_s=again.created_at_s)
        await ask(second, operation("claim", "x", "x"))
        assert (await ask(first, made)).outcome == "granted"
        if last != "claim":
            await ask(first, operation(last, "a", outcome="done" if last == "settle" else ""))
        store.restore_backup(2)
        store.eras.observe(store.era)
        running = asyncio.create_task(first.run())
        async with asyncio.timeout(5):
            while not first._counters.totals["records.written_again"]:
                await asyncio.sleep(0.001)
        running.cancel()
        writers = {"the same writer": first, "another": second, "one that was started": None}
        found = await ask(writers[asked] or bucket(store), again)
        assert found.outcome == verdict

    asyncio.run(main())


@pytest.mark.parametrize(
    ("after_s", "verdict"), [(-LATER_S, "open"), (LATER_S, "granted")], ids=["before", "after"]
)
@pytest.mark.parametrize("heard", [True, False], ids=["lived through it", "started after it"])
def test_a_key_made_before_the_return_that_nobody_knows_may_have_run(heard, after_s, verdict):
    """Guards against a second run of a request whose record nobody that is left has seen."""
    at_s = int(time.time()) + after_s

    async def main():
        store = fake_store.FakeStore()
        gone, other = bucket(store), bucket(store)
        await ask(other, operation("claim", "x", "x"))
        assert (await ask(gone, operation("claim", "a", at_s=at_s))).outcome == "granted"
        store.restore_backup(1)
        if not heard:
            store.eras = eras.Eras()
        fresh = bucket(store)
        assert (await ask(fresh, operation("claim", "b", at_s=at_s))).outcome == verdict
        store.eras = eras.Eras()
        later = bucket(store)
        expected = verdict if verdict == "open" else "open"
        assert (await ask(later, operation("claim", "c", at_s=at_s))).outcome == expected

    asyncio.run(main())


def test_a_claim_written_while_the_store_returned_is_checked():
    """Guards against a claim that is granted by an acknowledgement of the lost past."""

    async def main():
        store = fake_store.FakeStore()
        writer, other = bucket(store), bucket(store)
        await ask(writer, operation("claim", "x", "x"))
        swap = store.swap

        async def lost(expected, puts):
            revision = await swap(expected, puts)
            store.swap = swap
            store.restore_backup(1)
            store.eras.observe(store.era)
            return revision

        store.swap = lost
        later_s = int(time.time()) + LATER_S
        assert (await ask(writer, operation("claim", "a", at_s=later_s))).outcome == "granted"
        assert (await ask(other, operation("claim", "b", at_s=later_s))).outcome == "open"

    asyncio.run(main())


def test_a_store_that_is_down_is_not_asked_without_a_pause():
    """Guards against each bucket reading its log twenty times a second when nobody waits."""

    async def main():
        store = fake_store.FakeStore()
        writer = bucket(store)
        await ask(writer, operation("claim"))
        store.down = True
        reads = []

        async def read_prefix(prefix):
            reads.append(prefix)
            raise store_module.StoreError("unreachable")

        store.read_prefix = read_prefix
        running = asyncio.create_task(writer.run())
        writer.reconcile()
        await asyncio.sleep(0.4)
        running.cancel()
        assert len(reads) == 1

    asyncio.run(main())


def test_the_outcome_of_a_lost_claim_is_recorded():
    """Guards against an answered request that is told to be under way for ever."""

    async def main():
        store = fake_store.FakeStore()
        first, second = bucket(store), bucket(store)
        await ask(second, operation("claim", "x", "x"))
        await ask(first, operation("claim", "a"))
        store.eras.on_restore.append(second.reconcile)
        store.restore_backup(1)
        store.eras.observe(store.era)
        assert (await ask(second, operation("settle", "a", outcome="done"))).outcome == "granted"
        found = await ask(second, operation("claim", "b"))
        assert (found.outcome, found.detail) == ("settled", "done")

    asyncio.run(main())


class Writers(stateful.RuleBasedStateMachine):
    """
    Three writers believe to own the same bucket; writes are lost, late or dropped, the store has
    outages and returns from copies, writers are paused (their memory is old) and restarted. An
    attempt that was granted would run: no key may ever be granted to two attempts that were not
    released.
    """

    def __init__(self):
        super().__init__()
        self.store = fake_store.FakeStore()
        self.writers = [bucket(self.store) for _ in range(3)]
        self.store.eras.on_restore.append(lambda: [each.reconcile() for each in self.writers])
        self.ran = {}
        self.outcomes = {}
        self.count = 0

    def play(self, writer, wanted):
        return asyncio.run(ask(self.fresh_loop(writer), wanted, 0.08))

    def fresh_loop(self, writer):
        self.writers[writer]._wake = asyncio.Event()
        self.writers[writer]._waiting.clear()
        return self.writers[writer]

    @stateful.rule(writer=strategies.integers(0, 2), key=strategies.sampled_from("xyz"))
    def claim_and_run(self, writer, key):
        self.count += 1
        attempt = f"a{self.count}"
        verdict = self.play(writer, operation("claim", attempt, key))
        if verdict.outcome == "granted":
            assert key not in self.ran, f"{key} runs twice"
            self.ran[key] = attempt
        if verdict.outcome == "settled":
            assert verdict.detail == self.outcomes[key]

    @stateful.rule(writer=strategies.integers(0, 2), key=strategies.sampled_from("xyz"))
    def settle(self, writer, key):
        if key in self.ran:
            wanted = operation("settle", self.ran[key], key, outcome=f"done-{key}")
            self.outcomes[key] = wanted.outcome
            self.play(writer, wanted)

    @stateful.rule(writer=strategies.integers(0, 2), key=strategies.sampled_from("xyz"))
    def claim_unconfirmed_then_release(self, writer, key):
        self.count += 1
        attempt = f"a{self.count}"
        self.store.plan[:0] = ["lost"]
        verdict = self.play(writer, operation("claim", attempt, key))
        if verdict.outcome == "granted":
            self.ran.setdefault(key, attempt)
            assert self.ran[key] == attempt
        elif verdict.outcome == "unavailable":
            self.play((writer + 1) % 3, operation("release", attempt, key))

    @stateful.rule(fates=strategies.lists(strategies.sampled_from(["lost", "late", "dropped"])))
    def trouble(self, fates):
        self.store.plan = fates[:3]

    @stateful.rule()
    def late_writes_arrive(self):
        self.store.deliver()

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self.store.down = down

    @stateful.rule(writes=strategies.integers(0, 4))
    def restore_backup(self, writes):
        self.store.restore_backup(writes)

    @stateful.rule(writer=strategies.integers(0, 2))
    def restart(self, writer):
        self.writers[writer] = bucket(self.store)


TestWriters = Writers.TestCase
TestWriters.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=15, deadline=None, derandomize=True
)
