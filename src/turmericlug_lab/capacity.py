"""Works out docs/CAPACITY.md's numbers at the target size from the measured slopes."""

from __future__ import annotations

import math
import typing

import attrs

Numbers = dict[str, typing.Any]

DAEMONS = 4700
REPLICAS = 26000
QUERIES_PER_S = 1.1e6
FAN_OUT = 500
DATA_CENTRES = 14
CHANGES_A_DAY = 4200
RESTARTS_A_DAY = 8800
FAILURES_A_DAY = 44
DAY_S = 86400.0
CPU_SHARE = 0.028
MEMORY_MB = 256.0
BYTES_PER_S = 15000.0
STORE_WRITES_PER_S = 400.0
STORE_READS_PER_S = 2000.0

REPLICAS_PER_SERVICE = 2
RULES_BYTES = 40_000
"""A document of some 200 rules with its latest edits."""
CATALOGUE_CHANGES = 0.1
"""Share of the changes that are of the catalogue."""
MEMBER_WIRE_BYTES = 120
NEWS_PER_MESSAGE = 48
TREE_WIDTH = 8
READERS_PER_DATA_CENTRE = 2
ADDRESS_LIFETIME_S = 10.0
CALLERS_PER_DAEMON = 1000


@attrs.frozen
class Line:
    """One row of the page."""

    role: str
    quantity: str
    value: str
    from_: str


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line by least squares; returns the value at 0 and the growth per unit."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    growth = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - growth * mean_x, growth


def _of(rows: list[Numbers], x: str, y: str) -> tuple[float, float]:
    return slope([(row[x], row[y]) for row in rows])


def work_out(measured: Numbers) -> list[Line]:
    """Compute every row of the page."""
    lines: list[Line] = []
    for part in (_query, _control, _news, _rules, _records, _addresses, _platform, _sum):
        lines += part(measured)
    return lines


def _query(measured: Numbers) -> list[Line]:
    rows = measured["query"]
    fixed, per_part = _of(rows, "fan_out", "coordinator_us")
    owner_fixed, owner_part = _of(rows, "fan_out", "owner_us")
    per_daemon = QUERIES_PER_S / DAEMONS
    coordinator = per_daemon * (fixed + per_part * FAN_OUT) / 1e6
    owner = per_daemon * FAN_OUT * owner_part / 1e6
    return [
        Line("coordinator", "queries/s per daemon", f"{per_daemon:.0f}", "1.1 million / 4,700"),
        Line("coordinator", "us per part", f"{per_part:.1f}", "fan-outs 20, 100, 500"),
        Line("coordinator", "cores per daemon", f"{coordinator:.1f}", "queries x 500 parts"),
        Line("owner", "parts/s per daemon", f"{per_daemon * FAN_OUT:.0f}", "queries x 500"),
        Line("owner", "us per part", f"{owner_part:.1f}", "fan-outs 20, 100, 500"),
        Line("owner", "cores per daemon", f"{owner:.1f}", "parts x us"),
    ]


def _idle(measured: Numbers) -> tuple[float, float, float]:
    """Extrapolate the control of an idle daemon to the target size: share, bytes/s, megabytes."""
    rows = measured["control"]
    large = [row for row in rows if row["daemons"] >= 18] or rows
    cpu = sum(row["cpu_share"] for row in large) / len(large)
    bytes_per_s = sum(row["bytes_per_s"] for row in large) / len(large)
    return cpu, bytes_per_s, rows[-1]["memory_mb"] + _state_mb(measured)


def _state_mb(measured: Numbers) -> float:
    """Return what the fleet's view and the catalogue take at the target size."""
    state = measured["state"]
    services = REPLICAS / REPLICAS_PER_SERVICE
    texts = 2 * services * state["catalogue_text_bytes_per_service"]
    return (
        DAEMONS * state["bytes_per_member"] + services * state["bytes_per_service"] + texts
    ) / 1e6


