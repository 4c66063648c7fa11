"""Count the requests that missed their latency goal or were lost, by route, time and cause."""

from __future__ import annotations

import collections
import itertools
import re
import typing
from collections import abc

import attrs

from turmericlug.operators import reasons
from turmericlug.operators import trace

IN_TIME = "in time"
LATE = "late"
PARTIAL = "partial"
REFUSED = "refused"
REJECTED = "rejected"
"""Sent without a valid API key."""
FAILED = "failed"
CALLER_LEFT = "caller left"
CUT = "cut off"
OUTCOMES = (IN_TIME, PARTIAL, LATE, REFUSED, REJECTED, FAILED, CALLER_LEFT, CUT)
"""A partial answer within the latency goal is ``PARTIAL``; one after the goal is ``LATE``."""

MAX_ORGANISATIONS = 20
OTHERS = "(all others)"

_SHARD_CAUSE = re.compile(r"(?:^|; |: )[^:;()]+: ([^:;()]+?)(?::[^;(]*)? \(")
"""Finds the cause per missing shard in a reason like ``s1: shed (i-1 ended 3+0 ms); s2: ...``."""


@attrs.frozen
class Ending:
    """How one request ended."""

    at_s: float
    route: str
    outcome: str
    cause: str
    """Empty if the request was answered in full and in time."""
    organisation: str = ""
    """Empty if the request needs none or the log does not tell."""


@attrs.frozen
class Losses:
    """How all requests in the decision logs ended, including those that were not lost."""

    endings: tuple[Ending, ...]
    unlogged: int
    """Endings that the log's rate limit suppressed, nearly all of them complete answers."""

    def by_route(self) -> dict[str, collections.Counter[str]]:
        """Count the outcomes by route."""
        return _count_outcomes(self.endings, lambda ending: ending.route)

    def by_organisation(self) -> dict[str, collections.Counter[str]]:
        """Count the outcomes of the organisations that lost most, and of all others together."""
        endings = [ending for ending in self.endings if ending.organisation]
        lost = collections.Counter(
            ending.organisation for ending in endings if ending.outcome != IN_TIME
        )
        shown = {name for name, _ in lost.most_common(MAX_ORGANISATIONS)}
        return _count_outcomes(
            endings,
            lambda ending: ending.organisation if ending.organisation in shown else OTHERS,
        )

    def by_time(self, interval_s: float) -> dict[float, collections.Counter[str]]:
        """Count the outcomes by time interval, starting at the first ending."""
        if not self.endings:
            return {}
        first_ending_s = self.endings[0].at_s

        def interval_start_s(ending: Ending) -> float:
            return (ending.at_s - first_ending_s) // interval_s * interval_s

        return _count_outcomes(self.endings, interval_start_s)

    def causes(self) -> collections.Counter[tuple[str, str, str]]:
        """Count (route, outcome, cause) of the requests not answered in full and in time."""
        return collections.Counter(
            (ending.route, ending.outcome, ending.cause)
            for ending in self.endings
            if ending.outcome != IN_TIME
        )


_Key = typing.TypeVar("_Key", str, float)


