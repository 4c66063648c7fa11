"""Benchmark: runs a few scenarios with turmericlug and the baseline and checks limits."""

from __future__ import annotations

import pathlib
import typing

import attrs
import typer

from turmericlug_lab import experiment
from turmericlug_lab import report as report_module
from turmericlug_lab import scenario as scenario_module

Report = dict[str, typing.Any]
RunOnce = typing.Callable[[scenario_module.Scenario, str, int], Report]
_SCENARIO_FOLDER = pathlib.Path("scenarios")


@attrs.frozen
class Limit:
    """A limit that a change must not cross; docs/howto-measure.md says where it comes from."""

    scenario: str
    load: str
    metric: str
    compute: typing.Callable[[Report, Report, str], float]
    minimum: float | None = None
    maximum: float | None = None

    def violation(self, value: float) -> str:
        """Describe how a value crosses the limit; empty if it doesn't."""
        if self.minimum is not None and value < self.minimum:
            return (
                f"{self.scenario}/{self.load}: {self.metric} is {value:.3f}, below {self.minimum}"
            )
        if self.maximum is not None and value > self.maximum:
            return (
                f"{self.scenario}/{self.load}: {self.metric} is {value:.3f}, above {self.maximum}"
            )
        return ""


def _p99_ratio(report: Report, baseline: Report, load: str) -> float:
    return report["loads"][load]["latency_ms"]["p99"] / baseline["loads"][load]["latency_ms"]["p99"]


def _goodput_ratio(report: Report, baseline: Report, load: str) -> float:
    return report["loads"][load]["goodput_per_s"] / max(
        baseline["loads"][load]["goodput_per_s"], 0.1
    )


def _extra_load(report: Report, baseline: Report, load: str) -> float:
    return report["targets"]["extra_load"]


def _coverage_gap(report: Report, baseline: Report, load: str) -> float:
    return baseline["loads"][load]["coverage"] - report["loads"][load]["coverage"]


def _late_share(report: Report, baseline: Report, load: str) -> float:
    return report["loads"][load]["late"] / max(report["loads"][load]["asked"], 1)


LIMITS = (
    Limit("pluvia-steady-60", "devis", "p99 over the baseline's", _p99_ratio, maximum=1.0),
    Limit("pluvia-steady-60", "devis", "extra load", _extra_load, maximum=0.05),
    Limit("pluvia-steady-60", "devis", "coverage lost", _coverage_gap, maximum=0.0005),
    Limit("pluvia-stragglers-1", "devis", "p99 over the baseline's", _p99_ratio, maximum=0.6),
    Limit("pluvia-stragglers-1", "devis", "extra load", _extra_load, maximum=0.05),
    Limit("pluvia-overload-2x", "devis", "goodput over the baseline's", _goodput_ratio, minimum=5),
    Limit("pluvia-overload-2x", "devis", "late answers", _late_share, maximum=0.01),
)


def run(run_once: RunOnce, repeats: int) -> list[str]:
    """
    Run the benchmark's scenarios with turmericlug and with the baseline.

    :param run_one: runs a scenario once with a policy
    :returns: a message for each limit that was crossed
    """
    violations, reports = [], []
    for name in dict.fromkeys(limit.scenario for limit in LIMITS):
        scenario = scenario_module.read(_SCENARIO_FOLDER / f"{name}.ini")
        for repeat in range(repeats):
            report = run_once(scenario, experiment.TURMERICLUG, repeat)
            baseline_report = run_once(scenario, experiment.BASELINE, repeat)
            reports += [report, baseline_report]
            for limit in LIMITS:
                if limit.scenario == name:
                    value = limit.compute(report, baseline_report, limit.load)
                    typer.echo(f"{name}/{limit.load}: {limit.metric}: {value:.3f}")
                    violations.append(limit.violation(value))
    for cells in report_module.table_rows(reports):
        typer.echo(" | ".join(cells))
    return [violation for violation in violations if violation]
