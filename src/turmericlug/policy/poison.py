"""
Detection of requests that crash the replicas that run them (poison requests, queries of death).

The load pattern: one request crashes every replica that starts to run it. It is sent to all shards,
each broken attempt is retried at the next replica, and its caller repeats it at any instance, so
that a single caller takes down a service again and again. From one crash alone it can't be told
apart from the requests that the replica had in flight beside it, nor from popular ones if replicas
crash for other reasons.

Crashes are therefore counted for each request over all instances. A crash is any unplanned end of a
replica, including the loss of its machine. After three crashes a request is *suspected*: it is sent
to one replica at a time, as a trial. An answer clears it; a crash during the trial makes it
*quarantined*, and it is sent to no replica. A request that was answered recently is never
suspected, since no replica answers one that crashes replicas.

All of this is reported to the other instances as ages and merged there. The result does not depend
on the order of the reports, and a repeated report changes nothing.
"""

from __future__ import annotations

import collections
import enum
import math
from collections import abc

import attrs

from turmericlug.policy import backoff

CRASHES_TO_SUSPECT = 3
"""Replicas that crashed while they had the request. One or two are coincidence where replicas crash
every day."""
MAX_CRASHES = 8
"""Crashed replicas of one request that are kept, for logs and reports."""
ANSWER_TTL_S = 60.0
"""Time for which an answer keeps a request from being suspected."""
CRASH_TTL_S = 600.0
"""Age from which a crash does not count: replicas may run other software by then."""
QUARANTINE_S = 300.0
"""Time until a quarantined request is tried again, doubled after each further trial that crashed a
replica: the fault may have been fixed, and each trial costs a replica if it has not."""
MAX_QUARANTINE_S = 3600.0
TRIAL_TIMEOUT_S = 3.0
"""Time for which one trial blocks others. A replica that crashed silently loses its entry within
three missed heartbeats, which decides the trial."""
MAX_RECORDS = 512
"""Requests with crashes: those in flight together in the replicas of a rack that is lost."""
MAX_ANSWERED = 1024
"""Answered requests that are kept: about 40 s of an instance that serves 25 a second."""

TIME_TOLERANCE_S = 0.5
"""Longer than any transmission delay of a report between instances."""

Fingerprint = bytes


class Verdict(enum.Enum):
    """Whether and how a request may be sent."""

    ALLOWED = "allowed"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


@attrs.define
class Record:
    """The evidence about one request; times are those of this instance's clock."""

    crashes: dict[str, float] = attrs.field(factory=dict)
    """Time at which each replica crashed while it had the request."""
    answered_s: float = -math.inf
    """Time of the last answer by a replica."""
    quarantined_s: float = -math.inf
    """Time of the last crash during a trial."""
    quarantines: int = 0
    """Number of trials that crashed a replica."""
    trial_until_s: float = -math.inf
    """Time until which a trial blocks others."""

    def verdict(self, now_s: float) -> Verdict:
        """Return the verdict on the request."""
        last_trial_s = self.quarantined_s if self._is_evidence(self.quarantined_s) else -math.inf
        duration_s = quarantine_duration_s(self.quarantines)
        if now_s < last_trial_s + duration_s:
            return Verdict.QUARANTINED
        if (
            now_s < last_trial_s + 2 * duration_s
            or len(self.recent_crashes(now_s)) >= CRASHES_TO_SUSPECT
        ):
            return Verdict.SUSPECTED
        return Verdict.ALLOWED

    def _is_evidence(self, at_s: float) -> bool:
        """Whether a crash at this time counts as evidence; a later or recent answer refutes it."""
        return at_s > self.answered_s + ANSWER_TTL_S

    def recent_crashes(self, now_s: float) -> dict[str, float]:
        """Return the crashes that count as evidence and have not expired."""
        return {
            replica: at_s
            for replica, at_s in self.crashes.items()
            if self._is_evidence(at_s) and at_s > now_s - CRASH_TTL_S
        }

    def merge(self, other: Record) -> None:
        """Add the evidence of another instance."""
        self.answered_s = _merge_time_s(self.answered_s, other.answered_s)
        for replica, at_s in other.crashes.items():
            self.crashes.setdefault(replica, at_s)
        # Sorted by name, not by time: times differ between instances by the transmission delay, so
        # that each instance kept different crashes and reported them to the others without end.
        kept = sorted(replica for replica, at_s in self.crashes.items() if self._is_evidence(at_s))[
            :MAX_CRASHES
        ]
        self.crashes = {replica: self.crashes[replica] for replica in kept}
        if other.quarantines > self.quarantines:
            self.quarantines, self.quarantined_s = other.quarantines, other.quarantined_s
        self.trial_until_s = _merge_time_s(self.trial_until_s, other.trial_until_s)

    def summary(self, now_s: float) -> tuple[object, ...]:
        """Return the facts that are reported when they change; times are not among them."""
        on_trial = now_s < self.trial_until_s
        return (
            self.verdict(now_s),
            frozenset(self.recent_crashes(now_s)),
            self.quarantines,
            on_trial,
        )

    def expire(self, now_s: float) -> None:
        """Drop expired crashes, which would take the place of new ones."""
        self.crashes = self.recent_crashes(now_s)

    def is_expired(self, now_s: float) -> bool:
        """Whether the record has no effect any more."""
        if self.verdict(now_s) is not Verdict.ALLOWED or self.recent_crashes(now_s):
            return False
        return now_s > max(self.answered_s + ANSWER_TTL_S, self.trial_until_s)


def _merge_time_s(known_s: float, reported_s: float) -> float:
    """
    Return the later of two times, or the known one if they are nearly equal.

    A time is sent as an age and arrives after a transmission delay. Sent back and forth, it would
    advance each time, and no record would ever expire.
    """
    return reported_s if reported_s > known_s + TIME_TOLERANCE_S else known_s


