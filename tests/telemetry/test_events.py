from __future__ import annotations

import json
import logging

from turmericlug.telemetry import events


def test_limiter_counts_suppressed_lines(monkeypatch):
    lines, now_s = [], [5.0]
    monkeypatch.setattr(events, "emit", lambda event, level, **fields: lines.append(fields))
    limiter = events.Limiter(3, lambda: now_s[0])
    for number in range(10):
        limiter.emit("query.refused", request=number)
    limiter.emit("query.failed", request=99)
    now_s[0] = 6.0
    limiter.emit("query.refused", request=100)
    assert [line["request"] for line in lines] == [0, 1, 2, 99, 100]
    assert lines[-1]["suppressed_before"] == 7


def test_log_lines_are_json_objects():
    formatter = events._JsonFormatter("e1")
    record = logging.LogRecord("x", logging.INFO, "p", 1, '{"event": "a", "n_ms": 1}', (), None)
    line = json.loads(formatter.format(record))
    assert (line["instance"], line["event"], line["n_ms"]) == ("e1", "a", 1)
    library_record = logging.LogRecord("lib", logging.ERROR, "p", 1, "plain %s", ("text",), None)
    assert json.loads(formatter.format(library_record))["text"] == "plain text"
