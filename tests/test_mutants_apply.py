"""The list of mechanisms that can be taken away fits the code."""

from __future__ import annotations

import pathlib

import mutants
import mutants_daemon
import mutants_entry
import pytest

ALL = (*mutants_daemon.MUTANTS, *mutants_entry.MUTANTS)


@pytest.mark.parametrize("mutant", ALL, ids=lambda mutant: mutant.name)
def test_a_mechanism_stands_where_its_mutant_looks_for_it(mutant):
    """
    Code is changed and its mutant is forgotten. Run months later it does not apply, and nobody has
    noticed in the meantime that a promise is no longer shown to rest on its mechanism.
    """
    text = (mutants.ROOT / mutant.path).read_text()
    assert [text.count(old) for old, _ in mutant.edits] == [1] * len(mutant.edits)
    file, _, test = mutant.test.partition("::")
    name = test.partition("[")[0]
    assert name in pathlib.Path(mutants.ROOT, file).read_text()


def test_names_are_used_once():
    names = [mutant.name for mutant in ALL]
    assert sorted(set(names)) == sorted(names)
