"""Loading a settings file that may just be being replaced."""

from __future__ import annotations

import time
import typing
from collections import abc

from turmericlug.config import ini
from turmericlug.kernel import early_signals

WAIT_S = 3.0
"""How long a file that can't be used is read again."""
POLL_S = 0.05

T = typing.TypeVar("T")


class StoppedError(ini.SettingsError):
    """The program was asked to stop while the file could not be used."""


def until_usable(
    load: abc.Callable[[], T],
    signals: early_signals.Remembered,
    on_problems: abc.Callable[[list[str]], None],
) -> T:
    """
    Load the settings; read a file with problems again for ``WAIT_S``.

    :param load: raises ``SettingsError`` if the file can't be used
    :param on_problems: called with the problems of each attempt that differ from those before
    :raises SettingsError: the file could not be used within this time
    :raises StoppedError: the program was asked to stop meanwhile
    """
    deadline_s = time.monotonic() + WAIT_S
    known_problems: list[str] = []
    while True:
        try:
            return load()
        except ini.SettingsError as error:
            if signals.stop_requested_s is not None:
                raise StoppedError(error.problems) from error
            if time.monotonic() >= deadline_s:
                raise
            problems = error.problems
        if problems != known_problems:
            on_problems(problems)
            known_problems = problems
        time.sleep(POLL_S)
