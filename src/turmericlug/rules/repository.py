"""The configuration in the store: read, and changed by compare-and-swap of its head key."""

from __future__ import annotations

import dataclasses
import json
import time
import typing
from collections import abc

import attrs

from turmericlug.catalog import catalog as catalog_module
from turmericlug.decoding import fields
from turmericlug.rules import configuration
from turmericlug.rules import documents
from turmericlug.rules import edits
from turmericlug.rules import model
from turmericlug.rules import parser as parser_module
from turmericlug.storage import store as store_module
from turmericlug.telemetry import events

_MAX_ATTEMPTS = 12
_MAX_PLACE_LENGTH = 300
_EMPTY_CATALOG = json.dumps({"services": {}, "groups": {}, "snapshots": []})


class RepositoryError(Exception):
    """The configuration could not be read because the store did not answer."""


class UnreadableError(RepositoryError):
    """A value of the configuration has a malformed field."""

    def __init__(self, value: store_module.Value, error: fields.FieldError) -> None:
        place = f"{value.key} {error.field}".rstrip()
        super().__init__(f"{place[:_MAX_PLACE_LENGTH]}: {error}")
        self.value = value
        self.error = error


@attrs.frozen
class Contents:
    """The whole configuration, from one read of the store."""

    head: configuration.Head
    documents: list[configuration.DocumentText]
    """Rules and catalogue, as they are stored."""
    values: list[store_module.Value]
    """Their values, in the same order."""

    @property
    def rules(self) -> model.Document:
        """
        The rules.

        :raises UnreadableError: a field is malformed
        """
        try:
            return documents.parse_rules(self.documents[0].text)
        except fields.FieldError as error:
            raise UnreadableError(self.values[0], error) from error


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The change is in the store."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The store did not answer; sending the edit again tells whether it was stored."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change was not stored, for these reasons."""

    problems: list[str]


Outcome = Stored | Unknown | Rejected | edits.Conflict


class Repository:
    """Reads and changes the configuration in the store."""

    def __init__(self, store: store_module.Store, prefix: str) -> None:
        self._store = store
        self.head_key = f"{prefix}config/head"
        self._prefix = f"{prefix}config/"
        self._history = f"{prefix}history/"
        self.documents_in_force: abc.Callable[[], list[configuration.DocumentText]] = list
        """Returns the documents in force on this instance, all of which the store had accepted."""

    async def read_head(self) -> configuration.Head:
        """
        Read the newest revisions.

        :raises RepositoryError: the store did not answer
        :raises UnreadableError: a field is malformed
        """
        try:
            value = await self._store.read(self.head_key)
        except store_module.StoreError as error:
            raise RepositoryError(error.reason) from error
        return _parse_head(value)

    async def read(self) -> Contents:
        """
        Read the whole configuration at one revision, creating an empty one in a new store.

        If a document in the store is older than the one in force here, the store was restored from
        a backup and has lost the newer one, which is written back. Otherwise the next edit would
        reuse a revision that instances already have in force, and all of them would ignore it.

        :raises RepositoryError: the store did not answer
        :raises UnreadableError: the head is malformed, or a key is missing
        """
        try:
            contents = await self._read()
            if await self._write_back_lost_documents(contents):
                contents = await self._read()
        except store_module.StoreError as error:
            raise RepositoryError(error.reason) from error
        return contents

    async def _read(self) -> Contents:
        values = await self._store.read_prefix(self._prefix)
        if not values:
            await self._create()
            values = await self._store.read_prefix(self._prefix)
        by_key = {value.key: value for value in values}
        names = (configuration.RULES, configuration.CATALOG)
        keys = [self.head_key, *map(self.key_of, names)]
        head_value, rules, catalog = (
            by_key.get(key) or store_module.Value(key, "", 0) for key in keys
        )
        if not head_value.text:
            raise UnreadableError(head_value, fields.FieldError("absent", "missing"))
        head = _parse_head(head_value)
        texts = [
            configuration.DocumentText(configuration.RULES, head.rules, rules.text),
            configuration.DocumentText(configuration.CATALOG, head.catalog, catalog.text),
        ]
        return Contents(head, texts, [rules, catalog])

    def key_of(self, document: str) -> str:
        """Return the key of a document in the store."""
        return f"{self._prefix}{document}"

    async def _write_back_lost_documents(self, contents: Contents) -> bool:
        """Write the documents that the store has lost; return whether there were any."""
        stored_revisions = {document.name: document.revision for document in contents.documents}
        lost = [
            document
            for document in self.documents_in_force()
            if document.revision > stored_revisions[document.name]
        ]
        if not lost:
            return False
        revisions = stored_revisions | {document.name: document.revision for document in lost}
        puts = {f"{self._prefix}{document.name}": document.text for document in lost}
        for document in lost:
            if document.name == configuration.RULES:
                puts[f"{self._history}{document.revision:012d}"] = document.text
        puts[self.head_key] = configuration.head_to_json(
            revisions[configuration.RULES], revisions[configuration.CATALOG]
        )
        if await self._store.swap([contents.head.value], puts):
            for document in lost:
                events.emit(
                    "rules.put_back",
                    "warning",
                    document=document.name,
                    revision=document.revision,
                    stored=stored_revisions[document.name],
                )
        return True

    async def _create(self) -> None:
        await self._store.swap(
            [store_module.Value(self.head_key, "", 0)],
            {
                self.head_key: configuration.head_to_json(1, 1),
                f"{self._prefix}rules": model.to_json(model.Document(1, (), ())),
                f"{self._prefix}catalog": _EMPTY_CATALOG,
            },
        )

    async def edit(self, change: edits.Change) -> Outcome:
        """
        Store one edit of the rules.

        If the reply to a write is lost, the document is read again: it contains the edit's
        identifier if the write took effect. Otherwise the same change is written again; if the
        first write arrives late, its compare-and-swap fails because the head has changed.

        :param change: the edit, with a unique identifier
        """
        reason = "contention"
        for _ in range(_MAX_ATTEMPTS):
            try:
                contents = await self.read()
                stored_rules = contents.rules
            except UnreadableError as error:
                return Rejected([f"the store can't be read: {error}"])
            except RepositoryError as error:
                return Unknown(str(error))
            outcome = edits.apply(stored_rules, change, int(time.time()))
            if isinstance(outcome, edits.AlreadyStored):
                return Stored(outcome.revision)
            if isinstance(outcome, edits.Conflict):
                return outcome
            if isinstance(outcome, edits.Inapplicable):
                return Rejected([outcome.reason])
            try:
                catalog = catalog_module.parse(contents.documents[1].text)
                parser_module.check_reachability(outcome.document.rules, catalog)
                # What can't be read again must not be written.
                documents.parse_rules(model.to_json(outcome.document))
            except parser_module.RulesError as error:
                return Rejected([problem.reason for problem in error.problems])
            except catalog_module.CatalogError as error:
                return Rejected([f"the stored catalogue can't be read: {error}"])
            except fields.FieldError as error:
                return Rejected([f"{error.field}: {error}"])
            result = await self._write_rules(contents.head, outcome.document)
            if isinstance(result, str):
                reason = result
            elif result:
                return Stored(outcome.document.revision)
        return Unknown(reason)

    async def _write_rules(self, head: configuration.Head, document: model.Document) -> int | str:
        """
        Write a document if the head is unchanged.

        :returns: the store's revision; 0 if the head has changed; the reason if the store failed
        """
        text = model.to_json(document)
        try:
            return await self._store.swap(
                [head.value],
                {
                    self.head_key: configuration.head_to_json(document.revision, head.catalog),
                    f"{self._prefix}rules": text,
                    f"{self._history}{document.revision:012d}": text,
                },
            )
        except store_module.StoreError as error:
            return error.reason

    async def put_catalog(self, text: str) -> Outcome:
        """Validate and store a whole catalogue."""
        try:
            catalog_module.parse(text)
        except catalog_module.CatalogError as error:
            return Rejected(error.problems)
        for _ in range(_MAX_ATTEMPTS):
            try:
                contents = await self.read()
                if contents.documents[1].text == text:
                    return Stored(contents.head.catalog)
                revision = contents.head.catalog + 1
                head_text = configuration.head_to_json(contents.head.rules, revision)
                puts = {self.head_key: head_text, f"{self._prefix}catalog": text}
                if await self._store.swap([contents.head.value], puts):
                    return Stored(revision)
            except UnreadableError as error:
                return Rejected([f"the store can't be read: {error}"])
            except (RepositoryError, store_module.StoreError) as error:
                return Unknown(str(error))
        return Unknown("contention")

    async def history(self, limit: int) -> list[dict[str, typing.Any]]:
        """
        Return the latest edits, newest first.

        :raises RepositoryError: the store did not answer
        :raises UnreadableError: a field is malformed
        """
        contents = await self.read()
        return [attrs.asdict(edit) for edit in reversed(contents.rules.edits)][:limit]


def _parse_head(value: store_module.Value) -> configuration.Head:
    try:
        return configuration.parse_head(value)
    except fields.FieldError as error:
        raise UnreadableError(value, error) from error
