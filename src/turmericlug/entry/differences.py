"""Compare snapshots and changes from the source with the entries already known."""

from __future__ import annotations

from collections import abc

from turmericlug.entry import source
from turmericlug.telemetry import decisions

Known = abc.Mapping[str, source.Written | source.Unreadable]
"""The last known state of each key in the source."""


def between(known: Known, snapshot: source.Snapshot) -> source.Changes:
    """Return the changes that lead from the known entries to a fresh snapshot."""
    present = {written.key for written in snapshot.entries}
    written = [
        entry
        for entry in snapshot.entries
        if entry.key not in known or _is_change(entry, known[entry.key])
    ]
    removed = [
        source.Removed(key, snapshot.revision, snapshot.era) for key in known if key not in present
    ]
    changes = sorted([*written, *removed], key=lambda change: change.position)
    return source.Changes(tuple(changes), snapshot.revision, era=snapshot.era)


def _is_change(
    written: source.Written | source.Unreadable, known: source.Written | source.Unreadable
) -> bool:
    """Whether an entry differs from the known one; most are unchanged in a new era."""
    same = (written.revision, written.content) == (known.revision, known.content)
    return known.position < written.position and not same


def log_outdated(known: Known, changes: abc.Iterable[source.Change], revision: int) -> None:
    """
    Log changes whose position is not later than that of the known entry, all in one line.

    :param revision: the revision up to which the source has reported changes
    """
    outdated = [
        change
        for change in changes
        if change.key in known and _is_outdated(change, known[change.key])
    ]
    if outdated:
        decisions.log(
            "view.passed_over",
            count=len(outdated),
            key=outdated[-1].key,
            revision=outdated[-1].revision,
            known_revision=known[outdated[-1].key].revision,
            told_revision=revision,
        )


def _is_outdated(change: source.Change, known: source.Written | source.Unreadable) -> bool:
    if change.position != known.position:
        return change.position < known.position
    return isinstance(change, source.Removed) or change.content != known.content
