"""Computes the table of docs/CAPACITY.md: costs at the target size, from measured slopes."""

from __future__ import annotations

import math
import typing

import attrs

Measurements = dict[str, typing.Any]

DAEMONS = 4700
REPLICAS = 26000
QUERIES_PER_S = 1.1e6
FAN_OUT = 500
DATA_CENTRES = 14
CHANGES_PER_DAY = 4200
RESTARTS_PER_DAY = 8800
FAILURES_PER_DAY = 44
SECONDS_PER_DAY = 86400.0
CPU_SHARE_LIMIT = 0.028
MEMORY_LIMIT_MB = 256.0
BYTES_PER_S_LIMIT = 15000.0
STORE_WRITES_PER_S_LIMIT = 400.0
STORE_READS_PER_S_LIMIT = 2000.0

REPLICAS_PER_SERVICE = 2
RULES_DOCUMENT_BYTES = 40_000
"""Size of a rules document with about 200 rules and its latest edits."""
CATALOGUE_CHANGE_SHARE = 0.1
"""Share of the changes that change the catalogue; the others change rules."""
UPDATE_WIRE_BYTES = 120
MAX_UPDATES_PER_MESSAGE = 48
TREE_BRANCHING = 8
READERS_PER_DATA_CENTRE = 2
ADDRESS_LIFETIME_S = 10.0
CALLERS_PER_DAEMON = 1000


@attrs.frozen
class Row:
    """One row of the table; ``basis`` says what the value is computed from."""

    role: str
    quantity: str
    value: str
    basis: str


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line by least squares; returns the value at 0 and the slope."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
        if sum_of_squares
        else 0.0
    )
    return mean_y - slope * mean_x, slope


def _fit_columns(rows: list[Measurements], x_key: str, y_key: str) -> tuple[float, float]:
    return fit_line([(row[x_key], row[y_key]) for row in rows])


def compute_rows(measurements: Measurements) -> list[Row]:
    """Compute every row of the table."""
    table_rows: list[Row] = []
    for section in (
        _query_rows,
        _membership_rows,
        _gossip_rows,
        _rules_rows,
        _records_rows,
        _addresses_rows,
        _platform_rows,
        _total_rows,
    ):
        table_rows += section(measurements)
    return table_rows


def _query_rows(measurements: Measurements) -> list[Row]:
    rows = measurements["query"]
    fixed_us, us_per_part = _fit_columns(rows, "fan_out", "coordinator_us")
    owner_fixed_us, owner_us_per_part = _fit_columns(rows, "fan_out", "owner_us")
    queries_per_s = QUERIES_PER_S / DAEMONS
    coordinator_cores = queries_per_s * (fixed_us + us_per_part * FAN_OUT) / 1e6
    owner_cores = queries_per_s * FAN_OUT * owner_us_per_part / 1e6
    return [
        Row("coordinator", "queries/s per daemon", f"{queries_per_s:.0f}", "1.1 million / 4,700"),
        Row("coordinator", "us per part", f"{us_per_part:.1f}", "fan-outs 20, 100, 500"),
        Row("coordinator", "cores per daemon", f"{coordinator_cores:.1f}", "queries x 500 parts"),
        Row("owner", "parts/s per daemon", f"{queries_per_s * FAN_OUT:.0f}", "queries x 500"),
        Row("owner", "us per part", f"{owner_us_per_part:.1f}", "fan-outs 20, 100, 500"),
        Row("owner", "cores per daemon", f"{owner_cores:.1f}", "parts x us"),
    ]


def _idle_cost(measurements: Measurements) -> tuple[float, float, float]:
    """Return an idle daemon's control cost at the target size: share of a core, bytes/s, MB."""
    rows = measurements["control"]
    large_fleets = [row for row in rows if row["daemons"] >= 18] or rows
    cpu_share = sum(row["cpu_share"] for row in large_fleets) / len(large_fleets)
    bytes_per_s = sum(row["bytes_per_s"] for row in large_fleets) / len(large_fleets)
    return cpu_share, bytes_per_s, rows[-1]["memory_mb"] + _view_and_catalogue_mb(measurements)


def _view_and_catalogue_mb(measurements: Measurements) -> float:
    """Return the memory of the membership view and the catalogue at the target size."""
    state = measurements["state"]
    service_count = REPLICAS / REPLICAS_PER_SERVICE
    catalogue_text_bytes = 2 * service_count * state["catalogue_text_bytes_per_service"]
    return (
        DAEMONS * state["bytes_per_member"]
        + service_count * state["bytes_per_service"]
        + catalogue_text_bytes
    ) / 1e6


