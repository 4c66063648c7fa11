"""The tasks that run as long as ``turmericlugd``, and what it means that one does not."""

from __future__ import annotations

import contextlib
import functools
from collections import abc

from turmericlug.kernel import failures
from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import supervisor as supervisor_module
from turmericlug.telemetry import counters as counters_module
from turmericlug.telemetry import events

LINKS = "links"
DETECTOR = "detector"
INSTANCE_LIST = "instance list"
RULES = "rules"
RULES_WATCH = "rules watch"
OWNER = "owner"
ANNOUNCEMENT = "announcement"

EFFECTS = {
    LINKS: "frozen peers are found by the detector only, idle links stay open",
    DETECTOR: "peers are not probed, and this instance steps aside when its rules get stale",
    INSTANCE_LIST: "instances that gossip does not reach are not found",
    RULES: "this instance learns of changes from its peers only",
    RULES_WATCH: "changes are found by polling the store",
    OWNER: "queues of services that move are opened by their first part, and not closed",
    ANNOUNCEMENT: "peers know neither the load nor the readiness of this instance",
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
    events.emit(
        "task.failed",
        "error",
        name=failure.name,
        reason=failure.reason,
        place=failure.place,
        restarts=restarts,
        restart_in_s=round(delay_s, 3),
    )
