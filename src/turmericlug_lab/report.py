"""Reports of experiments: JSON, a self-contained HTML page with plots, and comparisons."""

from __future__ import annotations

import base64
import html
import io
import json
import pathlib
import statistics
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402 - the back end has to be chosen before

Report = dict[str, typing.Any]
_PERCENTILES = ("p50", "p95", "p99", "p99.9")


class ReportError(Exception):
    """A report file that can't be read."""


def write(reports: list[Report], folder: pathlib.Path, name: str) -> pathlib.Path:
    """Write ``NAME.json`` and ``NAME.html``; returns the latter's path."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(reports, indent=1))
    path = folder / f"{name}.html"
    path.write_text(_page(reports, name))
    return path


def read(path: pathlib.Path) -> list[Report]:
    """
    Read a report's JSON.

    :raises ReportError: it can't be read
    """
    try:
        reports = json.loads(path.read_text())
        return [each for each in reports if each["loads"] is not None]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ReportError(f"{path}: {error}") from error


def table_rows(reports: list[Report]) -> list[list[str]]:
    """Lay out reports as rows for people, the column names first."""
    rows = [
        ["scenario", "policy", "load", *_PERCENTILES, "p99/floor", "goodput/s", "offered/s"]
        + ["coverage", "late", "extra load", "not answered"]
    ]
    for report in reports:
        for name, load in report["loads"].items():
            latency, floor_ms = load["latency_ms"], load["floor_ms"]
            rows.append(
                [report["scenario"], report["policy"], name]
                + [f"{latency[each]:.0f}" for each in _PERCENTILES]
                + [
                    f"{latency['p99'] / floor_ms['p99']:.2f}",
                    f"{load['goodput_per_s']:.1f}",
                    f"{load['offered'] / report['duration_s']:.1f}",
                    f"{load['coverage']:.4f}",
                    str(load["late"]),
                    f"{report['targets']['extra_load']}",
                    ", ".join(f"{k} {v}" for k, v in sorted(load["reasons"].items())) or "-",
                ]
            )
    return rows


def ratios(ours: list[Report], theirs: list[Report]) -> list[list[str]]:
    """Compare two sets of repeats: the ratio of medians, and the spread of each."""
    rows = [["load", "measure", "A", "B", "A/B", "spread of A", "spread of B"]]
    for load in ours[0]["loads"]:
        for name, pick in _MEASURES.items():
            a = [pick(report, load) for report in ours if load in report["loads"]]
            b = [pick(report, load) for report in theirs if load in report["loads"]]
            if not a or not b:
                continue
            middle_a, middle_b = statistics.median(a), statistics.median(b)
            ratio = f"{middle_a / middle_b:.3f}" if middle_b else "-"
            rows.append(
                [load, name, f"{middle_a:.2f}", f"{middle_b:.2f}", ratio, _spread(a), _spread(b)]
            )
    return rows


_MEASURES: dict[str, typing.Callable[[Report, str], float]] = {
    "p50 ms": lambda report, load: report["loads"][load]["latency_ms"]["p50"],
    "p99 ms": lambda report, load: report["loads"][load]["latency_ms"]["p99"],
    "goodput/s": lambda report, load: report["loads"][load]["goodput_per_s"],
    "coverage": lambda report, load: report["loads"][load]["coverage"],
    "target runs": lambda report, load: report["targets"]["runs"],
}


def _spread(values: list[float]) -> str:
    return f"{min(values):.2f}..{max(values):.2f} ({len(values)})"


def _page(reports: list[Report], title: str) -> str:
    table = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in table_rows(reports)
    )
    plots = "".join(f'<img src="data:image/png;base64,{each}">' for each in _plots(reports))
    raw = html.escape(json.dumps(reports, indent=1))
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title>"
        "<style>body{font:14px sans-serif;margin:2em}td{border:1px solid #ccc;padding:2px 6px}"
        "table{border-collapse:collapse}img{max-width:100%}</style>"
        f"<h1>{html.escape(title)}</h1>{plots}<table>{table}</table>"
        f"<details><summary>all numbers</summary><pre>{raw}</pre></details>"
    )


def _plots(reports: list[Report]) -> list[str]:
    series = [
        (f"{report['scenario']} {report['policy']} {name}", load)
        for report in reports
        for name, load in report["loads"].items()
    ]
    figure, (latency, coverage) = pyplot.subplots(
        1, 2, figsize=(12, 1.5 + 0.45 * max(4, len(series))), sharey=True
    )
    places = range(len(series))
    for index, percentile in enumerate(("p50", "p99")):
        latency.barh(
            [place + 0.2 - 0.4 * index for place in places],
            [load["latency_ms"][percentile] for _, load in series],
            height=0.38,
            label=percentile,
        )
    for place, (_, load) in enumerate(series):
        latency.plot([load["floor_ms"]["p99"]] * 2, [place - 0.45, place + 0.45], color="black")
    latency.set_yticks(list(places), [name for name, _ in series])
    latency.set_xlabel("latency, ms; black: floor of p99")
    latency.legend()
    coverage.barh(list(places), [load["coverage"] for _, load in series])
    coverage.set_xlabel("coverage of answers")
    coverage.set_xlim(0, 1.02)
    figure.tight_layout()
    stream = io.BytesIO()
    figure.savefig(stream, format="png", dpi=90)
    pyplot.close(figure)
    return [base64.b64encode(stream.getvalue()).decode()]
