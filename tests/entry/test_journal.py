"""What a journal of news tells."""

from __future__ import annotations

import asyncio

import pytest
import scripted

from turmericlug.entry import journal as journal_module
from turmericlug.entry import news


def replica(name, revision):
    return news.Written(f"r/{name}", scripted.entry(name), revision, name.encode())


@pytest.mark.parametrize(
    ("after", "expected"),
    [(10, ["a", "b"]), (11, ["b"]), (12, []), (15, [])],
)
def test_a_journal_tells_what_came_after(after, expected):
    async def main():
        journal = journal_module.Journal()
        journal.restart(10)
        journal.add(news.Changes((replica("a", 11), replica("b", 12)), 12))
        found = await journal.since(after, 0.01)
        assert [change.key[2:] for change in found.changes] == expected
        assert found.revision == max(after, 12)

    asyncio.run(main())


def test_a_journal_does_not_know_what_was_before():
    async def main():
        journal = journal_module.Journal()
        with pytest.raises(news.HistoryLostError):
            await journal.since(5, 0.01)
        journal.restart(10)
        with pytest.raises(news.HistoryLostError):
            await journal.since(9, 0.01)
        for number in range(journal_module.KEPT_CHANGES + 5):
            journal.add(news.Changes((replica("a", 11 + number),), 11 + number))
        with pytest.raises(news.HistoryLostError):
            await journal.since(11, 0.01)

    asyncio.run(main())
