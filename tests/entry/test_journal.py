"""What a journal of news tells."""

from __future__ import annotations

import asyncio

import attrs
import pytest
import scripted

from turmericlug.entry import journal as journal_module
from turmericlug.entry import source


def at(revision, era=0):
    return source.Position(era, revision)


def replica(name, revision):
    return source.Written(f"r/{name}", scripted.entry(name), revision, name.encode())


@pytest.mark.parametrize(
    ("after", "expected"),
    [(10, ["a", "b"]), (11, ["b"]), (12, []), (15, [])],
)
def test_a_journal_tells_what_came_after(after, expected):
    async def main():
        journal = journal_module.Journal()
        journal.restart(at(10))
        journal.add(source.Changes((replica("a", 11), replica("b", 12)), 12))
        found = await journal.since(at(after), 0.01)
        assert [change.key[2:] for change in found.changes] == expected
        assert found.revision == max(after, 12)

    asyncio.run(main())


def test_a_journal_does_not_know_what_was_before():
    async def main():
        journal = journal_module.Journal()
        with pytest.raises(source.HistoryLostError):
            await journal.since(at(5), 0.01)
        journal.restart(at(10))
        with pytest.raises(source.HistoryLostError):
            await journal.since(at(9), 0.01)
        for number in range(journal_module.MAX_CHANGES + 5):
            journal.add(source.Changes((replica("a", 11 + number),), 11 + number))
        with pytest.raises(source.HistoryLostError):
            await journal.since(at(11), 0.01)

    asyncio.run(main())


def returned_journal():
    """Return a journal that knows era 1 from 10 to 20, and era 2 from a reading at 15 on."""
    journal = journal_module.Journal()
    journal.restart(at(10, 1))
    journal.add(source.Changes((attrs.evolve(replica("a", 12), era=1),), 20, era=1))
    removed = source.Removed("r/a", 15, 2)
    journal.add(source.Changes((attrs.evolve(replica("b", 13), era=2), removed), 15, era=2))
    journal.add(source.Changes((attrs.evolve(replica("c", 16), era=2),), 16, era=2))
    return journal


@pytest.mark.parametrize(
    ("after", "expected"),
    [
        (at(10, 1), ["a", "b", "a", "c"]),
        (at(20, 1), ["b", "a", "c"]),
        (at(15, 2), ["c"]),
        (at(16, 2), []),
    ],
)
def test_a_journal_goes_on_over_a_return_from_a_copy(after, expected):
    """Guards against a reading of everything by each instance when the source has returned."""

    async def main():
        found = await returned_journal().since(after, 0.01)
        assert [change.key[2:] for change in found.changes] == expected
        assert found.position == at(16, 2)

    asyncio.run(main())


@pytest.mark.parametrize(
    "after",
    [at(9, 1), at(21, 1), at(14, 2), at(16, 3), at(16, 0)],
    ids=["before it", "beyond its last era", "before its reading", "later era", "unknown era"],
)
def test_a_journal_answers_only_for_what_it_knows(after):
    """Guards against changes that are missed by whoever knows more of an era, or less."""

    async def main():
        with pytest.raises(source.HistoryLostError):
            await returned_journal().since(after, 0.01)

    asyncio.run(main())


def test_a_question_that_waits_hears_of_a_return_from_a_copy():
    """Guards against a wait that goes on as the revision has not risen."""

    async def main():
        journal = returned_journal()
        waiting = asyncio.create_task(journal.since(at(16, 2), 5.0))
        await asyncio.sleep(0.01)
        journal.add(source.Changes((attrs.evolve(replica("d", 12), era=3),), 12, era=3))
        found = await waiting
        assert [change.key for change in found.changes] == ["r/d"]
        assert found.position == at(12, 3)

    asyncio.run(main())
