"""Reconstruct how a request ended, and why, from the decision logs of all instances."""

from __future__ import annotations

import json
import typing
from collections import abc

import attrs

from turmericlug.operators import reasons

Line = dict[str, typing.Any]

_FINAL_EVENTS = (
    "query.answered",
    "query.partial",
    "query.refused",
    "query.failed",
    "query.unauthorised",
)
_HEADER_FIELDS = ("time_s", "instance", "event", "request")


@attrs.frozen
class Trace:
    """What the decision logs say about one request."""

    lines: tuple[Line, ...]
    """The lines that name the request, from all instances, sorted by time."""
    outcome: str
    cause: str
    deciding_line: Line | None
    """The line that the cause is taken from."""
    known_state: tuple[str, ...]
    """What the deciding instance knew at that time, and how old that knowledge was."""


def parse(log_lines: abc.Iterable[str]) -> list[Line]:
    """Parse the decision lines and sort them by time; text before the JSON object is ignored."""
    lines = []
    for text in log_lines:
        start = text.find('{"time_s"')
        if start < 0:
            continue
        try:
            lines.append(json.loads(text[start:]))
        except ValueError:
            # The line was truncated when its process ended.
            continue
    lines.sort(key=lambda line: line["time_s"])
    return lines


def trace(lines: abc.Sequence[Line], request: str) -> Trace:
    """
    Determine how a request ended and why.

    :param lines: the decision lines of all instances, sorted by time
    """
    request_lines = tuple(line for line in lines if line.get("request") == request)
    if not request_lines:
        return Trace(
            (),
            "unknown",
            "no log line names it: never received, or its lines were suppressed",
            None,
            (),
        )
    final_line = next(
        (line for line in reversed(request_lines) if line["event"] in _FINAL_EVENTS), None
    )
    if final_line is not None:
        outcome, cause, deciding_line = _explain_ending(request_lines, final_line)
    elif any(line["event"] == "query.caller_left" for line in request_lines):
        deciding_line = next(line for line in request_lines if line["event"] == "query.caller_left")
        outcome, cause = "cancelled", f"the caller left after {deciding_line['age_ms']} ms"
    else:
        outcome, cause, deciding_line = _explain_missing_ending(lines, request_lines)
    reference_line = deciding_line or request_lines[-1]
    return Trace(
        request_lines,
        outcome,
        cause,
        deciding_line,
        tuple(_describe_known_state(lines, reference_line)),
    )


def _explain_ending(request_lines: tuple[Line, ...], final_line: Line) -> tuple[str, str, Line]:
    outcome = final_line["event"].removeprefix("query.")
    if outcome == "answered":
        return outcome, "none: answered in full", final_line
    failure_lines = [
        line for line in request_lines if line["event"] in ("send.failed", "handover.lost")
    ]
    reason = reasons.text(final_line.get("reason") or "")
    causes = [
        f"{line.get('replica') or line.get('peer')} of {line.get('service', 'a batch')}: "
        f"{line['reason']} after {line['age_ms']} ms"
        for line in failure_lines
    ]
    cause = "; ".join([reason, *causes])
    deciding_line = failure_lines[-1] if failure_lines and outcome != "refused" else final_line
    return outcome, cause, deciding_line


def _explain_missing_ending(
    lines: abc.Sequence[Line], request_lines: tuple[Line, ...]
) -> tuple[str, str, Line]:
    """
    Explain a request without an ending by the later lines of the instance that last logged it.

    An instance that shuts down cleanly logs ``instance.stopped``; a new start without that line
    means that its process was lost.
    """
    last = request_lines[-1]
    later_lines = [
        line
        for line in lines
        if line["instance"] == last["instance"] and line["time_s"] > last["time_s"]
    ]
    stopped = next((line for line in later_lines if line["event"] == "instance.stopped"), None)
    started = next((line for line in later_lines if line["event"] == "instance.starting"), None)
    if stopped is not None and (started is None or stopped["time_s"] < started["time_s"]):
        return "cut", f"{last['instance']} stopped with the request in flight", stopped
    if started is not None:
        return "cut", f"{last['instance']} was lost: it restarted without logging a stop", started
    if not later_lines:
        return "cut", f"{last['instance']} was lost: it logged nothing after this line", last
    return "open", "no ending was logged: suppressed, or still in flight", last


def _describe_known_state(lines: abc.Sequence[Line], reference_line: Line) -> abc.Iterator[str]:
    """Describe the configuration, store and replica as the line's instance knew them then."""
    earlier_lines = [
        line
        for line in lines
        if line["instance"] == reference_line["instance"]
        and line["time_s"] <= reference_line["time_s"]
    ]
    configuration_line = _find_last(
        earlier_lines, lambda line: line["event"] == "view.configuration"
    )
    if configuration_line is not None:
        age_s = reference_line["time_s"] - configuration_line["time_s"]
        yield f"configuration version {configuration_line['version']}, known for {age_s:.3f} s"
    else:
        yield "no configuration"
    store_line = _find_last(
        earlier_lines, lambda line: line["event"] in ("source.lost", "source.regained")
    )
    if store_line is not None:
        state = "unreachable" if store_line["event"] == "source.lost" else "reachable again"
        yield f"store {state} for {reference_line['time_s'] - store_line['time_s']:.3f} s"
    replica = reference_line.get("replica")
    if replica:
        replica_line = _find_last(
            earlier_lines,
            lambda line: line.get("replica") == replica and line["event"].startswith("view."),
        )
        if replica_line is not None:
            age_s = reference_line["time_s"] - replica_line["time_s"]
            change = (
                "draining"
                if replica_line.get("draining")
                else replica_line["event"].removeprefix("view.")
            )
            yield f"replica {replica}: {change}, entry known for {age_s:.3f} s"


def _find_last(lines: list[Line], matches: abc.Callable[[Line], bool]) -> Line | None:
    return next((line for line in reversed(lines) if matches(line)), None)


def describe(result: Trace) -> abc.Iterator[str]:
    """Format a trace as text: its lines (the deciding one marked with *), outcome, cause, state."""
    for line in result.lines:
        details = " ".join(
            f"{key}={value}"
            for key, value in line.items()
            if key not in _HEADER_FIELDS and value != []
        )
        mark = "*" if line is result.deciding_line else " "
        yield f"{mark} {line['time_s']:.4f} {line['instance']} {line['event']} {details}"
    yield f"outcome: {result.outcome}"
    yield f"cause: {result.cause}"
    for fact in result.known_state:
        yield f"known: {fact}"
