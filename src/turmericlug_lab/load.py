"""``turmericlug-load``: a demonstration, load experiments and the benchmark."""

from __future__ import annotations

import asyncio
import json
import pathlib
import typing

import typer
from rich import console as rich_console
from rich import table as rich_table

from turmericlug.config import version as version_module
from turmericlug_lab import bench as bench_module
from turmericlug_lab import capacity as capacity_module
from turmericlug_lab import demo as demo_module
from turmericlug_lab import experiment
from turmericlug_lab import fleet_spec
from turmericlug_lab import report as report_module
from turmericlug_lab import scenario as scenario_module
from turmericlug_lab import slopes as slopes_module

application = typer.Typer(no_args_is_help=True)


@application.callback()
def main(
    version: version_module.Option = False,
) -> None:
    """
    Start stand-ins and daemons on loopback, put load on them and report the measurements.

    Exit codes: 0 done, 1 a limit was crossed or the fleet failed, 2 wrong usage.
    """


@application.command()
def demo() -> None:
    """Run a short demonstration: a rule, a query, and a request that must not be repeated."""
    demo_module.run()


@application.command("run")
def run_scenarios(
    scenarios: typing.Annotated[list[pathlib.Path], typer.Argument(help="Scenario files.")],
    policy: typing.Annotated[
        list[str],
        typer.Option(help=f"One of {', '.join(experiment.POLICIES)}; repeatable; default: all."),
    ] = [],  # noqa: B006 - typer needs a list as the default
    folder: typing.Annotated[
        pathlib.Path, typer.Option(help="Folder to write reports to.")
    ] = pathlib.Path("reports"),
    name: typing.Annotated[str, typer.Option(help="Name of the report.")] = "run",
) -> None:
    """Run scenarios with real processes; write NAME.json and NAME.html."""
    reports = []
    for path in scenarios:
        try:
            scenario = scenario_module.read(path)
        except scenario_module.ScenarioError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(2) from error
        for policy_name in policy or experiment.POLICIES:
            for repeat in range(scenario.repeats):
                reports.append(run_once(scenario, policy_name, repeat))
    _print_table(report_module.table_rows(reports))
    typer.echo(f"written: {report_module.write(reports, folder, name)}")


def run_once(scenario: scenario_module.Scenario, policy: str, repeat: int) -> dict[str, typing.Any]:
    """Run a scenario once; progress goes to standard error."""
    if policy not in experiment.POLICIES:
        typer.echo(f"unknown policy {policy}", err=True)
        raise typer.Exit(2)
    try:
        return asyncio.run(
            experiment.run(scenario, policy, repeat, lambda text: typer.echo(text, err=True))
        )
    except fleet_spec.FleetError as error:
        typer.echo(f"{scenario.name}: {error}", err=True)
        raise typer.Exit(1) from error


def _print_table(header_and_rows: list[list[str]]) -> None:
    table = rich_table.Table(*header_and_rows[0])
    for cells in header_and_rows[1:]:
        table.add_row(*cells)
    rich_console.Console(width=200, highlight=False).print(table)


@application.command()
def compare(
    ours: typing.Annotated[pathlib.Path, typer.Argument(help="Report A, the JSON file.")],
    theirs: typing.Annotated[pathlib.Path, typer.Argument(help="Report B, the JSON file.")],
) -> None:
    """Compare two reports: ratios of medians, and the range over repeats."""
    try:
        reports_a, reports_b = report_module.read(ours), report_module.read(theirs)
    except report_module.ReportError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
    for scenario, policy in sorted(
        {(report["scenario"], report["policy"]) for report in reports_a}
    ):
        matching_a = [
            report
            for report in reports_a
            if (report["scenario"], report["policy"]) == (scenario, policy)
        ]
        matching_b = [
            report
            for report in reports_b
            if (report["scenario"], report["policy"]) == (scenario, policy)
        ]
        if matching_b:
            typer.echo(f"{scenario}, {policy}")
            _print_table(report_module.comparison_rows(matching_a, matching_b))


@application.command()
def slopes(
    file: typing.Annotated[pathlib.Path, typer.Argument(help="JSON file to write.")],
) -> None:
    """Measure how the cost of each role grows, as input of docs/CAPACITY.md."""
    measurements = asyncio.run(slopes_module.measure(lambda text: typer.echo(text, err=True)))
    file.write_text(json.dumps(measurements, indent=1) + "\n")
    typer.echo(f"written: {file}")


@application.command()
def capacity(
    file: typing.Annotated[pathlib.Path, typer.Argument(help="JSON file that slopes wrote.")],
) -> None:
    """Compute the table of docs/CAPACITY.md from the measured slopes."""
    typer.echo(capacity_module.table(json.loads(file.read_text())), nl=False)


@application.command()
def bench(
    repeats: typing.Annotated[int, typer.Option(help="Runs of each scenario.")] = 1,
) -> None:
    """Compare a few scenarios with the baseline and fail if a limit is crossed."""
    violations = bench_module.run(run_once, repeats)
    for violation in violations:
        typer.echo(violation, err=True)
    if violations:
        raise typer.Exit(1)
    typer.echo("all limits hold")


def run() -> None:
    """Start the program."""
    application()
