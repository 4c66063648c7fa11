"""One bucket of idempotency records: a log in the store that only compare-and-swap extends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import uuid

import attrs

from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module

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
_MARGIN_S = 600
"""Records outlive the age at which their key is refused by this much clock error."""
_COMPACT_SEGMENTS = 48
_CHUNK_BYTES = 512 * 1024
_RETRY_S = 0.05
_CHECK_AGAIN_S = 1.0


@attrs.frozen
class Operation:
    """What is asked of a record."""

    operation: str
    key: str
    attempt: str
    fingerprint: str
    created_at_s: int
    outcome: str = ""


@attrs.frozen
class Verdict:
    """What became of an operation; ``detail`` holds the recorded outcome of a settled key."""

    outcome: str
    detail: str = ""


@attrs.frozen
class Entry:
    """What is recorded of one key; claimed by ``attempt``, and its outcome once known."""

    attempt: str
    fingerprint: str
    created_at_s: int
    outcome: str = ""
    released: bool = False


def judge(entry: Entry | None, wanted: Operation) -> tuple[Verdict, Entry | None]:
    """
    Decide one operation on one key.

    :param entry: what is recorded
    :param wanted: the operation
    :returns: the verdict, and the entry to record if it changes
    """
    if wanted.operation == CLAIM:
        if entry is None or entry.released:
            fresh = Entry(wanted.attempt, wanted.fingerprint, wanted.created_at_s)
            # An attempt that released its claim may have told its caller "not run"; a claim of
            # the same attempt that arrives late must not bring it to life again.
            if entry is not None and entry.attempt == wanted.attempt:
                return Verdict(UNAVAILABLE, "released"), None
            return Verdict(GRANTED), fresh
        if entry.fingerprint != wanted.fingerprint:
            return Verdict(MISMATCH), None
        if entry.outcome:
            return Verdict(SETTLED, entry.outcome), None
        return Verdict(GRANTED if entry.attempt == wanted.attempt else OPEN), None
    if entry is None:
        if wanted.operation == RELEASE:
            gone = Entry(wanted.attempt, wanted.fingerprint, wanted.created_at_s, released=True)
            return Verdict(GRANTED), gone
        return Verdict(MISMATCH), None
    if entry.attempt != wanted.attempt or entry.released:
        return Verdict(MISMATCH), None
    if wanted.operation == RELEASE:
        return Verdict(GRANTED), attrs.evolve(entry, released=True)
    return Verdict(GRANTED), attrs.evolve(entry, outcome=wanted.outcome)


@attrs.define
class _Waiting:
    wanted: Operation
    future: asyncio.Future[Verdict]


class Bucket:
    """
    The records of the keys of one bucket.

    Any instance may write; what makes it safe is that each write swaps the bucket's head, so that
    it takes effect only for a writer that has seen every record before it. A writer that was
    paused, or that wrongly believes to own the bucket, fails its swap, reads and decides again.

    A store that returns from a copy has lost its latest writes. A writer puts back what it knows of
    them. What nobody knows may have been granted: a key made before the return that is not recorded
    counts as open, which promises neither that it has run nor that it has not.
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
        """Records that were acknowledged and that the store does not have any more."""
        self._era = 0
        """Of the store, when the head was read."""
        self._doubted_until_s = 0.0
        """Records of keys made until then may be lost; Unix time."""
        self._unchecked = False
        self._head: store_module.Value | None = None
        """As it was read or written last; ``None``: to be read."""
        self._next = 0
        self._base = 0
        self._waiting: list[_Waiting] = []
        self._wake = asyncio.Event()

    async def ask(self, wanted: Operation) -> Verdict:
        """Put an operation into the next write and wait for its verdict."""
        if wanted.operation == CLAIM and wanted.created_at_s < time.time() - self._retention_s:
            return Verdict(EXPIRED)
        waiting = _Waiting(wanted, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        self._wake.set()
        try:
            return await waiting.future
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def reconcile(self) -> None:
        """Read the log again and put back what is missing there."""
        self._head = None
        if self._entries:
            self._unchecked = True
            self._wake.set()

    async def run(self) -> None:
        """Write batches until cancelled: one write at a time, at most one per interval."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            began_at_s = time.monotonic()
            while self._waiting or self._unchecked:
                try:
                    await self._write_batch(self._waiting[:MAX_BATCH])
                except store_module.StoreError:
                    self._head = None
                    await self._pause()
            left_s = began_at_s + self._interval_s - time.monotonic()
            if left_s > 0:
                await asyncio.sleep(left_s)

    async def _pause(self) -> None:
        """Leave a store that does not answer alone, for longer when nobody waits for it."""
        if self._waiting:
            await asyncio.sleep(_RETRY_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CHECK_AGAIN_S):
                await self._wake.wait()

    async def _write_batch(self, batch: list[_Waiting]) -> None:
        """
        Decide a batch and record what changes, in one write.

        After an answer was lost, the log is read again: an operation that is already in it is
        judged as granted, since its attempt is the recorded one, and nothing is written twice.
        """
        if self._head is None:
            await self._load()
        changed = dict(self._lost)
        verdicts = []
        for waiting in batch:
            key = waiting.wanted.key
            known = changed.get(key) or self._entries.get(key)
            verdict, entry = self._judge(known, waiting.wanted)
            verdicts.append(verdict)
            if entry is not None:
                changed[key] = entry
        if changed and not await self._append(changed):
            return
        if self._store.eras.latest != self._era:
            # The write may be of the store's lost past.
            self._head = None
            return
        self._entries.update(changed)
        self._counters.add("records.written_again", len(self._lost))
        self._lost, self._unchecked = {}, False
        for waiting, verdict in zip(batch, verdicts, strict=True):
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            if not waiting.future.done():
                waiting.future.set_result(verdict)
        if self._next - self._base > _COMPACT_SEGMENTS + len(self._entries) // 500:
            await self._compact()

    def _judge(self, entry: Entry | None, wanted: Operation) -> tuple[Verdict, Entry | None]:
        if entry is None and wanted.created_at_s <= self._doubted_until_s:
            if wanted.operation == CLAIM:
                return Verdict(OPEN, "store_returned"), None
            if wanted.operation == SETTLE:
                attempt, fingerprint = wanted.attempt, wanted.fingerprint
                settled = Entry(attempt, fingerprint, wanted.created_at_s, wanted.outcome)
                return Verdict(GRANTED), settled
        return judge(entry, wanted)

    async def _append(self, changed: dict[str, Entry]) -> bool:
        text = _to_lines(changed)
        written = await self._swap({self._segment(self._next): text}, self._base, self._next + 1)
        self._counters.add("records.writes")
        if written:
            self._counters.add("records.carried", len(changed))
        return written

    async def _swap(self, segments: dict[str, str], base: int, following: int) -> bool:
        # Another text with each write, so that no other write is taken for the one that was read.
        head = json.dumps(
            {
                "base": base,
                "next": following,
                "era": self._era,
                "doubted_until_s": self._doubted_until_s,
                "write": uuid.uuid4().hex,
            }
        )
        puts = {self._head_key: head, **segments}
        # Until the answer is here the head is unknown; a lost one leaves it so.
        known, self._head = self._head, None
        revision = await self._store.swap([known], puts)
        if not revision:
            return False
        self._head = store_module.Value(self._head_key, head, revision)
        self._base, self._next = base, following
        return True

    async def _load(self) -> None:
        values = await self._store.read_prefix(self._prefix)
        head = next((value for value in values if value.key == self._head_key), None)
        plain = json.loads(head.text) if head else {"base": 0, "next": 0}
        self._base, self._next = plain["base"], plain["next"]
        first = self._segment(self._base)
        stored: dict[str, Entry] = {}
        for value in values:
            if value.key != self._head_key and value.key >= first:
                stored.update(_from_lines(value.text))
        self._doubt(plain.get("era", 0), plain.get("doubted_until_s", 0.0))
        self._lost = _missing(self._entries | self._lost, stored, self._oldest_s())
        self._entries = stored
        self._head = head or store_module.Value(self._head_key, "", 0)

    def _doubt(self, written_era: int, doubted_until_s: float) -> None:
        """Tell until when records may be lost, given the era in which the log was written."""
        eras = self._store.eras
        self._era = eras.latest
        if eras.restored_at_s is not None:
            doubted_until_s = max(doubted_until_s, eras.restored_at_s)
        elif 0 < written_era < self._era:
            doubted_until_s = time.time()
        self._doubted_until_s = max(doubted_until_s, self._doubted_until_s)

    def _oldest_s(self) -> float:
        return time.time() - self._retention_s - _MARGIN_S

    async def _compact(self) -> None:
        """Replace the log by its result, without what has outlived its retention."""
        oldest_s = self._oldest_s()
        live = {key: each for key, each in self._entries.items() if each.created_at_s > oldest_s}
        base, following = self._next, self._next
        segments = {}
        for text in _chunks(live):
            segments[self._segment(following)] = text
            following += 1
        old = [self._segment(number) for number in range(self._base, base)]
        if await self._swap(segments, base, following):
            self._entries = live
            for key in old:
                await self._store.delete(key)

    def _segment(self, number: int) -> str:
        return f"{self._prefix}seg/{number:012d}"


def _missing(
    known: dict[str, Entry], stored: dict[str, Entry], oldest_s: float
) -> dict[str, Entry]:
    """Return what was acknowledged and is not stored, but for what has outlived its retention."""
    return {
        key: entry
        for key, entry in known.items()
        if entry.created_at_s > oldest_s and (key not in stored or _is_behind(stored[key], entry))
    }


def _is_behind(stored: Entry, known: Entry) -> bool:
    """Whether a stored record is of the same attempt as the known one, and tells less of it."""
    if stored.attempt != known.attempt or stored.outcome or stored.released:
        return False
    return bool(known.outcome) or known.released


def _to_lines(entries: dict[str, Entry]) -> str:
    return "\n".join(
        json.dumps(
            [key, each.attempt, each.fingerprint, each.created_at_s, each.outcome]
            + ([1] if each.released else [])
        )
        for key, each in entries.items()
    )


def _from_lines(text: str) -> dict[str, Entry]:
    found = {}
    for line in text.splitlines():
        key, attempt, fingerprint, created_at_s, outcome, *released = json.loads(line)
        found[key] = Entry(attempt, fingerprint, created_at_s, outcome, bool(released))
    return found


def _chunks(entries: dict[str, Entry]) -> list[str]:
    """Cut entries into texts that the store's values can hold; an empty one for none."""
    chunks: list[str] = []
    lines: list[str] = []
    size = 0
    for key, entry in entries.items():
        line = _to_lines({key: entry})
        if size + len(line) > _CHUNK_BYTES:
            chunks.append("\n".join(lines))
            lines, size = [], 0
        lines.append(line)
        size += len(line) + 1
    chunks.append("\n".join(lines))
    return chunks


def unavailable(detail: str) -> Verdict:
    """Make the verdict of an operation that could not be decided in time."""
    return Verdict(UNAVAILABLE, detail)
