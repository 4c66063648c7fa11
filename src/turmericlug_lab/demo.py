"""Demonstration of a small fleet: a query without and with a rule, then a deduplicated request."""

from __future__ import annotations

import asyncio
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import typer

from turmericlug_lab import fleet as fleet_module
from turmericlug_lab import fleet_spec

_RULE = """\
# Dispatchers have a client on the phone: nine tenths of the indexes by 200 ms are enough.
[rule devis-on-the-phone]
when_service = devis
when_caller = dispatch-*
then_deadline_ms = 400
then_answer_by_ms = 200
then_min_coverage = 0.9
then_prefer = latency
then_priority = 8
"""
_SERVICES = (
    *(fleet_spec.ServiceSpec(f"devis-{index:02d}", 2, 2, 25, 6.0) for index in range(6)),
    fleet_spec.ServiceSpec("billing", 2, 4, 45, 1.0),
)


async def run_demo(folder: pathlib.Path) -> None:
    """Run the demonstration and print its steps; exit with 1 if a daemon fails."""
    spec = fleet_spec.FleetSpec(
        services=_SERVICES, groups={"devis": [service.name for service in _SERVICES[:6]]}
    )
    typer.secho("starting a platform, 14 targets and three daemons on loopback", bold=True)
    async with fleet_module.running(spec, folder) as fleet:
        await _show_query(fleet, "a devis query before there is any rule")
        _run_operators_client(fleet, "rules", "add", "-", stdin=_RULE)
        _run_operators_client(fleet, "rules", "list")
        query_options = ("--service", "devis", "--caller", "dispatch-3")
        _run_operators_client(fleet, "rules", "explain", *query_options)
        await _show_query(fleet, "the same query: the rule decides now")
        await _show_deduplication(fleet)
        _run_operators_client(fleet, "status")
        typer.secho("\nstopping all daemons gracefully", bold=True)
    exit_codes = {name: fleet.processes[name].returncode for name in fleet.daemons}
    typer.echo(f"exit codes: {exit_codes}")
    if any(exit_codes.values()):
        raise typer.Exit(1)


async def _show_query(fleet: fleet_module.Fleet, title: str) -> None:
    typer.secho(f"\n{title}", bold=True)
    started_at_s = time.monotonic()
    status, answer = await fleet.query(
        "e1", service="devis", caller="dispatch-3", body={"roof_m2": 140}
    )
    elapsed_ms = (time.monotonic() - started_at_s) * 1000
    typer.echo(f"status {status} after {elapsed_ms:.0f} ms")
    _print_answer(answer)


def _print_answer(answer: dict[str, typing.Any]) -> None:
    coverage = answer.get("coverage", {"answered": 0, "total": 0})
    typer.echo(
        f"{answer['outcome']}: {coverage['answered']} of {coverage['total']} shards of snapshot "
        f"{answer.get('snapshot', '-')}, by rule {answer['rule'] or '(none)'} "
        f"of revision {answer['rules_revision']}"
    )
    for result in answer.get("results", [])[:3]:
        typer.echo(f"  {result['shard']}: {result['result']}")


async def _show_deduplication(fleet: fleet_module.Fleet) -> None:
    typer.secho("\na bill that must not be sent twice, asked for on two instances", bold=True)
    idempotency_key = f"{int(time.time())}-bill-17"
    for name in ("e1", "e3"):
        status, answer = await fleet.query(
            name,
            service="billing",
            caller="office",
            body={"bill": 17},
            idempotency_key=idempotency_key,
        )
        typer.echo(f"through {name}: status {status}")
        _print_answer(answer)
    runs = [line for line in fleet.journal() if line.get("event") == "run"]
    typer.echo(f"runs in the targets' journal: {sum('bill' in line['body'] for line in runs)}")


def _run_operators_client(fleet: fleet_module.Fleet, *arguments: str, stdin: str = "") -> None:
    """Run the operators' command line as a separate process and print its output."""
    daemon = next(iter(fleet.daemons.values()))
    typer.secho(f"\n$ turmericlug {' '.join(arguments)}", bold=True)
    environment = os.environ | {
        "TURMERICLUG_URL": f"http://{daemon.host}:{daemon.operators_port}",
        "TURMERICLUG_TOKEN": fleet_module.OPERATORS_TOKEN,
        "TURMERICLUG_OPERATOR": "ann",
    }
    command = [sys.executable, "-P", "-c", "from turmericlug.operators import client; client.run()"]
    completed = subprocess.run(
        [*command, *arguments], input=stdin, text=True, env=environment, capture_output=True
    )
    typer.echo(completed.stdout + completed.stderr, nl=False)
    if completed.returncode:
        raise typer.Exit(completed.returncode)


def run() -> None:
    """Run the demonstration in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run_demo(pathlib.Path(folder)))
