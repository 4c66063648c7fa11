"""Counters and latency percentiles as plain text, one metric per line."""

from __future__ import annotations

from collections import abc

from turmericlug.entry import organisation_counts
from turmericlug.http1 import messages
from turmericlug.kernel import supervisor
from turmericlug.telemetry import counters as counters_module

PATH = b"/metrics"


def handler(
    counters: counters_module.Counters,
    counts: organisation_counts.OrganisationCounts,
    tasks: abc.Callable[[], abc.Mapping[str, supervisor.Status]] = dict,
) -> messages.Handler:
    """
    Return the handler of the metrics endpoint.

    :param tasks: returns the states of the long-running tasks by name
    """

    async def handle(request: messages.Request) -> messages.Response:
        if request.target.partition(b"?")[0] != PATH:
            return messages.Response(404)
        body = text(counters) + tasks_text(tasks()) + organisations_text(counts)
        return messages.Response(200, ((b"content-type", b"text/plain"),), body.encode())

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


def tasks_text(tasks: abc.Mapping[str, supervisor.Status]) -> str:
    """Format whether each long-running task runs, and how often it was restarted."""
    lines = []
    for name, status in tasks.items():
        label = f'{{task="{_escape(name)}"}}'
        is_running = int(status.state == supervisor.RUNNING)
        lines.append(f"turmericlug_task_running{label} {is_running}\n")
        lines.append(f"turmericlug_task_restarts{label} {status.restarts}\n")
    return "".join(lines)


def organisations_text(counts: organisation_counts.OrganisationCounts) -> str:
    """Format the counts of the busiest organisations, and the sum of all others."""
    lines = [
        f'turmericlug_organisation_requests{{organisation="{_escape(organisation)}",'
        f'outcome="{_escape(outcome)}"}} {value}\n'
        for organisation, values in counts.busiest().items()
        for outcome, value in sorted(values.items())
    ]
    lines += [
        f'turmericlug_other_organisations_requests{{outcome="{_escape(outcome)}"}} {value}\n'
        for outcome, value in sorted(counts.others().items())
    ]
    return "".join(lines)


def _escape(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"')


def _metric_name(name: str) -> str:
    return "turmericlug_" + "".join(character if character.isalnum() else "_" for character in name)
