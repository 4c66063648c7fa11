"""Concurrency limit of an instance, and the requests that wait below it."""

from __future__ import annotations

import collections
import heapq
import random
import sys

import pytest

from turmericlug.policy import concurrency

INITIAL = int(concurrency.INITIAL_LIMIT)
GOAL_S = 0.25
DEADLINE_S = 2.5
INSTANCES = 7
QUERIES_PER_S = 56
OUTAGE_S = 2.0
SERVED_PER_S = 114
"""Two replicas with two slots, 35 ms for each part."""


def start(limit, count, now_s):
    return next((n for n in range(count) if not limit.try_acquire(now_s)), count)


def waiting(name, started, rank=1, organisation="", goal_at_s=10.0, deadline_s=20.0):
    return concurrency.Waiting(
        rank,
        organisation,
        1.0,
        goal_at_s,
        deadline_s,
        lambda starts: started.append(name) if starts else None,
    )


@pytest.mark.parametrize(
    ("age_s", "durations_s", "allowed"),
    [
        pytest.param(0.0, [], INITIAL, id="just started"),
        pytest.param(0.0, [0.1] * 4, INITIAL + 2, id="answers within the goal"),
        pytest.param(0.0, [0.5], INITIAL, id="a late answer"),
        pytest.param(0.0, [0.5] * 20, INITIAL, id="late answers at the same moment"),
        pytest.param(concurrency.SHORTAGE_S, [], 100, id="some time after the start"),
        pytest.param(60.0, [0.1] * 9 + [0.5] * 4, 100, id="some late answers on a calm day"),
        pytest.param(60.0, [0.5] * 11, 100, id="too few answers to tell"),
        pytest.param(60.0, [0.5] * 12, 4, id="a shortage"),
    ],
)
def test_limit(age_s, durations_s, allowed):
    """A calm day must have no limit: a request that waits without need is answered later."""
    limit = concurrency.ConcurrencyLimit(0.0)
    for _ in durations_s:
        limit._active += 1
    for duration_s in durations_s:
        answer = concurrency.Answer(duration_s, GOAL_S, duration_s <= GOAL_S)
        limit.release(age_s, answer)
    limit._active = 0
    assert start(limit, 100, age_s) == allowed


def test_order_of_waiting_requests():
    """
    Requests that can be in time go before those that can't, then by rank, then organisations in
    turn. An organisation that returns with many requests must not take all the room.
    """
    limit = concurrency.ConcurrencyLimit(0.0)
    start(limit, 100, 0.0)
    started = []
    for number in range(5):
        assert limit.wait(waiting(f"busy {number}", started, organisation="busy"), 0.0)
    for request in (
        waiting("late", started, rank=0, goal_at_s=0.05),
        waiting("calm", started, organisation="calm"),
        waiting("urgent", started, rank=0),
    ):
        assert limit.wait(request, 0.0)
    cancelled = waiting("caller left", started, rank=0)
    assert limit.wait(cancelled, 0.0)
    cancelled.is_cancelled = True
    for _ in range(8):
        limit.release(0.1, None)
    assert started[:3] == ["urgent", "busy 0", "calm"]
    assert started[-1] == "late"
    assert len(started) == 8


def test_a_request_that_becomes_late_goes_after_the_others():
    """An answer that is late anyway must not make another one late."""
    limit = concurrency.ConcurrencyLimit(0.0)
    start(limit, 100, 0.0)
    started = []
    assert limit.wait(waiting("becomes late", started, goal_at_s=0.3), 0.0)
    assert limit.wait(waiting("in time", started), 0.0)
    limit.release(0.3, None)
    limit.release(0.3, None)
    assert started == ["in time", "becomes late"]


def test_what_cannot_be_in_time_is_refused_at_once():
    """A caller that is refused at once can try another instance; at its deadline it can't."""
    limit = concurrency.ConcurrencyLimit(0.0)
    start(limit, 100, 0.0)
    queued = 0
    while limit.wait(waiting("request", [], goal_at_s=0.2, deadline_s=0.8), 0.0):
        queued += 1
    assert INITIAL * 6 <= queued <= INITIAL * 7
    assert limit.wait(waiting("urgent", [], rank=0, goal_at_s=0.2, deadline_s=0.8), 0.0)
    assert limit.wait(waiting("other", [], organisation="other", deadline_s=0.8), 0.0)


def test_cancelled_requests_block_no_other():
    """After all waiting callers have left, no release comes that would start the next request."""
    limit = concurrency.ConcurrencyLimit(0.0)
    start(limit, 100, 0.0)
    left = waiting("caller left", [])
    assert limit.wait(left, 0.0)
    left.is_cancelled = True
    for _ in range(INITIAL):
        limit.release(0.1, None)
    assert limit.try_acquire(0.2)


