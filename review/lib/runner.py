"""Plays a case, writes its record and sets the exit code."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile
from collections import abc

HELD, BROKEN, NOT_PLAYED = 0, 1, 2

Play = abc.Callable[[pathlib.Path, bool], abc.Awaitable[tuple[list[str], bool]]]
"""Plays a case, given a temporary folder and whether to disturb; returns the lines of the record
and whether the rule was broken."""


def run(play: Play, case_file: str, shown_lines: int) -> int:
    """
    Play a case and write its record beside it.

    :param shown_lines: how many lines of the end of the record are printed
    :returns: the exit code
    """
    # Ended from outside, it still ends the instances that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_PLAYED))
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", choices=("0", "1"), default="1")
    trouble = parser.parse_args().trouble == "1"
    with tempfile.TemporaryDirectory() as folder:
        try:
            record, broken = asyncio.run(play(pathlib.Path(folder), trouble))
        except Exception as error:
            print(f"could not be played: {type(error).__name__}: {error}", file=sys.stderr)
            return NOT_PLAYED
    pathlib.Path(case_file).with_name("record.txt").write_text("\n".join(record) + "\n")
    print("\n".join(record[-shown_lines:]))
    return BROKEN if broken else HELD
