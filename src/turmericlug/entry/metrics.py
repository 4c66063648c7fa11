"""Counters and latency percentiles as plain text, one metric per line."""

from __future__ import annotations

from turmericlug.http1 import messages
from turmericlug.telemetry import counters as counters_module

PATH = b"/metrics"


def handler(counters: counters_module.Counters) -> messages.Handler:
    """Return the handler of the metrics endpoint."""

    async def handle(request: messages.Request) -> messages.Response:
        if request.target.partition(b"?")[0] != PATH:
            return messages.Response(404)
        return messages.Response(200, ((b"content-type", b"text/plain"),), text(counters).encode())

    return handle


def text(counters: counters_module.Counters) -> str:
    """Format all counters and timers since the start."""
    lines = [f"{_metric_name(name)} {value}" for name, value in sorted(counters.totals.items())]
    for name, values in sorted(counters.timers_ms().items()):
        for key, value in values.items():
            if key == "count":
                lines.append(f"{_metric_name(name)}_count {value:.0f}")
            else:
                quantile = int(key[1:]) / 100
                lines.append(f'{_metric_name(name)}{{quantile="{quantile}"}} {value}')
    return "\n".join(lines) + "\n"


def _metric_name(name: str) -> str:
    return "turmericlug_" + "".join(character if character.isalnum() else "_" for character in name)
