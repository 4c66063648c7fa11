"""
Requests that crash targets, as observed by an owner.

An owner makes all attempts at its services, but a query goes to services of many owners. Each
reports the crashes that it observes to the others, so that they are counted together.
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

CRASHES_TARGETS = "ends_targets"
"""Reason of a part that is not sent because its request crashes targets."""
PROBE_TIMEOUT_S = 0.15
"""Longest wait for a target to refuse a connection: a round trip to the farthest region."""


class Suspects:
    """The suspect table of one instance, for all its services."""

    def __init__(
        self,
        counters: counters_module.Counters,
        broadcast: abc.Callable[[bytes], None],
        must_forward: abc.Callable[[], bool],
    ) -> None:
        """
        Start with an empty table.

        :param broadcast: sends a message to other instances
        :param must_forward: whether there are so many instances that reports must be forwarded
        """
        self.table = poison.SuspectTable()
        self._counters = counters
        self._broadcast = broadcast
        self._must_forward = must_forward
        self._reported: set[poison.Fingerprint] = set()
        """Requests that this instance has reported."""

    def verdict(self, fingerprint: poison.Fingerprint) -> poison.Verdict:
        """Return the current verdict on a request."""
        return self.table.verdict(fingerprint, time.monotonic())

    def is_withheld(self, part: part_module.Part) -> bool:
        """Whether a part may go to no further target; a trial may until a target has run it."""
        verdict = self.verdict(part.fingerprint)
        if verdict is poison.Verdict.SUSPECTED:
            return part.may_have_run or not part.on_trial
        return verdict is poison.Verdict.QUARANTINED

    def check_start(self, part: part_module.Part) -> str:
        """
        Return the outcome of a part that may not start; empty if it may.

        A part of a suspected request may start as a trial, at one target, if no other trial is in
        progress.
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
        Record the outcome of an attempt.

        Awaited before the part is sent to another target, which it might otherwise crash as well
        before the first crash is known.
        """
        if isinstance(outcome, target_module.Answered):
            self.record_answer(part.fingerprint)
        elif outcome == target_module.CONNECTION_LOST:
            if await client.refuses_connections(replica.address, PROBE_TIMEOUT_S):
                crashed_target = f"{replica.instance}@{replica.generation}"
                self.record_crash(part.fingerprint, crashed_target, part.on_trial)
        elif part.on_trial and isinstance(outcome, target_module.NotRun):
            self.table.cancel_trial(part.fingerprint, time.monotonic())

    def record_answer(self, fingerprint: poison.Fingerprint) -> None:
        """Record that a target has answered a request."""
        if self.table.record_answer(fingerprint, time.monotonic()):
            self._counters.add("poison.cleared")
            self._report(fingerprint)

    def record_crash(self, fingerprint: poison.Fingerprint, target: str, on_trial: bool) -> None:
        """Record that a target crashed while it had a request."""
        verdict_before = self.verdict(fingerprint)
        self.table.record_crash(fingerprint, target, time.monotonic(), on_trial)
        self._counters.add("poison.ended")
        self._log_verdict(fingerprint, verdict_before)
        self._report(fingerprint)

    def begin_trial(self, fingerprint: poison.Fingerprint) -> bool:
        """Begin the trial of a suspected request; false while another one is in progress."""
        if not self.table.begin_trial(fingerprint, time.monotonic()):
            return False
        self._counters.add("poison.trial")
        self._report(fingerprint)
        return True

    def merge_message(self, message: bytes) -> bytes | None:
        """
        Merge a report of another instance.

        :returns: the message to send back to that instance alone, with answers that it does not
            know; ``None`` if there are none
        """
        now_s = time.monotonic()
        try:
            report = suspects_codec.decode(message, now_s)
        except suspects_codec.MessageError as error:
            events.emit("poison.unreadable", "warning", reason=str(error))
            return None
        for fingerprint, record in report.records.items():
            self._merge_record(fingerprint, record, now_s)
        corrections = self.table.corrections(report.records, now_s)
        if not corrections:
            return None
        return suspects_codec.encode(suspects_codec.Suspects(corrections), now_s)

    def _merge_record(
        self, fingerprint: poison.Fingerprint, record: poison.Record, now_s: float
    ) -> None:
        """Merge one record, and forward a change where that is required."""
        verdict_before = self.verdict(fingerprint)
        if not self.table.merge_report(fingerprint, record, now_s):
            return
        self._counters.add("poison.learned")
        self._log_verdict(fingerprint, verdict_before)
        if fingerprint in self._reported or self._must_forward():
            self._report(fingerprint)

    def expire(self) -> None:
        """Drop expired records."""
        expired = self.table.expire(time.monotonic())
        self._reported &= self.table.records.keys()
        self._counters.add("poison.forgotten", expired)

    def _log_verdict(self, fingerprint: poison.Fingerprint, verdict_before: poison.Verdict) -> None:
        verdict = self.verdict(fingerprint)
        if verdict is not verdict_before:
            self._counters.add(f"poison.verdict.{verdict.value}")
            crashes = sorted(self.table.records[fingerprint].crashes)
            events.emit(
                f"poison.{verdict.value}", "warning", content=fingerprint.hex(), ends=crashes
            )

    def _report(self, fingerprint: poison.Fingerprint) -> None:
        record = self.table.records.get(fingerprint)
        if record is not None:
            self._reported.add(fingerprint)
            report = suspects_codec.Suspects({fingerprint: record})
            self._broadcast(suspects_codec.encode(report, time.monotonic()))
