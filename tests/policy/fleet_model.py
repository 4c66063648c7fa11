"""A simulation of many instances that send to many replicas, with the real suspect tables."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from turmericlug.policy import poison

SHARDS = 20
RUN_S = (0.015, 0.06)
"""Range of the time that a replica takes to run a part."""
PROBE_S = 0.01
"""Time until a refused connection shows that a replica has crashed."""
DELAY_S = (0.002, 0.04)
"""Range of the transmission delay between instances."""
FIRST_CRASH_DELAY_S = 0.2
"""Delay of the report of a first crash."""
POISON = b"lethal"
"""Fingerprint of the request that crashes each replica that runs it."""
RETRY_AFTER_S = 0.05


@attrs.define(eq=False)
class Replica:
    """A replica with its parts in flight."""

    name: str
    up: bool = True
    starts: int = 0
    parts: set = attrs.field(factory=set)


@attrs.define(eq=False)
class Part:
    """One part of a query in flight at a replica."""

    query: Query
    shard: int
    replica: Replica
    attempt: int
    on_trial: bool = False
    done: bool = False


@attrs.define(eq=False)
class Query:
    """One attempt by a caller."""

    fingerprint: bytes
    instance: int
    attempt: int
    open_parts: int = 0
    answered: int = 0
    reached: bool = False


class Fleet:
    """Instances, replicas and callers in simulated time."""

    def __init__(self, instances, seed, replicas=2):
        self.rng = random.Random(seed)
        self.tables = [poison.SuspectTable() for _ in range(instances)]
        self.shards = [
            [Replica(f"s{shard}-{number}") for number in range(replicas)] for shard in range(SHARDS)
        ]
        self.now_s = 0.0
        self.events = []
        self.sequence = itertools.count()
        self.rejected = 0
        self.reports = 0
        """Messages received by instances from each other."""
        self.requests = 0
        self.poison_reached_s = []
        self.crashes_s = []
        """Times at which the poison request crashed replicas."""

    def schedule(self, delay_s, callback, *arguments):
        heapq.heappush(
            self.events, (self.now_s + delay_s, next(self.sequence), callback, arguments)
        )

    def run(self, until_s):
        while self.events and self.events[0][0] < until_s:
            self.now_s, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)

    # Callers

    def submit(self, fingerprint, attempt=0):
        self.requests += fingerprint != POISON and not attempt
        query = Query(fingerprint, self.rng.randrange(len(self.tables)), attempt)
        table = self.tables[query.instance]
        verdict = table.verdict(fingerprint, self.now_s)
        if verdict is poison.Verdict.QUARANTINED:
            self.rejected += fingerprint != POISON
        elif verdict is poison.Verdict.ALLOWED:
            self.send_all(query)
        elif table.begin_trial(fingerprint, self.now_s):
            self.broadcast(query.instance, fingerprint)
            self.run_trial(query)
        else:
            self.schedule(0.02, self.poll_trial, query, self.now_s + 0.25)

    def poll_trial(self, query, until_s):
        verdict = self.tables[query.instance].verdict(query.fingerprint, self.now_s)
        if verdict is poison.Verdict.SUSPECTED and self.now_s < until_s:
            self.schedule(0.02, self.poll_trial, query, until_s)
        elif verdict is poison.Verdict.ALLOWED:
            self.send_all(query)
        else:
            self.rejected += query.fingerprint != POISON

    def send_all(self, query):
        for shard in range(SHARDS):
            self.send(query, shard, 0)
        self.retry_if_unanswered(query)

    def run_trial(self, query):
        shard = self.rng.randrange(SHARDS)
        if not self.send(query, shard, 1, on_trial=True):
            self.tables[query.instance].cancel_trial(query.fingerprint, self.now_s)
            self.retry(query)

    def retry(self, query):
        if query.attempt == 0:
            self.schedule(RETRY_AFTER_S, self.submit, query.fingerprint, 1)

    def retry_if_unanswered(self, query):
        if not query.open_parts and not query.answered:
            self.retry(query)

    # Replicas

    def send(self, query, shard, attempt, on_trial=False):
        up = [replica for replica in self.shards[shard] if replica.up]
        if not up:
            return False
        replica = self.rng.choice(up)
        part = Part(query, shard, replica, attempt, on_trial)
        replica.parts.add(part)
        query.open_parts += 1
        if query.fingerprint == POISON:
            if not query.reached:
                self.poison_reached_s.append(self.now_s)
            query.reached = True
            self.schedule(0.01, self.crash, replica, replica.starts, 1.0)
        else:
            self.schedule(self.rng.uniform(*RUN_S), self.finish, part)
        return True

    def finish(self, part):
        if part.done:
            return
        part.done = True
        part.replica.parts.discard(part)
        query = part.query
        query.open_parts -= 1
        query.answered += 1
        if self.tables[query.instance].record_answer(query.fingerprint, self.now_s):
            self.broadcast(query.instance, query.fingerprint)
        if part.on_trial:
            self.send_all(query)

    def crash(self, replica, start, downtime_s):
        if not replica.up or replica.starts != start:
            return
        replica.up = False
        parts, replica.parts = replica.parts, set()
        if any(part.query.fingerprint == POISON for part in parts):
            self.crashes_s.append(self.now_s)
        for part in parts:
            part.done = True
            self.schedule(PROBE_S, self.part_failed, part, f"{replica.name}-{start}")
        self.schedule(downtime_s, self.restart, replica)

    def restart(self, replica):
        replica.up = True
        replica.starts += 1

    def part_failed(self, part, process):
        query = part.query
        query.open_parts -= 1
        table = self.tables[query.instance]
        verdict = table.record_crash(query.fingerprint, process, self.now_s, part.on_trial)
        if verdict is not poison.Verdict.ALLOWED:
            self.broadcast(query.instance, query.fingerprint)
        else:
            self.schedule(
                FIRST_CRASH_DELAY_S, self.broadcast_if_unanswered, query.instance, query.fingerprint
            )
            if part.attempt == 0:
                self.send(query, part.shard, 1)
        self.retry_if_unanswered(query)

    # Reports between instances

    def broadcast_if_unanswered(self, instance, fingerprint):
        record = self.tables[instance].records.get(fingerprint)
        if record is not None and record.recent_crashes(self.now_s):
            self.broadcast(instance, fingerprint)

    def broadcast(self, instance, fingerprint):
        for other in range(len(self.tables)):
            if other != instance:
                self.send_report(instance, other, fingerprint)

    def send_report(self, instance, other, fingerprint, reply=False):
        record = self.tables[instance].records[fingerprint]
        copy = attrs.evolve(record, crashes=dict(record.crashes))
        delay_s = self.rng.uniform(*DELAY_S)
        self.schedule(delay_s, self.receive_report, other, fingerprint, copy, instance, reply)

    def receive_report(self, instance, fingerprint, record, sender, reply):
        self.reports += 1
        table = self.tables[instance]
        changed = table.merge_report(fingerprint, record, self.now_s)
        if changed and reply:
            self.broadcast(instance, fingerprint)
        elif fingerprint in table.records and table.has_newer_answer(
            fingerprint, record, self.now_s
        ):
            self.send_report(instance, sender, fingerprint, reply=True)
