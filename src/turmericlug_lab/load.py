"""``turmericlug-load``: demonstration, load and experiments."""

from __future__ import annotations

import typing

import typer

import turmericlug
from turmericlug_lab import demo as demo_module

application = typer.Typer(no_args_is_help=True)


def _version(asked: bool) -> None:
    if asked:
        typer.echo(turmericlug.__version__)
        raise typer.Exit


@application.callback()
def main(
    version: typing.Annotated[
        bool, typer.Option("--version", callback=_version, is_eager=True, help="Print the version.")
    ] = False,
) -> None:
    """
    Start stand-ins and daemons on loopback, load them, and report what was measured.

    Exit codes: 0 done, 1 a bound was passed or the fleet failed, 2 wrong usage.
    """


@application.command()
def demo() -> None:
    """Play a short demonstration: a rule, a query, a request that must not be repeated."""
    demo_module.run()


def run() -> None:
    """Start the program."""
    application()
