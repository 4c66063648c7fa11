"""The quotas as a service of an entry instance; there are none without a window in the settings."""

from __future__ import annotations

import contextlib
import random
from collections import abc

from turmericlug.entry import long_running
from turmericlug.entry import quota_limits
from turmericlug.entry import quotas as quotas_module
from turmericlug.entry import view as view_module
from turmericlug.http1 import messages
from turmericlug.kernel import kernel as kernel_module
from turmericlug.kernel import supervisor
from turmericlug.policy import quota
from turmericlug.telemetry import decisions
from turmericlug.wire import quota_codec

_UNKNOWN_LIMIT_STATUS = 503
"""Answer to a report whose limit is not known; the sender then asks the standby."""


@contextlib.asynccontextmanager
async def run(kernel: kernel_module.Kernel) -> abc.AsyncIterator[quotas_module.Quotas | None]:
    """Take part in the quotas of all instances, for the duration of the context."""
    settings = kernel.find("settings")
    rule = quota.Rule(settings.quota.window_s, settings.quota.overage, settings.quota.slack)
    if not rule.window_s:
        yield None
        return
    view, counters = kernel.find("view"), kernel.find("counters")
    quotas = quotas_module.Quotas(rule, settings.entry.name, view, counters, random.Random())
    job = supervisor.Job(long_running.QUOTAS, quotas.run, on_close=quotas.close)
    async with kernel.find("supervisor").background(job):
        yield quotas


def follow_instances(view: view_module.View, quotas: quotas_module.Quotas | None) -> None:
    """Have the quotas told, too, when an instance is added or removed."""
    others = view.on_instances_changed

    def on_instances_changed() -> None:
        others()
        quotas.on_instances_changed()

    if quotas is not None:
        view.on_instances_changed = on_instances_changed


def leave(kernel: kernel_module.Kernel) -> None:
    """Hold no organisation any more, as this instance is about to end."""
    quotas = kernel.find("quotas")
    if quotas is not None:
        quotas.leave()


def handler(quotas: quotas_module.Quotas) -> messages.Handler:
    """Return the HTTP handler of other instances' messages about quotas."""

    async def handle(request: messages.Request) -> messages.Response:
        try:
            message = quota_codec.decode(request.body)
        except quota_codec.MessageError as error:
            decisions.log("quota.unreadable", reason=str(error))
            return messages.Response(400)
        answer = quotas.handle(message)
        if isinstance(answer, quota_limits.UnknownLimit):
            return messages.Response(_UNKNOWN_LIMIT_STATUS)
        return messages.Response(200, body=quota_codec.encode(answer))

    return handle
