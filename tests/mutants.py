"""Takes one mechanism away at a time, in a scratch copy, and shows that its test fails then.

Run by hand: ``python tests/mutants.py [NAME...]``; docs/PROOFS.md holds what a run printed.
"""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import mutants_daemon
import mutants_entry

ROOT = pathlib.Path(__file__).parents[1]
LIMIT_S = 120
"""Some tests wait for what the mechanism brings about, and never end without it."""


def run(mutant):
    """Return how the test ended without the mechanism: ``failed`` is what is wanted."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        ignored = shutil.ignore_patterns(".git", ".venv", "__pycache__", ".hypothesis")
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / mutant.path
        text = path.read_text()
        for old, new in mutant.edits:
            if text.count(old) != 1:
                return f"does not apply: {old!r} stands {text.count(old)} times"
            text = text.replace(old, new)
        path.write_text(text)
        environment = os.environ | {"PYTHONPATH": str(copy / "src")}
        command = [sys.executable, "-m", "pytest", "-x", "-q", mutant.test]
        try:
            done = subprocess.run(
                command, cwd=copy, env=environment, capture_output=True, text=True, timeout=LIMIT_S
            )
        except subprocess.TimeoutExpired:
            return f"failed: no end within {LIMIT_S} s"
        if done.returncode == 0:
            return "passed, although the mechanism is gone"
        reasons = [line for line in done.stdout.splitlines() if line.startswith("E  ")]
        return f"failed: {reasons[0][1:].strip()[:110] if reasons else done.returncode}"


def main():
    wanted = sys.argv[1:]
    for mutant in (*mutants_daemon.MUTANTS, *mutants_entry.MUTANTS):
        if not wanted or mutant.name in wanted:
            print(f"| {mutant.name} | {mutant.test.partition('tests/')[2]} | {run(mutant)} |")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
