"""Which requests a leaving instance takes."""

from __future__ import annotations

import math

import pytest

from turmericlug.policy import leaving

EXITS_AT_S = 5.3
IDEMPOTENT = leaving.Limits(3.6, 3.0, EXITS_AT_S)
UNREPEATABLE = leaving.Limits(3.0, -math.inf, EXITS_AT_S)
NOT_KNOWN = None


@pytest.mark.parametrize(
    ("limits", "now_s", "deadline_s", "usual_s", "is_taken"),
    [
        # Deadline before the exit: taken at any time, whatever it takes usually.
        (UNREPEATABLE, 0.1, 5.3, 4.0, True),
        (UNREPEATABLE, 5.0, 5.3, NOT_KNOWN, True),
        (IDEMPOTENT, 5.0, 5.3, 4.0, True),
        # Later deadline, usual duration not known.
        (UNREPEATABLE, 2.9, 9.0, NOT_KNOWN, True),
        (UNREPEATABLE, 3.0, 9.0, NOT_KNOWN, False),
        (IDEMPOTENT, 2.9, 9.0, NOT_KNOWN, True),
        (IDEMPOTENT, 3.5, 9.0, NOT_KNOWN, True),
        (IDEMPOTENT, 3.6, 9.0, NOT_KNOWN, False),
        # Usually answered before the exit.
        (UNREPEATABLE, 2.9, 9.0, 2.0, True),
        (UNREPEATABLE, 3.1, 9.0, 0.1, False),
        (IDEMPOTENT, 3.5, 9.0, 1.0, True),
        (IDEMPOTENT, 3.7, 9.0, 0.1, False),
        # Usually answered after the exit.
        (UNREPEATABLE, 1.2, 9.0, 4.0, True),
        (UNREPEATABLE, 1.4, 9.0, 4.0, False),
        (UNREPEATABLE, 2.9, 9.0, 4.0, False),
        (IDEMPOTENT, 2.9, 9.0, 4.0, True),
        (IDEMPOTENT, 3.1, 9.0, 4.0, False),
        (IDEMPOTENT, 3.5, 9.0, 2.0, False),
        # An instance that stays.
        (leaving.Limits(), 1e9, 2e9, 1e9, True),
    ],
)
def test_what_a_leaving_instance_takes(limits, now_s, deadline_s, usual_s, is_taken):
    """
    Guards against requests that are run and then cut off by the exit, and against refusals of
    requests that would be answered.
    """
    assert leaving.takes(limits, deadline_s, usual_s, now_s) is is_taken