def _membership_rows(measurements: Measurements) -> list[Row]:
    cpu_share, bytes_per_s, memory_mb = _idle_cost(measurements)
    _, cpu_share_per_daemon = _fit_columns(measurements["control"], "daemons", "cpu_share")
    detect_ms = [row["detect_ms"] for row in measurements["control"]]
    _, mb_per_daemon = _fit_columns(measurements["control"], "daemons", "memory_mb")
    return [
        Row("membership", "share of a core, idle", f"{cpu_share:.4f}", "mean of 18 to 60 daemons"),
        Row(
            "membership",
            "growth of it per daemon",
            f"{cpu_share_per_daemon:.7f}",
            "3 to 60 daemons",
        ),
        Row("membership", "bytes/s sent per daemon", f"{bytes_per_s:.0f}", "18 to 60 daemons"),
        Row("membership", "ms until all saw a death", f"{max(detect_ms):.0f}", "most of 3 to 60"),
        Row(
            "membership",
            "bytes of the view per member",
            f"{measurements['state']['bytes_per_member']}",
            "4,700 members in one process",
        ),
        Row(
            "membership",
            "MB per daemon",
            f"{memory_mb:.0f}",
            "60 daemons' + view + catalogue at the target size",
        ),
        Row(
            "membership",
            "MB per daemon if links grew on",
            f"{measurements['control'][0]['memory_mb'] + mb_per_daemon * DAEMONS:.0f}",
            "line through 3 to 60: links, which stop growing at some 50",
        ),
    ]


def _max_frames_per_s(measurements: Measurements) -> float:
    return max(row["frames_per_s"] for row in measurements["control"])


def _transmissions_per_update() -> int:
    """Return how often an instance sends each gossip update; the formula is that of members.py."""
    return 3 * math.ceil(math.log2(DAEMONS + 1)) + 1


def _gossip_bytes_per_s() -> float:
    """Return the gossip traffic of one daemon on an ordinary day."""
    updates_per_s = (RESTARTS_PER_DAY * 3 + FAILURES_PER_DAY * 2) / SECONDS_PER_DAY
    return updates_per_s * _transmissions_per_update() * UPDATE_WIRE_BYTES


def _gossip_rows(measurements: Measurements) -> list[Row]:
    transmissions = _transmissions_per_update()
    bytes_per_s = _gossip_bytes_per_s()
    frames_per_s = _max_frames_per_s(measurements)
    spare_updates_per_s = frames_per_s * (MAX_UPDATES_PER_MESSAGE - 1)
    updates_of_data_centre = DAEMONS / DATA_CENTRES * 2
    return [
        Row("gossip", "times each news is told", f"{transmissions}", "3 log2(4,701) + 1"),
        Row("gossip", "bytes/s, ordinary day", f"{bytes_per_s:.0f}", "8,800 restarts, 44 failures"),
        Row(
            "gossip",
            "s until a lost data centre is told through",
            f"{updates_of_data_centre * transmissions / spare_updates_per_s:.0f}",
            "news x times / room in messages",
        ),
    ]


def _document_sizes(measurements: Measurements) -> tuple[float, float]:
    service_count = REPLICAS / REPLICAS_PER_SERVICE
    return (
        RULES_DOCUMENT_BYTES,
        service_count * measurements["state"]["catalogue_text_bytes_per_service"],
    )


def _mean_document_bytes(measurements: Measurements) -> float:
    """Return the mean size of the document that a change distributes."""
    rules_bytes, catalogue_bytes = _document_sizes(measurements)
    return rules_bytes * (1 - CATALOGUE_CHANGE_SHARE) + catalogue_bytes * CATALOGUE_CHANGE_SHARE


def _rules_rows(measurements: Measurements) -> list[Row]:
    _, catalogue_bytes = _document_sizes(measurements)
    mean_bytes = _mean_document_bytes(measurements)
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    levels = math.ceil(math.log(DAEMONS, TREE_BRANCHING))
    largest_fleet = measurements["control"][-1]
    level_ms = max(largest_fleet["accept_ms"]) / max(
        1, math.ceil(math.log(largest_fleet["daemons"], TREE_BRANCHING))
    )
    return [
        Row(
            "rules",
            "bytes/s per daemon, received",
            f"{changes_per_s * mean_bytes:.0f}",
            "changes x document",
        ),
        Row(
            "rules",
            "bytes/s per daemon, sent (mean)",
            f"{changes_per_s * mean_bytes:.0f}",
            "each daemon is sent to once per change",
        ),
        Row(
            "rules",
            "KB sent by an inner node per change of the catalogue",
            f"{catalogue_bytes * TREE_BRANCHING / 1000:.0f}",
            "8 children",
        ),
        Row("rules", "levels of the tree", f"{levels}", "log8(4,700), rounded up"),
        Row(
            "rules",
            "ms until accepted",
            f"{level_ms * levels + levels * 80:.0f}",
            "slowest step at the largest fleet, 80 ms a level between regions",
        ),
        Row("rules", "KB of the catalogue", f"{catalogue_bytes / 1000:.0f}", "13,000 services"),
    ]


