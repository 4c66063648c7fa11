"""Run the known failures in KNOWN-RED.txt and report them without failing the test run."""

from __future__ import annotations

import pathlib

import pytest

KNOWN_FAILURES_FILE = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "


def known_failures():
    """Return the node ids of the listed tests."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {line.removeprefix(_TEST_PREFIX) for line in lines if line.startswith(_TEST_PREFIX)}


def pytest_collection_modifyitems(items):
    """Let the listed tests fail; one that passes stays listed until it is removed by hand."""
    listed = known_failures()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print each listed test and its outcome."""
    listed = known_failures()
    outcomes = {
        report.nodeid: outcome
        for outcome in ("xfailed", "xpassed")
        for report in terminalreporter.stats.get(outcome, [])
    }
    for node_id in sorted(listed):
        terminalreporter.write_line(f"KNOWN RED: {node_id}: {outcomes.get(node_id, 'not run')}")
