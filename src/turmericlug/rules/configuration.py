"""The configuration in force on this instance: rules and catalogue, whose revisions only rise."""

from __future__ import annotations

import json
import uuid
from collections import abc

import attrs

from turmericlug.catalog import catalog as catalog_module
from turmericlug.decoding import fields
from turmericlug.membership import freshness as freshness_module
from turmericlug.rules import documents
from turmericlug.rules import model
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events

RULES, CATALOG = "rules", "catalog"
_MAX_PROBLEM_LENGTH = 200
"""Error messages are truncated to this length: they may quote names from the value."""


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
        self._refused: dict[str, DocumentText | store_module.Value] = {}
        """The last value refused of each origin; it is read again at each poll."""

    @property
    def catalog_revision(self) -> int:
        """The revision of the catalogue in force."""
        return self.freshness.in_force.catalog

    def documents(self) -> list[DocumentText]:
        """Return the documents in force, as sent to peers."""
        return list(self._texts.values())

    def apply(self, document: DocumentText, origin: str, from_store: bool = False) -> bool:
        """
        Put a document in force if its revision is higher than the current one.

        Lower revisions are ignored whatever their source: a store restored from a backup, or a
        peer that was partitioned, must not bring back rules that operators have replaced.

        A document that can't be read is refused alone, and the one in force stays. If it is the
        store's, its revision does not make this instance outdated: nothing would bring it up to
        date.

        :param origin: key or peer that the document is from
        :param from_store: whether it was read from the store itself
        :returns: whether the document was put in force
        """
        if document.name not in (RULES, CATALOG):
            problem = fields.FieldError("neither rules nor catalogue", "unknown", "name")
            self.refuse(origin, document, document.revision, problem)
            return False
        in_force = self.freshness.in_force
        current = in_force.rules if document.name == RULES else in_force.catalog
        if document.revision <= current:
            return False
        try:
            self._parse(document)
        except fields.FieldError as error:
            self.refuse(origin, document, document.revision, error)
            if from_store:
                self.freshness.refused = attrs.evolve(
                    self.freshness.refused, **{document.name: document.revision}
                )
            return False
        self.freshness.in_force = attrs.evolve(in_force, **{document.name: document.revision})
        self._texts[document.name] = document
        self._counters.add("rules.applied")
        events.emit("rules.applied", document=document.name, revision=document.revision)
        for listener in self.on_change:
            listener()
        return True

    def _parse(self, document: DocumentText) -> None:
        if not 0 < document.revision <= documents.MAX_REVISION:
            problem = f"not from 1 to {documents.MAX_REVISION}"
            raise fields.FieldError(problem, "range", "revision")
        if document.name == RULES:
            self.rules = documents.parse_rules(document.text)
            return
        try:
            self.catalog = catalog_module.parse(document.text)
        except catalog_module.CatalogError as error:
            raise fields.FieldError(error.problems[0], "catalog") from error

    def refuse(
        self,
        origin: str,
        value: DocumentText | store_module.Value,
        revision: int,
        error: fields.FieldError,
    ) -> None:
        """
        Log and count a value that can't be read, once for each different one of an origin.

        :param origin: key or peer that the value is from
        """
        if self._refused.get(origin) == value:
            return
        self._refused[origin] = value
        self._counters.add("rules.unreadable")
        self._counters.add(f"rules.unreadable.{error.reason}")
        events.emit(
            "rules.unreadable",
            "error",
            origin=origin,
            field=error.field[:_MAX_PROBLEM_LENGTH],
            reason=error.reason,
            problem=str(error)[:_MAX_PROBLEM_LENGTH],
            revision=revision,
        )


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
    """
    Parse a head; an empty text means that the store has never been written.

    :raises FieldError: a field is malformed
    """
    if not value.text:
        return Head(0, 0, value)
    item = documents.parse_object(value.text)
    return Head(documents.read_revision(item, RULES), documents.read_revision(item, CATALOG), value)
