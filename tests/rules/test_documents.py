"""Configuration documents in the store or from peers that no program of ours has written."""

from __future__ import annotations

import asyncio
import json
import types

import fake_store
import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.catalog import catalog as catalog_module
from turmericlug.decoding import fields
from turmericlug.membership import freshness as freshness_module
from turmericlug.rules import configuration
from turmericlug.rules import distribution as distribution_module
from turmericlug.rules import documents
from turmericlug.rules import edits
from turmericlug.rules import model
from turmericlug.rules import repository
from turmericlug.telemetry import counters as counters_module

HEAD, RULES, CATALOG = "t/config/head", "t/config/rules", "t/config/catalog"
RULE = {"name": "a", "when": {"caller": ["x"]}, "then": {"refuse": "closed"}}
EDIT = {
    "edit": "e",
    "revision": 1,
    "operator": "ann",
    "operation": "add",
    "rule": "a",
    "at_s": 1,
}
ODD_VALUES = {
    "an object": {},
    "a list": [[]],
    "a number": -1,
    "too large a number": 10**400,
    "not a number": float("nan"),
    "not Unicode": "\ud800",
    "nothing": None,
}
FIELDS = {
    "revision": ("revision",),
    "rules": ("rules",),
    "rule": ("rules", 0),
    "name": ("rules", 0, "name"),
    "when": ("rules", 0, "when"),
    "condition": ("rules", 0, "when", "caller"),
    "pattern": ("rules", 0, "when", "caller", 0),
    "then": ("rules", 0, "then"),
    "refuse": ("rules", 0, "then", "refuse"),
    "edits": ("edits",),
    "edit": ("edits", 0),
    "edit's revision": ("edits", 0, "revision"),
    "time": ("edits", 0, "at_s"),
}


def rules_document(revision=3):
    return json.loads(json.dumps({"revision": revision, "rules": [RULE], "edits": [EDIT]}))


def with_value(path, value):
    document = rules_document()
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return json.dumps(document)


class World:
    """A distribution over a fake store, without peers."""

    def __init__(self):
        self.store = fake_store.FakeStore()
        self.counters = counters_module.Counters()
        self.config = configuration.Configuration(freshness_module.Freshness(1000), self.counters)
        self.repository = repository.Repository(self.store, "t/")
        self.repository.documents_in_force = self.config.documents
        detector = types.SimpleNamespace()
        self.distribution = distribution_module.Distribution(
            self.config, self.repository, self.store, detector, 1000
        )

    async def start(self):
        await self.distribution.refresh()
        rule = model.Rule("a", {"caller": ("x",)}, model.Treatment("a"))
        change = edits.Change("e", "ann", "add", "a", 0, rule)
        assert await self.repository.edit(change) == repository.Stored(2)
        assert await self.distribution.refresh()
        assert self.config.rules.revision == 2

    def write(self, **texts):
        """Write values as another program would, with the next revision."""
        for key, text in texts.items():
            self.store.revision += 1
            key = f"t/config/{key}"
            self.store.values[key] = fake_store.store_module.Value(key, text, self.store.revision)


ODD_WRITES = {
    "head no JSON": {"head": "{"},
    "head a list": {"head": "[]"},
    "head without rules": {"head": "{}"},
    "head a text": {"head": configuration.head_to_json("3", 1)},
    "head too high": {"head": configuration.head_to_json(1 << 64, 1)},
    "head below zero": {"head": configuration.head_to_json(-1, 1)},
    "head nested": {"head": "[" * 100_000},
    "rules no JSON": {"head": configuration.head_to_json(3, 1), "rules": "{"},
    "rules a list": {"head": configuration.head_to_json(3, 1), "rules": "[]"},
    "rules nested": {"head": configuration.head_to_json(3, 1), "rules": "[" * 100_000},
    "rules empty": {"head": configuration.head_to_json(3, 1), "rules": ""},
    "catalogue no JSON": {"head": configuration.head_to_json(2, 2), "catalog": "{"},
    "catalogue nested": {"head": configuration.head_to_json(2, 2), "catalog": "[" * 100_000},
    "catalogue too high": {
        "head": configuration.head_to_json(2, 2),
        "catalog": json.dumps({"services": {"s": {"slots": 10**400, "connections": 10**401}}}),
    },
}


@pytest.mark.parametrize("texts", ODD_WRITES.values(), ids=ODD_WRITES)
def test_an_odd_value_is_refused_alone(texts):
    """
    An odd document or head raised in the task that follows the store, at each attempt: no later
    change was followed, and after a while no instance served.
    """

    async def scenario():
        world = World()
        await world.start()
        in_force = world.config.freshness.in_force
        world.write(**texts)
        for _ in range(3):
            assert await world.distribution.refresh()
        assert world.config.freshness.in_force == in_force
        assert world.config.rules.revision == 2
        assert world.config.freshness.is_current()
        assert world.counters.totals["rules.unreadable"] == 1
        good = model.to_json(model.Document(9, (), ()))
        catalog = json.dumps({"services": {"s": {"slots": 1, "connections": 2}}})
        world.write(head=configuration.head_to_json(9, 9), rules=good, catalog=catalog)
        assert await world.distribution.refresh()
        assert world.config.rules.revision == 9
        assert list(world.config.catalog.services) == ["s"]
        assert world.config.freshness.is_current()

    asyncio.run(scenario())


