"""The tasks that run as long as an entry instance, and what it means that one does not."""

from __future__ import annotations

import contextlib
import functools
from collections import abc

from turmericlug.kernel import failures
from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import supervisor as supervisor_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import decisions

FOLLOWER = "follower"
REGISTRATION = "registration"
DEREGISTRATION = "deregistration"
HOUSEKEEPING = "housekeeping"
TOTALS = "totals"
SETTINGS_POLL = "settings poll"
WARM_UP = "warm-up"
SUSPECTS_BROADCAST = "suspects broadcast"
SUSPECTS_EXCHANGE = "suspects exchange"
QUOTAS = "quotas"
STALL_MONITOR = "stall monitor"
STAY_DEREGISTERED = "stay deregistered"

EFFECTS = {
    FOLLOWER: "changes of the store are not applied; the last known configuration is in force",
    REGISTRATION: "the lease of this instance ends, and callers are not given its address",
    DEREGISTRATION: "callers are given the addresses of ended instances until their leases end",
    HOUSEKEEPING: "entries that expired in an outage stay in use, idle connections stay open",
    TOTALS: "the log lacks the counters",
    SETTINGS_POLL: "a changed settings file takes effect at a SIGHUP only",
    WARM_UP: "the first request to a replica waits for its connection",
    SUSPECTS_BROADCAST: "others learn late of requests that crash replicas",
    SUSPECTS_EXCHANGE: "lost reports of requests that crash replicas are not made up for",
    QUOTAS: "unused tokens of leases are reported late, idle organisations are kept",
    STALL_MONITOR: "stalls of this process are not noticed",
    STAY_DEREGISTERED: "an own entry that a restored store holds again stays until its lease ends",
}


@contextlib.asynccontextmanager
async def supervisor(
    kernel: kernel_module.Kernel,
) -> abc.AsyncIterator[supervisor_module.Supervisor]:
    """Provide the supervisor of all tasks of the table."""
    on_failure = functools.partial(_report_failure, kernel.find("counters"))
    yield supervisor_module.Supervisor(EFFECTS, on_failure)


def _report_failure(
    counters: counters_module.Counters, failure: failures.Failure, restarts: int, delay_s: float
) -> None:
    counters.add(f"task.failed.{failure.name}")
    decisions.log(
        "task.failed",
        name=failure.name,
        reason=failure.reason,
        place=failure.place,
        restarts=restarts,
        restart_in_s=round(delay_s, 3),
    )
