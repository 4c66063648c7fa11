"""Reports on requests that crash replicas, with numbers beyond what a message holds."""

from __future__ import annotations

import math

import pytest

from turmericlug.policy import poison
from turmericlug.wire import suspects_codec

NOW_S = 1000.0
CONTENT = b"c" * 16


def round_trip(record, content=CONTENT):
    report = suspects_codec.Suspects({content: record}, wants_all=True)
    return suspects_codec.decode(suspects_codec.encode(report, NOW_S), NOW_S)


def test_report_round_trip():
    record = poison.Record({"i-1": NOW_S - 2.0}, NOW_S - 5.0, NOW_S - 3.0, 2, NOW_S + 1.0)
    assert round_trip(record) == suspects_codec.Suspects({CONTENT: record}, wants_all=True)


def test_numbers_beyond_the_message_are_bounded():
    """Guards against one record that makes every report to other instances fail."""
    record = poison.Record({"i-1": -1e12}, -math.inf, -1e12, 10**6, NOW_S + 1e12)
    (found,) = round_trip(record).records.values()
    assert found.quarantines == 0xFFFF
    assert found.trial_until_s == NOW_S + poison.TRIAL_TIMEOUT_S


def test_long_fingerprint_is_rejected():
    with pytest.raises(suspects_codec.MessageError):
        round_trip(poison.Record(), b"c" * 65)