def _count_outcomes(
    endings: abc.Iterable[Ending], key: abc.Callable[[Ending], _Key]
) -> dict[_Key, collections.Counter[str]]:
    counts: dict[_Key, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    for ending in endings:
        counts[key(ending)][ending.outcome] += 1
    return dict(sorted(counts.items()))


def losses(lines: abc.Sequence[trace.Line]) -> Losses:
    """
    Determine how all requests ended.

    :param lines: the decision lines of all instances, sorted by time
    """
    routed = {line["request"]: line for line in lines if line["event"] == "query.routed"}
    queued_requests = {line["request"] for line in lines if line["event"] == "query.waited"}
    endings = []
    ended_requests = set()
    unlogged = 0
    for line in lines:
        ending = _parse_ending(line, routed, queued_requests)
        if ending is None:
            continue
        endings.append(ending)
        ended_requests.add(line.get("request"))
        unlogged += line.get("left_out_before", 0)
    endings += _find_cut_off_requests(lines, ended_requests)
    return Losses(tuple(sorted(endings, key=lambda ending: ending.at_s)), unlogged)


def _parse_ending(
    line: trace.Line, routed: abc.Mapping[str, trace.Line], queued_requests: abc.Container[str]
) -> Ending | None:
    routed_line = routed.get(line.get("request", ""), {})
    route = line.get("route") or routed_line.get("route", "unknown")
    reason = line.get("reason") or ""
    match line["event"]:
        case "query.answered" | "query.partial":
            outcome, cause = _classify_answer(line, queued_requests)
        case "query.refused":
            outcome, cause = REFUSED, reasons.text(reason.partition(":")[0])
        case "query.unauthorised":
            outcome, cause = REJECTED, reasons.text(reason)
        case "query.failed":
            outcome, cause = FAILED, cause_of(reason)
        case "query.caller_left":
            outcome, cause = CALLER_LEFT, "disconnected before its answer"
        case _:
            return None
    organisation = routed_line.get("organisation") or ""
    return Ending(line["time_s"], route, outcome, cause, organisation)


def _classify_answer(line: trace.Line, queued_requests: abc.Container[str]) -> tuple[str, str]:
    if line["duration_ms"] > line["goal_ms"]:
        if line.get("request") in queued_requests:
            return LATE, "queued during slow start"
        return LATE, "retried" if line["repeats"] else "slow part"
    if line["event"] == "query.partial":
        return PARTIAL, cause_of(line["reason"])
    return IN_TIME, ""


def cause_of(reason: str) -> str:
    """Return the most frequent cause of a reason's shards; without any, its text up to a colon."""
    shard_causes = collections.Counter(cause.strip() for cause in _SHARD_CAUSE.findall(reason))
    if shard_causes:
        return shard_causes.most_common(1)[0][0]
    return reason.partition(":")[0]


def _find_cut_off_requests(
    lines: abc.Sequence[trace.Line], ended_requests: abc.Container[str]
) -> abc.Iterator[Ending]:
    """
    Find the requests that an instance had in flight when its process was lost.

    The log may suppress the endings of answered requests. A request without an ending therefore
    counts only if its instance restarted without logging a stop, and the request's deadline had not
    passed at the last line before the restart.
    """
    by_instance: dict[str, list[trace.Line]] = collections.defaultdict(list)
    for line in lines:
        by_instance[line["instance"]].append(line)
    for instance_lines in by_instance.values():
        start_indexes = [
            index
            for index, line in enumerate(instance_lines)
            if line["event"] == "instance.starting"
        ]
        for first, next_start in itertools.pairwise([0, *start_indexes]):
            process_lines = instance_lines[first:next_start]
            if not process_lines or process_lines[-1]["event"] == "instance.stopped":
                continue
            last_line_s = process_lines[-1]["time_s"]
            for line in process_lines:
                if line["event"] != "query.routed" or line["request"] in ended_requests:
                    continue
                if line["time_s"] + line["left_ms"] / 1000 >= last_line_s:
                    cause, organisation = "its instance was lost", line.get("organisation") or ""
                    yield Ending(line["time_s"], line["route"], CUT, cause, organisation)


def describe(result: Losses, interval_s: float, max_causes: int = 20) -> abc.Iterator[str]:
    """Format the losses as text: by route, organisation and time, then the most frequent causes."""
    tables = (
        ("route", result.by_route()),
        ("organisation", result.by_organisation()),
        ("second", result.by_time(interval_s)),
    )
    for title, table in tables:
        if not table:
            continue
        yield f"{title:24}" + "".join(f"{column:>12}" for column in ("asked", *OUTCOMES))
        for key, counts in table.items():
            label = key if isinstance(key, str) else f"{key:.1f}"
            cells = [counts.total(), *(counts[outcome] for outcome in OUTCOMES)]
            yield f"{label:24}" + "".join(f"{cell:12}" for cell in cells)
        yield ""
    for (route, outcome, cause), count in result.causes().most_common(max_causes):
        yield f"{count:6}  {route:20} {outcome:12} {cause}"
    if result.unlogged:
        yield f"{result.unlogged} endings more were not logged, nearly all complete answers"
