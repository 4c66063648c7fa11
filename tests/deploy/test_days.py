"""The days that are played on every deployment."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
FILES = sorted((ROOT / "deploy" / "days").glob("*.toml"))
PLANNED_KINDS = {
    "add_nodes",
    "big_config",
    "config_change",
    "config_storm",
    "evacuate",
    "hup",
    "release",
    "replace_with_reuse",
    "reshard",
    "roll_term",
    "scale_in",
    "scale_out",
}
LAST_BEGIN_S = 26.0
"""Deployments of 34 s have to see the end of each trouble before the final fault."""


def test_there_are_days():
    assert FILES


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_day_can_be_played_anywhere(path):
    """
    A day names a service of one deployment, or begins a trouble after its end. Elsewhere it is left
    out without a word, and nobody notices that the combination is no longer played.
    """
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    assert path.read_text().startswith("# ")
    for entry in [*day["plan"], *day["faults"]]:
        assert 0.0 <= entry["at"] <= LAST_BEGIN_S
        named = [entry[key] for key in ("service", "class", "zone") if key in entry]
        assert all(each.startswith("@") for each in named)
    assert all(entry["kind"] in PLANNED_KINDS for entry in day["plan"])
