"""The record of what was sent, answered and run."""

import json
import pathlib
import time


class Record:
    """Writes one line for each thing that happened.

    Parameters
    ----------
    path : pathlib.Path
        File to write; an earlier one is replaced.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        """Write a line."""
        at = f"{time.monotonic() - self._started:8.3f}"
        shown = " ".join(f"{name}={json.dumps(fields[name])}" for name in fields)
        self._file.write(f"{at} {what} {shown}\n")
        self._file.flush()
