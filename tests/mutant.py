"""Mutants: edits of the source that each disable one mechanism."""

from __future__ import annotations

import attrs


@attrs.frozen
class Mutant:
    """Edits that disable a mechanism, and the test that must then fail."""

    name: str
    path: str
    edits: tuple[tuple[str, str], ...]
    test: str


def one(name, path, old, new, test):
    return Mutant(name, f"src/turmericlug/{path}", ((old, new),), f"tests/{test}")