@pytest.mark.parametrize("missing", [HEAD, RULES, CATALOG])
def test_a_missing_key_is_no_reason_to_fail(missing):
    """A key that another program had removed raised in the task that follows the store."""

    async def scenario():
        world = World()
        await world.start()
        del world.store.values[missing]
        assert await world.distribution.refresh()
        assert world.config.rules.revision == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("texts", ODD_WRITES.values(), ids=ODD_WRITES)
def test_an_edit_of_odd_documents_says_what_is_odd(texts):
    """An edit beside an odd document ended in an error 500 that named nothing."""

    async def scenario():
        world = World()
        await world.start()
        world.write(**texts)
        change = edits.Change("f", "ann", "add", "b", 0, model.Rule("b", {}, model.Treatment("b")))
        outcome = await world.repository.edit(change)
        assert isinstance(outcome, repository.Rejected) and "can't be read" in outcome.problems[0]

    asyncio.run(scenario())


def test_an_edit_that_no_instance_could_read_is_not_stored():
    """A name with half of a surrogate pair was stored, and failed at each instance."""

    async def scenario():
        world = World()
        await world.start()
        rule = model.Rule("b", {}, model.Treatment("b"))
        change = edits.Change("f", "\ud800", "add", "b", 0, rule)
        outcome = await world.repository.edit(change)
        assert isinstance(outcome, repository.Rejected)
        assert "edits[1].operator" in outcome.problems[0]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "value"),
    [
        pytest.param(path, value, id=f"{field}-{kind}")
        for field, path in FIELDS.items()
        for kind, value in ODD_VALUES.items()
        if not (field in ("when", "then") and value == {})
    ],
)
def test_each_field_has_a_type_and_bounds(path, value):
    """An odd field was accepted and failed at each query, or raised an error of another type."""
    with pytest.raises(fields.FieldError) as caught:
        documents.parse_rules(with_value(path, value))
    assert str(path[0]) in caught.value.field


@pytest.mark.parametrize(
    ("part", "key", "value"),
    [
        ("when", "colour", ["red"]),
        ("then", "paint", "red"),
        ("then", "retries", 4),
        ("then", "retries", True),
        ("then", "rate_per_s", 1e300),
        ("then", "deadline_ms", 0),
        ("then", "prefer", "both"),
        ("then", "hedge", 1),
        ("then", "priority", 10),
    ],
)
def test_unknown_and_impossible_parts_of_a_rule_are_refused(part, key, value):
    """An unknown condition raised at each query; without it the rule would match too much."""
    with pytest.raises(fields.FieldError) as caught:
        documents.parse_rules(with_value(("rules", 0, part), {key: value}))
    assert caught.value.field == f"rules[0].{part}.{key}"


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers(-(10**30), 10**30)
    | strategies.text(strategies.characters(exclude_categories=()), max_size=5),
    lambda values: strategies.lists(values, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(["revision", "rules", "edits", "services", "groups", "snapshots"])
        | strategies.text(max_size=3),
        values,
        max_size=4,
    ),
)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    strategies.builds(json.dumps, JSON_VALUES)
    | strategies.text(strategies.characters(exclude_categories=("Cs",)), max_size=30)
    | strategies.builds(with_value, strategies.sampled_from([*FIELDS.values()]), JSON_VALUES)
)
def test_any_text_is_read_or_refused(text):
    """An error of another type raises in the task that follows the store."""
    for parse, error in (
        (documents.parse_rules, fields.FieldError),
        (catalog_module.parse, catalog_module.CatalogError),
    ):
        try:
            parse(text)
        except error:
            continue


class OddDocument:
    """A peer's document whose text is not UTF-8."""

    name, revision = "rules", 9

    @property
    def text(self):
        raise UnicodeDecodeError("utf-8", b"\xff", 0, 1, "invalid start byte")


def test_odd_documents_of_a_peer_are_refused_alone():
    """A peer's odd document raised before the sound ones after it were applied."""

    async def scenario():
        world = World()
        await world.start()
        sound = model.to_json(model.Document(7, (), ()))
        world.distribution._apply_all(
            [
                configuration.DocumentText("rules", 9, "{"),
                configuration.DocumentText("odd", 9, "{}"),
                OddDocument(),
                configuration.DocumentText("rules", 7, sound),
            ],
            "e-2",
        )
        assert world.config.rules.revision == 7
        assert world.counters.totals["rules.unreadable"] == 3
        assert {document.name for document in world.config.documents()} == {"rules", "catalog"}

    asyncio.run(scenario())


@pytest.mark.parametrize("odd", ["rules", "rules>", "rules>x", "rules>-1", "rules>" + "9" * 5000])
def test_odd_revisions_of_a_peer_count_as_none(odd):
    """An odd revision raised in the handler, and the peer got no documents."""
    assert distribution_module._read_known([odd, "catalog>4"]) == {"catalog": 4}
