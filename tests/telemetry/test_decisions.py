"""The decision log's writer where no event loop runs: before the load is done and at the exit."""

from __future__ import annotations

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
