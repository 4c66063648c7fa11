"""One mechanism to take away, and the test that has to notice."""

from __future__ import annotations

import attrs


@attrs.frozen
class Mutant:
    """A mechanism taken away, and the test that has to notice."""

    name: str
    path: str
    edits: tuple[tuple[str, str], ...]
    test: str


def one(name, path, old, new, test):
    return Mutant(name, f"src/turmericlug/{path}", ((old, new),), f"tests/{test}")
