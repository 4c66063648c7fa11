"""Reconstruct how a request ended, and why, from the decision logs of all instances."""

from __future__ import annotations

import json
import typing
from collections import abc

import attrs

Line = dict[str, typing.Any]

_FINAL_EVENTS = ("query.answered", "query.partial", "query.refused", "query.failed")
_HEADER_FIELDS = ("time_s", "instance", "event", "request")


@attrs.frozen
class Trace:
    """What the decision logs say about one request."""

    lines: tuple[Line, ...]
    """The lines that name the request, from all instances, by time."""
    outcome: str
    cause: str
    deciding: Line | None
    """The line that the cause is taken from."""
    known_state: tuple[str, ...]
    """What the deciding instance knew at that time, and how old that knowledge was."""


def parse(texts: abc.Iterable[str]) -> list[Line]:
    """Parse the decision lines, sorted by time; text before the JSON object is ignored."""
    lines = []
    for text in texts:
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
    ending = next(
        (line for line in reversed(request_lines) if line["event"] in _FINAL_EVENTS), None
    )
    if ending is not None:
        outcome, cause, deciding = _explain_ending(request_lines, ending)
    elif any(line["event"] == "query.caller_left" for line in request_lines):
        deciding = next(line for line in request_lines if line["event"] == "query.caller_left")
        outcome, cause = "cancelled", f"the caller left after {deciding['age_ms']} ms"
    else:
        outcome, cause, deciding = _explain_missing_ending(lines, request_lines)
    reference = deciding or request_lines[-1]
    return Trace(
        request_lines, outcome, cause, deciding, tuple(_describe_known_state(lines, reference))
    )


def _explain_ending(request_lines: tuple[Line, ...], ending: Line) -> tuple[str, str, Line]:
    outcome = ending["event"].removeprefix("query.")
    if outcome == "answered":
        return outcome, "none: answered in full", ending
    failures = [line for line in request_lines if line["event"] in ("send.failed", "handover.lost")]
    reason = ending.get("reason") or ""
    causes = [
        f"{line.get('replica') or line.get('peer')} of {line.get('service', 'a batch')}: "
        f"{line['reason']} after {line['age_ms']} ms"
        for line in failures
    ]
    cause = "; ".join([reason, *causes])
    deciding = failures[-1] if failures and outcome != "refused" else ending
    return outcome, cause, deciding


def _explain_missing_ending(
    lines: abc.Sequence[Line], request_lines: tuple[Line, ...]
) -> tuple[str, str, Line]:
    """
    Explain a request without an ending from the later lines of its last instance.

    An instance that shuts down cleanly logs ``instance.stopped``; a new start without that line
    means that its process was lost.
    """
    last = request_lines[-1]
    later = [
        line
        for line in lines
        if line["instance"] == last["instance"] and line["time_s"] > last["time_s"]
    ]
    stopped = next((line for line in later if line["event"] == "instance.stopped"), None)
    started = next((line for line in later if line["event"] == "instance.starting"), None)
    if stopped is not None and (started is None or stopped["time_s"] < started["time_s"]):
        return "cut", f"{last['instance']} stopped with the request in flight", stopped
    if started is not None:
        return "cut", f"{last['instance']} was lost: it restarted without logging a stop", started
    if not later:
        return "cut", f"{last['instance']} was lost: it logged nothing after this line", last
    return "open", "no ending was logged: suppressed, or still in flight", last


def _describe_known_state(lines: abc.Sequence[Line], reference: Line) -> abc.Iterator[str]:
    """Describe the configuration, store and replica as the instance knew them at that line."""
    before = [
        line
        for line in lines
        if line["instance"] == reference["instance"] and line["time_s"] <= reference["time_s"]
    ]
    configuration = _find_last(before, lambda line: line["event"] == "view.configuration")
    if configuration is not None:
        age_s = reference["time_s"] - configuration["time_s"]
        yield f"configuration version {configuration['version']}, known for {age_s:.3f} s"
    else:
        yield "no configuration"
    source = _find_last(before, lambda line: line["event"] in ("source.lost", "source.regained"))
    if source is not None:
        state = "unreachable" if source["event"] == "source.lost" else "reachable again"
        yield f"store {state} for {reference['time_s'] - source['time_s']:.3f} s"
    replica = reference.get("replica")
    if replica:
        entry = _find_last(
            before,
            lambda line: line.get("replica") == replica and line["event"].startswith("view."),
        )
        if entry is not None:
            age_s = reference["time_s"] - entry["time_s"]
            change = "draining" if entry.get("draining") else entry["event"].removeprefix("view.")
            yield f"replica {replica}: {change}, entry known for {age_s:.3f} s"


def _find_last(lines: list[Line], matches: abc.Callable[[Line], bool]) -> Line | None:
    return next((line for line in reversed(lines) if matches(line)), None)


def describe(result: Trace) -> abc.Iterator[str]:
    """Format a trace as text: its lines, then outcome, cause and known state."""
    for line in result.lines:
        details = " ".join(
            f"{key}={value}"
            for key, value in line.items()
            if key not in _HEADER_FIELDS and value != []
        )
        mark = "*" if line is result.deciding else " "
        yield f"{mark} {line['time_s']:.4f} {line['instance']} {line['event']} {details}"
    yield f"outcome: {result.outcome}"
    yield f"cause: {result.cause}"
    for fact in result.known_state:
        yield f"known: {fact}"
