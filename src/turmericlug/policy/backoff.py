"""Exponential backoff."""

from __future__ import annotations

_MAX_DOUBLINGS = 1023
"""2.0 to a higher power exceeds the range of a float."""


def delay(base: float, maximum: float, failures: int) -> float:
    """
    Return the delay after a number of failures in a row.

    :param base: delay after the first failure, in any unit; doubled by each further failure
    :param maximum: upper bound, in the same unit
    :param failures: any number; the delay before the first failure is the base, too
    """
    doublings = min(max(failures - 1, 0), _MAX_DOUBLINGS)
    return max(min(base * 2.0**doublings, maximum), 0.0)
