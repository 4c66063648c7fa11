"""Record when a test's own process stands still, so that a failure tells whose time was lost."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time

import attrs

TICK_S = 0.02
MIN_PAUSE_S = 0.1
"""Five ticks: a shorter pause can't exhaust any time-out of the harness."""


@attrs.define
class Pauses:
    """The pauses of this process's event loop."""

    intervals_s: list[tuple[float, float]] = attrs.field(factory=list)
    """Start and end of each, on the monotonic clock."""

    async def watch(self):
        """Record pauses until cancelled."""
        while True:
            slept_at_s = time.monotonic()
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            if now_s - slept_at_s > TICK_S + MIN_PAUSE_S:
                self.intervals_s.append((slept_at_s + TICK_S, now_s))

    def total_s(self, start_s, end_s):
        """Return for how long this process stood still between two times."""
        return sum(
            max(0.0, min(end_s, pause_end_s) - max(start_s, pause_start_s))
            for pause_start_s, pause_end_s in self.intervals_s
        )

    def describe(self, start_s):
        """Return a sentence about the pauses since a time."""
        durations_s = [end_s - begin_s for begin_s, end_s in self.intervals_s if end_s > start_s]
        if not durations_s:
            return f"the harness did not stand still in the last {time.monotonic() - start_s:.1f} s"
        return (
            f"the harness stood still {len(durations_s)} times in the last "
            f"{time.monotonic() - start_s:.1f} s, at most for {max(durations_s):.2f} s"
        )


def run_queue_wait_s(pid="self"):
    """Return for how long a process's main thread has been ready without a processor."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) / 1e9


@contextlib.asynccontextmanager
async def recording():
    """Record the pauses of this process until the end of the block."""
    pauses = Pauses()
    task = asyncio.create_task(pauses.watch())
    try:
        yield pauses
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
