"""
How many queries over shards an instance that has just started takes at a time, and who waits.

The load pattern: all instances lose power for two seconds. Their callers return together, with what
they had waiting and what has come since, to instances without a connection to any replica. Taken
all at once, the parts fill the replicas' queues and connections: sends are reset, shed or silent,
and most queries late. So an instance begins with few queries at a time and takes more as its
answers are in time.

The others wait their turn here rather than at the replicas. Those that can still be in time go
first; for the others an answer in some hundred milliseconds is as good as a little sooner, and
waiting they keep nobody else from being in time. Refused at once instead, they come back to find
the instance as busy, and are lost. Only who would wait beyond its deadline is refused, and that at
once.
"""

from __future__ import annotations

import itertools
from collections import abc

import attrs

INITIAL_LIMIT = 4
"""Queries at a time in the beginning: with seven instances and four slots a shard, about seven
parts for each slot."""
ANSWERS_FOR_ONE_MORE = 2
"""Answers in time after which one more is taken. More of them help in a large storm, and let
callers wait for nothing in a small one."""
OVER = 16
"""From here on nothing is limited: the replicas keep up, and the number says nothing more."""
OVER_AFTER_S = 4.0
"""Age from which nothing is limited: the storm after an outage of two seconds lasts for two. An
instance that was started well before its first callers would keep some of them waiting for
nothing."""
INITIAL_DURATION_S = 0.1
USUAL_GAIN = 0.2
"""Weight of a query's duration in the usual one: about the last nine count."""

_numbers = itertools.count()


@attrs.define(eq=False)
class WaitingQuery:
    """A query that waits for its turn."""

    priority: int
    """0 goes first."""
    goal_at_s: float
    """Until when its answer is in time."""
    deadline_s: float
    on_turn: abc.Callable[[], None]
    """Called when it is to begin."""
    number: int = attrs.field(factory=lambda: next(_numbers))


class SlowStart:
    """The queries over shards under way in one instance, and those that wait."""

    def __init__(self, began_s: float) -> None:
        """
        Begin to count.

        :param began_s: when the instance was started, by the clock that is given later
        """
        self._over_s = began_s + OVER_AFTER_S
        self._in_time = 0
        self._under_way = 0
        self._usual_s = INITIAL_DURATION_S
        self._waiting: list[WaitingQuery] = []

    @property
    def queue_length(self) -> int:
        """How many queries wait."""
        return len(self._waiting)

    def _most(self, now_s: float) -> float:
        most = INITIAL_LIMIT + self._in_time // ANSWERS_FOR_ONE_MORE
        return float("inf") if now_s >= self._over_s or most >= OVER else most

    def try_acquire(self, now_s: float) -> bool:
        """Begin a query if there is room; nobody overtakes those that wait."""
        if self._waiting or self._under_way >= self._most(now_s):
            return False
        self._under_way += 1
        return True

    def wait(self, query: WaitingQuery, now_s: float) -> bool:
        """
        Let a query wait for its turn; false when that would come too late for its deadline.
        """
        ahead = sum(self._rank(each, now_s) < self._rank(query, now_s) for each in self._waiting)
        turn_s = (ahead + 1) * self._usual_s / self._most(now_s)
        if now_s + turn_s + self._usual_s > query.deadline_s:
            return False
        self._waiting.append(query)
        return True

    def cancel(self, query: WaitingQuery) -> None:
        """Take a query that waits out: its caller has left."""
        if query in self._waiting:
            self._waiting.remove(query)

    def release(self, now_s: float, duration_s: float, in_time: bool) -> None:
        """Take note of the end of a query that was begun, and let others begin."""
        self._under_way -= 1
        self._in_time += in_time
        self._usual_s += USUAL_GAIN * (duration_s - self._usual_s)
        self.let_in(now_s)

    def let_in(self, now_s: float) -> None:
        """Begin those that wait, as far as there is room."""
        while self._waiting and self._under_way < self._most(now_s):
            first = min(self._waiting, key=lambda each: self._rank(each, now_s))
            self._waiting.remove(first)
            self._under_way += 1
            first.on_turn()

    def _rank(self, query: WaitingQuery, now_s: float) -> tuple[bool, int, float]:
        """Return the place in the line: the lowest goes first."""
        too_late = now_s + self._usual_s > query.goal_at_s
        return too_late, query.priority, query.deadline_s if too_late else query.number
