"""Entry instances whose processes are watched: each end has a recorded reason."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import pathlib
import signal
import time
from collections import abc

import attrs
import entry_process

from turmericlug.platform import start

RESTART_DELAY_S = 0.3
"""After this time a supervisor starts a process again that has ended by itself."""
MAX_REASON_CHARACTERS = 400
LISTENING_TIMEOUT_S = 3.0


@attrs.define
class Run:
    """One process of an instance, from its start to its end."""

    process: asyncio.subprocess.Process
    started_s: float
    log_offset: int
    signals: set[int] = attrs.field(factory=set)
    """The signals that were sent to it."""
    listened_before_stop: bool = False
    """Whether it had listened for callers when SIGTERM was sent, so that it has to drain."""
    ended_s: float | None = None

    def is_caused(self):
        """Whether the harness has caused the end."""
        status = self.process.returncode
        if status == -signal.SIGKILL:
            return signal.SIGKILL in self.signals
        if status == -signal.SIGTERM:
            return signal.SIGTERM in self.signals and not self.listened_before_stop
        return status == 0 and signal.SIGTERM in self.signals


@attrs.define
class Instance(entry_process.Instance):
    """An instance whose processes are watched, and started again if they end by themselves."""

    good_settings: str = ""
    """The complete text of the settings file."""
    runs: list[Run] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)
    settings_rewrites_s: list[tuple[float, float]] = attrs.field(factory=list)
    """When the settings file could not be used: start and end, on the monotonic clock."""
    is_closed: bool = False
    """Whether the test is over, so that no process is started any more."""
    _starting: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _watchers: set[asyncio.Task] = attrs.field(factory=set)

    async def start(self, streams=True, beside=False):
        """
        Start a process unless one is running.

        :param beside: start it also beside the one that is running
        """
        async with self._starting:
            is_running = self.process is not None and self.process.returncode is None
            if self.is_closed or (is_running and not beside):
                return
            offset = self.log.stat().st_size if self.log.exists() else 0
            await super().start(streams)
            self.runs.append(Run(self.process, time.monotonic(), offset))
            watcher = asyncio.create_task(self._watch(self.runs[-1]))
            self._watchers.add(watcher)
            watcher.add_done_callback(self._watchers.discard)

    def signal(self, number):
        """Send a signal to the newest process, and record it."""
        if self.runs:
            self.signal_run(self.runs[-1], number)

    def signal_run(self, run, number):
        """Send a signal to one process if it is running, and record it."""
        if run.process.returncode is None:
            run.signals.add(number)
            # Popen.send_signal would take the status of a process that has just ended.
            with contextlib.suppress(ProcessLookupError):
                os.kill(run.process.pid, number)

    async def stop_listening_run(self, delay_s=0.0):
        """Send SIGTERM a while after the newest process has begun to listen; return its run."""
        run = self.runs[-1]
        run.listened_before_stop = await self.wait_until_listening(run)
        await asyncio.sleep(delay_s)
        self.signal_run(run, signal.SIGTERM)
        return run

    async def wait_until_listening(self, run):
        """Wait until a process listens for callers; false if it ends or takes too long."""
        end_s = time.monotonic() + LISTENING_TIMEOUT_S
        while time.monotonic() < end_s and run.process.returncode is None:
            if _listens(run.process.pid, self.ports[0]):
                return run.process.returncode is None
            await asyncio.sleep(0.005)
        return False

    async def kill_all(self):
        """End the instance for good."""
        self.is_closed = True
        for run in self.runs:
            self.signal_run(run, signal.SIGCONT)
            self.signal_run(run, signal.SIGKILL)
        await asyncio.gather(*(run.process.wait() for run in self.runs), *self._watchers)

    @contextlib.contextmanager
    def rewriting_settings(self):
        """Record that the settings file can't be used until the end of the block."""
        number, began_s = len(self.settings_rewrites_s), time.monotonic()
        self.settings_rewrites_s.append((began_s, math.inf))
        try:
            yield
        finally:
            self.settings_rewrites_s[number] = (began_s, time.monotonic())

    def _lacked_settings(self, run):
        """Whether a process found no usable settings for as long as it has to wait for them."""
        return run.process.returncode == start.EXIT_SETTINGS and any(
            min(end_s, run.ended_s) - max(began_s, run.started_s) >= start.SETTINGS_WAIT_S
            for began_s, end_s in self.settings_rewrites_s
        )

    async def _watch(self, run):
        await run.process.wait()
        run.ended_s = time.monotonic()
        if run.is_caused():
            return
        if self._lacked_settings(run):
            await self.start()
            return
        self.violations.append(
            f"FAULT {self.name}: status {run.process.returncode} at an age of "
            f"{run.ended_s - run.started_s:.2f} s, last lines: {self._last_lines(run)}"
        )
        await asyncio.sleep(RESTART_DELAY_S)
        if self.process is run.process:
            await self.start()

    def _last_lines(self, run):
        with self.log.open("rb") as log:
            log.seek(run.log_offset)
            lines = log.read().decode(errors="replace").splitlines()
        lines = [line.strip() for line in lines if line.strip("^ ")]
        return " | ".join(lines[-3:])[-MAX_REASON_CHARACTERS:]

    def started_times_s(self):
        """Return for each process when it had started to serve, or began if it never did."""
        to_monotonic_s = time.monotonic() - time.time()
        events = map(_decode, self.log.read_text(errors="replace").splitlines())
        started_s = [
            event["time_s"] + to_monotonic_s
            for event in events
            if event.get("event") == "instance.started"
        ]
        return [
            min(
                (at_s for at_s in started_s if run.started_s <= at_s <= next_s),
                default=run.started_s,
            )
            for run, next_s in zip(
                self.runs, [*(run.started_s for run in self.runs[1:]), math.inf], strict=True
            )
        ]

    def failed_tasks(self):
        """Yield a violation for each task that has failed in one of the processes."""
        for line in self.log.read_text(errors="replace").splitlines():
            if '"task.failed"' in line:
                yield f"TASK {self.name}: {_reason(line)[:MAX_REASON_CHARACTERS]}"


def make(*arguments, **options):
    """Make a watched instance; the arguments are those of ``entry_process.make``."""
    instance = entry_process.make(*arguments, **options)
    return Instance(**attrs.asdict(instance, recurse=False))


def last_common_loss_s(instances: abc.Iterable[Instance]):
    """Return when the first process started after all had ended; monotonic time."""
    lives = [
        (started_s, run.ended_s)
        for instance in instances
        for run, started_s in zip(instance.runs, instance.started_times_s(), strict=True)
    ]
    return max(
        started_s
        for started_s, _ in lives
        if not any(
            other_s < started_s and (ended_s is None or ended_s >= started_s)
            for other_s, ended_s in lives
        )
    )


def find_violations(instances: abc.Iterable[Instance]):
    """Yield the ends that nobody caused, and the tasks that failed, each distinct text once."""
    for instance in instances:
        yield from instance.violations
        yield from dict.fromkeys(instance.failed_tasks())


def _decode(line):
    try:
        event = json.loads(line)
    except ValueError:
        return {}
    return event if isinstance(event, dict) else {}


def _reason(line):
    return str(_decode(line).get("reason", line))


def _listens(pid, port):
    """Whether the process itself, not another one at the same port, has a listening socket."""
    try:
        rows = [row.split() for row in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]]
        links = [os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")]
    except OSError:
        return False
    inodes = [
        row[9] for row in rows if row[3] == "0A" and int(row[1].partition(":")[2], 16) == port
    ]
    return any(f"socket:[{inode}]" in links for inode in inodes)
