"""Tests of settling a claim while no instance is available to record it."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from turmericlug.records import ledger
from turmericlug.records import records as records_module

SETTLE = ledger.Operation(ledger.SETTLE, "1-k", "attempt", "print", 1, "outcome")
NO_OWNER = ledger.unavailable("no_owner")
RECORDED = ledger.Verdict(ledger.GRANTED)


@pytest.mark.parametrize(
    ("verdicts", "expected", "attempts"),
    [
        ([RECORDED], RECORDED, 1),
        ([NO_OWNER, RECORDED], RECORDED, 2),
        ([NO_OWNER, NO_OWNER, NO_OWNER, RECORDED], RECORDED, 4),
        ([NO_OWNER], NO_OWNER, None),
    ],
    ids=["first attempt", "second attempt", "fourth attempt", "never"],
)
def test_settle_retries_until_an_instance_is_available(verdicts, expected, attempts, monkeypatch):
    """
    Guards against an outcome that is never recorded: when a billing request is answered, its
    instance has no link to the owner of the key's bucket. Without retries of the settlement, each
    repeated request with the key was refused for a day because the key was in use.
    """
    now_s = [0.0]
    operations = []

    async def ask(records, operation, timeout_s):
        operations.append(operation)
        return next(verdict_iterator)

    async def sleep(duration_s):
        now_s[0] += duration_s

    verdict_iterator = itertools.chain(verdicts, itertools.repeat(verdicts[-1]))
    monkeypatch.setattr(records_module.Records, "ask", ask)
    monkeypatch.setattr(records_module.asyncio, "sleep", sleep)
    monkeypatch.setattr(records_module.time, "monotonic", lambda: now_s[0])
    records = records_module.Records.__new__(records_module.Records)
    assert asyncio.run(records.settle(SETTLE)) == expected
    assert set(operations) == {SETTLE}
    if attempts is not None:
        assert len(operations) == attempts
    assert now_s[0] <= records_module.SETTLE_TOTAL_S
