"""Which callers take their responses too slowly."""

from __future__ import annotations

import pytest

from turmericlug.policy import slow_readers

KB = 1024
# Samples each half a second: bytes that are not taken, and whether the system has some of them.
SAMPLES = {
    "takes nothing": ([(500, True)] * 4, True),
    "takes nothing for less than the window": ([(500, True)] * 3, False),
    "takes too little": ([(490, True), (480, True), (470, True), (460, True)], True),
    "takes enough": ([(480, True), (460, True), (436, True), (436, True)], False),
    "took enough before": ([(400, True)] + [(400, True)] * 4, True),
    "begins to take again": ([(500, True)] * 6 + [(430, True)], False),
    "has taken all that the system had": ([(500, True)] * 3 + [(500, False)], False),
    "gets more": ([(600, True), (590, True), (580, True), (570, True)], True),
    "gets more and takes it": ([(600, True), (590, True), (530, True), (530, True)], False),
}


@pytest.mark.parametrize(("samples", "is_slow"), SAMPLES.values(), ids=SAMPLES)
def test_a_caller_is_slow_if_it_took_little_in_the_window(samples, is_slow):
    """Guards against cutting off sound callers, and keeping those that don't read."""
    progress = slow_readers.Progress(10.0, 500 * KB)
    for number, (pending_kb, waits_for_caller) in enumerate(samples, 1):
        progress.sample(10.0 + number / 2, pending_kb * KB, waits_for_caller)
    assert slow_readers.too_slow({"a": progress}) == (["a"] if is_slow else [])


def test_time_in_which_the_process_stood_still_is_not_the_callers():
    """Guards against cutting off every caller after a stall of the process."""
    progress = slow_readers.Progress(0.0, 500 * KB)
    progress.sample(60.0, 500 * KB, True)
    assert not slow_readers.too_slow({"a": progress})
    progress.sample(61.0, 500 * KB, True)
    assert slow_readers.too_slow({"a": progress})


def test_longest_without_progress_comes_first():
    """Guards against cutting off a caller that has paused for a moment before one that is stuck."""
    callers = {
        name: slow_readers.Progress(0.0, 0, stalled_s)
        for name, stalled_s in {"a": 2.5, "b": 7.0, "c": 1.9, "d": 2.0}.items()
    }
    assert slow_readers.too_slow(callers) == ["b", "a", "d"]
