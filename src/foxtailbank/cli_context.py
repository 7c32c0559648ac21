"""Runtime context of a command: client, streams and time."""

import argparse
import dataclasses
import time
import typing as t

import httpx
import msgspec

from foxtailbank.cli_client import Client
from foxtailbank.cli_connection import read_connection
from foxtailbank.text_table import Column, render_table

Row: t.TypeAlias = dict[str, t.Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """Runtime context of a command.

    Attributes
    ----------
    stdin : file object
        Binary input, read if a file is given as ``-``.
    stdout : file object
        Receives results.
    stderr : file object
        Receives progress and errors.
    environment : mapping of str to str
        Environment variables.
    transport : httpx.BaseTransport or None
        Replaces the network in tests.
    sleep : callable
        Sleeps for a number of seconds.
    monotonic : callable
        Returns monotonic time in seconds.
    """

    stdin: t.BinaryIO
    stdout: t.TextIO
    stderr: t.TextIO
    environment: t.Mapping[str, str]
    transport: httpx.BaseTransport | None = None
    sleep: t.Callable[[float], None] = time.sleep
    monotonic: t.Callable[[], float] = time.monotonic

    def create_client(self, options: argparse.Namespace) -> Client:
        """Create a client from the connection options."""
        connection = read_connection(options, self.environment)
        return Client(connection=connection, transport=self.transport)

    def write(self, text: str) -> None:
        """Write a line to standard output."""
        self.stdout.write(text + "\n")

    def write_json(self, value: t.Any) -> None:
        """Write a value as indented JSON to standard output."""
        self.write(msgspec.json.format(msgspec.json.encode(value)).decode())

    def write_progress(self, text: str) -> None:
        """Write a line to standard error."""
        self.stderr.write(text + "\n")
        self.stderr.flush()

    def write_rows(self, rows: t.Sequence[Row], *, empty: str) -> None:
        """Write rows as a table whose columns are the keys of all rows.

        Parameters
        ----------
        rows : sequence of dict
            Rows as returned by an entry VM.
        empty : str
            Text written if there are no rows.
        """
        if not rows:
            self.write(empty)
            return
        names = list(dict.fromkeys(name for row in rows for name in row))
        columns = [
            Column(title=name.upper(), is_number=_is_number_column(rows, name))
            for name in names
        ]
        cells = [[_format_cell(row.get(name)) for name in names] for row in rows]
        self.write(render_table(columns, cells))


def _is_number_column(rows: t.Sequence[Row], name: str) -> bool:
    values = [row[name] for row in rows if row.get(name) is not None]
    return all(
        isinstance(value, int | float) and not isinstance(value, bool)
        for value in values
    )


def _format_cell(value: t.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(_format_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return (
            ",".join(f"{name}={_format_cell(item)}" for name, item in value.items())
            or "-"
        )
    return str(value)
