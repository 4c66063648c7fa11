"""The configuration in force on this instance: rules and catalogue, whose revisions only rise."""

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
    """A configuration document, serialized for the store and for peers."""

    name: str
    revision: int
    text: str


class Configuration:
    """The rules and catalogue in force on this instance, parsed and as text for peers."""

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
        return self.freshness.in_force.catalog

    def documents(self) -> list[DocumentText]:
        """Return the documents in force, as sent to peers."""
        return list(self._texts.values())

    def apply(self, document: DocumentText) -> bool:
        """
        Put a document in force if its revision is higher than the current one.

        Lower revisions are ignored whatever their source: a store restored from a backup, or a
        peer that was partitioned, must not bring back rules that operators have replaced.

        :returns: whether the document was put in force
        """
        in_force = self.freshness.in_force
        current = in_force.rules if document.name == RULES else in_force.catalog
        if document.revision <= current:
            return False
        if document.name == RULES:
            self.rules = model.from_json(document.text)
            self.freshness.in_force = attrs.evolve(in_force, rules=document.revision)
        else:
            self.catalog = catalog_module.parse(document.text)
            self.freshness.in_force = attrs.evolve(in_force, catalog=document.revision)
        self._texts[document.name] = document
        self._counters.add("rules.applied")
        events.emit("rules.applied", document=document.name, revision=document.revision)
        for listener in self.on_change:
            listener()
        return True


@attrs.frozen
class Head:
    """Value of the head key: the newest revisions; every change compares and swaps it."""

    rules: int
    catalog: int
    value: store_module.Value
    """The value as read, expected by the next compare-and-swap."""

    @property
    def revisions(self) -> freshness_module.Revisions:
        """The revisions of both documents."""
        return freshness_module.Revisions(self.rules, self.catalog)


def head_to_json(rules: int, catalog: int) -> str:
    """Serialize a head; a random identifier makes the text of each write unique."""
    return json.dumps({RULES: rules, CATALOG: catalog, "write": uuid.uuid4().hex})


def parse_head(value: store_module.Value) -> Head:
    """Parse a head; an empty text means that the store has never been written."""
    if not value.text:
        return Head(0, 0, value)
    fields = json.loads(value.text)
    return Head(fields[RULES], fields[CATALOG], value)
