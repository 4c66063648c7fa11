"""A model of many instances before many replicas, with the real book of suspected requests."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from turmericlug.policy import poison

SHARDS = 20
RUN_S = (0.015, 0.06)
CONFIRM_S = 0.01
"""Time in which a refused connection tells that a replica has ended."""
JOURNEY_S = (0.002, 0.04)
SETTLE_S = 0.2
"""Time for which a first end is kept back before it is told."""
LETHAL = b"lethal"
RETRY_AFTER_S = 0.05


@attrs.define(eq=False)
class Replica:
    """A replica, with what it has under way."""

    name: str
    up: bool = True
    starts: int = 0
    parts: set = attrs.field(factory=set)


@attrs.define(eq=False)
class Part:
    """One part of a query under way at a replica."""

    query: Query
    shard: int
    replica: Replica
    attempt: int
    on_trial: bool = False
    over: bool = False


@attrs.define(eq=False)
class Query:
    """One attempt of a caller."""

    request: bytes
    instance: int
    attempt: int
    open_parts: int = 0
    answered: int = 0
    reached: bool = False


class Fleet:
    """Instances, replicas and callers in simulated time."""

    def __init__(self, instances, seed, replicas=2):
        self.rng = random.Random(seed)
        self.books = [poison.Book() for _ in range(instances)]
        self.shards = [
            [Replica(f"s{shard}-{number}") for number in range(replicas)] for shard in range(SHARDS)
        ]
        self.now_s = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.turned_away = 0
        self.told = 0
        """Messages that instances have had from each other."""
        self.asked = 0
        self.lethal_reached_s = []
        self.ends_s = []
        """When replicas ended under the culprit."""

    def at(self, delay_s, work, *arguments):
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), work, arguments))

    def run(self, until_s):
        while self.events and self.events[0][0] < until_s:
            self.now_s, _, work, arguments = heapq.heappop(self.events)
            work(*arguments)

    # Callers

    def ask(self, request, attempt=0):
        self.asked += request != LETHAL and not attempt
        query = Query(request, self.rng.randrange(len(self.books)), attempt)
        book = self.books[query.instance]
        verdict = book.verdict(request, self.now_s)
        if verdict is poison.Verdict.QUARANTINED:
            self.turned_away += request != LETHAL
        elif verdict is poison.Verdict.ALLOWED:
            self.send_all(query)
        elif book.begin_trial(request, self.now_s):
            self.tell(query.instance, request)
            self.try_one(query)
        else:
            self.at(0.02, self.wait, query, self.now_s + 0.25)

    def wait(self, query, until_s):
        verdict = self.books[query.instance].verdict(query.request, self.now_s)
        if verdict is poison.Verdict.SUSPECTED and self.now_s < until_s:
            self.at(0.02, self.wait, query, until_s)
        elif verdict is poison.Verdict.ALLOWED:
            self.send_all(query)
        else:
            self.turned_away += query.request != LETHAL

    def send_all(self, query):
        for shard in range(SHARDS):
            self.send(query, shard, 0)
        self.settle(query)

    def try_one(self, query):
        shard = self.rng.randrange(SHARDS)
        if not self.send(query, shard, 1, on_trial=True):
            self.books[query.instance].cancel_trial(query.request, self.now_s)
            self.again(query)

    def again(self, query):
        if query.attempt == 0:
            self.at(RETRY_AFTER_S, self.ask, query.request, 1)

    def settle(self, query):
        if not query.open_parts and not query.answered:
            self.again(query)

    # Replicas

    def send(self, query, shard, attempt, on_trial=False):
        up = [each for each in self.shards[shard] if each.up]
        if not up:
            return False
        replica = self.rng.choice(up)
        part = Part(query, shard, replica, attempt, on_trial)
        replica.parts.add(part)
        query.open_parts += 1
        if query.request == LETHAL:
            if not query.reached:
                self.lethal_reached_s.append(self.now_s)
            query.reached = True
            self.at(0.01, self.end, replica, replica.starts, 1.0)
        else:
            self.at(self.rng.uniform(*RUN_S), self.finish, part)
        return True

    def finish(self, part):
        if part.over:
            return
        part.over = True
        part.replica.parts.discard(part)
        query = part.query
        query.open_parts -= 1
        query.answered += 1
        if self.books[query.instance].record_answer(query.request, self.now_s):
            self.tell(query.instance, query.request)
        if part.on_trial:
            self.send_all(query)

    def end(self, replica, start, away_s):
        if not replica.up or replica.starts != start:
            return
        replica.up = False
        parts, replica.parts = replica.parts, set()
        if any(part.query.request == LETHAL for part in parts):
            self.ends_s.append(self.now_s)
        for part in parts:
            part.over = True
            self.at(CONFIRM_S, self.broken, part, f"{replica.name}-{start}")
        self.at(away_s, self.start, replica)

    def start(self, replica):
        replica.up = True
        replica.starts += 1

    def broken(self, part, name):
        query = part.query
        query.open_parts -= 1
        book = self.books[query.instance]
        verdict = book.record_crash(query.request, name, self.now_s, part.on_trial)
        if verdict is not poison.Verdict.ALLOWED:
            self.tell(query.instance, query.request)
        else:
            self.at(SETTLE_S, self.tell_if_open, query.instance, query.request)
            if part.attempt == 0:
                self.send(query, part.shard, 1)
        self.settle(query)

    # What instances tell each other

    def tell_if_open(self, instance, request):
        record = self.books[instance].records.get(request)
        if record is not None and record.recent_crashes(self.now_s):
            self.tell(instance, request)

    def tell(self, instance, request):
        for other in range(len(self.books)):
            if other != instance:
                self.tell_one(instance, other, request)

    def tell_one(self, instance, other, request, reply=False):
        record = self.books[instance].records[request]
        copy = attrs.evolve(record, ends=dict(record.ends))
        delay_s = self.rng.uniform(*JOURNEY_S)
        self.at(delay_s, self.hear, other, request, copy, instance, reply)

    def hear(self, instance, request, record, teller, reply):
        self.told += 1
        book = self.books[instance]
        news = book.learn(request, record, self.now_s)
        if news and reply:
            self.tell(instance, request)
        elif request in book.records and book.contradicts(request, record, self.now_s):
            self.tell_one(instance, teller, request, reply=True)