def _control(measured: Numbers) -> list[Line]:
    cpu, bytes_per_s, memory_mb = _idle(measured)
    _, growth = _of(measured["control"], "daemons", "cpu_share")
    detect = [row["detect_ms"] for row in measured["control"]]
    _, line_mb = _of(measured["control"], "daemons", "memory_mb")
    return [
        Line("membership", "share of a core, idle", f"{cpu:.4f}", "mean of 18 to 60 daemons"),
        Line("membership", "growth of it per daemon", f"{growth:.7f}", "3 to 60 daemons"),
        Line("membership", "bytes/s sent per daemon", f"{bytes_per_s:.0f}", "18 to 60 daemons"),
        Line("membership", "ms until all saw a death", f"{max(detect):.0f}", "most of 3 to 60"),
        Line(
            "membership",
            "bytes of the view per member",
            f"{measured['state']['bytes_per_member']}",
            "4,700 members in one process",
        ),
        Line(
            "membership",
            "MB per daemon",
            f"{memory_mb:.0f}",
            "60 daemons' + view + catalogue at the target size",
        ),
        Line(
            "membership",
            "MB per daemon if links grew on",
            f"{measured['control'][0]['memory_mb'] + line_mb * DAEMONS:.0f}",
            "line through 3 to 60: links, which stop growing at some 50",
        ),
    ]


def _frames_per_s(measured: Numbers) -> float:
    return max(row["frames_per_s"] for row in measured["control"])


def _times_told() -> int:
    """Return how often an instance tells each news, as members.py does."""
    return 3 * math.ceil(math.log2(DAEMONS + 1)) + 1


def _gossip_bytes_per_s() -> float:
    """Return what the news of an ordinary day cost a daemon."""
    news_per_s = (RESTARTS_A_DAY * 3 + FAILURES_A_DAY * 2) / DAY_S
    return news_per_s * _times_told() * MEMBER_WIRE_BYTES


def _news(measured: Numbers) -> list[Line]:
    told = _times_told()
    bytes_per_s = _gossip_bytes_per_s()
    frames_per_s = _frames_per_s(measured)
    rooms_per_s = frames_per_s * (NEWS_PER_MESSAGE - 1)
    centre = DAEMONS / DATA_CENTRES * 2
    return [
        Line("gossip", "times each news is told", f"{told}", "3 log2(4,701) + 1"),
        Line(
            "gossip", "bytes/s, ordinary day", f"{bytes_per_s:.0f}", "8,800 restarts, 44 failures"
        ),
        Line(
            "gossip",
            "s until a lost data centre is told through",
            f"{centre * told / rooms_per_s:.0f}",
            "news x times / room in messages",
        ),
    ]


def _document_bytes(measured: Numbers) -> tuple[float, float]:
    services = REPLICAS / REPLICAS_PER_SERVICE
    return RULES_BYTES, services * measured["state"]["catalogue_text_bytes_per_service"]


def _mean_document_bytes(measured: Numbers) -> float:
    """Return the size of the document that a change sends, on average."""
    rules, catalogue = _document_bytes(measured)
    return rules * (1 - CATALOGUE_CHANGES) + catalogue * CATALOGUE_CHANGES


def _rules(measured: Numbers) -> list[Line]:
    _, catalogue = _document_bytes(measured)
    mean = _mean_document_bytes(measured)
    per_s = CHANGES_A_DAY / DAY_S
    depth = math.ceil(math.log(DAEMONS, TREE_WIDTH))
    largest = measured["control"][-1]
    step_ms = max(largest["accept_ms"]) / max(
        1, math.ceil(math.log(largest["daemons"], TREE_WIDTH))
    )
    return [
        Line("rules", "bytes/s per daemon, received", f"{per_s * mean:.0f}", "changes x document"),
        Line(
            "rules",
            "bytes/s per daemon, sent (mean)",
            f"{per_s * mean:.0f}",
            "each daemon is sent to once per change",
        ),
        Line(
            "rules",
            "KB sent by an inner node per change of the catalogue",
            f"{catalogue * TREE_WIDTH / 1000:.0f}",
            "8 children",
        ),
        Line("rules", "levels of the tree", f"{depth}", "log8(4,700), rounded up"),
        Line(
            "rules",
            "ms until accepted",
            f"{step_ms * depth + depth * 80:.0f}",
            "slowest step at the largest fleet, 80 ms a level between regions",
        ),
        Line("rules", "KB of the catalogue", f"{catalogue / 1000:.0f}", "13,000 services"),
    ]


