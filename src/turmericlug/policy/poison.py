"""
Which requests end the replicas that run them (poison requests, queries of death).

The load pattern: one request ends any replica that begins to run it. It goes to all shards, each
broken send is repeated at the next replica, and whoever sent it comes back with it at any instance,
so that one caller empties a service again and again. The same moment looks alike for the requests
that were beside it in the replicas, and for popular ones when replicas end for other reasons.

So ends are counted by request, over all instances. After three a request is *suspected*: it goes to
one replica at a time, as a trial. An answer clears it; one more end and it is *quarantined*, which
means that no replica gets it. What has been answered of late is never suspected, since a request
that ends replicas is not answered by any.

Everything here is told to the other instances as ages, and merged: the order of what arrives does
not matter, and what is told twice changes nothing.
"""

from __future__ import annotations

import collections
import enum
import math
from collections import abc

import attrs

CRASHES_TO_SUSPECT = 3
"""Replicas that ended under a request. One or two are coincidence where replicas end each day."""
ENDS_KEPT = 8
"""Replicas of one request that are named in logs and told to others."""
MEMORY_S = 60.0
"""Time for which an answer vouches for a request."""
FORGOTTEN_S = 600.0
"""Age at which ends no longer count: replicas may run other software by then."""
QUARANTINE_S = 300.0
"""Time until a quarantined request is tried again, twice as long after each further trial that
ended a replica: it may have been mended, and costs a replica each time if not."""
LONGEST_QUARANTINE_S = 3600.0
TRIAL_S = 3.0
"""Time for which one trial keeps out others. A replica that ended silently loses its entry within
three missed heartbeats, which settles the trial."""
RECORDS = 512
"""Requests under suspicion: those beside each other in the replicas of a rack that is lost."""
VOUCHED = 1024
"""Answered requests that are remembered: some 40 s of an instance that serves 25 a second."""

SAME_WITHIN_S = 0.5
"""Longer than any journey of what instances tell each other."""

Fingerprint = bytes


class Verdict(enum.Enum):
    """What may be done with a request."""

    ALLOWED = "allowed"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


@attrs.define
class Record:
    """What is known of one request, in times of this instance's clock."""

    ends: dict[str, float] = attrs.field(factory=dict)
    """When each replica ended under it."""
    answered_s: float = -math.inf
    """When a replica last answered it."""
    quarantined_s: float = -math.inf
    """When it last ended a replica on trial."""
    quarantines: int = 0
    trial_until_s: float = -math.inf
    """Until when a trial keeps out others."""

    def verdict(self, now_s: float) -> Verdict:
        """Return what may be done with the request."""
        tried_s = self.quarantined_s if self._counts(self.quarantined_s) else -math.inf
        held_s = quarantine_s(self.quarantines)
        if now_s < tried_s + held_s:
            return Verdict.QUARANTINED
        if now_s < tried_s + 2 * held_s or len(self.recent_crashes(now_s)) >= CRASHES_TO_SUSPECT:
            return Verdict.SUSPECTED
        return Verdict.ALLOWED

    def _counts(self, at_s: float) -> bool:
        """Whether an end at a time speaks against the request: nothing vouched for it then."""
        return at_s > self.answered_s + MEMORY_S

    def recent_crashes(self, now_s: float) -> dict[str, float]:
        """Return the ends that speak against the request and are not too long ago."""
        return {
            replica: at_s
            for replica, at_s in self.ends.items()
            if self._counts(at_s) and at_s > now_s - FORGOTTEN_S
        }

    def merge(self, other: Record) -> None:
        """Take over whatever another instance knows beyond this one."""
        self.answered_s = _later(self.answered_s, other.answered_s)
        for replica, at_s in other.ends.items():
            self.ends.setdefault(replica, at_s)
        # By name, not by time: of times that differ by a journey each instance kept others, and
        # told them again for ever.
        kept = sorted(each for each, at_s in self.ends.items() if self._counts(at_s))[:ENDS_KEPT]
        self.ends = {replica: self.ends[replica] for replica in kept}
        if other.quarantines > self.quarantines:
            self.quarantines, self.quarantined_s = other.quarantines, other.quarantined_s
        self.trial_until_s = _later(self.trial_until_s, other.trial_until_s)

    def summary(self, now_s: float) -> tuple[object, ...]:
        """Return what is worth telling on; times of what is known already are not."""
        on_trial = now_s < self.trial_until_s
        return (
            self.verdict(now_s),
            frozenset(self.recent_crashes(now_s)),
            self.quarantines,
            on_trial,
        )

    def expire(self, now_s: float) -> None:
        """Drop ends that are too long ago, which would keep out others."""
        self.ends = self.recent_crashes(now_s)

    def is_over(self, now_s: float) -> bool:
        """Whether nothing of it matters any more."""
        if self.verdict(now_s) is not Verdict.ALLOWED or self.recent_crashes(now_s):
            return False
        return now_s > max(self.answered_s + MEMORY_S, self.trial_until_s)


def _later(known_s: float, told_s: float) -> float:
    """
    Return the later of two times, the known one where they are nearly the same.

    A time is told as an age and arrives a journey later. Told to and fro it would move on each
    time, and nothing would ever be forgotten.
    """
    return told_s if told_s > known_s + SAME_WITHIN_S else known_s


