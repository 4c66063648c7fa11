"""
Concurrency limit for queries over shards in an instance that has just started.

The load pattern: all instances lose power for two seconds. Their callers return together, with the
requests that were waiting and those that have arrived since, while the instances have no connection
to any replica. If all queries are started at once, their parts fill the replicas' queues and
connections: sends are reset, shed or get no response, and most queries are late. An instance
therefore starts with a low limit and raises it as its answers are in time.

The other queries wait in the instance rather than at the replicas. Those that can still be in time
go first. For the others an answer in a few hundred milliseconds is as good as one slightly earlier,
and while they wait they don't make any other query late. If they were refused at once, their
callers would retry, find the instance just as busy, and be lost. Only a query that would wait
beyond its deadline is refused, and that immediately.
"""

from __future__ import annotations

import itertools
from collections import abc

import attrs

INITIAL_LIMIT = 4
"""Concurrent queries after the start: with seven instances and four slots a shard, this gives about
seven parts for each slot."""
ANSWERS_PER_STEP = 2
"""Answers in time that raise the limit by one. A higher value helps in a large burst, but makes
callers wait needlessly in a small one."""
UNLIMITED_FROM = 16
"""Limit from which there is none: the replicas keep up, so that the number no longer matters."""
SLOW_START_S = 4.0
"""Time after the start of the instance from which there is no limit. The burst after an outage of
two seconds lasts for two; an instance that was started well before its first callers would make
some of them wait needlessly."""
INITIAL_DURATION_S = 0.1
"""Assumed duration of a query until some have ended."""
DURATION_WEIGHT = 0.2
"""Weight of a query's duration in the moving average: about the last nine count."""

_sequence = itertools.count()


@attrs.define(eq=False)
class WaitingQuery:
    """A query in the queue."""

    priority: int
    """0 is the most urgent."""
    goal_at_s: float
    """Latest time at which its answer is in time."""
    deadline_s: float
    on_start: abc.Callable[[], None]
    """Called when the query may start."""
    sequence: int = attrs.field(factory=lambda: next(_sequence))


class SlowStart:
    """The active and the waiting queries over shards of one instance."""

    def __init__(self, began_s: float) -> None:
        """
        Start with the initial limit.

        :param began_s: start time of the instance, by the clock of ``now_s`` in the other methods
        """
        self._ends_at_s = began_s + SLOW_START_S
        self._answers_in_time = 0
        self._active = 0
        self._mean_duration_s = INITIAL_DURATION_S
        self._waiting: list[WaitingQuery] = []

    @property
    def queue_length(self) -> int:
        """Number of waiting queries."""
        return len(self._waiting)

    def _limit(self, now_s: float) -> float:
        limit = INITIAL_LIMIT + self._answers_in_time // ANSWERS_PER_STEP
        return float("inf") if now_s >= self._ends_at_s or limit >= UNLIMITED_FROM else limit

    def try_acquire(self, now_s: float) -> bool:
        """Start a query if the limit allows it and no other query waits."""
        if self._waiting or self._active >= self._limit(now_s):
            return False
        self._active += 1
        return True

    def wait(self, query: WaitingQuery, now_s: float) -> bool:
        """Queue a query; false if it is expected to end after its deadline."""
        ahead = sum(self._rank(other, now_s) < self._rank(query, now_s) for other in self._waiting)
        wait_s = (ahead + 1) * self._mean_duration_s / self._limit(now_s)
        if now_s + wait_s > self.latest_start_s(query):
            return False
        self._waiting.append(query)
        return True

    def latest_start_s(self, query: WaitingQuery) -> float:
        """Return when a query has to start at the latest to be answered before its deadline."""
        return query.deadline_s - self._mean_duration_s

    def cancel(self, query: WaitingQuery) -> None:
        """Remove a query that doesn't wait any more."""
        if query in self._waiting:
            self._waiting.remove(query)

    def release(self, now_s: float, duration_s: float, in_time: bool) -> None:
        """Record the end of an active query and start waiting ones."""
        self._active -= 1
        self._answers_in_time += in_time
        self._mean_duration_s += DURATION_WEIGHT * (duration_s - self._mean_duration_s)
        self.start_waiting(now_s)

    def start_waiting(self, now_s: float) -> None:
        """Start waiting queries up to the limit."""
        while self._waiting and self._active < self._limit(now_s):
            next_query = min(self._waiting, key=lambda query: self._rank(query, now_s))
            self._waiting.remove(next_query)
            self._active += 1
            next_query.on_start()

    def _rank(self, query: WaitingQuery, now_s: float) -> tuple[bool, int, float]:
        """Return the sort key in the queue; the lowest goes first."""
        too_late = now_s + self._mean_duration_s > query.goal_at_s
        return too_late, query.priority, query.deadline_s if too_late else query.sequence
