"""Merging the parts of a query."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from turmericlug.direct import merge


def record(number):
    return number.to_bytes(16, "big")


@pytest.mark.parametrize(
    ("bodies", "count", "expected"),
    [
        ([], 3, []),
        ([record(1) + record(9), record(5)], 2, [9, 5]),
        ([record(7), record(7)], 5, [7, 7]),
        ([record(3) + b"remainder"], 5, [3]),
        ([b"", record(2)], 1, [2]),
    ],
    ids=["none", "greatest", "equal ones count", "remainder", "empty part"],
)
def test_greatest_records(bodies, count, expected):
    assert merge.greatest_records(bodies, count) == b"".join(map(record, expected))


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.lists(strategies.binary(min_size=16, max_size=16))),
    strategies.integers(1, 20),
)
def test_greatest_records_are_the_first_of_all_records_sorted(parts, count):
    records = merge.greatest_records([b"".join(part) for part in parts], count)
    all_records = sorted((value for part in parts for value in part), reverse=True)
    assert records == b"".join(all_records[:count])
