"""Counters and timers, sent to statsd and kept in memory for the status page."""

from __future__ import annotations

import collections

import statsd
from hdrh import histogram

_LONGEST_US = 60_000_000

# Every metric that the daemon emits, with what it says; docs/reference-metrics.md lists the same
# names and a test compares the two. A trailing ".*" stands for the reasons that follow.
NAMES: dict[str, str] = {
    "query.complete": "answers with every shard",
    "query.partial": "answers with shards missing",
    "query.refused.*": "queries refused and not run, by reason",
    "query.failed.*": "queries that may have run but have no answer, by reason",
    "query.bad_request.*": "requests turned away before they became queries, by reason",
    "query.restarted": "queries begun again on another snapshot",
    "query.moved_parts": "parts sent to the next owner because the first fell silent",
    "query.mismatched_reply": "owners' replies dropped because they named another query",
    "query.total_ms": "timer: whole query, from its arrival to its answer",
    "owner.part.answered": "parts answered by a target",
    "owner.part.refused.*": "parts refused and not run, by reason",
    "owner.part.failed.*": "parts that may have run but have no answer, by reason",
    "owner.part.cancelled": "parts given up because nobody waits for them",
    "owner.part.snapshot_absent": "parts whose snapshot no replica holds",
    "owner.retry.*": "attempts repeated, by the reason of the one before",
    "owner.retry_denied.*": "attempts not repeated although repeatable, by reason",
    "owner.hedge.sent": "second attempts started for a late part",
    "owner.hedge.won": "second attempts that answered first",
    "owner.hedge.lost": "second attempts overtaken by the first",
    "owner.hedge.denied": "late parts without a second attempt: budget spent",
    "owner.queue_ms": "timer: a part's wait before its first attempt",
    "owner.target_ms": "timer: an attempt at a target, from sending to its reply",
    "owner.connect_ms": "timer: opening a connection to a target",
    "owner.connections_opened": "connections opened to targets",
    "owner.ejected": "replicas set aside after errors",
    "owner.mismatched_reply": "target replies that named another attempt",
    "owner.handed_over": "queued parts given back when this instance left",
    "instance.loop_lag_ms": "timer: how late this process came to its turn: overload of its core",
    "membership.suspected": "peers that missed a probe",
    "membership.died": "peers declared dead",
    "membership.refuted": "times this instance contradicted its own death",
    "membership.stepped_aside": "times this instance stopped serving for want of news",
    "store.call.*": "calls to the store, by operation",
    "store.error.*": "calls to the store that failed, by reason",
    "records.written_again": "records put back, as the store had returned from a copy",
    "rules.applied": "revisions put in force",
    "rules.edit.*": "operators' edits, by outcome",
    "records.claim.*": "idempotency claims, by outcome",
    "records.settle.*": "outcomes recorded, by outcome of recording",
    "records.release.*": "claims released because nothing ran, by outcome",
    "records.writes": "store writes that carried records",
    "records.carried": "records in those writes",
    "peer.rejected.*": "peer connections refused, by reason",
    "peer.unasked_reply": "replies dropped since nothing open had asked for them: late or doubled",
    "peer.frames_sent": "frames sent to peers",
    "peer.bytes_sent": "bytes sent to peers",
    "entry.answered": "requests answered in full",
    "entry.partial": "queries over shards answered with shards missing",
    "entry.refused": "requests refused, nothing ran",
    "entry.refused.*": "the same by reason",
    "entry.failed": "requests that may have run but have no usable answer",
    "entry.bad_request.*": "requests turned away as malformed, by what they lack",
    "entry.no_route": "requests that no route matches",
    "entry.caller_left": "callers that left before their answer",
    "entry.waited": "queries over shards that waited for their turn at an instance just started",
    "entry.total_ms": "timer: whole request, from its arrival to its answer",
    "direct.sent.*": "sends to replicas, by whether they are in this instance's region",
    "direct.send_ms": "timer: a send that was answered, with the wait for a connection",
    "direct.send_failed.*": "sends without a usable answer, by reason",
    "direct.withheld.*": "sends that were not written, by reason",
    "direct.hedge.sent": "second sends for a late one",
    "direct.hedge_denied.*": "late sends without a second one, by reason",
    "direct.repeat.*": "sends repeated after a failure, by its reason",
    "direct.repeat_denied.*": "failures not repeated although repeatable, by reason",
    "direct.missing_parts": "shards missing in partial answers",
    "direct.unasked_bytes": "connections closed because bytes came that nothing waited for",
    "handover.sent": "batches of parts handed to an instance near their replicas",
    "handover.shards": "parts in those batches",
    "handover.lost": "batches taken for lost, whose parts were moved or sent directly",
    "handover.moved": "lost batches handed to the other owner of their shards",
    "handover.total_ms": "timer: a batch, from sending to its answer",
    "helping.refused": "batches of other instances that were not run: this one had stood still",
    "helping.answered": "batches of other instances that were answered",
    "poison.ended": "replicas that ended under a request, for each request they had",
    "poison.trial": "sends of a suspected request to one replica, to find out whether that ends",
    "poison.verdict.*": "requests that are suspected, quarantined or allowed from now on",
    "poison.refused": "attempts at quarantined requests that were answered at once",
    "poison.learned": "requests of which another instance told something new",
    "poison.cleared": "suspected requests that a replica answered",
    "poison.lifted": "requests allowed by an operator's word",
    "poison.forgotten": "requests whose ends no longer count",
    "poison.exchanges": "messages to other instances about such requests that were answered",
    "poison.not_told": "messages to other instances about such requests without an answer",
    "relay.answered": "questions for news that another instance answered",
    "relay.failed": "questions for news that a relay did not answer",
    "relay.stale": "answers of a relay that had not heard from the store lately",
    "instance.missed": "entries of other instances taken out, as they had fallen silent",
    "source.call.*": "calls to the platform's store, by operation",
    "source.error.*": "calls to the platform's store that failed, by reason",
    "source.unreadable": "values that name nothing to use since they are not of the known form",
    "source.fields_ignored": "optional fields of the configuration that could not be read",
    "source.returned_from_copy": "times the store had returned from a copy, which loses changes",
    "source.history_lost": "times everything was read anew as changes were no longer known",
}


class Counters:
    """Totals since the start, mirrored to statsd when a server is set."""

    def __init__(self, host: str = "", port: int = 0, prefix: str = "") -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self._timers: dict[str, histogram.HdrHistogram] = {}
        self._client = statsd.StatsClient(host, port, prefix) if port else None

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time_ms(self, name: str, duration_ms: float) -> None:
        """Record one duration."""
        timer = self._timers.get(name)
        if timer is None:
            timer = self._timers[name] = histogram.HdrHistogram(1, _LONGEST_US, 2)
        timer.record_value(min(max(1, int(duration_ms * 1000)), _LONGEST_US))
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
        """Set a gauge."""
        self.totals[name] = int(value)
        if self._client is not None:
            self._client.gauge(name, value)
