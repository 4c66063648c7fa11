"""Edits against the store's fake: a state machine of operators, lost and late answers, outages."""

from __future__ import annotations

import asyncio
import json

import fake_store
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from turmericlug.rules import edits
from turmericlug.rules import model
from turmericlug.rules import repository

NAMES = "abc"


def change(edit, operation, name, operator="ann", base=0):
    rule = model.Rule(name, {"caller": (name,)}, model.Treatment(rule=name, refuse=edit))
    return edits.Change(edit, operator, operation, name, base, rule)


def test_lost_answer_is_settled_by_reading():
    """The write takes effect, its answer is lost: the edit is stored once and known to be."""

    async def main():
        store = fake_store.FakeStore()
        first = repository.Repository(store, "t/")
        await first.read()
        store.plan = ["lost"]
        outcome = await first.edit(change("e1", "add", "a"))
        assert outcome == repository.Stored(2)
        assert await first.edit(change("e1", "add", "a")) == repository.Stored(2)

    asyncio.run(main())


def test_late_write_loses_to_the_repeated_one():
    """The first write is on its way still when the second is made: one of both takes effect."""

    async def main():
        store = fake_store.FakeStore()
        first = repository.Repository(store, "t/")
        await first.read()
        store.plan = ["late"]
        outcome = await first.edit(change("e1", "add", "a"))
        store.deliver()
        contents = await first.read()
        assert outcome == repository.Stored(2) and contents.head.rules == 2

    asyncio.run(main())


def test_catalogue_and_rules_share_one_head():
    async def main():
        store = fake_store.FakeStore()
        first = repository.Repository(store, "t/")
        text = json.dumps({"services": {"s": {"slots": 1, "connections": 2}}})
        assert await first.put_catalog(text) == repository.Stored(2)
        assert await first.put_catalog(text) == repository.Stored(2)
        assert isinstance(await first.put_catalog("{"), repository.Rejected)
        head = await first.read_head()
        assert (head.rules, head.catalog) == (1, 2)

    asyncio.run(main())


@pytest.mark.parametrize("lost", [1, 2, 5], ids=["the latest", "both", "all"])
def test_edits_that_the_store_lost_are_put_back(lost):
    """Guards against an accepted edit that is gone, and its revision given to another."""

    async def main():
        store = fake_store.FakeStore()
        first = repository.Repository(store, "t/")
        await first.read()
        for number, name in enumerate("ab"):
            await first.edit(change(f"e{number}", "add", name))
        held = (await first.read()).texts
        first.held = lambda: held
        store.restore_backup(lost)
        assert await first.edit(change("e2", "add", "c")) == repository.Stored(4)
        contents = await repository.Repository(store, "t/").read()
        assert {rule.name for rule in contents.rules.rules} == {"a", "b", "c"}
        assert [edit.edit for edit in contents.rules.edits] == ["e0", "e1", "e2"]
        assert "t/history/000000000003" in store.values

    asyncio.run(main())


class Operators(stateful.RuleBasedStateMachine):
    """
    Operators edit through instances that share nothing but the store, whose answers get lost or
    come late and which has outages. What was called stored is in the document or was replaced by
    a later stored edit; revisions only rise; nothing is applied twice.
    """

    def __init__(self):
        super().__init__()
        self.store = fake_store.FakeStore()
        self.instances = [repository.Repository(self.store, "t/") for _ in range(2)]
        asyncio.run(self.instances[0].read())
        self.count = 0
        self.stored = {}
        self.unknown = []
        self.newest = 0

    def play(self, instance, wanted):
        outcome = asyncio.run(self.instances[instance].edit(wanted))
        if isinstance(outcome, repository.Stored):
            assert self.stored.setdefault(wanted.edit, outcome.revision) == outcome.revision
        elif isinstance(outcome, repository.Unknown):
            self.unknown.append(wanted)

    @stateful.rule(
        instance=strategies.integers(0, 1),
        operation=strategies.sampled_from(["add", "replace", "retire"]),
        name=strategies.sampled_from(NAMES),
        back=strategies.integers(0, 2),
    )
    def edit(self, instance, operation, name, back):
        self.count += 1
        base = max(0, self.newest - back)
        self.play(instance, change(f"e{self.count}", operation, name, base=base))

    @stateful.rule(instance=strategies.integers(0, 1))
    def repeat_unknown(self, instance):
        if self.unknown:
            self.play(instance, self.unknown.pop())

    @stateful.rule(fates=strategies.lists(strategies.sampled_from(["lost", "late", "dropped"])))
    def trouble(self, fates):
        self.store.plan = fates[:4]

    @stateful.rule()
    def late_writes_arrive(self):
        self.store.deliver()

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self.store.down = down

    @stateful.invariant()
    def holds(self):
        value = self.store.values.get("t/config/rules")
        document = model.from_json(value.text)
        assert document.revision >= self.newest
        self.newest = document.revision
        known = {edit.edit: edit.revision for edit in document.edits}
        assert len(known) == len(document.edits), "an edit took effect twice"
        for edit, revision in self.stored.items():
            assert known.get(edit) == revision, f"{edit} was called stored and is not"


TestOperators = Operators.TestCase
TestOperators.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
