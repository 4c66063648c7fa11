"""
Read the answers of the platform's store: each field has a type and a range.

An item with a malformed field is refused alone, as ``Unreadable``, if its key can be told; any
other malformed field makes the whole answer unusable.
"""

from __future__ import annotations

import typing

import attrs

from turmericlug.decoding import fields
from turmericlug.entry import source
from turmericlug.kernel import slices
from turmericlug.platform import decode


@attrs.frozen
class Page:
    """A page of the store's items."""

    entries: tuple[source.Written | source.Unreadable, ...]
    revision: int
    last_key: str
    """Key of the last item; empty if there is none."""
    has_more: bool


def read_page(body: typing.Any, era: int) -> Page:
    """
    Read the answer to ``kv-range``.

    :raises FieldError: a field is malformed
    """
    revision = _read_number(body, "AsOf")
    items = _read_objects(body, "items")
    entries = [_read_item(item, era, revision) for item in items]
    return Page(
        tuple(entry for entry in entries if entry is not None),
        revision,
        items[-1]["Key"] if items else "",
        fields.read_field({"HasMore": False} | body, "HasMore", fields.read_flag),
    )


def read_events(body: typing.Any, era: int) -> source.Changes:
    """
    Read the answer to ``kv-watch`` at once.

    :raises FieldError: a field is malformed
    """
    return slices.at_once(reading_events(body, era))


def reading_events(body: typing.Any, era: int) -> slices.Steps[source.Changes]:
    """
    Read the answer to ``kv-watch`` in steps.

    :raises FieldError: a field is malformed
    """
    revision = _read_number(body, "AsOf")
    changes = []
    for event in _read_objects(body, "events"):
        change = _read_event(event, era, revision)
        if change is not None:
            changes.append(change)
        yield
    return source.Changes(tuple(changes), revision, era=era)


def read_lease(body: typing.Any) -> int:
    """
    Read the answer to ``kv-lease``.

    :raises FieldError: the lease is malformed
    """
    return _read_number(body, "Lease", minimum=1)


def read_written_revision(body: typing.Any) -> int:
    """
    Read the answer to ``kv-txn``: without a revision, nothing shows that it was carried out.

    :raises FieldError: the revision is malformed
    """
    return _read_number(body, "Revision", minimum=1)


def _read_number(body: typing.Any, name: str, minimum: int = 0) -> int:
    if not isinstance(body, dict):
        raise fields.FieldError("the answer is not an object")
    return fields.read_integer_field(body, name, minimum, source.MAX_NUMBER)


def _read_objects(body: dict[str, typing.Any], name: str) -> list[dict[str, typing.Any]]:
    values = fields.read_field(body, name, fields.read_list)
    for value in values:
        if not isinstance(value, dict) or not isinstance(value.get("Key"), str):
            raise fields.FieldError("an item is not an object with a key", "type", name)
    return values


def _read_event(
    event: dict[str, typing.Any], era: int, answer_revision: int
) -> source.Change | None:
    if not event.get("Tombstone"):
        return _read_item(event, era, answer_revision)
    try:
        revision = _read_revision(event, answer_revision)
    except fields.FieldError:
        # The key is gone as of this answer, whenever it was removed.
        revision = answer_revision
    return source.Removed(event["Key"], revision, era)


def _read_item(
    item: dict[str, typing.Any], era: int, answer_revision: int
) -> source.Written | source.Unreadable | None:
    key = item["Key"]
    try:
        revision = _read_revision(item, answer_revision)
        content = fields.read_field(item, "Value", fields.read_string)
    except fields.FieldError as error:
        return source.Unreadable(
            key, 0, error.reason, era=era, field=error.field, problem=str(error)
        )
    change = decode.decode_change(key, content, revision)
    if isinstance(change, source.Written):
        return attrs.evolve(change, lease=_read_attached_lease(item), era=era)
    return change and attrs.evolve(change, era=era)


def _read_revision(item: dict[str, typing.Any], answer_revision: int) -> int:
    maximum = min(answer_revision + source.MAX_REVISIONS_AHEAD, source.MAX_NUMBER)
    return fields.read_field(item, "Revision", lambda value: fields.read_integer(value, 0, maximum))


def _read_attached_lease(item: dict[str, typing.Any]) -> int:
    """Return the lease of an item; a malformed one counts as unknown."""
    try:
        return fields.read_integer(item.get("Lease") or 0, 0, source.MAX_NUMBER)
    except fields.FieldError:
        return 0
