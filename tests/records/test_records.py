"""Recording how a claim ended, through moments in which nobody can be asked."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from turmericlug.records import ledger
from turmericlug.records import records as records_module

SETTLE = ledger.Operation(ledger.SETTLE, "1-k", "attempt", "print", 1, "outcome")
NOBODY = ledger.unavailable("no_owner")
RECORDED = ledger.Verdict(ledger.GRANTED)


@pytest.mark.parametrize(
    ("verdicts", "expected", "asked"),
    [
        ([RECORDED], RECORDED, 1),
        ([NOBODY, RECORDED], RECORDED, 2),
        ([NOBODY, NOBODY, NOBODY, RECORDED], RECORDED, 4),
        ([NOBODY], NOBODY, None),
    ],
    ids=["at once", "after a moment", "after some", "never"],
)
def test_a_claim_is_settled_once_somebody_can_be_asked(verdicts, expected, asked, monkeypatch):
    """
    A bill is answered, and just then its instance has no link to the one that keeps the key. The
    outcome was never recorded: each repeat of the key was told that it is in use, for a day.
    """
    now_s = [0.0]
    tries = []

    async def ask(records, operation, timeout_s):
        tries.append(operation)
        return next(answers)

    async def sleep(duration_s):
        now_s[0] += duration_s

    answers = itertools.chain(verdicts, itertools.repeat(verdicts[-1]))
    monkeypatch.setattr(records_module.Records, "ask", ask)
    monkeypatch.setattr(records_module.asyncio, "sleep", sleep)
    monkeypatch.setattr(records_module.time, "monotonic", lambda: now_s[0])
    records = records_module.Records.__new__(records_module.Records)
    assert asyncio.run(records.settle(SETTLE)) == expected
    assert set(tries) == {SETTLE}
    if asked is not None:
        assert len(tries) == asked
    assert now_s[0] <= records_module.SETTLE_FOR_S
