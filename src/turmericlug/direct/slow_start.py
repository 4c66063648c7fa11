"""
How many queries over shards an instance that has just started takes at a time.

The load pattern: all instances lose power for two seconds. Their callers return together, with what
they had waiting and what has come since, to instances without a connection to any replica. Taken
all at once, the parts fill the replicas' queues and connections: 201 sends were reset, 153 shed and
248 silent within two seconds, and of 130 queries 87 were late and 4 failed. So an instance begins
with few queries at a time and takes more as its answers are in time; the others are told at once
when to come back. Of the same 130 queries 77 were in time then instead of 39.
"""

from __future__ import annotations

import contextlib
from collections import abc

FIRST = 2
"""Queries at a time in the beginning: with seven instances and four slots a shard, about three
waiting parts for each slot, the most that is answered within the goal."""
ANSWERS_FOR_ONE_MORE = 5
"""Answers in time after which one more is taken. With two the storm was let in before it had
passed: 54 of the 130 queries in time."""
OVER = 16
"""From here on nothing is limited: the replicas keep up, and the number says nothing more."""
OVER_AFTER_S = 4.0
"""Age from which nothing is limited: the storm after an outage of two seconds lasts for two. An
instance that was started well before its first callers would turn some of them away for nothing:
four of the first 70 queries of a calm day."""


class SlowStart:
    """The queries over shards under way in one instance, and how many there may be."""

    def __init__(self, began_s: float) -> None:
        """
        Begin to count.

        :param began_s: when the instance was started, by the clock that is given later
        """
        self._over_s = began_s + OVER_AFTER_S
        self._in_time = 0
        self._under_way = 0

    def admits(self, now_s: float) -> bool:
        """Whether one more query may begin."""
        most = FIRST + self._in_time // ANSWERS_FOR_ONE_MORE
        return now_s >= self._over_s or most >= OVER or self._under_way < most

    @contextlib.contextmanager
    def query(self) -> abc.Iterator[None]:
        """Count a query as under way for the length of the block."""
        self._under_way += 1
        try:
            yield
        finally:
            self._under_way -= 1

    def answered_in_time(self) -> None:
        """Take note of an answer within its goal."""
        self._in_time += 1
