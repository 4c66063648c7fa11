"""Memory of an instance in its metrics."""

from __future__ import annotations

import pytest

from turmericlug.entry import memory_gauges
from turmericlug.telemetry import counters as counters_module


def test_gauges_show_what_is_resident_and_held():
    """Guards against an instance that is killed for its memory without a trace of what grew."""
    counters, held = counters_module.Counters(), [2048]
    gauges = memory_gauges.MemoryGauges(counters)
    gauges.add("callers", lambda: held[0])
    gauges.update()
    assert counters.totals["memory.held_kb.callers"] == 2
    assert counters.totals["memory.resident_mb"] > 1
    held[0] = 0
    gauges.update()
    assert counters.totals["memory.held_kb.callers"] == 0


@pytest.mark.parametrize("content", [None, "", "1", "a b"])
def test_a_system_that_does_not_tell_leaves_the_gauge_out(tmp_path, monkeypatch, content):
    """Guards against metrics that fail where the resident memory can't be read."""
    statm = tmp_path / "statm"
    if content is not None:
        statm.write_text(content)
    monkeypatch.setattr(memory_gauges, "_STATM", statm)
    counters = counters_module.Counters()
    memory_gauges.MemoryGauges(counters).update()
    assert memory_gauges.RESIDENT not in counters.totals
