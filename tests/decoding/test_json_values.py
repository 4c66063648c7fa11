"""Tests of the limits on JSON from outside."""

from __future__ import annotations

import json

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.decoding import fields
from turmericlug.decoding import json_values

LIMIT = json_values.MAX_DEPTH


def nested(levels, core=b"1"):
    """Return lists and objects in turn, nested this deep."""
    opened = [(b"[", b"]") if level % 2 else (b'{"a":', b"}") for level in range(levels)]
    return b"".join(o for o, _ in opened) + core + b"".join(c for _, c in reversed(opened))


@pytest.mark.parametrize(
    "core", [b"1", b'"[[[["', rb'"\"[[[["', rb'"\\"', b'[["]]]]]]"],1]'], ids=str
)
def test_values_within_the_depth_are_parsed(core):
    content = nested(LIMIT - 2, core)
    assert json_values.parse(content) == json.loads(content)


@pytest.mark.parametrize(
    "content",
    [
        nested(LIMIT + 1),
        b"[" * 200_000,
        b'[["]"' + b',["]"' * 100 + b"]" * 102,
        rb'["\"",' + nested(LIMIT) + b"]",
        rb'["\\",' + nested(LIMIT) + b"]",
        b'{"a":' * 400 + b"1" + b"}" * 400,
    ],
    ids=lambda content: str(content[:12]),
)
def test_deeper_values_are_refused(content):
    """
    Guards against values that one instance reads and another does not: the parser's own limit is
    what the stack of its caller leaves.
    """
    with pytest.raises(fields.FieldError) as error:
        json_values.parse(content)
    assert error.value.reason == "depth"


@pytest.mark.parametrize(
    ("content", "reason"),
    [
        (b"", "syntax"),
        (b"\xff", "text"),
        ("[]".encode("utf-16"), "text"),
        (b"9" * 5000, "syntax"),
        (b" " * 101, "size"),
    ],
    ids=lambda value: str(value[:8]),
)
def test_other_malformed_values_are_refused(content, reason):
    with pytest.raises(fields.FieldError) as error:
        json_values.parse(content, 100 if reason == "size" else json_values.MAX_BYTES)
    assert error.value.reason == reason


JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.text('[]{}"\\a', max_size=6),
    lambda children: strategies.lists(children, max_size=2)
    | strategies.dictionaries(strategies.text('[]{}"\\', max_size=3), children, max_size=2),
    max_leaves=30,
)


def depth(value):
    """Return how many lists and objects contain the innermost one, itself included."""
    children = value.values() if isinstance(value, dict) else value
    return 1 + max(map(depth, children), default=0) if isinstance(value, list | dict) else 0


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(JSON_VALUES, strategies.integers(0, LIMIT + 2))
def test_depth_is_exact(value, levels):
    """Guards against brackets in strings that count as levels, or hide them."""
    content = nested(levels, json.dumps(value).encode())
    assert json_values._is_too_deep(content) == (levels + depth(value) > LIMIT)
