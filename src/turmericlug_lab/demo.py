"""The demonstration: a small fleet, one rule, one query, one request that must not repeat."""

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
    *(fleet_spec.ServiceSpec(f"devis-{n:02d}", 2, 2, 25, 6.0) for n in range(6)),
    fleet_spec.ServiceSpec("billing", 2, 4, 45, 1.0),
)


async def play(folder: pathlib.Path) -> None:
    """Run the demonstration and print it."""
    spec = fleet_spec.FleetSpec(
        services=_SERVICES, groups={"devis": [each.name for each in _SERVICES[:6]]}
    )
    typer.secho("starting a platform, 14 targets and three daemons on loopback", bold=True)
    async with fleet_module.running(spec, folder) as fleet:
        await _show_query(fleet, "a devis query before there is any rule")
        _operate(fleet, "rules", "add", "-", given=_RULE)
        _operate(fleet, "rules", "list")
        explain = ("--service", "devis", "--caller", "dispatch-3")
        _operate(fleet, "rules", "explain", *explain)
        await _show_query(fleet, "the same query: the rule decides now")
        await _show_once(fleet)
        _operate(fleet, "status")
        typer.secho("\nstopping all daemons gracefully", bold=True)
    codes = {name: fleet.processes[name].returncode for name in fleet.daemons}
    typer.echo(f"exit codes: {codes}")
    if any(codes.values()):
        raise typer.Exit(1)


async def _show_query(fleet: fleet_module.Fleet, title: str) -> None:
    typer.secho(f"\n{title}", bold=True)
    began_at_s = time.monotonic()
    status, answer = await fleet.query(
        "e1", service="devis", caller="dispatch-3", body={"roof_m2": 140}
    )
    took_ms = (time.monotonic() - began_at_s) * 1000
    typer.echo(f"status {status} after {took_ms:.0f} ms")
    _print_answer(answer)


def _print_answer(answer: dict[str, typing.Any]) -> None:
    coverage = answer.get("coverage", {"answered": 0, "total": 0})
    typer.echo(
        f"{answer['outcome']}: {coverage['answered']} of {coverage['total']} shards of snapshot "
        f"{answer.get('snapshot', '-')}, by rule {answer['rule'] or '(none)'} "
        f"of revision {answer['rules_revision']}"
    )
    for item in answer.get("results", [])[:3]:
        typer.echo(f"  {item['shard']}: {item['result']}")


async def _show_once(fleet: fleet_module.Fleet) -> None:
    typer.secho("\na bill that must not be sent twice, asked for on two instances", bold=True)
    key = f"{int(time.time())}-bill-17"
    for name in ("e1", "e3"):
        status, answer = await fleet.query(
            name, service="billing", caller="office", body={"bill": 17}, idempotency_key=key
        )
        typer.echo(f"through {name}: status {status}")
        _print_answer(answer)
    runs = [line for line in fleet.journal() if line.get("event") == "run"]
    typer.echo(f"runs in the targets' journal: {sum('bill' in line['body'] for line in runs)}")


def _operate(fleet: fleet_module.Fleet, *arguments: str, given: str = "") -> None:
    """Run the operators' client as a person would."""
    daemon = next(iter(fleet.daemons.values()))
    typer.secho(f"\n$ turmericlug {' '.join(arguments)}", bold=True)
    environment = os.environ | {
        "TURMERICLUG_URL": f"http://{daemon.host}:{daemon.operators_port}",
        "TURMERICLUG_TOKEN": fleet_module.TOKEN,
        "TURMERICLUG_OPERATOR": "ann",
    }
    command = [sys.executable, "-P", "-c", "from turmericlug.operators import client; client.run()"]
    finished = subprocess.run(
        [*command, *arguments], input=given, text=True, env=environment, capture_output=True
    )
    typer.echo(finished.stdout + finished.stderr, nl=False)
    if finished.returncode:
        raise typer.Exit(finished.returncode)


def run() -> None:
    """Play it in a folder that is removed afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(play(pathlib.Path(folder)))
