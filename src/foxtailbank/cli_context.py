"""What a command works with: client, outputs and time."""

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
    """Surroundings of a command.

    Attributes
    ----------
    stdin : file object
        Bytes to read if a file is given as ``-``.
    stdout : file object
        Results.
    stderr : file object
        Progress and errors.
    environment : mapping of str to str
        Environment variables.
    transport : httpx.BaseTransport or None
        Stands in for the network in tests.
    sleep : callable
        Waits for seconds.
    monotonic : callable
        Returns seconds that never go back.
    """

    stdin: t.BinaryIO
    stdout: t.TextIO
    stderr: t.TextIO
    environment: t.Mapping[str, str]
    transport: httpx.BaseTransport | None = None
    sleep: t.Callable[[float], None] = time.sleep
    monotonic: t.Callable[[], float] = time.monotonic

    def client(self, options: argparse.Namespace) -> Client:
        """Return a client for the connection that the options give."""
        connection = read_connection(options, self.environment)
        return Client(connection=connection, transport=self.transport)

    def write(self, text: str) -> None:
        """Write a line of the result."""
        self.stdout.write(text + "\n")

    def write_json(self, value: t.Any) -> None:
        """Write a result as indented JSON."""
        self.write(msgspec.json.format(msgspec.json.encode(value)).decode())

    def progress(self, text: str) -> None:
        """Write a line of progress."""
        self.stderr.write(text + "\n")
        self.stderr.flush()

    def write_rows(self, rows: t.Sequence[Row], *, empty: str) -> None:
        """Write rows as a table; the columns are the keys of the rows.

        Parameters
        ----------
        rows : sequence of dict
            As an entry VM gave them.
        empty : str
            Written if there are none.
        """
        if not rows:
            self.write(empty)
            return
        names = list(dict.fromkeys(name for row in rows for name in row))
        columns = [
            Column(title=name.upper(), is_number=_is_number(rows, name))
            for name in names
        ]
        cells = [[_cell(row.get(name)) for name in names] for row in rows]
        self.write(render_table(columns, cells))


def _is_number(rows: t.Sequence[Row], name: str) -> bool:
    values = [row[name] for row in rows if row.get(name) is not None]
    return all(
        isinstance(value, int | float) and not isinstance(value, bool)
        for value in values
    )


def _cell(value: t.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(_cell(item) for item in value) or "-"
    if isinstance(value, dict):
        return ",".join(f"{name}={_cell(item)}" for name, item in value.items()) or "-"
    return str(value)
