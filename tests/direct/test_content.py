"""Fingerprints: which requests count as identical."""

from __future__ import annotations

import attrs
import pytest
import scripted

from turmericlug.direct import content
from turmericlug.policy import fingerprint

NAMES = attrs.evolve(scripted.NAMES, organisation=b"key")
BASE = {
    "method": b"GET",
    "target": b"/a/b?c=1",
    "headers": [(b"host", b"h"), (b"key", b"k"), (b"request-id", b"q1")],
    "body": b"",
}


def fingerprint_of(**changes):
    return content.fingerprint(**(BASE | changes), names=NAMES)


@pytest.mark.parametrize(
    ("changes", "same"),
    [
        ({}, True),
        ({"headers": [(b"request-id", b"q2"), (b"host", b"h"), (b"key", b"k")]}, True),
        ({"headers": [(b"host", b"h"), (b"key", b"k"), (b"user-agent", b"other")]}, True),
        ({"method": b"POST"}, False),
        ({"target": b"/a/b?c=2"}, False),
        ({"target": b"/a/b"}, False),
        ({"body": b"x"}, False),
        ({"headers": [(b"host", b"other"), (b"key", b"k")]}, False),
        ({"headers": [(b"host", b"h"), (b"key", b"other")]}, False),
        ({"target": b"/a/b?c=1h", "headers": [(b"host", b""), (b"key", b"k")]}, False),
    ],
)
def test_fingerprint_is_that_of_the_request_and_its_organisation(changes, same):
    """Request identifiers change with each attempt; the organisation is part of the identity."""
    assert (fingerprint_of(**changes) == fingerprint_of()) is same
    assert len(fingerprint_of(**changes)) == fingerprint.LENGTH_BYTES
