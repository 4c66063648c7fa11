"""Main program of ``turmericlugd`` in which functions that long-running tasks call raise."""

from __future__ import annotations

import functools
import math
import sys

from turmericlug import daemon
from turmericlug import long_running
from turmericlug.membership import detector
from turmericlug.membership import freshness
from turmericlug.owner import owner
from turmericlug.rules import distribution
from turmericlug.telemetry import counters

FAULTS = {
    long_running.LINKS: (counters.Counters, "time_ms", "monitor_links"),
    long_running.DETECTOR: (freshness.Freshness, "tick", "run"),
    long_running.INSTANCE_LIST: (detector.Detector, "read_list", "poll_list"),
    long_running.RULES: (distribution.Distribution, "_should_read_store", "run"),
    long_running.RULES_WATCH: (distribution.Distribution, "is_reader", "run_watch"),
    long_running.OWNER: (owner.Owner, "_close_unowned_queues", "run"),
    long_running.ANNOUNCEMENT: (owner.Owner, "load_permille", "_announce_state"),
}
"""For each task the function that raises: its owner, its name, and the caller for which it does."""


def install(task, times):
    """Let the function of a task raise the first times that its caller calls it."""
    owner_class, name, caller = FAULTS[task]
    function, left = getattr(owner_class, name), [times]

    @functools.wraps(function)
    def fail(*arguments, **options):
        if left[0] > 0 and sys._getframe(1).f_code.co_name == caller:
            left[0] -= 1
            raise RuntimeError("odd value")
        return function(*arguments, **options)

    setattr(owner_class, name, fail)


def run(faulty_tasks, times):
    """Run the daemon of the command line with faults, for ever if ``times`` is 0."""
    for task in faulty_tasks:
        install(task, times or math.inf)
    daemon.run()
