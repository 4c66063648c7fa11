"""What a start does is in the log, as JSON lines."""

from __future__ import annotations

import asyncio
import os
import signal

import entry_process
import pytest
from integration import test_start

_FAILING_PROGRAM = """\
import sys
sys.path.insert(0, {source!r})
from turmericlug.entry import daemon, early
sys.excepthook = early.log_uncaught
{failure}
from turmericlug.platform import start
start.run()
"""
FAILURES = {
    "import": ("import absent_module", "ModuleNotFoundError", ""),
    "service": (
        "daemon._SERVICES = [('source', lambda kernel: kernel.find('absent'))]",
        "UnknownServiceError: absent",
        "e-1",
    ),
}


@pytest.mark.parametrize(("failure", "reason", "name"), FAILURES.values(), ids=FAILURES)
def test_an_error_that_ends_the_process_is_in_the_log(tmp_path, failure, reason, name):
    """A failed start left a trace on standard error, without the instance's name and not JSON."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            instance.program = tmp_path / "program.py"
            source = str(entry_process.ROOT / "src")
            instance.program.write_text(_FAILING_PROGRAM.format(source=source, failure=failure))
            await instance.start()
            assert await instance.process.wait() == 1
            (line,) = instance.lines("instance.exiting_with")
            assert (line["status"], line["instance"]) == (1, name)
            assert reason in line["reason"]
            assert "Traceback" in line["trace"]

    asyncio.run(scenario())


_SIGNALLED_PROGRAM = """\
import os, signal, sys
sys.path.insert(0, {source!r})
from turmericlug.entry import daemon
flush = daemon.decisions.flush
def flush_after_signal():
    os.kill(os.getpid(), signal.{name})
    flush()
daemon.decisions.flush = flush_after_signal
{failure}
from turmericlug.platform import start
start.run()
"""


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_a_signal_after_the_event_loop_has_closed_does_not_end_the_process(tmp_path, name):
    """Guards against a signal's default action, by which a planned stop would look failed."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            instance.program = tmp_path / "program.py"
            source = str(entry_process.ROOT / "src")
            program = _SIGNALLED_PROGRAM.format(source=source, name=name, failure="")
            instance.program.write_text(program)
            await instance.start()
            await test_start.assert_serves(instance)
            instance.signal(signal.SIGTERM)
            async with asyncio.timeout(20):
                assert await instance.process.wait() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_a_signal_after_a_failed_start_hides_no_error(tmp_path, name):
    """SIGTERM then raised in its handler, and the line with the error was lost."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            instance.program = tmp_path / "program.py"
            source = str(entry_process.ROOT / "src")
            failure, reason, _ = FAILURES["service"]
            program = _SIGNALLED_PROGRAM.format(source=source, name=name, failure=failure)
            instance.program.write_text(program)
            await instance.start()
            assert await instance.process.wait() == 1
            (line,) = instance.lines("instance.exiting_with")
            assert reason in line["reason"]

    asyncio.run(scenario())


def test_a_settings_file_with_problems_is_in_the_log(tmp_path):
    """The problems were on standard error as text, where readers of the log did not see them."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            with instance.settings.open("a") as settings:
                settings.write("quarantine = 3\nsurplus = 1\n")
            await instance.start()
            assert await instance.process.wait() == 2
            (line,) = instance.lines("instance.exiting_with")
            assert line["status"] == 2
            assert line["problems"] == [
                "[policy] surplus: unknown key",
                "[policy] quarantine: 3 is outside 0..1",
            ]

    asyncio.run(scenario())


def test_each_distinct_problem_of_a_settings_file_is_in_the_log_once(tmp_path):
    """Guards against a wait for a file without a line, and against a line for each reading."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            text = instance.settings.read_text()
            instance.settings.unlink()
            await instance.start()
            await entry_process.until(lambda: len(instance.lines("settings.not_usable")) == 1)
            instance.settings.write_text("[odd]\n" + text)
            await entry_process.until(lambda: len(instance.lines("settings.not_usable")) == 2)
            instance.settings.write_text(text)
            await test_start.assert_serves(instance)
            missing, odd = instance.lines("settings.not_usable")
            assert "No such file" in missing["problems"][0]
            assert odd["problems"] == ["[odd]: unknown section"]

    asyncio.run(scenario())


def test_a_stop_while_the_settings_are_waited_for(tmp_path):
    """Guards against a process that must be killed, or looks failed, as its settings are absent."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            instance.settings.unlink()
            await instance.start()
            await entry_process.until(lambda: instance.lines("settings.not_usable"))
            instance.signal(signal.SIGTERM)
            assert await instance.process.wait() == 0
            (line,) = instance.lines("instance.exiting_with")
            assert line["status"] == 0

    asyncio.run(scenario())


def test_an_early_listener_without_its_port_is_in_the_log(tmp_path):
    """The line about it was text, so that programs that read the log stopped there."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            port = instance.ports[test_start.CALLERS]
            with test_start.holding_port(port):
                await instance.start()
                await entry_process.until(lambda: instance.lines("listener.not_early"))
            (line,) = instance.lines("listener.not_early")
            assert (line["listener"], line["address"]) == ("callers", f"127.0.0.1:{port}")
            assert os.strerror(98) in line["error"]
            instance.signal(signal.SIGKILL)

    asyncio.run(scenario())


def test_closed_standard_streams_are_replaced(tmp_path):
    """A listening socket got the descriptor of standard output, and log lines went to a caller."""

    async def scenario():
        async with test_start.stopped_instance(tmp_path) as instance:
            await instance.start(streams=False)
            await test_start.assert_serves(instance)
            descriptors = f"/proc/{instance.process.pid}/fd"
            assert {os.readlink(f"{descriptors}/{number}") for number in range(3)} == {os.devnull}

    asyncio.run(scenario())
