"""Journal of the requests that a stand-in received."""

import collections
import itertools
import pathlib
import typing as t

import msgspec
import xxhash

MAX_ENTRIES = 200_000

Outcome: t.TypeAlias = t.Literal["running", "done", "cancelled", "broken"]


class JournalEntry(msgspec.Struct, kw_only=True):
    """One request.

    Attributes
    ----------
    request_id : str
        Identifier given by the caller.
    path : str
        Path of the request.
    digest : str
        xxh64 digest of the body, in hex.
    resume_at : int
        Index of the first token requested.
    at_ms : int
        Arrival time, in milliseconds since the Unix epoch.
    outcome : str
        ``running``, or how the request ended.
    tokens : int
        Tokens generated so far.
    """

    request_id: str
    path: str
    digest: str
    resume_at: int = 0
    at_ms: int = 0
    outcome: Outcome = "running"
    tokens: int = 0


class Journal:
    """Keeps the latest entries in memory and appends every change to a file.

    Parameters
    ----------
    file : pathlib.Path, optional
        JSON lines file with one line for the arrival and one for the end of each
        request.
    """

    def __init__(self, *, file: pathlib.Path | None = None) -> None:
        self._entries: collections.deque[JournalEntry]
        self._entries = collections.deque(maxlen=MAX_ENTRIES)
        self._output = file.open("ab") if file is not None else None

    def add(self, entry: JournalEntry) -> None:
        """Record the arrival of a request."""
        self._entries.append(entry)
        self._write(entry)

    def finish(self, entry: JournalEntry, outcome: Outcome) -> None:
        """Record the end of a request; only the first end counts."""
        if entry.outcome != "running":
            return
        entry.outcome = outcome
        self._write(entry)

    def lines(self, *, since: int = 0) -> bytes:
        """Return entries as JSON lines, in order of arrival.

        Parameters
        ----------
        since : int
            Number of entries to skip from the start.
        """
        entries = itertools.islice(self._entries, since, None)
        return b"".join(msgspec.json.encode(entry) + b"\n" for entry in entries)

    def _write(self, entry: JournalEntry) -> None:
        if self._output is None:
            return
        self._output.write(msgspec.json.encode(entry) + b"\n")
        # Flushed at once, so that the line survives a crash of the process.
        self._output.flush()


def body_digest(body: bytes) -> str:
    """Return the digest of a body that the journal records."""
    return xxhash.xxh64_hexdigest(body)
