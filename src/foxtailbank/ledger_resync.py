"""Replaces the ledger by a snapshot's when records are missing."""

import abc
import typing as t

from foxtailbank.exceptions import LogUnavailable, OffsetExpired
from foxtailbank.ledger import Ledger
from foxtailbank.ledger_replay import LedgerReplay
from foxtailbank.log_tailer import ResyncFailed
from foxtailbank.snapshot_store import SnapshotStore


class SnapshotSource(abc.ABC):
    """Somewhere that snapshots come from: the log or a peer."""

    @abc.abstractmethod
    async def fetch(self, *, next_offset: int) -> Ledger:
        """Return a ledger that is not behind an offset.

        Parameters
        ----------
        next_offset : int
            First offset that has not been applied.

        Raises
        ------
        ResyncFailed
            The source has none that reaches so far.
        LogUnavailable
            The source gave no answer.
        """


class LogSnapshotSource(SnapshotSource):
    """Snapshots in the platform's log.

    Parameters
    ----------
    store : SnapshotStore
        Where to look.
    """

    def __init__(self, *, store: SnapshotStore) -> None:
        self._store = store

    async def fetch(self, *, next_offset: int) -> Ledger:
        """Return the ledger of the furthest snapshot in the log."""
        return await self._store.load_latest(next_offset=next_offset)


class LedgerResync:
    """Callable for `LogTailer`'s `resync`.

    Parameters
    ----------
    replay : LedgerReplay
        Gets the new ledger.
    sources : sequence of SnapshotSource
        Asked in order; the first answer that reaches far enough is used.
    """

    def __init__(
        self, *, replay: LedgerReplay, sources: t.Sequence[SnapshotSource]
    ) -> None:
        self._replay = replay
        self._sources = tuple(sources)

    async def __call__(self, next_offset: int) -> int:
        """Replace the ledger and return the offset to go on from.

        Parameters
        ----------
        next_offset : int
            First offset that has not been applied.

        Raises
        ------
        ResyncFailed
            No source has a snapshot that reaches so far.
        """
        for source in self._sources:
            try:
                ledger = await source.fetch(next_offset=next_offset)
            except (ResyncFailed, LogUnavailable, OffsetExpired, TimeoutError):
                continue
            if ledger.next_offset >= next_offset:
                self._replay.replace(ledger)
                return ledger.next_offset
        raise ResyncFailed(detail=f"no snapshot reaches {next_offset}")
