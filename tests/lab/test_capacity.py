from __future__ import annotations

import json
import pathlib

import pytest

from turmericlug_lab import capacity

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def test_page_holds_what_the_slopes_give():
    page = (DOCS / "CAPACITY.md").read_text()
    shown_table = page.partition("<!-- table -->\n")[2].partition("<!-- end -->")[0]
    assert shown_table == capacity.table(json.loads((DOCS / "slopes.json").read_text()))


def test_slope():
    intercept, slope = capacity.fit_line([(1, 12.0), (2, 14.0), (4, 18.0)])
    assert (intercept, slope) == (pytest.approx(10.0), pytest.approx(2.0))
