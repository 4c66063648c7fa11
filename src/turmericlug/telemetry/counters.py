"""Counters and timers, kept in memory for the status page and optionally sent to statsd."""

from __future__ import annotations

import collections

import statsd
from hdrh import histogram

_MAX_US = 60_000_000
MAX_NAMES = 64
"""Names of one family, some times the most that the code itself has."""
MAX_NAME_LENGTH = 100
OTHER = "other"
"""Last part of the name of all counters of a family that are not kept apart."""

# Every metric of the daemon and the entry instances, with its description. A trailing ".*" stands
# for a reason, an operation or the like. docs/reference-metrics.md lists the same names, which a
# test checks.
DESCRIPTIONS: dict[str, str] = {
    "query.complete": "answers with every shard",
    "query.partial": "answers with shards missing",
    "query.refused.*": "queries refused and not run, by reason",
    "query.failed.*": "queries that may have run but have no answer, by reason",
    "query.bad_request.*": "requests rejected before they became queries, by reason",
    "query.restarted": "queries restarted on another snapshot",
    "query.moved_parts": "parts sent to the next owner because the first did not respond",
    "query.unconfirmed": "queries that met a configuration not confirmed to be the newest",
    "query.mismatched_reply": "owners' replies dropped because they were for another query",
    "query.answer_dropped.*": "answers to parts that were not kept, by reason",
    "query.answer_not_taken": "connections closed because the caller took nothing of its answer",
    "query.total_ms": "timer: a query, from its arrival to its answer",
    "owner.part.answered": "parts answered by a target",
    "owner.part.refused.*": "parts refused and not run, by reason",
    "owner.part.failed.*": "parts that may have run but have no answer, by reason",
    "owner.part.cancelled": "parts cancelled because their result is no longer needed",
    "owner.part.snapshot_absent": "parts whose snapshot no replica holds",
    "owner.retry.*": "retries, by the failure of the previous attempt",
    "owner.retry_denied.*": "failed attempts not retried although a retry is safe, by reason",
    "owner.hedge.sent": "hedges started for a late part",
    "owner.hedge.won": "hedges that answered before the first attempt",
    "owner.hedge.lost": "hedges that the first attempt answered before",
    "owner.hedge.denied": "late parts without a hedge because the budget was spent",
    "owner.queue_ms": "timer: a part's time in the queue before its first attempt",
    "owner.target_ms": "timer: an attempt at a target, from sending to its reply",
    "owner.connect_ms": "timer: opening a connection to a target",
    "owner.connections_opened": "connections opened to targets",
    "owner.ejected": "replicas ejected after errors",
    "owner.mismatched_reply": "target replies for another attempt",
    "owner.unasked_reply": "connections closed because a target sent more than was asked for",
    "owner.reply_not_read.*": "target replies not read to their end, by reason",
    "owner.waited_for_memory": "times queued parts waited for memory for their replies",
    "owner.handed_over": "queued parts returned when this instance left",
    "instance.loop_lag_ms": "timer: delay of this process's event loop, which shows CPU overload",
    "task.failed.*": "tasks and callbacks that ended by an unexpected error, by name",
    "recording.failed.*": "errors in recording a known outcome, told all the same, by step",
    "membership.suspected": "peers that missed a probe",
    "membership.died": "peers declared dead",
    "membership.unreadable": "gossiped instances ignored because a field is out of range",
    "membership.refuted": "times this instance refuted reports of its own death",
    "membership.stepped_aside": "times this instance stopped serving because it got no updates",
    "store.call.*": "calls to the store, by operation",
    "store.error.*": "calls to the store that failed, by reason",
    "records.written_again": "records written again after the store was restored from a backup",
    "rules.applied": "revisions put in force",
    "rules.edit.*": "operators' edits, by outcome",
    "rules.unreadable": "documents and heads refused, as a field is malformed",
    "rules.unreadable.*": "the same, by reason",
    "records.claim.*": "idempotency claims, by outcome",
    "records.settle.*": "request outcomes recorded, by result of the write",
    "records.release.*": "claims released because nothing ran, by outcome",
    "records.unreadable": "heads and lines of the log refused, as a field is malformed",
    "records.unreadable.*": "the same, by reason",
    "records.writes": "store writes that contained records",
    "records.carried": "records in those writes",
    "peer.rejected.*": "peer connections rejected, by reason",
    "peer.unreadable_status": "status reports of peers refused, as they are malformed",
    "peer.unasked_reply": "replies dropped because they matched no open request: late or duplicate",
    "peer.not_reading": "connections closed because too much waited to be sent to the peer",
    "peer.frames_sent": "frames sent to peers",
    "peer.bytes_sent": "bytes sent to peers",
    "entry.answered": "requests answered in full",
    "entry.partial": "queries over shards answered with shards missing",
    "entry.refused": "requests refused without running anything",
    "entry.refused.*": "the same requests, by reason",
    "entry.failed": "requests that may have run but have no usable answer",
    "entry.bad_request.*": "requests rejected as malformed, by the header missing or repeated",
    "entry.unauthorised.*": "requests without a valid API key, by what is wrong",
    "entry.no_route": "requests that no route matches",
    "caller.cut_off": "connections of callers that did not read, closed while memory was short",
    "caller.response_failed": "connections closed because a response failed while it was written",
    "entry.caller_left": "callers that disconnected before their answer",
    "admission.waited": "requests that waited in the instance below its concurrency limit",
    "admission.left": "requests whose callers disconnected while they waited below that limit",
    "admission.refused.*": "requests refused by the overload control, by reason",
    "entry.waited": "queries over shards delayed by the slow start of an instance",
    "entry.total_ms": "timer: a request, from its arrival to its answer",
    "direct.sent.*": "attempts sent to replicas, by whether they are in this instance's region",
    "direct.send_ms": "timer: an answered attempt, including the wait for a connection",
    "direct.send_failed.*": "attempts without a usable answer, by reason",
    "direct.oversized": "pauses of replicas whose responses repeatedly exceeded a limit",
    "direct.withheld.*": "attempts that were not written, by reason",
    "direct.hedge.sent": "hedges for late attempts",
    "direct.hedge_denied.*": "late attempts without a hedge, by reason",
    "direct.repeat.*": "retries, by the failure of the previous attempt",
    "direct.repeat_denied.*": "failed attempts not retried although a retry is safe, by reason",
    "direct.missing_parts": "shards missing in partial answers",
    "direct.waited_for_memory": "answers that waited until others had given memory back",
    "direct.unasked_bytes": "connections closed because of bytes received outside of a response",
    "handover.sent": "batches of parts handed over to an instance near their replicas",
    "handover.shards": "parts in those batches",
    "handover.lost": "batches considered lost, whose parts were moved or sent directly",
    "handover.moved": "lost batches handed over to the other owner of their shards",
    "handover.passed_over": "batches that a hot instance did not get because another is cool",
    "handover.all_hot": "batches divided by weight alone because all candidates are hot",
    "handover.total_ms": "timer: a batch, from sending to its answer",
    "peers.refused.*": (
        "other instances' requests refused unread, by reason; `memory`: those in progress hold an "
        "eighth of it"
    ),
    "helping.refused": (
        "batches refused after a stall, without replicas, if sent before, or when leaving"
    ),
    "helping.answered": "other instances' batches that were answered",
    "quota.exchanges": "messages about quotas that other instances answered",
    "quota.no_answer": "reports to a quota's holder that got no answer",
    "quota.not_told": "notices that an organisation is limited that got no answer",
    "quota.limited": "times that an organisation became limited at its holder",
    "quota.opened": "times that a limited organisation became open again at its holder",
    "quota.limit_changed": "times that a holder applied another limit to an organisation",
    "quota.unlimited": "reports that the holder answered as for an organisation without a limit",
    "quota.limit_stated": (
        "reports accounted for by the limit that the sender states, as the holder knows none"
    ),
    "quota.unknown_limit": (
        "messages rejected because neither side states the limit of an organisation"
    ),
    "quota.not_known": (
        "answers of older software that may mean that it doesn't know the organisation"
    ),
    "quota.refunded": "tokens taken back because no replica ran the request",
    "poison.ended": "crashes of replicas, counted for each request they were running",
    "poison.trial": "trials: attempts of a suspected request at one replica, to see if it crashes",
    "poison.verdict.*": "changes of a request's verdict to suspected, quarantined or allowed",
    "poison.refused": "requests refused at once because they are quarantined",
    "poison.learned": "requests about which another instance reported something new",
    "poison.cleared": "suspected requests that a replica answered",
    "poison.lifted": "requests allowed again by an operator",
    "poison.forgotten": "requests whose crashes no longer count",
    "poison.exchanges": "messages about such requests that other instances answered",
    "poison.not_told": "messages about such requests that other instances did not answer",
    "relay.answered": "requests for changes that another instance answered",
    "relay.failed": "requests for changes that a relay did not answer",
    "relay.stale": "answers of a relay whose data from the store was stale",
    "directory.omitted": "instances that an answer to a caller omits because of their capacity",
    "directory.spilled": "addresses of the next data centre in answers while the caller's is hot",
    "memory.resident_mb": "gauge: resident memory of the process, MB",
    "memory.held_kb.*": "gauge: memory held for callers, other instances or answers, kB, by holder",
    "instance.missed": "registrations of other instances removed because they were silent",
    "listener.bind_failed.*": "failed attempts to listen at an address, by listener",
    "listener.accept_failed": "times no connection could be accepted, mostly without descriptors",
    "listener.open_failed": "connections that were accepted and could not be used",
    "listener.refused.*": "connections and requests that a listener refused unread, by listener",
    "source.call.*": "calls to the platform's store, by operation",
    "source.error.*": "calls to the platform's store that failed, by reason",
    "source.malformed.*": "answers of the platform's store with a malformed field, by operation",
    "source.unreadable": "values ignored because they have an unknown format",
    "source.unreadable.*": "the same values, by reason",
    "source.fields_ignored": "optional fields of the configuration that could not be read",
    "source.returned_from_copy": "times the store was restored from a backup, which loses changes",
    "source.history_lost": "times everything was read again because past changes were unavailable",
}


