"""Idempotency records for coordinators: find the owner of a key's bucket and call it."""

from __future__ import annotations

import asyncio
import itertools
import re
import time
import typing

import xxhash

from turmericlug.config import settings as settings_module
from turmericlug.kernel import tasks
from turmericlug.membership import members as members_module
from turmericlug.membership import mesh as mesh_module
from turmericlug.policy import backoff
from turmericlug.records import ledger
from turmericlug.storage import store as store_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.wire import codec
from turmericlug.wire import link as link_module
from turmericlug.wire import server as server_module

KEY_PATTERN = re.compile(r"([0-9]{9,11})-[A-Za-z0-9._~-]{1,128}\Z")
"""An idempotency key: its creation time in Unix seconds, and a name given by the caller."""
MAX_FUTURE_S = 300
_MAX_ATTEMPTS = 3
SETTLE_ATTEMPT_TIMEOUT_S = 10.0
"""Timeout of one attempt to settle a claim; an outage of the store lasts for seconds."""
SETTLE_TOTAL_S = 60.0
"""Limit over all attempts. A draining instance stops waiting at the end of its grace period."""
SETTLE_BACKOFF_MIN_S = 0.2
SETTLE_BACKOFF_MAX_S = 5.0
"""Bounds of the backoff between attempts; a lost link is re-established within a second."""


class InvalidKeyError(ValueError):
    """An invalid idempotency key; the message is the reason."""


def created_at_s(key: str, retention_s: int) -> int:
    """
    Return a key's creation time.

    :raises InvalidKeyError: malformed, from the future, or older than the retention of records
    """
    match = KEY_PATTERN.match(key)
    if match is None:
        raise InvalidKeyError("idempotency_key_malformed")
    created_s = int(match.group(1))
    if created_s > time.time() + MAX_FUTURE_S:
        raise InvalidKeyError("idempotency_key_from_the_future")
    if created_s < time.time() - retention_s:
        raise InvalidKeyError("idempotency_key_too_old")
    return created_s


def fingerprint(service: str, body: bytes) -> str:
    """Hash a request, to distinguish a retry from another request with the same key."""
    return xxhash.xxh3_128_hexdigest(service.encode() + b"\0" + body)


class Records:
    """The buckets that this instance writes, and access to those of its peers."""

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

    def reconcile(self) -> None:
        """Write lost records again after the store was restored from a backup."""
        for bucket in self._buckets.values():
            bucket.reconcile()

    async def ask(self, operation: ledger.Operation, timeout_s: float) -> ledger.Verdict:
        """
        Have the bucket's owner record an operation, or the next instance in rank if that fails.

        Sending an operation twice is safe: it names its attempt, so the second writer finds it
        recorded.

        :returns: ``unavailable`` if nothing was confirmed in time; it **may** still be recorded
        """
        deadline_s = time.monotonic() + timeout_s
        bucket = self._bucket_number(operation.key)
        members = self._mesh.members
        ranking = members_module.rank_owners(f"records/{bucket}", "", members.serving())
        verdict = ledger.unavailable("no_owner")
        for attempts_left, member in zip(range(_MAX_ATTEMPTS, 0, -1), ranking, strict=False):
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                break
            # Every attempt but the last gets 60 % of the time left: a slow store is slow for every
            # instance, so most of the time goes to the first.
            attempt_timeout_s = left_s * (0.6 if attempts_left > 1 else 1.0)
            if member.instance == members.own.instance:
                verdict = await self._ask_own(bucket, operation, attempt_timeout_s)
            else:
                verdict = await self._ask_peer(member.instance, operation, attempt_timeout_s)
            if verdict.status != ledger.UNAVAILABLE:
                break
        self._counters.add(f"records.{operation.kind}.{verdict.status}")
        return verdict

    async def settle(self, operation: ledger.Operation) -> ledger.Verdict:
        """
        Record the outcome or release of a claim, with retries while no instance is available.

        A claim that is never settled stays open: its run is answered, but every retry with its key
        is refused because the key is in use. Without retries here, a single moment without a link
        to the bucket's owner caused that.

        :returns: ``unavailable`` if no instance confirmed it within ``SETTLE_TOTAL_S``
        """
        deadline_s = time.monotonic() + SETTLE_TOTAL_S
        for failures in itertools.count(1):
            verdict = await self.ask(operation, SETTLE_ATTEMPT_TIMEOUT_S)
            delay_s = backoff.delay(SETTLE_BACKOFF_MIN_S, SETTLE_BACKOFF_MAX_S, failures)
            if verdict.status != ledger.UNAVAILABLE or time.monotonic() + delay_s > deadline_s:
                return verdict
            await asyncio.sleep(delay_s)

    async def _ask_own(
        self, bucket: int, operation: ledger.Operation, timeout_s: float
    ) -> ledger.Verdict:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._bucket(bucket).ask(operation)
        except TimeoutError:
            return ledger.unavailable("store")

    async def _ask_peer(
        self, instance: str, operation: ledger.Operation, timeout_s: float
    ) -> ledger.Verdict:
        link = self._mesh.link(instance)
        if link is None:
            return ledger.unavailable("no_owner")

        def fill(envelope: typing.Any) -> None:
            claim = envelope.init("claim")
            claim.operation = operation.kind
            claim.key = operation.key
            claim.attempt = operation.attempt
            claim.fingerprint = operation.fingerprint
            claim.createdAtS = operation.created_at_s
            claim.outcome = operation.outcome
            claim.remainingMs = int(timeout_s * 900)

        try:
            reply = await link.ask(fill, timeout_s)
        except link_module.LinkError as error:
            return ledger.unavailable(error.reason)
        if reply.which() != "claimReply":
            return ledger.unavailable("bad_reply")
        return ledger.Verdict(str(reply.claimReply.outcome), reply.claimReply.detail)

    async def on_claim(self, request: server_module.Request) -> None:
        """Handle an operation from a coordinator on another instance."""
        claim = request.message.claim
        operation = ledger.Operation(
            str(claim.operation),
            claim.key,
            claim.attempt,
            claim.fingerprint,
            claim.createdAtS,
            claim.outcome,
        )
        verdict = await self._ask_own(
            self._bucket_number(operation.key), operation, claim.remainingMs / 1000
        )
        request.reply(
            lambda envelope: codec.fill(
                envelope, "claimReply", outcome=verdict.status, detail=verdict.detail
            )
        )

    async def close(self) -> None:
        """Stop the writers of all buckets."""
        await self._tasks.close()
