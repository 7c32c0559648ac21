"""Record of the requests that reached a stand-in."""

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
        Identifier that the caller gave.
    path : str
        Path of the request.
    digest : str
        Hex xxh64 of the body.
    resume_at : int
        Index of the first token wanted.
    at_ms : int
        Arrival, in milliseconds since the Unix epoch.
    outcome : str
        What became of it so far.
    tokens : int
        Tokens made so far.
    """

    request_id: str
    path: str
    digest: str
    resume_at: int = 0
    at_ms: int = 0
    outcome: Outcome = "running"
    tokens: int = 0


class Journal:
    """Latest entries in memory; every change in a file.

    Parameters
    ----------
    file : pathlib.Path, optional
        File that gets a line when a request arrives and one when it ends.
    """

    def __init__(self, *, file: pathlib.Path | None = None) -> None:
        self._entries: collections.deque[JournalEntry]
        self._entries = collections.deque(maxlen=MAX_ENTRIES)
        self._output = file.open("ab") if file is not None else None

    def add(self, entry: JournalEntry) -> None:
        """Note an arrival."""
        self._entries.append(entry)
        self._write(entry)

    def end(self, entry: JournalEntry, outcome: Outcome) -> None:
        """Note an end; later ends of the same request are ignored."""
        if entry.outcome != "running":
            return
        entry.outcome = outcome
        self._write(entry)

    def lines(self, *, since: int = 0) -> bytes:
        """Return entries as JSON lines, in order of arrival.

        Parameters
        ----------
        since : int
            How many of the first ones to leave out.
        """
        entries = itertools.islice(self._entries, since, None)
        return b"".join(msgspec.json.encode(item) + b"\n" for item in entries)

    def _write(self, entry: JournalEntry) -> None:
        if self._output is None:
            return
        self._output.write(msgspec.json.encode(entry) + b"\n")
        # A crash must not take the line with it.
        self._output.flush()


def digest_of(body: bytes) -> str:
    """Return the digest under which a body is journalled."""
    return xxhash.xxh64_hexdigest(body)