def _records_rows(measurements: Measurements) -> list[Row]:
    most_concurrent = measurements["records"][-1]
    requests_per_s_by_writes = STORE_WRITES_PER_S_LIMIT / most_concurrent["writes_per_request"]
    record_bytes = measurements["state"]["bytes_per_record"]
    requests_per_s_by_memory = 16 * MEMORY_LIMIT_MB / 2 * 1e6 / record_bytes / SECONDS_PER_DAY
    return [
        Row(
            "records",
            "store writes per request",
            f"{most_concurrent['writes_per_request']:.3f}",
            f"{most_concurrent['concurrent']} under way",
        ),
        Row(
            "records",
            "requests/s by the store's writes",
            f"{requests_per_s_by_writes:.0f}",
            "400 writes a second",
        ),
        Row(
            "records",
            "requests/s by memory",
            f"{requests_per_s_by_memory:.0f}",
            f"16 buckets, half of 256 MB each, {record_bytes} bytes, kept a day",
        ),
    ]


def _addresses_rows(measurements: Measurements) -> list[Row]:
    lookups_per_s = CALLERS_PER_DAEMON / ADDRESS_LIFETIME_S
    cpu_share = lookups_per_s * measurements["addresses"]["cpu_us"] / 1e6
    return [
        Row(
            "addresses", "us per question, 9 daemons", f"{measurements['addresses']['cpu_us']}", "-"
        ),
        Row(
            "addresses",
            "share of a core",
            f"{cpu_share:.4f}",
            "1,000 callers per daemon, lifetime 10 s, at 9 daemons' cost",
        ),
    ]


def _platform_rows(measurements: Measurements) -> list[Row]:
    readers = DATA_CENTRES * READERS_PER_DATA_CENTRE
    service_count = REPLICAS / REPLICAS_PER_SERVICE
    return [
        Row("platform", "store reads/s", f"{readers}", "2 readers a data centre, one a second"),
        Row("platform", "waiting watches", f"{readers}", "one per reader"),
        Row(
            "platform",
            "store writes/s, configuration",
            f"{CHANGES_PER_DAY / SECONDS_PER_DAY:.3f}",
            "one per change",
        ),
        Row(
            "platform",
            "instance list reads/s",
            f"{service_count / 5:.0f}",
            "13,000 services, instances_poll_ms = 5000",
        ),
    ]


def _total_rows(measurements: Measurements) -> list[Row]:
    cpu_share, bytes_per_s, memory_mb = _idle_cost(measurements)
    mean_document_bytes = _mean_document_bytes(measurements)
    gossip_bytes_per_s = _gossip_bytes_per_s()
    service_measurements = measurements["services"]
    _, cpu_share_per_service = _fit_columns(service_measurements, "services", "cpu_share")
    services_per_daemon = REPLICAS / REPLICAS_PER_SERVICE / DAEMONS
    total_cpu_share = cpu_share + cpu_share_per_service * services_per_daemon
    total_bytes_per_s = (
        bytes_per_s
        + gossip_bytes_per_s
        + 2 * CHANGES_PER_DAY / SECONDS_PER_DAY * mean_document_bytes
    )
    return [
        Row(
            "sum",
            "share of a core for control",
            f"{total_cpu_share:.4f} of {CPU_SHARE_LIMIT}",
            "idle + services owned",
        ),
        Row(
            "sum",
            "bytes/s for control",
            f"{total_bytes_per_s:.0f} of {BYTES_PER_S_LIMIT:.0f}",
            "probes + gossip + documents in and out",
        ),
        Row("sum", "MB per daemon", f"{memory_mb:.0f} of {MEMORY_LIMIT_MB:.0f}", "as above"),
    ]


def table(measurements: Measurements) -> str:
    """Return the rows as a Markdown table."""
    header = "| role | quantity at the target size | value | from |\n|---|---|---|---|\n"
    return header + "".join(
        f"| {row.role} | {row.quantity} | {row.value} | {row.basis} |\n"
        for row in compute_rows(measurements)
    )
