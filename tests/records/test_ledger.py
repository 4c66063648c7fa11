"""Tests of a bucket of records: verdicts, and a state machine of writers, outages and restores."""

from __future__ import annotations

import asyncio
import json
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
"""More seconds than a test takes."""


def make_operation(kind, attempt="a1", key="k", fingerprint="f", outcome="", created_at_s=NOW_S):
    return ledger.Operation(kind, key, attempt, fingerprint, created_at_s, outcome)


CLAIMED = ledger.Entry("a1", "f", NOW_S)
SETTLED = ledger.Entry("a1", "f", NOW_S, "done")
RELEASED = ledger.Entry("a1", "f", NOW_S, released=True)


@pytest.mark.parametrize(
    ("entry", "operation", "verdict"),
    [
        (None, make_operation("claim"), "granted"),
        (CLAIMED, make_operation("claim"), "granted"),
        (CLAIMED, make_operation("claim", "a2"), "open"),
        (CLAIMED, make_operation("claim", "a2", fingerprint="g"), "mismatch"),
        (SETTLED, make_operation("claim", "a2"), "settled"),
        (RELEASED, make_operation("claim", "a2"), "granted"),
        (RELEASED, make_operation("claim", "a1"), "unavailable"),
        (None, make_operation("settle"), "mismatch"),
        (CLAIMED, make_operation("settle", outcome="done"), "granted"),
        (CLAIMED, make_operation("settle", "a2", outcome="done"), "mismatch"),
        (RELEASED, make_operation("settle", outcome="done"), "mismatch"),
        (CLAIMED, make_operation("release"), "granted"),
        (CLAIMED, make_operation("release", "a2"), "mismatch"),
        (None, make_operation("release"), "granted"),
    ],
)
def test_decide(entry, operation, verdict):
    assert ledger.decide(entry, operation)[0].status == verdict


def test_late_claim_of_a_released_attempt_is_not_granted():
    """Guards against a run after the answer "not run", when a release overtakes its claim."""
    _, entry = ledger.decide(None, make_operation("release"))
    verdict, changed = ledger.decide(entry, make_operation("claim"))
    assert (verdict.status, changed) == ("unavailable", None)


def make_bucket(store):
    return ledger.Bucket(store, "r/0/", 3600, 0, counters_module.Counters())


async def ask(writer, operation, limit_s=0.3):
    task = asyncio.create_task(writer.run())
    try:
        async with asyncio.timeout(limit_s):
            return await writer.ask(operation)
    except TimeoutError:
        return ledger.unavailable("store")
    finally:
        task.cancel()


def test_one_write_carries_many_records():
    async def main():
        store = fake_store.FakeStore()
        writer = make_bucket(store)
        calls = [writer.ask(make_operation("claim", f"a{n}", f"k{n}")) for n in range(100)]
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(0)
        running = asyncio.create_task(writer.run())
        verdicts = await asyncio.gather(*tasks)
        running.cancel()
        assert {verdict.status for verdict in verdicts} == {"granted"}
        return store.swaps

    assert asyncio.run(main()) == 1


def test_compaction_keeps_live_records():
    async def main():
        store = fake_store.FakeStore()
        writer = make_bucket(store)
        for number in range(80):
            await ask(writer, make_operation("claim", f"a{number}", f"k{number}"))
        await ask(writer, make_operation("settle", "a3", "k3", outcome="done"))
        old_claim = make_operation("claim", "old", "old", created_at_s=NOW_S - 3000)
        await ask(writer, old_claim)
        assert len(store.values) < 60
        fresh = make_bucket(store)
        for number in range(80):
            verdict = await ask(fresh, make_operation("claim", "other", f"k{number}"))
            assert verdict.status == ("settled" if number == 3 else "open")
        expired = await ask(fresh, make_operation("claim", "x", "x", created_at_s=NOW_S - 4000))
        assert expired.status == "expired"

    asyncio.run(main())


