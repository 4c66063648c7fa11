"""
Quarantine of requests that crash replicas: evidence, verdicts and requests in flight.

A replica counts as crashed if its connection broke while it had the request and it refuses new
connections, or if its entry is lost without notice soon after. A reset connection alone proves
nothing: networks reset connections, and running replicas close them.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from collections import abc

import attrs

from turmericlug.direct import replica as replica_module
from turmericlug.direct import sending
from turmericlug.http1 import client
from turmericlug.kernel import failures
from turmericlug.policy import poison
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

PROBE_TIMEOUT_S = 0.15
"""Longest wait for a replica to refuse a connection: a round trip to the farthest region."""
UNRESOLVED_TTL_S = 10.0
"""Time within which the loss of a replica's entry shows that it crashed: three missed heartbeats
and the delay of the update while the store is slow."""
MAX_UNRESOLVED = 64
"""Requests kept for one replica: a few times its slots and queue."""


@attrs.frozen
class _UnresolvedRequest:
    """A request without a response from a replica, for an unknown reason."""

    fingerprint: poison.Fingerprint
    at_s: float
    on_trial: bool


class Quarantine:
    """The suspect table of one instance, with the evidence that goes into it."""

    def __init__(self, counters: counters_module.Counters, now_s: abc.Callable[[], float]) -> None:
        self.table = poison.SuspectTable()
        self.enabled = True
        self.on_update: abc.Callable[[poison.Fingerprint], None] = lambda fingerprint: None
        """Called with a request whose record other instances must be sent."""
        self._counters = counters
        self._now_s = now_s
        self._in_flight: collections.defaultdict[poison.Fingerprint, set[sending.Call]]
        self._in_flight = collections.defaultdict(set)
        self.calls_in_flight = 0
        """Number of requests and batches in progress."""
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._unresolved: dict[str, collections.deque[_UnresolvedRequest]] = {}

    def verdict(self, fingerprint: poison.Fingerprint) -> poison.Verdict:
        """Return the current verdict on a request."""
        if not (self.enabled and self.table.records):
            return poison.Verdict.ALLOWED
        return self.table.verdict(fingerprint, self._now_s())

    def may_send(self, call: sending.Call) -> bool:
        """Whether a request may be sent to another replica now."""
        verdict = self.verdict(call.fingerprint)
        if verdict is poison.Verdict.SUSPECTED:
            return call.on_trial
        return verdict is poison.Verdict.ALLOWED

    def is_suspected(self, call: sending.Call) -> bool:
        """Whether a request may only be sent to one replica, as a trial."""
        return self.verdict(call.fingerprint) is poison.Verdict.SUSPECTED

    @contextlib.contextmanager
    def in_flight(self, call: sending.Call) -> abc.Iterator[None]:
        """Track a request within the block, so that it is aborted if it becomes quarantined."""
        calls = self._in_flight[call.fingerprint]
        calls.add(call)
        self.calls_in_flight += 1
        try:
            yield
        finally:
            self.calls_in_flight -= 1
            calls.discard(call)
            if not calls:
                self._in_flight.pop(call.fingerprint, None)

    def record_answer(self, call: sending.Call) -> None:
        """Record that a replica has run a request to completion."""
        if call.is_answered:
            return
        call.is_answered = True
        fingerprint = call.fingerprint
        if self.table.record_answer(fingerprint, self._now_s()):
            self._counters.add("poison.cleared")
            decisions.log("poison.cleared", request=call.request_id, content=fingerprint.hex())
            self._report_update(fingerprint)

    async def record_outcome(
        self, call: sending.Call, replica: replica_module.Replica, outcome: sending.Outcome
    ) -> None:
        """
        Determine whether a replica crashed while it had a request that got no answer.

        Awaited before the request is sent to another replica: otherwise it would crash that one as
        well before the first crash is known.
        """
        now_s = self._now_s()
        if not isinstance(outcome, sending.Unknown) or self.table.is_answered(
            call.fingerprint, now_s
        ):
            return
        if outcome.connection_lost and await self._refuses_connections(replica):
            self._record_crash(call.fingerprint, replica, call.on_trial)
        elif outcome.connection_lost or outcome.reason == sending.NO_RESPONSE:
            key = _process_key(replica)
            requests = self._unresolved.setdefault(key, collections.deque(maxlen=MAX_UNRESOLVED))
            requests.append(_UnresolvedRequest(call.fingerprint, now_s, call.on_trial))

    def on_replica_lost(self, replica: replica_module.Replica) -> None:
        """Record that the entry of a replica was lost without notice: it has crashed."""
        for unresolved in self._unresolved.pop(_process_key(replica), ()):
            if unresolved.at_s > self._now_s() - UNRESOLVED_TTL_S:
                self._record_crash(unresolved.fingerprint, replica, unresolved.on_trial)

    def merge_report(self, fingerprint: poison.Fingerprint, reported: poison.Record) -> bool:
        """Merge another instance's record of a request; returns whether that changed anything."""
        before = self.verdict(fingerprint)
        if not self.table.merge_report(fingerprint, reported, self._now_s()):
            return False
        self._counters.add("poison.learned")
        self._apply_verdict(fingerprint, before, "learned")
        return True

    def lift(self, fingerprint: poison.Fingerprint) -> bool:
        """Allow a request on an operator's command; false if it is allowed already."""
        if self.verdict(fingerprint) is poison.Verdict.ALLOWED:
            return False
        self._report_update(fingerprint)
        self.table.lift(fingerprint, self._now_s())
        self._counters.add("poison.lifted")
        decisions.log("poison.lifted", content=fingerprint.hex())
        return True

    def begin_trial(self, call: sending.Call) -> bool:
        """Begin the trial of a suspected request; false while another one is in progress."""
        if not self.table.begin_trial(call.fingerprint, self._now_s()):
            return False
        self._counters.add("poison.trial")
        decisions.log("poison.trial", request=call.request_id, content=call.fingerprint.hex())
        self._report_update(call.fingerprint)
        return True

    def cancel_trial(self, call: sending.Call) -> None:
        """End the trial of a request that no replica has run."""
        self.table.cancel_trial(call.fingerprint, self._now_s())

    def expire(self) -> None:
        """Drop expired records and unresolved requests."""
        now_s = self._now_s()
        expired = self.table.expire(now_s)
        if expired:
            self._counters.add("poison.forgotten", expired)
            decisions.log("poison.forgotten", requests=expired, left=len(self.table.records))
        old = [
            key
            for key, requests in self._unresolved.items()
            if requests[-1].at_s < now_s - UNRESOLVED_TTL_S
        ]
        for key in old:
            del self._unresolved[key]

    def _record_crash(
        self, fingerprint: poison.Fingerprint, replica: replica_module.Replica, on_trial: bool
    ) -> None:
        if not self.enabled:
            return
        before = self.verdict(fingerprint)
        self.table.record_crash(fingerprint, _process_key(replica), self._now_s(), on_trial)
        self._counters.add("poison.ended")
        decisions.log(
            "poison.ended",
            content=fingerprint.hex(),
            service=replica.entry.service,
            replica=replica.entry.instance,
            on_trial=on_trial,
        )
        self._apply_verdict(fingerprint, before, "seen")
        self._report_update(fingerprint)

    def _report_update(self, fingerprint: poison.Fingerprint) -> None:
        failures.try_record("suspects", self.on_update, fingerprint)

    def _apply_verdict(
        self, fingerprint: poison.Fingerprint, before: poison.Verdict, how: str
    ) -> None:
        """Log a new verdict, and abort the calls in flight of a quarantined request."""
        verdict = self.verdict(fingerprint)
        if verdict is before:
            return
        self._counters.add(f"poison.verdict.{verdict.value}")
        record, now_s = self.table.records[fingerprint], self._now_s()
        decisions.log(
            f"poison.verdict.{verdict.value}",
            content=fingerprint.hex(),
            how=how,
            ends={
                name: round(now_s - at_s, 2) for name, at_s in record.recent_crashes(now_s).items()
            },
        )
        if verdict is poison.Verdict.QUARANTINED:
            # Replicas drop a queued request once its connection is closed.
            for call in list(self._in_flight.get(fingerprint, ())):
                call.abandon()

    async def _refuses_connections(self, replica: replica_module.Replica) -> bool:
        """Whether a replica refuses connections; attempts that fail together share a probe."""
        key = _process_key(replica)
        if key not in self._probes:
            self._probes[key] = asyncio.create_task(_probe_refused(replica))
            self._probes[key].add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(self._probes[key])


async def _probe_refused(replica: replica_module.Replica) -> bool:
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            await replica.pool.probe()
    except client.ConnectRefusedError:
        return True
    except (client.ConnectError, TimeoutError):
        return False
    return False


def _process_key(replica: replica_module.Replica) -> str:
    """Return a key for one process of a replica: its name and start time."""
    born_ms = replica.entry.born_ms
    return replica.entry.instance if born_ms is None else f"{replica.entry.instance}@{born_ms}"