def quarantine_s(quarantines: int) -> float:
    """Return how long the latest of some quarantines lasts."""
    if not quarantines:
        return 0.0
    return min(QUARANTINE_S * 2.0 ** (quarantines - 1), LONGEST_QUARANTINE_S)


class Book:
    """What one instance knows of requests under suspicion, bounded."""

    def __init__(self) -> None:
        self.records: collections.OrderedDict[Fingerprint, Record] = collections.OrderedDict()
        self._vouched: collections.OrderedDict[Fingerprint, float] = collections.OrderedDict()
        """When requests were last answered, for those without a record too."""

    def verdict(self, request: Fingerprint, now_s: float) -> Verdict:
        """Return what may be done with a request."""
        record = self.records.get(request)
        return Verdict.ALLOWED if record is None else record.verdict(now_s)

    def vouched(self, request: Fingerprint, now_s: float) -> bool:
        """Whether the request was answered lately."""
        record = self.records.get(request)
        answered_s = max(
            self._vouched.get(request, -math.inf),
            record.answered_s if record is not None else -math.inf,
        )
        return answered_s >= now_s - MEMORY_S

    def record_answer(self, request: Fingerprint, now_s: float) -> bool:
        """
        Take note that a replica answered a request.

        :returns: whether that cleared it of a suspicion
        """
        self._vouched[request] = now_s
        self._vouched.move_to_end(request)
        if len(self._vouched) > VOUCHED:
            self._vouched.popitem(last=False)
        record = self.records.get(request)
        if record is None:
            return False
        cleared = record.verdict(now_s) is not Verdict.ALLOWED
        record.answered_s = now_s
        return cleared

    def record_crash(
        self, request: Fingerprint, replica: str, now_s: float, on_trial: bool
    ) -> Verdict:
        """
        Take note that a replica ended under a request.

        :param on_trial: whether the request was sent to it as a trial
        :returns: what may be done with the request now
        """
        if self.vouched(request, now_s):
            return Verdict.ALLOWED
        record = self._record(request, now_s)
        record.expire(now_s)
        record.merge(Record({replica: now_s}))
        if on_trial:
            record.quarantined_s = now_s
            record.quarantines += 1
        return record.verdict(now_s)

    def begin_trial(self, request: Fingerprint, now_s: float) -> bool:
        """Begin a trial of a suspected request; false while another one is under way."""
        record = self.records[request]
        if now_s < record.trial_until_s:
            return False
        record.trial_until_s = now_s + TRIAL_S
        return True

    def cancel_trial(self, request: Fingerprint, now_s: float) -> None:
        """Take note that no replica ran the trial: another one may begin."""
        record = self.records.get(request)
        if record is not None:
            record.trial_until_s = min(record.trial_until_s, now_s)

    def lift(self, request: Fingerprint, now_s: float) -> bool:
        """Allow a request as if it had been answered; false when nothing is held against it."""
        if self.verdict(request, now_s) is Verdict.ALLOWED:
            return False
        self.records[request].answered_s = now_s
        return True

    def learn(self, request: Fingerprint, told: Record, now_s: float) -> bool:
        """
        Take over what another instance has told.

        :returns: whether it was news
        """
        if told.is_over(now_s) and request not in self.records:
            return False
        record = self._record(request, now_s)
        record.answered_s = max(record.answered_s, self._vouched.get(request, -math.inf))
        record.expire(now_s)
        before = record.summary(now_s)
        record.merge(attrs.evolve(told, ends=told.recent_crashes(now_s)))
        return record.summary(now_s) != before

    def contradicts(self, request: Fingerprint, told: Record, now_s: float) -> bool:
        """Whether an answer is known here that whoever told of a request does not know."""
        if not (told.recent_crashes(now_s) or told.verdict(now_s) is not Verdict.ALLOWED):
            return False
        return self.records[request].answered_s > told.answered_s + SAME_WITHIN_S

    def contradicted(
        self, records: dict[Fingerprint, Record], now_s: float
    ) -> dict[Fingerprint, Record]:
        """
        Return what is known here of requests that another instance suspects and that were answered.

        For that one alone, which then tells the others: a popular request was answered at all
        instances, and each of them would tell all others.
        """
        return {
            request: self.records[request]
            for request, told in records.items()
            if request in self.records and self.contradicts(request, told, now_s)
        }

    def expire(self, now_s: float) -> int:
        """Drop what no longer matters; returns how many requests that were."""
        over = [each for each, record in self.records.items() if record.is_over(now_s)]
        for request in over:
            del self.records[request]
        return len(over)

    def withheld(self, now_s: float) -> abc.Iterator[tuple[Fingerprint, Record]]:
        """Return the requests that are suspected or quarantined."""
        for request, record in self.records.items():
            if record.verdict(now_s) is not Verdict.ALLOWED:
                yield request, record

    def _record(self, request: Fingerprint, now_s: float) -> Record:
        if request not in self.records:
            if len(self.records) >= RECORDS:
                self._make_room(now_s)
            self.records[request] = Record()
        return self.records[request]

    def _make_room(self, now_s: float) -> None:
        """Drop the oldest record, of those held against a request only where there is no other."""
        held = {request for request, _ in self.withheld(now_s)}
        oldest = next((each for each in self.records if each not in held), None)
        self.records.pop(oldest if oldest is not None else next(iter(self.records)))
