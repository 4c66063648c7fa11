"""``turmericlug-standin``: stand-ins for targets, the platform and a faulty network."""

from __future__ import annotations

import asyncio
import json
import pathlib
import typing

import aiomisc
import typer

from turmericlug.config import version as version_module
from turmericlug_lab import baseline as baseline_module
from turmericlug_lab import standin_platform
from turmericlug_lab import standin_proxy
from turmericlug_lab import standin_target

application = typer.Typer(
    no_args_is_help=True,
)

Host = typing.Annotated[str, typer.Option(help="Loopback IP address to listen on.")]
Port = typing.Annotated[int, typer.Option(help="Port to listen on.")]
SpecFile = typing.Annotated[pathlib.Path, typer.Argument(help="JSON file, a list of objects.")]


def _run(coroutine: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    try:
        with aiomisc.entrypoint(log_config=False) as loop:
            loop.run_until_complete(coroutine)
    except (KeyboardInterrupt, asyncio.CancelledError):
        pass


def _read_specs(path: pathlib.Path, spec_class: type) -> list[typing.Any]:
    try:
        return [spec_class(**fields) for fields in json.loads(path.read_text())]
    except (OSError, ValueError, TypeError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(2) from error


@application.command()
def targets(
    specs: SpecFile,
    host: Host = "127.0.0.1",
    journal: typing.Annotated[
        pathlib.Path | None, typer.Option(help="File to append every run to.")
    ] = None,
    seed: typing.Annotated[int, typer.Option(help="Random seed of the service times.")] = 1,
) -> None:
    """Run stand-in replicas (name, service, port, slots, connections, connect_ms, behaviour)."""
    _run(standin_target.serve(_read_specs(specs, standin_target.Spec), host, journal, seed))


@application.command()
def platform(port: Port, host: Host = "127.0.0.1") -> None:
    """Run a stand-in for the key-value store and the instance list."""
    _run(standin_platform.serve(host, port))


@application.command()
def proxy(specs: SpecFile, port: Port, host: Host = "127.0.0.1") -> None:
    """Proxy TCP routes (name, listen, to, delay_ms); POST /control/NAME on PORT injects faults."""
    _run(standin_proxy.serve(host, _read_specs(specs, standin_proxy.Route), port))


@application.command()
def baseline(
    spec: typing.Annotated[pathlib.Path, typer.Argument(help="JSON file of one instance.")],
) -> None:
    """Run an entry instance of the baseline that experiments are compared with."""
    _run(baseline_module.serve(json.loads(spec.read_text())))


@application.callback()
def main(
    version: version_module.Option = False,
) -> None:
    """
    Run stand-ins for targets, the platform or a faulty network; all listen on loopback.

    Exit codes: 0 stopped, 1 failed to run, 2 wrong usage or an unusable file.
    """


def run() -> None:
    """Run the command line."""
    application()
