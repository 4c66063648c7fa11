"""Reports of experiments: JSON, a self-contained HTML page with plots, and comparison tables."""

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

from matplotlib import pyplot  # noqa: E402 - the backend must be selected before pyplot is imported

Report = dict[str, typing.Any]
_PERCENTILES = ("p50", "p95", "p99", "p99.9")


class ReportError(Exception):
    """A report file can't be read."""


def write(reports: list[Report], folder: pathlib.Path, name: str) -> pathlib.Path:
    """Write ``NAME.json`` and ``NAME.html``; returns the latter's path."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(reports, indent=1))
    path = folder / f"{name}.html"
    path.write_text(_html_page(reports, name))
    return path


def read(path: pathlib.Path) -> list[Report]:
    """
    Read a report's JSON.

    :raises ReportError: the file can't be read or isn't a report
    """
    try:
        reports = json.loads(path.read_text())
        return [report for report in reports if report["loads"] is not None]
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise ReportError(f"{path}: {error}") from error


def table_rows(reports: list[Report]) -> list[list[str]]:
    """Format reports as the rows of a table; the first row is the header."""
    rows = [
        ["scenario", "policy", "load", *_PERCENTILES, "p99/floor", "goodput/s", "offered/s"]
        + ["coverage", "late", "extra load", "not answered"]
    ]
    for report in reports:
        for load_name, load in report["loads"].items():
            latency_ms, floor_ms = load["latency_ms"], load["floor_ms"]
            rows.append(
                [report["scenario"], report["policy"], load_name]
                + [f"{latency_ms[percentile]:.0f}" for percentile in _PERCENTILES]
                + [
                    f"{latency_ms['p99'] / floor_ms['p99']:.2f}",
                    f"{load['goodput_per_s']:.1f}",
                    f"{load['offered'] / report['duration_s']:.1f}",
                    f"{load['coverage']:.4f}",
                    str(load["late"]),
                    f"{report['targets']['extra_load']}",
                    ", ".join(
                        f"{reason} {count}" for reason, count in sorted(load["reasons"].items())
                    )
                    or "-",
                ]
            )
    return rows


def comparison_rows(reports_a: list[Report], reports_b: list[Report]) -> list[list[str]]:
    """Compare two sets of repeats: the ratio of their medians, and the range of each."""
    rows = [["load", "measure", "A", "B", "A/B", "spread of A", "spread of B"]]
    for load_name in reports_a[0]["loads"]:
        for metric, compute in _METRICS.items():
            values_a = [
                compute(report, load_name) for report in reports_a if load_name in report["loads"]
            ]
            values_b = [
                compute(report, load_name) for report in reports_b if load_name in report["loads"]
            ]
            if not values_a or not values_b:
                continue
            median_a, median_b = statistics.median(values_a), statistics.median(values_b)
            ratio = f"{median_a / median_b:.3f}" if median_b else "-"
            rows.append(
                [
                    load_name,
                    metric,
                    f"{median_a:.2f}",
                    f"{median_b:.2f}",
                    ratio,
                    _format_range(values_a),
                    _format_range(values_b),
                ]
            )
    return rows


_METRICS: dict[str, typing.Callable[[Report, str], float]] = {
    "p50 ms": lambda report, load_name: report["loads"][load_name]["latency_ms"]["p50"],
    "p99 ms": lambda report, load_name: report["loads"][load_name]["latency_ms"]["p99"],
    "goodput/s": lambda report, load_name: report["loads"][load_name]["goodput_per_s"],
    "coverage": lambda report, load_name: report["loads"][load_name]["coverage"],
    "target runs": lambda report, load_name: report["targets"]["runs"],
}


def _format_range(values: list[float]) -> str:
    return f"{min(values):.2f}..{max(values):.2f} ({len(values)})"


def _html_page(reports: list[Report], title: str) -> str:
    table = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in table_rows(reports)
    )
    plots = "".join(f'<img src="data:image/png;base64,{plot}">' for plot in _png_plots(reports))
    json_text = html.escape(json.dumps(reports, indent=1))
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title>"
        "<style>body{font:14px sans-serif;margin:2em}td{border:1px solid #ccc;padding:2px 6px}"
        "table{border-collapse:collapse}img{max-width:100%}</style>"
        f"<h1>{html.escape(title)}</h1>{plots}<table>{table}</table>"
        f"<details><summary>all numbers</summary><pre>{json_text}</pre></details>"
    )


def _png_plots(reports: list[Report]) -> list[str]:
    series = [
        (f"{report['scenario']} {report['policy']} {load_name}", load)
        for report in reports
        for load_name, load in report["loads"].items()
    ]
    figure, (latency_axes, coverage_axes) = pyplot.subplots(
        1, 2, figsize=(12, 1.5 + 0.45 * max(4, len(series))), sharey=True
    )
    positions = range(len(series))
    for index, percentile in enumerate(("p50", "p99")):
        latency_axes.barh(
            [position + 0.2 - 0.4 * index for position in positions],
            [load["latency_ms"][percentile] for _, load in series],
            height=0.38,
            label=percentile,
        )
    for position, (_, load) in enumerate(series):
        latency_axes.plot(
            [load["floor_ms"]["p99"]] * 2, [position - 0.45, position + 0.45], color="black"
        )
    latency_axes.set_yticks(list(positions), [label for label, _ in series])
    latency_axes.set_xlabel("latency, ms; black: floor of p99")
    latency_axes.legend()
    coverage_axes.barh(list(positions), [load["coverage"] for _, load in series])
    coverage_axes.set_xlabel("coverage of answers")
    coverage_axes.set_xlim(0, 1.02)
    figure.tight_layout()
    png = io.BytesIO()
    figure.savefig(png, format="png", dpi=90)
    pyplot.close(figure)
    return [base64.b64encode(png.getvalue()).decode()]
