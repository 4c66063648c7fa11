"""A bucket of idempotency records: a log in the key-value store, extended by compare-and-swap."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import abc

import attrs

from turmericlug.decoding import fields
from turmericlug.kernel import failures
from turmericlug.records import entries as entries_module
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events

CLAIM, SETTLE, RELEASE = "claim", "settle", "release"
GRANTED, SETTLED, OPEN, MISMATCH, EXPIRED, UNAVAILABLE = (
    "granted",
    "settled",
    "open",
    "mismatch",
    "expired",
    "unavailable",
)
MAX_BATCH = 500
_CLOCK_ERROR_MARGIN_S = 600
"""Records are kept this much longer than their keys are accepted, to allow for clock errors."""
_COMPACTION_MIN_SEGMENTS = 48
_MAX_PROBLEM_LENGTH = 200
_RETRY_S = 0.05
_RECONCILE_RETRY_S = 1.0


@attrs.frozen
class Operation:
    """A claim, settlement or release of an idempotency key by one attempt to run its request."""

    kind: str
    key: str
    attempt: str
    fingerprint: str
    created_at_s: int
    outcome: str = ""


@attrs.frozen
class Verdict:
    """Result of an operation; ``detail`` holds the recorded outcome of a settled key."""

    status: str
    detail: str = ""


Entry = entries_module.Entry


def decide(entry: Entry | None, operation: Operation) -> tuple[Verdict, Entry | None]:
    """
    Decide one operation on one key.

    :param entry: the recorded entry; ``None`` if the key has none
    :returns: the verdict, and the entry to record if it changes
    """
    if operation.kind == CLAIM:
        if entry is None or entry.released:
            new_entry = Entry(operation.attempt, operation.fingerprint, operation.created_at_s)
            # The caller of an attempt that released its claim may have been answered "not run",
            # so a late claim of the same attempt must not be granted.
            if entry is not None and entry.attempt == operation.attempt:
                return Verdict(UNAVAILABLE, "released"), None
            return Verdict(GRANTED), new_entry
        if entry.fingerprint != operation.fingerprint:
            return Verdict(MISMATCH), None
        if entry.outcome:
            return Verdict(SETTLED, entry.outcome), None
        return Verdict(GRANTED if entry.attempt == operation.attempt else OPEN), None
    if entry is None:
        if operation.kind == RELEASE:
            released = Entry(
                operation.attempt, operation.fingerprint, operation.created_at_s, released=True
            )
            return Verdict(GRANTED), released
        return Verdict(MISMATCH), None
    if entry.attempt != operation.attempt or entry.released:
        return Verdict(MISMATCH), None
    if operation.kind == RELEASE:
        return Verdict(GRANTED), attrs.evolve(entry, released=True)
    return Verdict(GRANTED), attrs.evolve(entry, outcome=operation.outcome)


@attrs.define
class _PendingOperation:
    operation: Operation
    future: asyncio.Future[Verdict]


class Bucket:
    """
    The records of the keys of one bucket.

    Any instance may write. Each write also swaps the bucket's head, so it takes effect only if its
    writer has read every earlier record. The swap of a writer that was paused, or that wrongly
    considers itself the bucket's owner, fails; the writer then reads the log and decides again. A
    batch that writes nothing compares the head instead.

    A store restored from a backup has lost its latest writes. Each writer writes the lost records
    that it knows of again. A record that none knows of may have granted a claim: a key created
    before the restore that has no record is therefore treated as open, so it may or may not have
    run.
    """

    def __init__(
        self,
        store: store_module.Store,
        prefix: str,
        retention_s: int,
        write_interval_ms: int,
        counters: counters_module.Counters,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._head_key = f"{prefix}head"
        self._retention_s = retention_s
        self._interval_s = write_interval_ms / 1000
        self._counters = counters
        self._entries: dict[str, Entry] = {}
        self._lost: dict[str, Entry] = {}
        """Acknowledged records that the store has lost."""
        self._era = 0
        """The store's era when the head was read."""
        self._uncertain_until_s = 0.0
        """Records of keys created up to this Unix time may be lost."""
        self._needs_reconciling = False
        self._head: store_module.Value | None = None
        """The head as last read or written; ``None``: must be read."""
        self._refused_lines: set[entries_module.Refused] = set()
        self._refused_head: store_module.Value | None = None
        self._refused_head_s = 0.0
        self._next_segment = 0
        self._first_segment = 0
        self._pending: list[_PendingOperation] = []
        self._wake = asyncio.Event()

    async def ask(self, operation: Operation) -> Verdict:
        """Add an operation to the next batch and wait for its verdict."""
        if operation.kind == CLAIM and operation.created_at_s < time.time() - self._retention_s:
            return Verdict(EXPIRED)
        pending = _PendingOperation(operation, asyncio.get_running_loop().create_future())
        self._pending.append(pending)
        self._wake.set()
        try:
            return await pending.future
        finally:
            if pending in self._pending:
                self._pending.remove(pending)

    def reconcile(self) -> None:
        """Read the log again and write lost records again."""
        self._head = None
        if self._entries:
            self._needs_reconciling = True
            self._wake.set()

    async def run(self) -> None:
        """Write batches until cancelled: one at a time, and at most one per interval."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            began_at_s = time.monotonic()
            while self._pending or self._needs_reconciling:
                try:
                    await self._write_batch(self._pending[:MAX_BATCH])
                except store_module.StoreError:
                    self._head = None
                    await self._back_off()
                except Exception as error:
                    # Operations that no batch can decide end by their own timeouts.
                    failures.report(error)
                    self._head = None
                    await asyncio.sleep(_RECONCILE_RETRY_S)
            left_s = began_at_s + self._interval_s - time.monotonic()
            if left_s > 0:
                await asyncio.sleep(left_s)

    async def _back_off(self) -> None:
        """Wait before the next call to a failing store; longer if no operation is pending."""
        if self._pending:
            await asyncio.sleep(_RETRY_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECONCILE_RETRY_S):
                await self._wake.wait()

    async def _write_batch(self, batch: list[_PendingOperation]) -> None:
        """
        Decide a batch and record the changes in one write.

        After a lost response the log is read again. An operation that it already contains is
        granted, since its attempt is the recorded one, and is not written twice.
        """
        is_current = self._head is None
        if is_current:
            await self._load()
        changed = dict(self._lost)
        verdicts = []
        for pending in batch:
            key = pending.operation.key
            entry = changed.get(key) or self._entries.get(key)
            verdict, new_entry = self._decide(entry, pending.operation)
            verdicts.append(verdict)
            if new_entry is not None:
                changed[key] = new_entry
        if changed:
            if not await self._append(changed):
                return
        elif not is_current and any(_may_change(verdict) for verdict in verdicts):
            try:
                if not await self._confirm_head():
                    return
            except store_module.StoreError:
                # As unavailable, the caller would not learn that its key has been claimed.
                for pending, verdict in zip(batch, verdicts, strict=True):
                    if verdict.status == OPEN and not pending.future.done():
                        pending.future.set_result(verdict)
                raise
        if self._store.eras.latest != self._era:
            # The store was restored meanwhile and may have lost this write.
            self._head = None
            return
        self._entries.update(changed)
        self._counters.add("records.written_again", len(self._lost))
        self._lost, self._needs_reconciling = {}, False
        for pending, verdict in zip(batch, verdicts, strict=True):
            if pending in self._pending:
                self._pending.remove(pending)
            if not pending.future.done():
                pending.future.set_result(verdict)
        if (
            self._next_segment - self._first_segment
            > _COMPACTION_MIN_SEGMENTS + len(self._entries) // 500
        ):
            await self._compact()

    def _decide(self, entry: Entry | None, operation: Operation) -> tuple[Verdict, Entry | None]:
        if entry is None and operation.created_at_s <= self._uncertain_until_s:
            if operation.kind == CLAIM:
                return Verdict(OPEN, "store_returned"), None
            if operation.kind == SETTLE:
                attempt, fingerprint = operation.attempt, operation.fingerprint
                settled = Entry(attempt, fingerprint, operation.created_at_s, operation.outcome)
                return Verdict(GRANTED), settled
        return decide(entry, operation)

    async def _append(self, changed: dict[str, Entry]) -> bool:
        text = entries_module.encode(changed)
        written = await self._swap(
            {self._segment_key(self._next_segment): text},
            self._first_segment,
            self._next_segment + 1,
        )
        self._counters.add("records.writes")
        if written:
            self._counters.add("records.carried", len(changed))
        return written

    async def _swap(self, segments: dict[str, str], first_segment: int, next_segment: int) -> bool:
        """Write segments and the head, and delete the segments before the log's new first one."""
        # The unique ID of each write keeps a swap from matching another head of the same revision.
        head = entries_module.encode_head(
            entries_module.Head(first_segment, next_segment, self._era, self._uncertain_until_s)
        )
        puts = {self._head_key: head, **segments}
        # The head is unknown until the response arrives, and stays so if the response is lost.
        expected_head, self._head = self._head, None
        deleted = None
        if first_segment > self._first_segment:
            deleted = self._segment_key(self._first_segment), self._segment_key(first_segment)
        revision = await self._store.swap([expected_head], puts, deleted)
        if not revision:
            return False
        self._head = store_module.Value(self._head_key, head, revision)
        self._first_segment, self._next_segment = first_segment, next_segment
        return True

    async def _confirm_head(self) -> bool:
        """Return whether the log still ends as this writer knows it; if not, it is read again."""
        expected_head, self._head = self._head, None
        if await self._store.read(self._head_key) != expected_head:
            return False
        self._head = expected_head
        return True

    async def _load(self) -> None:
        values = await self._store.read_prefix(self._prefix)
        head = next((value for value in values if value.key == self._head_key), None)
        segments = {
            number: value
            for value in values
            if (number := entries_module.segment_number(value.key.removeprefix(self._prefix)))
            is not None
        }
        log_head = self._read_head(head, segments)
        self._first_segment, self._next_segment = log_head.first_segment, log_head.next_segment
        stored: dict[str, Entry] = {}
        refused: set[entries_module.Refused] = set()
        for number, value in sorted(segments.items()):
            if number >= self._first_segment:
                decoded, unreadable = entries_module.decode(value.text)
                stored.update(decoded)
                new = [line for line in unreadable if line not in self._refused_lines]
                if new:
                    self._report(value, new[0].error, len(new))
                refused.update(unreadable)
        self._update_uncertain_period(log_head.era, log_head.uncertain_until_s)
        if refused - self._refused_lines:
            # Any claim of until now may be in these lines.
            self._uncertain_until_s = time.time()
        self._refused_lines = refused
        self._lost = entries_module.find_missing(
            self._entries | self._lost, stored, self._retention_start_s()
        )
        self._entries = stored
        self._head = head or store_module.Value(self._head_key, "", 0)

    def _read_head(
        self, head: store_module.Value | None, segments: abc.Mapping[int, store_module.Value]
    ) -> entries_module.Head:
        """Return the log's head, or one for the segments that exist if it can't be read."""
        now_s = time.time()
        try:
            if head is not None:
                return entries_module.decode_head(
                    head.text, segments, now_s + _CLOCK_ERROR_MARGIN_S
                )
            if not segments:
                return entries_module.Head(0, 0, 0, 0.0)
            error = fields.FieldError("absent", "missing")
        except fields.FieldError as malformed:
            error = malformed
        value = head or store_module.Value(self._head_key, "", 0)
        if value != self._refused_head:
            self._refused_head = value
            self._refused_head_s = now_s
            self._report(value, error)
        return entries_module.recovered_head(segments, self._refused_head_s)

    def _report(self, value: store_module.Value, error: fields.FieldError, lines: int = 1) -> None:
        self._counters.add("records.unreadable", lines)
        self._counters.add(f"records.unreadable.{error.reason}", lines)
        events.emit(
            "records.unreadable",
            "error",
            key=value.key,
            lines=lines,
            field=error.field,
            reason=error.reason,
            problem=str(error)[:_MAX_PROBLEM_LENGTH],
            revision=value.revision,
        )

    def _update_uncertain_period(self, written_era: int, uncertain_until_s: float) -> None:
        """Update the time up to which records may be lost, from the era of the log's last write."""
        eras = self._store.eras
        self._era = eras.latest
        if eras.restored_at_s is not None:
            uncertain_until_s = max(uncertain_until_s, eras.restored_at_s)
        elif 0 < written_era < self._era:
            uncertain_until_s = time.time()
        self._uncertain_until_s = max(uncertain_until_s, self._uncertain_until_s)

    def _retention_start_s(self) -> float:
        return time.time() - self._retention_s - _CLOCK_ERROR_MARGIN_S

    async def _compact(self) -> None:
        """
        Replace the log by its current entries, without those past their retention.

        The old segments are deleted in the same transaction. A later deletion could hit new records
        after a restore of the store, since the restored log uses the numbers again.
        """
        retention_start_s = self._retention_start_s()
        live = {
            key: entry
            for key, entry in self._entries.items()
            if entry.created_at_s > retention_start_s
        }
        first_segment, next_segment = self._next_segment, self._next_segment
        segments = {}
        for text in entries_module.split_segments(live):
            segments[self._segment_key(next_segment)] = text
            next_segment += 1
        if await self._swap(segments, first_segment, next_segment):
            self._entries = live

    def _segment_key(self, number: int) -> str:
        return f"{self._prefix}{entries_module.segment_key(number)}"


def _may_change(verdict: Verdict) -> bool:
    """Whether a later record of the key may change a verdict; a recorded outcome is final."""
    return verdict.status != SETTLED


def unavailable(detail: str) -> Verdict:
    """Return the verdict on an operation that was not confirmed; it may still be recorded."""
    return Verdict(UNAVAILABLE, detail)
