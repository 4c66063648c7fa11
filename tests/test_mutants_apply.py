"""All mutants apply to the current source."""

from __future__ import annotations

import pathlib

import mutants
import mutants_daemon
import mutants_entry
import pytest

MUTANTS = (*mutants_daemon.MUTANTS, *mutants_entry.MUTANTS)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutant_applies(mutant):
    """
    A mutant that is not updated with the source no longer applies. As mutants are run rarely, it
    would go unnoticed for months that no test is shown to depend on the mechanism.
    """
    text = (mutants.ROOT / mutant.path).read_text()
    assert [text.count(old) for old, _ in mutant.edits] == [1] * len(mutant.edits)
    file, _, test = mutant.test.partition("::")
    name = test.partition("[")[0]
    assert name in pathlib.Path(mutants.ROOT, file).read_text()


def test_names_are_unique():
    names = [mutant.name for mutant in MUTANTS]
    assert sorted(set(names)) == sorted(names)
