"""Disable one mechanism at a time in a scratch copy and check that its test then fails.

Run manually: ``python tests/mutants.py [NAME...]``; docs/PROOFS.md holds the output of a run.
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
TIMEOUT_S = 120
"""Some tests wait for an effect of the mechanism and never end without it."""


def run(mutant):
    """Return how the test ends without the mechanism; ``failed`` is expected."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        ignored = shutil.ignore_patterns(".git", ".venv", "__pycache__", ".hypothesis")
        shutil.copytree(ROOT, copy, ignore=ignored)
        path = copy / mutant.path
        text = path.read_text()
        for old, new in mutant.edits:
            if text.count(old) != 1:
                return f"does not apply: {old!r} occurs {text.count(old)} times"
            text = text.replace(old, new)
        path.write_text(text)
        environment = os.environ | {"PYTHONPATH": str(copy / "src")}
        command = [sys.executable, "-m", "pytest", "-x", "-q", mutant.test]
        try:
            result = subprocess.run(
                command,
                cwd=copy,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return f"failed: timed out after {TIMEOUT_S} s"
        if result.returncode == 0:
            return "passed although the mechanism is disabled"
        errors = [line for line in result.stdout.splitlines() if line.startswith("E  ")]
        return f"failed: {errors[0][1:].strip()[:110] if errors else result.returncode}"


def main():
    names = sys.argv[1:]
    for mutant in (*mutants_daemon.MUTANTS, *mutants_entry.MUTANTS):
        if not names or mutant.name in names:
            print(f"| {mutant.name} | {mutant.test.partition('tests/')[2]} | {run(mutant)} |")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
