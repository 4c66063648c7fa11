"""The journal's answers to requests for changes."""

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
def test_changes_after_a_position(after, expected):
    async def main():
        journal = journal_module.Journal()
        journal.restart(at(10))
        journal.add(source.Changes((replica("a", 11), replica("b", 12)), 12))
        found = await journal.since(at(after), 0.01)
        assert [change.key[2:] for change in found.changes] == expected
        assert found.revision == max(after, 12)

    asyncio.run(main())


def test_changes_before_the_journal_are_lost():
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


def test_large_values_are_dropped_before_their_sum_takes_the_memory():
    """Only the number of changes was limited: 69 large configurations took 228 MB for good."""

    async def main():
        journal = journal_module.Journal()
        journal.restart(at(10))
        size = journal_module.MAX_CONTENT_BYTES // 4
        for number in range(10):
            change = attrs.evolve(replica("a", 11 + number), content=bytes(size))
            journal.add(source.Changes((change,), 11 + number))
        found = await journal.since(at(16), 0.01)
        assert [change.revision for change in found.changes] == [17, 18, 19, 20]
        with pytest.raises(source.HistoryLostError):
            await journal.since(at(15), 0.01)

    asyncio.run(main())


def restored_journal():
    """Return a journal that knows era 1 from 10 to 20, and era 2 from a snapshot at 15 on."""
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
def test_journal_continues_across_a_restore(after, expected):
    """Guards against a full read by each instance when the source has been restored from a copy."""

    async def main():
        found = await restored_journal().since(after, 0.01)
        assert [change.key[2:] for change in found.changes] == expected
        assert found.position == at(16, 2)

    asyncio.run(main())


@pytest.mark.parametrize(
    "after",
    [at(9, 1), at(21, 1), at(14, 2), at(16, 3), at(16, 0)],
    ids=["before it", "beyond its last era", "before its snapshot", "later era", "unknown era"],
)
def test_history_is_lost_for_unknown_positions(after):
    """Guards against lost changes where the requesting instance knows more of an era, or less."""

    async def main():
        with pytest.raises(source.HistoryLostError):
            await restored_journal().since(after, 0.01)

    asyncio.run(main())


def test_restore_ends_a_waiting_request():
    """Guards against a wait that continues because the revision has not increased."""

    async def main():
        journal = restored_journal()
        waiting = asyncio.create_task(journal.since(at(16, 2), 5.0))
        await asyncio.sleep(0.01)
        journal.add(source.Changes((attrs.evolve(replica("d", 12), era=3),), 12, era=3))
        found = await waiting
        assert [change.key for change in found.changes] == ["r/d"]
        assert found.position == at(12, 3)

    asyncio.run(main())


def test_eras_of_long_ago_are_forgotten():
    """Guards against an entry for each restore of the source that stays for good."""
    journal = journal_module.Journal()
    journal.restart(at(10, era=1))
    for era in range(2, 200):
        journal.add(source.Changes((), 10, era=era))
    assert len(journal._eras) <= 16

    async def main():
        assert (await journal.since(at(10, era=198), 0.01)).position == at(10, era=199)
        with pytest.raises(source.HistoryLostError):
            await journal.since(at(10, era=1), 0.01)

    asyncio.run(main())
