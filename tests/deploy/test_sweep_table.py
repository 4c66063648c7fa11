"""Tests the capacity page's tables of the sweeps in the journal."""

from __future__ import annotations

import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SPEC = importlib.util.spec_from_file_location("sweep_table", ROOT / "deploy" / "sweep_table.py")
sweep_table = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(sweep_table)

DIGEST = """\
day                  own/srv  score  worth served refused failed  weakest part
sweep-30               31/18   0.79  0.788  0.988   0.000  0.000  worst class 0.95
sweep-300             300/72   0.79  0.791  0.977   0.000  0.002  worst windows 0.93

middle / busiest or longest, by own machines
                                                          30             300  power  at 4733
entry: processor %                                 4.5 / 8.1       4.3 / 8.5   0.02  9.0
config in force, ms                               69.0 / 276       327 / 486   0.26  989
power: the busiest grows as machines to this power
"""


def sweep_entry(site, at, ok=True, cmd="sweep"):
    return {"site": site, "at": [at, at], "ok": ok, "cmd": cmd, "id": at, "digest": DIGEST}


def test_the_table_has_a_row_for_each_quantity():
    assert sweep_table.table_lines(sweep_entry("s", "1"))[2:] == [
        "| quantity | 30 instances | 300 instances | power | at 4733 |",
        "|---|---|---|---|---|",
        "| share served | 0.988 | 0.977 | | |",
        "| processor % | 4.5 / 8.1 | 4.3 / 8.5 | 0.02 | 9.0 |",
        "| config in force, ms | 69.0 / 276 | 327 / 486 | 0.26 | 989 |",
        "",
    ]


def test_a_deployment_may_name_no_target():
    entry = sweep_entry("s", "1")
    entry["digest"] = entry["digest"].replace("at 4733", "at null")
    assert sweep_table.table_lines(entry)[2].endswith("| power | at target |")


@pytest.mark.parametrize(
    ("entries", "newest_ids"),
    [
        ([sweep_entry("s", "1"), sweep_entry("s", "2")], {"s": "2"}),
        ([sweep_entry("s", "1"), sweep_entry("s", "2", ok=False)], {"s": "1"}),
        ([sweep_entry("s", "1"), sweep_entry("s", "2", cmd="score")], {"s": "1"}),
        ([sweep_entry("s", "1"), sweep_entry("t", "2")], {"s": "1", "t": "2"}),
    ],
    ids=["newer", "not to its end", "no sweep", "two deployments"],
)
def test_the_newest_sweep_of_each_deployment_counts(entries, newest_ids):
    newest_sweeps = sweep_table.newest_sweeps(entries)
    assert {site: entry["id"] for site, entry in newest_sweeps.items()} == newest_ids


def test_the_rest_of_the_page_stays():
    page = "before\n<!-- sweeps -->\nold\n<!-- end of sweeps -->\nafter\n"
    updated_page = sweep_table.update_page(page, [sweep_entry("s", "1")])
    assert updated_page.startswith("before\n<!-- sweeps -->\n**s**, sweep 1\n")
    assert updated_page.endswith("<!-- end of sweeps -->\nafter\n")
    assert "old" not in updated_page
