"""The ``--version`` option of all programs."""

from __future__ import annotations

import typing

import typer

import turmericlug


def print_version(requested: bool) -> None:
    """Print the version and exit, if requested."""
    if requested:
        typer.echo(turmericlug.__version__)
        raise typer.Exit


Option = typing.Annotated[
    bool,
    typer.Option("--version", callback=print_version, is_eager=True, help="Print the version."),
]
