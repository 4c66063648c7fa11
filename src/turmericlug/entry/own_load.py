"""The load that this instance reports to others with its answers."""

from __future__ import annotations

from collections import abc

from turmericlug.direct import handover_codec
from turmericlug.direct import pool
from turmericlug.direct import sender as sender_module


def reporter(
    sender: sender_module.Sender, waiting: pool.Waiting
) -> abc.Callable[[], handover_codec.Load]:
    """
    Return a function that returns the current load.

    :param waiting: counts the parts that wait for a connection to a replica
    """

    def report() -> handover_codec.Load:
        return handover_codec.Load(
            lag_ms=round(sender.loop_lag_ms() or 0.0),
            active=sender.quarantine.calls_in_flight,
            queued=waiting.count,
        )

    return report