def test_writer_does_not_mistake_another_head_for_the_one_it_read():
    """Guards against a request that runs twice because a restore reused the head's revision."""

    async def main():
        store = fake_store.FakeStore()
        first, second = make_bucket(store), make_bucket(store)
        for number in range(2):
            await ask(first, make_operation("claim", f"a{number}", f"k{number}"))
        store.restore_backup(1)
        later_s = int(time.time()) + LATER_S
        granted = await ask(second, make_operation("claim", "b", "y", created_at_s=later_s))
        assert granted.status == "granted"
        assert (
            await ask(first, make_operation("claim", "c", "y", created_at_s=later_s))
        ).status == "open"

    asyncio.run(main())


@pytest.mark.parametrize(
    ("last", "again", "verdict"),
    [
        ("claim", make_operation("claim", "b"), "open"),
        ("settle", make_operation("claim", "b"), "settled"),
        ("release", make_operation("claim", "b"), "granted"),
        ("claim", make_operation("claim", "b", created_at_s=NOW_S + LATER_S), "open"),
    ],
)
@pytest.mark.parametrize("claimant", ["the same writer", "another writer", "a new writer"])
def test_lost_record_is_written_again_by_a_writer_that_knows_it(last, again, verdict, claimant):
    """Guards against a request that runs twice because the store lost its first record."""

    async def main():
        store = fake_store.FakeStore()
        first, second = make_bucket(store), make_bucket(store)
        store.eras.on_restore += [first.reconcile, second.reconcile]
        first_claim = make_operation("claim", "a", created_at_s=again.created_at_s)
        await ask(second, make_operation("claim", "x", "x"))
        assert (await ask(first, first_claim)).status == "granted"
        if last != "claim":
            await ask(first, make_operation(last, "a", outcome="done" if last == "settle" else ""))
        store.restore_backup(2)
        store.eras.observe(store.era)
        running = asyncio.create_task(first.run())
        async with asyncio.timeout(5):
            while not first._counters.totals["records.written_again"]:
                await asyncio.sleep(0.001)
        running.cancel()
        writers = {"the same writer": first, "another writer": second, "a new writer": None}
        found = await ask(writers[claimant] or make_bucket(store), again)
        assert found.status == verdict

    asyncio.run(main())


@pytest.mark.parametrize(
    ("after_s", "verdict"), [(-LATER_S, "open"), (LATER_S, "granted")], ids=["before", "after"]
)
@pytest.mark.parametrize(
    "observed", [True, False], ids=["running during the restore", "started after it"]
)
def test_unknown_key_from_before_a_restore_is_open(observed, after_s, verdict):
    """Guards against a second run of a request whose lost record no remaining writer has read."""
    created_at_s = int(time.time()) + after_s

    async def main():
        store = fake_store.FakeStore()
        stopped, other = make_bucket(store), make_bucket(store)
        await ask(other, make_operation("claim", "x", "x"))
        assert (
            await ask(stopped, make_operation("claim", "a", created_at_s=created_at_s))
        ).status == "granted"
        store.restore_backup(1)
        if not observed:
            store.eras = eras.Eras()
        fresh = make_bucket(store)
        assert (
            await ask(fresh, make_operation("claim", "b", created_at_s=created_at_s))
        ).status == verdict
        store.eras = eras.Eras()
        later = make_bucket(store)
        expected = verdict if verdict == "open" else "open"
        assert (
            await ask(later, make_operation("claim", "c", created_at_s=created_at_s))
        ).status == expected

    asyncio.run(main())


def test_claim_written_during_a_restore_is_checked():
    """Guards against a claim granted by an acknowledged write that the restore has lost."""

    async def main():
        store = fake_store.FakeStore()
        writer, other = make_bucket(store), make_bucket(store)
        await ask(writer, make_operation("claim", "x", "x"))
        swap = store.swap

        async def swap_and_restore(expected, puts, deleted):
            revision = await swap(expected, puts, deleted)
            store.swap = swap
            store.restore_backup(1)
            store.eras.observe(store.era)
            return revision

        store.swap = swap_and_restore
        later_s = int(time.time()) + LATER_S
        assert (
            await ask(writer, make_operation("claim", "a", created_at_s=later_s))
        ).status == "granted"
        assert (
            await ask(other, make_operation("claim", "b", created_at_s=later_s))
        ).status == "open"

    asyncio.run(main())


