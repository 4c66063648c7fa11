from __future__ import annotations

import pathlib
import re
import socket

import pytest

from turmericlug.telemetry import counters

ROOT = pathlib.Path(__file__).parents[2]
RECORDED_NAME = re.compile(r"(?:add|time_ms|gauge)\(\s*f?\"([^\"]+)\"")
TOTALS_KEY = re.compile(r"totals\[\"([^\"]+)\"\]")


def recorded_names():
    names = set()
    for path in (ROOT / "src" / "turmericlug").rglob("*.py"):
        text = path.read_text()
        names |= {re.sub(r"\{.*", "*", name) for name in RECORDED_NAME.findall(text)}
        names |= set(TOTALS_KEY.findall(text))
    # A match without a dot is not a metric: other classes have methods called add and gauge, too.
    return {name for name in names if "." in name}


def test_every_metric_is_in_the_list_of_names():
    prefixes = {name[:-1] for name in counters.DESCRIPTIONS if name.endswith("*")}
    for name in recorded_names():
        described = name in counters.DESCRIPTIONS or any(
            name.startswith(prefix) or prefix.startswith(name.rstrip("*")) for prefix in prefixes
        )
        assert described, f"{name} is not in counters.DESCRIPTIONS"


def test_reference_page_lists_every_metric():
    text = (ROOT / "docs" / "reference-metrics.md").read_text()
    listed = set(re.findall(r"^\| `([a-z_.*]+)` \|", text, re.MULTILINE))
    assert listed == set(counters.DESCRIPTIONS)


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


@pytest.mark.parametrize("family", ["owner.retry.", "query.failed.", "no_such_family."])
def test_names_from_outside_are_bounded(family):
    """Guards against metrics that grow with each new text that another process sends."""
    recorded = counters.Counters()
    recorded.add(family + "timeout")
    for number in range(10_000):
        recorded.add(f"{family}status_{number}")
    assert len(recorded.totals) <= counters.MAX_NAMES + 1
    assert recorded.totals[family + "timeout"] == 1
    assert sum(recorded.totals.values()) == 10_001


@pytest.mark.parametrize("reason", ["a\nb", "\udce4", "\u00e4", "x" * 8000, "\x00"], ids=repr)
def test_names_from_outside_are_short_text(reason):
    """Guards against a name that breaks the text of the metrics, or that can't be encoded."""
    recorded = counters.Counters()
    recorded.add(f"peer.rejected.{reason}")
    assert recorded.totals == {"peer.rejected.other": 1}