_FAMILIES = frozenset(name[:-1] for name in DESCRIPTIONS if name.endswith(".*"))


def _family_of(name: str) -> str | None:
    """Return the beginning that a name shares with others, ``None`` for a name of its own."""
    if name in DESCRIPTIONS:
        return None
    end = len(name)
    while (end := name.rfind(".", 0, end)) >= 0:
        if name[: end + 1] in _FAMILIES:
            return name[: end + 1]
    return ""


class Counters:
    """Counters, timers and gauges since the start, also sent to statsd if a port is given."""

    def __init__(self, host: str = "", port: int = 0, prefix: str = "") -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self._names_by_family: collections.Counter[str] = collections.Counter()
        self._timers: dict[str, histogram.HdrHistogram] = {}
        self._client = statsd.StatsClient(host, port, prefix) if port else None

    def add(self, name: str, amount: int = 1) -> None:
        """
        Increment a counter.

        Names may end in text from outside, such as a reason that another process states. Beyond
        ``MAX_NAMES`` of one family they are counted under ``OTHER``.
        """
        if name not in self.totals:
            name = self._admit(name)
        self.totals[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def _admit(self, name: str) -> str:
        """Return the name under which a counter that is not known yet is kept."""
        family = _family_of(name)
        if family is None:
            return name
        other = family + OTHER
        if name == other:
            return other
        is_usable = len(name) <= MAX_NAME_LENGTH and name.isascii() and name.isprintable()
        if not is_usable or self._names_by_family[family] >= MAX_NAMES:
            return other
        self._names_by_family[family] += 1
        return name

    def time_ms(self, name: str, duration_ms: float) -> None:
        """Record one duration."""
        timer = self._timers.get(name)
        if timer is None:
            timer = self._timers[name] = histogram.HdrHistogram(1, _MAX_US, 2)
        timer.record_value(min(max(1, int(duration_ms * 1000)), _MAX_US))
        if self._client is not None:
            self._client.timing(name, duration_ms)

    def timers_ms(self) -> dict[str, dict[str, float]]:
        """Return the percentiles of each timer since the start."""
        return {
            name: {
                f"p{percentile}": timer.get_value_at_percentile(percentile) / 1000
                for percentile in (50, 95, 99)
            }
            | {"count": timer.get_total_count()}
            for name, timer in self._timers.items()
        }

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge, which is kept among the totals as an integer."""
        self.totals[name] = int(value)
        if self._client is not None:
            self._client.gauge(name, value)
