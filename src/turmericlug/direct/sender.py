"""What every send to a replica needs, in one place."""

from __future__ import annotations

import asyncio
import random
import typing
from collections import abc

import attrs

from turmericlug.direct import budget
from turmericlug.direct import dialect
from turmericlug.direct import quarantine as quarantine_module
from turmericlug.direct import replica as replica_module
from turmericlug.direct import replicas as replicas_module
from turmericlug.direct import sending
from turmericlug.kernel import tasks as tasks_module
from turmericlug.telemetry import counters as counters_module

if typing.TYPE_CHECKING:
    from turmericlug.direct import handover as handover_module


@attrs.define
class Sender:
    """The replicas, and whatever else their sends share."""

    replicas: replicas_module.Replicas
    names: dialect.Dialect
    counters: counters_module.Counters
    tasks: tasks_module.Tasks
    instances: abc.Callable[[], int]
    """How many instances share the budget of extra sends."""
    handover: handover_module.Handover | None = None
    """Hands far parts to other instances; ``None``: every part is sent from here."""
    rng: random.Random = attrs.field(factory=random.Random)
    is_shard: abc.Callable[[str], bool] = lambda service: False
    """Whether a service is a shard of a route."""
    loop_lag_ms: abc.Callable[[], float | None] = lambda: None
    """How late a slow turn of the event loop is; ``None`` before that is known."""
    quarantine: quarantine_module.Quarantine = attrs.field(
        default=attrs.Factory(lambda self: _quarantine(self.counters), takes_self=True)
    )
    """Keeps requests that end replicas from further replicas."""

    def withheld(self, call: sending.Call, replica: replica_module.Replica) -> str:
        """Return why a request must not be written to a replica now; empty when it may be."""
        if not self.quarantine.may_send(call):
            return sending.HELD
        if replica.entry.data_centre in self.replicas.evacuated:
            return replicas_module.EVACUATED
        return ""

    def may_send_again(self, service: str, now_s: float) -> bool:
        """Take one of the extra sends that this instance may make to a service, if one is left."""
        if self.handover is not None:
            share = self.handover.peers.slack_share(self, service)
        else:
            share = budget.slack_share(self.instances(), owners=0, is_owner=False)
        return self.replicas.retry_budget(service).try_spend(now_s, share)


def _quarantine(counters: counters_module.Counters) -> quarantine_module.Quarantine:
    return quarantine_module.Quarantine(counters, asyncio.get_running_loop().time)
