"""Encoding of messages about quotas."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies

from turmericlug.policy import quota
from turmericlug.wire import quota_codec

COUNTS = strategies.integers(0, 2**31)
NAMES = strategies.text(max_size=20)
SECONDS = strategies.integers(0, 10**6).map(lambda milliseconds: milliseconds / 1000)
LEVELS = strategies.integers(-(10**9), 10**9).map(lambda milli: milli / 1000)
STARTS = strategies.integers(0, 2**63 - 1)
KNOWN_LEVELS = strategies.one_of(
    strategies.tuples(strategies.none(), strategies.just(0.0), strategies.just(0)),
    strategies.tuples(LEVELS, SECONDS, STARTS),
)
RATES_PER_S = strategies.floats(1e-3, 1e9)
LIMITS = strategies.one_of(
    strategies.just((0.0, 0.0)),
    strategies.tuples(RATES_PER_S, strategies.one_of(strategies.just(0.0), RATES_PER_S)),
)
REPORTS = strategies.builds(
    lambda name, counts, known, limit: quota.Report(name, *counts, *known, *limit),
    NAMES,
    strategies.tuples(*[COUNTS] * 6),
    KNOWN_LEVELS,
    LIMITS,
)
INFINITE = strategies.just(math.inf)
NOTICES = strategies.one_of(
    strategies.builds(quota.Notice, NAMES, COUNTS, SECONDS, SECONDS, SECONDS, LEVELS, STARTS),
    strategies.builds(quota.Notice, NAMES, COUNTS, level=INFINITE, is_known=strategies.booleans()),
)


@given(
    strategies.builds(
        quota_codec.Message,
        NAMES,
        STARTS,
        STARTS,
        strategies.lists(REPORTS, max_size=3).map(tuple),
        strategies.lists(NOTICES, max_size=3).map(tuple),
        strategies.lists(NAMES, max_size=3).map(tuple),
        STARTS,
    )
)
def test_messages_survive_the_wire(message):
    """A field that is lost or mixed up makes a holder grant too much or too little."""
    assert quota_codec.decode(quota_codec.encode(message)) == message


@pytest.mark.parametrize(
    ("notice", "received"),
    [
        (quota.Notice("o", lease_s=0.0004), quota.Notice("o", lease_s=0.001)),
        (quota.Notice("o", level=0.9999), quota.Notice("o", level=0.999)),
        (quota.Notice("o", level=-0.0001), quota.Notice("o", level=-0.001)),
    ],
)
def test_rounding(notice, received):
    """A level that is rounded up to 1 would be a token that does not exist."""
    message = quota_codec.Message("e1", 1, 1, notices=(notice,))
    assert quota_codec.decode(quota_codec.encode(message)).notices == (received,)


def test_an_infinite_level_stays_above_any_bucket():
    """The level of an organisation without a limit, turned into a small one, would limit it."""
    message = quota_codec.Message("e1", 1, 1, notices=(quota.Notice("o", level=math.inf),))
    assert quota_codec.decode(quota_codec.encode(message)).notices[0].level > 1e9


@pytest.mark.parametrize(
    ("rate_per_s", "burst"),
    [(math.inf, 1.0), (math.nan, 1.0), (-1.0, 1.0), (5.0, math.nan), (5.0, -1.0)],
)
def test_a_corrupt_limit_is_not_stated(rate_per_s, burst):
    """A holder without a configuration would grant any number of tokens, or none."""
    report = quota.Report("o", 1, 1, rate_per_s=rate_per_s, burst=burst)
    message = quota_codec.Message("e1", 1, 1, reports=(report,))
    (decoded,) = quota_codec.decode(quota_codec.encode(message)).reports
    assert (decoded.rate_per_s, decoded.burst) == (0.0, 0.0)


def test_an_infinite_level_is_no_known_level():
    """A new holder would take it for a full bucket, whatever has been used in the window."""
    report = quota.Report("o", 9, 9, known_level=math.inf, known_age_s=1.0, known_origin=7)
    message = quota_codec.Message("e1", 1, 1, reports=(report,))
    (decoded,) = quota_codec.decode(quota_codec.encode(message)).reports
    assert decoded.known_level is None


@given(strategies.binary(max_size=200))
def test_corrupt_messages_are_rejected(content):
    """Any other exception would end the connection of the peer that sent the message."""
    try:
        quota_codec.decode(content)
    except quota_codec.MessageError:
        pass


def test_too_long_messages_are_rejected():
    """A corrupt length would make the instance build millions of reports."""
    names = tuple(str(number) for number in range(quota_codec.MAX_ORGANISATIONS + 1))
    with pytest.raises(quota_codec.MessageError):
        quota_codec.decode(quota_codec.encode(quota_codec.Message("e1", 1, 1, held=names)))


@pytest.mark.parametrize("rate_per_s", [math.nan, math.inf, -1.0, 1e300])
def test_absurd_limit_counts_as_not_stated(rate_per_s):
    """Guards against a holder that computes with a limit which no configuration can state."""
    report = quota.Report("o", 1, 1, rate_per_s=rate_per_s, burst=3.0)
    message = quota_codec.Message("e-1", 1, 1, (report,))
    (found,) = quota_codec.decode(quota_codec.encode(message)).reports
    assert (found.rate_per_s, found.burst) == (0.0, 0.0)
