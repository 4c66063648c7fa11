"""Edits against a fake store: lost replies, late writes, outages, restores; a state machine."""

from __future__ import annotations

import asyncio
import json

import fake_store
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from turmericlug.rules import documents
from turmericlug.rules import edits
from turmericlug.rules import model
from turmericlug.rules import repository

NAMES = "abc"


def change(edit, operation, name, operator="ann", base=0):
    rule = model.Rule(name, {"caller": (name,)}, model.Treatment(rule=name, refuse=edit))
    return edits.Change(edit, operator, operation, name, base, rule)


def test_lost_reply_is_resolved_by_reading():
    """The write takes effect but its reply is lost: the edit is stored once and reported so."""

    async def main():
        store = fake_store.FakeStore()
        repo = repository.Repository(store, "t/")
        await repo.read()
        store.plan = ["lost"]
        outcome = await repo.edit(change("e1", "add", "a"))
        assert outcome == repository.Stored(2)
        assert await repo.edit(change("e1", "add", "a")) == repository.Stored(2)

    asyncio.run(main())


def test_late_write_fails_after_retry():
    """The first write arrives after its retry: exactly one of them takes effect."""

    async def main():
        store = fake_store.FakeStore()
        repo = repository.Repository(store, "t/")
        await repo.read()
        store.plan = ["late"]
        outcome = await repo.edit(change("e1", "add", "a"))
        store.deliver()
        contents = await repo.read()
        assert outcome == repository.Stored(2) and contents.head.rules == 2

    asyncio.run(main())


def test_catalogue_and_rules_share_head():
    async def main():
        store = fake_store.FakeStore()
        repo = repository.Repository(store, "t/")
        text = json.dumps({"services": {"s": {"slots": 1, "connections": 2}}})
        assert await repo.put_catalog(text) == repository.Stored(2)
        assert await repo.put_catalog(text) == repository.Stored(2)
        assert isinstance(await repo.put_catalog("{"), repository.Rejected)
        head = await repo.read_head()
        assert (head.rules, head.catalog) == (1, 2)

    asyncio.run(main())


@pytest.mark.parametrize("lost", [1, 2, 5], ids=["the latest", "both", "all"])
def test_lost_edits_are_written_back(lost):
    """
    The store is restored from a backup that lacks an accepted edit. The edit must not be lost, nor
    its revision be given to another edit.
    """

    async def main():
        store = fake_store.FakeStore()
        repo = repository.Repository(store, "t/")
        await repo.read()
        for number, name in enumerate("ab"):
            await repo.edit(change(f"e{number}", "add", name))
        documents = (await repo.read()).documents
        repo.documents_in_force = lambda: documents
        store.restore_backup(lost)
        assert await repo.edit(change("e2", "add", "c")) == repository.Stored(4)
        contents = await repository.Repository(store, "t/").read()
        assert {rule.name for rule in contents.rules.rules} == {"a", "b", "c"}
        assert [edit.edit for edit in contents.rules.edits] == ["e0", "e1", "e2"]
        assert "t/history/000000000003" in store.values

    asyncio.run(main())


class Operators(stateful.RuleBasedStateMachine):
    """
    Operators edit through instances that share only the store. The store loses replies, applies
    writes late and has outages. An edit reported as stored is in the document or was replaced by a
    later stored edit; revisions only rise; no edit is applied twice.
    """

    def __init__(self):
        super().__init__()
        self.store = fake_store.FakeStore()
        self.instances = [repository.Repository(self.store, "t/") for _ in range(2)]
        asyncio.run(self.instances[0].read())
        self.edit_count = 0
        self.stored = {}
        self.unknown = []
        self.newest = 0

    def send_edit(self, instance, requested):
        outcome = asyncio.run(self.instances[instance].edit(requested))
        if isinstance(outcome, repository.Stored):
            assert self.stored.setdefault(requested.edit, outcome.revision) == outcome.revision
        elif isinstance(outcome, repository.Unknown):
            self.unknown.append(requested)

    @stateful.rule(
        instance=strategies.integers(0, 1),
        operation=strategies.sampled_from(["add", "replace", "retire"]),
        name=strategies.sampled_from(NAMES),
        behind=strategies.integers(0, 2),
    )
    def edit(self, instance, operation, name, behind):
        self.edit_count += 1
        base = max(0, self.newest - behind)
        self.send_edit(instance, change(f"e{self.edit_count}", operation, name, base=base))

    @stateful.rule(instance=strategies.integers(0, 1))
    def retry_unknown(self, instance):
        if self.unknown:
            self.send_edit(instance, self.unknown.pop())

    @stateful.rule(faults=strategies.lists(strategies.sampled_from(["lost", "late", "dropped"])))
    def plan_faults(self, faults):
        self.store.plan = faults[:4]

    @stateful.rule()
    def deliver_late_writes(self):
        self.store.deliver()

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self.store.down = down

    @stateful.invariant()
    def check_stored_edits(self):
        value = self.store.values.get("t/config/rules")
        document = documents.parse_rules(value.text)
        assert document.revision >= self.newest
        self.newest = document.revision
        revisions = {edit.edit: edit.revision for edit in document.edits}
        assert len(revisions) == len(document.edits), "an edit took effect twice"
        for edit, revision in self.stored.items():
            assert revisions.get(edit) == revision, f"{edit} was reported as stored but is missing"


TestOperators = Operators.TestCase
TestOperators.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=20, deadline=None, derandomize=True
)
