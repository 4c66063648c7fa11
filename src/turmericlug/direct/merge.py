"""Merges the parts of a query into their greatest records, in descending order."""

from __future__ import annotations

import heapq
from collections import abc

RECORD_BYTES = 16
"""Length of one record; a shorter remainder at the end of a part is ignored."""


def greatest_records(bodies: abc.Iterable[bytes], count: int) -> bytes:
    """
    Return the greatest records of all parts in descending order; duplicates are kept.

    :param bodies: records of each part, in any order
    :param count: maximum number of records
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
