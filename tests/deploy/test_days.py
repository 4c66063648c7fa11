"""Checks the test days, which have to run on every deployment."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
DAY_FILES = sorted((ROOT / "deploy" / "days").glob("*.toml"))
PLANNED_EVENT_KINDS = {
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
LATEST_START_S = 26.0
"""On deployments of 34 s, each event has to end before the final fault."""


def test_there_are_days():
    assert DAY_FILES


@pytest.mark.parametrize("path", DAY_FILES, ids=lambda path: path.stem)
def test_a_day_can_be_played_anywhere(path):
    """
    A day may name a service of one deployment, or start an event after the end of a shorter day.
    Other deployments skip the event silently, and nobody notices that it is no longer tested.
    """
    day = tomllib.loads(path.read_text())
    assert day["name"] == path.stem
    assert path.read_text().startswith("# ")
    for event in [*day["plan"], *day["faults"]]:
        assert 0.0 <= event["at"] <= LATEST_START_S
        references = [event[key] for key in ("service", "class", "zone") if key in event]
        assert all(reference.startswith("@") for reference in references)
    assert all(event["kind"] in PLANNED_EVENT_KINDS for event in day["plan"])
