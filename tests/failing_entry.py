"""Main program of an entry instance in which a function that a long-running task calls raises."""

from __future__ import annotations

import functools
import math
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from turmericlug.direct import peers  # noqa: E402
from turmericlug.direct import replicas  # noqa: E402
from turmericlug.entry import daemon  # noqa: E402
from turmericlug.entry import follower  # noqa: E402
from turmericlug.entry import live_settings  # noqa: E402
from turmericlug.entry import long_running  # noqa: E402
from turmericlug.entry import quotas  # noqa: E402
from turmericlug.entry import relay  # noqa: E402
from turmericlug.entry import stalls  # noqa: E402
from turmericlug.entry import suspects  # noqa: E402
from turmericlug.entry import view  # noqa: E402
from turmericlug.platform import start  # noqa: E402

FAULTS = {
    "follower, snapshot": (long_running.FOLLOWER, view.View, "apply_snapshot", "_follow"),
    "follower, changes": (long_running.FOLLOWER, view.View, "apply_changes", "_follow"),
    "registration": (long_running.REGISTRATION, follower, "_renew", "_stay_registered"),
    "deregistration": (
        long_running.DEREGISTRATION,
        relay.RelayedSource,
        "silent_instances",
        "deregister_silent",
    ),
    "housekeeping": (long_running.HOUSEKEEPING, view.View, "expire_held", "_run_housekeeping"),
    "totals": (long_running.TOTALS, replicas.Replicas, "connections", "_log_totals"),
    "settings poll": (long_running.SETTINGS_POLL, live_settings, "file_version", "watch"),
    "warm-up": (long_running.WARM_UP, peers.Peers, "warm", "_warm_connections"),
    "suspects broadcast": (
        long_running.SUSPECTS_BROADCAST,
        suspects.SuspectGossip,
        "_wait_until_due",
        "run_broadcast",
    ),
    "suspects exchange": (
        long_running.SUSPECTS_EXCHANGE,
        suspects.SuspectGossip,
        "_initial_sync",
        "run_sync",
    ),
    "quotas": (long_running.QUOTAS, quotas.Quotas, "_report_ended_leases", "run"),
    "stall monitor": (long_running.STALL_MONITOR, stalls.StallMonitor, "overdue_s", "watch"),
    "stay deregistered": (
        long_running.STAY_DEREGISTERED,
        view.View,
        "instance_entries",
        "stay_deregistered",
    ),
}
"""The task, and the function that raises: its owner, its name, and the caller for which it does."""


def install(fault, times):
    """Let the function of a fault raise the first times that its caller calls it."""
    _, owner, name, caller = FAULTS[fault]
    function, left = getattr(owner, name), [times]

    @functools.wraps(function)
    def fail(*arguments, **options):
        if left[0] > 0 and sys._getframe(1).f_code.co_name == caller:
            left[0] -= 1
            raise RuntimeError("odd value")
        return function(*arguments, **options)

    setattr(owner, name, fail)


if __name__ == "__main__":
    daemon.TOTALS_INTERVAL_S = 0.2
    install(sys.argv[1], math.inf if sys.argv[2] == "always" else 1)
    start.run()