def test_calls_to_a_failing_store_back_off():
    """Guards against buckets without pending operations reading their log 20 times per second."""

    async def main():
        store = fake_store.FakeStore()
        writer = make_bucket(store)
        await ask(writer, make_operation("claim"))
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


@pytest.mark.parametrize(
    ("before", "meanwhile", "late", "verdict"),
    [
        ("claim a", "settle a", "claim b", "settled"),
        ("claim a", "release a", "claim b", "granted"),
        ("claim a", "release a", "claim a", "unavailable"),
        ("", "claim a", "settle a", "granted"),
        ("release a", "claim b", "settle b", "granted"),
        ("release a", "claim b", "release b", "granted"),
    ],
)
def test_a_verdict_that_writes_nothing_is_not_decided_from_an_old_log(
    before, meanwhile, late, verdict
):
    """
    Guards against verdicts that write nothing, and so never find out that another instance has
    extended the log: a repeated key stayed in use although its outcome was recorded, and outcomes
    and releases of known claims were refused.
    """

    def operation(text):
        kind, attempt = text.split()
        return make_operation(kind, attempt, outcome="done" if kind == "settle" else "")

    async def main():
        store = fake_store.FakeStore()
        old, other = make_bucket(store), make_bucket(store)
        if before:
            await ask(other, operation(before))
        await ask(old, make_operation("claim", "x", "x"))
        await ask(other, operation(meanwhile))
        assert (await ask(old, operation(late))).status == verdict

    asyncio.run(main())


def test_a_verdict_that_writes_nothing_reads_only_the_head():
    """Guards against reading the whole log for each repeat of a key that is in use."""

    async def main():
        store = fake_store.FakeStore()
        writer = make_bucket(store)
        await ask(writer, make_operation("claim"))
        store.read_prefix = None
        for _ in range(3):
            assert (await ask(writer, make_operation("claim", "a2"))).status == "open"

    asyncio.run(main())


def test_a_key_in_use_is_not_unavailable_while_the_store_is_down():
    """Guards against the answer "not run" to a repeat of a key that may have run."""

    async def main():
        store = fake_store.FakeStore()
        writer = make_bucket(store)
        await ask(writer, make_operation("claim"))
        store.down = True
        assert (await ask(writer, make_operation("claim", "a2"))).status == "open"

    asyncio.run(main())


def test_compaction_deletes_no_records_after_a_restore():
    """
    Guards against a second run of a request. The store is restored while a writer compacts the log,
    and another writer reuses the number of a segment that the first one has yet to delete.
    """

    async def main():
        store = fake_store.FakeStore()
        first, second = make_bucket(store), make_bucket(store)
        swap = store.swap
        compacted = asyncio.Event()
        later_s = int(time.time()) + LATER_S

        async def swap_and_restore(expected, puts, deleted):
            revision = await swap(expected, puts, deleted)
            if json.loads(puts["r/0/head"])["base"]:
                store.swap = swap
                store.restore_backup(20)
                store.eras.observe(store.era)
                claim = make_operation("claim", "a", "late", created_at_s=later_s)
                assert (await ask(second, claim)).status == "granted"
                compacted.set()
            return revision

        store.swap = swap_and_restore
        running = asyncio.create_task(first.run())
        async with asyncio.timeout(5):
            for number in range(80):
                await first.ask(make_operation("claim", f"a{number}", f"k{number}"))
            await compacted.wait()
        running.cancel()
        claim = make_operation("claim", "b", "late", created_at_s=later_s)
        assert (await ask(make_bucket(store), claim)).status == "open"

    asyncio.run(main())


def test_outcome_of_a_lost_claim_is_recorded():
    """Guards against an answered request that is reported as in progress forever."""

    async def main():
        store = fake_store.FakeStore()
        first, second = make_bucket(store), make_bucket(store)
        await ask(second, make_operation("claim", "x", "x"))
        await ask(first, make_operation("claim", "a"))
        store.eras.on_restore.append(second.reconcile)
        store.restore_backup(1)
        store.eras.observe(store.era)
        assert (
            await ask(second, make_operation("settle", "a", outcome="done"))
        ).status == "granted"
        found = await ask(second, make_operation("claim", "b"))
        assert (found.status, found.detail) == ("settled", "done")

    asyncio.run(main())


