"""
Write the newest sweeps of the journal into docs/CAPACITY.md.

``python deploy/sweep_table.py``: for each deployment the load of an instance at each size as the
sweep told it (mean / busiest), how the busiest grows, and what that leads to at the target size.
"""

from __future__ import annotations

import json
import pathlib
import re
import typing

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- sweeps -->", "<!-- end of sweeps -->"
_ROW = re.compile(r"^(?P<what>\S.*?)\s{2,}(?P<cells>\S.*)$")
_SIZES = re.compile(r"^\s+(?P<sizes>\d+(\s+\d+)+)\s+power\s+at (?P<target>\d+|null)$")
_DAY = re.compile(r"^sweep-(?P<size>\d+)\s+\d+/\d+\s+\S+\s+(?P<worth>\S+)\s+(?P<served>\S+)")

Plain = dict[str, typing.Any]


def newest(entries: list[Plain]) -> dict[str, Plain]:
    """Return the newest sweep of each deployment that was played to its end."""
    found: dict[str, Plain] = {}
    for entry in sorted(entries, key=lambda each: each["at"][0]):
        if entry["cmd"] == "sweep" and entry["ok"]:
            found[entry["site"]] = entry
    return found


def table(entry: Plain) -> list[str]:
    """Return the lines of one deployment's table."""
    lines = entry["digest"].splitlines()
    served = [match for match in map(_DAY.match, lines) if match]
    begin = next(number for number, line in enumerate(lines) if _SIZES.match(line))
    head = _SIZES.match(lines[begin])
    sizes = head["sizes"].split()
    target = "target" if head["target"] == "null" else head["target"]
    columns = [*(f"{size} instances" for size in sizes), "power", f"at {target}"]
    found = [
        f"**{entry['site']}**, sweep {entry['id']}",
        "",
        f"| quantity | {' | '.join(columns)} |",
        "|---" * (len(columns) + 1) + "|",
        f"| share served | {' | '.join(match['served'] for match in served)} | | |",
    ]
    for line in lines[begin + 1 :]:
        match = _ROW.match(line)
        cells = re.split(r"\s{2,}", match["cells"]) if match else []
        if len(cells) == len(columns):
            found.append(f"| {match['what'].removeprefix('entry: ')} | {' | '.join(cells)} |")
    return [*found, ""]


def page(text: str, entries: list[Plain]) -> str:
    """Return the page with the tables of all deployments between its marks."""
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    tables = [line for _, entry in sorted(newest(entries).items()) for line in table(entry)]
    return f"{before}{BEGIN}\n" + "\n".join(tables) + f"{END}{after}"


def main() -> None:
    """Bring the page up to date."""
    paths = (ROOT / "journal").glob("*.json")
    entries = [json.loads(path.read_text()) for path in paths]
    PAGE.write_text(page(PAGE.read_text(), entries))


if __name__ == "__main__":
    main()
