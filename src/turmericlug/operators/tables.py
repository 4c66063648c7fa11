"""Tables on the terminal."""

from __future__ import annotations

import sys
import typing
from collections import abc

from rich import console as rich_console
from rich import table as rich_table


def show(title: str, columns: list[str], rows: abc.Iterable[abc.Iterable[typing.Any]]) -> None:
    """Print a table, 120 columns wide if the output is not a terminal."""
    table = rich_table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    width = None if sys.stdout.isatty() else 120
    rich_console.Console(width=width, highlight=False).print(table)