class Writers(stateful.RuleBasedStateMachine):
    """
    Guards against a request that runs twice. Three writers consider themselves the owner of the
    same bucket. Replies to writes are lost, writes are late or dropped, the store has outages and
    is restored from backups, writers are paused (their state is old) and restarted. A granted
    attempt would run, so no key may be granted to two attempts unless the first was released.
    """

    def __init__(self):
        super().__init__()
        self.store = fake_store.FakeStore()
        self.writers = [make_bucket(self.store) for _ in range(3)]
        self.store.eras.on_restore.append(lambda: [writer.reconcile() for writer in self.writers])
        self.granted_attempts = {}
        self.outcomes = {}
        self.attempt_count = 0

    def run_operation(self, writer, operation):
        return asyncio.run(ask(self.reset_writer(writer), operation, 0.08))

    def reset_writer(self, writer):
        self.writers[writer]._wake = asyncio.Event()
        self.writers[writer]._pending.clear()
        return self.writers[writer]

    @stateful.rule(writer=strategies.integers(0, 2), key=strategies.sampled_from("xyz"))
    def claim_and_run(self, writer, key):
        self.attempt_count += 1
        attempt = f"a{self.attempt_count}"
        verdict = self.run_operation(writer, make_operation("claim", attempt, key))
        if verdict.status == "granted":
            assert key not in self.granted_attempts, f"{key} runs twice"
            self.granted_attempts[key] = attempt
        if verdict.status == "settled":
            assert verdict.detail == self.outcomes[key]

    @stateful.rule(writer=strategies.integers(0, 2), key=strategies.sampled_from("xyz"))
    def settle(self, writer, key):
        if key in self.granted_attempts:
            operation = make_operation(
                "settle", self.granted_attempts[key], key, outcome=f"done-{key}"
            )
            self.outcomes[key] = operation.outcome
            self.run_operation(writer, operation)

    @stateful.rule(writer=strategies.integers(0, 2), key=strategies.sampled_from("xyz"))
    def claim_unconfirmed_then_release(self, writer, key):
        self.attempt_count += 1
        attempt = f"a{self.attempt_count}"
        self.store.plan[:0] = ["lost"]
        verdict = self.run_operation(writer, make_operation("claim", attempt, key))
        if verdict.status == "granted":
            self.granted_attempts.setdefault(key, attempt)
            assert self.granted_attempts[key] == attempt
        elif verdict.status == "unavailable":
            self.run_operation((writer + 1) % 3, make_operation("release", attempt, key))

    @stateful.rule(faults=strategies.lists(strategies.sampled_from(["lost", "late", "dropped"])))
    def plan_faults(self, faults):
        self.store.plan = faults[:3]

    @stateful.rule()
    def deliver_late_writes(self):
        self.store.deliver()

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self.store.down = down

    @stateful.rule(writes=strategies.integers(0, 4))
    def restore_backup(self, writes):
        self.store.restore_backup(writes)

    @stateful.rule(writer=strategies.integers(0, 2))
    def restart(self, writer):
        self.writers[writer] = make_bucket(self.store)


TestWriters = Writers.TestCase
TestWriters.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=15, deadline=None, derandomize=True
)


def test_unexpected_error_does_not_end_a_bucket(monkeypatch):
    """Guards against a bucket whose claims get no verdict any more after one odd record."""
    monkeypatch.setattr(ledger, "_RECONCILE_RETRY_S", 0.01)

    async def main():
        found = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: found.append(context))
        store = fake_store.FakeStore()
        writer, read_prefix, odd = make_bucket(store), store.read_prefix, [True]

        async def read_oddly_once(prefix):
            if odd:
                raise odd.clear() or KeyError("odd record")
            return await read_prefix(prefix)

        store.read_prefix = read_oddly_once
        assert (await ask(writer, make_operation("claim"), 5.0)).status == "granted"
        assert len(found) == 1

    asyncio.run(main())
