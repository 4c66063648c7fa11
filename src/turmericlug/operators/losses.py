"""Which goals were missed and which requests were lost, when, on which route and why."""

from __future__ import annotations

import collections
import itertools
import re
import typing
from collections import abc

import attrs

from turmericlug.operators import trace

IN_TIME = "in time"
LATE = "late"
PARTIAL = "partial"
REFUSED = "refused"
FAILED = "failed"
LEFT = "caller left"
CUT = "cut off"
OUTCOMES = (IN_TIME, PARTIAL, LATE, REFUSED, FAILED, LEFT, CUT)
"""A partial answer in time is ``PARTIAL``; one after its goal is ``LATE``."""

_SHARD = re.compile(r"(?:^|; |: )[^:;()]+: ([^:;()]+?)(?::[^;(]*)? \(")
"""The word of each missing shard in a reason: ``s1: shed (i-1 ended 3+0 ms); s2: ...``."""


@attrs.frozen
class Ending:
    """How one request ended."""

    at_s: float
    route: str
    outcome: str
    cause: str
    """Empty for one that was answered in full and in time."""


@attrs.frozen
class Losses:
    """All endings that the lines tell of."""

    endings: tuple[Ending, ...]
    unlogged: int
    """Endings that were left out of the log, nearly all of them answers in full."""

    def by_route(self) -> dict[str, collections.Counter[str]]:
        """Count the outcomes of each route."""
        return _counted(self.endings, lambda ending: ending.route)

    def by_time(self, every_s: float) -> dict[float, collections.Counter[str]]:
        """Count the outcomes of each span of time, from the first ending on."""
        if not self.endings:
            return {}
        first_s = self.endings[0].at_s

        def begin_s(ending: Ending) -> float:
            return (ending.at_s - first_s) // every_s * every_s

        return _counted(self.endings, begin_s)

    def causes(self) -> collections.Counter[tuple[str, str, str]]:
        """Count the causes of what was not answered in full and in time: route, outcome, cause."""
        return collections.Counter(
            (each.route, each.outcome, each.cause)
            for each in self.endings
            if each.outcome != IN_TIME
        )


_Key = typing.TypeVar("_Key", str, float)


def _counted(
    endings: abc.Iterable[Ending], key: abc.Callable[[Ending], _Key]
) -> dict[_Key, collections.Counter[str]]:
    found: dict[_Key, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    for ending in endings:
        found[key(ending)][ending.outcome] += 1
    return dict(sorted(found.items()))


def losses(lines: abc.Sequence[trace.Line]) -> Losses:
    """
    Find out how all requests ended.

    :param lines: of all instances, in order of time
    """
    routes = {line["request"]: line["route"] for line in lines if line["event"] == "query.routed"}
    waited = {line["request"] for line in lines if line["event"] == "query.waited"}
    endings = []
    ended = set()
    unlogged = 0
    for line in lines:
        ending = _ending(line, routes, waited)
        if ending is None:
            continue
        endings.append(ending)
        ended.add(line.get("request"))
        unlogged += line.get("left_out_before", 0)
    endings += _cut_off(lines, ended)
    return Losses(tuple(sorted(endings, key=lambda ending: ending.at_s)), unlogged)


def _ending(
    line: trace.Line, routes: abc.Mapping[str, str], waited: abc.Container[str]
) -> Ending | None:
    route = line.get("route") or routes.get(line.get("request", ""), "unknown")
    reason = line.get("reason") or ""
    match line["event"]:
        case "query.answered" | "query.partial":
            outcome, cause = _answered(line, waited)
        case "query.refused":
            outcome, cause = REFUSED, reason.partition(":")[0]
        case "query.failed":
            outcome, cause = FAILED, cause_of(reason)
        case "query.caller_left":
            outcome, cause = LEFT, "left before its answer"
        case _:
            return None
    return Ending(line["time_s"], route, outcome, cause)


def _answered(line: trace.Line, waited: abc.Container[str]) -> tuple[str, str]:
    if line["duration_ms"] > line["goal_ms"]:
        if line.get("request") in waited:
            return LATE, "waited for its turn"
        return LATE, "sent again" if line["repeats"] else "slow part"
    if line["event"] == "query.partial":
        return PARTIAL, cause_of(line["reason"])
    return IN_TIME, ""


def cause_of(reason: str) -> str:
    """Return the most frequent cause of the shards that a reason names, or how it begins."""
    shards = collections.Counter(each.strip() for each in _SHARD.findall(reason))
    if shards:
        return shards.most_common(1)[0][0]
    return reason.partition(":")[0]


def _cut_off(lines: abc.Sequence[trace.Line], ended: abc.Container[str]) -> abc.Iterator[Ending]:
    """
    Find the requests that an instance had under way when it was lost.

    Endings of answered requests may be left out of the log, so that only those count which were
    still within their time at the last line before a start without a stop.
    """
    by_instance: dict[str, list[trace.Line]] = collections.defaultdict(list)
    for line in lines:
        by_instance[line["instance"]].append(line)
    for own in by_instance.values():
        starts = [n for n, line in enumerate(own) if line["event"] == "instance.starting"]
        for begin, end in itertools.pairwise([0, *starts]):
            life = own[begin:end]
            if not life or life[-1]["event"] == "instance.stopped":
                continue
            last_s = life[-1]["time_s"]
            for line in life:
                if line["event"] != "query.routed" or line["request"] in ended:
                    continue
                if line["time_s"] + line["left_ms"] / 1000 >= last_s:
                    yield Ending(line["time_s"], line["route"], CUT, "its instance was lost")


def describe(found: Losses, every_s: float, most_causes: int = 20) -> abc.Iterator[str]:
    """Write the losses as text: by route, by time, then the most frequent causes."""
    for title, table in (("route", found.by_route()), ("second", found.by_time(every_s))):
        yield f"{title:24}" + "".join(f"{each:>12}" for each in ("asked", *OUTCOMES))
        for key, counts in table.items():
            label = key if isinstance(key, str) else f"{key:.1f}"
            numbers = [counts.total(), *(counts[each] for each in OUTCOMES)]
            yield f"{label:24}" + "".join(f"{number:12}" for number in numbers)
        yield ""
    for (route, outcome, cause), count in found.causes().most_common(most_causes):
        yield f"{count:6}  {route:20} {outcome:12} {cause}"
    if found.unlogged:
        yield f"{found.unlogged} endings more were left out of the log, nearly all answers in full"
