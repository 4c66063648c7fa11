"""The build line of the deploy file, run with a stand-in for ``python3``, without a network."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
ARM, X86 = ".cpython-311-aarch64-linux-gnu.so", ".cpython-311-x86_64-linux-gnu.so"
PYTHON = """\
#!/bin/sh
if [ "$1" = -c ]; then cat "$STUBS/suffix"; exit; fi
echo "$@" >> "$STUBS/installs"
while [ $# -gt 1 ]; do
    if [ "$1" = --target ]; then target=$2; fi
    shift
done
mkdir -p "$target"
cp "$STUBS/suffix" "$target/first"
if [ -e "$STUBS/interrupted" ]; then exit 1; fi
cp "$STUBS/suffix" "$target/second"
"""


class Checkout:
    """A clean checkout with what the build line reads, and the stand-in."""

    def __init__(self, folder):
        self.root, self.stubs = folder / "root", folder / "stubs"
        self.deps = self.root / "target" / "deps"
        self.requirements = self.root / "deploy" / "requirements.txt"
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        self.stubs.mkdir()
        program = self.stubs / "python3"
        program.write_text(PYTHON)
        program.chmod(0o755)
        self.line = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]

    def build(self, suffix=ARM, interrupted=False):
        """Run the line; return whether it succeeded and how often it installed anything."""
        (self.stubs / "suffix").write_text(suffix + "\n")
        marker = self.stubs / "interrupted"
        marker.touch() if interrupted else marker.unlink(missing_ok=True)
        installs = self.stubs / "installs"
        installs.write_text("")
        environment = {"PATH": f"{self.stubs}:{os.defpath}", "STUBS": str(self.stubs)}
        completed = subprocess.run(["sh", "-c", self.line], cwd=self.root, env=environment)
        return completed.returncode == 0, len(installs.read_text().splitlines())

    def assert_complete(self, suffix=ARM):
        """Assert that all libraries are installed, for one machine and Python only."""
        for name in ("first", "second"):
            assert (self.deps / name).read_text() == suffix + "\n"
        assert len(list(self.deps.iterdir())) == 3
        assert {path.name for path in self.root.iterdir()} == {"deploy", "target"}


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_libraries_are_installed_once(checkout):
    assert checkout.build() == (True, 1)
    assert checkout.build() == (True, 0)
    checkout.assert_complete()


@pytest.mark.parametrize("suffix", [X86, ARM.replace("311", "312")])
def test_libraries_of_another_machine_or_python_are_replaced(checkout, suffix):
    """A folder that came from elsewhere was kept, and each instance ended at its first import."""
    checkout.build(suffix)
    assert checkout.build() == (True, 1)
    checkout.assert_complete()


@pytest.mark.parametrize("modified_s", [1e9, 3e9], ids=["older", "newer"])
def test_changed_requirements_are_installed(checkout, modified_s):
    """The build compared only times, which a checkout or an archive sets as it likes."""
    checkout.build()
    checkout.requirements.write_text("attrs==1.0\n")
    os.utime(checkout.requirements, (modified_s, modified_s))
    assert checkout.build() == (True, 1)
    checkout.assert_complete()


@pytest.mark.parametrize("built_before", [False, True])
def test_an_interrupted_install_is_repeated(checkout, built_before):
    """A folder left incomplete was newer than the requirements, and so was kept."""
    if built_before:
        checkout.build(X86)
    assert checkout.build(interrupted=True) == (False, 1)
    assert checkout.build() == (True, 1)
    checkout.assert_complete()


def test_a_folder_of_unknown_origin_is_replaced(checkout):
    """Guards against trust in a folder that an earlier build line has left incomplete."""
    checkout.deps.mkdir(parents=True)
    (checkout.deps / "other").touch()
    assert checkout.build() == (True, 1)
    checkout.assert_complete()
