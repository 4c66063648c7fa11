"""
Requests under which targets have ended, as an owner knows them.

An owner sees all sends to its services, but a query goes to services of many owners: each tells the
others what it has seen, so that the ends of all of them add up.
"""

from __future__ import annotations

import time
from collections import abc

from turmericlug.owner import part as part_module
from turmericlug.owner import replica as replica_module
from turmericlug.owner import target as target_module
from turmericlug.policy import poison
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events
from turmericlug.wire import suspects_codec

WITHHELD = "ends_targets"
"""Reason of a part that is not sent, since targets ended under it."""
CONFIRM_S = 0.15
"""Longest wait for a target to refuse a connection: a journey to the farthest region and back."""


class Suspects:
    """The book of one instance, for all its services."""

    def __init__(
        self,
        counters: counters_module.Counters,
        tell: abc.Callable[[bytes], None],
        tells_on: abc.Callable[[], bool],
    ) -> None:
        """
        Begin with an empty book.

        :param tell: sends a message to other instances
        :param tells_on: whether instances are so many that what is learned is told on
        """
        self.table = poison.Book()
        self._counters = counters
        self._tell = tell
        self._tells_on = tells_on
        self._told: set[poison.Fingerprint] = set()
        """Requests that others were told of from here."""

    def verdict(self, request: poison.Fingerprint) -> poison.Verdict:
        """Return what may be done with a request now."""
        return self.table.verdict(request, time.monotonic())

    def is_withheld(self, part: part_module.Part) -> bool:
        """Whether a part may go to no further target now; a trial looks for one that runs it."""
        verdict = self.verdict(part.fingerprint)
        if verdict is poison.Verdict.SUSPECTED:
            return part.may_have_run or not part.on_trial
        return verdict is poison.Verdict.QUARANTINED

    def check_start(self, part: part_module.Part) -> str:
        """
        Return how a part ends that may not start; empty where it may.

        A suspected one may start as a trial, at one target, while no other one is on trial.
        """
        verdict = self.verdict(part.fingerprint)
        if verdict is poison.Verdict.QUARANTINED:
            return part_module.FAILED
        if verdict is poison.Verdict.ALLOWED or part.on_trial:
            return ""
        part.on_trial = self.begin_trial(part.fingerprint)
        part.hedge = False
        return "" if part.on_trial else part_module.REFUSED

    async def record_outcome(
        self,
        part: part_module.Part,
        replica: replica_module.Replica,
        outcome: target_module.Outcome,
        client: target_module.Client,
    ) -> None:
        """
        Learn from the end of an attempt.

        Awaited before the part goes to another target: it ended that one as well before the end of
        the first was known.
        """
        if isinstance(outcome, target_module.Answered):
            self.record_answer(part.fingerprint)
        elif outcome == target_module.CONNECTION_LOST:
            if await client.refuses(replica.address, CONFIRM_S):
                start = f"{replica.instance}@{replica.generation}"
                self.record_crash(part.fingerprint, start, part.on_trial)
        elif part.on_trial and isinstance(outcome, target_module.NotRun):
            self.table.cancel_trial(part.fingerprint, time.monotonic())

    def record_answer(self, request: poison.Fingerprint) -> None:
        """Take note that a target has answered a request."""
        if self.table.record_answer(request, time.monotonic()):
            self._counters.add("poison.cleared")
            self._tell_of(request)

    def record_crash(self, request: poison.Fingerprint, target: str, on_trial: bool) -> None:
        """Take note that a target ended under a request."""
        before = self.verdict(request)
        self.table.record_crash(request, target, time.monotonic(), on_trial)
        self._counters.add("poison.ended")
        self._changed(request, before)
        self._tell_of(request)

    def begin_trial(self, request: poison.Fingerprint) -> bool:
        """Begin the trial of a suspected request; false while another one is under way."""
        if not self.table.begin_trial(request, time.monotonic()):
            return False
        self._counters.add("poison.trial")
        self._tell_of(request)
        return True

    def merge_message(self, content: bytes) -> bytes | None:
        """
        Take over what another instance tells.

        :returns: what is to be told to that one alone: answers that it does not know
        """
        now_s = time.monotonic()
        try:
            told = suspects_codec.decode(content, now_s)
        except suspects_codec.MessageError as error:
            events.emit("poison.unreadable", "warning", reason=str(error))
            return None
        for request, record in told.records.items():
            self._learn(request, record, now_s)
        contradicted = self.table.contradicted(told.records, now_s)
        if not contradicted:
            return None
        return suspects_codec.encode(suspects_codec.Suspects(contradicted), now_s)

    def _learn(self, request: poison.Fingerprint, record: poison.Record, now_s: float) -> None:
        """Take over one record, and tell it on where that is due."""
        before = self.verdict(request)
        if not self.table.learn(request, record, now_s):
            return
        self._counters.add("poison.learned")
        self._changed(request, before)
        if request in self._told or self._tells_on():
            self._tell_of(request)

    def expire(self) -> None:
        """Drop what no longer matters."""
        forgotten = self.table.expire(time.monotonic())
        self._told &= self.table.records.keys()
        self._counters.add("poison.forgotten", forgotten)

    def _changed(self, request: poison.Fingerprint, before: poison.Verdict) -> None:
        verdict = self.verdict(request)
        if verdict is not before:
            self._counters.add(f"poison.verdict.{verdict.value}")
            ends = sorted(self.table.records[request].ends)
            events.emit(f"poison.{verdict.value}", "warning", content=request.hex(), ends=ends)

    def _tell_of(self, request: poison.Fingerprint) -> None:
        record = self.table.records.get(request)
        if record is not None:
            self._told.add(request)
            suspects = suspects_codec.Suspects({request: record})
            self._tell(suspects_codec.encode(suspects, time.monotonic()))
