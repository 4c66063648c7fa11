"""Merging the parts of a query: the greatest records of all, greatest first."""

from __future__ import annotations

import heapq
from collections import abc

RECORD_BYTES = 16
"""Length of one record; a shorter remainder of a part is no record."""


def top_records(bodies: abc.Iterable[bytes], count: int) -> bytes:
    """
    Return the greatest records of all parts, greatest first; equal records all count.

    :param bodies: records of each part, in any order
    :param count: how many records at most
    """
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
