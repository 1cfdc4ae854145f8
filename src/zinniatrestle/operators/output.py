"""Output of commands: tables for people, JSON for programs."""

import sys
from collections.abc import Iterable
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

PIPE_WIDTH_COLUMNS = 200


def show_json(value: Any):
    """Print a value as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    sys.stdout.write(text.decode() + "\n")


def show_table(headings: list[str], rows: Iterable[list[Any]]):
    """Print a table to standard output."""
    table = Table(box=None, pad_edge=False, header_style=None)
    for heading in headings:
        table.add_column(heading)
    for row in rows:
        table.add_row(*[str(cell) for cell in row])
    console = Console(highlight=False, markup=False)
    if not sys.stdout.isatty():
        console = Console(highlight=False, markup=False, width=PIPE_WIDTH_COLUMNS)
    console.print(table)


def show_list(
    value: Any, as_json: bool, headings: list[str], rows: Iterable[list[Any]]
):
    """Print a list as JSON or as a table."""
    if as_json:
        show_json(value)
        return
    show_table(headings, rows)


def show_line(text: str):
    """Print a line to standard output."""
    sys.stdout.write(text + "\n")


def show_progress(text: str):
    """Print progress to standard error, to keep standard output parseable."""
    sys.stderr.write(text + "\n")
    sys.stderr.flush()
