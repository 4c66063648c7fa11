"""The ``--version`` option that all programs share."""

from __future__ import annotations

import typing

import typer

import turmericlug


def print_version(asked: bool) -> None:
    """Print the version and end the program, if that was asked for."""
    if asked:
        typer.echo(turmericlug.__version__)
        raise typer.Exit


Option = typing.Annotated[
    bool,
    typer.Option("--version", callback=print_version, is_eager=True, help="Print the version."),
]
