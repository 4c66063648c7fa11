"""The configuration in force here: rules and catalogue, each moving only to higher revisions."""

from __future__ import annotations

import json
import uuid
from collections import abc

import attrs

from turmericlug.catalog import catalog as catalog_module
from turmericlug.membership import freshness as freshness_module
from turmericlug.rules import model
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events

RULES, CATALOG = "rules", "catalog"


@attrs.frozen
class DocumentText:
    """A configuration document as it travels."""

    name: str
    revision: int
    text: str


class Configuration:
    """What this instance has in force, in parsed form and as text for peers."""

    def __init__(
        self, freshness: freshness_module.Freshness, counters: counters_module.Counters
    ) -> None:
        self.rules = model.EMPTY
        self.catalog = catalog_module.EMPTY
        self.freshness = freshness
        self.on_change: list[abc.Callable[[], None]] = []
        self._counters = counters
        self._texts: dict[str, DocumentText] = {}

    @property
    def catalog_revision(self) -> int:
        """The revision of the catalogue in force."""
        return self.freshness.held.catalog

    def documents(self) -> list[DocumentText]:
        """Return the documents to hand to a peer."""
        return list(self._texts.values())

    def apply(self, document: DocumentText) -> bool:
        """
        Put a document in force if it is newer than what is.

        Only a higher revision is taken, whoever brings it: a store restored from a backup, or a
        peer that was cut off, must not bring back rules that the operators have replaced.

        :returns: whether it was taken
        """
        held = self.freshness.held
        current = held.rules if document.name == RULES else held.catalog
        if document.revision <= current:
            return False
        if document.name == RULES:
            self.rules = model.from_json(document.text)
            self.freshness.held = attrs.evolve(held, rules=document.revision)
        else:
            self.catalog = catalog_module.parse(document.text)
            self.freshness.held = attrs.evolve(held, catalog=document.revision)
        self._texts[document.name] = document
        self._counters.add("rules.applied")
        events.emit("rules.applied", document=document.name, revision=document.revision)
        for listener in self.on_change:
            listener()
        return True


@attrs.frozen
class Head:
    """The small key that names the newest revisions; every change swaps it."""

    rules: int
    catalog: int
    stored: store_module.Value
    """The key as it was read, for swapping it."""

    @property
    def revisions(self) -> freshness_module.Revisions:
        """The revisions that it names."""
        return freshness_module.Revisions(self.rules, self.catalog)


def head_to_json(rules: int, catalog: int) -> str:
    """Turn a head into the text kept in the store, another one with each write."""
    return json.dumps({RULES: rules, CATALOG: catalog, "write": uuid.uuid4().hex})


def head_from(stored: store_module.Value) -> Head:
    """Read a head as the store holds it; an empty text is a store never written."""
    if not stored.text:
        return Head(0, 0, stored)
    plain = json.loads(stored.text)
    return Head(plain[RULES], plain[CATALOG], stored)
