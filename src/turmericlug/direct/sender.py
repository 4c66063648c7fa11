"""State that all requests to replicas share."""

from __future__ import annotations

import asyncio
import random
import typing
from collections import abc

import attrs

from turmericlug.direct import budget
from turmericlug.direct import handover_codec
from turmericlug.direct import header_names
from turmericlug.direct import overload as overload_module
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
    """The known replicas, and everything else that sending requests to them requires."""

    replicas: replicas_module.Replicas
    names: header_names.HeaderNames
    counters: counters_module.Counters
    tasks: tasks_module.Tasks
    instance_count: abc.Callable[[], int]
    """Number of instances that share the retry budgets."""
    handover: handover_module.Handover | None = None
    """Hands parts with remote replicas over to peers; ``None``: all parts are sent directly."""
    rng: random.Random = attrs.field(factory=random.Random)
    is_shard: abc.Callable[[str], bool] = lambda service: False
    """Whether a service is a shard of a route."""
    loop_lag_ms: abc.Callable[[], float | None] = lambda: None
    """Delay of a slow event loop iteration; ``None`` if it is not known yet."""
    own_load: abc.Callable[[], handover_codec.Load] = handover_codec.Load
    """The load that this instance reports with its answers to other instances."""
    overload: overload_module.Hooks = attrs.field(factory=overload_module.Hooks)
    """Informs the overload control about parts and peers."""
    quarantine: quarantine_module.Quarantine = attrs.field(
        default=attrs.Factory(lambda self: _make_quarantine(self.counters), takes_self=True)
    )
    """Stops requests that crash replicas from reaching further ones."""

    def withhold_reason(self, call: sending.Call, replica: replica_module.Replica) -> str:
        """Return why a request must not be written to a replica now; empty if it may be."""
        if not self.quarantine.may_send(call):
            return sending.CRASHES_REPLICAS
        now_s = asyncio.get_running_loop().time()
        return self.replicas.withhold_reason(replica, call.route, now_s)

    def count_attempt(self, replica: replica_module.Replica) -> None:
        """Count an attempt that was sent to a replica."""
        near = self.replicas.in_own_region(replica.entry.data_centre)
        self.counters.add("direct.sent.near" if near else "direct.sent.far")

    def count_request(self, service: str, call: sending.Call, now_s: float) -> None:
        """Count a request in the retry budget of a service."""
        self.replicas.retry_budget(service).count_request(now_s, call.organisation_name)

    def spend_retry_budget(self, service: str, call: sending.Call, now_s: float) -> bool:
        """Spend an extra attempt of a service's retry budget; false if none is left for a call."""
        if self.handover is not None:
            share = self.handover.peers.slack_share(self, service)
        else:
            share = budget.slack_share(self.instance_count(), owners=0, is_owner=False)
        retry_budget = self.replicas.retry_budget(service)
        return retry_budget.try_spend(now_s, share, call.organisation_name)


def _make_quarantine(counters: counters_module.Counters) -> quarantine_module.Quarantine:
    return quarantine_module.Quarantine(counters, asyncio.get_running_loop().time)
