"""How what the source tells differs from what is known of it."""

from __future__ import annotations

from collections import abc

from turmericlug.entry import news
from turmericlug.telemetry import decisions

Known = abc.Mapping[str, news.Written | news.Unreadable]
"""What the source was last heard to hold, by key."""


def between(known: Known, snapshot: news.Snapshot) -> news.Changes:
    """Return what a fresh reading tells that was not known, as changes."""
    present = {written.key for written in snapshot.written}
    written = [
        each
        for each in snapshot.written
        if each.key not in known or _is_news(each, known[each.key])
    ]
    removed = [
        news.Removed(key, snapshot.revision, snapshot.era) for key in known if key not in present
    ]
    changes = sorted([*written, *removed], key=lambda each: each.position)
    return news.Changes(tuple(changes), snapshot.revision, era=snapshot.era)


def _is_news(
    written: news.Written | news.Unreadable, known: news.Written | news.Unreadable
) -> bool:
    """Whether an entry is another one than is known; in a new era, most are just the same."""
    same = (written.revision, written.content) == (known.revision, known.content)
    return known.position < written.position and not same


def tell_passed_over(known: Known, changes: abc.Iterable[news.Change], revision: int) -> None:
    """
    Log what is told of no later position than what is known, as one line.

    :param revision: up to which the changes are told
    """
    found = [
        each for each in changes if each.key in known and _is_passed_over(each, known[each.key])
    ]
    if found:
        decisions.log(
            "view.passed_over",
            count=len(found),
            key=found[-1].key,
            revision=found[-1].revision,
            known_revision=known[found[-1].key].revision,
            told_revision=revision,
        )


def _is_passed_over(change: news.Change, known: news.Written | news.Unreadable) -> bool:
    if change.position != known.position:
        return change.position < known.position
    return isinstance(change, news.Removed) or change.content != known.content