def _records(measured: Numbers) -> list[Line]:
    best = measured["records"][-1]
    carried = STORE_WRITES_PER_S / best["writes_per_request"]
    entry_bytes = measured["state"]["bytes_per_record"]
    in_memory = 16 * MEMORY_MB / 2 * 1e6 / entry_bytes / DAY_S
    return [
        Line(
            "records",
            "store writes per request",
            f"{best['writes_per_request']:.3f}",
            f"{best['concurrent']} under way",
        ),
        Line(
            "records", "requests/s by the store's writes", f"{carried:.0f}", "400 writes a second"
        ),
        Line(
            "records",
            "requests/s by memory",
            f"{in_memory:.0f}",
            f"16 buckets, half of 256 MB each, {entry_bytes} bytes, kept a day",
        ),
    ]


def _addresses(measured: Numbers) -> list[Line]:
    asks = CALLERS_PER_DAEMON / ADDRESS_LIFETIME_S
    share = asks * measured["addresses"]["cpu_us"] / 1e6
    return [
        Line("addresses", "us per question, 9 daemons", f"{measured['addresses']['cpu_us']}", "-"),
        Line(
            "addresses",
            "share of a core",
            f"{share:.4f}",
            "1,000 callers per daemon, lifetime 10 s, at 9 daemons' cost",
        ),
    ]


def _platform(measured: Numbers) -> list[Line]:
    readers = DATA_CENTRES * READERS_PER_DATA_CENTRE
    services = REPLICAS / REPLICAS_PER_SERVICE
    return [
        Line("platform", "store reads/s", f"{readers}", "2 readers a data centre, one a second"),
        Line("platform", "waiting watches", f"{readers}", "one per reader"),
        Line(
            "platform",
            "store writes/s, configuration",
            f"{CHANGES_A_DAY / DAY_S:.3f}",
            "one per change",
        ),
        Line(
            "platform",
            "instance list reads/s",
            f"{services / 5:.0f}",
            "13,000 services, instances_poll_ms = 5000",
        ),
    ]


def _sum(measured: Numbers) -> list[Line]:
    cpu, bytes_per_s, memory_mb = _idle(measured)
    mean = _mean_document_bytes(measured)
    gossip = _gossip_bytes_per_s()
    service_rows = measured["services"]
    _, per_service = _of(service_rows, "services", "cpu_share")
    owned = REPLICAS / REPLICAS_PER_SERVICE / DAEMONS
    share = cpu + per_service * owned
    total_bytes = bytes_per_s + gossip + 2 * CHANGES_A_DAY / DAY_S * mean
    return [
        Line(
            "sum",
            "share of a core for control",
            f"{share:.4f} of {CPU_SHARE}",
            "idle + services owned",
        ),
        Line(
            "sum",
            "bytes/s for control",
            f"{total_bytes:.0f} of {BYTES_PER_S:.0f}",
            "probes + gossip + documents in and out",
        ),
        Line("sum", "MB per daemon", f"{memory_mb:.0f} of {MEMORY_MB:.0f}", "as above"),
    ]


def table(measured: Numbers) -> str:
    """Write the rows as the page's table."""
    head = "| role | quantity at the target size | value | from |\n|---|---|---|---|\n"
    return head + "".join(
        f"| {line.role} | {line.quantity} | {line.value} | {line.from_} |\n"
        for line in work_out(measured)
    )
