"""
Write the newest fleet-size sweeps of the journal into docs/CAPACITY.md.

``python deploy/sweep_table.py``: for each deployment, the load of an instance at each size as the
sweep measured it (mean / busiest), the power of the size by which the busiest's load grows, and the
load that this gives at the target size.
"""

from __future__ import annotations

import json
import pathlib
import re
import typing

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN_MARKER, END_MARKER = "<!-- sweeps -->", "<!-- end of sweeps -->"
_QUANTITY_LINE = re.compile(r"^(?P<quantity>\S.*?)\s{2,}(?P<cells>\S.*)$")
_SIZES_LINE = re.compile(r"^\s+(?P<sizes>\d+(\s+\d+)+)\s+power\s+at (?P<target>\d+|null)$")
_DAY_LINE = re.compile(r"^sweep-(?P<size>\d+)\s+\d+/\d+\s+\S+\s+(?P<worth>\S+)\s+(?P<served>\S+)")

JournalEntry = dict[str, typing.Any]


def newest_sweeps(entries: list[JournalEntry]) -> dict[str, JournalEntry]:
    """Return each deployment's newest sweep that ran to its end."""
    sweeps: dict[str, JournalEntry] = {}
    for entry in sorted(entries, key=lambda journal_entry: journal_entry["at"][0]):
        if entry["cmd"] == "sweep" and entry["ok"]:
            sweeps[entry["site"]] = entry
    return sweeps


def table_lines(entry: JournalEntry) -> list[str]:
    """Return the Markdown lines of one deployment's table."""
    lines = entry["digest"].splitlines()
    day_matches = [match for match in map(_DAY_LINE.match, lines) if match]
    header_index = next(number for number, line in enumerate(lines) if _SIZES_LINE.match(line))
    header = _SIZES_LINE.match(lines[header_index])
    sizes = header["sizes"].split()
    target = "target" if header["target"] == "null" else header["target"]
    columns = [*(f"{size} instances" for size in sizes), "power", f"at {target}"]
    table = [
        f"**{entry['site']}**, sweep {entry['id']}",
        "",
        f"| quantity | {' | '.join(columns)} |",
        "|---" * (len(columns) + 1) + "|",
        f"| share served | {' | '.join(match['served'] for match in day_matches)} | | |",
    ]
    for line in lines[header_index + 1 :]:
        match = _QUANTITY_LINE.match(line)
        cells = re.split(r"\s{2,}", match["cells"]) if match else []
        if len(cells) == len(columns):
            table.append(f"| {match['quantity'].removeprefix('entry: ')} | {' | '.join(cells)} |")
    return [*table, ""]


def update_page(page: str, entries: list[JournalEntry]) -> str:
    """Return the page with the tables of all deployments between its markers."""
    before, _, after_begin = page.partition(BEGIN_MARKER)
    _, _, after = after_begin.partition(END_MARKER)
    lines = [
        line for _, entry in sorted(newest_sweeps(entries).items()) for line in table_lines(entry)
    ]
    return f"{before}{BEGIN_MARKER}\n" + "\n".join(lines) + f"{END_MARKER}{after}"


def main() -> None:
    """Update the page from the journal."""
    paths = (ROOT / "journal").glob("*.json")
    entries = [json.loads(path.read_text()) for path in paths]
    PAGE.write_text(update_page(PAGE.read_text(), entries))


if __name__ == "__main__":
    main()
