"""
Concurrency limit of an instance, learned from its latency, and the requests that wait below it.

The load patterns: all instances lose power, and their callers return together while no instance has
a connection to any replica; or one organisation sends so much through an instance that the
instance's own requests delay each other. Requests then wait here rather than at the replicas, where
they would fill queues and connections and make every answer late.

The limit follows AIMD: answers in time raise it, and an answer that takes longer than the goal
from its start lowers it, at most once in the duration of a request. It applies only while
there is a shortage: for some seconds after the start, and after most recent answers were late. At
any other time no request waits.

Requests wait by rank, then organisations in turn, then by deadline. Those that can no longer meet
their goal go last: a slightly later answer is worth as much, and they delay no other. What can't be
answered before its deadline is refused at once, so that its caller can try another instance.
"""

from __future__ import annotations

import collections
from collections import abc

import attrs

from turmericlug.policy import fair_queue

INITIAL_LIMIT = 4.0
"""Concurrent requests after the start. With seven instances and four slots a shard this gives about
seven parts for each slot; a service of six replicas with two slots gets as many from three."""
MIN_LIMIT = 4.0
"""Lowest limit: with fewer, lost requests would block all others until their deadlines."""
INCREASE_PER_ANSWER = 0.5
"""Increase for each answer that its caller gets within the goal. In a small burst the limit doubles
in two to three service times; requests that waited too long already don't raise it."""
DECREASE_FACTOR = 0.8
SHORTAGE_S = 4.0
"""Time after the start, or after the last sign of a shortage, during which the limit applies. The
burst after an outage of two seconds lasts for two."""
RECENT_ANSWERS = 12
MAX_LATE_SHARE = 0.5
"""Share of the recent answers beyond which late ones are a sign of a shortage. Pauses and slow
replicas make fewer late, since parts are hedged."""
RECENT_S = 1.0
"""Age up to which an answer is recent. An instance with fewer answers has no load to limit."""
INITIAL_DURATION_S = 0.1
"""Assumed duration of a request until some have ended."""
DURATION_WEIGHT = 0.2
"""Weight of a request's duration in the moving average: about the last nine count."""


@attrs.define(eq=False)
class Waiting:
    """A request that waits."""

    rank: int
    organisation: str
    cost: float
    """Number of its parts."""
    goal_at_s: float
    """Latest time at which its answer is in time."""
    deadline_s: float
    on_decided: abc.Callable[[bool], None]
    """Called with true when the request may start, with false when it is refused after all."""
    has_left: abc.Callable[[], bool] = lambda: False
    """Whether its caller has left, which may be known before ``is_cancelled`` is set."""
    is_cancelled: bool = False
    is_late: bool = False
    """Whether it waits among the requests that miss their goal."""


@attrs.frozen
class Answer:
    """An answer, from which the limit is learned."""

    duration_s: float
    """Time since the request was started, without its wait."""
    goal_s: float
    in_time: bool
    """Whether the caller got it within its goal, in spite of the wait."""


class ConcurrencyLimit:
    """The active and the waiting requests of one kind in one instance."""

    def __init__(self, began_s: float) -> None:
        """
        Start with the initial limit.

        :param began_s: start time of the instance, by the clock of ``now_s`` in the other methods
        """
        self._limit = INITIAL_LIMIT
        self._applies_until_s = began_s + SHORTAGE_S
        self._active = 0
        self._decreased_s = float("-inf")
        self._mean_duration_s = INITIAL_DURATION_S
        self._recent: collections.deque[tuple[float, bool]] = collections.deque(
            maxlen=RECENT_ANSWERS
        )
        """Time and lateness of recent answers."""
        self._waiting: fair_queue.FairQueue[Waiting] = fair_queue.FairQueue(
            lambda waiting: waiting.is_cancelled or waiting.has_left()
        )

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._active

    @property
    def queue_length(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def limit(self, now_s: float) -> float:
        """Return the limit in force, infinite while there is no shortage."""
        return self._limit if now_s < self._applies_until_s else float("inf")

    def try_acquire(self, now_s: float) -> bool:
        """Start a request if the limit allows it and no other request waits."""
        self.start_waiting(now_s)
        if self._waiting or self._active + 1 > self.limit(now_s):
            return False
        self._active += 1
        return True

    def wait(self, waiting: Waiting, now_s: float) -> bool:
        """Queue a request; false if it is expected to end after its deadline."""
        waiting.is_late = self._is_late(waiting, now_s)
        key = (waiting.is_late, waiting.rank)
        ahead = self._waiting.count_ahead_of(key, waiting.organisation)
        wait_s = (ahead + 1) * self._mean_duration_s / self.limit(now_s)
        if now_s + wait_s > self.latest_start_s(waiting):
            return False
        self._push(waiting)
        return True

    def _push(self, waiting: Waiting) -> None:
        self._waiting.push(
            waiting,
            (waiting.is_late, waiting.rank),
            waiting.organisation,
            waiting.deadline_s,
            waiting.cost,
        )

    def latest_start_s(self, waiting: Waiting) -> float:
        """Return when a request has to start at the latest to be answered before its deadline."""
        return waiting.deadline_s - self._mean_duration_s

    def leave(self, waiting: Waiting) -> None:
        """Remove a request that doesn't wait any more, so that others don't wait behind it."""
        waiting.is_cancelled = True
        rank = (waiting.is_late, waiting.rank)
        self._waiting.remove(waiting, rank, waiting.organisation)

    def release(self, now_s: float, answer: Answer | None) -> None:
        """
        Record the end of an active request and start waiting ones.

        :param answer: ``None`` if its caller has left or it failed, which says nothing about load
        """
        self._active -= 1
        try:
            if answer is not None:
                self._learn(now_s, answer)
        finally:
            self.start_waiting(now_s)

    def _learn(self, now_s: float, answer: Answer) -> None:
        self._mean_duration_s += DURATION_WEIGHT * (answer.duration_s - self._mean_duration_s)
        is_late = answer.duration_s > answer.goal_s
        self._recent.append((now_s, is_late))
        if answer.in_time:
            self._limit += INCREASE_PER_ANSWER
        if not is_late:
            return
        if self._is_short(now_s):
            if now_s >= self._applies_until_s:
                # What was in progress when the shortage began was too much.
                self._limit = max(self._active + 1.0, MIN_LIMIT)
            self._applies_until_s = now_s + SHORTAGE_S
        if now_s - self._decreased_s >= self._mean_duration_s:
            self._decreased_s = now_s
            self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT)

    def _is_short(self, now_s: float) -> bool:
        late = [is_late for at_s, is_late in self._recent if now_s - at_s <= RECENT_S]
        return len(late) >= RECENT_ANSWERS and sum(late) > MAX_LATE_SHARE * len(late)

    def start_waiting(self, now_s: float) -> None:
        """Start waiting requests up to the limit."""
        while self._active + 1 <= self.limit(now_s):
            waiting = self._waiting.pop()
            if waiting is None:
                return
            if now_s > self.latest_start_s(waiting):
                waiting.on_decided(False)
                continue
            if not waiting.is_late and self._is_late(waiting, now_s):
                waiting.is_late = True
                self._push(waiting)
                continue
            self._active += 1
            waiting.on_decided(True)

    def _is_late(self, waiting: Waiting, now_s: float) -> bool:
        return now_s + self._mean_duration_s > waiting.goal_at_s