def test_callers_that_have_left_are_not_counted_ahead():
    """A caller is refused for want of time, behind requests that nobody waits for."""
    limit = concurrency.ConcurrencyLimit(0.0)
    start(limit, 100, 0.0)
    left = [waiting(f"left {number}", []) for number in range(60)]
    for request in left:
        assert limit.wait(request, 0.0)
    started = []
    assert not limit.wait(waiting("stays", started, deadline_s=1.0), 0.0)
    for request in left:
        limit.leave(request)
    assert limit.queue_length == 0
    assert limit.wait(waiting("stays", started, deadline_s=1.0), 0.0)
    limit.release(0.1, None)
    assert started == ["stays"]


def simulate_outage(began_s, seed, busy_share=0.0):
    """
    Return the shares of queries in time and answered after an outage, by organisation.

    Callers repeat their queries together and send more. The replicas are modelled as one queue,
    served in order.

    :param busy_share: share of the queries that come from one organisation
    """
    rng = random.Random(seed)
    instances = [concurrency.ConcurrencyLimit(began_s) for _ in range(INSTANCES)]
    sent_s = [rng.uniform(-OUTAGE_S, 0.0) for _ in range(int(OUTAGE_S * QUERIES_PER_S))]
    sent_s += [n / QUERIES_PER_S for n in range(2 * QUERIES_PER_S)]
    events = []
    for sequence, began in enumerate(sent_s):
        organisation = "busy" if rng.random() < busy_share else f"o{rng.randrange(10)}"
        at_s = max(began, rng.uniform(0.0, 0.2))
        heapq.heappush(events, (at_s, sequence, began, organisation, None))
    free_at_s, sequence = 0.0, len(events)
    counts = collections.defaultdict(collections.Counter)
    clock = {"s": 0.0}

    def serve(at_s, began, organisation, instance):
        nonlocal free_at_s, sequence
        free_at_s, sequence = max(free_at_s, at_s) + 1 / SERVED_PER_S, sequence + 1
        heapq.heappush(events, (free_at_s + 0.035, sequence, began, organisation, (instance, at_s)))

    while events:
        now_s, _, began, organisation, served_by = heapq.heappop(events)
        clock["s"] = now_s
        if served_by is not None:
            instance, started_s = served_by
            for group in ("all", "busy" if organisation == "busy" else "others"):
                counts[group]["in time"] += now_s - began <= GOAL_S
                counts[group]["answered"] += now_s - began <= DEADLINE_S
            answer = concurrency.Answer(now_s - started_s, GOAL_S, now_s - began <= GOAL_S)
            instance.release(now_s, answer)
            continue
        for group in ("all", "busy" if organisation == "busy" else "others"):
            counts[group]["sent"] += 1
        instance = rng.choice(instances)
        if instance.try_acquire(now_s):
            serve(now_s, began, organisation, instance)
            continue

        def on_decided(starts, began=began, organisation=organisation, instance=instance):
            if starts:
                serve(clock["s"], began, organisation, instance)

        request = concurrency.Waiting(
            1, organisation, 1.0, began + GOAL_S, began + DEADLINE_S, on_decided
        )
        instance.wait(request, now_s)
    return counts


@pytest.mark.parametrize("seed", range(5))
def test_limit_after_an_outage(seed):
    """
    All instances lose power for two seconds, and every caller repeats its query at the same moment.
    If all are started at once, they queue at the replicas, and every answer of two seconds is late.
    With the limit many more queries are in time, and hardly fewer are answered.
    """
    unlimited = simulate_outage(-100.0, seed)["all"]
    limited = simulate_outage(0.0, seed)["all"]
    assert limited["in time"] > 1.4 * unlimited["in time"]
    assert limited["answered"] >= 0.97 * unlimited["answered"]


@pytest.mark.parametrize(("queries_per_s", "busy_share"), [(56, 0.5), (150, 0.9), (250, 0.9)])
def test_one_organisation_does_not_take_all_the_room(queries_per_s, busy_share, monkeypatch):
    """
    After an outage most queries come from one organisation, which must delay only its own. In order
    of arrival, half of the others' queries would miss their deadlines at 250 queries per second.
    """
    monkeypatch.setattr(sys.modules[__name__], "QUERIES_PER_S", queries_per_s)
    for seed in range(3):
        counts = simulate_outage(0.0, seed, busy_share)
        answered = {name: each["answered"] / each["sent"] for name, each in counts.items()}
        assert answered["others"] > max(answered["busy"], 0.8)