def quarantine_duration_s(quarantines: int) -> float:
    """Return the duration of the latest quarantine, given the number of quarantines."""
    if not quarantines:
        return 0.0
    return backoff.delay(QUARANTINE_S, MAX_QUARANTINE_S, quarantines)


class SuspectTable:
    """The records of one instance about requests with crashes, bounded in size."""

    def __init__(self) -> None:
        self.records: collections.OrderedDict[Fingerprint, Record] = collections.OrderedDict()
        self._answered_s: collections.OrderedDict[Fingerprint, float] = collections.OrderedDict()
        """Time of the last answer to each request, also to those without a record."""

    def verdict(self, fingerprint: Fingerprint, now_s: float) -> Verdict:
        """Return the verdict on a request."""
        record = self.records.get(fingerprint)
        return Verdict.ALLOWED if record is None else record.verdict(now_s)

    def is_answered(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Whether the request was answered within the TTL of answers."""
        record = self.records.get(fingerprint)
        answered_s = max(
            self._answered_s.get(fingerprint, -math.inf),
            record.answered_s if record is not None else -math.inf,
        )
        return answered_s >= now_s - ANSWER_TTL_S

    def record_answer(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """
        Record an answer of a replica to a request.

        :returns: whether this cleared a suspected or quarantined request
        """
        self._answered_s[fingerprint] = now_s
        self._answered_s.move_to_end(fingerprint)
        if len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)
        record = self.records.get(fingerprint)
        if record is None:
            return False
        cleared = record.verdict(now_s) is not Verdict.ALLOWED
        record.answered_s = now_s
        return cleared

    def record_crash(
        self, fingerprint: Fingerprint, replica: str, now_s: float, on_trial: bool
    ) -> Verdict:
        """
        Record the crash of a replica that had a request.

        :param on_trial: whether the request was sent to the replica as a trial
        :returns: the new verdict on the request
        """
        if self.is_answered(fingerprint, now_s):
            return Verdict.ALLOWED
        record = self._record(fingerprint, now_s)
        record.expire(now_s)
        record.merge(Record({replica: now_s}))
        if on_trial:
            record.quarantined_s = now_s
            record.quarantines += 1
        return record.verdict(now_s)

    def begin_trial(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Begin a trial of a suspected request; false while another one is in progress."""
        record = self.records[fingerprint]
        if now_s < record.trial_until_s:
            return False
        record.trial_until_s = now_s + TRIAL_TIMEOUT_S
        return True

    def cancel_trial(self, fingerprint: Fingerprint, now_s: float) -> None:
        """End a trial that no replica has run, so that another one may begin."""
        record = self.records.get(fingerprint)
        if record is not None:
            record.trial_until_s = min(record.trial_until_s, now_s)

    def lift(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Allow a request as if it had been answered; false if it is allowed already."""
        if self.verdict(fingerprint, now_s) is Verdict.ALLOWED:
            return False
        self.records[fingerprint].answered_s = now_s
        return True

    def merge_report(self, fingerprint: Fingerprint, reported: Record, now_s: float) -> bool:
        """
        Merge the record of another instance.

        :returns: whether it changed what must be reported
        """
        if reported.is_expired(now_s) and fingerprint not in self.records:
            return False
        record = self._record(fingerprint, now_s)
        record.answered_s = max(record.answered_s, self._answered_s.get(fingerprint, -math.inf))
        record.expire(now_s)
        before = record.summary(now_s)
        record.merge(attrs.evolve(reported, crashes=reported.recent_crashes(now_s)))
        return record.summary(now_s) != before

    def has_newer_answer(self, fingerprint: Fingerprint, reported: Record, now_s: float) -> bool:
        """Whether this instance knows an answer that refutes another instance's report."""
        if not (reported.recent_crashes(now_s) or reported.verdict(now_s) is not Verdict.ALLOWED):
            return False
        return self.records[fingerprint].answered_s > reported.answered_s + TIME_TOLERANCE_S

    def corrections(
        self, records: dict[Fingerprint, Record], now_s: float
    ) -> dict[Fingerprint, Record]:
        """
        Return this instance's records of reported requests to which it knows a newer answer.

        They are sent to the reporter alone, which then informs the others: a popular request was
        answered at all instances, and otherwise each of them would inform all others.
        """
        return {
            fingerprint: self.records[fingerprint]
            for fingerprint, reported in records.items()
            if fingerprint in self.records and self.has_newer_answer(fingerprint, reported, now_s)
        }

    def expire(self, now_s: float) -> int:
        """Drop records without effect; returns how many there were."""
        expired = [
            fingerprint for fingerprint, record in self.records.items() if record.is_expired(now_s)
        ]
        for fingerprint in expired:
            del self.records[fingerprint]
        return len(expired)

    def withheld(self, now_s: float) -> abc.Iterator[tuple[Fingerprint, Record]]:
        """Return the requests that are suspected or quarantined."""
        for fingerprint, record in self.records.items():
            if record.verdict(now_s) is not Verdict.ALLOWED:
                yield fingerprint, record

    def _record(self, fingerprint: Fingerprint, now_s: float) -> Record:
        if fingerprint not in self.records:
            if len(self.records) >= MAX_RECORDS:
                self._evict(now_s)
            self.records[fingerprint] = Record()
        return self.records[fingerprint]

    def _evict(self, now_s: float) -> None:
        """Drop the oldest record, one of a withheld request only if there is no other."""
        withheld = {fingerprint for fingerprint, _ in self.withheld(now_s)}
        oldest = next(
            (fingerprint for fingerprint in self.records if fingerprint not in withheld), None
        )
        self.records.pop(oldest if oldest is not None else next(iter(self.records)))
