from __future__ import annotations

import pathlib

import pytest

from turmericlug_lab import floor
from turmericlug_lab import profiles
from turmericlug_lab import report
from turmericlug_lab import scenario

ROOT = pathlib.Path(__file__).parents[2]


@pytest.mark.parametrize("path", sorted((ROOT / "scenarios").glob("*.ini")), ids=lambda p: p.stem)
def test_scenarios_are_usable(path):
    found = scenario.read(path)
    profile = profiles.PROFILES[found.profile]
    for load in found.loads:
        assert profiles.saturation_rate_per_s(profile, load.service) > 0


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[scenario]\nprofile = none\n[load a]\nutilisation = 1",
        "[scenario]\nprofile = pluvia\n",
        "[scenario]\nprofile = pluvia\n[load a]\nutilisation = much",
        "[scenario]\nprofile = pluvia\n[load a]\nutilisation = 1\n[events]\n1 = 2 explode",
    ],
)
def test_bad_scenarios(tmp_path, text):
    path = tmp_path / "x.ini"
    path.write_text(text)
    with pytest.raises(scenario.ScenarioError):
        scenario.read(path)


def test_floor_takes_the_best_replica_and_the_slowest_shard():
    times = floor.Times(10.0, 0.3, 0.0, 1.0)
    one = floor.percentiles_ms(times, 1, 1, 1)
    best = floor.percentiles_ms(times, 1, 2, 1)
    fan = floor.percentiles_ms(times, 20, 2, 1)
    assert best["p50"] < one["p50"] < fan["p50"]
    assert floor.percentiles_ms(times, 20, 2, 1) == fan


def test_report_round_trip(tmp_path):
    latency = {"p50": 1.0, "p95": 2.0, "p99": 3.0, "p99.9": 4.0}
    load = {
        "latency_ms": latency,
        "floor_ms": latency,
        "goodput_per_s": 5.0,
        "offered": 50,
        "coverage": 1.0,
        "late": 0,
        "reasons": {"refused.<overloaded>": 2},
    }
    one = {
        "scenario": "s",
        "policy": "p",
        "duration_s": 10.0,
        "loads": {"devis": load},
        "targets": {"extra_load": 0.01, "runs": 100},
    }
    path = report.write([one], tmp_path, "x")
    assert "&lt;overloaded&gt;" in path.read_text() and "data:image/png" in path.read_text()
    again = report.read(tmp_path / "x.json")
    rows = report.ratios(again, again)
    assert all(row[4] == "1.000" for row in rows[1:])
    with pytest.raises(report.ReportError):
        report.read(path)
