"""The decision log's writer where no event loop runs: before the load is done and at the exit."""

from __future__ import annotations

import json
import os

import pytest

from turmericlug.telemetry import decisions


@pytest.fixture
def full_pipe():
    """Yield the ends of a pipe that accepts nothing more."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writing, b" " * 4096)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_lines_are_kept_while_the_reader_is_stalled(full_pipe):
    """Without an event loop, writing to a full pipe ended the process by endless recursion."""
    reading, writing = full_pipe
    writer = decisions.Writer(writing, "e-1")
    writer.write("instance.stopped", {})
    writer.flush()
    os.read(reading, 1 << 20)
    writer.flush()
    assert b'"event":"instance.stopped"' in os.read(reading, 4096)


@pytest.mark.parametrize(
    "value", [10**5000, {(1, 2): 3}], ids=["number of 5,000 digits", "key that is no text"]
)
def test_line_that_cannot_be_encoded_does_not_end_the_caller(value):
    """Guards against a task that ends because of what it logs."""
    reading, writing = os.pipe()
    try:
        writer = decisions.Writer(writing, "e-1")
        writer.write("view.configuration", {"version": value})
        writer.write("view.configuration", {"version": 3})
        lines = [json.loads(line) for line in os.read(reading, 10_000).splitlines()]
    finally:
        os.close(reading)
        os.close(writing)
    assert [line["event"] for line in lines] == ["view.configuration"] * 2
    assert lines[0]["fields"] == ["version"]
    assert lines[0]["unwritable"] in ("ValueError", "TypeError")
    assert lines[1]["version"] == 3
