"""From the id of a request to its cause, by the decision lines of all instances."""

from __future__ import annotations

import json
import typing
from collections import abc

import attrs

Line = dict[str, typing.Any]

_ENDINGS = ("query.answered", "query.partial", "query.refused", "query.failed")
_WALKED = ("time_s", "instance", "event", "request")


@attrs.frozen
class Trace:
    """What the lines say of one request."""

    lines: tuple[Line, ...]
    """Its own, over all instances, in order of time."""
    outcome: str
    cause: str
    deciding: Line | None
    """The line that names the cause."""
    known_state: tuple[str, ...]
    """What the instance that answered believed then, and how old that was."""


def parse(texts: abc.Iterable[str]) -> list[Line]:
    """Read the lines that are decisions, with anything before the JSON object dropped."""
    found = []
    for text in texts:
        start = text.find('{"time_s"')
        if start < 0:
            continue
        try:
            found.append(json.loads(text[start:]))
        except ValueError:
            # A line that was cut when its process ended.
            continue
    found.sort(key=lambda line: line["time_s"])
    return found


def trace(lines: abc.Sequence[Line], request: str) -> Trace:
    """
    Find out how a request ended and why.

    :param lines: of all instances, in order of time
    """
    own = tuple(line for line in lines if line.get("request") == request)
    if not own:
        return Trace((), "unknown", "no line names it: never read, or left out", None, ())
    ending = next((line for line in reversed(own) if line["event"] in _ENDINGS), None)
    if ending is not None:
        outcome, cause, deciding = _ended(own, ending)
    elif any(line["event"] == "query.caller_left" for line in own):
        deciding = next(line for line in own if line["event"] == "query.caller_left")
        outcome, cause = "cancelled", f"the caller left after {deciding['age_ms']} ms"
    else:
        outcome, cause, deciding = _cut(lines, own)
    at = deciding or own[-1]
    return Trace(own, outcome, cause, deciding, tuple(_beliefs(lines, at)))


def _ended(own: tuple[Line, ...], ending: Line) -> tuple[str, str, Line]:
    outcome = ending["event"].removeprefix("query.")
    if outcome == "answered":
        return outcome, "none: answered in full", ending
    failures = [line for line in own if line["event"] in ("send.failed", "handover.lost")]
    reason = ending.get("reason") or ""
    by_replica = [
        f"{line.get('replica') or line.get('peer')} of {line.get('service', 'a batch')}: "
        f"{line['reason']} after {line['age_ms']} ms"
        for line in failures
    ]
    cause = "; ".join([reason, *by_replica])
    deciding = failures[-1] if failures and outcome != "refused" else ending
    return outcome, cause, deciding


def _cut(lines: abc.Sequence[Line], own: tuple[Line, ...]) -> tuple[str, str, Line]:
    """An instance that ends in order says so; one that starts again without has been lost."""
    last = own[-1]
    later = [
        line
        for line in lines
        if line["instance"] == last["instance"] and line["time_s"] > last["time_s"]
    ]
    stopped = next((line for line in later if line["event"] == "instance.stopped"), None)
    started = next((line for line in later if line["event"] == "instance.starting"), None)
    if stopped is not None and (started is None or stopped["time_s"] < started["time_s"]):
        return "cut", f"{last['instance']} stopped with the request under way", stopped
    if started is not None:
        return "cut", f"{last['instance']} was lost: it started again without a stop", started
    if not later:
        return "cut", f"{last['instance']} was lost: it says nothing after this", last
    return "open", "no ending was logged: left out, or still under way", last


def _beliefs(lines: abc.Sequence[Line], at: Line) -> abc.Iterator[str]:
    """Tell the configuration, the source and the replicas as the instance knew them."""
    before = [
        line
        for line in lines
        if line["instance"] == at["instance"] and line["time_s"] <= at["time_s"]
    ]
    configuration = _last(before, lambda line: line["event"] == "view.configuration")
    if configuration is not None:
        age_s = at["time_s"] - configuration["time_s"]
        yield f"configuration version {configuration['version']}, known for {age_s:.3f} s"
    else:
        yield "no configuration"
    source = _last(before, lambda line: line["event"] in ("source.lost", "source.regained"))
    if source is not None:
        state = "not answering" if source["event"] == "source.lost" else "answering again"
        yield f"store {state} for {at['time_s'] - source['time_s']:.3f} s"
    replica = at.get("replica")
    if replica:
        entry = _last(
            before,
            lambda line: line.get("replica") == replica and line["event"].startswith("view."),
        )
        if entry is not None:
            age_s = at["time_s"] - entry["time_s"]
            what = "draining" if entry.get("draining") else entry["event"].removeprefix("view.")
            yield f"replica {replica}: {what}, entry known for {age_s:.3f} s"


def _last(lines: list[Line], matches: abc.Callable[[Line], bool]) -> Line | None:
    return next((line for line in reversed(lines) if matches(line)), None)


def describe(found: Trace) -> abc.Iterator[str]:
    """Write a trace as text: its lines, then outcome, cause and beliefs."""
    for line in found.lines:
        details = " ".join(
            f"{key}={value}" for key, value in line.items() if key not in _WALKED and value != []
        )
        mark = "*" if line is found.deciding else " "
        yield f"{mark} {line['time_s']:.4f} {line['instance']} {line['event']} {details}"
    yield f"outcome: {found.outcome}"
    yield f"cause: {found.cause}"
    for belief in found.known_state:
        yield f"believed: {belief}"
