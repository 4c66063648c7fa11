from __future__ import annotations

import pathlib
import re
import socket

from turmericlug.telemetry import counters

ROOT = pathlib.Path(__file__).parents[2]
USE = re.compile(r"(?:add|time_ms|gauge)\(\s*f?\"([^\"]+)\"")
TOTALS = re.compile(r"totals\[\"([^\"]+)\"\]")


def used():
    names = set()
    for path in (ROOT / "src" / "turmericlug").rglob("*.py"):
        text = path.read_text()
        names |= {re.sub(r"\{.*", "*", name) for name in USE.findall(text)}
        names |= set(TOTALS.findall(text))
    # Without a dot, the match is not a metric name: add() and gauge() have other uses, too.
    return {name for name in names if "." in name}


def test_every_metric_is_in_the_list_of_names():
    wildcards = {name[:-1] for name in counters.NAMES if name.endswith("*")}
    for name in used():
        known = name in counters.NAMES or any(
            name.startswith(each) or each.startswith(name.rstrip("*")) for each in wildcards
        )
        assert known, f"{name} is not in counters.NAMES"


def test_reference_page_lists_every_metric():
    text = (ROOT / "docs" / "reference-metrics.md").read_text()
    listed = set(re.findall(r"^\| `([a-z_.*]+)` \|", text, re.MULTILINE))
    assert listed == set(counters.NAMES)


def test_metrics_are_sent_to_statsd():
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind(("127.0.0.1", 0))
    server.settimeout(5)
    metrics = counters.Counters("127.0.0.1", server.getsockname()[1], "t")
    metrics.add("query.complete", 2)
    metrics.time_ms("query.total_ms", 5.0)
    assert server.recv(100) == b"t.query.complete:2|c"
    assert server.recv(100).startswith(b"t.query.total_ms:5")
    assert metrics.totals["query.complete"] == 2
    assert metrics.timers_ms()["query.total_ms"]["count"] == 1
