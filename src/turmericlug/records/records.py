"""Idempotency records for coordinators: which instance writes a key's bucket, and asking it."""

from __future__ import annotations

import asyncio
import re
import time
import typing

import xxhash

from turmericlug.config import settings as settings_module
from turmericlug.kernel import tasks
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.records import ledger
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import codec
from turmericlug.wire import link as link_module
from turmericlug.wire import server as server_module

KEY = re.compile(r"([0-9]{9,11})-[A-Za-z0-9._~-]{1,128}\Z")
"""An idempotency key: the Unix second in which the caller made it, and a name of its choice."""
FUTURE_S = 300
_TRIES = 3
SETTLE_TIMEOUT_S = 10.0
"""Time of one try to record how a claim ended: an outage of the store lasts for seconds."""
SETTLE_FOR_S = 60.0
"""An instance that leaves waits no longer than its own grace period for it."""
SETTLE_AGAIN_S = 0.2
SETTLE_AGAIN_MOST_S = 5.0
"""Pauses between tries: a lost link is made again within a second."""


class InvalidKeyError(ValueError):
    """An idempotency key that can't be used; the text says why."""


def created_at_s(key: str, retention_s: int) -> int:
    """
    Read when a key was made.

    :raises InvalidKeyError: not of the form, from the future, or older than records are kept
    """
    match = KEY.match(key)
    if match is None:
        raise InvalidKeyError("idempotency_key_malformed")
    made_at_s = int(match.group(1))
    if made_at_s > time.time() + FUTURE_S:
        raise InvalidKeyError("idempotency_key_from_the_future")
    if made_at_s < time.time() - retention_s:
        raise InvalidKeyError("idempotency_key_too_old")
    return made_at_s


def fingerprint(service: str, body: bytes) -> str:
    """Digest a request, to tell a repeat from another request under the same key."""
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\0" + body)


class Records:
    """The buckets that this instance writes, and the way to those of others."""

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        mesh: mesh_module.Mesh,
        counters: counters_module.Counters,
    ) -> None:
        self._settings = settings
        self._store = store
        self._mesh = mesh
        self._counters = counters
        self._buckets: dict[int, ledger.Bucket] = {}
        self._tasks = tasks.Tasks()

    def _bucket_number(self, key: str) -> int:
        return xxhash.xxh3_64_intdigest(key.encode()) % self._settings.policy.record_buckets

    def _bucket(self, number: int) -> ledger.Bucket:
        if number not in self._buckets:
            policy = self._settings.policy
            bucket = ledger.Bucket(
                self._store,
                f"{self._settings.platform.store_prefix}records/{number:04d}/",
                policy.record_retention_s,
                policy.record_write_interval_ms,
                self._counters,
            )
            self._buckets[number] = bucket
            self._tasks.start(bucket.run())
        return self._buckets[number]

    def check(self) -> None:
        """Compare the store's records with those known here, as it has returned from a copy."""
        for bucket in self._buckets.values():
            bucket.check()

    async def ask(self, wanted: ledger.Operation, timeout_s: float) -> ledger.Verdict:
        """
        Have an operation recorded by the bucket's owner, or by the next in rank.

        Asking twice is harmless: the operation carries its attempt, and the second writer finds
        it recorded.

        :returns: ``unavailable`` when nothing was confirmed in time; it **may** be recorded
        """
        deadline_s = time.monotonic() + timeout_s
        bucket = self._bucket_number(wanted.key)
        members = self._mesh.members
        ranking = members_module.rank_owners(f"records/{bucket}", "", members.serving())
        verdict = ledger.unavailable("no_owner")
        for tries_left, member in zip(range(_TRIES, 0, -1), ranking, strict=False):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            # The first gets most of the time: a store that is slow is slow for each of them.
            share_s = left_s * (0.6 if tries_left > 1 else 1.0)
            if member.instance == members.own.instance:
                verdict = await self._ask_own(bucket, wanted, share_s)
            else:
                verdict = await self._ask_peer(member.instance, wanted, share_s)
            if verdict.outcome != ledger.UNAVAILABLE:
                break
        self._counters.add(f"records.{wanted.operation}.{verdict.outcome}")
        return verdict

    async def settle(self, operation: ledger.Operation) -> ledger.Verdict:
        """
        Record how a claim ended, and try again while nobody can be asked.

        A claim that is never settled stays open: every repeat of its key is told that the key is in
        use, although its one run has been answered. One moment without a link to the bucket's owner
        was enough for that.

        :returns: ``unavailable`` when nobody confirmed it for a minute
        """
        end_s = time.monotonic() + SETTLE_FOR_S
        pause_s = SETTLE_AGAIN_S
        while True:
            verdict = await self.ask(operation, SETTLE_TIMEOUT_S)
            if verdict.outcome != ledger.UNAVAILABLE or time.monotonic() + pause_s > end_s:
                return verdict
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, SETTLE_AGAIN_MOST_S)

    async def _ask_own(
        self, bucket: int, wanted: ledger.Operation, timeout_s: float
    ) -> ledger.Verdict:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._bucket(bucket).ask(wanted)
        except TimeoutError:
            return ledger.unavailable("store")

    async def _ask_peer(
        self, instance: str, wanted: ledger.Operation, timeout_s: float
    ) -> ledger.Verdict:
        link = self._mesh.link(instance)
        if link is None:
            return ledger.unavailable("no_owner")

        def fill(envelope: typing.Any) -> None:
            claim = envelope.init("claim")
            claim.operation = wanted.operation
            claim.key = wanted.key
            claim.attempt = wanted.attempt
            claim.fingerprint = wanted.fingerprint
            claim.createdAtS = wanted.created_at_s
            claim.outcome = wanted.outcome
            claim.remainingMs = int(timeout_s * 900)

        try:
            reply = await link.ask(fill, timeout_s)
        except link_module.LinkError as error:
            return ledger.unavailable(error.reason)
        if reply.which() != "claimReply":
            return ledger.unavailable("bad_reply")
        return ledger.Verdict(str(reply.claimReply.outcome), reply.claimReply.detail)

    async def on_claim(self, request: server_module.Request) -> None:
        """Decide an operation for a coordinator on another instance."""
        claim = request.message.claim
        wanted = ledger.Operation(
            str(claim.operation),
            claim.key,
            claim.attempt,
            claim.fingerprint,
            claim.createdAtS,
            claim.outcome,
        )
        verdict = await self._ask_own(
            self._bucket_number(wanted.key), wanted, claim.remainingMs / 1000
        )
        request.reply(
            lambda envelope: codec.fill(
                envelope, "claimReply", outcome=verdict.outcome, detail=verdict.detail
            )
        )

    async def close(self) -> None:
        """End the writers."""
        await self._tasks.close()
