"""What was sent, answered and run, with times since the begin."""

import pathlib
import time


class Record:
    """Writes a line for each event, and keeps which workers ran each request.

    Parameters
    ----------
    path : pathlib.Path
        File to write.

    Attributes
    ----------
    runs_by_id : dict of str to list of str
        Who ran each request, by its id.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.runs_by_id: dict[str, list[str]] = {}

    @property
    def now_s(self) -> float:
        """Seconds since the begin."""
        return time.monotonic() - self._started

    def add(self, what: str, request_id: str, detail: str) -> None:
        """Add one event."""
        if what == "run":
            self.runs_by_id.setdefault(request_id, []).append(detail)
        self._file.write(f"{self.now_s:8.3f} {what:8} {request_id:16} {detail}\n")
        self._file.flush()
